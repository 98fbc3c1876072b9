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

// leastRate keeps times from being endless where a door has no part, units a second.
const leastRate = 1e-4

// shared takes news of the doors.
func (d *Balancer) shared(ev ShareUpdate) {
	d.expire()
	d.settleShares()
	longest := time.Duration(0)
	for i := range d.set.Classes {
		longest = max(longest, d.set.Classes[i].ClientTimeout+d.set.DeadlineSlack)
	}
	if ev.Excluded {
		ev.Fraction = 0
	}
	d.view.Take(d.now, ev.Fraction, ev.Until, longest)
	if d.out != ev.Excluded {
		d.out, d.keptFrom = ev.Excluded, d.now
	}
	if !slices.Equal(ev.DeadGateways, d.gone) {
		d.gone = slices.Clone(ev.DeadGateways)
		d.members()
		d.calls.Floor(d.now, callsLow/d.living())
	}
}

// living is how many doors serve as far as this one knows. What they share without a bound that must hold goes by it: the least pace of calls
// to the counter and of its tests, the first places at a server, the pace of trials. What a cold server bears goes by what warm ones are
// seen to carry from this door, so by itself.
func (d *Balancer) living() float64 { return float64(max(1, d.set.Gateways-len(d.gone))) }

// fillSpare fills what this door holds of a customer's quota for when the counter does not say: its even part, for good, or what is leased
// where the plan yields.
func (d *Balancer) fillSpare(c *customer, p *Plan) {
	part := 1 / c.doors
	if d.set.LeasedShares && p.PartitionPolicy == quotashare.KeepNone && p.CeilingRate > 0 {
		if part = quotashare.Among(d.view.Part(d.now), c.doors, float64(d.set.Gateways)); d.out {
			part = 0
		}
		c.spare = min(c.spare, p.Burst*part)
	}
	fill := p.Rate * part * (1 - d.callShare) * d.since(c.spareAt)
	c.spare, c.spareAt = min(max(c.spare, p.Burst*part), c.spare+fill), d.now
}

// expire ends a lease that is over: until its end the shares have filled, and not longer.
func (d *Balancer) expire() {
	if !d.view.Ended(d.now) {
		return
	}
	now := d.now
	d.now = d.view.Until() - 1
	d.settleShares()
	d.now = now
	d.view.Take(now, 0, now, 0)
	d.settleShares()
}

// settleShares fills all shares, and what is held for the counter's silence, up to now, by the parts as they are.
func (d *Balancer) settleShares() {
	for _, c := range d.order {
		if c.plan < len(d.set.Plans) && c.ceilAt < d.now {
			d.ceiling(c, &d.set.Plans[c.plan])
			d.fillSpare(c, &d.set.Plans[c.plan])
		}
	}
}

// share is this door's part of a customer's ceiling.
func (d *Balancer) share(c *customer, p *Plan) quotashare.Store {
	if !d.set.LeasedShares {
		return quotashare.Store{Rate: p.CeilingRate / c.doors, Depth: p.CeilingBurst / c.doors}
	}
	if d.out {
		return quotashare.Store{}
	}
	own := d.ownShare(c, p, d.view.Part(d.now))
	if c.loans.Some() {
		own = own.Less(c.loans.Out(d.now, -1)).Plus(c.loans.In(d.now))
	}
	return own
}

// ownShare is what is this door's own with a leased part, whatever is lent.
func (d *Balancer) ownShare(c *customer, p *Plan, part float64) quotashare.Store {
	return p.PartitionPolicy.Of(quotashare.Store{Rate: p.CeilingRate, Depth: p.CeilingBurst}, quotashare.Store{Rate: p.Rate, Depth: p.Burst}, 1/c.doors,
		quotashare.Among(part, c.doors, float64(d.set.Gateways)))
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

// borrow asks for loans where this door's share of a customer's ceiling is short, or was until others lent.
func (d *Balancer) borrow(c *customer, p *Plan, short bool) {
	if !d.set.LeasedShares || d.out || d.set.Gateways < 2 || c.doors < float64(d.set.Gateways) || d.now < c.borrowAt || d.many(c, p) {
		return
	}
	if !short && !(c.loans.Some() && c.loans.In(d.now).Rate > 0 && c.demand > borrowFrom*d.ownShare(c, p, d.view.Part(d.now)).Rate) {
		return
	}
	if d.now >= d.borrowAt+borrowEvery {
		d.borrowAt, d.borrows = d.now, 0
	}
	if d.borrows++; d.borrows <= borrowMost {
		c.borrowAt = d.now + borrowEvery
		d.act(RequestLoan{c.name, c.plan, d.now})
	}
}

// wanted lends what this door does not need of a customer's ceiling.
func (d *Balancer) wanted(ev LoanRequest) {
	if !d.set.LeasedShares || d.out || d.away || ev.Plan < 0 || ev.Plan >= len(d.set.Plans) || d.set.Plans[ev.Plan].CeilingRate == 0 {
		return
	}
	c := d.customers[ev.Customer]
	if c == nil {
		if len(d.customers) >= mostCustomers {
			return
		}
		c = d.customer(Request{Customer: ev.Customer, Plan: ev.Plan})
	}
	p := &d.set.Plans[c.plan]
	if c.plan != ev.Plan || c.doors < float64(d.set.Gateways) || d.many(c, p) {
		return
	}
	d.ceiling(c, p)
	c.usedAt = d.now // its loan is kept in mind
	part, until := d.view.Part(d.now), d.view.Until()
	if until < d.now+quotashare.LoanHold {
		part, until = 0, d.now+quotashare.LoanHold // only what this door keeps for good
	}
	own, gap := d.ownShare(c, p, part), d.now-c.demandAt
	demand := c.demand * math.Exp(-gap.Seconds()/lendGap.Seconds())
	if c.demand > 0 && gap < lendCalm { // it may come again, and is not to find all lent
		demand = max(demand, lendKeeps*own.Rate)
	}
	s, end, ok := c.loans.Lend(d.now, ev.From, own, until, demand)
	if !ok {
		return
	}
	d.lentUntil = max(d.lentUntil, end)
	d.ceiling(c, p) // what lies over the smaller store is gone
	d.act(GrantLoan{ev.From, ev.Customer, ev.Plan, ev.At, s.Rate, s.Depth})
}

// loaned takes a loan.
func (d *Balancer) loaned(ev LoanGranted) {
	c := d.customers[ev.Customer]
	if c == nil || c.plan != ev.Plan || ev.At > d.now {
		return
	}
	d.ceiling(c, &d.set.Plans[c.plan])
	c.loans.Borrow(d.now, ev.From, quotashare.Store{Rate: ev.Rate, Depth: ev.Depth}, ev.At+quotashare.LoanLength)
	d.serve(c)
}

// repay ends the loans of a customer that are over: until its end each has filled the share, and not longer.
func (d *Balancer) repay(c *customer, p *Plan) {
	if !c.loans.Some() {
		return
	}
	now := d.now
	for at := c.loans.Due(now); at > 0; at = c.loans.Due(now) {
		d.now = max(c.ceilAt, at-1)
		d.ceiling(c, p)
		c.loans.Drop(at)
	}
	d.now = now
	c.loans.Drop(now)
}

// LoansEndAt is when the last loan is over that this door has given. Whoever takes a part away from it gives that to no other before.
func (d *Balancer) LoansEndAt() time.Duration { return d.lentUntil }

// openShare is this door's part of a cap on what is open at once.
func (d *Balancer) openShare(c *customer, p *Plan) float64 {
	if d.set.LeasedShares && d.out {
		return 0
	}
	if !d.set.LeasedShares || p.PartitionPolicy != quotashare.KeepNone {
		return float64(p.MaxInFlight) / c.doors
	}
	return float64(p.MaxInFlight) * quotashare.Among(d.view.Open(d.now), c.doors, float64(d.set.Gateways))
}

// filledFrom is since when a store that is met for the first time has filled.
func (d *Balancer) filledFrom() time.Duration {
	return max(d.begun, d.keptFrom, d.view.GrewAt())
}
