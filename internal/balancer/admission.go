package balancer

import "time"

// Parts of a request's time limit.
const (
	// latencyHeadroomFraction is the part that waiting and answer may take together (f of EQ 3 and EQ 4).
	latencyHeadroomFraction = 0.9
	// minTimeLatencies is the least time limit of a request, in expected latencies.
	minTimeLatencies = 0.5
)

// admit takes in a request: it is rejected at once, or waits for its quota, which may cover it at once.
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
	if req.timeLimit.Seconds() <= b.expectedLatency(req, nil)*minTimeLatencies {
		b.reject(req, 0, InsufficientTime)
		return
	}
	if !req.admitOnly { // one for admission only is mostly decided at once, and gets its timer below
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

// hasClassAndPlan reports whether the settings have the class and the plan of a request.
func (b *Balancer) hasClassAndPlan(ev Request) bool {
	return ev.Class >= 0 && ev.Class < len(b.settings.Classes) && ev.Plan >= 0 && ev.Plan < len(b.settings.Plans)
}

// newRequest returns the state of a request that has arrived.
func (b *Balancer) newRequest(ev Request) *request {
	req := &request{
		id:          ev.ID,
		class:       ev.Class,
		plan:        ev.Plan,
		units:       max(0, ev.Units),
		arrivedAt:   b.now,
		timeLimit:   b.timeLimitOf(ev),
		attempts:    attemptHistory{limit: b.settings.MaxAttempts},
		clientRetry: ev.ClientRetry,
		admitOnly:   ev.AdmitOnly,
		holdFor:     ev.HoldFor,
	}
	req.customer = b.customerFor(ev)
	req.cost = b.latency.classes[ev.Class].costProfile.Cost(ev.Units)
	return req
}

// timeLimitOf is the time within which an answer to a request is of use: the time that the client has left, or the
// latency objective of a class where a later answer has no weight. If this gateway has just stood still, the request
// may have waited before it was read. First requests of a class come with the same time left, so what is missing of
// the longest one is that wait.
func (b *Balancer) timeLimitOf(ev Request) time.Duration {
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

// maxCeilingWait is the longest time in seconds that a request may wait for its customer's ceiling. The wait must
// stay short, or each request that still goes out is nearly late; and classes of less weight leave the capacity to
// those of more. A request for admission only does not wait.
func (b *Balancer) maxCeilingWait(req *request) float64 {
	if req.admitOnly {
		return 0
	}
	weight := b.settings.Classes[req.class].PriorityWeight
	return req.timeLimit.Seconds() * maxCeilingWaitFraction * weight / b.maxClassWeight
}

// waitForQuota puts a request at the end of its customer's queue, and serves what the quota covers now.
func (b *Balancer) waitForQuota(req *request) {
	req.customer.waiting.push(req)
	if req.admitOnly {
		b.setDeadlineTimer(req)
	}
	b.serveWaiting(req.customer)
}

// assign places a request that quota and ceiling cover: it is admitted, dispatched as a probe, queued at an endpoint,
// or rejected if no endpoint can be expected to answer in time. A first attempt for which there is no endpoint waits
// for the next tick.
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

// assignUnplaced tries again to place the requests for which there was no endpoint.
func (b *Balancer) assignUnplaced() {
	unplaced := b.unplaced
	b.unplaced = nil
	for _, req := range unplaced {
		if !req.ended {
			b.assign(req)
		}
	}
}

// grantAdmission admits a request for admission only. It is the one place that does. Like a dispatch it draws units
// from the ceiling, and it counts as in flight until its work is done or its hold time is over.
func (b *Balancer) grantAdmission(req *request) {
	plan := &b.settings.Plans[req.plan]
	if b.now >= req.deadline() || !b.drawCeiling(req, plan) {
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
