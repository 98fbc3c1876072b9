package ceilinglease

import (
	"math"
	"time"
)

// leasesPerWindow is the number of leases that use up a window. It limits the size of a lease so that the next gateway
// still finds units.
const leasesPerWindow = 3.0

// Use is the purpose for which leased units are spent.
type Use int

const (
	// QueuedUse is for requests that may wait in a queue.
	QueuedUse Use = iota
	// ImmediateUse is for requests that cannot wait.
	ImmediateUse
)

// Lease holds the units that one gateway has leased from one customer's ceiling. The zero value holds none.
type Lease struct {
	// window is the index of the window to which the other values belong.
	window int64
	// unspent is the number of units that have not been spent yet.
	unspent float64
	// granted is the number of units that were granted in this window.
	granted float64
	// queuedUse is the number of granted units that queued requests have spent or reserved.
	queuedUse float64
	// exhausted is true if the window has no more units.
	exhausted bool
	// requestPending is true while the counter's answer is outstanding.
	requestPending bool
	// retryAt is the time before which no units are requested because a call has failed.
	retryAt time.Duration
}

// advance moves to the window that contains now. Units left from another window expire.
func (lease *Lease) advance(terms Terms, now time.Duration) {
	if window := terms.WindowIndex(now); window != lease.window {
		*lease = Lease{window: window, requestPending: lease.requestPending, retryAt: lease.retryAt}
	}
}

// Available returns how many units may be spent now. reserved is the fraction of a window's units, from 0 to 1, that is
// kept for ImmediateUse. Without it, queued requests would take all units at the start of each window.
func (lease *Lease) Available(terms Terms, now time.Duration, use Use, reserved float64) float64 {
	lease.advance(terms, now)
	if use == ImmediateUse {
		return lease.unspent
	}
	// Rounding up lets queued requests use a single granted unit, since most requests take one unit.
	limit := math.Ceil(lease.granted * (1 - reserved))
	return max(0, min(lease.unspent, limit-lease.queuedUse))
}

// Spend spends units that Available has reported and returns the window in which they must be used.
func (lease *Lease) Spend(terms Terms, now time.Duration, units float64, use Use) int64 {
	lease.advance(terms, now)
	lease.unspent -= units
	if use == QueuedUse {
		lease.queuedUse += units
	}
	return lease.window
}

// Return gives back unused units of a window.
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

// RequestSize returns how many units to request from the counter now, given the units of a request and the demand in
// units per second. If the result is not 0, Grant or RecordFailure must follow.
func (lease *Lease) RequestSize(terms Terms, now time.Duration, units, demand float64) float64 {
	lease.advance(terms, now)
	if lease.requestPending || lease.exhausted || now < lease.retryAt {
		return 0
	}
	lease.requestPending = true
	expected := math.Ceil(min(demand*terms.WindowTimeLeft(now).Seconds(), terms.UnitsPerWindow/leasesPerWindow))
	return min(terms.UnitsPerWindow, max(units, expected))
}

// Grant processes the counter's answer to a request for block units that was made in a window. total is the counter's
// total including the block. Grant returns the number of units granted, which is 0 if the window is over.
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

// RecordFailure records a failed call. No units are requested until the pause is over. Whether the counter added the
// block is unknown, so no units are granted.
func (lease *Lease) RecordFailure(now, pause time.Duration) {
	lease.requestPending = false
	lease.retryAt = now + pause
}

// WaitTime returns the time until units may be available, which is 0 unless the window is exhausted.
func (lease *Lease) WaitTime(terms Terms, now time.Duration) time.Duration {
	lease.advance(terms, now)
	if !lease.exhausted {
		return 0
	}
	return terms.WindowTimeLeft(now)
}

// IsRequestPending reports whether the counter's answer is outstanding.
func (lease *Lease) IsRequestPending() bool { return lease.requestPending }
