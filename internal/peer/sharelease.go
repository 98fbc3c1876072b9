package peer

import (
	"slices"
	"time"

	"gapgap/internal/clockskew"
	"gapgap/internal/cluster"
)

// clockCheckInterval is the time between two checks of this gateway's clock.
const clockCheckInterval = 100 * time.Millisecond

// clockCheck compares this gateway's clock with those of the others at regular times.
type clockCheck struct {
	detector *clockskew.Detector
	isWrong  bool
	nextAt   time.Duration
}

func newClockCheck(gateways int) clockCheck {
	return clockCheck{detector: clockskew.New(gateways)}
}

// check checks the clock if a check is due. It returns by how much the clock is behind and whether the result, right or
// wrong, has changed.
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

// applyChanges logs changes of the cluster's state, passes on a new share lease and publishes a new view.
func (t *Transport) applyChanges() {
	now := t.config.Now()
	hasTransitions := t.logTransitions()
	t.checkDuplicate(now)
	t.checkClock(now)
	lease := t.shareLease(now)
	if !equalLeases(lease, t.lease) {
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

// equalLeases reports whether two leases are equal.
func equalLeases(a, b cluster.ShareLease) bool {
	return a.Epoch == b.Epoch && a.Fraction == b.Fraction && a.Until == b.Until && a.Excluded == b.Excluded &&
		slices.Equal(a.DeadGateways, b.DeadGateways)
}

// logTransitions logs and counts the transitions of members and reports whether there were any. The operator
// documentation names the log message and its attributes.
func (t *Transport) logTransitions() bool {
	transitions := t.node.TakeTransitions()
	for _, transition := range transitions {
		t.Stats.Transitions.Add(1)
		t.config.Log.Info("door of the fleet", "door", t.names[transition.Index], "is", transition.To,
			"was", transition.From, "cause", transition.Cause, "incarnation", transition.ID.Incarnation)
	}
	return len(transitions) > 0
}

// checkDuplicate logs when another process of this gateway's name starts or stops taking precedence.
func (t *Transport) checkDuplicate(now time.Duration) {
	duplicate, hasDuplicate := t.node.Duplicate(now)
	if hasDuplicate == t.hasDuplicate {
		return
	}
	t.hasDuplicate = hasDuplicate
	if !hasDuplicate {
		t.config.Log.Info("the other process of this gateway's name is gone")
		return
	}
	t.config.Log.Error("another process has this door's name and goes before it: this one takes no share",
		"other_incarnation", duplicate.Incarnation, "incarnation", t.node.ID().Incarnation)
}

// checkClock logs, publishes and reports to SetClockWrong when this gateway's clock is found to be wrong or is right
// again.
func (t *Transport) checkClock(now time.Duration) {
	behind, hasChanged := t.clock.check(now)
	if !hasChanged {
		return
	}
	if t.clock.isWrong {
		t.config.Log.Error("this door's clock is not the others': it asks the counter for nothing and takes no share "+
			"of ceilings. Set the machine's clock and restart the gateway", "behind by", behind.Round(time.Millisecond))
	} else {
		t.config.Log.Info("this gateway's clock agrees with the others' again")
	}
	t.config.SetClockWrong(t.clock.isWrong)
	t.publish(now)
}

// shareLease returns the share that this gateway may use. With a wrong clock it may use none: the other gateways use
// the whole ceiling by the counter, whose windows this gateway would name by the wrong time. It keeps its quota slots,
// because pools apply the change a little later.
func (t *Transport) shareLease(now time.Duration) cluster.ShareLease {
	lease := t.node.ShareLease(now)
	if t.clock.isWrong {
		lease.Excluded, lease.Fraction = true, 0
	}
	return lease
}
