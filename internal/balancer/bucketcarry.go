package balancer

import (
	"math"
	"time"
)

// Parameters for carrying a token bucket's deficit from one counter window into the next.
const (
	// carryDelay is how long the other gateways wait for the gateway that carries the deficit.
	carryDelay = 100 * time.Millisecond
	// maxCarriedTime limits the carried deficit to one burst plus the units that the rate adds in this time.
	maxCarriedTime = 3 * time.Second
)

// syncBucket makes sure that a customer's bucket level is known and that the deficit of the previous counter window is
// carried into the current one. Only plans with a leased ceiling need it.
//
// Each counter window starts with a total of 0, and when demand moves between many gateways, no single gateway may know
// the previous level. The first gateway that calls in a window fetches the previous window's total and adds the
// deficit. The other gateways wait carryDelay for that to happen.
func (b *Balancer) syncBucket(cust *customer) {
	terms := b.callTermsOf(cust.plan)
	if !terms.ceilingLeased || !b.canCallCounter() {
		return
	}
	if !cust.bucket.known && !cust.bucket.levelCallPending {
		cust.bucket.levelCallPending = true
		b.callBucketLevel(cust, terms)
	}
	if window := counterWindowAt(b.now); cust.bucket.carriedWindow != window {
		cust.bucket.setCarried(window, math.MaxInt64)
		b.callFirstInWindow(cust, terms, window)
	}
}

// callBucketLevel requests the level of a customer's bucket.
func (b *Balancer) callBucketLevel(cust *customer, terms callTerms) {
	window := counterWindowAt(b.now)
	b.sendCall(cust, terms, bucketLevelCall, window, counterName(cust.name, window), 0)
}

// callFirstInWindow asks the counter whether this gateway is the first to carry a customer's bucket into a window.
func (b *Balancer) callFirstInWindow(cust *customer, terms callTerms, window int64) {
	b.sendCall(cust, terms, windowFirstCall, window, counterName(cust.name+" first", window), 1)
}

// callPreviousWindow requests the total of the window before the one in which this gateway was found to be the first.
func (b *Balancer) callPreviousWindow(first *counterCall) {
	cust, window := first.customer, first.window
	b.sendCall(cust, first.terms, previousWindowCall, window, counterName(cust.name, window-1), 0)
}

// handleBucketCall processes the result of a call that concerns a customer's bucket but leases no tokens.
func (b *Balancer) handleBucketCall(call *counterCall, ev CounterResult) {
	bucket := &call.customer.bucket
	switch {
	case call.kind == bucketLevelCall:
		bucket.levelCallPending = false
		if ev.Status == OK {
			b.creditLease(call, ev.Total, b.now)
		}
	case call.kind == correctionLockCall || call.kind == previousLockCall:
		b.handleCorrectionLock(call, ev)
	case call.kind == surplusCall:
		b.handleSurplus(call, ev)
	case bucket.carriedWindow != call.window:
		// The result is outdated: a later window has started.
	case ev.Status != OK:
		bucket.setCarried(0, bucket.carriedAt) // the next lease retries
	case call.kind == windowFirstCall && ev.Total > 1:
		bucket.setCarried(call.window, b.now+carryDelay)
	case call.kind == windowFirstCall:
		b.callPreviousWindow(call)
	default:
		b.carryBucket(call, ev.Total)
	}
}

// carryBucket adds the bucket's deficit at the end of the previous window to the total of the call's window. A
// previousTotal of 0 means that no gateway called in that window, or that the counter has lost its total. The level
// then counts as carried only after the time in which the ceiling fills.
func (b *Balancer) carryBucket(call *counterCall, previousTotal float64) {
	cust, plan := call.customer, call.terms.plan
	maxDeficit := plan.Burst + plan.Rate*maxCarriedTime.Seconds()
	deficit := min(maxDeficit, previousTotal-plan.Rate*counterWindow.Seconds())
	filled := plan.Rate * (call.sentAt - windowStart(call.window)).Seconds()
	if filled > plan.Burst*leasedSurplusTolerance {
		deficit -= filled // already corrected as a surplus
	}
	if deficit > 0 {
		b.callCounter(cust, call.terms, 0, deficit)
	}
	delay := carryDelay
	if previousTotal == 0 {
		fillSeconds := plan.CeilingBurst / plan.CeilingRate
		delay = time.Duration(fillSeconds * float64(time.Second))
	}
	cust.bucket.setCarried(call.window, b.now+delay)
}

// setCarried records the window into which the deficit is carried, and the time from which that window's total includes
// it.
func (bucket *sharedBucket) setCarried(window int64, at time.Duration) {
	bucket.carriedWindow = window
	bucket.carriedAt = at
}
