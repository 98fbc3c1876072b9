// Package clockskew detects whether a gateway's clock is wrong by comparing it with the clocks of the other gateways of
// its cluster. The names of shared counters contain the time, so a gateway whose clock is an hour off shares no counter
// with the others and would admit a whole quota and a whole ceiling by itself.
//
// A gateway considers its clock wrong if a majority of the gateways in the list agree with each other but not with it.
// Reports from fewer gateways, or reports that disagree, prove nothing, so that losing contact with the others does not
// by itself deny a gateway the counter. The package performs no I/O; a [Detector] is not safe for concurrent use.
package clockskew

import (
	"slices"
	"time"
)

// Parameters of the comparison.
const (
	// MaxSkew is the largest tolerated difference between two clocks. A clock with this skew causes, once, about as
	// much excess admission as concurrent counter calls do.
	MaxSkew = time.Second
	// windowLength is the length of the time windows in which clock reports are collected. The current and the previous
	// window are used. Of each window the report with the smallest delay counts, as it is the most accurate.
	windowLength = 5 * time.Second
	// confirmDuration is how long a majority must disagree before the clock counts as wrong, because a process that
	// was suspended first receives old reports.
	confirmDuration = 500 * time.Millisecond
)

// Detector compares one gateway's clock with the clocks of the other gateways.
type Detector struct {
	gateways int
	peers    []peerClock
	// skew is how far this gateway's clock is behind the majority's.
	skew    time.Duration
	isWrong bool
	// disagreeingSince is when a majority began to disagree; 0 means that none does.
	disagreeingSince time.Duration
}

// New returns a detector for a list of the given number of gateways.
func New(gateways int) *Detector {
	return &Detector{gateways: gateways, peers: make([]peerClock, gateways)}
}

// Observe records the clock reading that another gateway sent in a message that has just arrived. Both times are Unix
// times. An index that is not in the list is ignored.
func (d *Detector) Observe(now time.Duration, from int, remote time.Duration) {
	if from >= 0 && from < len(d.peers) {
		d.peers[from].observe(now, remote-now)
	}
}

// Skew returns how far this gateway's clock is behind the others' (negative: ahead), and whether it is wrong. While no
// majority agrees, both results keep their last values.
func (d *Detector) Skew(now time.Duration) (behind time.Duration, isWrong bool) {
	if skew, ok := d.majoritySkew(now); ok {
		d.update(now, skew)
	}
	return d.skew, d.isWrong
}

// majoritySkew returns the median skew of a majority of the list whose clocks agree within MaxSkew, if there is one.
func (d *Detector) majoritySkew(now time.Duration) (skew time.Duration, ok bool) {
	offsets := []time.Duration{0} // this gateway's own clock
	for i := range d.peers {
		if d.peers[i].isRecent(now) {
			offsets = append(offsets, d.peers[i].offset())
		}
	}
	slices.Sort(offsets)
	for i := range offsets {
		agreeing, _ := slices.BinarySearch(offsets[i:], offsets[i]+MaxSkew+1)
		if agreeing > d.gateways/2 {
			return offsets[i+(agreeing-1)/2], true
		}
	}
	return 0, false
}

// update applies the skew against a majority. The clock counts as wrong after a disagreement of confirmDuration.
func (d *Detector) update(now, skew time.Duration) {
	d.skew = skew
	switch {
	case skew.Abs() <= MaxSkew:
		d.isWrong, d.disagreeingSince = false, 0
	case d.disagreeingSince == 0:
		d.disagreeingSince = now
	default:
		d.isWrong = d.isWrong || now-d.disagreeingSince >= confirmDuration
	}
}

// peerClock estimates how far another gateway's clock is ahead of this one's. The estimate is a lower bound: the
// largest difference between a reported time and the time of its arrival.
type peerClock struct {
	// windowStart is when the current window began; 0 means that there was no report yet.
	windowStart time.Duration
	// current and previous are the offsets of the current window and of the one before it.
	current     time.Duration
	previous    time.Duration
	hasPrevious bool
}

// observe records an offset that was just reported.
func (c *peerClock) observe(now, offset time.Duration) {
	switch age := now - c.windowStart; {
	case c.windowStart == 0 || age >= 2*windowLength || age < 0:
		*c = peerClock{windowStart: now, current: offset}
	case age >= windowLength:
		*c = peerClock{windowStart: now, current: offset, previous: c.current, hasPrevious: true}
	default:
		c.current = max(c.current, offset)
	}
	if c.hasPrevious && (c.previous-c.current).Abs() > MaxSkew {
		c.hasPrevious = false // the gateway's clock was set
	}
}

// isRecent reports whether there is a recent report of the gateway.
func (c *peerClock) isRecent(now time.Duration) bool {
	return c.windowStart > 0 && now-c.windowStart < 2*windowLength
}

// offset returns the lower bound of how far the clock is ahead of this gateway's.
func (c *peerClock) offset() time.Duration {
	if c.hasPrevious {
		return max(c.current, c.previous)
	}
	return c.current
}
