package balancer

// How many doors there are, and what part of what they share is this door's, while it runs (Settings.ByViews). The arithmetic and
// the argument are package share's. Without views each door has its even part for good.

import (
	"math"
	"slices"
	"time"

	"gapgap/internal/balancer/quotashare"
)

// ShareUpdate says how this door stands among the others, from now on.
type ShareUpdate struct {
	Fraction     float64       // of what is leased of all ceilings, from 0 to 1; of all doors together 1 at most at each instant
	Until        time.Duration // the part is nothing from then on
	Excluded     bool          // this door has nothing at all, not even what its plans keep without a lease
	DeadGateways []int         // ranks of the doors that do not serve: the others use the backends that these used
}

func (ShareUpdate) event() {}

// minCeilingRate keeps times from being endless where a door has no part, units a second.
const minCeilingRate = 1e-4

// handleShareUpdate takes news of the doors.
func (b *Balancer) handleShareUpdate(ev ShareUpdate) {
	b.expireShareLease()
	b.refillAllShares()
	longest := time.Duration(0)
	for i := range b.settings.Classes {
		longest = max(longest, b.settings.Classes[i].ClientTimeout+b.settings.DeadlineSlack)
	}
	if ev.Excluded {
		ev.Fraction = 0
	}
	b.shareLease.Take(b.now, ev.Fraction, ev.Until, longest)
	if b.excluded != ev.Excluded {
		b.excluded, b.excludedChangedAt = ev.Excluded, b.now
	}
	if !slices.Equal(ev.DeadGateways, b.deadGateways) {
		b.deadGateways = slices.Clone(ev.DeadGateways)
		b.updateSubset()
		b.callPacer.Floor(b.now, callsLow/b.liveGateways())
	}
}

// liveGateways is how many doors serve as far as this one knows. What they share without a bound that must hold goes by it: the least pace of calls
// to the counter and of its tests, the first places at a server, the pace of trials. What a cold server bears goes by what warm ones are
// seen to carry from this door, so by itself.
func (b *Balancer) liveGateways() float64 {
	return float64(max(1, b.settings.Gateways-len(b.deadGateways)))
}

// refillFallback fills what this door holds of a customer's quota for when the counter does not say: its even part, for good, or what is leased
// where the plan yields.
func (b *Balancer) refillFallback(cust *customer, plan *Plan) {
	part := 1 / cust.gateways
	if b.settings.LeasedShares && plan.PartitionPolicy == quotashare.KeepNone && plan.CeilingRate > 0 {
		if part = quotashare.Among(b.shareLease.Part(b.now), cust.gateways, float64(b.settings.Gateways)); b.excluded {
			part = 0
		}
		cust.fallbackTokens = min(cust.fallbackTokens, plan.Burst*part)
	}
	fill := plan.Rate * part * (1 - b.callFraction) * b.refillSeconds(cust.fallbackAt)
	cust.fallbackTokens, cust.fallbackAt = min(max(cust.fallbackTokens, plan.Burst*part), cust.fallbackTokens+fill), b.now
}

// expireShareLease ends a lease that is over: until its end the shares have filled, and not longer.
func (b *Balancer) expireShareLease() {
	if !b.shareLease.Ended(b.now) {
		return
	}
	now := b.now
	b.now = b.shareLease.Until() - 1
	b.refillAllShares()
	b.now = now
	b.shareLease.Take(now, 0, now, 0)
	b.refillAllShares()
}

// refillAllShares fills all shares, and what is held for the counter's silence, up to now, by the parts as they are.
func (b *Balancer) refillAllShares() {
	for _, cust := range b.customerOrder {
		if cust.plan < len(b.settings.Plans) && cust.ceilingAt < b.now {
			b.refillCeiling(cust, &b.settings.Plans[cust.plan])
			b.refillFallback(cust, &b.settings.Plans[cust.plan])
		}
	}
}

// ceilingShare is this door's part of a customer's ceiling.
func (b *Balancer) ceilingShare(cust *customer, plan *Plan) quotashare.Store {
	if !b.settings.LeasedShares {
		return quotashare.Store{Rate: plan.CeilingRate / cust.gateways, Depth: plan.CeilingBurst / cust.gateways}
	}
	if b.excluded {
		return quotashare.Store{}
	}
	own := b.ownCeilingShare(cust, plan, b.shareLease.Part(b.now))
	if cust.loans.Some() {
		own = own.Less(cust.loans.Out(b.now, -1)).Plus(cust.loans.In(b.now))
	}
	return own
}

// ownCeilingShare is what is this door's own with a leased part, whatever is lent.
func (b *Balancer) ownCeilingShare(cust *customer, plan *Plan, part float64) quotashare.Store {
	return plan.PartitionPolicy.Of(quotashare.Store{Rate: plan.CeilingRate, Depth: plan.CeilingBurst}, quotashare.Store{Rate: plan.Rate, Depth: plan.Burst}, 1/cust.gateways,
		quotashare.Among(part, cust.gateways, float64(b.settings.Gateways)))
}

// RequestLoan asks the other doors to lend what they don't need of a customer's ceiling: each is to have a Wanted.
type RequestLoan struct {
	Customer string
	Plan     int
	At       time.Duration // on this door's clock: a loan counts from then
}

// LoanRequest says that another door asks for that.
type LoanRequest struct {
	From     int // its rank
	Customer string
	Plan     int
	At       time.Duration // on its clock
}

// GrantLoan answers a Wanted: the door that asked is to have a Loaned. Nothing answers where there is nothing to lend.
type GrantLoan struct {
	To          int
	Customer    string
	Plan        int
	At          time.Duration // of the Wanted
	Rate, Depth float64
}

// LoanGranted says that another door has lent a part of a customer's ceiling.
type LoanGranted struct {
	From        int
	Customer    string
	Plan        int
	At          time.Duration // of the Borrow
	Rate, Depth float64
}

func (RequestLoan) action() {}
func (LoanRequest) event()  {}
func (GrantLoan) action()   {}
func (LoanGranted) event()  {}

// Tuned values, ours.
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
	if !b.settings.LeasedShares || b.excluded || b.settings.Gateways < 2 || cust.gateways < float64(b.settings.Gateways) || b.now < cust.nextLoanRequestAt || b.hasSparseShares(cust, plan) {
		return
	}
	if !short && !(cust.loans.Some() && cust.loans.In(b.now).Rate > 0 && cust.demand > borrowFrom*b.ownCeilingShare(cust, plan, b.shareLease.Part(b.now)).Rate) {
		return
	}
	if b.now >= b.loanRequestsSince+borrowEvery {
		b.loanRequestsSince, b.loanRequests = b.now, 0
	}
	if b.loanRequests++; b.loanRequests <= borrowMost {
		cust.nextLoanRequestAt = b.now + borrowEvery
		b.emit(RequestLoan{cust.name, cust.plan, b.now})
	}
}

// handleLoanRequest lends what this door does not need of a customer's ceiling.
func (b *Balancer) handleLoanRequest(ev LoanRequest) {
	if !b.settings.LeasedShares || b.excluded || b.handedOver || ev.Plan < 0 || ev.Plan >= len(b.settings.Plans) || b.settings.Plans[ev.Plan].CeilingRate == 0 {
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
	part, until := b.shareLease.Part(b.now), b.shareLease.Until()
	if until < b.now+quotashare.LoanHold {
		part, until = 0, b.now+quotashare.LoanHold // only what this door keeps for good
	}
	own, gap := b.ownCeilingShare(cust, plan, part), b.now-cust.demandAt
	demand := cust.demand * math.Exp(-gap.Seconds()/lendGap.Seconds())
	if cust.demand > 0 && gap < lendCalm { // it may come again, and is not to find all lent
		demand = max(demand, lendKeeps*own.Rate)
	}
	s, end, ok := cust.loans.Lend(b.now, ev.From, own, until, demand)
	if !ok {
		return
	}
	b.loansEndAt = max(b.loansEndAt, end)
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
	cust.loans.Borrow(b.now, ev.From, quotashare.Store{Rate: ev.Rate, Depth: ev.Depth}, ev.At+quotashare.LoanLength)
	b.serveWaiting(cust)
}

// expireLoans ends the loans of a customer that are over: until its end each has filled the share, and not longer.
func (b *Balancer) expireLoans(cust *customer, plan *Plan) {
	if !cust.loans.Some() {
		return
	}
	now := b.now
	for at := cust.loans.Due(now); at > 0; at = cust.loans.Due(now) {
		b.now = max(cust.ceilingAt, at-1)
		b.refillCeiling(cust, plan)
		cust.loans.Drop(at)
	}
	b.now = now
	cust.loans.Drop(now)
}

// LoansEndAt is when the last loan is over that this door has given. Whoever takes a part away from it gives that to no other before.
func (b *Balancer) LoansEndAt() time.Duration { return b.loansEndAt }

// inFlightShare is this door's part of a cap on what is open at once.
func (b *Balancer) inFlightShare(cust *customer, plan *Plan) float64 {
	if b.settings.LeasedShares && b.excluded {
		return 0
	}
	if !b.settings.LeasedShares || plan.PartitionPolicy != quotashare.KeepNone {
		return float64(plan.MaxInFlight) / cust.gateways
	}
	return float64(plan.MaxInFlight) * quotashare.Among(b.shareLease.Open(b.now), cust.gateways, float64(b.settings.Gateways))
}

// storeFilledSince is since when a store that is met for the first time has filled.
func (b *Balancer) storeFilledSince() time.Duration {
	return max(b.startedAt, b.excludedChangedAt, b.shareLease.GrewAt())
}
