package balancer

import (
	"time"

	"gapgap/internal/balancer/ceilinglease"
	"gapgap/internal/balancer/quotashare"
)

// Ceilings of a large fleet whose even shares are sparse: a request or two each. What is inside the quota is bounded
// by the quota's bucket on the counter, and only what is beyond it is shared.
const (
	// sparseShareUnits is the number of units in an even share below which shares are sparse.
	sparseShareUnits = 4.0
	// sparseInitialTokens are the units of a share at a gateway's start, as a former process may have spent the rest.
	sparseInitialTokens = 1.0
	// sparseRateFraction is the part of the rate beyond the quota that shares give. The rest is for units that a new
	// window's total gives twice.
	sparseRateFraction = 0.97
	// sparseSurplusTolerance is the number of bursts over its burst from which a quota's bucket is corrected.
	sparseSurplusTolerance = 0.25
	// sparseQuotaReserve is the part of a burst that is kept back for the loss of the counter's totals.
	sparseQuotaReserve = 0.75
	// sparseQuotaBursts is the number of bursts that the quota's bucket may give beyond its rate: 1 +
	// sparseSurplusTolerance - sparseQuotaReserve at once, and as much again when a total is lost or begins anew.
	sparseQuotaBursts = 1.0
	// pressedSlowdown is the fleet's slowdown from which a promotion is worth a call.
	pressedSlowdown = 1.5
)

// hasSparseShares reports whether a customer's gateways are so many that each one's even share of the ceiling is a
// request or two. A plan that limits the requests in flight keeps its even shares, as the quota's bucket does not
// count them.
func (b *Balancer) hasSparseShares(cust *customer, plan *Plan) bool {
	return b.isLargeFleet() && plan.CeilingRate > plan.Rate && plan.Rate > 0 && plan.MaxInFlight == 0 &&
		plan.CeilingBurst > sparseQuotaBursts*plan.Burst &&
		plan.CeilingBurst/cust.gateways < sparseShareUnits &&
		plan.isSoft()
}

// sparseCeilingShare is a gateway's share of what a ceiling allows beyond the quota.
func sparseCeilingShare(cust *customer, plan *Plan) quotashare.Bucket {
	return quotashare.Bucket{
		Rate:  sparseRateFraction * (plan.CeilingRate - plan.Rate) / cust.gateways,
		Depth: (plan.CeilingBurst - sparseQuotaBursts*plan.Burst) / cust.gateways,
	}
}

// sparseTurns are the turns by which a customer's share of a plan's ceiling goes; false where it does not go by turns.
func (b *Balancer) sparseTurns(cust *customer, plan *Plan) (ceilinglease.Turns, bool) {
	if !b.hasSparseShares(cust, plan) {
		return ceilinglease.Turns{}, false
	}
	return ceilingTurns(cust, plan)
}

// ceilingTurns are the turns of a customer's gateways where each one's share of what is beyond the quota is less than
// a unit; false where it is not.
func ceilingTurns(cust *customer, plan *Plan) (ceilinglease.Turns, bool) {
	rate := sparseRateFraction * (plan.CeilingRate - plan.Rate)
	depth := plan.CeilingBurst - sparseQuotaBursts*plan.Burst
	return ceilinglease.TurnsOf(rate, depth, cust.gateways)
}

// refillByTurn sets the units of a gateway's share that has turns. The turn in which the gateway started
// is left out, as a former process may have used it.
func (b *Balancer) refillByTurn(cust *customer, turns ceilinglease.Turns, now time.Duration) {
	turn, open := turns.At(now, b.settings.Index)
	firstTurn, _ := turns.At(b.startedAt, b.settings.Index)
	tokens := 0.0
	if open && turn > cust.ceiling.lastTurn(turns, b.settings.Index) && turn > firstTurn {
		tokens = 1
	}
	cust.ceiling.setTokens(now, tokens)
}

// counterMayCover reports whether the quota's bucket may pay for a request: a token is here, is asked for, or can be.
func (b *Balancer) counterMayCover(req *request) bool {
	cust := req.customer
	return b.hasTokensSoon(req) || cust.quota.callPending ||
		b.now >= max(cust.bucket.emptyUntil, cust.quota.callsPausedUntil)
}

// checkSparseQuota is checkQuota for a customer whose shares are sparse.
func (b *Balancer) checkSparseQuota(check *quotaCheck) quotaDecision {
	req, plan := check.request, check.plan
	quota := &req.customer.quota
	req.quota.paidByCounter = false
	req.level = b.priorityBand(req, plan)
	b.returnUnusedTokens(req.customer, plan, 1)
	short := check.isCeilingShort()
	switch {
	case !short && quota.fallbackTokens >= req.units:
		quota.spendShare(req.units)
		b.reserveCeiling(req, fromEvenShare)
	case quota.hasValidTokens(b.now, req.units):
		quota.spendTokens(req.units)
		b.reserveCeiling(req, fromQuota)
	case quota.callPending || short && (b.hasTokensSoon(req) || b.awaitsLateAnswer(req)):
		return quotaPending
	case !quota.hasTokens(req.units) && b.canCallForSparse(check):
		req.quota.counterCalled = true
		b.leaseTokensLargeFleet(req, plan)
		return quotaPending
	case !short:
		quota.addDebt(req.units)
		return quotaExceeded
	case b.awaitsTurnToCall(check):
		return quotaPending
	default:
		return b.awaitSparseCeiling(check)
	}
	req.quota.covered = true
	req.quota.charged = true
	return quotaCovered
}

// canCallForSparse reports whether the counter may be called for a request. One for which the ceiling's share has
// units would only be promoted by it, which is worth a call while the endpoints are slow.
func (b *Balancer) canCallForSparse(check *quotaCheck) bool {
	if check.isCeilingShort() {
		return b.canCallForRequest(check.request, 0)
	}
	return b.latency.fleetSlowdown > pressedSlowdown && b.canCallForRequest(check.request, softQuotaCallReserve)
}

// awaitsTurnToCall reports whether a request waits until it may call the counter.
func (b *Balancer) awaitsTurnToCall(check *quotaCheck) bool {
	req, cust := check.request, check.request.customer
	return !req.quota.counterCalled && !check.nearlyLate &&
		b.now >= max(cust.bucket.emptyUntil, cust.quota.callsPausedUntil) &&
		!b.hasWaitedForCounter(req)
}

// awaitSparseCeiling decides whether a request waits for the ceiling's share to fill.
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
