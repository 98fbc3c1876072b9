package peer

import (
	"slices"
	"time"

	"gapgap/internal/clockskew"
	"gapgap/internal/cluster"
)

// clockCheckInterval is the time between two checks of this gateway's clock.
const clockCheckInterval = 100 * time.Millisecond

// clockCheck tells whether this gateway's clock can be right.
type clockCheck struct {
	detector *clockskew.Detector
	isWrong  bool
	nextAt   time.Duration
}

func newClockCheck(gateways int) clockCheck {
	return clockCheck{detector: clockskew.New(gateways)}
}

// check judges the clock if that is due. It returns by how much the clock is behind and whether the finding has
// changed.
func (c *clockCheck) check(now time.Duration) (behind time.Duration, hasChanged bool) {
	if now < c.nextAt {
		return 0, false
	}
	c.nextAt = now + clockCheckInterval
	behind, isWrong := c.detector.Skew(now)
	hasChanged = isWrong != c.isWrong
	c.isWrong = isWrong
	return behind, hasChanged
}

// applyChanges logs what has changed, and has a new share lease applied.
func (t *Transport) applyChanges() {
	now := t.config.Now()
	hasTransitions := t.logTransitions()
	t.checkDuplicate(now)
	t.checkClock(now)
	lease := t.shareLease(now)
	if !isSameLease(lease, t.lease) {
		if lease.Fraction != t.lease.Fraction || lease.Excluded != t.lease.Excluded {
			t.config.Log.Debug("share lease", "fraction", lease.Fraction, "excluded", lease.Excluded)
		}
		t.lease = lease
		t.config.ApplyLease(lease)
	}
	view := t.view.Load()
	if hasTransitions || lease.Epoch != view.epoch || lease.Fraction != view.Fraction {
		t.publish(now)
	}
}

// isSameLease reports whether nothing changes from one lease to another.
func isSameLease(a, b cluster.ShareLease) bool {
	return a.Epoch == b.Epoch && a.Fraction == b.Fraction && a.Until == b.Until && a.Excluded == b.Excluded &&
		slices.Equal(a.DeadGateways, b.DeadGateways)
}

// logTransitions logs and counts transitions of members, and reports whether there were any. Operators' pages name the
// line and its attributes.
func (t *Transport) logTransitions() bool {
	transitions := t.node.TakeTransitions()
	for _, transition := range transitions {
		t.Stats.Transitions.Add(1)
		t.config.Log.Info("door of the fleet", "door", t.names[transition.Index], "is", transition.To,
			"was", transition.From, "cause", transition.Cause, "incarnation", transition.ID.Incarnation)
	}
	return len(transitions) > 0
}

// checkDuplicate logs when another process of this gateway's name begins or ends to take precedence.
func (t *Transport) checkDuplicate(now time.Duration) {
	duplicate, hasDuplicate := t.node.Duplicate(now)
	if hasDuplicate == t.hasDuplicate {
		return
	}
	t.hasDuplicate = hasDuplicate
	if !hasDuplicate {
		t.config.Log.Info("the other process of this door's name is gone")
		return
	}
	t.config.Log.Error("another process has this door's name and goes before it: this one takes no share",
		"other_incarnation", duplicate.Incarnation, "incarnation", t.node.ID().Incarnation)
}

// checkClock logs and tells when this gateway's clock turns out to be wrong, or right again.
func (t *Transport) checkClock(now time.Duration) {
	behind, hasChanged := t.clock.check(now)
	if !hasChanged {
		return
	}
	if t.clock.isWrong {
		t.config.Log.Error("this door's clock is not the others': it asks the counter for nothing and takes no share "+
			"of ceilings. Set the machine's clock and start the door anew", "behind by", behind.Round(time.Millisecond))
	} else {
		t.config.Log.Info("this door's clock is the others' again")
	}
	t.config.SetClockWrong(t.clock.isWrong)
	t.publish(now)
}

// shareLease returns which share this gateway may use. One whose clock is wrong uses none: the others use all of a
// ceiling by the counter's numbers, which it cannot name. It keeps its slots, as pools apply this a little later.
func (t *Transport) shareLease(now time.Duration) cluster.ShareLease {
	lease := t.node.ShareLease(now)
	if t.clock.isWrong {
		lease.Excluded, lease.Fraction = true, 0
	}
	return lease
}
