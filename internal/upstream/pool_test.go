package upstream

import (
	"testing"

	"gapgap/internal/balancer"
	"gapgap/internal/fake/peer"
)

// Nothing reaches a backend that is held: not on a connection held ready, nor by one that is still being dialled, nor
// a probe, nor after it came back at another address, until it is let through again.
func TestHold(t *testing.T) {
	ln, other := peer.Listen(t), peer.Listen(t)
	f := idle(t, ln.Addr().String())
	try(t, f)
	b := peer.Accept(t, ln)
	go func() {
		_, _ = b.Try()
		_, _ = b.NC.Write([]byte("*1\r\n" + peer.Bulk("value")))
	}()
	peer.Pump(t, f.Loop, func() bool { return len(f.events) > 0 })
	if len(f.pool.endpoints["s-0"].idle) != 1 {
		t.Fatal("no connection is held ready")
	}
	f.pool.Hold("s-0", true)
	b.WantsEnd()
	refused := func(when string) {
		t.Helper()
		try(t, f)
		wantOutcome(t, f, balancer.NotSent)
		f.probed = nil
		f.pool.HealthCheck("s-0")
		if len(f.probed) != 1 || f.probed[0].Status != balancer.NotSent {
			t.Errorf("%s: probed %+v", when, f.probed)
		}
	}
	refused("at once")
	f.whole(ln.Addr().String())
	refused("after a whole list")
	f.whole()
	f.whole(other.Addr().String())
	refused("back at another address")
	f.pool.Hold("s-0", false)
	a := try(t, f) // waits for its connection
	f.pool.Hold("s-0", true)
	wantOutcome(t, f, balancer.NotSent)
	if !a.ended {
		t.Error("it still waits")
	}
	f.pool.Hold("s-0", false)
	f.pool.Hold("s-0", false)
	try(t, f)
	peer.Accept(t, other) // it may have been dialled for the one before; what counts is that one gets through
	peer.Pump(t, f.Loop, func() bool {
		for conn := range f.pool.endpoints["s-0"].connections {
			if conn.writeState.Load() == writeComplete {
				return true
			}
		}
		return false
	})
	for range mostHeld {
		f.pool.Hold("nobody", true)
		f.pool.Hold("nobody", false)
	}
	if len(f.pool.held) != 0 {
		t.Errorf("%d held", len(f.pool.held))
	}
}

const mostHeld = 100
