package balancer

// How a customer's ceiling is lent to the doors where its demand is (Settings.LendCeilings). The arithmetic of what goes out
// beyond the quota is package ceiling's; docs/design/ceilings.md has the argument that no more than the ceiling goes out.
//
// A request's units of the ceiling come from one of three places (payer): what the quota's ledger on the counter let through
// may go out at any door, what is beyond the quota is leased from the counter in windows, and this door's even share is what
// remains where nothing is lent. Whichever it is, the even share is drawn down too, so that doors which lose the counter
// together hold no more than the ceiling's store does.

import (
	"fmt"
	"math"
	"time"

	"gapgap/internal/balancer/ceilinglease"
)

// Tuned values, ours; compared in virtual time (internal/simulator).
const (
	overfullLent = 0.1                    // ... where the ceiling hangs on it
	failedMost   = 2                      // calls failed in a row from which nothing is lent
	fixEach      = time.Second            // one door puts a store right in this time
	pauseApart   = 0.6                    // of a pause, at least
	fixTwice     = 0.75                   // of what a door has added: what a store's number gained besides that another had added it, too
	trusted      = 4 * time.Second        // a customer seen so lately is as calm as its demand says
	fixEdge      = 3                      // time-outs of a call in which doors that see the same store ask for leave
	lostLeast    = 0.25                   // of a burst: a number that falls by more was lost
	shortLife    = 300 * time.Millisecond // tokens that go out past the share of the ceiling are kept this long
	carryTime    = 100 * time.Millisecond // until what a store lacked is carried into a new window's number
	carryMost    = 3 * time.Second        // of the rate: no store lacks more than that beside its burst
)

// payer says where a request's units of the ceiling come from.
type payer int

const (
	fromShare payer = iota // this door's even share
	fromQuota              // what the quota's ledger on the counter let through
	fromLease              // what was leased beyond the quota
)

// lent is on what terms a request's ceiling is lent now; nil: it is not, and this door goes by its even
// share. A counter that does not answer lends nothing: then all doors go by their shares, from which what
// they sent on meanwhile was taken (see draw), so together they hold no more than the ceiling's store does.
func (d *Balancer) lent(r *request) *ceilinglease.Terms {
	if t := &d.terms[r.plan]; t.Rate > 0 && r.c.doors > 1 && d.now >= d.lendFrom {
		return t
	}
	return nil
}

// noted takes whether a counter call was answered. After a few failures in a row doors go by their even shares, and lend
// again when the ceilings have had the time to fill since the last one.
func (d *Balancer) noted(ok bool) {
	if ok {
		d.failed = 0
	} else if d.failed++; d.failed >= failedMost || d.now < d.lendFrom {
		d.lendFrom = d.now + d.fills
	}
}

// sharers is how many doors a customer's demand is taken to come through: all that it names, or, where its ceiling is lent,
// as many as what the others were seen to add speaks for.
func (d *Balancer) sharers(c *customer) float64 {
	if d.terms[c.plan].Rate == 0 {
		return c.doors
	}
	return min(c.doors, 1+c.others*c.doors/max(d.set.Plans[c.plan].Rate, c.others))
}

// seasoned says that this door has known a customer's store for as long as the ceiling takes to fill: a
// counter that has lost its numbers tells who asks first that the store is full, and by then that is true.
func (d *Balancer) seasoned(c *customer, p *Plan) bool {
	return c.known && (d.now-c.knownAt).Seconds() >= p.CeilingBurst/p.CeilingRate &&
		c.carried == int64(d.now/windowLen) && d.now >= c.carriedAt
}

// look sees to it that a customer's store is known, and that what it lacked is carried into this window.
func (d *Balancer) look(c *customer) {
	if d.terms[c.plan].Rate == 0 || !d.mayCall() {
		return
	}
	if !c.known && !c.looks {
		c.looks = true
		d.askLevel(c)
	}
	if w := int64(d.now / windowLen); c.carried != w {
		c.carried, c.carriedAt = w, math.MaxInt64
		d.askFirst(c, w)
	}
}

// carry takes what a customer's store held at the end of a window into the next: each window's number begins
// anew, and no door may know better, where the demand moves among many. The first door that asks in a window
// adds what the store lacked; the others give it the time for that.
func (d *Balancer) carry(k *call, ev CounterResult) {
	c, p := k.c, &d.set.Plans[k.c.plan]
	switch {
	case k.kind == forLevel:
		if c.looks = false; ev.Status == OK {
			d.grant(k, ev.Total, d.now)
		}
	case k.kind == forFix || k.kind == forFixed:
		if ev.Status != OK || ev.Total > k.first || k.window != int64(d.now/windowLen) {
			return
		}
		if k.kind == forFix && d.terms[c.plan].Rate > 0 && k.at%fixEach < fixEdge*d.set.CounterTimeout {
			d.askFixed(c, k)
			return
		}
		if d.terms[c.plan].Rate == 0 {
			d.call(c, 0, k.amount, 0)
		} else {
			d.right(c, k.window, k.amount, k.total)
		}
	case k.kind == forRight:
		if ev.Status == OK && k.window == int64(d.now/windowLen) && ev.Total-k.first-k.amount > fixTwice*k.amount {
			d.call(c, 0, -k.amount, 0)
		}
	case c.carried != k.window:
	case ev.Status != OK:
		c.carried = 0 // asked again with the next lease
	case k.kind == forFirst && ev.Total > 1:
		c.carriedAt = d.now + carryTime
	case k.kind == forFirst:
		d.askLast(c, k.window)
	default:
		lacks := min(p.Burst+p.Rate*carryMost.Seconds(), ev.Total-p.Rate*windowLen.Seconds())
		if filled := p.Rate * (k.at - time.Duration(k.window)*windowLen).Seconds(); filled > p.Burst*overfullLent {
			lacks -= filled // before anybody asked in this window: that was put right as a surplus
		}
		if lacks > 0 {
			d.call(c, 0, lacks, 0)
		}
		if c.carriedAt = d.now + carryTime; ev.Total == 0 { // nobody asked, or the counter has lost it
			c.carriedAt = d.now + time.Duration(p.CeilingBurst/p.CeilingRate*float64(time.Second))
		}
	}
}

// leased says whether what was leased beyond the quota has a request's units, and asks for more.
func (d *Balancer) leased(r *request, t *ceilinglease.Terms, late bool) verdict {
	c := r.c
	p := &d.set.Plans[r.plan]
	switch {
	case p.Rate > 0 && p.OverQuotaWeight <= p.OverQuotaCost:
		return beyond
	case c.lease.Has(*t, d.now, !r.grant, c.leaves()) >= r.units:
		return paid
	case late:
		return beyond
	case c.lease.Asking():
		return wait
	case r.grant && r.askedLease:
		return beyond
	}
	if d.mayCall() {
		if block := c.lease.Ask(*t, d.now, r.units, c.demand); block > 0 {
			d.callLease(c, *t, block)
			r.askedLease = true
			return wait
		}
	}
	if r.grant || c.lease.Opens(*t, d.now).Seconds() > r.tau.Seconds()*ceilWait {
		return beyond
	}
	return wait
}

// draw takes the units of a first attempt out of the ceiling; false: they are not there any more. What is
// lent is taken from this door's even share too, which may go so far below nothing that all doors' shares
// together are as empty as the ceiling's store can be.
func (d *Balancer) draw(r *request, p *Plan) bool {
	c := r.c
	if p.CeilingRate == 0 {
		return true
	}
	have := d.ceiling(c, p)
	switch t := &d.terms[r.plan]; {
	case r.pays == fromQuota && d.many(c, p):
		return true
	case r.pays == fromShare && r.lease > 0: // its turn was there when it was placed
		if c.turn >= r.lease {
			return false
		}
		c.turn = r.lease
		return true
	case r.pays == fromShare:
		if have < r.units {
			return false
		}
		c.ceil -= r.units
		if r.grant {
			c.kept = max(0, c.kept-r.units)
		}
		return true
	case r.pays == fromLease && t.Index(d.now) != r.lease:
		if c.lease.Has(*t, d.now, !r.grant, c.leaves()) < r.units {
			return false
		}
		r.lease = c.lease.Take(*t, d.now, r.units, !r.grant)
	}
	c.ceil = max(d.share(c, p).Depth-p.CeilingBurst, c.ceil-r.units)
	return true
}

// callLease asks the counter for units of a customer's ceiling beyond the quota, in the window of now.
func (d *Balancer) callLease(c *customer, t ceilinglease.Terms, block float64) {
	window := t.Index(d.now)
	name := counterName(fmt.Sprint(c.name, " beyond ", t.Window), window) // doors with other terms share nothing
	d.asks[name] = append(d.asks[name], &call{c: c, block: block, window: window, at: d.now, kind: forLease})
	d.act(CounterAdd{name, block, t.Keep(), 0})
}

// askFirst asks whether this door is the first that asks in a window of a customer's store.
func (d *Balancer) askFirst(c *customer, window int64) {
	d.aside(c, forFirst, window, counterName(c.name+" first", window), 1)
}

// askLast asks what the window before one came to.
func (d *Balancer) askLast(c *customer, window int64) {
	d.aside(c, forLast, window, counterName(c.name, window-1), 0)
}

// askTest asks the counter for no customer.
func (d *Balancer) askTest() { d.aside(nil, forTest, 0, counterName("test", int64(d.set.Index)), 0) }

// askLevel asks what a customer's store holds.
func (d *Balancer) askLevel(c *customer) {
	window := int64(d.now / windowLen)
	d.aside(c, forLevel, window, counterName(c.name, window), 0)
}

// untaken is what a store holds whose number is still to be put right, by what this door last knew of it and what the number has
// gained since: that others have taken.
func (d *Balancer) untaken(c *customer, k *call, total float64) float64 {
	if d.terms[c.plan].Rate == 0 || !c.known || c.seenIn != k.window {
		return math.Inf(1)
	}
	p := &d.set.Plans[c.plan]
	return max(-p.Burst/2, c.store+p.Rate*(d.now-c.storeAt).Seconds()-max(0, total-k.amount-c.seen))
}

// taken is what a door takes of a block, of which the store has so much. Where the ceiling is lent tokens are not given back, so a part of a
// unit stays in the store: here it would mostly lie until it is lost.
func (d *Balancer) taken(k *call, has float64) float64 {
	got := max(0, min(k.block, has))
	if got < k.block && d.terms[k.c.plan].Rate > 0 {
		got = min(got, max(0, math.Floor(got+k.c.tokens)-k.c.tokens))
	}
	return got
}

// apart is by what a pause is longer after which an empty store is looked at again. Doors that lend look each at its own time: else the same one
// would find each unit first, for as long as all keep to their pace.
func (d *Balancer) apart(c *customer) float64 {
	if d.terms[c.plan].Rate == 0 {
		return 1
	}
	return pauseApart + 2*(1-pauseApart)*d.rng.Float64()
}

// correct puts a store's number right by what it holds too much, and returns what this door takes it to hold. Where the ceiling hangs on it only
// one door does: in a new window the first that asks, by what the last one came to, later the first that asks for leave. All doors may see the
// same surplus within one round trip, however calm the customer is. Who saw the store before anybody took of it adds at once, as it alone knows
// what that held; so does the door of a calm customer, which saves calls. Whoever adds takes it back where the answer tells that another door
// had added it already.
func (d *Balancer) correct(c *customer, k *call, held, most, total float64) float64 {
	p := &d.set.Plans[c.plan]
	lent, first, calm := d.terms[c.plan].Rate > 0, c.seenIn != k.window, c.demand*c.doors < p.Rate
	seen := c.known && d.now-c.storeAt < trusted && k.kind != forLevel
	least := most
	if c.known && !calm {
		least = min(most, d.least(c, k, total))
	}
	switch {
	case !lent:
		d.call(c, 0, held-most, 0)
	case d.alone(c, k, total) && !first, calm && seen:
		d.right(c, k.window, held-most, total)
	case d.alone(c, k, total) && held > p.Burst*(1+overfullLent): // what it lacked before that is carried
		d.right(c, k.window, held-p.Burst, total)
		d.look(c)
	case calm && !seen: // a flood that begins at all doors at once looks like this at first, and what this door may take is known without
	case c.carried == k.window && d.now >= c.carriedAt && (!first || calm):
		d.askFix(c, k.window, held-least, total)
		return least
	default:
		d.look(c)
		return least
	}
	return most
}

// alone says that nobody else has taken of a store since this door knew what it held: by a number that this door began, or that has gained
// nothing besides since this door looked at it.
func (d *Balancer) alone(c *customer, k *call, total float64) bool {
	const some = 1e-6
	return k.kind == forTokens && (total <= k.amount+some || c.known && c.seenIn == k.window && total-k.amount <= c.seen+some)
}

// least is what a store whose number is still to be put right holds at least, by what this door last knew and what others have taken since then:
// just now, it may be, when the store had long been full.
func (d *Balancer) least(c *customer, k *call, total float64) float64 {
	p := &d.set.Plans[c.plan]
	if c.seenIn == k.window {
		total -= c.seen
	}
	return max(-p.Burst/2, d.level(c, p)-max(0, total-k.amount))
}

// right adds to a store's number what it holds too much, when the number came to a total.
func (d *Balancer) right(c *customer, window int64, amount, total float64) {
	r := d.aside(c, forRight, window, counterName(c.name, window), amount)
	r.amount, r.first = amount, total
}

// askFix asks for leave to add to a store's number what it holds over its burst, or seems to have gained. Doors that see it
// at the same moment, as after a pause of the customer's, must not all add it: the store would be empty for as long again.
func (d *Balancer) askFix(c *customer, window int64, amount, total float64) {
	k := d.aside(c, forFix, window, counterName(c.name+" fix", int64(d.now/fixEach)), 1)
	k.amount, k.first, k.total = amount, 1, total
}

// askFixed asks whether a door was given that leave in the stretch before this one: two that see the same store on both sides of an
// edge would each be the first in theirs.
func (d *Balancer) askFixed(c *customer, k *call) {
	f := d.aside(c, forFixed, k.window, counterName(c.name+" fix", int64(k.at/fixEach)-1), 0)
	f.amount, f.total = k.amount, k.total
}

func (d *Balancer) aside(c *customer, kind callKind, window int64, name uint64, amount float64) *call {
	k := &call{c: c, window: window, at: d.now, kind: kind}
	d.asks[name] = append(d.asks[name], k)
	d.act(CounterAdd{name, amount, keepFor, 0})
	return k
}

// quotaMay says whether a request may be inside the quota, by what this door knows.
func (d *Balancer) quotaMay(r *request, p *Plan) bool {
	return p.Rate > 0 && (r.c.tokens >= r.units || r.c.asking || d.now >= r.c.emptyUntil)
}
