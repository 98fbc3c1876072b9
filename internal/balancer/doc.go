// Package balancer makes the decisions of one gateway that meters many customers' use of one shared service: which
// requests are forwarded, to which endpoint, when, how often, and which are rejected.
//
// A [Balancer] does no input or output and starts no goroutine. The caller hands it what happened as [Event] values
// and carries out the [Action] values that come back, in their order. All times are on the caller's clock, which may
// start anywhere and must not go back. The same settings, seed and events give the same actions. A Balancer is not
// safe for concurrent use; different ones share nothing.
//
// # Mechanism
//
// The mechanism follows J. Andersson and M. Kihl, "Load Balancing and Admission Control of a Parlay X Application
// Server" (NTS 17, 2004, sections 3.1 and 4). A token bucket promotes the requests that a contract guarantees, round
// robin chooses an endpoint, and tests of the measured latency against the time limit decide which queued requests
// are dispatched and which are rejected. With
//
//	tau   the time limit of a request (request.timeLimit)
//	f     the part of it that waiting and answer may take (latencyHeadroomFraction)
//	w     the time that the request has waited
//	L     the latency of a mean request: the class's mean, times the endpoint's latency factor
//	c     the cost of the request, in mean requests of its class
//	N(l)  the work queued in priority level l, in mean requests
//	F     the work in flight to the endpoint, in mean requests
//	S     the endpoint's concurrency limit, in mean requests
//
// a request at the head of a queue is stale, and rejected, unless
//
//	EQ 3:  w + L * c < tau * f
//
// and a priority level l is open, that is its requests may be dispatched, while
//
//	EQ 4:  (N(0) + ... + N(l) + F) * L / S < tau * f
//
// The first level that holds a request is always open, and the oldest request of all open levels is dispatched.
//
// This package departs from the paper in some points. tau is bounded by the class's latency objective if a later
// answer has no weight. EQ 3 applies to guaranteed requests too. EQ 4 has a stricter bound (queueShareOfDeadline),
// and a request for which it would fail is rejected when it would join the queue, while its client has time to try
// again. S is not fixed: it adapts, so that queues form here, where priority levels count, and not inside the
// endpoints. Costs differ between requests, and endpoints differ in latency. Where many gateways share few endpoints,
// some decisions are random, so that the gateways don't all do the same.
//
// # Lifecycle of a request
//
// Each state names the method that leads to it:
//
//   - arrived (admit): has a time limit, a cost and a customer. Rejected at once if there is no time or the wait for
//     the ceiling would be too long.
//   - waiting for quota (waitForQuota): in the customer's queue until tokens cover it, the counter answers, or it is
//     decided that it goes on without.
//   - placed (assign): has a priority level and is given an endpoint, or is shed. One that finds no endpoint is
//     unplaced until the next tick.
//   - queued (enqueue): in a level of an endpoint's priorityQueue, with units of the ceiling reserved.
//   - in flight (dispatch): has one attempt out; its units are drawn from the ceiling with the first one.
//   - streaming (handleFirstByte): the answer has started; the deadline no longer applies.
//   - placed again (retry): after an attempt that failed, if another one is safe and can be in time.
//   - ended (finish, reject): has its final answer. Forgotten once no attempt is in flight (forgetIfDone).
//
// A request for admission only goes from waiting for quota to admitted (grantAdmission), and ends with RequestDone or
// when its hold time is over.
//
// # State
//
// Each part of the state is a struct that only its own methods change:
//
//   - [Balancer]: the clock, the request table and the components below.
//   - request (request.go): what is known of one request; its quotaProgress, ceilingReservation and attemptHistory.
//   - endpointSet, endpoint (endpoints.go, endpoint.go): the endpoint list. Each endpoint owns its priorityQueue
//     (queue.go), concurrencyLimit (concurrency.go), endpointLatency (latency.go), outlierState (outlier.go) and
//     slowStartState (slowstart.go).
//   - latencyEstimator (latency.go): latency and cost by class.
//   - customerTable, customer (customer.go): what is known of the customers. Each customer owns its waitingRequests
//     (waiting.go), demandRate (demand.go), quotaState (quotastate.go), sharedBucket (sharedbucket.go) and
//     ceilingState (ceiling.go).
//   - counterCalls (countercall.go): the calls to the shared counter, with timedOutCalls (timedoutcall.go).
//   - shareState (share.go): this gateway's part of what all gateways have in common.
//
// dispatch.go is the only place that sends attempts, and grantAdmission the only one that admits work done elsewhere.
package balancer
