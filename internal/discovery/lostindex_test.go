package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"gapgap/internal/eventloop"
)

// TestDiscoveryThatHasLostItsIndex guards against a new discovery process that is taken for the one that was at its
// address: it counts its lists from the beginning, and all its changes would be ignored as older ones.
func TestDiscoveryThatHasLostItsIndex(t *testing.T) {
	const restartAt = 5 * time.Second
	for _, pushed := range []bool{false, true} {
		for name, drainAt := range map[string]time.Duration{
			"at once": restartAt,
			"later":   restartAt + 20*time.Second,
		} {
			a := &agent{restartAt: restartAt, state: func(at time.Duration) (int, string) {
				switch {
				case at < restartAt:
					return 7, "SERVING"
				case at < drainAt:
					return 1, "SERVING"
				}
				return 2, "DRAINING"
			}}
			if got := a.run(t, Config{Pushed: pushed}, nil); got < drainAt || got > drainAt+notifyLimit {
				t.Errorf("%s, pushed %t: a drain at %v was reported at %v", name, pushed, drainAt, got)
			}
		}
	}
}

// TestDiscoveryThatHasLostAnIndexHandedOver guards against a new discovery process that is ignored because this gateway
// has its index from the process before it in an upgrade, and the list has not changed since. It is in KNOWN-RED.txt.
func TestDiscoveryThatHasLostAnIndexHandedOver(t *testing.T) {
	const restartAt = 5 * time.Second
	a := &agent{restartAt: restartAt, state: func(at time.Duration) (int, string) {
		if at < restartAt {
			return 7, "SERVING"
		}
		return 1, "DRAINING"
	}}
	if got := a.run(t, Config{Known: EndpointList{Index: 7}}, nil); got < restartAt || got > restartAt+notifyLimit {
		t.Errorf("a drain at %v was reported at %v", restartAt, got)
	}
}

// TestLaggingDiscoveryChangesNothing guards against a lower index that is taken for a lost one: the agent lags behind
// for a moment, or the watch has moved to one that lags.
func TestLaggingDiscoveryChangesNothing(t *testing.T) {
	const restartAt = 5 * time.Second
	for lag := 100 * time.Millisecond; lag < lostIndexTimeout; lag += 300 * time.Millisecond {
		a := &agent{restartAt: restartAt, state: func(at time.Duration) (int, string) {
			switch {
			case at < restartAt:
				return 7, "SERVING"
			case at < restartAt+lag:
				return 6, "DRAINING"
			}
			return 8, "SERVING"
		}}
		if got := a.run(t, Config{}, nil); got < time.Hour {
			t.Errorf("a list from before was applied at %v, as the agent lagged for %v", got, lag)
		}
	}
	moved := &agent{restartAt: restartAt, state: func(at time.Duration) (int, string) {
		if at < restartAt {
			return 7, "SERVING"
		}
		return 6, "DRAINING"
	}}
	move := func(loop *eventloop.Loop, watch *Watch) {
		time.Sleep(restartAt)
		loop.Post(func() { watch.Follow("other:1") })
	}
	if got := moved.run(t, Config{}, move); got < time.Hour {
		t.Errorf("a list of another agent, which lags, was applied at %v", got)
	}
}

// TestLostIndexTimeout verifies that an index counts as lost once lower ones have come for lostIndexTimeout on one
// watch, and only if the agent has sent the current one.
func TestLostIndexTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wantsLost := func(l *lostIndex, after time.Duration, want bool) {
			t.Helper()
			time.Sleep(after)
			if l.isLost() != want {
				t.Errorf("lost: %t, want %t", !want, want)
			}
		}
		l := &lostIndex{}
		l.recordLower()
		wantsLost(l, 2*lostIndexTimeout, false) // another agent has sent the current list
		l.recordCurrent()
		wantsLost(l, 2*lostIndexTimeout, false)
		l.recordLower()
		wantsLost(l, lostIndexTimeout-1, false)
		l.beginWatch()
		l.recordLower()
		wantsLost(l, lostIndexTimeout-1, false)
		l.recordLower()
		wantsLost(l, 1, true)
		l.recordCurrent()
		wantsLost(l, 0, false)
	})
}
