package balancer

import (
	"fmt"
	"time"

	"gapgap/internal/balancer/ceilinglease"
)

// With Settings.LeaseCeilings a customer's ceiling goes to the gateways where its demand is. What the quota's bucket
// on the counter has paid for may go out at any gateway; what is beyond the quota is leased from the counter in
// windows by the arithmetic of package ceilinglease.

// ceilingLeaseTerms are the terms on which a request's ceiling is leased now; nil: it is not, and this gateway goes by
// its share. While the counter does not answer nothing is leased. All gateways then go by their shares, from which
// what went out meanwhile was drawn, so together they hold no more than the ceiling's bucket does.
func (b *Balancer) ceilingLeaseTerms(req *request) *ceilinglease.Terms {
	terms := &b.leaseTerms[req.plan]
	if terms.Rate > 0 && req.customer.gateways > 1 && b.now >= b.counter.leasingFrom {
		return terms
	}
	return nil
}

// leaseUse is how a request uses leased units: one that asks for admission only is never queued.
func (req *request) leaseUse() ceilinglease.Use {
	if req.admitOnly {
		return ceilinglease.ImmediateUse
	}
	return ceilinglease.QueuedUse
}

// leasedCeilingCapacity is how many leased units a request may use now.
func (b *Balancer) leasedCeilingCapacity(req *request, terms *ceilinglease.Terms) float64 {
	admitOnlyFraction := req.customer.demand.admitOnlyFraction()
	return req.customer.ceiling.lease.Available(*terms, b.now, req.leaseUse(), admitOnlyFraction)
}

// leaseCeiling decides whether the units leased beyond the quota cover a request, and leases more. A plan that gains
// nothing by requests beyond its quota leases none.
func (b *Balancer) leaseCeiling(check *quotaCheck) quotaDecision {
	req, plan, terms := check.request, check.plan, check.leaseTerms
	lease := &req.customer.ceiling.lease
	switch {
	case plan.Rate > 0 && !plan.isSoft():
		return quotaExceeded
	case b.leasedCeilingCapacity(req, terms) >= req.units:
		return quotaCovered
	case check.nearlyLate:
		return quotaExceeded
	case lease.IsRequestPending():
		return quotaPending
	case req.admitOnly && req.ceiling.leaseRequested:
		return quotaExceeded
	}
	if b.canCallCounter() {
		if block := lease.RequestSize(*terms, b.now, req.units, req.customer.demand.rate); block > 0 {
			b.callCeilingLease(req.customer, *terms, block)
			req.ceiling.leaseRequested = true
			return quotaPending
		}
	}
	if req.admitOnly || lease.WaitTime(*terms, b.now).Seconds() > req.ceilingWaitLimit() {
		return quotaExceeded
	}
	return quotaPending
}

// ceilingWaitLimit is the time in seconds for which a request may wait for the ceiling.
func (req *request) ceilingWaitLimit() float64 {
	return req.timeLimit.Seconds() * maxCeilingWaitFraction
}

// ceilingLeaseWait is the time in seconds until a request that joins its customer's line may have leased units.
func (b *Balancer) ceilingLeaseWait(req *request, plan *Plan, terms *ceilinglease.Terms) float64 {
	cust := req.customer
	wait := cust.ceiling.lease.WaitTime(*terms, b.now)
	if wait == 0 || b.quotaMayCover(req, plan) {
		return 0
	}
	for _, ahead := range cust.waiting.requests {
		if !ahead.ended {
			wait += time.Duration(ahead.units / terms.Rate * float64(time.Second))
		}
	}
	return wait.Seconds()
}

// renewLeasedUnits sees to it that a request's leased units are those of the present window, outside of which they
// may not go out. It reports whether there are any.
func (b *Balancer) renewLeasedUnits(req *request) bool {
	terms := &b.leaseTerms[req.plan]
	if terms.WindowIndex(b.now) == req.ceiling.leaseWindow {
		return true
	}
	if b.leasedCeilingCapacity(req, terms) < req.units {
		return false
	}
	req.ceiling.leaseWindow = req.customer.ceiling.lease.Spend(*terms, b.now, req.units, req.leaseUse())
	return true
}

// callCeilingLease calls the counter for units of a customer's ceiling beyond the quota, in the present window.
// Gateways that go by other terms use another name and share nothing.
func (b *Balancer) callCeilingLease(cust *customer, terms ceilinglease.Terms, block float64) {
	window := terms.WindowIndex(b.now)
	name := counterName(fmt.Sprint(cust.name, " beyond ", terms.Window), window)
	call := &counterCall{kind: ceilingLeaseCall, customer: cust, block: block, window: window, sentAt: b.now}
	b.counter.add(name, call)
	b.emit(CounterAdd{name, block, terms.CounterTTL(), 0})
}

// handleCeilingLeaseResult takes the end of such a call.
func (b *Balancer) handleCeilingLeaseResult(call *counterCall, ev CounterResult) {
	lease := &call.customer.ceiling.lease
	if ev.Status != OK {
		lease.RecordFailure(b.now, counterProbePause)
		return
	}
	lease.Grant(b.leaseTerms[call.customer.plan], b.now, call.window, call.block, ev.Total)
}
