package balancer

import (
	"fmt"
	"time"

	"gapgap/internal/balancer/ceilinglease"
)

// With Settings.LeaseCeilings, a customer's ceiling is given to the gateways at which it has demand. Requests that the
// quota's bucket on the counter has paid for may be sent by any gateway. Units beyond the quota are leased from the
// counter in windows, as computed by package ceilinglease.

// leasedCeiling is what this gateway has leased of a customer's ceiling on one set of terms. When the terms change, a
// new one is created. Calls and requests keep a reference to the one they belong to, so that results and returned units
// are settled on the terms under which they were requested.
type leasedCeiling struct {
	terms ceilinglease.Terms
	lease ceilinglease.Lease
}

// capacity returns how many units a request may use now.
func (leased *leasedCeiling) capacity(now time.Duration, req *request) float64 {
	return leased.lease.Available(leased.terms, now, req.leaseUse(), req.customer.demand.admitOnlyFraction())
}

// spend takes units for a request. They are valid for that request until the end of their window.
func (leased *leasedCeiling) spend(now time.Duration, req *request) {
	req.ceiling.lease = leased
	req.ceiling.leaseWindow = leased.lease.Spend(leased.terms, now, req.units, req.leaseUse())
}

// takeBack returns the units of a request that was not dispatched.
func (leased *leasedCeiling) takeBack(now time.Duration, req *request) {
	leased.lease.Return(leased.terms, now, req.ceiling.leaseWindow, req.units, req.leaseUse())
}

// holdsUnits reports whether a request's leased units belong to the current window. They must not be used in any other.
func (reservation *ceilingReservation) holdsUnits(now time.Duration) bool {
	return reservation.lease.terms.WindowIndex(now) == reservation.leaseWindow
}

// leasableCeiling returns the lease that currently provides a request's ceiling units, or nil if the ceiling is not
// leased and this gateway uses its share. Nothing is leased while the counter does not respond. All gateways then use
// their shares, from which everything sent in the meantime has been drawn, so together they hold no more than the
// ceiling's bucket does.
func (b *Balancer) leasableCeiling(req *request) *leasedCeiling {
	if req.customer.gateways <= 1 || b.now < b.counter.leasingFrom {
		return nil
	}
	return b.currentLease(req)
}

// currentLease returns the lease on the current terms of a request's plan, or nil if its ceiling is not leased. A
// request whose customer has since moved to another plan leases nothing more.
func (b *Balancer) currentLease(req *request) *leasedCeiling {
	terms, ceiling := b.leaseTerms[req.plan], &req.customer.ceiling
	if terms.Rate <= 0 || req.plan != req.customer.plan {
		return nil
	}
	if ceiling.lease == nil || ceiling.lease.terms != terms {
		ceiling.lease = &leasedCeiling{terms: terms}
	}
	return ceiling.lease
}

// leaseUse returns how a request uses leased units: admission-only requests are never queued.
func (req *request) leaseUse() ceilinglease.Use {
	if req.admitOnly {
		return ceilinglease.ImmediateUse
	}
	return ceilinglease.QueuedUse
}

// leaseCeiling decides whether the units leased beyond the quota cover a request, and leases more if needed. A plan
// that gains nothing from requests beyond its quota leases none.
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

// ceilingWaitLimit returns how many seconds a request may wait for the ceiling.
func (req *request) ceilingWaitLimit() float64 {
	return req.usefulFor.Seconds() * maxCeilingWaitFraction
}

// ceilingLeaseWait returns the time in seconds until a request that joins its customer's queue may have leased units.
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

// drawLeasedUnits makes sure that a request with leased units is sent on units of the current window. These are the
// units that the request holds, those of the current lease or, if its ceiling is no longer leased, those of this
// gateway's share. It reports whether there were enough.
func (b *Balancer) drawLeasedUnits(req *request, plan *Plan) bool {
	if !req.ceiling.holdsUnits(b.now) {
		current := b.currentLease(req)
		switch {
		case current == nil:
			return b.drawOwnShare(req, plan)
		case current.capacity(b.now, req) < req.units:
			return false
		}
		current.spend(b.now, req)
	}
	b.drawBeyondShare(req, plan)
	return true
}

// callCeilingLease requests units of a customer's ceiling beyond the quota from the counter, in the current window.
// Gateways with different terms use different names and share nothing.
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

// handleCeilingLeaseResult processes the result of a ceilingLeaseCall.
func (b *Balancer) handleCeilingLeaseResult(call *counterCall, ev CounterResult) {
	leased := call.lease
	if ev.Status != OK {
		leased.lease.RecordFailure(b.now, counterProbePause)
		return
	}
	leased.lease.Grant(leased.terms, b.now, call.window, call.block, ev.Total)
}
