package balancer

import (
	"time"

	"gapgap/internal/balancer/ceilinglease"
	"gapgap/internal/balancer/quotashare"
)

// Rules for ceilings in a large fleet whose even shares are sparse, that is only a request or two each. Requests inside
// the quota are bounded by the quota's bucket on the counter, and only the units beyond the quota are shared.
const (
	// sparseShareUnits is the number of units in an even share below which shares are sparse.
	sparseShareUnits = 4.0
	// sparseInitialTokens is the number of units in a gateway's initial share. A previous process may have spent the
	// rest.
	sparseInitialTokens = 1.0
	// sparseRateFraction is the fraction of the rate beyond the quota that the shares give out. The rest compensates
	// for units that a new window's total gives out twice.
	sparseRateFraction = 0.97
	// sparseSurplusTolerance is how far, in bursts, a quota's bucket may exceed its burst before it is corrected.
	sparseSurplusTolerance = 0.25
	// sparseQuotaReserve is the fraction of a burst that is held back in case the counter loses its totals.
	sparseQuotaReserve = 0.75
	// sparseQuotaBursts is the number of bursts that the quota's bucket may give out beyond its rate: 1 +
	// sparseSurplusTolerance - sparseQuotaReserve at once, and the same again when a total is lost or restarted.
	sparseQuotaBursts = 1.0
	// minPromotionSlowdown is the fleet slowdown above which promoting a request is worth a call.
	minPromotionSlowdown = 1.5
)

// hasSparseShares reports whether a customer has so many gateways that each one's even share of the ceiling is only a
// request or two. A plan that limits the requests in flight keeps its even shares, because the quota's bucket does not
// count requests in flight.
func (b *Balancer) hasSparseShares(cust *customer, plan *Plan) bool {
	return b.isLargeFleet() && plan.CeilingRate > plan.Rate && plan.Rate > 0 && plan.MaxInFlight == 0 &&
		plan.CeilingBurst > sparseQuotaBursts*plan.Burst &&
		plan.CeilingBurst/cust.gateways < sparseShareUnits &&
		plan.isSoft()
}

// sparseCeilingShare returns a gateway's share of the units that a ceiling allows beyond the quota.
func sparseCeilingShare(cust *customer, plan *Plan) quotashare.Bucket {
	return quotashare.Bucket{
		Rate:  sparseRateFraction * (plan.CeilingRate - plan.Rate) / cust.gateways,
		Depth: (plan.CeilingBurst - sparseQuotaBursts*plan.Burst) / cust.gateways,
	}
}

// sparseTurns returns the turns by which a customer's share of a plan's ceiling is used, or false if it does not use
// turns.
func (b *Balancer) sparseTurns(cust *customer, plan *Plan) (ceilinglease.Turns, bool) {
	if !b.hasSparseShares(cust, plan) {
		return ceilinglease.Turns{}, false
	}
	return ceilingTurns(cust, plan)
}

// ceilingTurns returns the turns of a customer's gateways if each one's share of the units beyond the quota is less
// than one unit, or false otherwise.
func ceilingTurns(cust *customer, plan *Plan) (ceilinglease.Turns, bool) {
	rate := sparseRateFraction * (plan.CeilingRate - plan.Rate)
	depth := plan.CeilingBurst - sparseQuotaBursts*plan.Burst
	return ceilinglease.NewTurns(rate, depth, cust.gateways)
}

// refillByTurn sets the units of a gateway's share that uses turns. The turn in which the gateway started is skipped,
// since a previous process may have used it.
func (b *Balancer) refillByTurn(cust *customer, turns ceilinglease.Turns, now time.Duration) {
	turn, open := turns.At(now, b.settings.Index)
	firstTurn, _ := turns.At(b.startedAt, b.settings.Index)
	tokens := 0.0
	if open && turn > cust.ceiling.lastTurn(turns, b.settings.Index) && turn > firstTurn {
		tokens = 1
	}
	cust.ceiling.setTokens(now, tokens)
}

// counterMayCover reports whether the quota's bucket may pay for a request: a token is available, has been requested,
// or can be requested.
func (b *Balancer) counterMayCover(req *request) bool {
	cust := req.customer
	return b.hasTokensSoon(req) || cust.quota.callPending ||
		b.now >= max(cust.bucket.emptyUntil, cust.quota.callsPausedUntil)
}

// checkSparseQuota is checkQuota for a customer with sparse shares.
func (b *Balancer) checkSparseQuota(check *quotaCheck) quotaDecision {
	req, plan := check.request, check.plan
	quota := &req.customer.quota
	req.quota.paidByLease = false
	req.level = b.priorityBand(req, plan)
	b.returnUnusedTokens(req.customer, plan, 1)
	ceilingShort := check.isCeilingShort()
	switch {
	case !ceilingShort && quota.fallbackTokens >= req.units:
		quota.spendShare(req.units)
		b.reserveCeiling(req, fromOwnShare)
	case quota.hasValidTokens(b.now, req.units):
		quota.spendTokens(req.units)
		b.reserveCeiling(req, fromQuota)
	case quota.callPending || ceilingShort && (b.hasTokensSoon(req) || b.awaitsLateAnswer(req)):
		return quotaPending
	case !quota.hasTokens(req.units) && b.canCallForSparse(check):
		req.quota.counterCalled = true
		b.leaseTokensLargeFleet(req, plan)
		return quotaPending
	case !ceilingShort:
		quota.addDebt(req.units)
		return quotaExceeded
	case b.awaitsPermissionToCall(check):
		return quotaPending
	default:
		return b.awaitSparseCeiling(check)
	}
	req.quota.covered = true
	req.quota.charged = true
	return quotaCovered
}

// canCallForSparse reports whether the counter may be called for a request. If the ceiling's share has units for the
// request, a call would only promote it, which is worthwhile while the endpoints are slow.
func (b *Balancer) canCallForSparse(check *quotaCheck) bool {
	if check.isCeilingShort() {
		return b.canCallForRequest(check.request, 0)
	}
	return b.latency.fleetSlowdown > minPromotionSlowdown && b.canCallForRequest(check.request, softQuotaCallReserve)
}

// awaitsPermissionToCall reports whether a request waits until it is allowed to call the counter.
func (b *Balancer) awaitsPermissionToCall(check *quotaCheck) bool {
	req, cust := check.request, check.request.customer
	return !req.quota.counterCalled && !check.nearlyLate &&
		b.now >= max(cust.bucket.emptyUntil, cust.quota.callsPausedUntil) &&
		!b.hasWaitedForCounter(req)
}

// awaitSparseCeiling decides whether a request waits for the ceiling's share to refill.
func (b *Balancer) awaitSparseCeiling(check *quotaCheck) quotaDecision {
	req, plan := check.request, check.plan
	if check.nearlyLate || req.admitOnly {
		return quotaExceeded
	}
	missing := req.units - b.ceilingCapacity(req, plan)
	fillSeconds := missing * req.customer.gateways / (sparseRateFraction * (plan.CeilingRate - plan.Rate))
	if fillSeconds > req.ceilingWaitLimit() {
		return quotaExceeded
	}
	return quotaPending
}
