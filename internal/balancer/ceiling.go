package balancer

import (
	"math"
	"time"

	"gapgap/internal/balancer/ceilinglease"
	"gapgap/internal/balancer/quotashare"
)

const (
	// maxCeilingWaitFraction is the part of its time for which a request may wait for the ceiling.
	maxCeilingWaitFraction = 0.3
	// minCeilingRate stands for a rate of 0 where a waiting time is divided by it, units a second.
	minCeilingRate = 1e-4
	// minQueuedRateFraction is the least part of the ceiling's rate that is taken to be left for queued requests.
	minQueuedRateFraction = 0.1
)

// ceilingSource is where a request's units of the ceiling come from.
type ceilingSource int

const (
	// fromEvenShare means this gateway's share of the ceiling.
	fromEvenShare ceilingSource = iota
	// fromQuota means that the quota's bucket on the counter has paid for the request, which bounds what goes out at
	// all gateways.
	fromQuota
	// fromLease means units beyond the quota that were leased from the counter.
	fromLease
)

// ceilingState is what this gateway holds of a customer's ceiling, the hard limit that no excess may pass. Whichever
// source a request's units come from, this gateway's share is drawn down too, so that gateways which lose the counter
// together hold no more than the ceiling's bucket does. docs/design/ceilings.md has the proof.
type ceilingState struct {
	// tokens are the units in this gateway's share, those reserved included. Below 0: leased units went out beyond it.
	tokens float64
	// filledAt is when tokens were filled last.
	filledAt time.Duration
	// reserved is the number of units of tokens that queued requests hold.
	reserved float64
	// admitOnlyTokens is the number of units of tokens that are kept for requests that ask for admission only.
	admitOnlyTokens float64
	// loans are the parts of the ceiling that peers have granted to this gateway, and it to them.
	loans quotashare.Loans
	// nextLoanRequestAt is the time before which no loan is asked for.
	nextLoanRequestAt time.Duration
	// turnUsedAt is a time in the last turn that was used, where shares are sparse (ceilinglease.Turns). Turns are
	// numbered anew when the ceiling or the number of gateways changes, times are not.
	turnUsedAt time.Duration
	// lease is what this gateway has leased of the ceiling beyond the quota on the last terms; nil: nothing yet.
	lease *leasedCeiling
}

// fillShare adds the units of the last seconds to this gateway's share, of which a part is kept for requests that ask
// for admission only.
func (ceiling *ceilingState) fillShare(
	now time.Duration, share quotashare.Bucket, seconds, admitOnlyFraction float64,
) {
	ceiling.filledAt = now
	ceiling.tokens += share.Rate * seconds
	ceiling.tokens = min(ceiling.tokens, share.Depth)
	if !(admitOnlyFraction > 0) { // not a number where there is no demand at all
		ceiling.admitOnlyTokens = 0
		return
	}
	limit := min(ceiling.tokens, max(1, admitOnlyFraction*share.Depth))
	ceiling.admitOnlyTokens += admitOnlyFraction * share.Rate * seconds
	ceiling.admitOnlyTokens = max(0, min(ceiling.admitOnlyTokens, limit))
}

// drawShare takes a request's units out of this gateway's share. It reports whether they were there.
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

// setTokens sets the units of a share that is not filled at a rate.
func (ceiling *ceilingState) setTokens(now time.Duration, tokens float64) {
	ceiling.tokens = tokens
	ceiling.filledAt = now
	ceiling.admitOnlyTokens = 0
}

// drawBeyondShare takes units that came from elsewhere out of this gateway's share too, down to a lowest level.
func (ceiling *ceilingState) drawBeyondShare(units, lowest float64) {
	ceiling.tokens = max(lowest, ceiling.tokens-units)
}

// lastTurn is the number of a gateway's last used turn as some turns count it.
func (ceiling *ceilingState) lastTurn(turns ceilinglease.Turns, gateway int) int64 {
	turn, _ := turns.At(ceiling.turnUsedAt, gateway)
	return max(0, turn)
}

// drawTurn uses a gateway's turn at a time, for which a request was placed. It reports whether that was unused.
func (ceiling *ceilingState) drawTurn(turns ceilinglease.Turns, gateway int, at time.Duration) bool {
	if turn, _ := turns.At(at, gateway); ceiling.lastTurn(turns, gateway) >= turn {
		return false
	}
	ceiling.turnUsedAt = at
	return true
}

// refillCeiling fills this gateway's share of a customer's ceiling and returns its units; infinite without a ceiling.
// A new gateway starts with an empty share, as it may have spent it before a restart.
func (b *Balancer) refillCeiling(cust *customer, plan *Plan) float64 {
	return b.refillCeilingUntil(cust, plan, b.now)
}

// refillCeilingUntil is refillCeiling up to a time, which is before now where a lease or a loan has ended then.
func (b *Balancer) refillCeilingUntil(cust *customer, plan *Plan, now time.Duration) float64 {
	if plan.CeilingRate == 0 {
		return math.Inf(1)
	}
	b.expireLoans(cust, plan, now)
	b.fillCeilingShare(cust, plan, now)
	return cust.ceiling.tokens
}

// fillCeilingShare fills this gateway's share of a customer's ceiling up to a time by what the share is at that time.
// It ends no loan.
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

// ceilingCapacity is how many units of this gateway's share of the ceiling a request can have now. Requests that ask
// for admission only are never queued, so under overload the queued ones would take all of the share: a part is kept
// for them by their part of the demand.
func (b *Balancer) ceilingCapacity(req *request, plan *Plan) float64 {
	tokens := b.refillCeiling(req.customer, plan)
	ceiling := &req.customer.ceiling
	if req.admitOnly {
		return max(ceiling.admitOnlyTokens, tokens-ceiling.reserved)
	}
	return tokens - ceiling.admitOnlyTokens - ceiling.reserved
}

// ceilingWait is the time in seconds until the ceiling has units for a request that would join its customer's line.
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

// ceilingShareWait is ceilingWait by this gateway's share, for which it asks the peers for a loan when it is short.
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

// drawCeiling takes the units of a request's first attempt out of the ceiling, and reports whether they were still
// there. Units that the quota's bucket or a lease has given are taken from this gateway's share too (drawBeyondShare).
func (b *Balancer) drawCeiling(req *request, plan *Plan) bool {
	cust := req.customer
	if plan.CeilingRate == 0 {
		return true
	}
	b.refillCeiling(cust, plan)
	switch {
	case req.ceiling.source == fromQuota && b.hasSparseShares(cust, plan):
		return true
	case req.ceiling.source == fromEvenShare:
		return b.drawEvenShare(req, plan)
	case req.ceiling.source == fromLease:
		return b.drawLeasedUnits(req, plan)
	}
	b.drawBeyondShare(req, plan)
	return true
}

// drawEvenShare takes a request's units out of this gateway's share, or uses the turn that the request was placed for;
// one that was placed for none uses the present turn. It reports whether they were there.
func (b *Balancer) drawEvenShare(req *request, plan *Plan) bool {
	ceiling := &req.customer.ceiling
	turns, hasTurns := b.sparseTurns(req.customer, plan)
	switch {
	case !hasTurns:
		return ceiling.drawShare(req)
	case req.ceiling.turnAt > 0:
		return ceiling.drawTurn(turns, b.settings.Index, req.ceiling.turnAt)
	}
	_, open := turns.At(b.now, b.settings.Index)
	return open && ceiling.drawTurn(turns, b.settings.Index, b.now)
}

// drawBeyondShare takes units that the share has not given out of it too, down to where all gateways' shares together
// are as empty as the ceiling's bucket can be.
func (b *Balancer) drawBeyondShare(req *request, plan *Plan) {
	lowest := b.ceilingShare(req.customer, plan).Depth - plan.CeilingBurst
	req.customer.ceiling.drawBeyondShare(req.units, lowest)
}

// reserveCeiling reserves units of the ceiling for a request, and a place among the requests in flight where its plan
// limits these. releaseCeiling returns the units.
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
	case fromEvenShare:
		cust.ceiling.reserved += req.units
		if _, ok := b.sparseTurns(cust, plan); ok {
			req.ceiling.turnAt = b.now
		}
	case fromLease:
		b.presentLease(req).spend(b.now, req)
	}
}

// releaseCeiling ends the reservation of a request that is dispatched now or never.
func (b *Balancer) releaseCeiling(req *request, dispatched bool) {
	if !req.ceiling.reserved {
		return
	}
	req.ceiling.reserved = false
	ceiling := &req.customer.ceiling
	switch {
	case req.ceiling.source == fromEvenShare:
		ceiling.reserved -= req.units
	case req.ceiling.source == fromLease && !dispatched:
		req.ceiling.lease.takeBack(b.now, req)
	}
}

// ceilingShare is this gateway's part of a customer's ceiling, with its loans.
func (b *Balancer) ceilingShare(cust *customer, plan *Plan) quotashare.Bucket {
	return b.ceilingShareAt(cust, plan, b.now)
}

// ceilingShareAt is ceilingShare at a time.
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

// ownCeilingShare is this gateway's part of a customer's ceiling with a leased fraction, without loans.
func (b *Balancer) ownCeilingShare(cust *customer, plan *Plan, fraction float64) quotashare.Bucket {
	ceiling := quotashare.Bucket{Rate: plan.CeilingRate, Depth: plan.CeilingBurst}
	quota := quotashare.Bucket{Rate: plan.Rate, Depth: plan.Burst}
	leased := quotashare.FractionAmong(fraction, cust.gateways, float64(b.settings.Gateways))
	return plan.PartitionPolicy.Share(ceiling, quota, 1/cust.gateways, leased)
}

// sharesFilledSince is the time since which the share of a customer that is met now has filled.
func (b *Balancer) sharesFilledSince() time.Duration {
	return max(b.startedAt, b.share.excludedChangedAt, b.share.lease.IncreasedAt())
}

// refillSeconds is the time in seconds in which this gateway's shares have filled between two times. Once handed over
// they do not fill.
func (b *Balancer) refillSeconds(since, until time.Duration) float64 {
	if b.handedOver {
		return 0
	}
	return (until - since).Seconds()
}
