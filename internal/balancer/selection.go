package balancer

import (
	"math"

	"gapgap/internal/balancer/subsetting"
)

// Costs by which endpoints are compared. The unit is the work in flight and queued, in mean requests, for an endpoint
// of weight 1 with full capacity and the latency of the others.
const (
	// zonePenaltyMin is the factor for an endpoint of another zone, where crossing zones is free.
	zonePenaltyMin = 1.05
	// zonePenaltyPerCost is what Settings.CrossZoneCost adds to that factor, as a multiple.
	zonePenaltyPerCost = 30.0
	// outsideSubsetPenalty puts an endpoint outside the subset behind all of it that have a free slot.
	outsideSubsetPenalty = 500.0
	// noFreeSlotPenalty and noFreeSlotFactor put an endpoint without a free slot behind those that have one.
	noFreeSlotPenalty = 1e3
	noFreeSlotFactor  = 10.0
	// slowStartExhaustedPenalty puts a warming endpoint that has had its budget behind all others.
	slowStartExhaustedPenalty = 1e6
	// minCostDifference is the difference below which costs are equal: then round robin decides.
	minCostDifference = 1e-9
)

const (
	// endpointsPerGateway is the number of endpoints that a gateway uses as a rule, in the mean, where there are
	// more.
	endpointsPerGateway = 16
	// currentEvidenceRate is the rate of answers by each endpoint, per second, that makes estimates current.
	currentEvidenceRate = 1.0
)

// selectEndpoint chooses the endpoint for a request by lowest cost, and by round robin among equal ones. It returns
// nil if no endpoint may be used. The cost of an endpoint is random in part where this gateway has little evidence of
// each: otherwise many gateways would choose the same one.
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

// selectionCost is the cost of placing a request at an endpoint. randomness, from 0 to 1, is the part of it that is
// random.
func (b *Balancer) selectionCost(ep *endpoint, randomness float64) float64 {
	cost := (ep.inFlightWork + ep.queue.work + 1) * ep.latency.factor / (ep.weight * b.capacityFraction(ep))
	if ep.zone != b.settings.Zone {
		cost *= zonePenaltyMin + zonePenaltyPerCost*b.settings.CrossZoneCost
	}
	if randomness > 0 {
		cost *= 1 - randomness + randomness*b.rng.ExpFloat64()
	}
	if !ep.inSubset {
		cost += outsideSubsetPenalty
	}
	if ep.preferNext { // warm endpoints could take all requests for seconds otherwise
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

// evidenceScarcity is 0 if this gateway's own requests keep its estimates of each endpoint current, up to 1 if they
// tell nothing.
func (b *Balancer) evidenceScarcity() float64 {
	return 1 - min(1, b.warmRate.value/currentEvidenceRate)
}

// updateSubset finds the endpoints that this gateway uses as a rule. The size of the subset changes only with the
// number of endpoints by a quarter, so that a rollout that takes out some does not move the connections of the
// others.
func (b *Balancer) updateSubset() {
	b.endpoints.resizeSubset()
	using := b.settings.Gateways // few gateways have evidence enough of all endpoints
	if using >= largeFleetGateways {
		using = subsetting.GatewaysPerEndpoint(using, b.endpoints.subsetSizedFor, endpointsPerGateway)
	}
	b.endpoints.gatewaysPerEndpoint = using
	for _, ep := range b.endpoints.ordered {
		ep.inSubset = subsetting.Uses(ep.name, b.settings.Index, b.settings.Gateways, using, b.share.deadGateways)
	}
}
