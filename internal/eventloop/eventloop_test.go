package eventloop

import (
	"testing"
	"time"
)

// TestClockIsUnixTime verifies that the loop clock is Unix time. Gateways derive the names of shared counter windows
// from the time, so their clocks must agree.
func TestClockIsUnixTime(t *testing.T) {
	l := New()
	before := time.Now().UnixNano()
	now := l.Now().Nanoseconds()
	if after := time.Now().UnixNano(); now < before-int64(time.Second) || now > after+int64(time.Second) {
		t.Errorf("the loop clock is off by %v", time.Duration(now-before))
	}
}

// TestTimers verifies that due timers run in order of their times and that stopped timers do not run.
func TestTimers(t *testing.T) {
	l := New()
	var got []int
	add := func(at int) *Timer { return l.At(time.Duration(at), func() { got = append(got, at) }) }
	third := add(3)
	add(2)
	first := add(1)
	add(4)
	third.Stop()
	third.Stop()
	(*Timer)(nil).Stop()
	if next := l.timeToNextTimer(0); next != 1 {
		t.Errorf("next timer is due in %d, want 1", next)
	}
	l.RunDue(3)
	first.Stop()
	if len(got) != 2 || got[0] != 1 || got[1] != 2 || l.timeToNextTimer(9) != 0 {
		t.Errorf("timers that ran: %v", got)
	}
}

// TestPostAfterClose verifies that posting to a closed loop does not block the calling goroutine.
func TestPostAfterClose(t *testing.T) {
	l := New()
	l.Close()
	for range 2 * maxTasks {
		l.Post(func() {})
	}
}
