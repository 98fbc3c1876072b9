package upstream

import (
	"strings"
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/fake/peer"
)

// TestNothingIsWrittenAfterItsTime verifies that an attempt is written before its WriteBy time or not at all. It ends
// as not sent if its connection is still being dialled at that time, or if the loop was late and the time has passed
// when the connection can be written to. If part of the command was written, the rest may reach the endpoint, so the
// attempt ends as possibly run.
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
		time.Sleep(60 * time.Millisecond) // the loop runs no task and no timer meanwhile
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

// longCommandOwner has a command too long for a socket to accept at once.
type longCommandOwner struct{ testOwner }

func (longCommandOwner) Command(time.Duration) []byte { return []byte(strings.Repeat("x", 64<<20)) }
