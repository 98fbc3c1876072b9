// Package recovery is the state machine that orders the startup of a gateway. After a power loss of the whole cluster
// it keeps the first gateways that are up from making decisions on a partial view of the cluster.
//
// The steps are: state directory, identity, peers, policy, idempotency keys, counter, endpoints, clients. Each step
// waits for a condition, in most cases with a timeout; the next step starts when the condition is met or the wait times
// out. Before the last step, clients are rejected immediately with a Retry-After.
//
// The package does no I/O: callers pass in observations and the current time.
package recovery
