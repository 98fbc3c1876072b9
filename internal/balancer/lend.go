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

// ceilingSource says where a request's units of the ceiling come from.
type ceilingSource int

const (
	fromEvenShare ceilingSource = iota // this door's even share
	fromQuota                          // what the quota's ledger on the counter let through
	fromLease                          // what was leased beyond the quota
)

// ceilingLeaseTerms is on what terms a request's ceiling is lent now; nil: it is not, and this door goes by its even
// share. A counter that does not answer lends nothing: then all doors go by their shares, from which what
// they sent on meanwhile was taken (see draw), so together they hold no more than the ceiling's store does.
func (d *Balancer) ceilingLeaseTerms(r *request) *ceilinglease.Terms {
	if t := &d.leaseTerms[r.plan]; t.Rate > 0 && r.customer.gateways > 1 && d.now >= d.leasingFrom {
		return t
	}
	return nil
}

// recordCallOutcome takes whether a counter call was answered. After a few failures in a row doors go by their even shares, and lend
// again when the ceilings have had the time to fill since the last one.
func (d *Balancer) recordCallOutcome(ok bool) {
	if ok {
		d.failedCalls = 0
	} else if d.failedCalls++; d.failedCalls >= failedMost || d.now < d.leasingFrom {
		d.leasingFrom = d.now + d.longestCeilingFill
	}
}

// activeGateways is how many doors a customer's demand is taken to come through: all that it names, or, where its ceiling is lent,
// as many as what the others were seen to add speaks for.
func (d *Balancer) activeGateways(c *customer) float64 {
	if d.leaseTerms[c.plan].Rate == 0 {
		return c.gateways
	}
	return min(c.gateways, 1+c.peerDemand*c.gateways/max(d.settings.Plans[c.plan].Rate, c.peerDemand))
}

// isStoreSettled says that this door has known a customer's store for as long as the ceiling takes to fill: a
// counter that has lost its numbers tells who asks first that the store is full, and by then that is true.
func (d *Balancer) isStoreSettled(c *customer, p *Plan) bool {
	return c.storeKnown && (d.now-c.storeKnownAt).Seconds() >= p.CeilingBurst/p.CeilingRate &&
		c.carriedWindow == int64(d.now/counterWindow) && d.now >= c.carriedAt
}

// learnStore sees to it that a customer's store is known, and that what it lacked is carried into this window.
func (d *Balancer) learnStore(c *customer) {
	if d.leaseTerms[c.plan].Rate == 0 || !d.canCallCounter() {
		return
	}
	if !c.storeKnown && !c.levelCallPending {
		c.levelCallPending = true
		d.callStoreLevel(c)
	}
	if w := int64(d.now / counterWindow); c.carriedWindow != w {
		c.carriedWindow, c.carriedAt = w, math.MaxInt64
		d.callFirstInWindow(c, w)
	}
}

// handleStoreCall takes what a customer's store held at the end of a window into the next: each window's number begins
// anew, and no door may know better, where the demand moves among many. The first door that asks in a window
// adds what the store lacked; the others give it the time for that.
func (d *Balancer) handleStoreCall(k *counterCall, ev CounterResult) {
	c, p := k.customer, &d.settings.Plans[k.customer.plan]
	switch {
	case k.kind == forLevel:
		if c.levelCallPending = false; ev.Status == OK {
			d.creditLease(k, ev.Total, d.now)
		}
	case k.kind == forFix || k.kind == forFixed:
		if ev.Status != OK || ev.Total > k.firstTotal || k.window != int64(d.now/counterWindow) {
			return
		}
		if k.kind == forFix && d.leaseTerms[c.plan].Rate > 0 && k.sentAt%fixEach < fixEdge*d.settings.CounterTimeout {
			d.callPreviousCorrectionLock(c, k)
			return
		}
		if d.leaseTerms[c.plan].Rate == 0 {
			d.callCounter(c, 0, k.amount, 0)
		} else {
			d.addSurplus(c, k.window, k.amount, k.total)
		}
	case k.kind == forRight:
		if ev.Status == OK && k.window == int64(d.now/counterWindow) && ev.Total-k.firstTotal-k.amount > fixTwice*k.amount {
			d.callCounter(c, 0, -k.amount, 0)
		}
	case c.carriedWindow != k.window:
	case ev.Status != OK:
		c.carriedWindow = 0 // asked again with the next lease
	case k.kind == forFirst && ev.Total > 1:
		c.carriedAt = d.now + carryTime
	case k.kind == forFirst:
		d.callPreviousWindow(c, k.window)
	default:
		lacks := min(p.Burst+p.Rate*carryMost.Seconds(), ev.Total-p.Rate*counterWindow.Seconds())
		if filled := p.Rate * (k.sentAt - time.Duration(k.window)*counterWindow).Seconds(); filled > p.Burst*overfullLent {
			lacks -= filled // before anybody asked in this window: that was put right as a surplus
		}
		if lacks > 0 {
			d.callCounter(c, 0, lacks, 0)
		}
		if c.carriedAt = d.now + carryTime; ev.Total == 0 { // nobody asked, or the counter has lost it
			c.carriedAt = d.now + time.Duration(p.CeilingBurst/p.CeilingRate*float64(time.Second))
		}
	}
}

// leaseCeiling says whether what was leased beyond the quota has a request's units, and asks for more.
func (d *Balancer) leaseCeiling(r *request, t *ceilinglease.Terms, late bool) quotaDecision {
	c := r.customer
	p := &d.settings.Plans[r.plan]
	switch {
	case p.Rate > 0 && p.OverQuotaWeight <= p.OverQuotaCost:
		return quotaExceeded
	case c.ceilingLease.Has(*t, d.now, !r.admitOnly, c.admitOnlyFraction()) >= r.units:
		return quotaCovered
	case late:
		return quotaExceeded
	case c.ceilingLease.Asking():
		return quotaPending
	case r.admitOnly && r.leaseRequested:
		return quotaExceeded
	}
	if d.canCallCounter() {
		if block := c.ceilingLease.Ask(*t, d.now, r.units, c.demand); block > 0 {
			d.callCeilingLease(c, *t, block)
			r.leaseRequested = true
			return quotaPending
		}
	}
	if r.admitOnly || c.ceilingLease.Opens(*t, d.now).Seconds() > r.timeLimit.Seconds()*maxCeilingWaitFraction {
		return quotaExceeded
	}
	return quotaPending
}

// drawCeiling takes the units of a first attempt out of the ceiling; false: they are not there any more. What is
// lent is taken from this door's even share too, which may go so far below nothing that all doors' shares
// together are as empty as the ceiling's store can be.
func (d *Balancer) drawCeiling(r *request, p *Plan) bool {
	c := r.customer
	if p.CeilingRate == 0 {
		return true
	}
	have := d.refillCeiling(c, p)
	switch t := &d.leaseTerms[r.plan]; {
	case r.ceilingSource == fromQuota && d.hasSparseShares(c, p):
		return true
	case r.ceilingSource == fromEvenShare && r.leaseWindow > 0: // its turn was there when it was placed
		if c.lastTurn >= r.leaseWindow {
			return false
		}
		c.lastTurn = r.leaseWindow
		return true
	case r.ceilingSource == fromEvenShare:
		if have < r.units {
			return false
		}
		c.ceilingTokens -= r.units
		if r.admitOnly {
			c.ceilingKept = max(0, c.ceilingKept-r.units)
		}
		return true
	case r.ceilingSource == fromLease && t.Index(d.now) != r.leaseWindow:
		if c.ceilingLease.Has(*t, d.now, !r.admitOnly, c.admitOnlyFraction()) < r.units {
			return false
		}
		r.leaseWindow = c.ceilingLease.Take(*t, d.now, r.units, !r.admitOnly)
	}
	c.ceilingTokens = max(d.ceilingShare(c, p).Depth-p.CeilingBurst, c.ceilingTokens-r.units)
	return true
}

// callCeilingLease asks the counter for units of a customer's ceiling beyond the quota, in the window of now.
func (d *Balancer) callCeilingLease(c *customer, t ceilinglease.Terms, block float64) {
	window := t.Index(d.now)
	name := counterName(fmt.Sprint(c.name, " beyond ", t.Window), window) // doors with other terms share nothing
	d.callsOut[name] = append(d.callsOut[name], &counterCall{customer: c, block: block, window: window, sentAt: d.now, kind: forLease})
	d.emit(CounterAdd{name, block, t.Keep(), 0})
}

// callFirstInWindow asks whether this door is the first that asks in a window of a customer's store.
func (d *Balancer) callFirstInWindow(c *customer, window int64) {
	d.callAuxiliary(c, forFirst, window, counterName(c.name+" first", window), 1)
}

// callPreviousWindow asks what the window before one came to.
func (d *Balancer) callPreviousWindow(c *customer, window int64) {
	d.callAuxiliary(c, forLast, window, counterName(c.name, window-1), 0)
}

// callTest asks the counter for no customer.
func (d *Balancer) callTest() {
	d.callAuxiliary(nil, forTest, 0, counterName("test", int64(d.settings.Index)), 0)
}

// callStoreLevel asks what a customer's store holds.
func (d *Balancer) callStoreLevel(c *customer) {
	window := int64(d.now / counterWindow)
	d.callAuxiliary(c, forLevel, window, counterName(c.name, window), 0)
}

// storeAfterPeers is what a store holds whose number is still to be put right, by what this door last knew of it and what the number has
// gained since: that others have taken.
func (d *Balancer) storeAfterPeers(c *customer, k *counterCall, total float64) float64 {
	if d.leaseTerms[c.plan].Rate == 0 || !c.storeKnown || c.seenWindow != k.window {
		return math.Inf(1)
	}
	p := &d.settings.Plans[c.plan]
	return max(-p.Burst/2, c.storeLevel+p.Rate*(d.now-c.storeLevelAt).Seconds()-max(0, total-k.amount-c.seenTotal))
}

// acceptedTokens is what a door takes of a block, of which the store has so much. Where the ceiling is lent tokens are not given back, so a part of a
// unit stays in the store: here it would mostly lie until it is lost.
func (d *Balancer) acceptedTokens(k *counterCall, has float64) float64 {
	got := max(0, min(k.block, has))
	if got < k.block && d.leaseTerms[k.customer.plan].Rate > 0 {
		got = min(got, max(0, math.Floor(got+k.customer.tokens)-k.customer.tokens))
	}
	return got
}

// pauseSpread is by what a pause is longer after which an empty store is looked at again. Doors that lend look each at its own time: else the same one
// would find each unit first, for as long as all keep to their pace.
func (d *Balancer) pauseSpread(c *customer) float64 {
	if d.leaseTerms[c.plan].Rate == 0 {
		return 1
	}
	return pauseApart + 2*(1-pauseApart)*d.rng.Float64()
}

// correctStore puts a store's number right by what it holds too much, and returns what this door takes it to hold. Where the ceiling hangs on it only
// one door does: in a new window the first that asks, by what the last one came to, later the first that asks for leave. All doors may see the
// same surplus within one round trip, however calm the customer is. Who saw the store before anybody took of it adds at once, as it alone knows
// what that held; so does the door of a calm customer, which saves calls. Whoever adds takes it back where the answer tells that another door
// had added it already.
func (d *Balancer) correctStore(c *customer, k *counterCall, held, most, total float64) float64 {
	p := &d.settings.Plans[c.plan]
	lent, first, calm := d.leaseTerms[c.plan].Rate > 0, c.seenWindow != k.window, c.demand*c.gateways < p.Rate
	seen := c.storeKnown && d.now-c.storeLevelAt < trusted && k.kind != forLevel
	least := most
	if c.storeKnown && !calm {
		least = min(most, d.storeAtLeast(c, k, total))
	}
	switch {
	case !lent:
		d.callCounter(c, 0, held-most, 0)
	case d.isOnlyUser(c, k, total) && !first, calm && seen:
		d.addSurplus(c, k.window, held-most, total)
	case d.isOnlyUser(c, k, total) && held > p.Burst*(1+overfullLent): // what it lacked before that is carried
		d.addSurplus(c, k.window, held-p.Burst, total)
		d.learnStore(c)
	case calm && !seen: // a flood that begins at all doors at once looks like this at first, and what this door may take is known without
	case c.carriedWindow == k.window && d.now >= c.carriedAt && (!first || calm):
		d.callCorrectionLock(c, k.window, held-least, total)
		return least
	default:
		d.learnStore(c)
		return least
	}
	return most
}

// isOnlyUser says that nobody else has taken of a store since this door knew what it held: by a number that this door began, or that has gained
// nothing besides since this door looked at it.
func (d *Balancer) isOnlyUser(c *customer, k *counterCall, total float64) bool {
	const some = 1e-6
	return k.kind == forTokens && (total <= k.amount+some || c.storeKnown && c.seenWindow == k.window && total-k.amount <= c.seenTotal+some)
}

// storeAtLeast is what a store whose number is still to be put right holds at least, by what this door last knew and what others have taken since then:
// just now, it may be, when the store had long been full.
func (d *Balancer) storeAtLeast(c *customer, k *counterCall, total float64) float64 {
	p := &d.settings.Plans[c.plan]
	if c.seenWindow == k.window {
		total -= c.seenTotal
	}
	return max(-p.Burst/2, d.currentStoreLevel(c, p)-max(0, total-k.amount))
}

// addSurplus adds to a store's number what it holds too much, when the number came to a total.
func (d *Balancer) addSurplus(c *customer, window int64, amount, total float64) {
	r := d.callAuxiliary(c, forRight, window, counterName(c.name, window), amount)
	r.amount, r.firstTotal = amount, total
}

// callCorrectionLock asks for leave to add to a store's number what it holds over its burst, or seems to have gained. Doors that see it
// at the same moment, as after a pause of the customer's, must not all add it: the store would be empty for as long again.
func (d *Balancer) callCorrectionLock(c *customer, window int64, amount, total float64) {
	k := d.callAuxiliary(c, forFix, window, counterName(c.name+" fix", int64(d.now/fixEach)), 1)
	k.amount, k.firstTotal, k.total = amount, 1, total
}

// callPreviousCorrectionLock asks whether a door was given that leave in the stretch before this one: two that see the same store on both sides of an
// edge would each be the first in theirs.
func (d *Balancer) callPreviousCorrectionLock(c *customer, k *counterCall) {
	f := d.callAuxiliary(c, forFixed, k.window, counterName(c.name+" fix", int64(k.sentAt/fixEach)-1), 0)
	f.amount, f.total = k.amount, k.total
}

func (d *Balancer) callAuxiliary(c *customer, kind callKind, window int64, name uint64, amount float64) *counterCall {
	k := &counterCall{customer: c, window: window, sentAt: d.now, kind: kind}
	d.callsOut[name] = append(d.callsOut[name], k)
	d.emit(CounterAdd{name, amount, counterTTL, 0})
	return k
}

// quotaMayCover says whether a request may be inside the quota, by what this door knows.
func (d *Balancer) quotaMayCover(r *request, p *Plan) bool {
	return p.Rate > 0 && (r.customer.tokens >= r.units || r.customer.callPending || d.now >= r.customer.storeEmptyUntil)
}
