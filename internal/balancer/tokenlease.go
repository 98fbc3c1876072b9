package balancer

import (
	"math"
	"time"
)

// Leases of tokens.
const (
	// tokenLeaseHorizon is how far ahead a lease covers the demand, so that calls to the counter are few.
	tokenLeaseHorizon = 1500 * time.Millisecond
	// tokenLeaseTTL is the time after which tokens that are not spent are returned with the next call.
	tokenLeaseTTL = 3 * time.Second
	// renewalHorizon is the time for which the tokens left must cover the demand; else the next lease is asked for.
	renewalHorizon = 300 * time.Millisecond
	// minRenewRequests is the number of requests in tokenLeaseTTL from which a lease is renewed ahead.
	minRenewRequests = 2.0
	// extraLeaseMinFill is the part of a bucket from which a lease reaches further ahead.
	extraLeaseMinFill = 0.75
	// extraLeasePerCost is by how much it does so, times Settings.CounterCallCost.
	extraLeasePerCost = 400 * time.Second
	// maxExtraLease is by how much a lease reaches further ahead at most.
	maxExtraLease = 8 * time.Second
	// overShareTokenTTL is the time after which tokens are returned that go out past this gateway's share of the
	// ceiling, and how far ahead they are leased.
	overShareTokenTTL = 300 * time.Millisecond
	// maxRequestsPerCall is the number of requests that one call stands for at most.
	maxRequestsPerCall = 3.0
)

// spendTokens takes a request's units from the leased tokens, else from this gateway's own share, and calls the
// counter for more. Only a part of the requests calls, as large as the counter can serve (counterCalls.callFraction);
// each such call stands for the others too, and these spend this gateway's share, on credit by one request. A bucket
// that was found empty is left alone until the customer's gateways together would find it filled. Where this
// gateway's share of the ceiling is short only leased tokens count, and only if the bucket has been known for a while.
func (b *Balancer) spendTokens(check *quotaCheck) quotaDecision {
	req, plan, short := check.request, check.plan, check.isCeilingShort()
	quota, bucket := &req.customer.quota, &req.customer.bucket
	req.quota.paidByCounter = false
	if b.isLargeFleet() {
		return b.spendTokensLargeFleet(req, plan)
	}
	b.expireTokens(check)
	b.refillFallback(req.customer, plan)
	canCall := b.canCallForTokens(req)
	switch {
	case short && !b.isBucketReliable(req.customer, plan):
		b.learnBucket(req.customer)
		return quotaExceeded
	case quota.hasTokens(req.units):
		quota.spendTokens(req.units)
		req.quota.paidByCounter = true
		if canCall && b.shouldRenewTokens(req) {
			b.leaseTokens(check)
		}
		return quotaCovered
	case !short && quota.hasFallbackTokens(req.units):
		quota.spendFallback(req.units)
		return quotaCovered
	case quota.callPending:
		return quotaPending
	case canCall && b.drawsCall(req):
		req.quota.counterCalled = true
		b.leaseTokens(check)
		return quotaPending
	case !short && b.now >= bucket.emptyUntil && b.mayUseCredit(req):
		quota.spendCredit(req.units)
		req.quota.onCredit = true
		return quotaCovered
	}
	return quotaExceeded
}

// expireTokens returns the tokens of a lease that is over. Those of a plan whose ceiling is leased are lost: its
// ceiling relies on a full bucket being given nothing back.
func (b *Balancer) expireTokens(check *quotaCheck) {
	cust, plan := check.request.customer, check.plan
	leased := b.leaseTerms[check.request.plan].Rate > 0
	ttl := tokenLeaseTTL
	if cust.bucket.known {
		ttl += b.extraLeaseTime(cust, plan)
	}
	if leased && check.isCeilingShort() {
		ttl = overShareTokenTTL
	}
	if !cust.quota.hasExpiredTokens(b.now-cust.quota.leasedAt, ttl) {
		return
	}
	if leased {
		cust.quota.dropTokens()
		return
	}
	cust.quota.returnTokens()
}

// canCallForTokens reports whether the counter may be called for a request's quota.
func (b *Balancer) canCallForTokens(req *request) bool {
	pausedUntil := max(req.customer.bucket.emptyUntil, req.customer.quota.callsPausedUntil)
	return b.settings.UseCounter && !req.quota.counterCalled && b.now >= pausedUntil && b.canCallCounter()
}

// shouldRenewTokens reports whether the tokens left are so few that the next lease is asked for ahead.
func (b *Balancer) shouldRenewTokens(req *request) bool {
	cust := req.customer
	return !cust.quota.callPending &&
		cust.quota.tokens < cust.demand.rate*renewalHorizon.Seconds() &&
		cust.demand.rate*tokenLeaseTTL.Seconds() >= minRenewRequests*req.units
}

// drawsCall decides by chance whether a request without tokens calls the counter. One without fallback tokens calls
// in any case while the counter is healthy.
func (b *Balancer) drawsCall(req *request) bool {
	return b.rng.Float64() < b.counter.callFraction ||
		req.customer.quota.fallbackTokens <= 0 && !req.clientRetry && b.counter.isHealthy()
}

// mayUseCredit reports whether a request may go out on this gateway's share though that does not cover it.
func (b *Balancer) mayUseCredit(req *request) bool {
	return req.customer.quota.fallbackTokens > 0 && (!req.clientRetry || !b.settings.UseCounter)
}

// extraLeaseTime is by how much a lease reaches further ahead where the customer's bucket is nearly full: units that
// no peer misses may be held here, the longer the more a call costs.
func (b *Balancer) extraLeaseTime(cust *customer, plan *Plan) time.Duration {
	fill := max(0, b.bucketLevel(cust, plan)/plan.Burst-extraLeaseMinFill) / (1 - extraLeaseMinFill)
	return time.Duration(fill * min(float64(maxExtraLease), b.settings.CounterCallCost*float64(extraLeasePerCost)))
}

// leaseTokens calls the counter for a block of tokens: the request's units, or what this gateway's demand will use.
// What goes out past this gateway's share of the ceiling is not leased for long, as the ceiling's bucket fills
// meanwhile.
func (b *Balancer) leaseTokens(check *quotaCheck) {
	req, plan, short := check.request, check.plan, check.isCeilingShort()
	cust := req.customer
	horizon := tokenLeaseHorizon + b.extraLeaseTime(cust, plan)
	if short {
		horizon = overShareTokenTTL
	}
	block := b.leaseSize(req, horizon, b.bucketLevel(cust, plan)/cust.gateways)
	cust.quota.beginCall()
	b.counter.recordCall(b.now)
	if short {
		b.learnBucket(cust)
	}
	amount := block / max(b.counter.callFraction, 1/maxRequestsPerCall)
	if !cust.bucket.known && b.leaseTerms[cust.plan].Rate > 0 || cust.quota.lastCallLost {
		// The block may be lost, or all gateways may take one at once.
		block = req.units
		amount = req.units
	}
	b.callForTokens(req, block, amount).overShare = short
}

// leaseTokensLargeFleet is leaseTokens for a large fleet. A gateway has so few requests that each is counted, and a
// lease may take a larger part of the bucket.
func (b *Balancer) leaseTokensLargeFleet(req *request, plan *Plan) {
	cust := req.customer
	horizon := tokenLeaseHorizon + b.extraLeaseTime(cust, plan)
	block := b.leaseSize(req, horizon, b.bucketLevel(cust, plan)/largeFleetLeaseParts)
	cust.quota.beginCall()
	b.counter.recordCall(b.now)
	if cust.quota.lastCallLost {
		block = req.units
	}
	b.callForTokens(req, block, block)
}

// leaseSize is the number of units to lease: what the demand takes until the horizon, at most limit, in whole units,
// and no less than the request needs.
func (b *Balancer) leaseSize(req *request, horizon time.Duration, limit float64) float64 {
	return max(req.units, math.Floor(min(req.customer.demand.rate*horizon.Seconds(), limit)))
}

// callForTokens calls the counter for a block of tokens on the terms of a request's plan, and adds an amount and the
// debt to its number.
func (b *Balancer) callForTokens(req *request, block, amount float64) *counterCall {
	debt := req.customer.quota.takeDebt()
	call := b.callCounter(req.customer, b.callTermsOf(req.plan), block, amount+debt)
	call.debt = debt
	return call
}

// creditLease turns the total of a call's answer, as it was at a time, into tokens, and takes over what it tells of
// the bucket. What the bucket did not have is returned to the counter.
func (b *Balancer) creditLease(call *counterCall, total float64, at time.Duration) {
	cust, plan := call.customer, call.terms.plan
	level := b.acceptedLevel(call, total, at)
	available := level - call.debt
	if b.hasSparseShares(cust, plan) {
		available -= sparseQuotaReserve * plan.Burst
	}
	granted := b.acceptedTokens(call, available)
	if granted < call.block {
		b.settleShortfall(call, b.planShortfall(call, level, available, granted))
	}
	if !cust.bucket.known {
		cust.bucket.setKnown(b.now)
		cust.quota.limitFallback(0)
	}
	cust.quota.creditTokens(b.now, granted)
	b.recordBucket(call, level, total, at)
}

// shortfallPlan is what becomes of the units of a block that a bucket did not have.
type shortfallPlan struct {
	// reserved is the number of units that are kept, to be spent from reservedFrom on.
	reserved     float64
	reservedFrom time.Duration
	// amount is the number of units that the call has taken in all, once the others are returned.
	amount float64
	// returnWithNextCall is true when they are returned with the next call instead of one of their own.
	returnWithNextCall bool
	// callsPausedUntil is when the customer's bucket may be asked again.
	callsPausedUntil time.Duration
}

// planShortfall decides what becomes of the units of a block that were not granted. Level is what the bucket had by
// the answer, available what of it this call may take.
func (b *Balancer) planShortfall(call *counterCall, level, available, granted float64) shortfallPlan {
	if b.isLargeFleet() {
		return b.planLargeFleetShortfall(call, available, granted)
	}
	return b.planSmallFleetShortfall(call, level, granted)
}

// settleShortfall reserves and returns units as planned, and pauses the calls for the customer.
func (b *Balancer) settleShortfall(call *counterCall, planned shortfallPlan) {
	cust := call.customer
	if planned.reserved > 0 {
		cust.quota.reserveTokens(planned.reserved, planned.reservedFrom)
	}
	returned := planned.amount - call.amount // negative: the counter's total gets smaller
	if planned.returnWithNextCall {
		cust.quota.addDebt(returned)
	} else {
		b.callCounter(cust, call.terms, 0, returned)
	}
	call.amount = planned.amount
	cust.bucket.pauseCallsUntil(planned.callsPausedUntil)
}

// recordBucket records the level of a bucket, in units, that a call was answered at a time, less what the call took.
// A total that the counter has lost makes the bucket known anew. An answer older than the last one recorded is left
// out.
func (b *Balancer) recordBucket(call *counterCall, level, total float64, at time.Duration) {
	bucket, plan := &call.customer.bucket, call.terms.plan
	if at < bucket.levelAt {
		return
	}
	if bucket.hasLostTotal(call.window, total, plan) {
		bucket.setKnown(b.now)
	}
	bucket.record(call.window, total, at, max(level-call.amount, -plan.Burst/2))
}

// planSmallFleetShortfall returns the units of a block that the bucket did not have, with the next call where that
// comes soon, and pauses the calls for the customer until its gateways together would find the bucket filled.
func (b *Balancer) planSmallFleetShortfall(call *counterCall, level, granted float64) shortfallPlan {
	cust := call.customer
	nextCallIsSoon := b.evidenceScarcity() == 0 &&
		cust.demand.rate*tokenLeaseTTL.Seconds() >= minRenewRequests*call.block
	needed := max(call.block-level, cust.activeGateways(call.terms)/gatewaysPerRefill)
	seconds := needed / call.terms.plan.Rate * b.emptyPauseSpread(call.terms)
	pause := min(maxEmptyBucketPause, time.Duration(seconds*float64(time.Second)))
	return shortfallPlan{
		amount:             granted + call.debt,
		returnWithNextCall: nextCallIsSoon,
		callsPausedUntil:   b.now + pause,
	}
}

// acceptedTokens is how many units of a block are taken when the bucket has so many available. Tokens of a plan whose
// ceiling is leased are not returned, so a part of a unit stays in the bucket: here it would mostly be lost.
func (b *Balancer) acceptedTokens(call *counterCall, available float64) float64 {
	granted := max(0, min(call.block, available))
	if granted < call.block && call.terms.ceilingLeased {
		tokens := call.customer.quota.tokens
		granted = min(granted, max(0, math.Floor(granted+tokens)-tokens))
	}
	return granted
}
