package balancer

import (
	"math"

	"gapgap/internal/balancer/subsetting"
)

// Factors and penalties of the cost by which endpoints are compared. One unit of cost is one mean request in flight or
// queued at an endpoint of weight 1 with full capacity and average latency.
const (
	// zonePenaltyMin is the factor for an endpoint in another zone if crossing zones costs nothing.
	zonePenaltyMin = 1.05
	// zonePenaltyPerCost times Settings.CrossZoneCost is added to that factor.
	zonePenaltyPerCost = 30.0
	// outsideSubsetPenalty ranks an endpoint outside the subset after all subset endpoints that have a free slot.
	outsideSubsetPenalty = 500.0
	// noFreeSlotPenalty and noFreeSlotFactor rank an endpoint without a free slot after those that have one.
	noFreeSlotPenalty = 1e3
	noFreeSlotFactor  = 10.0
	// slowStartExhaustedPenalty ranks an endpoint with an exhausted slow-start budget after all others.
	slowStartExhaustedPenalty = 1e6
	// minCostDifference is the difference below which costs count as equal, so that round robin decides.
	minCostDifference = 1e-9
)

const (
	// endpointsPerGateway is the mean size of a gateway's subset, if there are more endpoints than that.
	endpointsPerGateway = 16
	// currentEvidenceRate is the rate of answers per endpoint and second from which estimates count as current.
	currentEvidenceRate = 1.0
)

// selectEndpoint returns the endpoint with the lowest cost for a request, or nil if none is usable. Round robin decides
// among endpoints of equal cost. Where this gateway has little evidence about each endpoint, part of the cost is
// random; otherwise many gateways would choose the same endpoint.
func (b *Balancer) selectEndpoint(req *request) *endpoint {
	var best *endpoint
	lowest := math.Inf(1)
	randomness := b.evidenceScarcity()
	b.endpoints.beginRound()
	for position := range b.endpoints.ordered {
		ep := b.endpoints.inRound(position)
		if !ep.isUsable() || !b.canRetryOn(req, ep) {
			continue
		}
		cost := b.selectionCost(ep, randomness)
		if cost < lowest-minCostDifference {
			best = ep
			lowest = cost
		}
	}
	return best
}

// selectionCost returns the cost of placing a request at an endpoint. randomness is the random fraction of it, from 0
// to 1.
func (b *Balancer) selectionCost(ep *endpoint, randomness float64) float64 {
	cost := (ep.inFlightWork + ep.queue.work + 1) * ep.latency.factor / (ep.weight * b.capacityFraction(ep))
	if ep.place.zone != b.settings.Zone {
		cost *= zonePenaltyMin + zonePenaltyPerCost*b.settings.CrossZoneCost
	}
	if randomness > 0 {
		cost *= 1 - randomness + randomness*b.rng.ExpFloat64()
	}
	if !ep.inSubset {
		cost += outsideSubsetPenalty
	}
	if ep.preferNext { // otherwise warm endpoints could get all requests for seconds
		cost = 0
	}
	if !ep.hasFreeSlot(b.now) {
		cost = cost*noFreeSlotFactor/min(1, ep.concurrency.limit) + noFreeSlotPenalty
	}
	if b.isSlowStartExhausted(ep) {
		cost += slowStartExhaustedPenalty
	}
	return cost
}

// evidenceScarcity returns 0 if this gateway's own requests keep its estimates of each endpoint current, up to 1 if it
// has no recent evidence.
func (b *Balancer) evidenceScarcity() float64 {
	return 1 - min(1, b.warmRate.value/currentEvidenceRate)
}

// updateSubset recomputes this gateway's subset. The subset size changes only when the number of endpoints changes by a
// quarter, so that a rollout that temporarily removes some endpoints does not move connections of the others.
func (b *Balancer) updateSubset() {
	b.endpoints.resizeSubset()
	perEndpoint := b.settings.Gateways // a small fleet has enough evidence about all endpoints
	if perEndpoint >= largeFleetGateways {
		perEndpoint = subsetting.GatewaysPerEndpoint(perEndpoint, b.endpoints.subsetSizedFor, endpointsPerGateway)
	}
	b.endpoints.gatewaysPerEndpoint = perEndpoint
	for _, ep := range b.endpoints.ordered {
		ep.inSubset = subsetting.Uses(ep.name, b.settings.Index, b.settings.Gateways, perEndpoint, b.share.deadGateways)
	}
}
