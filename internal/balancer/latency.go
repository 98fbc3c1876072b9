package balancer

import (
	"time"

	"gapgap/internal/balancer/costmodel"
)

const (
	initialLatencyFraction = 0.1   // latency before the first answer, as a share of the aim
	meanLatencyGain        = 0.03  // weight of an answer in a class's mean latency: a second's worth
	latencyFactorGain      = 0.15  // weight of an answer in a server's slowness against its peers
	fleetSlowdownSeconds   = 2.0   // else the answers of all servers are averaged over these seconds ...
	fleetSlowdownMaxGain   = 0.2   // ... one weighing this at most ...
	fleetSlowdownMax       = 4.0   // ... and counting as this many of its class's means ...
	fleetSlowdownRejected  = 6.0   // ... a refusal by a server as these
	idleLatencyMinAnswers  = 30    // answers from which a mean can be a floor
	idleLatencyGain        = 0.015 // weight of an answer by which the idle latency then rises
)

// classEstimate is what a door has learned of one class.
type classEstimate struct {
	meanLatency float64           // mean latency, seconds
	idleLatency float64           // ... on an idle fleet
	answers     int               // that these are of
	costProfile costmodel.Profile // how the work grows with units
	maxTimeLeft time.Duration     // the most time that a client gave
}

// expectedLatency is the time an answer takes, by recent ones: the class's mean times size and the server's slowness.
func (b *Balancer) expectedLatency(req *request, ep *endpoint) float64 {
	if req.admitOnly {
		return 0
	}
	if ep != nil {
		return b.classes[req.class].meanLatency * req.cost * ep.latencyFactor
	}
	return b.classes[req.class].meanLatency * req.cost
}

// recordResult takes what an outcome tells of a server: latency, slots, signs of life.
func (b *Balancer) recordResult(ep *endpoint, a *attempt, ev AttemptResult) {
	k := &b.classes[a.request.class]
	took := max(1e-3, ev.Latency.Seconds())              // within a tick counts as a millisecond
	ratio := min(took/(k.meanLatency*a.request.cost), 8) // one costly request says little of its server
	news := min(ratio, fleetSlowdownMax)
	if ev.Status == OK || ev.Status == Rejected || ev.Status == Timeout && !ep.ejected {
		if ev.Status == Rejected {
			news = fleetSlowdownRejected
		}
		b.fleetSlowdown += min(
			fleetSlowdownMaxGain,
			(b.now-b.fleetSlowdownAt).Seconds()/fleetSlowdownSeconds,
		) * (news - b.fleetSlowdown)
		b.fleetSlowdownAt = b.now
	}
	if ev.Status == Cancelled && a.request.ended && b.now >= a.request.arrivedAt+a.request.timeLimit-tickInterval {
		ev.Status = Timeout // the request's own end came first
	}
	switch ev.Status {
	case Reset, ConnectFailed:
		if ep.connectionFailures++; ep.connectionFailures > 1 { // one broken connection says nothing of its server
			ep.concurrencyLimit *= rejectedDecrease
		}
		if ep.connectionFailures >= maxConnectionFailures && !ep.ejected {
			b.eject(ep)
		}
	case Timeout:
		if !ep.ejected {
			ep.timeouts++
			ep.latencyFactor += latencyFactorGain * (ratio - ep.latencyFactor)
			ep.concurrencyLimit *= timeoutDecrease
		}
	case OK, Failed, Rejected:
		ep.lastResponseAt, ep.timeouts, ep.connectionFailures = b.now, 0, 0
		if ep.ejected {
			b.reinstate(ep, a.probe)
		}
	}
	switch ev.Status {
	case Rejected:
		ep.concurrencyLimit = min(1, ep.concurrencyLimit) * rejectedDecrease
	case OK:
		ep.latencyFactor = max(0.2, ep.latencyFactor+latencyFactorGain*(ratio-ep.latencyFactor))
		if !ep.warmingUp {
			b.recordWarmRate(a.request.cost)
		} else if took <= a.request.timeLimit.Seconds() {
			ep.slowStart.Answered(b.now, a.request.cost)
		}
		k.answers++
		k.costProfile.Add(a.request.units, took/k.meanLatency, true)
		k.meanLatency += max(meanLatencyGain, 1/float64(k.answers)) * (took/a.request.cost - k.meanLatency)
		b.adjustConcurrency(ep, a.request)
	}
	if !ep.ejected &&
		(ev.Status == Timeout || ev.Status == Cancelled && b.now >= a.request.arrivedAt+a.request.timeLimit-tickInterval) {
		k.costProfile.Add(a.request.units, took/k.meanLatency, false)
	}
	if a.probe && ep.ejected {
		b.scheduleProbe(ep)
	}
	ep.concurrencyLimit = max(minConcurrency, ep.concurrencyLimit)
	if ep.concurrencyLimit < 1 && b.now >= ep.pausedUntil {
		rest := b.expectedLatency(a.request, ep) * (1/ep.concurrencyLimit - 1)
		ep.pausedUntil = b.now + time.Duration(rest*float64(time.Second))
	}
}
