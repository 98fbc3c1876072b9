package balancer

import (
	"math"

	"gapgap/internal/balancer/subsetting"
)

const (
	zonePenaltyMin      = 1.05 // what a server of another zone counts for in the choice ...
	zonePenaltyPerCost  = 30.0 // ... and by how much more, times the price of a crossing
	memberOf            = 16   // servers that a door uses as a rule, in the mean, where there are more
	currentEvidenceRate = 1.0  // answers a second of each server that make what is known current
)

// selectEndpoint picks a server: round robin, passing over one on which more work waits for its weight and speed, and
// one in its pause. Where a door sends to each so rarely that what it knows is old or luck, chance has a part
// (a departure: then all doors together give each server by its weight and speed; none is found by all).
func (b *Balancer) selectEndpoint(req *request) *endpoint {
	var best *endpoint
	low, chance := math.Inf(1), b.evidenceScarcity()
	b.roundRobin++
	for i := range b.endpointOrder {
		ep := b.endpointOrder[(b.roundRobin+i)%len(b.endpointOrder)]
		if !ep.isUsable() || !b.canRetryOn(req, ep) {
			continue
		}
		cost := (ep.inFlightWork + ep.queuedWork + 1) * ep.latencyFactor / (ep.weight * b.capacityFraction(ep))
		if ep.zone != b.settings.Zone {
			cost *= zonePenaltyMin + zonePenaltyPerCost*b.settings.CrossZoneCost
		}
		if chance > 0 {
			cost *= 1 - chance + chance*b.rng.ExpFloat64()
		}
		if !ep.inSubset {
			cost += 500 // before one that is not free
		}
		if ep.overdue { // else the warm ones might take all for seconds
			cost = 0
		}
		if !b.hasFreeSlot(ep) {
			cost = cost*10/min(1, ep.concurrencyLimit) + 1e3
		}
		if b.slowStartExhausted(ep) {
			cost += 1e6
		}
		if cost < low-1e-9 {
			best, low = ep, cost
		}
	}
	return best
}

// evidenceScarcity says from 0 to 1 how little a door learns of one server by its own sends.
func (b *Balancer) evidenceScarcity() float64 {
	return 1 - min(1, b.warmEndpointRate/currentEvidenceRate)
}

// updateSubset finds which servers this door uses as a rule. One that is known keeps its place while the number of
// servers stays near
// what it was: a release that takes some out must not move the others' connections.
func (b *Balancer) updateSubset() {
	n := 0
	for _, ep := range b.endpointOrder {
		if ep.inService {
			n++
		}
	}
	if n > b.subsetSizedFor*5/4 || n < b.subsetSizedFor*3/4 || b.subsetSizedFor == 0 {
		b.subsetSizedFor = n
	}
	using := b.settings.Gateways // few doors meet all servers often enough
	if using >= largeFleetGateways {
		using = subsetting.Doors(using, b.subsetSizedFor, memberOf)
	}
	b.gatewaysPerEndpoint = using
	for _, ep := range b.endpointOrder {
		ep.inSubset = subsetting.HasAmong(ep.name, b.settings.Index, b.settings.Gateways, using, b.share.deadGateways)
	}
}
