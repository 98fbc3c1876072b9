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
func (d *Balancer) handleShareUpdate(ev ShareUpdate) {
	d.expireShareLease()
	d.refillAllShares()
	longest := time.Duration(0)
	for i := range d.settings.Classes {
		longest = max(longest, d.settings.Classes[i].ClientTimeout+d.settings.DeadlineSlack)
	}
	if ev.Excluded {
		ev.Fraction = 0
	}
	d.shareLease.Take(d.now, ev.Fraction, ev.Until, longest)
	if d.excluded != ev.Excluded {
		d.excluded, d.excludedChangedAt = ev.Excluded, d.now
	}
	if !slices.Equal(ev.DeadGateways, d.deadGateways) {
		d.deadGateways = slices.Clone(ev.DeadGateways)
		d.updateSubset()
		d.callPacer.Floor(d.now, callsLow/d.liveGateways())
	}
}

// liveGateways is how many doors serve as far as this one knows. What they share without a bound that must hold goes by it: the least pace of calls
// to the counter and of its tests, the first places at a server, the pace of trials. What a cold server bears goes by what warm ones are
// seen to carry from this door, so by itself.
func (d *Balancer) liveGateways() float64 {
	return float64(max(1, d.settings.Gateways-len(d.deadGateways)))
}

// refillFallback fills what this door holds of a customer's quota for when the counter does not say: its even part, for good, or what is leased
// where the plan yields.
func (d *Balancer) refillFallback(c *customer, p *Plan) {
	part := 1 / c.gateways
	if d.settings.LeasedShares && p.PartitionPolicy == quotashare.KeepNone && p.CeilingRate > 0 {
		if part = quotashare.Among(d.shareLease.Part(d.now), c.gateways, float64(d.settings.Gateways)); d.excluded {
			part = 0
		}
		c.fallbackTokens = min(c.fallbackTokens, p.Burst*part)
	}
	fill := p.Rate * part * (1 - d.callFraction) * d.refillSeconds(c.fallbackAt)
	c.fallbackTokens, c.fallbackAt = min(max(c.fallbackTokens, p.Burst*part), c.fallbackTokens+fill), d.now
}

// expireShareLease ends a lease that is over: until its end the shares have filled, and not longer.
func (d *Balancer) expireShareLease() {
	if !d.shareLease.Ended(d.now) {
		return
	}
	now := d.now
	d.now = d.shareLease.Until() - 1
	d.refillAllShares()
	d.now = now
	d.shareLease.Take(now, 0, now, 0)
	d.refillAllShares()
}

// refillAllShares fills all shares, and what is held for the counter's silence, up to now, by the parts as they are.
func (d *Balancer) refillAllShares() {
	for _, c := range d.customerOrder {
		if c.plan < len(d.settings.Plans) && c.ceilingAt < d.now {
			d.refillCeiling(c, &d.settings.Plans[c.plan])
			d.refillFallback(c, &d.settings.Plans[c.plan])
		}
	}
}

// ceilingShare is this door's part of a customer's ceiling.
func (d *Balancer) ceilingShare(c *customer, p *Plan) quotashare.Store {
	if !d.settings.LeasedShares {
		return quotashare.Store{Rate: p.CeilingRate / c.gateways, Depth: p.CeilingBurst / c.gateways}
	}
	if d.excluded {
		return quotashare.Store{}
	}
	own := d.ownCeilingShare(c, p, d.shareLease.Part(d.now))
	if c.loans.Some() {
		own = own.Less(c.loans.Out(d.now, -1)).Plus(c.loans.In(d.now))
	}
	return own
}

// ownCeilingShare is what is this door's own with a leased part, whatever is lent.
func (d *Balancer) ownCeilingShare(c *customer, p *Plan, part float64) quotashare.Store {
	return p.PartitionPolicy.Of(quotashare.Store{Rate: p.CeilingRate, Depth: p.CeilingBurst}, quotashare.Store{Rate: p.Rate, Depth: p.Burst}, 1/c.gateways,
		quotashare.Among(part, c.gateways, float64(d.settings.Gateways)))
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
func (d *Balancer) requestLoan(c *customer, p *Plan, short bool) {
	if !d.settings.LeasedShares || d.excluded || d.settings.Gateways < 2 || c.gateways < float64(d.settings.Gateways) || d.now < c.nextLoanRequestAt || d.hasSparseShares(c, p) {
		return
	}
	if !short && !(c.loans.Some() && c.loans.In(d.now).Rate > 0 && c.demand > borrowFrom*d.ownCeilingShare(c, p, d.shareLease.Part(d.now)).Rate) {
		return
	}
	if d.now >= d.loanRequestsSince+borrowEvery {
		d.loanRequestsSince, d.loanRequests = d.now, 0
	}
	if d.loanRequests++; d.loanRequests <= borrowMost {
		c.nextLoanRequestAt = d.now + borrowEvery
		d.emit(RequestLoan{c.name, c.plan, d.now})
	}
}

// handleLoanRequest lends what this door does not need of a customer's ceiling.
func (d *Balancer) handleLoanRequest(ev LoanRequest) {
	if !d.settings.LeasedShares || d.excluded || d.handedOver || ev.Plan < 0 || ev.Plan >= len(d.settings.Plans) || d.settings.Plans[ev.Plan].CeilingRate == 0 {
		return
	}
	c := d.customers[ev.Customer]
	if c == nil {
		if len(d.customers) >= maxCustomers {
			return
		}
		c = d.customerFor(Request{Customer: ev.Customer, Plan: ev.Plan})
	}
	p := &d.settings.Plans[c.plan]
	if c.plan != ev.Plan || c.gateways < float64(d.settings.Gateways) || d.hasSparseShares(c, p) {
		return
	}
	d.refillCeiling(c, p)
	c.lastUsedAt = d.now // its loan is kept in mind
	part, until := d.shareLease.Part(d.now), d.shareLease.Until()
	if until < d.now+quotashare.LoanHold {
		part, until = 0, d.now+quotashare.LoanHold // only what this door keeps for good
	}
	own, gap := d.ownCeilingShare(c, p, part), d.now-c.demandAt
	demand := c.demand * math.Exp(-gap.Seconds()/lendGap.Seconds())
	if c.demand > 0 && gap < lendCalm { // it may come again, and is not to find all lent
		demand = max(demand, lendKeeps*own.Rate)
	}
	s, end, ok := c.loans.Lend(d.now, ev.From, own, until, demand)
	if !ok {
		return
	}
	d.loansEndAt = max(d.loansEndAt, end)
	d.refillCeiling(c, p) // what lies over the smaller store is gone
	d.emit(GrantLoan{ev.From, ev.Customer, ev.Plan, ev.At, s.Rate, s.Depth})
}

// handleLoanGranted takes a loan.
func (d *Balancer) handleLoanGranted(ev LoanGranted) {
	c := d.customers[ev.Customer]
	if c == nil || c.plan != ev.Plan || ev.At > d.now {
		return
	}
	d.refillCeiling(c, &d.settings.Plans[c.plan])
	c.loans.Borrow(d.now, ev.From, quotashare.Store{Rate: ev.Rate, Depth: ev.Depth}, ev.At+quotashare.LoanLength)
	d.serveWaiting(c)
}

// expireLoans ends the loans of a customer that are over: until its end each has filled the share, and not longer.
func (d *Balancer) expireLoans(c *customer, p *Plan) {
	if !c.loans.Some() {
		return
	}
	now := d.now
	for at := c.loans.Due(now); at > 0; at = c.loans.Due(now) {
		d.now = max(c.ceilingAt, at-1)
		d.refillCeiling(c, p)
		c.loans.Drop(at)
	}
	d.now = now
	c.loans.Drop(now)
}

// LoansEndAt is when the last loan is over that this door has given. Whoever takes a part away from it gives that to no other before.
func (d *Balancer) LoansEndAt() time.Duration { return d.loansEndAt }

// inFlightShare is this door's part of a cap on what is open at once.
func (d *Balancer) inFlightShare(c *customer, p *Plan) float64 {
	if d.settings.LeasedShares && d.excluded {
		return 0
	}
	if !d.settings.LeasedShares || p.PartitionPolicy != quotashare.KeepNone {
		return float64(p.MaxInFlight) / c.gateways
	}
	return float64(p.MaxInFlight) * quotashare.Among(d.shareLease.Open(d.now), c.gateways, float64(d.settings.Gateways))
}

// storeFilledSince is since when a store that is met for the first time has filled.
func (d *Balancer) storeFilledSince() time.Duration {
	return max(d.startedAt, d.excludedChangedAt, d.shareLease.GrewAt())
}
