package balancer

import "time"

// Fractions of a request's time limit that admission decides by.
const (
	// latencyHeadroomFraction is the usable fraction of the time limit: queueing and the attempt together must fit into
	// it (f in EQ 3 and EQ 4).
	latencyHeadroomFraction = 0.9
	// minTimeLimitLatencies is the shortest time limit, in expected latencies, of a request that is admitted at all.
	minTimeLimitLatencies = 0.5
)

// admit handles a new request. It is rejected at once, or joins its customer's waiting requests until its quota is
// decided, which may happen immediately.
func (b *Balancer) admit(ev Request) {
	if b.requests[ev.ID] != nil {
		return
	}
	if !b.hasClassAndPlan(ev) {
		b.emit(Reject{ID: ev.ID, Reason: UnknownClass})
		return
	}
	if b.rejectIfTableFull(ev) {
		return
	}
	req := b.newRequest(ev)
	b.requests[req.id] = req
	if req.usefulFor.Seconds() <= b.expectedLatency(req, nil)*minTimeLimitLatencies {
		b.reject(req, 0, InsufficientTime)
		return
	}
	if !req.admitOnly { // mostly decided at once; waitForQuota sets the timer of one that must wait
		b.setDeadlineTimer(req)
	}
	req.customer.recordDemand(b.now, req)
	wait := b.ceilingWait(req)
	if wait > b.maxCeilingWait(req) {
		b.reject(req, time.Duration(wait*float64(time.Second)), CeilingExceeded)
		return
	}
	if req.admitOnly {
		if decision := b.checkQuota(req); decision != quotaPending {
			b.applyQuotaDecision(req, decision)
			return
		}
	}
	b.waitForQuota(req)
}

// hasClassAndPlan reports whether the settings define the class and the plan of a request.
func (b *Balancer) hasClassAndPlan(ev Request) bool {
	return ev.Class >= 0 && ev.Class < len(b.settings.Classes) && ev.Plan >= 0 && ev.Plan < len(b.settings.Plans)
}

// newRequest creates the state of a request that has just arrived.
func (b *Balancer) newRequest(ev Request) *request {
	req := &request{
		id:            ev.ID,
		class:         ev.Class,
		plan:          ev.Plan,
		units:         max(0, ev.Units),
		arrivedAt:     b.now,
		usefulFor:     b.usefulTimeOf(ev),
		clientTimeout: ev.TimeLeft,
		attempts:      attemptHistory{limit: b.settings.MaxAttempts},
		clientRetry:   ev.ClientRetry,
		admitOnly:     ev.AdmitOnly,
		holdFor:       ev.HoldFor,
	}
	req.customer = b.customerFor(ev)
	req.cost = b.latency.classes[ev.Class].costProfile.Cost(ev.Units)
	return req
}

// usefulTimeOf returns the time within which an answer to a request is still useful: the time that the client has left,
// capped at the latency objective if late answers of the class have no weight.
//
// If this gateway has just stalled, the request may have waited unread. First requests of a class arrive with the same
// time left, so the shortfall against the longest time left seen so far estimates that wait.
func (b *Balancer) usefulTimeOf(ev Request) time.Duration {
	class := &b.settings.Classes[ev.Class]
	estimate := &b.latency.classes[ev.Class]
	limit := ev.TimeLeft
	if class.LateWeightFraction == 0 && class.LatencyObjective > 0 {
		limit = min(limit, class.LatencyObjective)
	}
	estimate.maxTimeLeft = max(estimate.maxTimeLeft, ev.TimeLeft)
	stalledFor := b.now - b.previousStepAt
	if stalledFor > stallThreshold && !ev.ClientRetry {
		waited := min(stalledFor, estimate.maxTimeLeft-ev.TimeLeft)
		limit = min(limit, class.LatencyObjective-waited)
	}
	return limit
}

// maxCeilingWait returns how long, in seconds, a request may wait for its customer's ceiling. The bound is short
// because otherwise every request dispatched after the wait would be close to its deadline. It scales with the priority
// weight, so that classes of lower weight leave capacity to those of higher weight. A request for admission only does
// not wait.
func (b *Balancer) maxCeilingWait(req *request) float64 {
	if req.admitOnly {
		return 0
	}
	weight := b.settings.Classes[req.class].PriorityWeight
	return req.usefulFor.Seconds() * maxCeilingWaitFraction * weight / b.maxClassWeight
}

// waitForQuota appends a request to its customer's waiting requests and serves those that the quota covers now.
func (b *Balancer) waitForQuota(req *request) {
	req.customer.waiting.push(req)
	if req.admitOnly {
		b.setDeadlineTimer(req)
	}
	b.serveWaiting(req.customer)
}

// assign places a request that is covered by quota and ceiling: it is admitted, dispatched as a probe, queued at an
// endpoint, or rejected if no endpoint is expected to answer in time. A request that cannot have run yet and finds no
// usable endpoint stays unplaced until the next tick.
func (b *Balancer) assign(req *request) {
	if req.admitOnly {
		b.grantAdmission(req)
		return
	}
	if ep := b.probeCandidate(req); ep != nil {
		b.dispatch(req, ep, probeAttempt)
		return
	}
	ep := b.selectEndpoint(req)
	switch {
	case ep == nil && b.endpoints.areAllAdminEjected():
		b.reject(req, b.settings.MaxRetryAfter, EndpointsEjected)
	case ep == nil && !req.attempts.mayHaveRun:
		b.unplaced = append(b.unplaced, req)
	case ep == nil || b.shouldShed(req, ep):
		b.reject(req, 0, QueueTooLong)
	default:
		b.enqueue(req, ep)
		b.dispatchQueued(ep)
	}
}

// assignUnplaced tries again to place the requests that found no usable endpoint.
func (b *Balancer) assignUnplaced() {
	unplaced := b.unplaced
	b.unplaced = nil
	for _, req := range unplaced {
		if !req.ended {
			b.assign(req)
		}
	}
}

// grantAdmission admits a request for admission only; no other function emits Admit. Like a dispatch, it draws units
// from the ceiling. The request counts as in flight until it is reported done or its hold time has passed.
func (b *Balancer) grantAdmission(req *request) {
	plan := &b.settings.Plans[req.plan]
	if b.now >= req.usefulUntil() || !b.drawCeiling(req, plan) {
		b.reject(req, b.refillTime(req.customer, plan, req.units), CeilingExceeded)
		return
	}
	b.releaseCeiling(req, true)
	req.admitted = true
	req.holdUntil = b.now + req.holdFor
	b.emit(Admit{req.id})
	if !req.inFlight || req.holdFor <= 0 {
		b.finish(req)
		return
	}
	b.emit(SetTimer{At: req.holdUntil, Cookie: requestCookie(req.id)})
}
