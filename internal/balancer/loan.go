package balancer

import (
	"math"
	"time"

	"gapgap/internal/balancer/quotashare"
)

// Parameters for loans of a ceiling between gateways, used with Settings.LeasedShares.
const (
	// loanRequestInterval is the minimum time between two loan requests for the same customer.
	loanRequestInterval = 300 * time.Millisecond
	// maxLoanRequests is the maximum number of loan requests of a gateway in that time.
	maxLoanRequests = 64
	// loanRenewalFraction is the minimum demand of a customer, as a fraction of the gateway's own rate without loans,
	// at which its loans are renewed.
	loanRenewalFraction = 0.8
	// lenderDemandDecay is the time without requests in which a lender's own demand decays to 1/e.
	lenderDemandDecay = 500 * time.Millisecond
	// lenderReserveTime is how long after the last request a lender keeps a reserve for itself.
	lenderReserveTime = 10 * time.Second
	// lenderReserveFraction is that reserve as a fraction of its own rate.
	lenderReserveFraction = 0.2
)

// requestLoan requests a loan from the peers if this gateway's share of a customer's ceiling is short, or would be
// without its current loans.
func (b *Balancer) requestLoan(cust *customer, plan *Plan, shareShort bool) {
	if !b.canBorrow(cust, plan) || b.now < cust.ceiling.nextLoanRequestAt || !shareShort && !b.needsLoans(cust, plan) {
		return
	}
	if b.share.countLoanRequest(b.now) {
		cust.ceiling.nextLoanRequestAt = b.now + loanRequestInterval
		b.emit(RequestLoan{cust.name, cust.plan, b.now})
	}
}

// canBorrow reports whether peers may lend parts of a customer's ceiling to this gateway.
func (b *Balancer) canBorrow(cust *customer, plan *Plan) bool {
	return b.settings.LeasedShares && !b.share.excluded && b.settings.Gateways >= 2 &&
		cust.gateways >= float64(b.settings.Gateways) &&
		!b.hasSparseShares(cust, plan)
}

// needsLoans reports whether a customer has loans here and still needs them.
func (b *Balancer) needsLoans(cust *customer, plan *Plan) bool {
	if !cust.ceiling.loans.HasAny() || cust.ceiling.loans.Borrowed(b.now).Rate <= 0 {
		return false
	}
	own := b.ownCeilingShare(cust, plan, b.share.lease.Fraction(b.now))
	return cust.demand.rate > loanRenewalFraction*own.Rate
}

// handleLoanRequest lends a peer the part of a customer's ceiling that this gateway does not need.
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
	cust.lastUsedAt = b.now // a customer with loans is not removed
	fraction, until := b.share.lease.Fraction(b.now), b.share.lease.Until()
	if until < b.now+quotashare.LenderLoanDuration {
		// The lease ends before the loan would, so only units that this gateway keeps without a lease are lent.
		fraction = 0
		until = b.now + quotashare.LenderLoanDuration
	}
	own := b.ownCeilingShare(cust, plan, fraction)
	loan, ok := cust.ceiling.loans.Lend(b.now, ev.From, own, until, b.lenderDemand(cust, own))
	if !ok {
		return
	}
	b.share.loansEndAt = max(b.share.loansEndAt, loan.Until)
	b.refillCeiling(cust, plan) // drops what exceeds the smaller bucket
	b.emit(GrantLoan{ev.From, ev.Customer, ev.Plan, ev.At, loan.Bucket.Rate, loan.Bucket.Depth})
}

// loanCustomer returns the customer of a loan request and adds it if it is new. It returns nil if no loan is granted.
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

// lenderDemand returns how much of its share this gateway needs itself, in units per second. Demand that ended recently
// may return, and must not find the whole share lent out.
func (b *Balancer) lenderDemand(cust *customer, own quotashare.Bucket) float64 {
	gap := b.now - cust.demand.updatedAt
	demand := cust.demand.rate * math.Exp(-gap.Seconds()/lenderDemandDecay.Seconds())
	if cust.demand.rate > 0 && gap < lenderReserveTime {
		demand = max(demand, lenderReserveFraction*own.Rate)
	}
	return demand
}

// handleLoanGranted adds a loan that a peer has granted.
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

// expireLoans removes a customer's loans that have ended by a given time. Each loan fills the share until its end and
// no longer. A loan that ended while the share was not being filled, such as during a handover, adds nothing more.
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

// LoansEndAt returns when the last loan granted by this gateway ends. If a part of this gateway's share is withdrawn,
// that part must not be given to another gateway before then.
func (b *Balancer) LoansEndAt() time.Duration { return b.share.loansEndAt }
