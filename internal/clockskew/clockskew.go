// Package clockskew tells whether a gateway's clock can be right, by the clocks of the other gateways of its cluster.
// Gateways name the numbers of the shared counter by the time, so one whose clock is an hour off shares no number with
// the others and would admit all of a quota and of a ceiling by itself.
//
// A gateway that hears a majority of the list agree with each other and not with itself takes its own clock to be
// wrong. Gateways that are too few, or that do not agree, prove nothing: the loss of contact alone takes the counter
// from nobody. The package does no input or output; a [Detector] belongs to one goroutine.
package clockskew

import (
	"slices"
	"time"
)

// Rules of the comparison.
const (
	// MaxSkew is by how much two clocks may differ. A clock that is off by it admits about as much too much, once, as
	// calls that are in flight at the same time do.
	MaxSkew = time.Second
	// windowLength is for how long reports of a clock are kept, together with those of the window before. The report
	// that arrived fastest tells most.
	windowLength = 5 * time.Second
	// confirmDuration is how long a majority must disagree: a process that was suspended first hears old reports.
	confirmDuration = 500 * time.Millisecond
)

// Detector is what one gateway knows of the other gateways' clocks.
type Detector struct {
	gateways int
	peers    []peerClock
	// skew is by how much this gateway's clock is behind the majority's.
	skew    time.Duration
	isWrong bool
	// disagreeingSince is since when a majority has disagreed; 0 means that it does not.
	disagreeingSince time.Duration
}

// New returns a detector for a list of gateways.
func New(gateways int) *Detector {
	return &Detector{gateways: gateways, peers: make([]peerClock, gateways)}
}

// Observe takes the clock that another gateway sent in a message that has just arrived. Both times are Unix times. An
// index that is not in the list is ignored.
func (d *Detector) Observe(now time.Duration, from int, remote time.Duration) {
	if from >= 0 && from < len(d.peers) {
		d.peers[from].observe(now, remote-now)
	}
}

// Skew returns by how much this gateway's clock is behind the others' (below 0: ahead), and whether it is wrong. As
// long as too few gateways are heard of, both stay as they were.
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

// update takes the skew against a majority. It takes confirmDuration until the clock counts as wrong.
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

// peerClock is by how much another gateway's clock is ahead of this one's at least: the largest difference between what
// it reported and the time of the arrival.
type peerClock struct {
	// windowStart is when the present window began; 0 means that the gateway was never heard of.
	windowStart time.Duration
	// current and previous are the offsets of the present window and of the one before.
	current     time.Duration
	previous    time.Duration
	hasPrevious bool
}

// observe takes an offset that was just reported.
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
		c.hasPrevious = false // the gateway has restarted with another clock
	}
}

// isRecent reports whether the gateway was heard of lately.
func (c *peerClock) isRecent(now time.Duration) bool {
	return c.windowStart > 0 && now-c.windowStart < 2*windowLength
}

// offset returns by how much the clock is ahead of this gateway's at least.
func (c *peerClock) offset() time.Duration {
	if c.hasPrevious {
		return max(c.current, c.previous)
	}
	return c.current
}
