package balancer

import (
	"fmt"
	"time"

	"gapgap/internal/balancer/ceilinglease"
)

// With Settings.LeaseCeilings a customer's ceiling goes to the gateways where its demand is. What the quota's bucket
// on the counter has paid for may go out at any gateway; what is beyond the quota is leased from the counter in
// windows by the arithmetic of package ceilinglease.

// leasedCeiling is what this gateway has leased of a customer's ceiling on one set of terms. Other terms begin another
// one. Calls and requests hold the one that they belong to, so that an answer, or units that come back, are settled on
// the terms under which they went out.
type leasedCeiling struct {
	terms ceilinglease.Terms
	lease ceilinglease.Lease
}

// capacity is how many units a request may use now.
func (leased *leasedCeiling) capacity(now time.Duration, req *request) float64 {
	return leased.lease.Available(leased.terms, now, req.leaseUse(), req.customer.demand.admitOnlyFraction())
}

// spend takes units for a request, which they belong to until their window is over.
func (leased *leasedCeiling) spend(now time.Duration, req *request) {
	req.ceiling.lease = leased
	req.ceiling.leaseWindow = leased.lease.Spend(leased.terms, now, req.units, req.leaseUse())
}

// takeBack returns the units of a request that did not go out.
func (leased *leasedCeiling) takeBack(now time.Duration, req *request) {
	leased.lease.Return(leased.terms, now, req.ceiling.leaseWindow, req.units, req.leaseUse())
}

// holdsUnits reports whether a request's leased units are those of the present window, outside of which they may not
// go out.
func (reserved *ceilingReservation) holdsUnits(now time.Duration) bool {
	return reserved.lease.terms.WindowIndex(now) == reserved.leaseWindow
}

// leasableCeiling is the lease by which a request's ceiling goes now; nil: it is not leased, and this gateway goes by
// its share. While the counter does not answer nothing is leased. All gateways then go by their shares, from which
// what went out meanwhile was drawn, so together they hold no more than the ceiling's bucket does.
func (b *Balancer) leasableCeiling(req *request) *leasedCeiling {
	if req.customer.gateways <= 1 || b.now < b.counter.leasingFrom {
		return nil
	}
	return b.presentLease(req)
}

// presentLease is the lease on the present terms of a request's plan; nil: its ceiling is not leased. A request of a
// plan that its customer has left leases nothing more.
func (b *Balancer) presentLease(req *request) *leasedCeiling {
	terms, ceiling := b.leaseTerms[req.plan], &req.customer.ceiling
	if terms.Rate <= 0 || req.plan != req.customer.plan {
		return nil
	}
	if ceiling.lease == nil || ceiling.lease.terms != terms {
		ceiling.lease = &leasedCeiling{terms: terms}
	}
	return ceiling.lease
}

// leaseUse is how a request uses leased units: one that asks for admission only is never queued.
func (req *request) leaseUse() ceilinglease.Use {
	if req.admitOnly {
		return ceilinglease.ImmediateUse
	}
	return ceilinglease.QueuedUse
}

// leaseCeiling decides whether the units leased beyond the quota cover a request, and leases more. A plan that gains
// nothing by requests beyond its quota leases none.
func (b *Balancer) leaseCeiling(check *quotaCheck) quotaDecision {
	req, plan := check.request, check.plan
	lease, terms := &check.lease.lease, check.lease.terms
	switch {
	case plan.Rate > 0 && !plan.isSoft():
		return quotaExceeded
	case check.lease.capacity(b.now, req) >= req.units:
		return quotaCovered
	case check.nearlyLate:
		return quotaExceeded
	case lease.IsRequestPending():
		return quotaPending
	case req.admitOnly && req.ceiling.leaseRequested:
		return quotaExceeded
	}
	if b.canCallCounter() {
		if block := lease.RequestSize(terms, b.now, req.units, req.customer.demand.rate); block > 0 {
			b.callCeilingLease(req.customer, check.lease, block)
			req.ceiling.leaseRequested = true
			return quotaPending
		}
	}
	if req.admitOnly || lease.WaitTime(terms, b.now).Seconds() > req.ceilingWaitLimit() {
		return quotaExceeded
	}
	return quotaPending
}

// ceilingWaitLimit is the time in seconds for which a request may wait for the ceiling.
func (req *request) ceilingWaitLimit() float64 {
	return req.timeLimit.Seconds() * maxCeilingWaitFraction
}

// ceilingLeaseWait is the time in seconds until a request that joins its customer's line may have leased units.
func (b *Balancer) ceilingLeaseWait(req *request, plan *Plan, leased *leasedCeiling) float64 {
	cust := req.customer
	wait := leased.lease.WaitTime(leased.terms, b.now)
	if wait == 0 || b.quotaMayCover(req, plan) {
		return 0
	}
	for _, ahead := range cust.waiting.requests {
		if !ahead.ended {
			wait += time.Duration(ahead.units / leased.terms.Rate * float64(time.Second))
		}
	}
	return wait.Seconds()
}

// drawLeasedUnits sees to it that a request with leased units goes out on units of the present window. It reports
// whether there are any: those that the request holds, those of the present lease, or, where its ceiling is leased no
// more, those of this gateway's share.
func (b *Balancer) drawLeasedUnits(req *request, plan *Plan) bool {
	if !req.ceiling.holdsUnits(b.now) {
		present := b.presentLease(req)
		switch {
		case present == nil:
			return b.drawEvenShare(req, plan)
		case present.capacity(b.now, req) < req.units:
			return false
		}
		present.spend(b.now, req)
	}
	b.drawBeyondShare(req, plan)
	return true
}

// callCeilingLease calls the counter for units of a customer's ceiling beyond the quota, in the present window.
// Gateways that go by other terms use another name and share nothing.
func (b *Balancer) callCeilingLease(cust *customer, leased *leasedCeiling, block float64) {
	window := leased.terms.WindowIndex(b.now)
	name := counterName(fmt.Sprint(cust.name, " beyond ", leased.terms.Window), window)
	call := &counterCall{
		kind:     ceilingLeaseCall,
		customer: cust,
		lease:    leased,
		block:    block,
		window:   window,
		sentAt:   b.now,
	}
	b.counter.add(name, call)
	b.emit(CounterAdd{name, block, leased.terms.CounterTTL(), 0})
}

// handleCeilingLeaseResult takes the end of such a call.
func (b *Balancer) handleCeilingLeaseResult(call *counterCall, ev CounterResult) {
	leased := call.lease
	if ev.Status != OK {
		leased.lease.RecordFailure(b.now, counterProbePause)
		return
	}
	leased.lease.Grant(leased.terms, b.now, call.window, call.block, ev.Total)
}
