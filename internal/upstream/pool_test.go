package upstream

import (
	"testing"

	"gapgap/internal/balancer"
	"gapgap/internal/fake/peer"
)

// TestHold verifies that nothing reaches a blocked endpoint until it is unblocked: no attempt on an idle connection or
// on one still being dialled, and no health check, even after the endpoint was listed again at another address.
func TestHold(t *testing.T) {
	ln, other := peer.Listen(t), peer.Listen(t)
	h := newHarness(t, ln.Addr().String())
	sendAttempt(t, h)
	b := peer.Accept(t, ln)
	go func() {
		_, _ = b.Try()
		_, _ = b.NC.Write([]byte("*1\r\n" + peer.Bulk("value")))
	}()
	peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 })
	if len(h.pool.endpoints["s-0"].idle) != 1 {
		t.Fatal("no connection is idle")
	}
	h.pool.SetBlocked("s-0", true)
	b.WantsEnd()
	wantNotSent := func(when string) {
		t.Helper()
		sendAttempt(t, h)
		wantOutcome(t, h, balancer.NotSent)
		h.healthChecks = nil
		h.pool.HealthCheck("s-0")
		if len(h.healthChecks) != 1 || h.healthChecks[0].Status != balancer.NotSent {
			t.Errorf("%s: health check results %+v, want one not sent", when, h.healthChecks)
		}
	}
	wantNotSent("at once")
	h.applySnapshot(ln.Addr().String())
	wantNotSent("after a complete list")
	h.applySnapshot()
	h.applySnapshot(other.Addr().String())
	wantNotSent("back at another address")
	h.pool.SetBlocked("s-0", false)
	a := sendAttempt(t, h) // waits for its connection to be established
	h.pool.SetBlocked("s-0", true)
	wantOutcome(t, h, balancer.NotSent)
	if !a.ended {
		t.Error("the attempt still waits for its connection")
	}
	h.pool.SetBlocked("s-0", false)
	h.pool.SetBlocked("s-0", false)
	sendAttempt(t, h)
	peer.Accept(t, other) // possibly dialled for the withdrawn attempt; any one connection suffices
	peer.Pump(t, h.Loop, func() bool {
		for conn := range h.pool.endpoints["s-0"].connections {
			if conn.writeState.Load() == writeComplete {
				return true
			}
		}
		return false
	})
	for range blockedNames {
		h.pool.SetBlocked("nobody", true)
		h.pool.SetBlocked("nobody", false)
	}
	if len(h.pool.blocked) != 0 {
		t.Errorf("%d names are still blocked", len(h.pool.blocked))
	}
}

const blockedNames = 100
