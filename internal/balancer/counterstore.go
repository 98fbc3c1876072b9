package balancer

import (
	"math"
	"time"
)

const (
	fixEach = time.Second // one door puts a store right in this time
	// of what a door has added: what a store's number gained besides that another had added it, too
	fixTwice  = 0.75
	trusted   = 4 * time.Second        // a customer seen so lately is as calm as its demand says
	fixEdge   = 3                      // time-outs of a call in which doors that see the same store ask for leave
	lostLeast = 0.25                   // of a burst: a number that falls by more was lost
	shortLife = 300 * time.Millisecond // tokens that go out past the share of the ceiling are kept this long
	carryTime = 100 * time.Millisecond // until what a store lacked is carried into a new window's number
	carryMost = 3 * time.Second        // of the rate: no store lacks more than that beside its burst
)

// isStoreSettled says that this door has known a customer's store for as long as the ceiling takes to fill: a
// counter that has lost its numbers tells who asks first that the store is full, and by then that is true.
func (b *Balancer) isStoreSettled(cust *customer, plan *Plan) bool {
	return cust.bucket.known && (b.now-cust.bucket.knownAt).Seconds() >= plan.CeilingBurst/plan.CeilingRate &&
		cust.bucket.carriedWindow == int64(b.now/counterWindow) && b.now >= cust.bucket.carriedAt
}

// learnStore sees to it that a customer's store is known, and that what it lacked is carried into this window.
func (b *Balancer) learnStore(cust *customer) {
	if b.leaseTerms[cust.plan].Rate == 0 || !b.canCallCounter() {
		return
	}
	if !cust.bucket.known && !cust.bucket.levelCallPending {
		cust.bucket.levelCallPending = true
		b.callStoreLevel(cust)
	}
	if w := int64(b.now / counterWindow); cust.bucket.carriedWindow != w {
		cust.bucket.carriedWindow, cust.bucket.carriedAt = w, math.MaxInt64
		b.callFirstInWindow(cust, w)
	}
}

// handleStoreCall takes what a customer's store held at the end of a window into the next: each window's number begins
// anew, and no door may know better, where the demand moves among many. The first door that asks in a window
// adds what the store lacked; the others give it the time for that.
func (b *Balancer) handleStoreCall(call *counterCall, ev CounterResult) {
	cust, plan := call.customer, &b.settings.Plans[call.customer.plan]
	switch {
	case call.kind == forLevel:
		if cust.bucket.levelCallPending = false; ev.Status == OK {
			b.creditLease(call, ev.Total, b.now)
		}
	case call.kind == forFix || call.kind == forFixed:
		if ev.Status != OK || ev.Total > call.firstTotal || call.window != int64(b.now/counterWindow) {
			return
		}
		if call.kind == forFix && b.leaseTerms[cust.plan].Rate > 0 &&
			call.sentAt%fixEach < fixEdge*b.settings.CounterTimeout {
			b.callPreviousCorrectionLock(cust, call)
			return
		}
		if b.leaseTerms[cust.plan].Rate == 0 {
			b.callCounter(cust, 0, call.amount, 0)
		} else {
			b.addSurplus(cust, call.window, call.amount, call.total)
		}
	case call.kind == forRight:
		if ev.Status == OK && call.window == int64(b.now/counterWindow) &&
			ev.Total-call.firstTotal-call.amount > fixTwice*call.amount {
			b.callCounter(cust, 0, -call.amount, 0)
		}
	case cust.bucket.carriedWindow != call.window:
	case ev.Status != OK:
		cust.bucket.carriedWindow = 0 // asked again with the next lease
	case call.kind == forFirst && ev.Total > 1:
		cust.bucket.carriedAt = b.now + carryTime
	case call.kind == forFirst:
		b.callPreviousWindow(cust, call.window)
	default:
		lacks := min(plan.Burst+plan.Rate*carryMost.Seconds(), ev.Total-plan.Rate*counterWindow.Seconds())
		filled := plan.Rate * (call.sentAt - time.Duration(call.window)*counterWindow).Seconds()
		if filled > plan.Burst*overfullLent {
			lacks -= filled // before anybody asked in this window: that was put right as a surplus
		}
		if lacks > 0 {
			b.callCounter(cust, 0, lacks, 0)
		}
		if cust.bucket.carriedAt = b.now + carryTime; ev.Total == 0 { // nobody asked, or the counter has lost it
			cust.bucket.carriedAt = b.now + time.Duration(plan.CeilingBurst/plan.CeilingRate*float64(time.Second))
		}
	}
}

// callFirstInWindow asks whether this door is the first that asks in a window of a customer's store.
func (b *Balancer) callFirstInWindow(cust *customer, window int64) {
	b.callAuxiliary(cust, forFirst, window, counterName(cust.name+" first", window), 1)
}

// callPreviousWindow asks what the window before one came to.
func (b *Balancer) callPreviousWindow(cust *customer, window int64) {
	b.callAuxiliary(cust, forLast, window, counterName(cust.name, window-1), 0)
}

// callStoreLevel asks what a customer's store holds.
func (b *Balancer) callStoreLevel(cust *customer) {
	window := int64(b.now / counterWindow)
	b.callAuxiliary(cust, forLevel, window, counterName(cust.name, window), 0)
}

// storeAfterPeers is what a store holds whose number is still to be put right, by what this door last knew of it and
// what the number has
// gained since: that others have taken.
func (b *Balancer) storeAfterPeers(cust *customer, call *counterCall, total float64) float64 {
	if b.leaseTerms[cust.plan].Rate == 0 || !cust.bucket.known || cust.bucket.seenWindow != call.window {
		return math.Inf(1)
	}
	plan := &b.settings.Plans[cust.plan]
	return max(
		-plan.Burst/2,
		cust.bucket.level+plan.Rate*(b.now-cust.bucket.levelAt).Seconds()-max(0, total-call.amount-cust.bucket.seenTotal),
	)
}

// correctStore puts a store's number right by what it holds too much, and returns what this door takes it to hold.
// Where the ceiling hangs on it only one door does: in a new window the first that asks, by what the last one came to,
// later the first that asks for leave. All doors may see the same surplus within one round trip, however calm the
// customer is. Who saw the store before anybody took of it adds at once, as it alone knows what that held; so does the
// door of a calm customer, which saves calls. Whoever adds takes it back where the answer tells that another door
// had added it already.
func (b *Balancer) correctStore(cust *customer, call *counterCall, held, most, total float64) float64 {
	plan := &b.settings.Plans[cust.plan]
	lent, first, calm := b.leaseTerms[cust.plan].Rate > 0, cust.bucket.seenWindow != call.window,
		cust.demand.rate*cust.gateways < plan.Rate
	seen := cust.bucket.known && b.now-cust.bucket.levelAt < trusted && call.kind != forLevel
	least := most
	if cust.bucket.known && !calm {
		least = min(most, b.storeAtLeast(cust, call, total))
	}
	switch {
	case !lent:
		b.callCounter(cust, 0, held-most, 0)
	case b.isOnlyUser(cust, call, total) && !first, calm && seen:
		b.addSurplus(cust, call.window, held-most, total)
	case b.isOnlyUser(cust, call, total) && held > plan.Burst*(1+overfullLent): // what it lacked before that is carried
		b.addSurplus(cust, call.window, held-plan.Burst, total)
		b.learnStore(cust)
	// a flood that begins at all doors at once looks like this at first, and what this door may take is known without
	case calm && !seen:
	case cust.bucket.carriedWindow == call.window && b.now >= cust.bucket.carriedAt && (!first || calm):
		b.callCorrectionLock(cust, call.window, held-least, total)
		return least
	default:
		b.learnStore(cust)
		return least
	}
	return most
}

// isOnlyUser says that nobody else has taken of a store since this door knew what it held: by a number that this door
// began, or that has gained
// nothing besides since this door looked at it.
func (b *Balancer) isOnlyUser(cust *customer, call *counterCall, total float64) bool {
	const some = 1e-6
	return call.kind == forTokens &&
		(total <= call.amount+some || cust.bucket.known && cust.bucket.seenWindow == call.window &&
			total-call.amount <= cust.bucket.seenTotal+some)
}

// storeAtLeast is what a store whose number is still to be put right holds at least, by what this door last knew and
// what others have taken since then:
// just now, it may be, when the store had long been full.
func (b *Balancer) storeAtLeast(cust *customer, call *counterCall, total float64) float64 {
	plan := &b.settings.Plans[cust.plan]
	if cust.bucket.seenWindow == call.window {
		total -= cust.bucket.seenTotal
	}
	return max(-plan.Burst/2, b.currentStoreLevel(cust, plan)-max(0, total-call.amount))
}

// addSurplus adds to a store's number what it holds too much, when the number came to a total.
func (b *Balancer) addSurplus(cust *customer, window int64, amount, total float64) {
	r := b.callAuxiliary(cust, forRight, window, counterName(cust.name, window), amount)
	r.amount, r.firstTotal = amount, total
}

// callCorrectionLock asks for leave to add to a store's number what it holds over its burst, or seems to have gained.
// Doors that see it at the same moment, as after a pause of the customer's, must not all add it: the store would be
// empty for as long again.
func (b *Balancer) callCorrectionLock(cust *customer, window int64, amount, total float64) {
	call := b.callAuxiliary(cust, forFix, window, counterName(cust.name+" fix", int64(b.now/fixEach)), 1)
	call.amount, call.firstTotal, call.total = amount, 1, total
}

// callPreviousCorrectionLock asks whether a door was given that leave in the stretch before this one: two that see the
// same store on both sides of an
// edge would each be the first in theirs.
func (b *Balancer) callPreviousCorrectionLock(cust *customer, call *counterCall) {
	f := b.callAuxiliary(cust, forFixed, call.window, counterName(cust.name+" fix", int64(call.sentAt/fixEach)-1), 0)
	f.amount, f.total = call.amount, call.total
}
