// Package ceilinglease is the arithmetic by which gateways share what a hard ceiling allows beyond the quota: units
// are leased from one total on the shared counter in tumbling windows, so all of it is there for whichever gateway has
// the demand.
//
// A ceiling is a token bucket (rate C, depth D, starts full). Inside the quota (rate R, burst B) the quota's own
// bucket on the counter bounds what all gateways send on: R*t+B in any time t. What is left for the rest is X = C-R a
// second and Dx = (D-B)/1.5 at once. Time is cut into windows of W = Dx/(2X), and in each window all gateways together
// may send Dx/2 = X*W (in whole units, and W as much shorter). Any time t touches t/W+2 windows at most, so no more
// than X*t+Dx goes out in it: that of a bucket, without one total that must be carried from window to window,
// corrected, or found again by a gateway that has lost its memory. Of D-B, Dx/2 is left over for the one window in
// which the counter loses its totals.
//
// Nothing here does input or output. The time is handed in and is one clock for all gateways; a clock that is off by e
// lets X*e more go out, once.
package ceilinglease

import (
	"math"
	"time"
)

const (
	// counterLossFactor divides the depth beyond the quota, so that a third is left for one loss of the counter.
	counterLossFactor = 1.5
	// minWindow is the shortest window that is worth its calls.
	minWindow = 50 * time.Millisecond
	// maxWindow is the longest window.
	maxWindow = time.Hour
	// minCounterTTL is how long the counter keeps a window's total at least, beside the windows themselves.
	minCounterTTL = time.Second
	// counterTTLWindows is the number of windows for which it keeps it besides.
	counterTTLWindows = 4
	// maxCounterTTL is how long it keeps a total at most.
	maxCounterTTL = time.Minute
)

// Terms are what gateways agree on for a plan. The zero value leases nothing.
type Terms struct {
	// Rate is X, the rate beyond the quota in units a second.
	Rate float64
	// UnitsPerWindow is the number of units that one window gives to all gateways.
	UnitsPerWindow float64
	// Window is W.
	Window time.Duration
}

// TermsOf makes the terms of a plan from the quota's rate and burst, the ceiling's rate and depth, and the units that
// one window must give at least. A request of more units than UnitsPerWindow goes out inside the quota only. ok is
// false for a plan that leaves nothing beyond the quota, or so little that it is not worth the calls.
func TermsOf(rate, burst, ceilingRate, ceilingDepth, minUnits float64) (terms Terms, ok bool) {
	excess := ceilingRate - rate
	depth := (ceilingDepth - burst) / counterLossFactor
	if !(excess > 0) || !(depth > 0) || math.IsInf(excess, 0) || math.IsInf(depth, 0) {
		return Terms{}, false
	}
	units := depth / 2
	if units >= 1 {
		units = math.Floor(units) // most requests take whole units, and a rest in each window would be lost
	}
	window := time.Duration(units / excess * float64(time.Second))
	if units < minUnits || window < minWindow || window > maxWindow {
		return Terms{}, false
	}
	return Terms{Rate: excess, UnitsPerWindow: units, Window: window}, true
}

// WindowIndex is the number of the window at a time.
func (terms Terms) WindowIndex(now time.Duration) int64 { return int64(now / terms.Window) }

// WindowTimeLeft is the time until the window ends.
func (terms Terms) WindowTimeLeft(now time.Duration) time.Duration {
	return terms.Window - now%terms.Window
}

// CounterTTL is how long the counter must keep a window's total, so that a gateway whose clock is behind finds it.
func (terms Terms) CounterTTL() time.Duration {
	return min(maxCounterTTL, counterTTLWindows*terms.Window+minCounterTTL)
}
