// Package recovery orders the startup of a gateway of a cluster, so that after a power loss of all gateways none
// decides by the little that the first of them can see.
//
// The steps are: state directory, identity, peers, policy, idempotency keys, counter, endpoints, clients. Each step
// waits for a condition, most of them for a limited time, and the next one starts when that is met or given up. Until
// the last step clients are rejected at once with a Retry-After.
//
// The package does no input or output: observations and times are passed in.
package recovery
