// Package clockskew judges whether a door's clock can be right, by what the other doors of its fleet say of theirs. Doors name the counter's numbers by the time, so
// one whose clock is an hour off shares no number with the others and lets through all of a quota and of a ceiling for itself.
//
// A door that hears a majority of the list agree with each other and not with itself takes itself for the one that is wrong. Doors that are few, or that do not
// agree, prove nothing: the loss of contact alone takes the counter from nobody. Nothing here does input or output; a [Judge] belongs to one goroutine.
package clockskew

import (
	"slices"
	"time"
)

// Times; ours.
const (
	// MaxSkew is by how much a clock may differ: what a clock that is off by it lets out too much once (its ceiling's rate times Most) is of the order of
	// what calls that cross do.
	MaxSkew = time.Second
	// each is the length of a stretch over which what a door said of its clock is kept; the last one counts, too. Of what is said in it the soonest to come
	// tells most.
	each = 5 * time.Second
	// settles is how long a majority must say so: a process that was stopped first hears what is seconds old.
	settles = 500 * time.Millisecond
)

// Detector is what one door knows of the others' clocks.
type Detector struct {
	doors  int
	others []other
	wrong  bool
	since  time.Duration // a majority says that it is wrong; 0: it does not
	off    time.Duration
}

// other is by how much a door's clock is ahead of this one's at least: what it said, less the time on the way.
type other struct {
	from      time.Duration // this stretch's begin; 0: never heard of
	now, last time.Duration
	had       bool // last is something
}

// New makes one for a list of doors.
func New(doors int) *Detector { return &Detector{doors: doors, others: make([]other, doors)} }

// Observe takes what a door's clock said when it told this one something that has just come. Both are Unix times.
func (j *Detector) Observe(now time.Duration, from int, theirs time.Duration) {
	if from < 0 || from >= len(j.others) {
		return
	}
	o, ahead := &j.others[from], theirs-now
	switch since := now - o.from; {
	case o.from == 0 || since >= 2*each || since < 0:
		*o = other{from: now, now: ahead}
	case since >= each:
		*o = other{from: now, now: ahead, last: o.now, had: true}
	default:
		o.now = max(o.now, ahead)
	}
	if o.had && max(o.last-o.now, o.now-o.last) > MaxSkew { // it was started anew with another clock: what it said before counts no more
		o.had = false
	}
}

// Skew says by how much this door's clock is behind the others' (below 0: ahead), and whether that is too much. As long as too few doors are heard of, it stays
// as it was.
func (j *Detector) Skew(now time.Duration) (behind time.Duration, wrong bool) {
	all := []time.Duration{0} // this door's own
	for i := range j.others {
		if o := &j.others[i]; o.from > 0 && now-o.from < 2*each {
			ahead := o.now
			if o.had {
				ahead = max(ahead, o.last)
			}
			all = append(all, ahead)
		}
	}
	slices.Sort(all)
	for i := range all {
		n, _ := slices.BinarySearch(all[i:], all[i]+MaxSkew+1)
		if n > j.doors/2 { // a majority of the list; there is one such group at most, but for where it begins
			j.off = all[i+(n-1)/2]
			switch {
			case max(j.off, -j.off) <= MaxSkew:
				j.wrong, j.since = false, 0
			case j.since == 0:
				j.since = now
			default:
				j.wrong = j.wrong || now-j.since >= settles
			}
			break
		}
	}
	return j.off, j.wrong
}
