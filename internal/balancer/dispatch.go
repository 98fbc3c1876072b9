package balancer

import (
	"slices"
	"time"
)

// dispatchQueued releases requests to a server while it has a slot. With nothing queued it helps the longest queue.
func (b *Balancer) dispatchQueued(ep *endpoint) {
	for ep.isUsable() && b.hasFreeSlot(ep) && !b.slowStartExhausted(ep) {
		from := ep
		if ep.queued == 0 && b.queuedRequests == 0 {
			return
		} else if ep.queued == 0 {
			for _, other := range b.endpointOrder {
				if other.queued > from.queued && !b.hasFreeSlot(other) {
					from = other
				}
			}
		}
		req := b.nextRequest(from, ep)
		if req == nil {
			return
		}
		b.dequeue(req)
		b.dispatch(req, ep, false)
	}
}

// dispatch is the one place that sends. The guards come last here, whatever was decided before.
func (b *Balancer) dispatch(req *request, ep *endpoint, trial bool) {
	plan := &b.settings.Plans[req.plan]
	switch {
	case !ep.inService: // drain: nothing new from the moment it is told
		b.assign(req)
		return
	case req.attemptsOut > 0 || len(req.attempts) >= req.maxAttempts || !b.canRetryOn(req, ep) ||
		b.now >= req.arrivedAt+req.timeLimit:
		b.reject(req, 0, StaleInQueue)
		return
	}
	if len(req.attempts) == 0 {
		if !b.drawCeiling(req, plan) {
			b.reject(req, b.refillTime(req.customer, plan, req.units), CeilingExceeded)
			return
		}
	}
	b.releaseCeiling(req, true)
	a := &attempt{request: req, number: len(req.attempts), endpoint: ep, sentAt: b.now, probe: trial, open: true}
	limit := req.arrivedAt + req.timeLimit - b.now
	if trial {
		ep.probing = true
		limit = min(limit, time.Duration(probeTimeoutLatencies*b.expectedLatency(req, nil)*float64(time.Second)))
	}
	if len(ep.inFlight) == 0 {
		ep.lastResponseAt = max(ep.lastResponseAt, b.now)
	}
	req.attempts = append(req.attempts, a)
	req.attemptsOut++
	ep.inFlight = append(ep.inFlight, a)
	ep.overdue = false
	ep.inFlightWork += req.cost
	if ep.warmingUp {
		ep.slowStart.Sent(b.now, req.cost)
	}
	by := time.Duration(0)
	if req.mayHaveRun && b.settings.Classes[req.class].Idempotency == IdempotentByKey {
		by = b.retryDeadline(req)
	}
	b.emit(Dispatch{req.id, ep.name, limit, by})
}

// handleAttemptResult takes the end of an attempt.
func (b *Balancer) handleAttemptResult(ev AttemptResult) {
	req := b.requests[ev.ID]
	if req == nil || ev.Attempt < 0 || ev.Attempt >= len(req.attempts) || !req.attempts[ev.Attempt].open {
		return
	}
	a := req.attempts[ev.Attempt]
	a.open = false
	req.attemptsOut--
	ep := a.endpoint
	if a.responseStarted {
		b.finish(req)
		b.forgetIfDone(req)
		return
	}
	ep.completeAttempt(a)
	if ev.Status == NotSent {
		ep.slowStart.Unsent(a.sentAt, req.cost)
	}
	if !req.mayHaveRun && ev.Status != Rejected && ev.Status != ConnectFailed && ev.Status != NotSent {
		req.mayHaveRun, req.firstRunAt, req.firstRunOn = true, a.sentAt, ep
	}
	b.recordResult(ep, a, ev)
	if ev.Status == OK && b.settings.EstimatedUnits && ev.Units > 0 && req.withinQuota {
		req.customer.quota.tokens -= ev.Units - req.units
	}
	if ev.RequestClosed || ev.Status == OK {
		b.finish(req)
	}
	if req.ended {
		b.forgetIfDone(req)
	} else if !req.streaming && req.attemptsOut == 0 {
		b.retry(req)
	}
	b.dispatchQueued(ep)
}

// handleFirstByte takes the first byte of a streamed answer: the server's work is done, and how long it takes to pass
// the rest on says nothing of it.
func (b *Balancer) handleFirstByte(ev FirstByte) {
	req := b.requests[ev.ID]
	if req == nil || ev.Attempt < 0 || ev.Attempt >= len(req.attempts) || !req.attempts[ev.Attempt].open ||
		req.streaming {
		return
	}
	a := req.attempts[ev.Attempt]
	req.streaming, a.responseStarted, req.mayHaveRun, req.firstRunAt, req.firstRunOn = true, true, true, a.sentAt,
		a.endpoint
	a.endpoint.completeAttempt(a)
	b.recordResult(a.endpoint, a, AttemptResult{Status: OK, Latency: b.now - a.sentAt})
	b.dispatchQueued(a.endpoint)
}

// completeAttempt takes an attempt off its server.
func (ep *endpoint) completeAttempt(a *attempt) {
	ep.inFlight = slices.DeleteFunc(ep.inFlight, func(o *attempt) bool { return o == a })
	if ep.inFlightWork -= a.request.cost; len(ep.inFlight) == 0 {
		ep.inFlightWork = 0
	}
}
