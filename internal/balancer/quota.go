package balancer

import (
	"math"
	"time"
)

// minPriority is the lowest priority that is distinguished when assigning a request to a priority band.
const minPriority = 1e-9

// quotaDecision is the result of checking a request against its customer's quota and ceiling. A gateway stops spending
// a quota for one of these reasons:
//
//   - The bucket on the counter was found empty, and calls are paused for a while (sharedBucket.emptyUntil).
//   - A call timed out, and its answer may still arrive (quotaState.callsPausedUntil).
//   - The counter is unresponsive or overloaded (counterCalls.isHealthy, canCallCounter), and the fallback share is
//     spent.
//   - This gateway's share of the ceiling is short, and the bucket has not been known for long enough
//     (isBucketReliable).
//   - The customer has reached its limit of requests in flight at this gateway (isInFlightFull).
//   - The gateway has no share (shareState.excluded, or its lease has expired) or was handed over
//     (Balancer.handedOver).
type quotaDecision int

const (
	// quotaCovered means that units are reserved for the request and it may be placed.
	quotaCovered quotaDecision = iota
	// quotaPending means that the request has to wait, at most until its time limit.
	quotaPending
	// quotaExceeded means that there are no units for the request. A soft plan may still admit it.
	quotaExceeded
)

// quotaCheck holds the inputs of one decision about a request's quota and ceiling.
type quotaCheck struct {
	request *request
	plan    *Plan
	// lease is the lease that provides the ceiling units; nil if the ceiling is not leased from the counter.
	lease *leasedCeiling
	// missing is the number of units by which this gateway's share of the ceiling is short for the request; 0 or less
	// if it is sufficient.
	missing float64
	// nearlyLate is true if the request has no time left to wait.
	nearlyLate bool
	// inFlightFull is true if the customer has reached its limit of requests in flight at this gateway.
	inFlightFull bool
}

// isCeilingShort reports whether this gateway's share of the ceiling has too few units for the request.
func (check *quotaCheck) isCeilingShort() bool { return check.missing > 0 }

// checkQuota decides whether a request may be placed now. It must fit the limit of requests in flight and needs units
// of the ceiling. To be promoted above requests without quota, it also needs units of the quota. For a covered request,
// the units are reserved and the priority level is set.
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

// awaitCeiling decides whether a request waits until fewer requests are in flight or until the ceiling's share has
// refilled. A request of a soft plan waits for the share only if it refills soon.
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

// priorityBand returns the band of priority levels for a request, based on its priority weight per unit of cost.
func (b *Balancer) priorityBand(req *request, plan *Plan) int {
	density := b.latency.classes[req.class].costProfile.Density(req.units)
	priority := max(minPriority, b.settings.Classes[req.class].PriorityWeight*plan.PriorityFactor*density)
	return min(priorityBands-1, max(0, int(bandsPerHalving*math.Log2(b.maxPriorityWeight/priority))))
}

// spendUnits takes a request's units from the quota or from the leased ceiling, and lowers the request's priority if no
// quota pays for it. It returns where the ceiling units come from.
func (b *Balancer) spendUnits(check *quotaCheck) (ceilingSource, quotaDecision) {
	req, plan := check.request, check.plan
	if plan.Rate <= 0 {
		return b.spendWithoutQuota(check)
	}
	decision := b.spendTokens(check)
	leased := check.lease != nil
	switch {
	case decision == quotaExceeded && leased && b.leaseCeiling(check) == quotaPending:
		return fromOwnShare, quotaPending
	case decision != quotaCovered:
		return fromOwnShare, decision
	case req.quota.sentWithoutLease:
		req.level += priorityBands
	case leased && req.quota.paidByLease && b.isBucketReliable(req.customer, plan):
		return fromQuota, quotaCovered
	}
	return fromOwnShare, quotaCovered
}

// spendWithoutQuota is spendUnits for a plan without a quota. Such a request is promoted only if its plan limits the
// requests in flight.
func (b *Balancer) spendWithoutQuota(check *quotaCheck) (ceilingSource, quotaDecision) {
	if check.plan.MaxInFlight == 0 {
		check.request.level += priorityBands
	}
	if check.lease == nil {
		return fromOwnShare, quotaCovered
	}
	return fromLease, b.leaseCeiling(check)
}

// handleOverQuota handles a request that no tokens pay for. A soft plan admits it at the lowest priority level while
// the ceiling has units for it; otherwise it is rejected.
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

// overQuotaCapacity returns how many units of the ceiling a request beyond the quota may use now, and their source.
func (b *Balancer) overQuotaCapacity(req *request, plan *Plan) (ceilingSource, float64) {
	if leased := b.leasableCeiling(req); leased != nil {
		return fromLease, leased.capacity(b.now, req)
	}
	return fromOwnShare, b.ceilingCapacity(req, plan)
}

// refillTime estimates the time until the customer's quota has the requested units again, for Retry-After.
func (b *Balancer) refillTime(cust *customer, plan *Plan, units float64) time.Duration {
	const (
		minSeconds = 0.01
		minRate    = 0.1 // units per second
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
