package balancer

import "time"

// Conditions for ejecting an endpoint.
const (
	// maxConnectionFailures is the number of consecutive broken connections that ejects an endpoint.
	maxConnectionFailures = 3
	// silenceLatencies is the summed wait of the attempts in flight, in expected latencies, from which an endpoint
	// counts as silent.
	silenceLatencies = 12.0
	// maxSilencePerAttempt caps what one attempt adds to that sum, because it may belong to an expensive request.
	maxSilencePerAttempt = 5.0
	// minSilence is the shortest silence for which an endpoint is ejected.
	minSilence = 200 * time.Millisecond
	// recentResponseWindow is how recently an endpoint must have responded to count as alive when another one is
	// silent.
	recentResponseWindow = 500 * time.Millisecond
	// minAliveDivisor is the inverse of the fraction of endpoints that must be alive before another one is ejected for
	// silence.
	minAliveDivisor = 4
	// reportedTimeouts is the number of timeouts that a silence reported by another pool counts as.
	reportedTimeouts = 2
)

// Timing of probes of an ejected endpoint.
const (
	// minFirstProbePause is the shortest pause between an ejection and the first probe.
	minFirstProbePause = 400 * time.Millisecond
	// maxProbePause is the longest pause between later probes, unless the number of gateways requires more.
	maxProbePause = 2 * time.Second
	// probePausePerGateway times the number of gateways is the range of the random first pause, and a lower bound of
	// the longest pause.
	probePausePerGateway = 50 * time.Millisecond
	// minProbeTimeLatencies is the shortest time limit, in expected latencies, of a request that may serve as a probe.
	minProbeTimeLatencies = 7.0
	// probeTimeoutLatencies is the timeout of a probe request, in expected latencies.
	probeTimeoutLatencies = 4.0
	// restartSilence is the silence after which an endpoint may have been restarted.
	restartSilence = 2 * time.Second
)

// outlierState is the outlier detection state of one endpoint.
type outlierState struct {
	// ejected is set while the endpoint gets only probes.
	ejected bool
	// probing is set while a probe is in flight.
	probing bool
	// nextProbeAt is the earliest time of the next probe of an ejected endpoint.
	nextProbeAt time.Duration
	// probePause is the pause that precedes that probe.
	probePause time.Duration
	// connectionFailures is the number of consecutive broken connections.
	connectionFailures int
	// timeouts is the number of attempts not answered in time since the last response.
	timeouts int
	// lastResponseAt is the time of the last response, or of the first dispatch after an idle period if that is later.
	lastResponseAt time.Duration
}

// reset marks the endpoint as healthy, as if it had just responded.
func (o *outlierState) reset(now time.Duration) {
	o.ejected = false
	o.probing = false
	o.recordResponse(now)
}

// recordResponse records a response of any kind, which shows that the endpoint is alive.
func (o *outlierState) recordResponse(now time.Duration) {
	o.lastResponseAt = now
	o.timeouts = 0
	o.connectionFailures = 0
}

// recordTimeout counts an attempt that was not answered in time.
func (o *outlierState) recordTimeout() { o.timeouts++ }

// recordConnectionFailure counts a broken connection and returns the number of consecutive ones.
func (o *outlierState) recordConnectionFailure() int {
	o.connectionFailures++
	return o.connectionFailures
}

// becomeBusy records that an idle endpoint gets work, so that silence is measured from now on. A probe of an ejected
// endpoint does not interrupt its silence.
func (o *outlierState) becomeBusy(now time.Duration) {
	if !o.ejected {
		o.lastResponseAt = max(o.lastResponseAt, now)
	}
}

// hasBrokenConnections reports whether enough consecutive connections broke to eject the endpoint.
func (o *outlierState) hasBrokenConnections() bool {
	return o.connectionFailures >= maxConnectionFailures
}

// eject stops new requests and schedules the first probe after a pause.
func (o *outlierState) eject(now, pause time.Duration) {
	o.ejected = true
	o.probing = false
	o.probePause = pause
	o.nextProbeAt = now + pause
}

// scheduleProbe schedules the next probe. The pause grows by half each time, up to the given maximum.
func (o *outlierState) scheduleProbe(now, longest time.Duration) {
	o.probing = false
	o.probePause = min(longest, o.probePause*3/2)
	o.nextProbeAt = now + o.probePause
}

// beginProbe records that a probe is in flight.
func (o *outlierState) beginProbe() { o.probing = true }

// advanceProbe moves the next probe forward to a time if it is scheduled later.
func (o *outlierState) advanceProbe(at time.Duration) { o.nextProbeAt = min(o.nextProbeAt, at) }

// isProbeDue reports whether the endpoint is ejected and may be probed now.
func (o *outlierState) isProbeDue(now time.Duration) bool {
	return o.ejected && !o.probing && now >= o.nextProbeAt
}

// recordReportedFault applies a fault reported by another pool. Reported broken connections count as all failures but
// one, so that a single failure here ejects the endpoint. Reported silence counts as several timeouts, unless the
// endpoint has responded here since then. oldest is the oldest attempt in flight, or nil if there is none.
func (o *outlierState) recordReportedFault(report HealthReport, oldest *attempt) {
	if report.Health == ConnectionsBroken {
		o.connectionFailures = max(o.connectionFailures, maxConnectionFailures-1)
		return
	}
	// becomeBusy sets lastResponseAt as well, without a response.
	hasNotResponded := oldest != nil && o.lastResponseAt <= oldest.sentAt
	if o.lastResponseAt <= report.Since || hasNotResponded {
		o.timeouts = max(o.timeouts, reportedTimeouts)
	}
}

// checkEndpointHealth ejects an endpoint that has become silent, and starts a due health check of an ejected one.
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

// isSilent reports whether the summed wait of the attempts in flight is far longer than answers take, without any
// response meanwhile. This detects endpoints that are hung, stopped or disconnected. An endpoint that merely got
// several expensive requests in a row may be ejected by mistake; its first late answer reinstates it.
func (b *Balancer) isSilent(ep *endpoint) bool {
	waited := maxSilencePerAttempt * float64(ep.outlier.timeouts)
	for _, att := range ep.inFlight {
		silence := (b.now - max(att.sentAt, ep.outlier.lastResponseAt)).Seconds()
		waited += min(maxSilencePerAttempt, silence/b.expectedLatency(att.request, ep))
	}
	return waited >= silenceLatencies && b.now-ep.outlier.lastResponseAt >= minSilence
}

// areOthersAlive reports whether enough other endpoints have responded recently, and more recently than the given one.
// Otherwise the cause of the silence may be this gateway itself.
func (b *Balancer) areOthersAlive(ep *endpoint) bool {
	silence := b.now - ep.outlier.lastResponseAt
	alive := 0
	for _, other := range b.endpoints.ordered {
		otherSilence := b.now - other.outlier.lastResponseAt
		if other.isUsable() && otherSilence < silence && otherSilence < recentResponseWindow {
			alive++
		}
	}
	return alive > 0 && minAliveDivisor*alive >= len(b.endpoints.ordered)
}

// eject stops new requests to an endpoint, reassigns the requests queued for it, and cancels its attempts whose
// requests can still be served elsewhere.
func (b *Balancer) eject(ep *endpoint) {
	// A random pause prevents many gateways from probing at the same moment.
	spread := int64(b.liveGateways()) * int64(probePausePerGateway)
	pause := max(minFirstProbePause, time.Duration(b.rng.Int64N(spread)))
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

// scheduleProbe schedules the next probe of an ejected endpoint.
func (b *Balancer) scheduleProbe(ep *endpoint) {
	longest := max(maxProbePause, time.Duration(b.liveGateways())*probePausePerGateway)
	ep.outlier.scheduleProbe(b.now, longest)
}

// probeCandidate returns an ejected endpoint that a request may probe, or nil. Requests serve as probes only if health
// checks are disabled, and only if they are idempotent and have time for another attempt.
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

// canServeAsProbe reports whether a request can still be served in time if its first attempt goes to an endpoint that
// is down.
func (b *Balancer) canServeAsProbe(req *request) bool {
	return b.settings.Classes[req.class].Idempotency == Idempotent &&
		len(req.attempts.all) == 0 &&
		req.attempts.limit >= 2 &&
		req.usefulFor.Seconds() >= minProbeTimeLatencies*b.expectedLatency(req, nil)
}

// handleHealthCheckResult reinstates an ejected endpoint after a successful health check, and schedules the next probe
// after a failed one.
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

// reinstateProbed reinstates an endpoint that has answered a health check or a probe request. After a long silence the
// endpoint may have been restarted, so it begins slow start.
func (b *Balancer) reinstateProbed(ep *endpoint) {
	mayHaveRestarted := b.now-ep.outlier.lastResponseAt > restartSilence
	b.reinstate(ep)
	if mayHaveRestarted {
		ep.latency.reset()
		ep.beginSlowStart(b.now)
		b.emit(HealthReport{Endpoint: ep.name, Health: WarmingUp, Since: b.now})
	}
}

// reinstate returns an ejected endpoint to use.
func (b *Balancer) reinstate(ep *endpoint) {
	ep.outlier.reset(b.now)
	b.emit(LogLine{"used again: " + ep.name})
}

// handleHealthReport applies a health report of another pool of this process. Later responses at this pool take
// precedence. An endpoint that the other pool has reinstated begins slow start here too, and is probed at once if it is
// ejected here.
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

// applyReportedWarmUp begins slow start of an endpoint as of the time that another pool reported.
func (b *Balancer) applyReportedWarmUp(ep *endpoint, since time.Duration) {
	if !ep.outlier.ejected && b.now-ep.outlier.lastResponseAt < restartSilence {
		return // it responded here while it was silent there
	}
	if !ep.slowStart.active || ep.slowStart.since < since {
		ep.slowStart.begin(since)
		ep.concurrency.limitTo(slowStartConcurrency)
	}
	ep.outlier.advanceProbe(b.now)
}
