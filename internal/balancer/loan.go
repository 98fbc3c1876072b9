package balancer

import (
	"math"
	"time"

	"gapgap/internal/balancer/quotashare"
)

// Loans of a ceiling between gateways, with Settings.LeasedShares.
const (
	// loanRequestInterval is the least time between two requests for loans of one customer.
	loanRequestInterval = 300 * time.Millisecond
	// maxLoanRequests is the number of customers for which loans are asked for in that time.
	maxLoanRequests = 64
	// loanRenewalFraction is the part of its own rate by which a customer with loans must have demand to renew them.
	loanRenewalFraction = 0.8
	// lenderDemandDecay is the time without requests in which a lender's own demand falls to 1/e.
	lenderDemandDecay = 500 * time.Millisecond
	// lenderReserveTime is the time since the last request in which a lender keeps a part for itself.
	lenderReserveTime = 10 * time.Second
	// lenderReserveFraction is that part.
	lenderReserveFraction = 0.2
)

// requestLoan asks the peers for a loan where this gateway's share of a customer's ceiling is short, or would be
// without the loans that it has.
func (b *Balancer) requestLoan(cust *customer, plan *Plan, short bool) {
	if !b.canBorrow(cust, plan) || b.now < cust.ceiling.nextLoanRequestAt || !short && !b.needsLoans(cust, plan) {
		return
	}
	if b.share.countLoanRequest(b.now) {
		cust.ceiling.nextLoanRequestAt = b.now + loanRequestInterval
		b.emit(RequestLoan{cust.name, cust.plan, b.now})
	}
}

// canBorrow reports whether peers may grant loans of a customer's ceiling to this gateway.
func (b *Balancer) canBorrow(cust *customer, plan *Plan) bool {
	return b.settings.LeasedShares && !b.share.excluded && b.settings.Gateways >= 2 &&
		cust.gateways >= float64(b.settings.Gateways) &&
		!b.hasSparseShares(cust, plan)
}

// needsLoans reports whether a customer has loans here and goes on needing them.
func (b *Balancer) needsLoans(cust *customer, plan *Plan) bool {
	if !cust.ceiling.loans.HasAny() || cust.ceiling.loans.Borrowed(b.now).Rate <= 0 {
		return false
	}
	own := b.ownCeilingShare(cust, plan, b.share.lease.Fraction(b.now))
	return cust.demand.rate > loanRenewalFraction*own.Rate
}

// handleLoanRequest grants a peer what this gateway does not need of a customer's ceiling.
func (b *Balancer) handleLoanRequest(ev LoanRequest) {
	cust := b.loanCustomer(ev)
	if cust == nil {
		return
	}
	plan := &b.settings.Plans[cust.plan]
	if cust.plan != ev.Plan || cust.gateways < float64(b.settings.Gateways) || b.hasSparseShares(cust, plan) {
		return
	}
	b.refillCeiling(cust, plan)
	cust.lastUsedAt = b.now // a customer with loans is not forgotten
	fraction, until := b.share.lease.Fraction(b.now), b.share.lease.Until()
	if until < b.now+quotashare.LenderLoanDuration {
		// The lease ends before the loan would: only what this gateway keeps without one is granted.
		fraction = 0
		until = b.now + quotashare.LenderLoanDuration
	}
	own := b.ownCeilingShare(cust, plan, fraction)
	loan, ok := cust.ceiling.loans.Lend(b.now, ev.From, own, until, b.lenderDemand(cust, own))
	if !ok {
		return
	}
	b.share.loansEndAt = max(b.share.loansEndAt, loan.Until)
	b.refillCeiling(cust, plan) // what is over the smaller bucket is gone
	b.emit(GrantLoan{ev.From, ev.Customer, ev.Plan, ev.At, loan.Bucket.Rate, loan.Bucket.Depth})
}

// loanCustomer returns the customer of a request for a loan, which it adds when it is new; nil: no loan is granted.
func (b *Balancer) loanCustomer(ev LoanRequest) *customer {
	if !b.settings.LeasedShares || b.share.excluded || b.handedOver || ev.Plan < 0 ||
		ev.Plan >= len(b.settings.Plans) || b.settings.Plans[ev.Plan].CeilingRate == 0 {
		return nil
	}
	if cust := b.customers.find(ev.Customer); cust != nil {
		return cust
	}
	if b.customers.isFull() {
		return nil
	}
	return b.customerFor(Request{Customer: ev.Customer, Plan: ev.Plan})
}

// lenderDemand is what this gateway itself needs of its share, units a second. A demand that has ended lately may come
// again and is not to find all of the share granted.
func (b *Balancer) lenderDemand(cust *customer, own quotashare.Bucket) float64 {
	gap := b.now - cust.demand.updatedAt
	demand := cust.demand.rate * math.Exp(-gap.Seconds()/lenderDemandDecay.Seconds())
	if cust.demand.rate > 0 && gap < lenderReserveTime {
		demand = max(demand, lenderReserveFraction*own.Rate)
	}
	return demand
}

// handleLoanGranted takes a loan that a peer has granted.
func (b *Balancer) handleLoanGranted(ev LoanGranted) {
	cust := b.customers.find(ev.Customer)
	if cust == nil || cust.plan != ev.Plan || ev.At > b.now {
		return
	}
	b.refillCeiling(cust, &b.settings.Plans[cust.plan])
	bucket := quotashare.Bucket{Rate: ev.Rate, Depth: ev.Depth}
	cust.ceiling.loans.Borrow(b.now, ev.From, bucket, ev.At+quotashare.LoanDuration)
	b.serveWaiting(cust)
}

// expireLoans ends the loans of a customer that are over at a time. Each fills the share until its end and not longer;
// one that ended while the share was not filled, as in a hand-over, fills nothing more.
func (b *Balancer) expireLoans(cust *customer, plan *Plan, now time.Duration) {
	loans := &cust.ceiling.loans
	if !loans.HasAny() {
		return
	}
	for at := loans.FirstExpiry(now); at > 0; at = loans.FirstExpiry(now) {
		b.fillCeilingShare(cust, plan, max(cust.ceiling.filledAt, at-1))
		loans.DropExpired(at)
	}
	loans.DropExpired(now)
}

// LoansEndAt is when the last loan is over that this gateway has granted. Whoever takes a part of the share away from
// the gateway must give it to no other before.
func (b *Balancer) LoansEndAt() time.Duration { return b.share.loansEndAt }
