package balancer

import (
	"math"
	"time"
)

// Parameters of token leases.
const (
	// tokenLeaseHorizon is how far ahead a lease covers the demand, to keep the number of counter calls small.
	tokenLeaseHorizon = 1500 * time.Millisecond
	// tokenLeaseTTL is the time after which unspent tokens are returned with the next call.
	tokenLeaseTTL = 3 * time.Second
	// renewalHorizon is the time for which the remaining tokens must cover the demand; otherwise the next lease is
	// requested.
	renewalHorizon = 300 * time.Millisecond
	// minRenewRequests is the number of requests per tokenLeaseTTL from which a lease is renewed ahead of time.
	minRenewRequests = 2.0
	// extraLeaseMinFill is the fill level of a bucket, as a fraction, from which a lease covers a longer time.
	extraLeaseMinFill = 0.75
	// extraLeasePerCost is the extension for a full bucket per unit of Settings.CounterCallCost.
	extraLeasePerCost = 400 * time.Second
	// maxExtraLease is the maximum extension.
	maxExtraLease = 8 * time.Second
	// overShareTokenTTL is the time after which unspent tokens that exceed this gateway's share of the ceiling expire,
	// and also how far ahead such tokens are leased.
	overShareTokenTTL = 300 * time.Millisecond
	// maxRequestsPerCall is the maximum number of requests that one call represents.
	maxRequestsPerCall = 3.0
)

// spendTokens takes a request's units from the leased tokens, or else from this gateway's own share, and calls the
// counter for more. Only the fraction of requests that the counter can serve makes a call (counterCalls.callFraction).
// Each call also represents the other requests, which spend this gateway's share, on credit by at most one request.
// After a bucket was found empty, no calls are made until the customer's gateways together would find it refilled. If
// this gateway's share of the ceiling is short, only leased tokens count, and only if the bucket has been known for a
// while.
func (b *Balancer) spendTokens(check *quotaCheck) quotaDecision {
	req, plan, ceilingShort := check.request, check.plan, check.isCeilingShort()
	quota, bucket := &req.customer.quota, &req.customer.bucket
	req.quota.paidByLease = false
	if b.isLargeFleet() {
		return b.spendTokensLargeFleet(req, plan)
	}
	b.expireTokens(check)
	b.refillFallback(req.customer, plan)
	canCall := b.canCallForTokens(req)
	switch {
	case ceilingShort && !b.isBucketReliable(req.customer, plan):
		b.syncBucket(req.customer)
		return quotaExceeded
	case quota.hasTokens(req.units):
		quota.spendTokens(req.units)
		req.quota.paidByLease = true
		if canCall && b.shouldRenewTokens(req) {
			b.leaseTokens(check)
		}
		return quotaCovered
	case !ceilingShort && quota.hasFallbackTokens(req.units):
		quota.spendFallback(req.units)
		return quotaCovered
	case quota.callPending:
		return quotaPending
	case canCall && b.shouldCallCounter(req):
		req.quota.counterCalled = true
		b.leaseTokens(check)
		return quotaPending
	case !ceilingShort && b.now >= bucket.emptyUntil && b.mayUseCredit(req):
		quota.spendCredit(req.units)
		req.quota.sentWithoutLease = true
		return quotaCovered
	}
	return quotaExceeded
}

// expireTokens returns the tokens of an expired lease. If the plan's ceiling is leased, they are discarded instead,
// because the ceiling relies on nothing being returned to a full bucket.
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

// shouldRenewTokens reports whether so few tokens remain that the next lease is requested ahead of time.
func (b *Balancer) shouldRenewTokens(req *request) bool {
	cust := req.customer
	return !cust.quota.callPending &&
		cust.quota.tokens < cust.demand.rate*renewalHorizon.Seconds() &&
		cust.demand.rate*tokenLeaseTTL.Seconds() >= minRenewRequests*req.units
}

// shouldCallCounter randomly decides whether a request without tokens calls the counter. While the counter is healthy,
// a request without fallback tokens always calls it unless it is a client's retry.
func (b *Balancer) shouldCallCounter(req *request) bool {
	return b.rng.Float64() < b.counter.callFraction ||
		req.customer.quota.fallbackTokens <= 0 && !req.clientRetry && b.counter.isHealthy()
}

// mayUseCredit reports whether a request may be sent on this gateway's share although the share does not fully cover
// it.
func (b *Balancer) mayUseCredit(req *request) bool {
	return req.customer.quota.fallbackTokens > 0 && (!req.clientRetry || !b.settings.UseCounter)
}

// extraLeaseTime returns how much longer a lease covers the demand if the customer's bucket is nearly full. Units that
// no peer needs may be held here, and for longer the more a call costs.
func (b *Balancer) extraLeaseTime(cust *customer, plan *Plan) time.Duration {
	fill := max(0, b.bucketLevel(cust, plan)/plan.Burst-extraLeaseMinFill) / (1 - extraLeaseMinFill)
	return time.Duration(fill * min(float64(maxExtraLease), b.settings.CounterCallCost*float64(extraLeasePerCost)))
}

// leaseTokens calls the counter for a block of tokens: the request's units, or the expected demand of this gateway.
// Tokens that exceed this gateway's share of the ceiling are leased for a short time only, because the ceiling's bucket
// refills in the meantime.
func (b *Balancer) leaseTokens(check *quotaCheck) {
	req, plan, ceilingShort := check.request, check.plan, check.isCeilingShort()
	cust := req.customer
	horizon := tokenLeaseHorizon + b.extraLeaseTime(cust, plan)
	if ceilingShort {
		horizon = overShareTokenTTL
	}
	block := b.leaseSize(req, horizon, b.bucketLevel(cust, plan)/cust.gateways)
	cust.quota.beginCall()
	b.counter.recordCall(b.now)
	if ceilingShort {
		b.syncBucket(cust)
	}
	amount := block / max(b.counter.callFraction, 1/maxRequestsPerCall)
	if !cust.bucket.known && b.leaseTerms[cust.plan].Rate > 0 || cust.quota.lastCallLost {
		// The block may be lost, or all gateways may lease one at the same time.
		block = req.units
		amount = req.units
	}
	b.callForTokens(req, block, amount).overShare = ceilingShort
}

// leaseTokensLargeFleet is leaseTokens for a large fleet. A gateway has so few requests that each one is counted
// individually, and a lease may take a larger part of the bucket.
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

// leaseSize returns the number of units to lease: the demand until the horizon, up to limit and in whole units, but at
// least what the request needs.
func (b *Balancer) leaseSize(req *request, horizon time.Duration, limit float64) float64 {
	return max(req.units, math.Floor(min(req.customer.demand.rate*horizon.Seconds(), limit)))
}

// callForTokens calls the counter for a block of tokens on the terms of a request's plan, and adds the given amount
// plus the debt to the customer's total.
func (b *Balancer) callForTokens(req *request, block, amount float64) *counterCall {
	debt := req.customer.quota.takeDebt()
	call := b.callCounter(req.customer, b.callTermsOf(req.plan), block, amount+debt)
	call.debt = debt
	return call
}

// creditLease converts the total of a call's answer, as of a given time, into tokens, and records what it shows about
// the bucket. Units that the bucket did not have are returned to the counter.
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
		cust.bucket.markKnown(b.now)
		cust.quota.limitFallback(0)
	}
	cust.quota.creditTokens(b.now, granted)
	b.recordBucket(call, level, total, at)
}

// shortfallPlan is how the units of a block that the bucket did not have are handled.
type shortfallPlan struct {
	// reserved is the number of units that are kept and may be spent from reservedFrom on.
	reserved     float64
	reservedFrom time.Duration
	// amount is the total number of units taken by the call, after the others are returned.
	amount float64
	// returnWithNextCall is true if the units are returned with the next call instead of a separate one.
	returnWithNextCall bool
	// callsPausedUntil is when the counter may be called for the customer's bucket again.
	callsPausedUntil time.Duration
}

// planShortfall decides how to handle the units of a block that were not granted. The parameter level is the bucket's
// level according to the answer, and available is the part of it that this call may take.
func (b *Balancer) planShortfall(call *counterCall, level, available, granted float64) shortfallPlan {
	if b.isLargeFleet() {
		return b.planLargeFleetShortfall(call, available, granted)
	}
	return b.planSmallFleetShortfall(call, level, granted)
}

// settleShortfall reserves and returns units as planned, and pauses calls for the customer.
func (b *Balancer) settleShortfall(call *counterCall, planned shortfallPlan) {
	cust := call.customer
	if planned.reserved > 0 {
		cust.quota.reserveTokens(planned.reserved, planned.reservedFrom)
	}
	returned := planned.amount - call.amount // negative: reduces the counter's total
	if planned.returnWithNextCall {
		cust.quota.addDebt(returned)
	} else {
		b.callCounter(cust, call.terms, 0, returned)
	}
	call.amount = planned.amount
	cust.bucket.pauseCallsUntil(planned.callsPausedUntil)
}

// recordBucket records the level of a bucket, in units, as of the time of a call's answer and reduced by what the call
// took. If the counter has lost the total, the bucket counts as known only from now on. An answer older than the last
// recorded one is ignored.
func (b *Balancer) recordBucket(call *counterCall, level, total float64, at time.Duration) {
	bucket, plan := &call.customer.bucket, call.terms.plan
	if at < bucket.levelAt {
		return
	}
	if bucket.hasLostTotal(call.window, total, plan) {
		bucket.markKnown(b.now)
	}
	bucket.record(call.window, total, at, max(level-call.amount, -plan.Burst/2))
}

// planSmallFleetShortfall returns the units of a block that the bucket did not have, with the next call if that is
// expected soon. It pauses calls for the customer until its gateways together would find the bucket refilled.
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

// acceptedTokens returns how many units of a block are taken from the units available in the bucket. Tokens of a plan
// whose ceiling is leased are not returned, so a fraction of a unit is left in the bucket: at this gateway it would
// usually be lost.
func (b *Balancer) acceptedTokens(call *counterCall, available float64) float64 {
	granted := max(0, min(call.block, available))
	if granted < call.block && call.terms.ceilingLeased {
		tokens := call.customer.quota.tokens
		granted = min(granted, max(0, math.Floor(granted+tokens)-tokens))
	}
	return granted
}
