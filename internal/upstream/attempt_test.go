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
	attempt := func(f *rig, by time.Duration, o Owner) {
		f.events = nil
		f.pool.Send(&Attempt{Endpoint: "s-0", SentAt: f.Now(), Deadline: f.Now() + 10*time.Second, WriteBy: by,
			Owner: o})
	}
	t.Run("coming up", func(t *testing.T) {
		addr, let := peer.ListenLate(t)
		f := idle(t, addr)
		attempt(f, f.Now()+300*time.Millisecond, owner{f})
		for end := time.Now().Add(peer.Patient); len(f.events) == 0 && time.Now().Before(end); {
			f.Wait(10*time.Millisecond, nil)
		}
		wantOutcome(t, f, balancer.NotSent)
		if b := let(1500 * time.Millisecond); b != nil {
			b.WantsEnd()
		}
	})
	t.Run("no sooner", func(t *testing.T) {
		addr, let := peer.ListenLate(t)
		f := idle(t, addr)
		attempt(f, f.Now()+peer.Patient, owner{f})
		b := let(peer.Patient)
		if b == nil {
			t.Fatal("no connection")
		}
		peer.Pump(t, f.Loop, func() bool {
			for conn := range f.pool.endpoints["s-0"].connections {
				return conn.writeState.Load() == writeComplete
			}
			return false
		})
		b.Message()
	})
	t.Run("the loop stood still", func(t *testing.T) {
		ln := peer.Listen(t)
		f := idle(t, ln.Addr().String())
		attempt(f, f.Now()+30*time.Millisecond, owner{f})
		b := peer.Accept(t, ln)
		time.Sleep(60 * time.Millisecond) // no task and no timer has been run
		peer.Pump(t, f.Loop, func() bool { return len(f.events) > 0 })
		wantOutcome(t, f, balancer.NotSent)
		b.WantsEnd()
	})
	t.Run("half written", func(t *testing.T) {
		ln := peer.Listen(t)
		f := idle(t, ln.Addr().String())
		attempt(f, f.Now()+300*time.Millisecond, long{owner{f}})
		b := peer.Accept(t, ln)
		peer.Pump(t, f.Loop, func() bool {
			for conn := range f.pool.endpoints["s-0"].connections {
				return conn.writeState.Load() == writeStarted
			}
			return false
		})
		_, _ = b.In.Peek(1)
		for end := time.Now().Add(peer.Patient); len(f.events) == 0 && time.Now().Before(end); {
			f.Wait(10*time.Millisecond, nil)
		}
		wantOutcome(t, f, balancer.Reset)
	})
}

// long has a command that no socket takes at once.
type long struct{ owner }

func (long) Command(time.Duration) []byte { return []byte(strings.Repeat("x", 64<<20)) }
