package balancer

import (
	"math"
	"time"
)

// minPriority is the least priority of a request by which its band is found.
const minPriority = 1e-9

// quotaDecision is how a request stands with its customer's quota and ceiling. A gateway that stops spending a quota
// does so for one of these reasons:
//
//   - The bucket on the counter was found empty, and is left alone for a while (sharedBucket.emptyUntil).
//   - A call timed out, and its answer may still come (quotaState.callsPausedUntil).
//   - The counter is silent or overloaded (counterCalls.isHealthy, canCallCounter), and the fallback share is spent.
//   - This gateway's share of the ceiling is short, and the bucket is not known for long enough (isBucketReliable).
//   - The customer has as many requests in flight here as it may have (isInFlightFull).
//   - The gateway has no share (shareState.excluded, a lease that is over) or was handed over (Balancer.handedOver).
type quotaDecision int

const (
	// quotaCovered means that units are reserved for the request: it may be placed.
	quotaCovered quotaDecision = iota
	// quotaPending means that the request has to wait, at most until its time is over.
	quotaPending
	// quotaExceeded means that no units are there for the request. A soft plan may still let it through.
	quotaExceeded
)

// quotaCheck is what one decision about a request's quota and ceiling goes by.
type quotaCheck struct {
	request *request
	plan    *Plan
	// lease is the lease by which the ceiling goes; nil: it is not leased from the counter.
	lease *leasedCeiling
	// missing is the number of units that this gateway's share of the ceiling lacks for the request; 0 or less: none.
	missing float64
	// nearlyLate is true when the request has no time left to wait.
	nearlyLate bool
	// inFlightFull is true when the customer has as many requests in flight as it may have here.
	inFlightFull bool
}

// isCeilingShort reports whether this gateway's share of the ceiling has too few units for the request.
func (check *quotaCheck) isCeilingShort() bool { return check.missing > 0 }

// checkQuota decides whether a request may be placed now. It needs a place among the requests in flight, units of the
// ceiling and, to be promoted over requests without quota, units of the quota. A request that is covered has them
// reserved and its priority level set.
func (b *Balancer) checkQuota(req *request) quotaDecision {
	plan := &b.settings.Plans[req.plan]
	check := quotaCheck{
		request:      req,
		plan:         plan,
		lease:        b.leasableCeiling(req),
		nearlyLate:   b.isStale(req, nil),
		inFlightFull: b.isInFlightFull(req, plan),
		missing:      req.units - b.ceilingCapacity(req, plan),
	}
	switch {
	case b.hasSparseShares(req.customer, plan):
		return b.checkSparseQuota(&check)
	case check.inFlightFull || check.isCeilingShort() && check.lease == nil:
		return b.awaitCeiling(&check)
	}
	req.level = b.priorityBand(req, plan)
	source, decision := b.spendUnits(&check)
	if decision != quotaCovered {
		return decision
	}
	req.quota.covered = req.level < priorityBands
	req.quota.charged = req.quota.covered && plan.Rate > 0
	b.reserveCeiling(req, source)
	return quotaCovered
}

// awaitCeiling decides whether a request waits for a place among those in flight, or for the ceiling's share to fill.
// A request of a soft plan waits for the share only if that fills soon.
func (b *Balancer) awaitCeiling(check *quotaCheck) quotaDecision {
	req, plan := check.request, check.plan
	if check.nearlyLate || req.admitOnly {
		return quotaExceeded
	}
	fillSeconds := check.missing / b.ceilingShare(req.customer, plan).Rate
	if !check.inFlightFull && plan.isSoft() && fillSeconds > req.ceilingWaitLimit() {
		return quotaExceeded
	}
	return quotaPending
}

// priorityBand is the band of priority levels that a request has by its priority weight for each unit of cost.
func (b *Balancer) priorityBand(req *request, plan *Plan) int {
	density := b.latency.classes[req.class].costProfile.Density(req.units)
	priority := max(minPriority, b.settings.Classes[req.class].PriorityWeight*plan.PriorityFactor*density)
	return min(priorityBands-1, max(0, int(bandsPerHalving*math.Log2(b.maxPriority/priority))))
}

// spendUnits takes a request's units from the quota, or from the leased ceiling, and lowers its level when no quota
// pays for it. It returns where the units of the ceiling come from.
func (b *Balancer) spendUnits(check *quotaCheck) (ceilingSource, quotaDecision) {
	req, plan := check.request, check.plan
	if plan.Rate <= 0 {
		return b.spendWithoutQuota(check)
	}
	decision := b.spendTokens(check)
	leased := check.lease != nil
	switch {
	case decision == quotaExceeded && leased && b.leaseCeiling(check) == quotaPending:
		return fromEvenShare, quotaPending
	case decision != quotaCovered:
		return fromEvenShare, decision
	case req.quota.onCredit:
		req.level += priorityBands
	case leased && req.quota.paidByCounter && b.isBucketReliable(req.customer, plan):
		return fromQuota, quotaCovered
	}
	return fromEvenShare, quotaCovered
}

// spendWithoutQuota is spendUnits for a plan that has no quota. Only a plan that limits the requests in flight is
// promoted then.
func (b *Balancer) spendWithoutQuota(check *quotaCheck) (ceilingSource, quotaDecision) {
	if check.plan.MaxInFlight == 0 {
		check.request.level += priorityBands
	}
	if check.lease == nil {
		return fromEvenShare, quotaCovered
	}
	return fromLease, b.leaseCeiling(check)
}

// handleOverQuota decides for a request that no tokens pay for. A soft plan lets it through at the lowest level as
// long as the ceiling has units for it; otherwise it is rejected.
func (b *Balancer) handleOverQuota(req *request) {
	plan := &b.settings.Plans[req.plan]
	inFlightFull := b.isInFlightFull(req, plan)
	source, capacity := b.overQuotaCapacity(req, plan)
	if !plan.isSoft() || inFlightFull || capacity < req.units {
		b.reject(req, b.refillTime(req.customer, plan, req.units), QuotaExceeded)
		return
	}
	req.level = lowestLevel
	b.reserveCeiling(req, source)
	b.assign(req)
}

// overQuotaCapacity is how many units of the ceiling a request beyond the quota may use now, and where they are from.
func (b *Balancer) overQuotaCapacity(req *request, plan *Plan) (ceilingSource, float64) {
	if leased := b.leasableCeiling(req); leased != nil {
		return fromLease, leased.capacity(b.now, req)
	}
	return fromEvenShare, b.ceilingCapacity(req, plan)
}

// refillTime is the time until the customer's quota should have the units again, for a client's Retry-After.
func (b *Balancer) refillTime(cust *customer, plan *Plan, units float64) time.Duration {
	const (
		minSeconds = 0.01
		minRate    = 0.1 // units a second
	)
	seconds := max(minSeconds, (units-b.bucketLevel(cust, plan))/max(plan.Rate, minRate))
	return time.Duration(seconds * float64(time.Second))
}

// quotaMayCover reports whether the quota may have units for a request, as far as this gateway knows.
func (b *Balancer) quotaMayCover(req *request, plan *Plan) bool {
	cust := req.customer
	return plan.Rate > 0 &&
		(cust.quota.hasTokens(req.units) || cust.quota.callPending || b.now >= cust.bucket.emptyUntil)
}
