package proxy

import (
	"fmt"
	"testing"
	"time"

	"gapgap/internal/balancer"
)

// submitUnsafe submits a request that must not run twice and dispatches an attempt for it.
func submitUnsafe(p *Proxy, id string) (*Request, *fakeClient) {
	p.Rules().Settings.Classes[0].Idempotency = balancer.NonIdempotent
	request, client := submit(p, id)
	if len(client.answers) == 0 {
		p.dispatch(request, balancer.Dispatch{ID: request.id, Endpoint: "s-0"})
	}
	return request, client
}

// TestIDOfClientThatLeftDoesNotRunAgain guards against a request of a class that must not be repeated and that runs
// twice because its client has left and comes again with the same ID.
func TestIDOfClientThatLeftDoesNotRunAgain(t *testing.T) {
	for name, test := range map[string]struct {
		status balancer.Status
		again  Outcome
	}{
		"cancelled":  {balancer.Cancelled, Repeated},
		"timeout":    {balancer.Timeout, Repeated},
		"reset":      {balancer.Reset, Repeated},
		"failed":     {balancer.Failed, Repeated},
		"not sent":   {balancer.NotSent, -1},
		"no connect": {balancer.ConnectFailed, -1},
		"rejected":   {balancer.Rejected, -1},
	} {
		t.Run(name, func(t *testing.T) {
			p, s := newProxy(t)
			first, _ := submitUnsafe(p, "1")
			p.ClientGone(first)
			s.sent[0].End(test.status)
			p.Step()
			_, again := submitUnsafe(p, "1")
			switch {
			case test.again < 0 && len(again.answers) != 0:
				t.Errorf("a request that never ran may come again: %v", again.answers)
			case test.again >= 0 && (len(again.answers) != 1 || again.answers[0].Outcome != test.again):
				t.Errorf("the ID again: %v", again.answers)
			}
			if _, other := submitUnsafe(p, "2"); len(other.answers) != 0 {
				t.Errorf("another ID: %v", other.answers)
			}
		})
	}
}

// TestSentIDsAreBounded verifies how many IDs are remembered and for how long, on both sides of each bound.
func TestSentIDsAreBounded(t *testing.T) {
	s := NewSentIDs()
	id := func(i int) idHash { return hashID("a", fmt.Sprint(i)) }
	const until = time.Hour
	for i := range maxSentIDs {
		s.add(id(i), until, 0)
	}
	if !s.contains(id(0), 0) {
		t.Error("the oldest is forgotten before the bound")
	}
	s.add(id(maxSentIDs), until, 0)
	if s.contains(id(0), 0) || !s.contains(id(1), 0) || len(s.byHash) != maxSentIDs || len(s.order) != maxSentIDs {
		t.Errorf("%d IDs are remembered", len(s.byHash))
	}
	if !s.contains(id(1), until-1) || s.contains(id(1), until) {
		t.Error("an ID is not remembered until its time")
	}
	s.add(id(-1), 2*until, until)
	if len(s.byHash) != 1 || len(s.order) != 1 {
		t.Errorf("%d IDs are kept after their time", len(s.byHash))
	}
}

// TestSentIDsForgetAndRemember verifies that an ID that was removed and added again outlives its first entry.
func TestSentIDsForgetAndRemember(t *testing.T) {
	s := NewSentIDs()
	id := hashID("a", "1")
	s.add(id, 10, 0)
	s.remove(id)
	if s.contains(id, 0) {
		t.Error("the ID is still remembered")
	}
	s.add(id, 20, 0)
	s.add(hashID("b", "1"), 30, 15) // drops the first entry, whose time has passed
	if !s.contains(id, 15) || s.contains(hashID("c", "1"), 15) {
		t.Error("the ID is forgotten with its first entry")
	}
	next := NewSentIDs()
	exported, stop := s.Follow(nil)
	defer stop()
	next.Import(exported, 15)
	next.Import([]SentID{{Hash: []byte("short"), Until: 100}}, 15)
	if !next.contains(id, 15) || !next.contains(hashID("b", "1"), 29) || len(next.byHash) != 2 {
		t.Errorf("the next process remembers %d IDs", len(next.byHash))
	}
}

// TestFollowedSentIDs guards against an ID that is missing at the next process because its request was sent after the
// IDs were exported, or that stays there although its request has not run.
func TestFollowedSentIDs(t *testing.T) {
	s, next := NewSentIDs(), NewSentIDs()
	id := func(n int) idHash { return hashID("a", fmt.Sprint(n)) }
	remembered := func() (all []int) {
		for n := range 5 {
			if next.contains(id(n), 15) {
				all = append(all, n)
			}
		}
		return all
	}
	s.add(id(0), 100, 0)
	s.add(id(1), 100, 0)
	exported, stop := s.Follow(func(change SentID) { next.Import([]SentID{change}, 10) })
	next.Import(exported, 10)
	s.add(id(2), 100, 10)
	s.add(id(3), 100, 10)
	s.remove(id(1))
	s.remove(id(3))
	if got := fmt.Sprint(remembered()); got != "[0 2]" {
		t.Errorf("the next process remembers %s, want [0 2]", got)
	}
	stop()
	s.add(id(4), 100, 10)
	if got := fmt.Sprint(remembered()); got != "[0 2]" {
		t.Errorf("after the end of the handover the next process remembers %s, want [0 2]", got)
	}
}
