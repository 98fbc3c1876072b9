// Package balancer makes the decisions of one front door ("door") that meters many customers' use of one
// shared service: which requests go on, to which backend, when, how often, and which are refused.
//
// A [Balancer] does no input or output and starts no goroutine. The caller hands it what happened as [Event]
// values and carries out the [Action] values that come back, in their order. All times are time.Duration
// values on the caller's clock, which may start anywhere and must not go back. The same settings, seed and
// events give the same actions. A Balancer is not safe for concurrent use; different Doors share nothing.
package balancer
