package ceilinglease

import (
	"math"
	"time"
)

// leaseParts is the number of leases that use up a window: no gateway takes more at once, so that the next finds some.
const leaseParts = 3.0

// Use is how leased units are used.
type Use int

const (
	// QueuedUse is that of requests that may wait in a queue.
	QueuedUse Use = iota
	// ImmediateUse is that of requests that can't wait.
	ImmediateUse
)

// Lease is what one gateway has of one customer's windows. The zero value has nothing.
type Lease struct {
	// window is the number of the window that the other values belong to.
	window int64
	// unspent is the number of units not yet spent.
	unspent float64
	// granted is the number of units that this window gave.
	granted float64
	// queuedUse is the number of them that queued requests spent or hold.
	queuedUse float64
	// exhausted is true when the window has no more.
	exhausted bool
	// requestPending is true while the counter's answer is awaited.
	requestPending bool
	// retryAt is the time before which nothing is asked for, as a call has failed.
	retryAt time.Duration
}

// advance moves on to the window of a time. What was left of another window is void.
func (lease *Lease) advance(terms Terms, now time.Duration) {
	if window := terms.WindowIndex(now); window != lease.window {
		*lease = Lease{window: window, requestPending: lease.requestPending, retryAt: lease.retryAt}
	}
}

// Available is how many units may be spent now. reserved is the part of a window's units, from 0 to 1, that is left to
// ImmediateUse, as queued requests would else take all at each window's beginning.
func (lease *Lease) Available(terms Terms, now time.Duration, use Use, reserved float64) float64 {
	lease.advance(terms, now)
	if use == ImmediateUse {
		return lease.unspent
	}
	// Most requests take one unit, so of a single one queued requests have all.
	limit := math.Ceil(lease.granted * (1 - reserved))
	return max(0, min(lease.unspent, limit-lease.queuedUse))
}

// Spend takes units that Available has told of and returns their window, in which they must go out.
func (lease *Lease) Spend(terms Terms, now time.Duration, units float64, use Use) int64 {
	lease.advance(terms, now)
	lease.unspent -= units
	if use == QueuedUse {
		lease.queuedUse += units
	}
	return lease.window
}

// Return gives back units of a window that did not go out.
func (lease *Lease) Return(terms Terms, now time.Duration, window int64, units float64, use Use) {
	lease.advance(terms, now)
	if lease.window != window {
		return
	}
	lease.unspent += units
	if use == QueuedUse {
		lease.queuedUse -= units
	}
}

// RequestSize is how many units to add on the counter now for a request's units and a demand in units a second; 0:
// none. Otherwise Grant or RecordFailure must follow.
func (lease *Lease) RequestSize(terms Terms, now time.Duration, units, demand float64) float64 {
	lease.advance(terms, now)
	if lease.requestPending || lease.exhausted || now < lease.retryAt {
		return 0
	}
	lease.requestPending = true
	expected := math.Ceil(min(demand*terms.WindowTimeLeft(now).Seconds(), terms.UnitsPerWindow/leaseParts))
	return min(terms.UnitsPerWindow, max(units, expected))
}

// Grant takes the counter's answer to a block that was added in a window: the total with it. It returns what the
// gateway has got; nothing of a window that is over.
func (lease *Lease) Grant(terms Terms, now time.Duration, window int64, block, total float64) float64 {
	lease.requestPending = false
	lease.advance(terms, now)
	if lease.window != window {
		return 0
	}
	granted := max(0, min(block, terms.UnitsPerWindow-(total-block)))
	lease.unspent += granted
	lease.granted += granted
	if total >= terms.UnitsPerWindow {
		lease.exhausted = true
	}
	return granted
}

// RecordFailure takes a call's failure, after which nothing is asked for until the pause is over. Whether the block
// was added is not known, so nothing was got.
func (lease *Lease) RecordFailure(now, pause time.Duration) {
	lease.requestPending = false
	lease.retryAt = now + pause
}

// WaitTime is how long it takes until units may be there: 0 unless the window has no more.
func (lease *Lease) WaitTime(terms Terms, now time.Duration) time.Duration {
	lease.advance(terms, now)
	if !lease.exhausted {
		return 0
	}
	return terms.WindowTimeLeft(now)
}

// IsRequestPending reports whether the counter's answer is awaited.
func (lease *Lease) IsRequestPending() bool { return lease.requestPending }
