// Package proxy manages the lifecycle of requests. A Proxy passes events from frontends and from the clients of
// external systems to a balancer.Balancer and executes the actions that it returns. The Proxy itself makes no
// decisions.
//
// A single event loop goroutine owns the Balancer, the requests, the attempts and the timers. Frontends, connections to
// endpoints, the counter and discovery read, write and dial on their own goroutines and post tasks to the loop.
//
// A request is in one of these states:
//
//	read        a frontend has validated it; it is passed on by Acquire and Submit
//	held        the decision lease of the policy has expired; it waits for Resume
//	open        the Balancer knows it; attempts may be in flight
//	reserving   its first attempt waits for the reservation of its idempotency key
//	answered    its final answer was given; it is kept until all its attempts have results
//
// Frontends know neither endpoints nor quotas. External systems are behind the interfaces Upstream, Counter,
// EndpointSource and KeyReserver.
package proxy
