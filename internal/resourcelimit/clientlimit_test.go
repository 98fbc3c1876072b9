package resourcelimit

import (
	"testing"
	"time"
)

type holder struct {
	since  time.Duration
	spoken bool
	gone   bool
}

func (h *holder) IdleSince() (time.Duration, bool) { return h.since, h.spoken }
func (h *holder) CloseWhenIdle()                   { h.gone = true }

// Connections that are kept for nothing give way to new ones, those that are idle longest first; one on which a
// request is open never does.
func TestIdleConnectionsGiveWay(t *testing.T) {
	const now = time.Hour
	busy, fresh := &holder{spoken: true}, &holder{since: now - fullIdleTimeout/2, spoken: true}
	long, longer := &holder{since: now - idleTimeout, spoken: true}, &holder{since: now - 2*idleTimeout, spoken: true}
	silent, crowd := &holder{since: now - unusedTimeout}, &holder{since: now - fullIdleTimeout, spoken: true}
	c := NewClientLimit(6, func() time.Duration { return now })
	for _, h := range []*holder{busy, fresh, long, longer, silent, crowd} {
		c.Add(h)
	}
	for i, want := range []*holder{longer, long, silent, crowd} {
		if !c.HasCapacity() || !want.gone {
			t.Fatalf("number %d did not give way", i)
		}
		c.Remove(want)
		c.Remove(want)
		c.Add(&holder{since: now})
	}
	if c.HasCapacity() || busy.gone || fresh.gone || c.Len() != 6 || len(ConnectionsOf[*holder](c)) != 6 {
		t.Error("a busy connection gave way, or a place was counted twice")
	}
	c.Remove(busy)
	if !c.HasCapacity() {
		t.Error("a free place is not given")
	}
}
