// Package ceilinglease is the arithmetic by which front doors share what a hard ceiling allows beyond the quota: units
// are leased from one number on the shared counter in tumbling windows, so the whole of it is there for whichever door
// has the demand.
//
// A ceiling is a store of units (rate C, depth D, starts full). Inside the quota (rate R, burst B) the quota's own
// ledger on
// the counter bounds what all doors send on: R*t+B in any time t. What is left for the rest is X = C-R a second and
// Dx = (D-B)/1.5 at once. Time is cut into windows of W = Dx/(2X), and in each window all doors together may send Dx/2
// = X*W
// (in whole units, and W as much shorter).
// Any time t touches t/W+2 windows at most, so no more than X*t+Dx goes out in it: that of a store, without one number
// that must be carried from window to window, corrected, or found again by a door that has lost its memory. Of D-B,
// Dx/2 is left
// over for the one window in which the counter loses its numbers.
//
// Nothing here does input or output; the time is handed in and is one clock for all doors. A clock that is off by e
// lets
// X*e more go out, once.
package ceilinglease

import (
	"math"
	"time"
)

// Terms are what doors agree on for a plan. The zero value lends nothing.
type Terms struct {
	Rate   float64       // X: units a second beyond the quota
	Each   float64       // units that one window gives to all doors
	Window time.Duration // W
}

// Parts by which a lease is sized; ours.
const (
	lostOnce = 1.5                   // the depth is divided by this, for one loss of the counter
	parts    = 3.0                   // no door takes more than one of so many parts of a window at once: the next finds some
	shortest = 50 * time.Millisecond // a window shorter than this costs more calls than it is worth
)

// TermsOf makes the terms of a plan: the quota's rate and burst, the ceiling's rate and depth, and the units that one
// window must give at least. A request of more units than Each goes out inside the quota only. ok: no; the plan leaves
// nothing to
// lend, or so little that it is not worth the calls.
func TermsOf(rate, burst, ceilingRate, ceilingDepth, leastUnits float64) (t Terms, ok bool) {
	x, depth := ceilingRate-rate, (ceilingDepth-burst)/lostOnce
	if !(x > 0) || !(depth > 0) || math.IsInf(x, 0) || math.IsInf(depth, 0) {
		return Terms{}, false
	}
	each := depth / 2
	if each >= 1 {
		each = math.Floor(each) // most requests take whole units, and what is left of one in each window would be lost
	}
	t = Terms{Rate: x, Each: each, Window: time.Duration(each / x * float64(time.Second))}
	if t.Each < leastUnits || t.Window < shortest || t.Window > time.Hour {
		return Terms{}, false
	}
	return t, true
}

// Index is the number of the window at a time.
func (t Terms) Index(now time.Duration) int64 { return int64(now / t.Window) }

// Left is the time until the window ends.
func (t Terms) Left(now time.Duration) time.Duration { return t.Window - now%t.Window }

// Keep is how long the counter must keep a window's number: a door whose clock is behind still finds it.
func (t Terms) Keep() time.Duration { return min(time.Minute, 4*t.Window+time.Second) }

// Lease is what one door has of one customer's windows. The zero value has nothing.
type Lease struct {
	window int64
	have   float64 // units not yet spent
	got    float64 // units that this window gave
	line   float64 // of them, spent or held by what may wait in line
	shut   bool    // the window has no more
	asking bool
	again  time.Duration // not asked before this: a call has failed
}

// at moves on to the window of a time. What was left of another one is void.
func (l *Lease) at(t Terms, now time.Duration) {
	if k := t.Index(now); k != l.window {
		*l = Lease{window: k, asking: l.asking, again: l.again}
	}
}

// Has is how many units may be spent now by something that may wait (line) or may not: of a window's units the part
// kept is
// left to what can't wait, as the line would else take all at each window's beginning.
func (l *Lease) Has(t Terms, now time.Duration, line bool, kept float64) float64 {
	l.at(t, now)
	if line {
		return max(0, min(l.have, math.Ceil(l.got*(1-kept))-l.line)) // of one unit the line has all: most take one
	}
	return l.have
}

// Take spends units that Has told of and returns their window, in which they must go out.
func (l *Lease) Take(t Terms, now time.Duration, units float64, line bool) int64 {
	l.at(t, now)
	l.have -= units
	if line {
		l.line += units
	}
	return l.window
}

// Give gives units back that did not go out.
func (l *Lease) Give(t Terms, now time.Duration, window int64, units float64, line bool) {
	if l.at(t, now); l.window != window {
		return
	}
	l.have += units
	if line {
		l.line -= units
	}
}

// Ask says how many units to add on the counter now for a demand in units a second; 0: none. An answer is awaited then.
func (l *Lease) Ask(t Terms, now time.Duration, units, demand float64) float64 {
	l.at(t, now)
	if l.asking || l.shut || now < l.again {
		return 0
	}
	l.asking = true
	return min(t.Each, max(units, math.Ceil(min(demand*t.Left(now).Seconds(), t.Each/parts))))
}

// Answered takes the counter's answer to an Ask of a window: the total after the block was added. It returns what the
// door
// has got.
func (l *Lease) Answered(t Terms, now time.Duration, window int64, block, total float64) float64 {
	l.asking = false
	if l.at(t, now); l.window != window {
		return 0 // it came too late to go out
	}
	got := max(0, min(block, t.Each-(total-block)))
	l.have += got
	l.got += got
	if total >= t.Each {
		l.shut = true
	}
	return got
}

// Failed takes a call's failure: whether the block was added is not known, so nothing was got.
func (l *Lease) Failed(now, pause time.Duration) {
	l.asking, l.again = false, now+pause
}

// Opens is how long it takes until units may be there: 0 unless the window has no more.
func (l *Lease) Opens(t Terms, now time.Duration) time.Duration {
	if l.at(t, now); !l.shut {
		return 0
	}
	return t.Left(now)
}

// Asking says that an answer is awaited.
func (l *Lease) Asking() bool { return l.asking }

// Turns are how many doors share a store of which each would hold less than a unit: a door has a unit at a time of its
// own, for a
// while, and what it has not used by then is gone. Rate and depth are the store's, for all doors together.
type Turns struct {
	every, open time.Duration // from one turn of a door to the next; of it, how long the unit is there
	doors       int64
}

// TurnsOf is what doors have of a store; false: each holds a unit or more, or there is nothing to hold. The turns of
// all doors
// are spread evenly, so in any time t they are at most rate*t+depth, and one more for the instant at which they begin.
func TurnsOf(rate, depth, doors float64) (Turns, bool) {
	n := math.Ceil(doors)
	if !(rate > 0 && depth > 0 && n >= 1) || depth >= n {
		return Turns{}, false
	}
	every := n / rate * float64(time.Second)
	if !(every < float64(math.MaxInt64/4)) || every < 1 {
		return Turns{}, false
	}
	return Turns{time.Duration(every), time.Duration(every * depth / n), int64(n)}, true
}

// Now is the number of a door's turn at a time, and whether its unit is there.
func (t Turns) Now(now time.Duration, rank int) (turn int64, open bool) {
	first := t.every / time.Duration(t.doors) * time.Duration(int64(max(0, rank))%t.doors)
	since := now - first
	turn = int64(since / t.every)
	if since < 0 {
		return turn - 1, false
	}
	return turn, since%t.every < t.open
}
