// Package proxy owns the lifecycle of requests. A Proxy carries events from frontends and from the clients of outside
// systems to one balancer.Balancer and carries out the actions that it returns; it decides nothing itself.
//
// One event loop goroutine owns the Balancer, the requests, the attempts and the timers. Frontends, connections to
// endpoints, the counter and discovery read, write and dial on goroutines of their own and post tasks to the loop.
//
// A request is in one of these states:
//
//	read        a frontend has checked it; Acquire and Submit hand it over
//	held        the policy's decision lease has lapsed; it waits for Resume
//	open        the Balancer knows it; attempts may be out
//	reserving   its first attempt waits for the reservation of its idempotency key
//	answered    the one final answer was given; it is kept until its attempts have results
//
// Frontends know no endpoint and no quota. Outside systems are behind the interfaces Upstream, Counter, EndpointSource
// and KeyReserver.
package proxy
