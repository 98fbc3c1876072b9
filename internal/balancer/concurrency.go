package balancer

import (
	"math"
)

const (
	initialConcurrency     = 4.0  // slots of a server at first, over all doors
	maxConcurrency         = 32.0 // slots at most
	minConcurrency         = 0.1  // and at least: under one, pauses between sends
	concurrencyIncrease    = 0.5  // slots gained by each answer in time, over the slots
	shrinkDeadlineFraction = 0.4  // slots shrink when latency is over this share of tau*f ...
	shrinkLatencyRatio     = 2.2  // ... or this many times an idle fleet's latency, and grow ...
	growLatencyFraction    = 0.7  // ... while it is under this share of both ("well under")
	minimalConcurrency     = 3.0  // slots over all doors at which waiting can't explain latency
	lateDecrease           = 0.93 // factor for each late answer
	timeoutDecrease        = 0.8  // factor for an attempt out of time: it may still hold its place
	rejectedDecrease       = 0.7  // factor for a refusal or a broken connection
)

// hasFreeSlot says whether a server has a free slot. Less than one slot means a pause between sends: with many doors
// even one request each can be too much, and what a server turns away costs it work as well.
func (b *Balancer) hasFreeSlot(ep *endpoint) bool {
	return ep.inFlightWork < math.Floor(max(1, ep.concurrencyLimit)) && b.now >= ep.pausedUntil
}

// adjustConcurrency grows the slots while latency is well under tau*f and all are in use, and shrinks them when it is
// not.
// It also keeps latency near that of an idle fleet (a departure: tau*f alone lets queues form inside the
// servers, where no level counts and where work that nobody waits for any more goes on). That floor follows
// the class's mean down at once, and up only while so few slots are open that waiting can't be the cause: so
// a slowness of everything is told from overload.
func (b *Balancer) adjustConcurrency(ep *endpoint, req *request) {
	k := &b.classes[req.class]
	if k.meanLatency < k.idleLatency || k.answers <= idleLatencyMinAnswers { // the first few may be small or lucky ones
		k.idleLatency = k.meanLatency
	} else if ep.concurrencyLimit*b.liveGateways() <= minimalConcurrency {
		k.idleLatency += idleLatencyGain * (k.meanLatency - k.idleLatency)
	}
	high := min(
		req.timeLimit.Seconds()*latencyHeadroomFraction*shrinkDeadlineFraction,
		shrinkLatencyRatio*k.idleLatency,
	)
	switch lat := k.meanLatency * ep.latencyFactor; {
	case lat > high && ep.concurrencyLimit*b.liveGateways() > 0.7*minimalConcurrency:
		ep.concurrencyLimit *= lateDecrease
	case lat < high*growLatencyFraction && ep.inFlightWork+1 >= math.Floor(ep.concurrencyLimit):
		ep.concurrencyLimit = min(maxConcurrency, ep.concurrencyLimit+concurrencyIncrease/max(1, ep.concurrencyLimit))
	}
}
