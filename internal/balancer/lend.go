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
func (b *Balancer) ceilingLeaseTerms(req *request) *ceilinglease.Terms {
	if t := &b.leaseTerms[req.plan]; t.Rate > 0 && req.customer.gateways > 1 && b.now >= b.leasingFrom {
		return t
	}
	return nil
}

// recordCallOutcome takes whether a counter call was answered. After a few failures in a row doors go by their even shares, and lend
// again when the ceilings have had the time to fill since the last one.
func (b *Balancer) recordCallOutcome(ok bool) {
	if ok {
		b.failedCalls = 0
	} else if b.failedCalls++; b.failedCalls >= failedMost || b.now < b.leasingFrom {
		b.leasingFrom = b.now + b.longestCeilingFill
	}
}

// activeGateways is how many doors a customer's demand is taken to come through: all that it names, or, where its ceiling is lent,
// as many as what the others were seen to add speaks for.
func (b *Balancer) activeGateways(cust *customer) float64 {
	if b.leaseTerms[cust.plan].Rate == 0 {
		return cust.gateways
	}
	return min(cust.gateways, 1+cust.peerDemand*cust.gateways/max(b.settings.Plans[cust.plan].Rate, cust.peerDemand))
}

// isStoreSettled says that this door has known a customer's store for as long as the ceiling takes to fill: a
// counter that has lost its numbers tells who asks first that the store is full, and by then that is true.
func (b *Balancer) isStoreSettled(cust *customer, plan *Plan) bool {
	return cust.storeKnown && (b.now-cust.storeKnownAt).Seconds() >= plan.CeilingBurst/plan.CeilingRate &&
		cust.carriedWindow == int64(b.now/counterWindow) && b.now >= cust.carriedAt
}

// learnStore sees to it that a customer's store is known, and that what it lacked is carried into this window.
func (b *Balancer) learnStore(cust *customer) {
	if b.leaseTerms[cust.plan].Rate == 0 || !b.canCallCounter() {
		return
	}
	if !cust.storeKnown && !cust.levelCallPending {
		cust.levelCallPending = true
		b.callStoreLevel(cust)
	}
	if w := int64(b.now / counterWindow); cust.carriedWindow != w {
		cust.carriedWindow, cust.carriedAt = w, math.MaxInt64
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
		if cust.levelCallPending = false; ev.Status == OK {
			b.creditLease(call, ev.Total, b.now)
		}
	case call.kind == forFix || call.kind == forFixed:
		if ev.Status != OK || ev.Total > call.firstTotal || call.window != int64(b.now/counterWindow) {
			return
		}
		if call.kind == forFix && b.leaseTerms[cust.plan].Rate > 0 && call.sentAt%fixEach < fixEdge*b.settings.CounterTimeout {
			b.callPreviousCorrectionLock(cust, call)
			return
		}
		if b.leaseTerms[cust.plan].Rate == 0 {
			b.callCounter(cust, 0, call.amount, 0)
		} else {
			b.addSurplus(cust, call.window, call.amount, call.total)
		}
	case call.kind == forRight:
		if ev.Status == OK && call.window == int64(b.now/counterWindow) && ev.Total-call.firstTotal-call.amount > fixTwice*call.amount {
			b.callCounter(cust, 0, -call.amount, 0)
		}
	case cust.carriedWindow != call.window:
	case ev.Status != OK:
		cust.carriedWindow = 0 // asked again with the next lease
	case call.kind == forFirst && ev.Total > 1:
		cust.carriedAt = b.now + carryTime
	case call.kind == forFirst:
		b.callPreviousWindow(cust, call.window)
	default:
		lacks := min(plan.Burst+plan.Rate*carryMost.Seconds(), ev.Total-plan.Rate*counterWindow.Seconds())
		if filled := plan.Rate * (call.sentAt - time.Duration(call.window)*counterWindow).Seconds(); filled > plan.Burst*overfullLent {
			lacks -= filled // before anybody asked in this window: that was put right as a surplus
		}
		if lacks > 0 {
			b.callCounter(cust, 0, lacks, 0)
		}
		if cust.carriedAt = b.now + carryTime; ev.Total == 0 { // nobody asked, or the counter has lost it
			cust.carriedAt = b.now + time.Duration(plan.CeilingBurst/plan.CeilingRate*float64(time.Second))
		}
	}
}

// leaseCeiling says whether what was leased beyond the quota has a request's units, and asks for more.
func (b *Balancer) leaseCeiling(req *request, t *ceilinglease.Terms, late bool) quotaDecision {
	cust := req.customer
	plan := &b.settings.Plans[req.plan]
	switch {
	case plan.Rate > 0 && plan.OverQuotaWeight <= plan.OverQuotaCost:
		return quotaExceeded
	case cust.ceilingLease.Has(*t, b.now, !req.admitOnly, cust.admitOnlyFraction()) >= req.units:
		return quotaCovered
	case late:
		return quotaExceeded
	case cust.ceilingLease.Asking():
		return quotaPending
	case req.admitOnly && req.leaseRequested:
		return quotaExceeded
	}
	if b.canCallCounter() {
		if block := cust.ceilingLease.Ask(*t, b.now, req.units, cust.demand); block > 0 {
			b.callCeilingLease(cust, *t, block)
			req.leaseRequested = true
			return quotaPending
		}
	}
	if req.admitOnly || cust.ceilingLease.Opens(*t, b.now).Seconds() > req.timeLimit.Seconds()*maxCeilingWaitFraction {
		return quotaExceeded
	}
	return quotaPending
}

// drawCeiling takes the units of a first attempt out of the ceiling; false: they are not there any more. What is
// lent is taken from this door's even share too, which may go so far below nothing that all doors' shares
// together are as empty as the ceiling's store can be.
func (b *Balancer) drawCeiling(req *request, plan *Plan) bool {
	cust := req.customer
	if plan.CeilingRate == 0 {
		return true
	}
	have := b.refillCeiling(cust, plan)
	switch t := &b.leaseTerms[req.plan]; {
	case req.ceilingSource == fromQuota && b.hasSparseShares(cust, plan):
		return true
	case req.ceilingSource == fromEvenShare && req.leaseWindow > 0: // its turn was there when it was placed
		if cust.lastTurn >= req.leaseWindow {
			return false
		}
		cust.lastTurn = req.leaseWindow
		return true
	case req.ceilingSource == fromEvenShare:
		if have < req.units {
			return false
		}
		cust.ceilingTokens -= req.units
		if req.admitOnly {
			cust.ceilingKept = max(0, cust.ceilingKept-req.units)
		}
		return true
	case req.ceilingSource == fromLease && t.Index(b.now) != req.leaseWindow:
		if cust.ceilingLease.Has(*t, b.now, !req.admitOnly, cust.admitOnlyFraction()) < req.units {
			return false
		}
		req.leaseWindow = cust.ceilingLease.Take(*t, b.now, req.units, !req.admitOnly)
	}
	cust.ceilingTokens = max(b.ceilingShare(cust, plan).Depth-plan.CeilingBurst, cust.ceilingTokens-req.units)
	return true
}

// callCeilingLease asks the counter for units of a customer's ceiling beyond the quota, in the window of now.
func (b *Balancer) callCeilingLease(cust *customer, t ceilinglease.Terms, block float64) {
	window := t.Index(b.now)
	name := counterName(fmt.Sprint(cust.name, " beyond ", t.Window), window) // doors with other terms share nothing
	b.callsOut[name] = append(b.callsOut[name], &counterCall{customer: cust, block: block, window: window, sentAt: b.now, kind: forLease})
	b.emit(CounterAdd{name, block, t.Keep(), 0})
}

// callFirstInWindow asks whether this door is the first that asks in a window of a customer's store.
func (b *Balancer) callFirstInWindow(cust *customer, window int64) {
	b.callAuxiliary(cust, forFirst, window, counterName(cust.name+" first", window), 1)
}

// callPreviousWindow asks what the window before one came to.
func (b *Balancer) callPreviousWindow(cust *customer, window int64) {
	b.callAuxiliary(cust, forLast, window, counterName(cust.name, window-1), 0)
}

// callTest asks the counter for no customer.
func (b *Balancer) callTest() {
	b.callAuxiliary(nil, forTest, 0, counterName("test", int64(b.settings.Index)), 0)
}

// callStoreLevel asks what a customer's store holds.
func (b *Balancer) callStoreLevel(cust *customer) {
	window := int64(b.now / counterWindow)
	b.callAuxiliary(cust, forLevel, window, counterName(cust.name, window), 0)
}

// storeAfterPeers is what a store holds whose number is still to be put right, by what this door last knew of it and what the number has
// gained since: that others have taken.
func (b *Balancer) storeAfterPeers(cust *customer, call *counterCall, total float64) float64 {
	if b.leaseTerms[cust.plan].Rate == 0 || !cust.storeKnown || cust.seenWindow != call.window {
		return math.Inf(1)
	}
	plan := &b.settings.Plans[cust.plan]
	return max(-plan.Burst/2, cust.storeLevel+plan.Rate*(b.now-cust.storeLevelAt).Seconds()-max(0, total-call.amount-cust.seenTotal))
}

// acceptedTokens is what a door takes of a block, of which the store has so much. Where the ceiling is lent tokens are not given back, so a part of a
// unit stays in the store: here it would mostly lie until it is lost.
func (b *Balancer) acceptedTokens(call *counterCall, has float64) float64 {
	got := max(0, min(call.block, has))
	if got < call.block && b.leaseTerms[call.customer.plan].Rate > 0 {
		got = min(got, max(0, math.Floor(got+call.customer.tokens)-call.customer.tokens))
	}
	return got
}

// pauseSpread is by what a pause is longer after which an empty store is looked at again. Doors that lend look each at its own time: else the same one
// would find each unit first, for as long as all keep to their pace.
func (b *Balancer) pauseSpread(cust *customer) float64 {
	if b.leaseTerms[cust.plan].Rate == 0 {
		return 1
	}
	return pauseApart + 2*(1-pauseApart)*b.rng.Float64()
}

// correctStore puts a store's number right by what it holds too much, and returns what this door takes it to hold. Where the ceiling hangs on it only
// one door does: in a new window the first that asks, by what the last one came to, later the first that asks for leave. All doors may see the
// same surplus within one round trip, however calm the customer is. Who saw the store before anybody took of it adds at once, as it alone knows
// what that held; so does the door of a calm customer, which saves calls. Whoever adds takes it back where the answer tells that another door
// had added it already.
func (b *Balancer) correctStore(cust *customer, call *counterCall, held, most, total float64) float64 {
	plan := &b.settings.Plans[cust.plan]
	lent, first, calm := b.leaseTerms[cust.plan].Rate > 0, cust.seenWindow != call.window, cust.demand*cust.gateways < plan.Rate
	seen := cust.storeKnown && b.now-cust.storeLevelAt < trusted && call.kind != forLevel
	least := most
	if cust.storeKnown && !calm {
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
	case calm && !seen: // a flood that begins at all doors at once looks like this at first, and what this door may take is known without
	case cust.carriedWindow == call.window && b.now >= cust.carriedAt && (!first || calm):
		b.callCorrectionLock(cust, call.window, held-least, total)
		return least
	default:
		b.learnStore(cust)
		return least
	}
	return most
}

// isOnlyUser says that nobody else has taken of a store since this door knew what it held: by a number that this door began, or that has gained
// nothing besides since this door looked at it.
func (b *Balancer) isOnlyUser(cust *customer, call *counterCall, total float64) bool {
	const some = 1e-6
	return call.kind == forTokens && (total <= call.amount+some || cust.storeKnown && cust.seenWindow == call.window && total-call.amount <= cust.seenTotal+some)
}

// storeAtLeast is what a store whose number is still to be put right holds at least, by what this door last knew and what others have taken since then:
// just now, it may be, when the store had long been full.
func (b *Balancer) storeAtLeast(cust *customer, call *counterCall, total float64) float64 {
	plan := &b.settings.Plans[cust.plan]
	if cust.seenWindow == call.window {
		total -= cust.seenTotal
	}
	return max(-plan.Burst/2, b.currentStoreLevel(cust, plan)-max(0, total-call.amount))
}

// addSurplus adds to a store's number what it holds too much, when the number came to a total.
func (b *Balancer) addSurplus(cust *customer, window int64, amount, total float64) {
	r := b.callAuxiliary(cust, forRight, window, counterName(cust.name, window), amount)
	r.amount, r.firstTotal = amount, total
}

// callCorrectionLock asks for leave to add to a store's number what it holds over its burst, or seems to have gained. Doors that see it
// at the same moment, as after a pause of the customer's, must not all add it: the store would be empty for as long again.
func (b *Balancer) callCorrectionLock(cust *customer, window int64, amount, total float64) {
	call := b.callAuxiliary(cust, forFix, window, counterName(cust.name+" fix", int64(b.now/fixEach)), 1)
	call.amount, call.firstTotal, call.total = amount, 1, total
}

// callPreviousCorrectionLock asks whether a door was given that leave in the stretch before this one: two that see the same store on both sides of an
// edge would each be the first in theirs.
func (b *Balancer) callPreviousCorrectionLock(cust *customer, call *counterCall) {
	f := b.callAuxiliary(cust, forFixed, call.window, counterName(cust.name+" fix", int64(call.sentAt/fixEach)-1), 0)
	f.amount, f.total = call.amount, call.total
}

func (b *Balancer) callAuxiliary(cust *customer, kind callKind, window int64, name uint64, amount float64) *counterCall {
	call := &counterCall{customer: cust, window: window, sentAt: b.now, kind: kind}
	b.callsOut[name] = append(b.callsOut[name], call)
	b.emit(CounterAdd{name, amount, counterTTL, 0})
	return call
}

// quotaMayCover says whether a request may be inside the quota, by what this door knows.
func (b *Balancer) quotaMayCover(req *request, plan *Plan) bool {
	return plan.Rate > 0 && (req.customer.tokens >= req.units || req.customer.callPending || b.now >= req.customer.storeEmptyUntil)
}
