package balancer

import (
	"math"
	"time"

	"gapgap/internal/balancer/ceilinglease"
	"gapgap/internal/balancer/quotashare"
)

const (
	// maxCeilingWaitFraction is the fraction of its time limit for which a request may wait for the ceiling.
	maxCeilingWaitFraction = 0.3
	// minCeilingRate replaces a rate of 0 as a divisor in wait times, in units per second.
	minCeilingRate = 1e-4
	// minQueuedRateFraction is the minimum fraction of the ceiling's rate that is assumed to be left for queued
	// requests.
	minQueuedRateFraction = 0.1
)

// ceilingSource is where a request's ceiling units come from.
type ceilingSource int

const (
	// fromOwnShare means this gateway's share of the ceiling.
	fromOwnShare ceilingSource = iota
	// fromQuota means that the quota's bucket on the counter has paid for the request. That bucket bounds what all
	// gateways send together.
	fromQuota
	// fromLease means units beyond the quota that were leased from the counter.
	fromLease
)

// ceilingState is what this gateway holds of a customer's ceiling, the hard limit that must never be exceeded.
// Whichever source a request's units come from, they are also drawn from this gateway's share. Gateways that lose the
// counter at the same time therefore never hold more in total than the ceiling's bucket does. See
// docs/design/ceilings.md for the proof.
type ceilingState struct {
	// tokens is the number of units in this gateway's share, including reserved ones. It is negative if leased units
	// were sent beyond the share.
	tokens float64
	// filledAt is when tokens was last refilled.
	filledAt time.Duration
	// reserved is the part of tokens that is reserved for queued requests.
	reserved float64
	// admitOnlyTokens is the part of tokens that is set aside for admission-only requests.
	admitOnlyTokens float64
	// loans are the parts of the ceiling that this gateway has borrowed from peers and lent to them.
	loans quotashare.Loans
	// nextLoanRequestAt is the earliest time of the next loan request.
	nextLoanRequestAt time.Duration
	// turnUsedAt is a time within the last turn that was used, where shares are sparse (ceilinglease.Turns). A time is
	// stored because turns are renumbered when the ceiling or the number of gateways changes.
	turnUsedAt time.Duration
	// lease is what this gateway has leased of the ceiling beyond the quota on the most recent terms; nil if nothing
	// yet.
	lease *leasedCeiling
}

// fillShare adds the units of the elapsed seconds to this gateway's share and sets a fraction of them aside for
// admission-only requests.
func (ceiling *ceilingState) fillShare(
	now time.Duration, share quotashare.Bucket, seconds, admitOnlyFraction float64,
) {
	ceiling.filledAt = now
	ceiling.tokens += share.Rate * seconds
	ceiling.tokens = min(ceiling.tokens, share.Depth)
	if !(admitOnlyFraction > 0) { // also true for NaN, which results from no demand at all
		ceiling.admitOnlyTokens = 0
		return
	}
	limit := min(ceiling.tokens, max(1, admitOnlyFraction*share.Depth))
	ceiling.admitOnlyTokens += admitOnlyFraction * share.Rate * seconds
	ceiling.admitOnlyTokens = max(0, min(ceiling.admitOnlyTokens, limit))
}

// drawShare takes a request's units from this gateway's share. It reports whether there were enough.
func (ceiling *ceilingState) drawShare(req *request) bool {
	if ceiling.tokens < req.units {
		return false
	}
	ceiling.tokens -= req.units
	if req.admitOnly {
		ceiling.admitOnlyTokens = max(0, ceiling.admitOnlyTokens-req.units)
	}
	return true
}

// setTokens sets the units of a share that does not refill at a rate.
func (ceiling *ceilingState) setTokens(now time.Duration, tokens float64) {
	ceiling.tokens = tokens
	ceiling.filledAt = now
	ceiling.admitOnlyTokens = 0
}

// drawBeyondShare also takes units that came from another source from this gateway's share, down to a minimum level.
func (ceiling *ceilingState) drawBeyondShare(units, lowest float64) {
	ceiling.tokens = max(lowest, ceiling.tokens-units)
}

// lastTurn returns the number of the gateway's last used turn in the given numbering of turns.
func (ceiling *ceilingState) lastTurn(turns ceilinglease.Turns, gateway int) int64 {
	turn, _ := turns.At(ceiling.turnUsedAt, gateway)
	return max(0, turn)
}

// useTurn uses the gateway's turn at the time for which a request was placed. It reports whether the turn was unused.
func (ceiling *ceilingState) useTurn(turns ceilinglease.Turns, gateway int, at time.Duration) bool {
	if turn, _ := turns.At(at, gateway); ceiling.lastTurn(turns, gateway) >= turn {
		return false
	}
	ceiling.turnUsedAt = at
	return true
}

// refillCeiling refills this gateway's share of a customer's ceiling and returns its units, which are infinite without
// a ceiling. A new gateway starts with an empty share, since it may have spent the share before a restart.
func (b *Balancer) refillCeiling(cust *customer, plan *Plan) float64 {
	return b.refillCeilingUntil(cust, plan, b.now)
}

// refillCeilingUntil is refillCeiling up to a given time, which is in the past if a lease or a loan ended then.
func (b *Balancer) refillCeilingUntil(cust *customer, plan *Plan, now time.Duration) float64 {
	if plan.CeilingRate == 0 {
		return math.Inf(1)
	}
	b.expireLoans(cust, plan, now)
	b.fillCeilingShare(cust, plan, now)
	return cust.ceiling.tokens
}

// fillCeilingShare refills this gateway's share of a customer's ceiling up to a given time, at the rate that the share
// has at that time. It does not expire loans.
func (b *Balancer) fillCeilingShare(cust *customer, plan *Plan, now time.Duration) {
	share := b.ceilingShareAt(cust, plan, now)
	if b.hasSparseShares(cust, plan) {
		share = sparseCeilingShare(cust, plan)
		if turns, ok := b.sparseTurns(cust, plan); ok {
			b.refillByTurn(cust, turns, now)
			return
		}
	}
	seconds := b.refillSeconds(cust.ceiling.filledAt, now)
	cust.ceiling.fillShare(now, share, seconds, cust.demand.admitOnlyFraction())
}

// ceilingCapacity returns how many units of this gateway's share of the ceiling a request can use now. Admission-only
// requests are never queued, so under overload the queued requests would use up the whole share. Part of it is
// therefore set aside for admission-only requests, in proportion to their part of the demand.
func (b *Balancer) ceilingCapacity(req *request, plan *Plan) float64 {
	tokens := b.refillCeiling(req.customer, plan)
	ceiling := &req.customer.ceiling
	if req.admitOnly {
		return max(ceiling.admitOnlyTokens, tokens-ceiling.reserved)
	}
	return tokens - ceiling.admitOnlyTokens - ceiling.reserved
}

// ceilingWait returns the time in seconds until the ceiling has units for a request that joins its customer's queue.
func (b *Balancer) ceilingWait(req *request) float64 {
	plan := &b.settings.Plans[req.plan]
	if plan.CeilingRate == 0 {
		return 0
	}
	if leased := b.leasableCeiling(req); leased != nil {
		return b.ceilingLeaseWait(req, plan, leased)
	}
	if b.hasSparseShares(req.customer, plan) && b.counterMayCover(req) {
		return 0
	}
	return b.ceilingShareWait(req, plan)
}

// ceilingShareWait is ceilingWait for this gateway's share. It requests a loan from the peers if the share is short.
func (b *Balancer) ceilingShareWait(req *request, plan *Plan) float64 {
	cust := req.customer
	missing := req.units - b.ceilingCapacity(req, plan)
	b.requestLoan(cust, plan, missing > 0)
	if req.admitOnly && cust.ceiling.admitOnlyTokens >= req.units {
		return 0
	}
	for _, ahead := range cust.waiting.requests {
		if !ahead.ended {
			missing += ahead.units
		}
	}
	rate := max(minCeilingRate, b.ceilingShare(cust, plan).Rate)
	if !req.admitOnly {
		rate *= max(minQueuedRateFraction, 1-cust.demand.admitOnlyFraction())
	}
	return max(0, missing) / rate
}

// drawCeiling takes the units of a request's first attempt from the ceiling, and reports whether they were still
// available. Units that came from the quota's bucket or from a lease are also taken from this gateway's share
// (drawBeyondShare).
func (b *Balancer) drawCeiling(req *request, plan *Plan) bool {
	cust := req.customer
	if plan.CeilingRate == 0 {
		return true
	}
	b.refillCeiling(cust, plan)
	switch {
	case req.ceiling.source == fromQuota && b.hasSparseShares(cust, plan):
		return true
	case req.ceiling.source == fromOwnShare:
		return b.drawOwnShare(req, plan)
	case req.ceiling.source == fromLease:
		return b.drawLeasedUnits(req, plan)
	}
	b.drawBeyondShare(req, plan)
	return true
}

// drawOwnShare takes a request's units from this gateway's share, or uses the turn for which the request was placed,
// which is the current turn if none was recorded. It reports whether they were available.
func (b *Balancer) drawOwnShare(req *request, plan *Plan) bool {
	ceiling := &req.customer.ceiling
	turns, hasTurns := b.sparseTurns(req.customer, plan)
	switch {
	case !hasTurns:
		return ceiling.drawShare(req)
	case req.ceiling.turnAt > 0:
		return ceiling.useTurn(turns, b.settings.Index, req.ceiling.turnAt)
	}
	_, open := turns.At(b.now, b.settings.Index)
	return open && ceiling.useTurn(turns, b.settings.Index, b.now)
}

// drawBeyondShare takes units that came from another source from this gateway's share as well. The lower limit is the
// level at which all gateways' shares together are as empty as the ceiling's bucket can be.
func (b *Balancer) drawBeyondShare(req *request, plan *Plan) {
	lowest := b.ceilingShare(req.customer, plan).Depth - plan.CeilingBurst
	req.customer.ceiling.drawBeyondShare(req.units, lowest)
}

// reserveCeiling reserves ceiling units for a request, and counts it as in flight if its plan limits requests in
// flight. releaseCeiling returns the units.
func (b *Balancer) reserveCeiling(req *request, source ceilingSource) {
	cust, plan := req.customer, &b.settings.Plans[req.plan]
	if plan.MaxInFlight > 0 {
		req.inFlight = true
		cust.inFlight++
	}
	req.ceiling.reserved = true
	req.ceiling.source = source
	req.ceiling.lease = nil
	req.ceiling.leaseWindow = 0
	req.ceiling.turnAt = 0
	switch source {
	case fromOwnShare:
		cust.ceiling.reserved += req.units
		if _, ok := b.sparseTurns(cust, plan); ok {
			req.ceiling.turnAt = b.now
		}
	case fromLease:
		b.currentLease(req).spend(b.now, req)
	}
}

// releaseCeiling ends the reservation of a request that is dispatched now or will never be.
func (b *Balancer) releaseCeiling(req *request, dispatched bool) {
	if !req.ceiling.reserved {
		return
	}
	req.ceiling.reserved = false
	ceiling := &req.customer.ceiling
	switch {
	case req.ceiling.source == fromOwnShare:
		ceiling.reserved -= req.units
	case req.ceiling.source == fromLease && !dispatched:
		req.ceiling.lease.takeBack(b.now, req)
	}
}

// ceilingShare returns this gateway's share of a customer's ceiling, including loans.
func (b *Balancer) ceilingShare(cust *customer, plan *Plan) quotashare.Bucket {
	return b.ceilingShareAt(cust, plan, b.now)
}

// ceilingShareAt is ceilingShare at a given time.
func (b *Balancer) ceilingShareAt(cust *customer, plan *Plan, now time.Duration) quotashare.Bucket {
	if !b.settings.LeasedShares {
		return quotashare.Bucket{Rate: plan.CeilingRate / cust.gateways, Depth: plan.CeilingBurst / cust.gateways}
	}
	if b.share.excluded {
		return quotashare.Bucket{}
	}
	share := b.ownCeilingShare(cust, plan, b.share.lease.Fraction(now))
	if loans := &cust.ceiling.loans; loans.HasAny() {
		share = share.Subtract(loans.Lent(now, quotashare.NoGateway)).Add(loans.Borrowed(now))
	}
	return share
}

// ownCeilingShare returns this gateway's share of a customer's ceiling for a leased fraction, without loans.
func (b *Balancer) ownCeilingShare(cust *customer, plan *Plan, fraction float64) quotashare.Bucket {
	ceiling := quotashare.Bucket{Rate: plan.CeilingRate, Depth: plan.CeilingBurst}
	quota := quotashare.Bucket{Rate: plan.Rate, Depth: plan.Burst}
	leased := quotashare.FractionWithinSubset(fraction, cust.gateways, float64(b.settings.Gateways))
	return plan.PartitionPolicy.Share(ceiling, quota, 1/cust.gateways, leased)
}

// sharesFilledSince returns the time since which the share of a customer that is first seen now has been filling.
func (b *Balancer) sharesFilledSince() time.Duration {
	return max(b.startedAt, b.share.excludedChangedAt, b.share.lease.IncreasedAt())
}

// refillSeconds returns for how many seconds this gateway's shares have been filling between two times. They do not
// fill after a handover.
func (b *Balancer) refillSeconds(since, until time.Duration) float64 {
	if b.handedOver {
		return 0
	}
	return (until - since).Seconds()
}
