package balancer

import "gapgap/internal/balancer/quotashare"

// inFlightSlack is the number of requests that peers may have in flight beyond the number expected from their demand.
const inFlightSlack = 0.5

// isInFlightFull reports whether a customer has reached its limit on requests in flight at this gateway.
func (b *Balancer) isInFlightFull(req *request, plan *Plan) bool {
	return plan.MaxInFlight > 0 && req.customer.inFlight >= b.inFlightLimit(req, plan)
}

// inFlightLimit returns how many of a customer's requests may be in flight at this gateway. That is the gateway's share
// of the plan's limit, or what the peers' demand leaves of the limit if the counter shows that the peers need less than
// their shares.
func (b *Balancer) inFlightLimit(req *request, plan *Plan) int {
	limit := b.inFlightShare(req.customer, plan)
	if req.customer.bucket.known && b.counter.isHealthy() {
		peerRequests := req.customer.bucket.peerDemand / max(req.units, 1)
		peersInFlight := peerRequests * b.expectedLatency(req, nil)
		limit = max(limit, float64(plan.MaxInFlight)-peersInFlight-inFlightSlack-plan.OverQuotaCost)
	}
	return max(1, int(limit))
}

// inFlightShare returns this gateway's share of a plan's limit on requests in flight.
func (b *Balancer) inFlightShare(cust *customer, plan *Plan) float64 {
	if b.settings.LeasedShares && b.share.excluded {
		return 0
	}
	limit := float64(plan.MaxInFlight)
	if !b.settings.LeasedShares || plan.PartitionPolicy != quotashare.KeepNone {
		return limit / cust.gateways
	}
	leased := b.share.lease.InFlightFraction(b.now)
	return limit * quotashare.FractionWithinSubset(leased, cust.gateways, float64(b.settings.Gateways))
}
