package eventloop

import (
	"testing"
	"time"
)

// All front doors name the counter's numbers by the time, so theirs must be the same clock.
func TestClockIsUnixTime(t *testing.T) {
	l := New()
	before := time.Now().UnixNano()
	now := l.Now().Nanoseconds()
	if after := time.Now().UnixNano(); now < before-int64(time.Second) || now > after+int64(time.Second) {
		t.Errorf("the loop's clock is %v off", time.Duration(now-before))
	}
}

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
	if next := l.untilNextTimer(0); next != 1 {
		t.Errorf("next in %d", next)
	}
	l.RunDue(3)
	first.Stop()
	if len(got) != 2 || got[0] != 1 || got[1] != 2 || l.untilNextTimer(9) != 0 {
		t.Errorf("ran %v", got)
	}
}

// What is posted after the end must not hold up the goroutine that posts it.
func TestPostAfterClose(t *testing.T) {
	l := New()
	l.Close()
	for range 2 * maxTasks {
		l.Post(func() {})
	}
}
