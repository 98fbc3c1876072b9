// Package quotashare is the arithmetic of what one door may hand out of a store that all doors have in common, while
// the doors'
// views of each other change and differ.
//
// A ceiling's store (rate C, depth D) is cut into two. The kept part belongs to the doors of the list for good, evenly:
// no door ever takes another's, so a door that is alone keeps its own. The rest is leased: a door has the part w of it
// for as long as its lease lasts, and whoever gives leases sees to it that those of all doors are 1 together at most at
// each instant (package
// seats). So at each instant the doors' rates are C together at most and their depths D, whatever each believes.
//
// That bounds what goes out in any time t by C*t+D as long as a door's store (1) never holds more than its depth of the
// moment, (2) fills by its rate of the moment, and (3) gains nothing at once when its part grows: then, at the
// beginning of that time all doors together hold D at most, and fill by C at most. [View] keeps what is needed for it:
// when its part grew last, as a store
// that is met for the first time has filled only since then.
//
// Requests that are open go on under the part that they came with. So a part that has grown counts for caps on what is
// open at
// once only after the longest time that a request may be open: until then another door may have requests open under it.
//
// Nothing here does input or output; the time is handed in. It has to be one that runs on while a process is stopped.
package quotashare

import "time"

// Rule says what of a ceiling a door keeps that no lease stands behind.
type Rule int

const (
	KeepQuota Rule = iota // its even part of what the quota allows: a door that is alone serves that much
	KeepAll               // its even part of all: nobody ever takes a dead door's part
	KeepNone              // nothing: a dead door's whole part is taken over, and a door that is alone has none
)

// Store is a ceiling's store, or one door's part of one.
type Store struct {
	Rate  float64 // units a second
	Depth float64 // units
}

// Of is a door's part of a ceiling's store. The quota's rate and burst are what KeepQuota keeps; even is the even part
// of each
// door, at most 1; part is what is leased, from 0 to 1.
func (r Rule) Of(ceiling, quota Store, even, part float64) Store {
	var kept Store
	switch r {
	case KeepQuota:
		kept = Store{min(quota.Rate, ceiling.Rate), min(quota.Depth, ceiling.Depth)}
	case KeepAll:
		kept = ceiling
	}
	return Store{kept.Rate*even + (ceiling.Rate-kept.Rate)*part, kept.Depth*even + (ceiling.Depth-kept.Depth)*part}
}

// Among is a door's part for a customer that comes through some of all doors only. The doors that it comes through
// can't take
// over from one that it does not, so none has more than its even part of these.
func Among(part float64, some, all float64) float64 {
	if some >= all {
		return part
	}
	return min(1, part*all) / some
}

// View is what a door has leased. The zero value has nothing.
type View struct {
	part     float64
	until    time.Duration
	grewAt   time.Duration
	low      float64 // the part for caps on what is open at once ...
	lowUntil time.Duration
}

// Part is the part at a time. A lease that is over is worth nothing.
func (v *View) Part(now time.Duration) float64 {
	if now >= v.until {
		return 0
	}
	return v.part
}

// Until is when the lease ends.
func (v *View) Until() time.Duration { return v.until }

// GrewAt is when the part last grew: a store that was never touched has been filling by it since then.
func (v *View) GrewAt() time.Duration { return v.grewAt }

// Ended says that the lease has ended since it was last looked at. The caller settles its stores as of Until first.
func (v *View) Ended(now time.Duration) bool { return v.part > 0 && now >= v.until }

// Take takes a part from now on. Longest is how long a request may be open. It returns whether the part differs from
// the one before.
func (v *View) Take(now time.Duration, part float64, until time.Duration, longest time.Duration) bool {
	part = max(0, min(1, part))
	if now >= until {
		part = 0
	}
	was := v.Part(now)
	if v.Ended(now) {
		v.low = 0
	}
	switch {
	case part > was:
		v.low, v.grewAt, v.lowUntil = min(v.Open(now), was), now, now+longest
	case part < was:
		v.low = min(v.low, part)
		if now >= v.lowUntil {
			v.low = part
		}
	}
	changed := part != v.part
	v.part, v.until = part, until
	return changed
}

// Open is the part for caps on what is open at once.
func (v *View) Open(now time.Duration) float64 {
	if p := v.Part(now); now >= v.lowUntil || p < v.low {
		return p
	}
	return v.low
}
