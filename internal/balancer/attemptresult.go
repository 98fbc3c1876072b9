package balancer

// handleAttemptResult records the result of an attempt, and ends or retries its request.
func (b *Balancer) handleAttemptResult(ev AttemptResult) {
	req := b.requests[ev.ID]
	if req == nil {
		return
	}
	att := req.attempts.find(ev.Attempt)
	if att == nil {
		return
	}
	req.attempts.close(att)
	if att.responseStarted { // its slot is free and its latency recorded since the first byte
		b.finish(req)
		b.forgetIfDone(req)
		return
	}
	ep := att.endpoint
	ep.removeAttempt(att)
	if ev.Status == NotSent {
		ep.slowStart.budget.CancelDispatch(att.sentAt, req.cost)
	}
	if ev.Status.mayHaveRun() {
		req.attempts.recordRun(att)
	}
	b.recordResult(att, ev)
	if ev.Status == OK && b.settings.EstimatedUnits && ev.Units > 0 && req.quota.covered {
		req.customer.quota.spendTokens(ev.Units - req.units)
	}
	if ev.RequestClosed || ev.Status == OK {
		b.finish(req)
	}
	if req.ended {
		b.forgetIfDone(req)
	} else if !req.streaming && req.attempts.open == 0 {
		b.retry(req)
	}
	b.dispatchQueued(ep)
}

// handleFirstByte frees the slot of an attempt whose streamed answer has started: the endpoint's work is done, and
// the time that the rest takes says nothing about it.
func (b *Balancer) handleFirstByte(ev FirstByte) {
	req := b.requests[ev.ID]
	if req == nil || req.streaming {
		return
	}
	att := req.attempts.find(ev.Attempt)
	if att == nil {
		return
	}
	req.streaming = true
	att.responseStarted = true
	req.attempts.recordRun(att)
	att.endpoint.removeAttempt(att)
	b.recordResult(att, AttemptResult{Status: OK, Latency: b.now - att.sentAt})
	b.dispatchQueued(att.endpoint)
}

// mayHaveRun reports whether an attempt that ended so may have had an effect.
func (s Status) mayHaveRun() bool { return s != Rejected && s != ConnectFailed && s != NotSent }

// recordResult updates what is known of an endpoint by the result of one attempt: health, latency, concurrency limit.
func (b *Balancer) recordResult(att *attempt, ev AttemptResult) {
	ep := att.endpoint
	class := &b.latency.classes[att.request.class]
	latency := max(minMeasuredLatency, ev.Latency.Seconds())
	ratio := min(latency/(class.meanLatency*att.request.cost), maxLatencyRatio)
	b.recordFleetResult(ep, ev.Status, ratio)

	isOutOfTime := ev.Status == Timeout || ev.Status == Cancelled && b.isNearDeadline(att.request)
	switch status := b.statusForEndpoint(att.request, ev.Status); status {
	case Reset, ConnectFailed:
		b.recordConnectionFailure(ep)
	case Timeout:
		b.recordTimeout(ep, ratio)
	case Failed:
		b.recordResponse(att)
	case Rejected:
		b.recordResponse(att)
		ep.concurrency.decreaseRejected()
	case OK:
		b.recordResponse(att)
		b.recordAnswer(att, latency, ratio)
	}
	if isOutOfTime && !ep.outlier.ejected {
		class.recordUnanswered(latency, att.request)
	}
	if att.kind == probeAttempt && ep.outlier.ejected {
		b.scheduleProbe(ep)
	}
	ep.concurrency.finishAttempt(b.now, b.expectedLatency(att.request, ep))
}

// recordFleetResult adds a result to the slowdown of all endpoints, if it tells of the endpoint's load.
func (b *Balancer) recordFleetResult(ep *endpoint, status Status, ratio float64) {
	switch {
	case status == Rejected:
		b.latency.recordFleet(b.now, fleetSlowdownRejected)
	case status == OK || status == Timeout && !ep.outlier.ejected:
		b.latency.recordFleet(b.now, min(ratio, fleetSlowdownMax))
	}
}

// statusForEndpoint is what a result says of the endpoint: an attempt that was cancelled because its request reached
// its deadline is one without an answer in time.
func (b *Balancer) statusForEndpoint(req *request, status Status) Status {
	if status == Cancelled && req.ended && b.isNearDeadline(req) {
		return Timeout
	}
	return status
}

// isNearDeadline reports whether a request's deadline is less than a tick away, or over.
func (b *Balancer) isNearDeadline(req *request) bool { return b.now >= req.deadline()-tickInterval }

// recordConnectionFailure counts a broken connection. A single one says nothing of its endpoint; several in a row
// shrink the concurrency limit and then eject the endpoint.
func (b *Balancer) recordConnectionFailure(ep *endpoint) {
	if ep.outlier.recordConnectionFailure() > 1 {
		ep.concurrency.decrease(rejectedDecrease)
	}
	if ep.outlier.hasBrokenConnections() && !ep.outlier.ejected {
		b.eject(ep)
	}
}

// recordTimeout counts an attempt without an answer in time; ratio is its time in expected latencies.
func (b *Balancer) recordTimeout(ep *endpoint, ratio float64) {
	if ep.outlier.ejected {
		return
	}
	ep.outlier.recordTimeout()
	ep.latency.recordTimeout(ratio)
	ep.concurrency.decrease(timeoutDecrease)
}

// recordResponse counts any response as a sign of life, which reinstates an ejected endpoint. One that answers an
// attempt from before its ejection has not been restarted since.
func (b *Balancer) recordResponse(att *attempt) {
	ep := att.endpoint
	switch {
	case !ep.outlier.ejected:
		ep.outlier.recordResponse(b.now)
	case att.kind == probeAttempt:
		b.reinstateProbed(ep)
		ep.slowStart.recordDispatch(att.sentAt, att.request.cost)
	default:
		b.reinstate(ep)
	}
}

// recordAnswer records the latency of a successful attempt, in seconds and in expected latencies.
func (b *Balancer) recordAnswer(att *attempt, latency, ratio float64) {
	ep := att.endpoint
	req := att.request
	ep.latency.recordAnswer(ratio)
	if !ep.slowStart.active {
		b.recordWarmAnswer(req.cost)
	} else if latency <= req.timeLimit.Seconds() {
		ep.slowStart.budget.RecordAnswer(b.now, req.cost)
	}
	b.latency.classes[req.class].recordAnswer(latency, req)
	b.adjustConcurrency(ep, req)
}
