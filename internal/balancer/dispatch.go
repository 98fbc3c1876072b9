package balancer

import "time"

// dispatchQueued dispatches queued requests to an endpoint while it has a free slot. If the endpoint's own queue is
// empty, it takes requests from the longest queue among the endpoints that have no free slot.
func (b *Balancer) dispatchQueued(ep *endpoint) {
	for ep.isUsable() && ep.hasFreeSlot(b.now) && !b.isSlowStartExhausted(ep) {
		if b.endpoints.queuedRequests == 0 {
			return
		}
		from := ep
		if ep.queue.length == 0 {
			from = b.longestBlockedQueue(ep)
		}
		req := b.nextRequest(from, ep)
		if req == nil {
			return
		}
		b.dequeue(req)
		b.dispatch(req, ep, regularAttempt)
	}
}

// longestBlockedQueue returns the endpoint with the longest queue among those that have no free slot, or the given
// endpoint if none of them has a longer queue than it.
func (b *Balancer) longestBlockedQueue(ep *endpoint) *endpoint {
	longest := ep
	for _, other := range b.endpoints.ordered {
		if other.queue.length > longest.queue.length && !other.hasFreeSlot(b.now) {
			longest = other
		}
	}
	return longest
}

// dispatch sends an attempt of a request to an endpoint; no other function emits Dispatch. It therefore checks once
// more the rules that must hold whatever was decided earlier: the endpoint is in service, the request may have this
// attempt, and the first attempt that is written draws its units from the ceiling.
func (b *Balancer) dispatch(req *request, ep *endpoint, kind attemptKind) {
	if !ep.inService {
		b.assign(req)
		return
	}
	if !b.canDispatch(req, ep) {
		b.reject(req, 0, StaleInQueue)
		return
	}
	plan := &b.settings.Plans[req.plan]
	if !req.ceiling.drawn && !b.drawCeiling(req, plan) {
		b.reject(req, b.refillTime(req.customer, plan, req.units), CeilingExceeded)
		return
	}
	req.ceiling.drawn = true
	b.releaseCeiling(req, true)
	timeout := b.attemptTimeout(req, kind)
	b.addAttempt(req, ep, kind)
	b.emit(Dispatch{ID: req.id, Endpoint: ep.name, Timeout: timeout, WriteBy: b.writeDeadline(req)})
}

// canDispatch reports whether a request may have an attempt at an endpoint now. It must have no open attempt, attempts
// left and time for a useful answer, and must not risk a second effect.
func (b *Balancer) canDispatch(req *request, ep *endpoint) bool {
	return req.attempts.open == 0 &&
		req.attempts.canAdd() &&
		b.canRetryOn(req, ep) &&
		b.now < req.usefulUntil()
}

// attemptTimeout returns the time within which the response to an attempt dispatched now must begin. The timeout of a
// probe is short enough to leave time for another attempt.
func (b *Balancer) attemptTimeout(req *request, kind attemptKind) time.Duration {
	timeout := req.usefulUntil() - b.now
	if kind == probeAttempt {
		probeTimeout := probeTimeoutLatencies * b.expectedLatency(req, nil)
		timeout = min(timeout, time.Duration(probeTimeout*float64(time.Second)))
	}
	return timeout
}

// addAttempt records an attempt with its request and its endpoint.
func (b *Balancer) addAttempt(req *request, ep *endpoint, kind attemptKind) {
	att := &attempt{request: req, endpoint: ep, place: ep.place, sentAt: b.now, chargedAt: b.now, kind: kind}
	req.attempts.add(att)
	if kind == probeAttempt {
		ep.outlier.beginProbe()
	}
	ep.addAttempt(b.now, att)
}

// writeDeadline returns the time by which a retry must be completely written because a later one could have a second
// effect. It returns 0 if there is no such limit.
func (b *Balancer) writeDeadline(req *request) time.Duration {
	if req.attempts.mayHaveRun && b.settings.Classes[req.class].Idempotency == IdempotentByKey {
		return b.retryDeadline(req)
	}
	return 0
}
