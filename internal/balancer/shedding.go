package balancer

import (
	"cmp"
	"math"
)

// joinShareOfDeadline is the part of the usable time limit that a request of the highest level may be expected to take
// when it joins a queue.
const joinShareOfDeadline = 0.8

// Load shedding by latency, where free slots don't tell that endpoints are overloaded.
const (
	// shedFromFraction is the part of the usable time limit, taken by waiting inside endpoints, from which some
	// requests are rejected.
	shedFromFraction = 0.4
	// shedAllFraction is the part at which all are but 1-shedMaxProbability.
	shedAllFraction = 0.8
	// shedMaxProbability leaves a few requests, whose answers tell when the overload is over.
	shedMaxProbability = 0.97
	// shedLevelSlope is what the lowest level adds to the part, as a multiple.
	shedLevelSlope = 1.5
	// shedScarcityFactor times the scarcity of evidence is the part of this rule that applies, 1 at most.
	shedScarcityFactor = 2.0
	// minUsableTime bounds the usable time limit from below, in seconds.
	minUsableTime = 1e-3
)

// Load shedding by the shortage of free slots.
const (
	// shortageGain is the weight of one request in the shortage.
	shortageGain = 0.02
	// shortageShedFactor times the shortage is the probability that a request of the lowest level is rejected.
	shortageShedFactor = 2.0
)

// shouldShed reports whether a request is rejected instead of joining the queue of an endpoint, while its client can
// still try again in time.
func (b *Balancer) shouldShed(req *request, ep *endpoint) bool {
	hasFreeSlot := ep.hasFreeSlot(b.now)
	if req.quota.covered && len(req.attempts.all) == 0 {
		b.recordShortage(hasFreeSlot)
	}
	// A free slot will soon be needed for a request of a higher level.
	if req.level == lowestLevel && b.rng.Float64() < b.shortage*shortageShedFactor {
		return true
	}
	if hasFreeSlot {
		return b.shouldShedByLatency(req)
	}
	return len(req.attempts.all) == 0 && b.isQueueTooLong(req, ep)
}

// recordShortage adds to the shortage whether a request within its quota found a free slot.
func (b *Balancer) recordShortage(hasFreeSlot bool) {
	found := 0.0
	if !hasFreeSlot {
		found = 1
	}
	b.shortage += shortageGain * (found - b.shortage)
}

// shouldShedByLatency decides by chance whether to reject a request although there is a free slot. Where gateways are
// many the queues are inside the endpoints, and only latency tells how long they are.
func (b *Balancer) shouldShedByLatency(req *request) bool {
	class := &b.latency.classes[req.class]
	latency := class.meanLatency * max(1, b.latency.fleetSlowdown) * req.cost
	idleLatency := cmp.Or(class.idleLatency*req.cost, latency)
	usableTime := max(minUsableTime, req.timeLimit.Seconds()*latencyHeadroomFraction-idleLatency)
	waitFraction := (latency - idleLatency) / usableTime * (1 + shedLevelSlope*float64(req.level)/lowestLevel)
	probability := min(shedMaxProbability, (waitFraction-shedFromFraction)/(shedAllFraction-shedFromFraction))
	return b.rng.Float64() < min(1, shedScarcityFactor*b.evidenceScarcity())*probability
}

// isQueueTooLong reports whether a request that joins an endpoint's queue must be expected to be answered too late:
// EQ 4 seen from the end of the queue. The lower the level, the shorter the queue must be.
func (b *Balancer) isQueueTooLong(req *request, ep *endpoint) bool {
	meanLatency := b.latency.classes[req.class].meanLatency * ep.latency.factor
	queued := ep.queue.workUpTo(req.level, req.cost) * meanLatency / ep.concurrency.limit
	expected := req.waited(b.now).Seconds() + queued + b.expectedLatency(req, ep)
	share := joinShareOfDeadline * math.Pow(1-float64(req.level)/(2*priorityBands), 2)
	return expected >= req.timeLimit.Seconds()*latencyHeadroomFraction*share
}
