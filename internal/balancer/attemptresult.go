package balancer

// handleAttemptResult records the result of an attempt, then finishes or retries its request.
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
	if att.streaming { // handleFirstByte has freed the slot and recorded the latency
		b.finish(req)
		b.forgetIfDone(req)
		return
	}
	ep := att.endpoint
	ep.removeAttempt(att)
	if ev.Status == NotSent {
		ep.slowStart.budget.CancelDispatch(att.chargedAt, req.cost)
	}
	if ev.Status.mayHaveRun() {
		req.attempts.recordRun(att)
	}
	if att.unwritten && ev.Status != NotSent && ev.Status != ConnectFailed {
		b.chargeWrite(att) // the last byte may have been written since
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

// handleFirstByte frees the slot of an attempt when its streamed response starts. The endpoint has done its work by
// then, and the duration of the transfer says nothing about the endpoint.
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
	att.streaming = true
	req.attempts.recordRun(att)
	att.endpoint.removeAttempt(att)
	b.recordResult(att, AttemptResult{Status: OK, Latency: att.latency(b.now)})
	b.dispatchQueued(att.endpoint)
}

// handleResponseBegun frees the slot of an attempt when the first bytes of its response arrive. From then on neither
// the latency objective nor an ejection ends the attempt, only the client's deadline.
func (b *Balancer) handleResponseBegun(ev ResponseBegun) {
	req := b.requests[ev.ID]
	if req == nil || req.ended {
		return
	}
	att := req.attempts.find(ev.Attempt)
	if att == nil || att.responseBegun {
		return
	}
	att.responseBegun = true
	att.responseBegunAt = b.now
	att.endpoint.removeAttempt(att)
	b.recordResponse(att)
	if req.usefulUntil() < req.clientDeadline() {
		b.setDeadlineTimer(req)
	}
	b.dispatchQueued(att.endpoint)
}

// mayHaveRun reports whether an attempt with this result may have had an effect.
func (s Status) mayHaveRun() bool { return s != Rejected && s != ConnectFailed && s != NotSent }

// recordResult updates an endpoint's health, latency and concurrency limit from the result of one attempt.
func (b *Balancer) recordResult(att *attempt, ev AttemptResult) {
	ep := att.endpoint
	class := &b.latency.classes[att.request.class]
	latency := max(minMeasuredLatency, ev.Latency.Seconds())
	ratio := min(latency/(class.meanLatency*att.request.cost), maxLatencyRatio)
	b.recordFleetResult(ep, ev.Status, ratio)

	isOutOfTime := !att.responseBegun &&
		(ev.Status == Timeout || ev.Status == Cancelled && b.isNearDeadline(att.request))
	switch status := b.statusForEndpoint(att, ev.Status); status {
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

// recordFleetResult adds a result to the fleet slowdown if it reflects the endpoint's load.
func (b *Balancer) recordFleetResult(ep *endpoint, status Status, ratio float64) {
	switch {
	case status == Rejected:
		b.latency.recordFleet(b.now, fleetSlowdownRejected)
	case status == OK || status == Timeout && !ep.outlier.ejected:
		b.latency.recordFleet(b.now, min(ratio, fleetSlowdownMax))
	}
}

// statusForEndpoint returns the result as it counts for the endpoint. An attempt that was cancelled because its request
// was no longer useful counts as a timeout. An endpoint that has begun its response has not timed out.
func (b *Balancer) statusForEndpoint(att *attempt, status Status) Status {
	switch {
	case att.responseBegun && status == Timeout:
		return Cancelled
	case !att.responseBegun && status == Cancelled && att.request.ended && b.isNearDeadline(att.request):
		return Timeout
	}
	return status
}

// isNearDeadline reports whether a request is less than a tick before the end of its useful time, or past it.
func (b *Balancer) isNearDeadline(req *request) bool { return b.now >= req.usefulUntil()-tickInterval }

// recordConnectionFailure counts a broken connection. A single failure says nothing about the endpoint; consecutive
// failures first shrink its concurrency limit and then eject it.
func (b *Balancer) recordConnectionFailure(ep *endpoint) {
	if ep.outlier.recordConnectionFailure() > 1 {
		ep.concurrency.decrease(rejectedDecrease)
	}
	if ep.outlier.hasBrokenConnections() && !ep.outlier.ejected {
		b.eject(ep)
	}
}

// recordTimeout counts an attempt that was not answered in time. ratio is the attempt's duration in expected latencies.
func (b *Balancer) recordTimeout(ep *endpoint, ratio float64) {
	if ep.outlier.ejected {
		return
	}
	ep.outlier.recordTimeout()
	ep.latency.recordTimeout(ratio)
	ep.concurrency.decrease(timeoutDecrease)
}

// recordResponse treats any response as evidence that the endpoint is alive, and reinstates an ejected one. A response
// to an attempt from before the ejection also shows that the endpoint has not restarted since, so it skips slow start.
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

// recordAnswer records the latency of a successful attempt, given in seconds and as a ratio to the expected latency.
func (b *Balancer) recordAnswer(att *attempt, latency, ratio float64) {
	ep := att.endpoint
	req := att.request
	ep.latency.recordAnswer(ratio)
	if !ep.slowStart.active {
		b.recordWarmAnswer(req.cost)
	} else if latency <= req.usefulFor.Seconds() {
		ep.slowStart.budget.RecordAnswer(b.now, req.cost)
	}
	b.latency.classes[req.class].recordAnswer(latency, req)
	b.adjustConcurrency(ep, req)
}
