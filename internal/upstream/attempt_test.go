package upstream

import (
	"strings"
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/fake/peer"
)

// An attempt that has a time by which it is to be written is not written after that: while its connection comes up it
// ends unsent when the time comes, and one that comes to be written late all the same, as when the loop stood still,
// ends so too. Where a part is out, the rest may be: then it may have run.
func TestNothingIsWrittenAfterItsTime(t *testing.T) {
	sendWithWriteBy := func(h *harness, by time.Duration, o Owner) {
		h.outcomes = nil
		h.pool.Send(&Attempt{Endpoint: "s-0", SentAt: h.Now(), Deadline: h.Now() + 10*time.Second, WriteBy: by,
			Owner: o})
	}
	t.Run("coming up", func(t *testing.T) {
		addr, accept := peer.ListenLate(t)
		h := newHarness(t, addr)
		sendWithWriteBy(h, h.Now()+300*time.Millisecond, testOwner{h})
		for end := time.Now().Add(peer.Patient); len(h.outcomes) == 0 && time.Now().Before(end); {
			h.Wait(10*time.Millisecond, nil)
		}
		wantOutcome(t, h, balancer.NotSent)
		if b := accept(1500 * time.Millisecond); b != nil {
			b.WantsEnd()
		}
	})
	t.Run("no sooner", func(t *testing.T) {
		addr, accept := peer.ListenLate(t)
		h := newHarness(t, addr)
		sendWithWriteBy(h, h.Now()+peer.Patient, testOwner{h})
		b := accept(peer.Patient)
		if b == nil {
			t.Fatal("no connection")
		}
		peer.Pump(t, h.Loop, func() bool {
			for conn := range h.pool.endpoints["s-0"].connections {
				return conn.writeState.Load() == writeComplete
			}
			return false
		})
		b.Message()
	})
	t.Run("the loop stood still", func(t *testing.T) {
		ln := peer.Listen(t)
		h := newHarness(t, ln.Addr().String())
		sendWithWriteBy(h, h.Now()+30*time.Millisecond, testOwner{h})
		b := peer.Accept(t, ln)
		time.Sleep(60 * time.Millisecond) // no task and no timer has been run
		peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 })
		wantOutcome(t, h, balancer.NotSent)
		b.WantsEnd()
	})
	t.Run("half written", func(t *testing.T) {
		ln := peer.Listen(t)
		h := newHarness(t, ln.Addr().String())
		sendWithWriteBy(h, h.Now()+300*time.Millisecond, longCommandOwner{testOwner{h}})
		b := peer.Accept(t, ln)
		peer.Pump(t, h.Loop, func() bool {
			for conn := range h.pool.endpoints["s-0"].connections {
				return conn.writeState.Load() == writeStarted
			}
			return false
		})
		_, _ = b.In.Peek(1)
		for end := time.Now().Add(peer.Patient); len(h.outcomes) == 0 && time.Now().Before(end); {
			h.Wait(10*time.Millisecond, nil)
		}
		wantOutcome(t, h, balancer.Reset)
	})
}

// longCommandOwner has a command that no socket takes at once.
type longCommandOwner struct{ testOwner }

func (longCommandOwner) Command(time.Duration) []byte { return []byte(strings.Repeat("x", 64<<20)) }
