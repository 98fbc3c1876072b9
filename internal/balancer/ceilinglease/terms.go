// Package ceilinglease lets gateways share the part of a hard ceiling that exceeds the quota. Gateways lease units from
// one total on the shared counter in tumbling windows, so the full amount is available to whichever gateway has the
// demand.
//
// A ceiling is a token bucket (rate C, depth D, initially full). Within the quota (rate R, burst B), the quota's own
// bucket on the counter limits what all gateways forward to R*t+B in any time t. The excess is X = C-R per second and
// Dx = (D-B)/1.5 as a burst. Time is divided into windows of W = Dx/(2X), and all gateways together may forward Dx/2 =
// X*W per window (rounded down to whole units, with W shortened accordingly). Any time t overlaps at most t/W+2
// windows, so at most X*t+Dx is forwarded in it. This is the bound of a token bucket, but no total has to be carried
// from window to window, corrected, or recovered by a gateway that has lost its state. Of D-B, Dx/2 remains as a
// reserve for one window in which the counter loses its totals.
//
// The package performs no I/O. The time is passed in and must come from one clock for all gateways. A clock that is off
// by e allows X*e more to be forwarded, once.
package ceilinglease

import (
	"math"
	"time"
)

const (
	// counterLossFactor divides the depth beyond the quota, which leaves a third of it in reserve for one loss of the
	// counter.
	counterLossFactor = 1.5
	// minWindow is the shortest window that is worth the counter calls.
	minWindow = 50 * time.Millisecond
	// maxWindow is the longest window.
	maxWindow = time.Hour
	// minCounterTTL is the minimum time for which the counter keeps a window's total, in addition to the windows
	// themselves.
	minCounterTTL = time.Second
	// counterTTLWindows is the number of windows added to minCounterTTL.
	counterTTLWindows = 4
	// maxCounterTTL is the maximum time for which the counter keeps a total.
	maxCounterTTL = time.Minute
)

// Terms are the lease parameters of a plan, which all gateways compute alike. The zero value leases nothing.
type Terms struct {
	// Rate is X, the rate beyond the quota in units per second.
	Rate float64
	// UnitsPerWindow is the number of units that all gateways together may lease in one window.
	UnitsPerWindow float64
	// Window is W.
	Window time.Duration
}

// NewTerms computes the terms of a plan from the quota's rate and burst, the ceiling's rate and depth, and the minimum
// number of units per window. A request of more units than UnitsPerWindow can only be forwarded within the quota. ok is
// false if the plan has no excess over the quota, or too little to be worth the counter calls.
func NewTerms(rate, burst, ceilingRate, ceilingDepth, minUnits float64) (terms Terms, ok bool) {
	excess := ceilingRate - rate
	depth := (ceilingDepth - burst) / counterLossFactor
	if !(excess > 0) || !(depth > 0) || math.IsInf(excess, 0) || math.IsInf(depth, 0) {
		return Terms{}, false
	}
	units := depth / 2
	if units >= 1 {
		units = math.Floor(units) // most requests take whole units, so a remainder in each window would be lost
	}
	window := time.Duration(units / excess * float64(time.Second))
	if units < minUnits || window < minWindow || window > maxWindow {
		return Terms{}, false
	}
	return Terms{Rate: excess, UnitsPerWindow: units, Window: window}, true
}

// WindowIndex returns the index of the window that contains now.
func (terms Terms) WindowIndex(now time.Duration) int64 { return int64(now / terms.Window) }

// WindowTimeLeft returns the time until the current window ends.
func (terms Terms) WindowTimeLeft(now time.Duration) time.Duration {
	return terms.Window - now%terms.Window
}

// CounterTTL returns how long the counter must keep a window's total, so that a gateway whose clock is behind still
// finds it.
func (terms Terms) CounterTTL() time.Duration {
	return min(maxCounterTTL, counterTTLWindows*terms.Window+minCounterTTL)
}
