package balancer

import (
	"time"
)

const (
	maxConnectionFailures = 3                      // broken connections in a row at which a server is left out
	silenceLatencies      = 12.0                   // waits of all attempts out, in latencies, that mean silence ...
	minSilence            = 200 * time.Millisecond // and no silence is shorter than this
	maxSilencePerAttempt  = 5.0                    // ... one attempt adding no more (it may be a costly one)
	firstProbePause       = 400 * time.Millisecond // pause before the first trial of an ejected server
	maxProbePause         = 2 * time.Second        // and the longest later one
	probePausePerGateway  = 50 * time.Millisecond  // ... and for each door
	probeTimeLatencies    = 7.0                    // latencies of time that a request must have to serve as a trial ...
	probeTimeoutLatencies = 4.0                    // ... and that the trial may take of it
	restartSilence        = 2 * time.Second        // a server silent for longer may have been started anew
	reportedTimeouts      = 2                      // answers owed as which another door's word on a silence counts
)

// checkSilence finds a server silent when the attempts out there have waited, summed up, far longer than
// answers take while nothing was heard. It covers hung, cut off and stopped machines. If fewer than a quarter
// of the servers answer, it is not this server's fault. It could harm a server that got several costly
// requests in a row; the first late answer brings such a one back.
func (b *Balancer) checkSilence(ep *endpoint) {
	if ep.ejected {
		if ep.inService && b.settings.AllowHealthChecks && b.now >= ep.nextProbeAt && !ep.probing {
			ep.probing = true
			b.emit(HealthCheck{ep.name})
		}
		return
	}
	sum := maxSilencePerAttempt * float64(ep.timeouts)
	for _, a := range ep.inFlight {
		quiet := (b.now - max(a.sentAt, ep.lastResponseAt)).Seconds()
		sum += min(maxSilencePerAttempt, quiet/b.expectedLatency(a.request, ep))
	}
	if sum < silenceLatencies || b.now-ep.lastResponseAt < minSilence {
		return
	}
	live := 0
	for _, other := range b.endpointOrder {
		if other.isUsable() && b.now-other.lastResponseAt < b.now-ep.lastResponseAt &&
			b.now-other.lastResponseAt < 500*time.Millisecond {
			live++
		}
	}
	if 4*live >= len(b.endpointOrder) && live > 0 {
		b.eject(ep)
	}
}

// eject stops new work to a server, moves its queue on and calls back what could still be served elsewhere.
func (b *Balancer) eject(ep *endpoint) {
	ep.ejected, ep.probing = true, false
	ep.probePause = max(
		firstProbePause,
		time.Duration(b.rng.Int64N(int64(b.liveGateways())*int64(probePausePerGateway))),
	)
	ep.nextProbeAt = b.now + ep.probePause
	b.emit(LogLine{"no longer used: " + ep.name})
	health := Unresponsive
	if ep.connectionFailures >= maxConnectionFailures {
		health = ConnectionsBroken
	}
	b.emit(HealthReport{ep.name, health, ep.lastResponseAt})
	b.reassignQueue(ep)
	if !b.settings.AllowCancel {
		return
	}
	for _, a := range ep.inFlight {
		if !a.request.ended && !a.request.streaming &&
			(b.now-a.request.arrivedAt).Seconds()+b.expectedLatency(a.request, nil) < a.request.timeLimit.Seconds() {
			b.emit(CancelAttempt{a.request.id, a.number})
		}
	}
}

func (b *Balancer) scheduleProbe(ep *endpoint) {
	ep.probing = false
	ep.probePause = min(max(maxProbePause, time.Duration(b.liveGateways())*probePausePerGateway), ep.probePause*3/2)
	ep.nextProbeAt = b.now + ep.probePause
}

// probeCandidate gives an ejected server one safe request with time for another attempt, without probes.
func (b *Balancer) probeCandidate(req *request) *endpoint {
	if b.settings.AllowHealthChecks || b.settings.Classes[req.class].Idempotency != Idempotent ||
		len(req.attempts) > 0 ||
		req.maxAttempts < 2 ||
		req.timeLimit.Seconds() < probeTimeLatencies*b.expectedLatency(req, nil) {
		return nil
	}
	for _, ep := range b.endpointOrder {
		if ep.inService && ep.ejected && !ep.probing && b.now >= ep.nextProbeAt && !b.slowStartExhausted(ep) {
			return ep
		}
	}
	return nil
}

func (b *Balancer) handleHealthCheckResult(ev HealthCheckResult) {
	ep := b.endpoints[ev.Endpoint]
	if ep == nil || !ep.ejected {
		return
	}
	b.scheduleProbe(ep)
	if ev.Status == OK {
		b.reinstate(ep, true)
	}
}

// reinstate takes a server back. One that comes back from silence may have started anew: it counts as cold.
func (b *Balancer) reinstate(ep *endpoint, fresh bool) {
	fresh = fresh && b.now-ep.lastResponseAt > restartSilence
	ep.ejected, ep.probing, ep.connectionFailures, ep.timeouts, ep.lastResponseAt = false, false, 0, 0, b.now
	b.emit(LogLine{"used again: " + ep.name})
	if fresh {
		ep.warmingUp, ep.warmUpFrom, ep.latencyFactor, ep.concurrencyLimit = true, b.now, 1, 1
		b.emit(HealthReport{ep.name, WarmingUp, b.now})
	}
}

// handleHealthReport takes what another door of this process has found out about a server (ours). Its word on silence
// counts as two answers owed, and on broken connections as all but one: an own sign of life since outweighs
// it, and one attempt that goes the same way settles it. A server that came back cold is cold for this door
// too, and asked at once if left out.
func (b *Balancer) handleHealthReport(f HealthReport) {
	ep := b.endpoints[f.Endpoint]
	switch {
	case ep == nil || !ep.inService:
	case f.Health == WarmingUp:
		if !ep.ejected && b.now-ep.lastResponseAt < restartSilence {
			return // it has answered here while it was silent there
		}
		if !ep.warmingUp || ep.warmUpFrom < f.Since {
			ep.warmingUp, ep.warmUpFrom, ep.concurrencyLimit = true, f.Since, min(1, ep.concurrencyLimit)
		}
		ep.nextProbeAt = min(ep.nextProbeAt, b.now)
	case ep.ejected:
	case f.Health == ConnectionsBroken:
		ep.connectionFailures = max(ep.connectionFailures, maxConnectionFailures-1)
	// a send is no sign of life
	case ep.lastResponseAt <= f.Since || len(ep.inFlight) > 0 && ep.lastResponseAt <= ep.inFlight[0].sentAt:
		ep.timeouts = max(ep.timeouts, reportedTimeouts)
	}
}
