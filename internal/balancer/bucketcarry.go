package balancer

import (
	"math"
	"time"
)

// Carrying of a bucket's level from one window of the counter into the next.
const (
	// carryDelay is the time in which the gateway that carries is expected to be done.
	carryDelay = 100 * time.Millisecond
	// maxCarriedTime is the time in which the rate fills what a bucket may lack beside its burst.
	maxCarriedTime = 3 * time.Second
)

// learnBucket sees to it that a customer's bucket is known, and that what it lacked is carried into this window. It
// matters to plans whose ceiling is leased only.
//
// Each window's total begins anew, and no gateway may know the last one, as the demand moves among many. The first
// gateway that calls in a window asks for the total of the window before and adds what the bucket lacked; the others
// give it the time for that.
func (b *Balancer) learnBucket(cust *customer) {
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

// callBucketLevel asks for the level of a customer's bucket.
func (b *Balancer) callBucketLevel(cust *customer, terms callTerms) {
	window := counterWindowAt(b.now)
	b.sendCall(cust, terms, bucketLevelCall, window, counterName(cust.name, window), 0)
}

// callFirstInWindow asks whether this gateway is the first that carries a customer's bucket into a window.
func (b *Balancer) callFirstInWindow(cust *customer, terms callTerms, window int64) {
	b.sendCall(cust, terms, windowFirstCall, window, counterName(cust.name+" first", window), 1)
}

// callPreviousWindow asks for the total of the window before that of the call by which this gateway is the first.
func (b *Balancer) callPreviousWindow(first *counterCall) {
	cust, window := first.customer, first.window
	b.sendCall(cust, first.terms, previousWindowCall, window, counterName(cust.name, window-1), 0)
}

// handleBucketCall takes the end of a call that is about a customer's bucket and leases no tokens.
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
		// A later window has begun.
	case ev.Status != OK:
		bucket.setCarried(0, bucket.carriedAt) // the next lease asks again
	case call.kind == windowFirstCall && ev.Total > 1:
		bucket.setCarried(call.window, b.now+carryDelay)
	case call.kind == windowFirstCall:
		b.callPreviousWindow(call)
	default:
		b.carryBucket(call, ev.Total)
	}
}

// carryBucket adds to a window's total what the bucket lacked at the end of the window before, whose total is given.
// A total of 0 means that nobody called in that window, or that the counter has lost it.
func (b *Balancer) carryBucket(call *counterCall, previousTotal float64) {
	cust, plan := call.customer, call.terms.plan
	maxLack := plan.Burst + plan.Rate*maxCarriedTime.Seconds()
	lack := min(maxLack, previousTotal-plan.Rate*counterWindow.Seconds())
	filled := plan.Rate * (call.sentAt - windowStart(call.window)).Seconds()
	if filled > plan.Burst*leasedSurplusTolerance {
		lack -= filled // corrected as a surplus already
	}
	if lack > 0 {
		b.callCounter(cust, call.terms, 0, lack)
	}
	delay := carryDelay
	if previousTotal == 0 {
		fillSeconds := plan.CeilingBurst / plan.CeilingRate
		delay = time.Duration(fillSeconds * float64(time.Second))
	}
	cust.bucket.setCarried(call.window, b.now+delay)
}

// setCarried takes the window into which the bucket's level is carried, and from when on its total holds it.
func (bucket *sharedBucket) setCarried(window int64, at time.Duration) {
	bucket.carriedWindow = window
	bucket.carriedAt = at
}
