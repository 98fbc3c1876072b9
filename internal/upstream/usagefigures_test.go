package upstream

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/fake/peer"
	"gapgap/internal/resourcelimit"
)

const (
	// tailSize is the size of the long values of these tests in bytes.
	tailSize = 100 << 10
	// soundTail is what follows the value of a sound answer.
	soundTail = "$7\r\nused=37\r\n$-1\r\n"
)

// tailHead returns an answer up to the end of its long value.
func tailHead() string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n", tailSize, strings.Repeat("v", tailSize))
}

// startTail sends an attempt whose answer ends with its long value, and waits until the owner knows that the value is
// complete.
func startTail(t *testing.T, usageTimeout time.Duration) (*harness, *peer.Peer) {
	t.Helper()
	ln := peer.Listen(t)
	h := newHarness(t, ln.Addr().String())
	h.pool.cfg.UsageTimeout = usageTimeout
	h.pool.cfg.ValueMemory = resourcelimit.NewBytes(64 << 10)
	h.sink = &recordingSink{}
	sendAttempt(t, h)
	b := peer.Accept(t, ln)
	go func() {
		_, _ = b.Try()
		_, _ = b.NC.Write([]byte(tailHead()))
	}()
	peer.Pump(t, h.Loop, func() bool { return h.completed > 0 || len(h.outcomes) > 0 })
	if h.completed != 1 || len(h.outcomes) != 0 || len(h.sink.text()) < tailSize {
		t.Fatalf("completed %d times, outcomes %v, %d bytes", h.completed, h.outcomes, len(h.sink.text()))
	}
	return h, b
}

// TestLongValueWithoutItsUsageFigures guards against an answer that never ends after its long value: the owner must
// learn at once that the value is complete, and the attempt must end and give back all that it holds.
func TestLongValueWithoutItsUsageFigures(t *testing.T) {
	for name, tail := range map[string][]string{
		"nothing":                   nil,
		"half a header":             {"$"},
		"half an item":              {"$7\r\nused"},
		"one item of two":           {"$7\r\nused=37\r\n"},
		"a long value":              {"*2\r\n$100000\r\n"},
		"a byte at a time for good": strings.Split("$60000\r\n"+strings.Repeat("u", 1000), ""),
	} {
		t.Run(name, func(t *testing.T) {
			h, b := startTail(t, 50*time.Millisecond)
			go func() {
				for _, piece := range tail {
					if _, err := b.NC.Write([]byte(piece)); err != nil {
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
			}()
			peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 })
			wantOutcome(t, h, balancer.OK)
			b.WantsEnd()
			if ep := h.pool.endpoints["s-0"]; h.pool.connections != 0 || len(ep.idle) != 0 || len(ep.connections) != 0 {
				t.Errorf("%d connections are still held, %d idle", h.pool.connections, len(ep.idle))
			}
			if held := h.pool.cfg.ValueMemory.Held(); held != 0 {
				t.Errorf("%d bytes are still reserved", held)
			}
			if h.completed != 1 {
				t.Errorf("the value was reported complete %d times", h.completed)
			}
		})
	}
}

// TestLongValueWithLateUsageFigures guards against a limit that cuts off sound endpoints: usage figures that come
// slowly and within the limit count, and the connection is used again.
func TestLongValueWithLateUsageFigures(t *testing.T) {
	for name, pieces := range map[string][]string{
		"at once":          {soundTail},
		"a byte at a time": strings.Split(soundTail, ""),
	} {
		t.Run(name, func(t *testing.T) {
			h, b := startTail(t, peer.Patient)
			time.Sleep(500 * time.Millisecond) // nothing of the figures has come
			go func() {
				for _, piece := range pieces {
					_, _ = b.NC.Write([]byte(piece))
					time.Sleep(time.Millisecond)
				}
			}()
			peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 })
			wantOutcome(t, h, balancer.OK)
			if h.quotaUsed != 38 {
				t.Errorf("quota used %d, want 38", h.quotaUsed)
			}
			if n := len(h.pool.endpoints["s-0"].idle); n != 1 {
				t.Errorf("%d idle connections, want 1", n)
			}
		})
	}
}

// TestCancelAfterCompleteLongValue verifies that the end of the request, which follows the end of its value, does not
// end the connection under the usage figures.
func TestCancelAfterCompleteLongValue(t *testing.T) {
	h, b := startTail(t, peer.Patient)
	h.pool.Cancel(h.attempt)
	b.Write(soundTail)
	peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 })
	wantOutcome(t, h, balancer.OK)
	if n := len(h.pool.endpoints["s-0"].idle); n != 1 {
		t.Errorf("%d idle connections, want 1", n)
	}
}

// TestLongValueThatNeverEnds guards against a long value that goes on a byte at a time for good: each byte comes within
// the stall timeout, but the endpoint keeps the gateway waiting for longer than a whole value may take.
func TestLongValueThatNeverEnds(t *testing.T) {
	ln := peer.Listen(t)
	h := newHarness(t, ln.Addr().String())
	h.pool.cfg.StallTimeout = peer.Patient
	h.pool.cfg.ValueTimeout = 50 * time.Millisecond
	h.sink = &recordingSink{}
	sendAttempt(t, h)
	b := peer.Accept(t, ln)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = b.Try()
		_, _ = b.NC.Write([]byte(tailHead()[:20]))
		for {
			if _, err := b.NC.Write([]byte("v")); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 })
	wantOutcome(t, h, balancer.Failed)
	<-ended
}

// TestSlowSinkDoesNotUseUpTheValueTimeout verifies that the time for which a client does not accept a value is not
// counted as the endpoint's.
func TestSlowSinkDoesNotUseUpTheValueTimeout(t *testing.T) {
	ln := peer.Listen(t)
	h := newHarness(t, ln.Addr().String())
	h.pool.cfg.ValueTimeout = 100 * time.Millisecond
	h.sink = &recordingSink{gate: make(chan struct{})}
	sendAttempt(t, h)
	b := peer.Accept(t, ln)
	go func() {
		_, _ = b.Try()
		_, _ = b.NC.Write([]byte(tailHead() + soundTail))
	}()
	go func() {
		h.sink.gate <- struct{}{}
		time.Sleep(200 * time.Millisecond) // longer than the endpoint may take
		close(h.sink.gate)
	}()
	peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 })
	wantOutcome(t, h, balancer.OK)
}
