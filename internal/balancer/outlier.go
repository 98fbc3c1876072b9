package balancer

import "time"

// Faults that eject an endpoint.
const (
	// maxConnectionFailures is the number of broken connections in a row that ejects an endpoint.
	maxConnectionFailures = 3
	// silenceLatencies is the summed wait of the attempts in flight, in expected latencies, that means silence.
	silenceLatencies = 12.0
	// maxSilencePerAttempt is the most that one attempt adds to that sum: it may be a costly one.
	maxSilencePerAttempt = 5.0
	// minSilence is the shortest silence that ejects an endpoint.
	minSilence = 200 * time.Millisecond
	// recentResponse is how lately an endpoint has answered that counts as alive when another one is silent.
	recentResponse = 500 * time.Millisecond
	// minAliveDivisor: one in so many endpoints must be alive before silence ejects another one.
	minAliveDivisor = 4
	// reportedTimeouts is the number of timeouts that another pool's report of silence counts for.
	reportedTimeouts = 2
)

// Probes of an ejected endpoint.
const (
	// firstProbePause is the least pause from the ejection to the first probe.
	firstProbePause = 400 * time.Millisecond
	// maxProbePause is the longest later pause, unless gateways are many.
	maxProbePause = 2 * time.Second
	// probePausePerGateway is what each gateway adds to the range of the first pause and to the longest one.
	probePausePerGateway = 50 * time.Millisecond
	// probeTimeLatencies is the time that a request must have to serve as a probe, in expected latencies.
	probeTimeLatencies = 7.0
	// probeTimeoutLatencies is the timeout of such a probe, in expected latencies.
	probeTimeoutLatencies = 4.0
	// restartSilence is the silence after which an endpoint may have been restarted.
	restartSilence = 2 * time.Second
)

// outlierState is the fault detection of one endpoint.
type outlierState struct {
	// ejected is set while the endpoint gets no requests but probes.
	ejected bool
	// probing is set while a probe is out.
	probing bool
	// nextProbeAt is when the next probe of an ejected endpoint may go out.
	nextProbeAt time.Duration
	// probePause is the pause before that probe.
	probePause time.Duration
	// connectionFailures is the number of broken connections in a row.
	connectionFailures int
	// timeouts is the number of attempts without an answer in time since the last response.
	timeouts int
	// lastResponseAt is the time of the last response, or when the endpoint got work after having none.
	lastResponseAt time.Duration
}

// reset makes the endpoint healthy, as if it had just responded.
func (o *outlierState) reset(now time.Duration) {
	o.ejected = false
	o.probing = false
	o.recordResponse(now)
}

// recordResponse records an answer of any kind: the endpoint is alive.
func (o *outlierState) recordResponse(now time.Duration) {
	o.lastResponseAt = now
	o.timeouts = 0
	o.connectionFailures = 0
}

// recordTimeout counts an attempt without an answer in time.
func (o *outlierState) recordTimeout() { o.timeouts++ }

// recordConnectionFailure counts a broken connection and returns the number of them in a row.
func (o *outlierState) recordConnectionFailure() int {
	o.connectionFailures++
	return o.connectionFailures
}

// becomeBusy records that the endpoint has work after having none: silence counts from here on. A probe of an ejected
// endpoint ends no silence.
func (o *outlierState) becomeBusy(now time.Duration) {
	if !o.ejected {
		o.lastResponseAt = max(o.lastResponseAt, now)
	}
}

// hasBrokenConnections reports whether connections failed often enough to eject the endpoint.
func (o *outlierState) hasBrokenConnections() bool {
	return o.connectionFailures >= maxConnectionFailures
}

// eject stops new requests and plans the first probe after a pause.
func (o *outlierState) eject(now, pause time.Duration) {
	o.ejected = true
	o.probing = false
	o.probePause = pause
	o.nextProbeAt = now + pause
}

// scheduleProbe plans the next probe after a pause that grows by half, up to a longest one.
func (o *outlierState) scheduleProbe(now, longest time.Duration) {
	o.probing = false
	o.probePause = min(longest, o.probePause*3/2)
	o.nextProbeAt = now + o.probePause
}

// beginProbe records that a probe is out.
func (o *outlierState) beginProbe() { o.probing = true }

// probeBy brings the next probe forward to a time, if it would come later.
func (o *outlierState) probeBy(at time.Duration) { o.nextProbeAt = min(o.nextProbeAt, at) }

// isProbeDue reports whether the endpoint is ejected and may be probed now.
func (o *outlierState) isProbeDue(now time.Duration) bool {
	return o.ejected && !o.probing && now >= o.nextProbeAt
}

// recordReportedFault takes another pool's report into account. A report of broken connections counts for all
// failures but one, so one failure of our own ejects the endpoint. A report of silence counts for some timeouts,
// unless the endpoint has responded here since; oldest is the oldest attempt in flight, nil if there is none.
func (o *outlierState) recordReportedFault(report HealthReport, oldest *attempt) {
	if report.Health == ConnectionsBroken {
		o.connectionFailures = max(o.connectionFailures, maxConnectionFailures-1)
		return
	}
	// Becoming busy sets lastResponseAt, but it is no response.
	hasNotResponded := oldest != nil && o.lastResponseAt <= oldest.sentAt
	if o.lastResponseAt <= report.Since || hasNotResponded {
		o.timeouts = max(o.timeouts, reportedTimeouts)
	}
}

// checkEndpointHealth ejects a silent endpoint, and sends a health check to an ejected one when it is due.
func (b *Balancer) checkEndpointHealth(ep *endpoint) {
	if ep.outlier.ejected {
		if ep.inService && b.settings.AllowHealthChecks && ep.outlier.isProbeDue(b.now) {
			ep.outlier.beginProbe()
			b.emit(HealthCheck{ep.name})
		}
		return
	}
	if b.isSilent(ep) && b.areOthersAlive(ep) {
		b.eject(ep)
	}
}

// isSilent reports whether the attempts in flight have waited, summed up, far longer than answers take, with no
// response meanwhile. That finds hung, stopped and disconnected endpoints. One that merely got several costly
// requests in a row may be found silent too; its first late answer reinstates it.
func (b *Balancer) isSilent(ep *endpoint) bool {
	waited := maxSilencePerAttempt * float64(ep.outlier.timeouts)
	for _, att := range ep.inFlight {
		silence := (b.now - max(att.sentAt, ep.outlier.lastResponseAt)).Seconds()
		waited += min(maxSilencePerAttempt, silence/b.expectedLatency(att.request, ep))
	}
	return waited >= silenceLatencies && b.now-ep.outlier.lastResponseAt >= minSilence
}

// areOthersAlive reports whether enough endpoints have responded lately, and later than a given one. Otherwise the
// silence may be this gateway's own.
func (b *Balancer) areOthersAlive(ep *endpoint) bool {
	silence := b.now - ep.outlier.lastResponseAt
	alive := 0
	for _, other := range b.endpoints.ordered {
		otherSilence := b.now - other.outlier.lastResponseAt
		if other.isUsable() && otherSilence < silence && otherSilence < recentResponse {
			alive++
		}
	}
	return alive > 0 && minAliveDivisor*alive >= len(b.endpoints.ordered)
}

// eject stops new requests to an endpoint, places those queued for it elsewhere, and cancels attempts whose requests
// could still be served elsewhere.
func (b *Balancer) eject(ep *endpoint) {
	// The pause is random, so that many gateways don't probe together.
	spread := int64(b.liveGateways()) * int64(probePausePerGateway)
	pause := max(firstProbePause, time.Duration(b.rng.Int64N(spread)))
	ep.outlier.eject(b.now, pause)
	b.emit(LogLine{"no longer used: " + ep.name})
	health := Unresponsive
	if ep.outlier.hasBrokenConnections() {
		health = ConnectionsBroken
	}
	b.emit(HealthReport{Endpoint: ep.name, Health: health, Since: ep.outlier.lastResponseAt})
	b.reassignQueue(ep)
	if b.settings.AllowCancel {
		b.cancelServableElsewhere(ep)
	}
}

// cancelServableElsewhere cancels the attempts in flight to an endpoint whose requests have time for another attempt.
func (b *Balancer) cancelServableElsewhere(ep *endpoint) {
	for _, att := range ep.inFlight {
		req := att.request
		if !req.ended && !req.streaming && b.hasTimeForAttempt(req) {
			b.emit(CancelAttempt{ID: req.id, Attempt: att.number})
		}
	}
}

// scheduleProbe plans the next probe of an ejected endpoint.
func (b *Balancer) scheduleProbe(ep *endpoint) {
	longest := max(maxProbePause, time.Duration(b.liveGateways())*probePausePerGateway)
	ep.outlier.scheduleProbe(b.now, longest)
}

// probeCandidate returns an ejected endpoint that a request may probe, or nil. Requests serve as probes only where
// there are no health checks, and only idempotent ones that have time for another attempt.
func (b *Balancer) probeCandidate(req *request) *endpoint {
	if b.settings.AllowHealthChecks || !b.canServeAsProbe(req) {
		return nil
	}
	for _, ep := range b.endpoints.ordered {
		if ep.inService && ep.outlier.isProbeDue(b.now) && !b.isSlowStartExhausted(ep) {
			return ep
		}
	}
	return nil
}

// canServeAsProbe reports whether a request loses nothing if its first attempt goes to an endpoint that may be down.
func (b *Balancer) canServeAsProbe(req *request) bool {
	return b.settings.Classes[req.class].Idempotency == Idempotent &&
		len(req.attempts.all) == 0 &&
		req.attempts.limit >= 2 &&
		req.timeLimit.Seconds() >= probeTimeLatencies*b.expectedLatency(req, nil)
}

// handleHealthCheckResult reinstates an endpoint whose health check succeeded.
func (b *Balancer) handleHealthCheckResult(ev HealthCheckResult) {
	ep := b.endpoints.byName[ev.Endpoint]
	if ep == nil || !ep.outlier.ejected {
		return
	}
	b.scheduleProbe(ep)
	if ev.Status == OK {
		b.reinstateProbed(ep)
	}
}

// reinstateProbed reinstates an endpoint that has answered a health check or a probe request. After a long silence it
// may have been restarted, so it warms up.
func (b *Balancer) reinstateProbed(ep *endpoint) {
	mayHaveRestarted := b.now-ep.outlier.lastResponseAt > restartSilence
	b.reinstate(ep)
	if mayHaveRestarted {
		ep.latency.reset()
		ep.beginSlowStart(b.now)
		b.emit(HealthReport{Endpoint: ep.name, Health: WarmingUp, Since: b.now})
	}
}

// reinstate lets an ejected endpoint get requests again.
func (b *Balancer) reinstate(ep *endpoint) {
	ep.outlier.reset(b.now)
	b.emit(LogLine{"used again: " + ep.name})
}

// handleHealthReport takes what another pool of this process found out about an endpoint. Later responses here
// outweigh it. An endpoint that another pool has reinstated warms up here too, and is probed at once if it is ejected
// here.
func (b *Balancer) handleHealthReport(report HealthReport) {
	ep := b.endpoints.byName[report.Endpoint]
	switch {
	case ep == nil || !ep.inService:
	case report.Health == WarmingUp:
		b.applyReportedWarmUp(ep, report.Since)
	case !ep.outlier.ejected:
		ep.outlier.recordReportedFault(report, ep.oldestAttempt())
	}
}

// applyReportedWarmUp makes an endpoint warm up since a time that another pool has told.
func (b *Balancer) applyReportedWarmUp(ep *endpoint, since time.Duration) {
	if !ep.outlier.ejected && b.now-ep.outlier.lastResponseAt < restartSilence {
		return // it responded here while it was silent there
	}
	if !ep.slowStart.active || ep.slowStart.since < since {
		ep.slowStart.begin(since)
		ep.concurrency.limitTo(slowStartConcurrency)
	}
	ep.outlier.probeBy(b.now)
}
