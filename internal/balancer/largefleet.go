package balancer

import (
	"cmp"
	"time"
)

// Rules for a large fleet. It has so many gateways that the counter cannot serve a call for every request that exceeds
// a gateway's own share, and that a gateway sees most customers too rarely to use up a lease.
const (
	// largeFleetGateways is the number of gateways from which a fleet is large.
	largeFleetGateways = 12
	// maxCounterWaitFraction is the fraction of its time limit for which a request may wait for the counter.
	maxCounterWaitFraction = 0.2
	// evenShareTokenTTL is the time after which unspent leased tokens are returned, if each request is also paid from
	// an even share of the ceiling.
	evenShareTokenTTL = 12 * time.Second
	// largeFleetLeaseParts is the number of maximum-size leases that use up a bucket.
	largeFleetLeaseParts = 4.0
	// maxReservationHorizon is how far ahead units may be reserved.
	maxReservationHorizon = time.Second
	// gatewaysPerPause is the number of gateways that ask for a unit in the time in which an empty bucket gains one.
	gatewaysPerPause = 2.0
	// maxLargeFleetPause is the maximum pause in calls after a bucket was found empty, before random spreading.
	maxLargeFleetPause = 12 * time.Second
	// minLargeFleetPauseSpread is the minimum random factor on that pause; the maximum is larger by 1.
	minLargeFleetPauseSpread = 0.5
	// maxCreditProbability is the maximum probability, as it grows with the uptime, that a request without a call is
	// sent on credit.
	maxCreditProbability = 0.9
	// creditGrowth is how much that probability grows in the time in which this gateway's share gains a unit.
	creditGrowth = 4.0
	// largeFleetSurplusTolerance is how far, in bursts, a bucket may exceed its burst before it is corrected.
	largeFleetSurplusTolerance = 0.5
	// correctionProbability is the fraction of the gateways that correct a bucket of which they saw only a surplus.
	correctionProbability = 0.1
	// clientRetryCallReserve is the number of calls that a client's retry leaves to other requests.
	clientRetryCallReserve = 1.0
	// softQuotaCallReserve is the number of calls left to others by a request that a call would only promote.
	softQuotaCallReserve = 1.5
)

// isLargeFleet reports whether the rules of a large fleet apply. They do not apply where ceilings are leased, because
// those rely on buckets from which nothing is reserved ahead.
func (b *Balancer) isLargeFleet() bool {
	return b.settings.UseCounter && !b.settings.LeaseCeilings && b.settings.Gateways >= largeFleetGateways
}

// canCallForRequest reports whether the counter may be called for a request while leaving a reserve of calls to others.
// Calls go first to the requests for which they matter most: a client's retry was rejected before, usually with good
// reason, and a promotion only helps while there is a shortage of endpoints.
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

// hasWaitedForCounter reports whether a request has reached its limit of waiting for the counter or for permission
// to call it.
func (b *Balancer) hasWaitedForCounter(req *request) bool {
	return (b.now - req.arrivedAt).Seconds() > req.usefulFor.Seconds()*maxCounterWaitFraction
}

// awaitsLateAnswer reports whether a request's call has timed out but may still be answered.
func (b *Balancer) awaitsLateAnswer(req *request) bool {
	return req.quota.counterCalled && b.now < req.customer.quota.callsPausedUntil && !b.hasWaitedForCounter(req)
}

// hasTokensSoon reports whether leased tokens cover a request and become valid within its maximum wait.
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
		req.quota.paidByLease = true
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
		req.quota.sentWithoutLease = true
		return quotaCovered
	}
	return quotaExceeded
}

// returnUnusedTokens returns the tokens of an expired lease with the next call, and refills the fallback share, whose
// capacity is at least minDepth units.
func (b *Balancer) returnUnusedTokens(cust *customer, plan *Plan, minDepth float64) {
	quota := &cust.quota
	quota.beginDebtWindow(counterWindowAt(b.now))
	age := b.now - max(quota.leasedAt, quota.tokensValidFrom)
	if quota.hasExpiredTokens(age, b.largeFleetTokenTTL(cust, plan)) {
		quota.returnTokens()
	}
	filled := plan.Rate / cust.gateways * b.refillSeconds(quota.fallbackFilledAt, b.now)
	quota.fillFallback(b.now, filled, max(minDepth, plan.Burst/cust.gateways))
}

// largeFleetTokenTTL returns the time after which unspent leased tokens are returned. Where they pay for a ceiling they
// expire soon: the ceiling's bucket refills in the meantime, and gateways that keep tokens through a rest would all
// spend them at the start of the next flood.
func (b *Balancer) largeFleetTokenTTL(cust *customer, plan *Plan) time.Duration {
	if b.hasSparseShares(cust, plan) {
		return overShareTokenTTL
	}
	return evenShareTokenTTL
}

// creditProbability returns the probability that a request for which no call can be made is sent without one. This
// happens once per customer, and again when its share has refilled. A share of less than one unit is treated as the
// probability of having a whole unit. The longer a gateway has been running, the more likely it is that a customer that
// it has not yet seen, or not found empty, is one of the many that stay well inside their quotas.
func (b *Balancer) creditProbability(cust *customer, plan *Plan) float64 {
	if cust.quota.fallbackTokens <= 0 {
		return 0
	}
	grown := (b.now - b.startedAt).Seconds() * plan.Rate / cust.gateways * creditGrowth
	return max(cust.quota.fallbackTokens, min(maxCreditProbability, grown))
}

// correctSurplus corrects a bucket that has more than its burst. Many gateways may see a large surplus at once, for
// example when all have just started. The gateway whose call started the total corrects it; in case that fails, so does
// one of those that request the correction lock.
func (b *Balancer) correctSurplus(call *counterCall, amount float64, isFirstCall bool) {
	cust, plan := call.customer, call.terms.plan
	switch {
	case isFirstCall || amount <= plan.Burst:
		b.callCounter(cust, call.terms, 0, amount)
	case b.hasSparseShares(cust, plan) || b.rng.Float64() < correctionProbability:
		b.callCorrectionLock(call, amount, 0)
	}
}

// surplusSlack returns how far, in bursts, a bucket may exceed its burst before a call is spent on correcting it. The
// tolerance is small where a ceiling relies on the bucket.
func (b *Balancer) surplusSlack(cust *customer, plan *Plan) float64 {
	if b.hasSparseShares(cust, plan) {
		return sparseSurplusTolerance
	}
	return largeFleetSurplusTolerance
}

// reservationHorizon returns how far ahead units are reserved. For a hard plan it is a time for which requests of
// every class may wait: units reserved for later would mostly stay unused, since the gateway may not see the customer
// again for a long time.
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

// planLargeFleetShortfall reserves the units of a call that the bucket did not have, to be spent once the bucket has
// gained them. A gateway sees a customer so rarely that returning them would cost an extra call each time. Units that
// would take too long to gain are returned. The customer's gateways then pause for random times, chosen so that
// together they ask a few times for each unit that the bucket gains.
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
