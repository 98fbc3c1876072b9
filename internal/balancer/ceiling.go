package balancer

import (
	"math"
	"time"

	"gapgap/internal/balancer/quotashare"
)

const (
	maxCeilingWaitFraction = 0.3 // part of its time that a request waits for the ceiling's share
)

// minCeilingRate keeps times from being endless where a door has no part, units a second.
const minCeilingRate = 1e-4

// refillCeiling fills and tells this door's share of the customer's ceiling: rate and depth divided by the doors. A
// fresh door may have spent its share before it was restarted, so it starts empty.
func (b *Balancer) refillCeiling(cust *customer, plan *Plan) float64 {
	if plan.CeilingRate == 0 {
		return math.Inf(1)
	}
	b.expireLoans(cust, plan)
	own := b.ceilingShare(cust, plan)
	if b.hasSparseShares(cust, plan) {
		own.Rate = manyRate * (plan.CeilingRate - plan.Rate) / cust.gateways
		own.Depth = (plan.CeilingBurst - manyTakes*plan.Burst) / cust.gateways
		if t, ok := b.ceilingTurns(cust, plan); ok {
			return b.refillTurn(cust, t)
		}
	}
	cust.ceiling.tokens += own.Rate * b.refillSeconds(cust.ceiling.filledAt)
	cust.ceiling.tokens = min(cust.ceiling.tokens, own.Depth)
	if g := cust.admitOnlyFraction(); g > 0 {
		cust.ceiling.admitOnlyTokens += g * own.Rate * b.refillSeconds(cust.ceiling.filledAt)
		cust.ceiling.admitOnlyTokens = max(0, min(cust.ceiling.admitOnlyTokens, cust.ceiling.tokens, max(1, g*own.Depth)))
	} else {
		cust.ceiling.admitOnlyTokens = 0
	}
	cust.ceiling.filledAt = b.now
	return cust.ceiling.tokens
}

// ceilingRoom is how much of this door's share of the ceiling a request can have now. What asks for leave joins no
// line, those would take all of the share under a flood: by its part of the demand some is kept.
func (b *Balancer) ceilingRoom(req *request, plan *Plan) float64 {
	have := b.refillCeiling(req.customer, plan)
	if req.admitOnly {
		return max(req.customer.ceiling.admitOnlyTokens, have-req.customer.ceiling.reserved)
	}
	return have - req.customer.ceiling.admitOnlyTokens - req.customer.ceiling.reserved
}

// ceilingWait is the time in seconds until this door's share of the ceiling has room for a request that would
// join its customer's line.
func (b *Balancer) ceilingWait(req *request) float64 {
	plan := &b.settings.Plans[req.plan]
	if plan.CeilingRate == 0 {
		return 0
	}
	if t := b.ceilingLeaseTerms(req); t != nil {
		wait := req.customer.ceiling.lease.Opens(*t, b.now)
		if wait == 0 || b.quotaMayCover(req, plan) {
			return 0
		}
		for _, o := range req.customer.waiting.requests {
			if !o.ended {
				wait += time.Duration(o.units / t.Rate * float64(time.Second))
			}
		}
		return wait.Seconds()
	}
	if b.hasSparseShares(req.customer, plan) && b.counterMayCover(req, plan) {
		return 0
	}
	short := req.units - b.ceilingRoom(req, plan)
	b.requestLoan(req.customer, plan, short > 0)
	if req.admitOnly && req.customer.ceiling.admitOnlyTokens >= req.units {
		return 0
	}
	for _, o := range req.customer.waiting.requests {
		if !o.ended {
			short += o.units
		}
	}
	rate := max(minCeilingRate, b.ceilingShare(req.customer, plan).Rate)
	if !req.admitOnly {
		rate *= max(0.1, 1-req.customer.admitOnlyFraction())
	}
	return max(0, short) / rate
}

// drawCeiling takes the units of a first attempt out of the ceiling; false: they are not there any more. What is
// lent is taken from this door's even share too, which may go so far below nothing that all doors' shares
// together are as empty as the ceiling's store can be.
func (b *Balancer) drawCeiling(req *request, plan *Plan) bool {
	cust := req.customer
	if plan.CeilingRate == 0 {
		return true
	}
	have := b.refillCeiling(cust, plan)
	switch t := &b.leaseTerms[req.plan]; {
	case req.ceilingSource == fromQuota && b.hasSparseShares(cust, plan):
		return true
	case req.ceilingSource == fromEvenShare && req.leaseWindow > 0: // its turn was there when it was placed
		if cust.ceiling.lastTurn >= req.leaseWindow {
			return false
		}
		cust.ceiling.lastTurn = req.leaseWindow
		return true
	case req.ceilingSource == fromEvenShare:
		if have < req.units {
			return false
		}
		cust.ceiling.tokens -= req.units
		if req.admitOnly {
			cust.ceiling.admitOnlyTokens = max(0, cust.ceiling.admitOnlyTokens-req.units)
		}
		return true
	case req.ceilingSource == fromLease && t.Index(b.now) != req.leaseWindow:
		if cust.ceiling.lease.Has(*t, b.now, !req.admitOnly, cust.admitOnlyFraction()) < req.units {
			return false
		}
		req.leaseWindow = cust.ceiling.lease.Take(*t, b.now, req.units, !req.admitOnly)
	}
	cust.ceiling.tokens = max(b.ceilingShare(cust, plan).Depth-plan.CeilingBurst, cust.ceiling.tokens-req.units)
	return true
}

// releaseCeiling gives back what a request holds while it is queued, which goes out now or never.
func (b *Balancer) releaseCeiling(req *request, out bool) {
	if !req.ceilingReserved {
		return
	}
	req.ceilingReserved = false
	switch {
	case req.ceilingSource == fromEvenShare:
		req.customer.ceiling.reserved -= req.units
	case req.ceilingSource == fromLease && !out:
		req.customer.ceiling.lease.Give(b.leaseTerms[req.plan], b.now, req.leaseWindow, req.units, !req.admitOnly)
	}
}

// reserveCeiling counts a request as open where its plan bounds that, and keeps units of the ceiling for it; release
// gives these back.
func (b *Balancer) reserveCeiling(req *request, from ceilingSource) {
	if b.settings.Plans[req.plan].MaxInFlight > 0 {
		req.inFlight = true
		req.customer.inFlight++
	}
	req.ceilingReserved, req.ceilingSource, req.leaseWindow = true, from, 0
	switch from {
	case fromEvenShare:
		req.customer.ceiling.reserved += req.units
		if plan := &b.settings.Plans[req.plan]; b.hasSparseShares(req.customer, plan) {
			if t, ok := b.ceilingTurns(req.customer, plan); ok {
				req.leaseWindow, _ = t.Now(b.now, b.settings.Index)
			}
		}
	case fromLease:
		req.leaseWindow = req.customer.ceiling.lease.Take(b.leaseTerms[req.plan], b.now, req.units, !req.admitOnly)
	}
}

// ceilingShare is this door's part of a customer's ceiling.
func (b *Balancer) ceilingShare(cust *customer, plan *Plan) quotashare.Store {
	if !b.settings.LeasedShares {
		return quotashare.Store{Rate: plan.CeilingRate / cust.gateways, Depth: plan.CeilingBurst / cust.gateways}
	}
	if b.share.excluded {
		return quotashare.Store{}
	}
	own := b.ownCeilingShare(cust, plan, b.share.lease.Part(b.now))
	if cust.ceiling.loans.Some() {
		own = own.Less(cust.ceiling.loans.Out(b.now, -1)).Plus(cust.ceiling.loans.In(b.now))
	}
	return own
}

// ownCeilingShare is what is this door's own with a leased part, whatever is lent.
func (b *Balancer) ownCeilingShare(cust *customer, plan *Plan, part float64) quotashare.Store {
	return plan.PartitionPolicy.Of(
		quotashare.Store{Rate: plan.CeilingRate, Depth: plan.CeilingBurst},
		quotashare.Store{Rate: plan.Rate, Depth: plan.Burst},
		1/cust.gateways,
		quotashare.Among(part, cust.gateways, float64(b.settings.Gateways)),
	)
}

// storeFilledSince is since when a store that is met for the first time has filled.
func (b *Balancer) storeFilledSince() time.Duration {
	return max(b.startedAt, b.share.excludedChangedAt, b.share.lease.GrewAt())
}

// refillSeconds is the seconds in which this door's shares have filled.
func (b *Balancer) refillSeconds(at time.Duration) float64 {
	if b.handedOver {
		return 0
	}
	return (b.now - at).Seconds()
}

// ceilingSource says where a request's units of the ceiling come from.
type ceilingSource int

const (
	fromEvenShare ceilingSource = iota // this door's even share
	fromQuota                          // what the quota's ledger on the counter let through
	fromLease                          // what was leased beyond the quota
)
