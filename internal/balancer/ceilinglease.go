package balancer

import (
	"fmt"

	"gapgap/internal/balancer/ceilinglease"
)

// ceilingLeaseTerms is on what terms a request's ceiling is lent now; nil: it is not, and this door goes by its even
// share. A counter that does not answer lends nothing: then all doors go by their shares, from which what
// they sent on meanwhile was taken (see draw), so together they hold no more than the ceiling's store does.
func (b *Balancer) ceilingLeaseTerms(req *request) *ceilinglease.Terms {
	if t := &b.leaseTerms[req.plan]; t.Rate > 0 && req.customer.gateways > 1 && b.now >= b.counter.leasingFrom {
		return t
	}
	return nil
}

// leaseCeiling says whether what was leased beyond the quota has a request's units, and asks for more.
func (b *Balancer) leaseCeiling(req *request, t *ceilinglease.Terms, late bool) quotaDecision {
	cust := req.customer
	plan := &b.settings.Plans[req.plan]
	switch {
	case plan.Rate > 0 && plan.OverQuotaWeight <= plan.OverQuotaCost:
		return quotaExceeded
	case cust.ceiling.lease.Has(*t, b.now, !req.admitOnly, cust.admitOnlyFraction()) >= req.units:
		return quotaCovered
	case late:
		return quotaExceeded
	case cust.ceiling.lease.Asking():
		return quotaPending
	case req.admitOnly && req.leaseRequested:
		return quotaExceeded
	}
	if b.canCallCounter() {
		if block := cust.ceiling.lease.Ask(*t, b.now, req.units, cust.demand.rate); block > 0 {
			b.callCeilingLease(cust, *t, block)
			req.leaseRequested = true
			return quotaPending
		}
	}
	if req.admitOnly || cust.ceiling.lease.Opens(*t, b.now).Seconds() > req.timeLimit.Seconds()*maxCeilingWaitFraction {
		return quotaExceeded
	}
	return quotaPending
}

// callCeilingLease asks the counter for units of a customer's ceiling beyond the quota, in the window of now.
func (b *Balancer) callCeilingLease(cust *customer, t ceilinglease.Terms, block float64) {
	window := t.Index(b.now)
	name := counterName(fmt.Sprint(cust.name, " beyond ", t.Window), window) // doors with other terms share nothing
	b.counter.callsOut[name] = append(
		b.counter.callsOut[name],
		&counterCall{customer: cust, block: block, window: window, sentAt: b.now, kind: forLease},
	)
	b.emit(CounterAdd{name, block, t.Keep(), 0})
}
