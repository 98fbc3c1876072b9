package balancer

import (
	"cmp"
	"time"
)

// Rules of a large fleet: so many gateways that the counter cannot serve a call for each request that a gateway's own
// share does not cover, and that a gateway meets most customers too seldom to use up a lease.
const (
	// largeFleetGateways is the number of gateways from which a fleet is large.
	largeFleetGateways = 12
	// maxCounterWaitFraction is the part of its time for which a request may wait for the counter.
	maxCounterWaitFraction = 0.2
	// largeFleetTokenTTL is the time after which tokens of a lease are returned.
	largeFleetTokenTTL = 12 * time.Second
	// largeFleetLeaseParts is the number of leases that use up a bucket.
	largeFleetLeaseParts = 4.0
	// maxReservationHorizon is how far ahead units are reserved at most.
	maxReservationHorizon = time.Second
	// gatewaysPerPause is the number of gateways that ask for a unit while an empty bucket gains it.
	gatewaysPerPause = 2.0
	// maxLargeFleetPause is the longest time for which a bucket that was found empty is left alone, before the spread.
	maxLargeFleetPause = 12 * time.Second
	// minLargeFleetPauseSpread is the least factor on that time; the greatest is larger by 1.
	minLargeFleetPauseSpread = 0.5
	// maxCreditProbability is the greatest chance of a request that has no call to go out on credit.
	maxCreditProbability = 0.9
	// creditGrowth is by how much the chance grows in the time in which this gateway's share gains a unit.
	creditGrowth = 4.0
	// largeFleetSurplusTolerance is the number of bursts over its burst from which a bucket is corrected.
	largeFleetSurplusTolerance = 0.5
	// correctionProbability is the part of the gateways that correct a bucket of which they saw only a surplus.
	correctionProbability = 0.1
	// clientRetryCallReserve is the number of calls that a client's repeat leaves to other requests.
	clientRetryCallReserve = 1.0
	// softQuotaCallReserve is the number that a request leaves whose call would only promote it.
	softQuotaCallReserve = 1.5
)

// isLargeFleet reports whether the rules of a large fleet hold. They do not where ceilings are leased: those rely on
// buckets of which nothing is reserved ahead.
func (b *Balancer) isLargeFleet() bool {
	return b.settings.UseCounter && !b.settings.LeaseCeilings && b.settings.Gateways >= largeFleetGateways
}

// canCallForRequest reports whether the counter may be called for a request that leaves some calls to others. The
// calls go first to requests for which they decide most: a client's repeat was rejected before, mostly with reason, and
// a promotion helps only while endpoints are short.
func (b *Balancer) canCallForRequest(req *request, reserve float64) bool {
	cust := req.customer
	pausedUntil := max(cust.bucket.emptyUntil, cust.quota.callsPausedUntil)
	if b.handedOver || req.quota.counterCalled || b.now < pausedUntil || b.counter.isFull() {
		return false
	}
	if req.clientRetry {
		reserve += clientRetryCallReserve
	}
	return b.counter.pacer.CanCall(b.now, reserve)
}

// hasWaitedForCounter reports whether a request has waited as long as it may for the counter or for a turn to call it.
func (b *Balancer) hasWaitedForCounter(req *request) bool {
	return (b.now - req.arrivedAt).Seconds() > req.timeLimit.Seconds()*maxCounterWaitFraction
}

// awaitsLateAnswer reports whether a request's call timed out but may still be answered.
func (b *Balancer) awaitsLateAnswer(req *request) bool {
	return req.quota.counterCalled && b.now < req.customer.quota.callsPausedUntil && !b.hasWaitedForCounter(req)
}

// hasTokensSoon reports whether leased tokens cover a request and will be valid while it may wait.
func (b *Balancer) hasTokensSoon(req *request) bool {
	quota := &req.customer.quota
	return quota.hasTokens(req.units) && (quota.tokensValidFrom-b.now).Seconds() <= req.ceilingWaitLimit()
}

// spendTokensLargeFleet is spendTokens for a large fleet.
func (b *Balancer) spendTokensLargeFleet(req *request, plan *Plan) quotaDecision {
	cust := req.customer
	b.returnUnusedTokens(cust, plan, 0)
	switch {
	case cust.quota.hasValidTokens(b.now, req.units):
		cust.quota.spendTokens(req.units)
		req.quota.paidByCounter = true
		return quotaCovered
	case b.hasTokensSoon(req), cust.quota.callPending, b.awaitsLateAnswer(req):
		return quotaPending
	case b.canCallForRequest(req, 0):
		req.quota.counterCalled = true
		b.leaseTokensLargeFleet(req, plan)
		return quotaPending
	case req.clientRetry || b.now < cust.bucket.emptyUntil:
		return quotaExceeded
	case !req.quota.counterCalled && !b.hasWaitedForCounter(req):
		return quotaPending
	case b.rng.Float64()*req.units < b.creditProbability(cust, plan):
		cust.quota.spendShare(req.units)
		req.quota.onCredit = true
		return quotaCovered
	}
	return quotaExceeded
}

// returnUnusedTokens returns the tokens of a lease that is over, with the next call, and fills the fallback share,
// which holds minDepth units at least when it is full.
func (b *Balancer) returnUnusedTokens(cust *customer, plan *Plan, minDepth float64) {
	quota := &cust.quota
	quota.beginDebtWindow(counterWindowAt(b.now))
	age := b.now - max(quota.leasedAt, quota.tokensValidFrom)
	if quota.hasExpiredTokens(age, largeFleetTokenTTL) {
		quota.returnTokens()
	}
	filled := plan.Rate / cust.gateways * b.refillSeconds(quota.fallbackFilledAt, b.now)
	quota.fillFallback(b.now, filled, max(minDepth, plan.Burst/cust.gateways))
}

// creditProbability is the chance that a request for which there is no call goes out without one, once for each
// customer and again when its share has filled. A share of less than a unit is a unit by chance. The longer a gateway
// has run, the more likely is a customer that it has not met, or not found empty, one of the many that stay well
// inside their quotas.
func (b *Balancer) creditProbability(cust *customer, plan *Plan) float64 {
	if cust.quota.fallbackTokens <= 0 {
		return 0
	}
	grown := (b.now - b.startedAt).Seconds() * plan.Rate / cust.gateways * creditGrowth
	return max(cust.quota.fallbackTokens, min(maxCreditProbability, grown))
}

// correctSurplus corrects a bucket that has more than its burst. Many gateways see it at once where it is much, as when
// all have just started: the one whose call began the total corrects it, or, should that fail, one of those that ask
// for the correction lock.
func (b *Balancer) correctSurplus(call *counterCall, amount float64, isFirstCall bool) {
	cust, plan := call.customer, call.terms.plan
	switch {
	case isFirstCall || amount <= plan.Burst:
		b.callCounter(cust, call.terms, 0, amount)
	case b.hasSparseShares(cust, plan) || b.rng.Float64() < correctionProbability:
		b.callCorrectionLock(call, amount, 0)
	}
}

// surplusSlack is by how many bursts a bucket may be over its burst before a call is spent on it: by few where a
// ceiling relies on it.
func (b *Balancer) surplusSlack(cust *customer, plan *Plan) float64 {
	if b.hasSparseShares(cust, plan) {
		return sparseSurplusTolerance
	}
	return largeFleetSurplusTolerance
}

// reservationHorizon is how far ahead units are reserved. Of a hard plan it is as long as a request of any class may
// wait: later units would mostly lie unused, as the gateway may not meet the customer again for long.
func (b *Balancer) reservationHorizon(cust *customer, plan *Plan) time.Duration {
	horizon := maxReservationHorizon
	if b.hasSparseShares(cust, plan) {
		return horizon
	}
	for i := range b.settings.Classes {
		class := &b.settings.Classes[i]
		timeLimit := float64(cmp.Or(class.LatencyObjective, class.ClientTimeout))
		horizon = min(horizon, time.Duration(timeLimit*maxCeilingWaitFraction))
	}
	return horizon
}

// planLargeFleetShortfall reserves what a call took of a bucket that did not have it, where a gateway meets a customer
// so seldom that returning it would cost a call each time: it may be spent when the bucket has gained it. What would
// take too long is returned, and the customer's gateways, each pausing for a time of its own, ask a few times as often
// as there is a unit.
func (b *Balancer) planLargeFleetShortfall(call *counterCall, available, granted float64) shortfallPlan {
	cust, plan := call.customer, call.terms.plan
	missing := call.block - available
	fillTime := time.Duration(missing / plan.Rate * float64(time.Second))
	if fillTime <= b.reservationHorizon(cust, plan) && call.kind == tokenLeaseCall && granted < call.block {
		return shortfallPlan{
			reserved:           call.block - granted,
			reservedFrom:       b.now + fillTime,
			amount:             call.block + call.debt,
			returnWithNextCall: true,
			callsPausedUntil:   b.now + fillTime,
		}
	}
	spread := minLargeFleetPauseSpread + b.rng.Float64()
	pause := min(maxLargeFleetPause.Seconds(), max(missing, cust.gateways/gatewaysPerPause)/plan.Rate) * spread
	return shortfallPlan{
		amount:           granted + call.debt,
		callsPausedUntil: b.now + time.Duration(pause*float64(time.Second)),
	}
}
