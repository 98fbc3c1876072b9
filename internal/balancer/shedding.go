package balancer

import (
	"cmp"
	"math"
)

// joinDeadlineFraction is the fraction of the usable time limit within which a request of the highest level must be
// expected to be answered in order to join a queue.
const joinDeadlineFraction = 0.8

// Load shedding by latency, for overload that does not show as a lack of free slots.
const (
	// shedStartFraction is the fraction of the usable time limit, taken by waiting inside endpoints, at which shedding
	// starts.
	shedStartFraction = 0.4
	// shedFullFraction is the fraction at which shedding reaches shedMaxProbability.
	shedFullFraction = 0.8
	// shedMaxProbability leaves a few requests, whose answers show when the overload is over.
	shedMaxProbability = 0.97
	// shedLevelSlope is the relative increase of the waiting fraction for the lowest level; it is proportional to the
	// level.
	shedLevelSlope = 1.5
	// shedScarcityFactor times the evidence scarcity, at most 1, scales the shedding probability.
	shedScarcityFactor = 2.0
	// minUsableTime is the lower bound, in seconds, of the usable time limit.
	minUsableTime = 1e-3
)

// Load shedding by the shortage of free slots.
const (
	// shortageGain is the weight of one request in the moving average of the shortage.
	shortageGain = 0.02
	// shortageShedFactor times the shortage is the probability of rejecting a request of the lowest level.
	shortageShedFactor = 2.0
)

// shouldShed reports whether to reject a request instead of placing it at an endpoint. An early rejection leaves the
// client time for another try.
func (b *Balancer) shouldShed(req *request, ep *endpoint) bool {
	hasFreeSlot := ep.hasFreeSlot(b.now)
	if req.quota.covered && len(req.attempts.all) == 0 {
		b.recordShortage(hasFreeSlot)
	}
	// Free slots are about to be needed for requests of higher levels.
	if req.level == lowestLevel && b.rng.Float64() < b.shortage*shortageShedFactor {
		return true
	}
	if hasFreeSlot {
		return b.shouldShedByLatency(req)
	}
	return len(req.attempts.all) == 0 && b.isQueueTooLong(req, ep)
}

// recordShortage updates the shortage with whether a request within its quota found a free slot.
func (b *Balancer) recordShortage(hasFreeSlot bool) {
	found := 0.0
	if !hasFreeSlot {
		found = 1
	}
	b.shortage += shortageGain * (found - b.shortage)
}

// shouldShedByLatency decides by chance whether to reject a request despite a free slot. With many gateways, queues
// form inside the endpoints, and only latency shows their length.
func (b *Balancer) shouldShedByLatency(req *request) bool {
	class := &b.latency.classes[req.class]
	latency := class.meanLatency * max(1, b.latency.fleetSlowdown) * req.cost
	idleLatency := cmp.Or(class.idleLatency*req.cost, latency)
	usableTime := max(minUsableTime, req.usefulFor.Seconds()*latencyHeadroomFraction-idleLatency)
	waitFraction := (latency - idleLatency) / usableTime * (1 + shedLevelSlope*float64(req.level)/lowestLevel)
	probability := min(shedMaxProbability, (waitFraction-shedStartFraction)/(shedFullFraction-shedStartFraction))
	return b.rng.Float64() < min(1, shedScarcityFactor*b.evidenceScarcity())*probability
}

// isQueueTooLong reports whether a request that joins an endpoint's queue is expected to be answered too late. It
// applies EQ 4 to the end of the queue; lower levels allow only shorter queues.
func (b *Balancer) isQueueTooLong(req *request, ep *endpoint) bool {
	meanLatency := b.latency.classes[req.class].meanLatency * ep.latency.factor
	queued := ep.queue.workUpTo(req.level, req.cost) * meanLatency / ep.concurrency.limit
	expected := req.waited(b.now).Seconds() + queued + b.expectedLatency(req, ep)
	share := joinDeadlineFraction * math.Pow(1-float64(req.level)/(2*priorityBands), 2)
	return expected >= req.usefulFor.Seconds()*latencyHeadroomFraction*share
}
