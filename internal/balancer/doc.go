// Package balancer implements admission control, quota enforcement and load balancing for one gateway in front of a
// service that many customers share. It decides which requests are forwarded, to which endpoint, when and how often,
// and which requests are rejected.
//
// A [Balancer] performs no I/O and starts no goroutines. The caller passes in [Event] values and executes the returned
// [Action] values in order. All times are on the caller's clock, which may have any origin but must not go backwards.
// Equal settings, seeds and events produce equal actions. A Balancer is not safe for concurrent use; separate
// Balancers share no state.
//
// # Mechanism
//
// The algorithm is based on J. Andersson and M. Kihl, "Load Balancing and Admission Control of a Parlay X Application
// Server" (NTS 17, 2004, sections 3.1 and 4). A token bucket raises the priority of requests within the contracted
// rate, round robin selects an endpoint, and the measured latency is compared with the time limit to decide which
// queued requests are dispatched and which are rejected. Let
//
//	tau   be the time limit of a request (request.usefulFor)
//	f     the fraction of it available for queueing and service (latencyHeadroomFraction)
//	w     the time that the request has waited
//	L     the latency of a mean request: the class's mean multiplied by the endpoint's latency factor
//	c     the cost of the request, in mean requests of its class
//	N(l)  the work queued at priority level l, in mean requests
//	F     the work in flight to the endpoint, in mean requests
//	S     the endpoint's concurrency limit, in mean requests
//
// A request at the head of a queue is stale, and is rejected, unless
//
//	EQ 3:  w + L * c < tau * f
//
// Priority level l is open, meaning that its requests may be dispatched, while
//
//	EQ 4:  (N(0) + ... + N(l) + F) * L / S < tau * f
//
// The highest-priority level that holds a request is always open. The oldest request of all open levels is dispatched.
//
// This package differs from the paper as follows. tau is capped at the class's latency objective if a later answer has
// no weight. EQ 3 also applies to guaranteed requests. EQ 4 has a stricter bound (queueDeadlineFraction), and a request
// that would violate it is rejected before it joins the queue, while its client still has time to retry. S is not
// fixed: it adapts so that queues form in the gateway, where priority levels are respected, and not inside the
// endpoints. Request costs and endpoint latencies vary. Where many gateways share few endpoints, some decisions are
// randomized so that the gateways do not all act alike.
//
// # Lifecycle of a request
//
// Each state is listed with the method that enters it:
//
//   - arrived (admit): has a time limit, a cost and a customer. Rejected immediately if too little time is left or the
//     wait for the ceiling would be too long.
//   - waiting for quota (waitForQuota): in the customer's queue until tokens cover it, the counter answers, or the
//     balancer decides to continue without tokens.
//   - placed (assign): has a priority level and is assigned to an endpoint, or is shed. A request for which no endpoint
//     is available is unplaced until the next tick.
//   - queued (enqueue): in a level of an endpoint's priorityQueue, with units of the ceiling reserved.
//   - in flight (dispatch): has one outstanding attempt. The first attempt spends the reserved units.
//   - streaming (handleFirstByte): the answer has started; the deadline no longer applies.
//   - placed again (retry): after a failed attempt, if a retry is safe and can finish in time.
//   - ended (finish, reject): has its final answer. Removed once no attempt is in flight (forgetIfDone).
//
// An admission-only request goes directly from waiting for quota to admitted (grantAdmission) and ends with RequestDone
// or when its hold time expires.
//
// # State
//
// The state is divided into structs, each modified only by its own methods:
//
//   - [Balancer]: the clock, the request table and the components below.
//   - request (request.go): the state of one request, with its quotaProgress, ceilingReservation and attemptHistory.
//   - endpointSet, endpoint (endpoints.go, endpoint.go): the endpoint list. Each endpoint owns its priorityQueue
//     (queue.go), concurrencyLimit (concurrency.go), endpointLatency (latency.go), outlierState (outlier.go) and
//     slowStartState (slowstart.go).
//   - latencyEstimator (latency.go): latency and cost estimates by class.
//   - customerTable, customer (customer.go): the state of each customer. A customer owns its waitingRequests
//     (waiting.go), demandRate (demand.go), quotaState (quotastate.go), sharedBucket (sharedbucket.go) and
//     ceilingState (ceiling.go).
//   - counterCalls (countercall.go): calls to the shared counter, with timedOutCalls (timedoutcall.go).
//   - shareState (share.go): this gateway's share of the limits that all gateways have in common.
//
// Only dispatch.go sends attempts, and only grantAdmission admits work that is performed elsewhere.
package balancer
