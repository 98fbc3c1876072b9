package balancer

import (
	"math"
	"time"

	"gapgap/internal/balancer/quotashare"
)

const (
	borrowEvery = 300 * time.Millisecond // for one customer
	lendGap     = 500 * time.Millisecond // without requests in which what a lender needs for itself falls to a third ...
	lendCalm    = 10 * time.Second       // ... and until then it is no less than ...
	lendKeeps   = 0.2                    // ... this of its part
	borrowMost  = 64                     // customers for which loans are asked for in that time
	borrowFrom  = 0.8                    // of its own rate: a customer that has loans and this demand has them renewed
)

// requestLoan asks for loans where this door's share of a customer's ceiling is short, or was until others lent.
func (b *Balancer) requestLoan(cust *customer, plan *Plan, short bool) {
	if !b.settings.LeasedShares || b.share.excluded || b.settings.Gateways < 2 ||
		cust.gateways < float64(b.settings.Gateways) ||
		b.now < cust.ceiling.nextLoanRequestAt ||
		b.hasSparseShares(cust, plan) {
		return
	}
	if !short &&
		!(cust.ceiling.loans.Some() && cust.ceiling.loans.In(b.now).Rate > 0 && cust.demand.rate > borrowFrom*b.ownCeilingShare(cust,
			plan, b.share.lease.Part(b.now)).Rate) {
		return
	}
	if b.now >= b.share.loanRequestsSince+borrowEvery {
		b.share.loanRequestsSince, b.share.loanRequests = b.now, 0
	}
	if b.share.loanRequests++; b.share.loanRequests <= borrowMost {
		cust.ceiling.nextLoanRequestAt = b.now + borrowEvery
		b.emit(RequestLoan{cust.name, cust.plan, b.now})
	}
}

// handleLoanRequest lends what this door does not need of a customer's ceiling.
func (b *Balancer) handleLoanRequest(ev LoanRequest) {
	if !b.settings.LeasedShares || b.share.excluded || b.handedOver || ev.Plan < 0 || ev.Plan >= len(b.settings.Plans) ||
		b.settings.Plans[ev.Plan].CeilingRate == 0 {
		return
	}
	cust := b.customers[ev.Customer]
	if cust == nil {
		if len(b.customers) >= maxCustomers {
			return
		}
		cust = b.customerFor(Request{Customer: ev.Customer, Plan: ev.Plan})
	}
	plan := &b.settings.Plans[cust.plan]
	if cust.plan != ev.Plan || cust.gateways < float64(b.settings.Gateways) || b.hasSparseShares(cust, plan) {
		return
	}
	b.refillCeiling(cust, plan)
	cust.lastUsedAt = b.now // its loan is kept in mind
	part, until := b.share.lease.Part(b.now), b.share.lease.Until()
	if until < b.now+quotashare.LoanHold {
		part, until = 0, b.now+quotashare.LoanHold // only what this door keeps for good
	}
	own, gap := b.ownCeilingShare(cust, plan, part), b.now-cust.demand.updatedAt
	demand := cust.demand.rate * math.Exp(-gap.Seconds()/lendGap.Seconds())
	if cust.demand.rate > 0 && gap < lendCalm { // it may come again, and is not to find all lent
		demand = max(demand, lendKeeps*own.Rate)
	}
	s, end, ok := cust.ceiling.loans.Lend(b.now, ev.From, own, until, demand)
	if !ok {
		return
	}
	b.share.loansEndAt = max(b.share.loansEndAt, end)
	b.refillCeiling(cust, plan) // what lies over the smaller store is gone
	b.emit(GrantLoan{ev.From, ev.Customer, ev.Plan, ev.At, s.Rate, s.Depth})
}

// handleLoanGranted takes a loan.
func (b *Balancer) handleLoanGranted(ev LoanGranted) {
	cust := b.customers[ev.Customer]
	if cust == nil || cust.plan != ev.Plan || ev.At > b.now {
		return
	}
	b.refillCeiling(cust, &b.settings.Plans[cust.plan])
	cust.ceiling.loans.Borrow(b.now, ev.From, quotashare.Store{Rate: ev.Rate, Depth: ev.Depth}, ev.At+quotashare.LoanLength)
	b.serveWaiting(cust)
}

// expireLoans ends the loans of a customer that are over: until its end each has filled the share, and not longer.
func (b *Balancer) expireLoans(cust *customer, plan *Plan) {
	if !cust.ceiling.loans.Some() {
		return
	}
	now := b.now
	for at := cust.ceiling.loans.Due(now); at > 0; at = cust.ceiling.loans.Due(now) {
		b.now = max(cust.ceiling.filledAt, at-1)
		b.refillCeiling(cust, plan)
		cust.ceiling.loans.Drop(at)
	}
	b.now = now
	cust.ceiling.loans.Drop(now)
}

// LoansEndAt is when the last loan is over that this door has given. Whoever takes a part away from it gives that to no
// other before.
func (b *Balancer) LoansEndAt() time.Duration { return b.share.loansEndAt }
