package upstream

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/fake/peer"
	"gapgap/internal/resourcelimit"
)

// recordingSink is a Sink that records the value.
type recordingSink struct {
	size         int
	mu           sync.Mutex
	received     []byte
	longestPiece int           // in bytes
	gate         chan struct{} // if not nil, Write receives from it before each piece
	err          error
}

func (s *recordingSink) Write(b []byte) error {
	if s.gate != nil {
		<-s.gate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, b...)
	s.longestPiece = max(s.longestPiece, len(b))
	return s.err
}

func (s *recordingSink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.received)
}

// TestLongValuesArePassedOn verifies that a long value is streamed however it is split on arrival, that nothing else of
// the answer reaches the sink, and that the connection is reused for the next attempt.
func TestLongValuesArePassedOn(t *testing.T) {
	ln := peer.Listen(t)
	h := newHarness(t, ln.Addr().String())
	h.pool.cfg.ValueMemory = resourcelimit.NewBytes(64 << 10)
	size := 300<<10 + 7
	bulkValue := fmt.Sprintf("$%d\r\n%s\r\n", size, strings.Repeat("v", size))
	var b *peer.Peer
	for _, piece := range []int{1 << 20, 1000, 65536 + 13} {
		h.sink = &recordingSink{}
		sendAttempt(t, h)
		if b == nil {
			b = peer.Accept(t, ln)
		}
		text := "*3\r\n" + bulkValue + peer.Bulk("used=37,cost=4") + "$-1\r\n"
		go func() {
			_, _ = b.Try()
			for len(text) > 0 {
				n := min(piece, len(text))
				_, _ = b.NC.Write([]byte(text[:n]))
				text = text[n:]
			}
		}()
		peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 })
		wantOutcome(t, h, balancer.OK)
		if h.sink.text() != bulkValue || h.sink.size != size || h.sink.longestPiece > longChunkBytes {
			t.Errorf("the sink received %d bytes, want %d; longest piece %d", len(h.sink.received),
				len(bulkValue), h.sink.longestPiece)
		}
		if h.pool.cfg.ValueMemory.Held() != 0 {
			t.Error("the memory of the buffer is not released")
		}
	}
}

// TestSlowSinkSlowsTheBackend verifies that the first bytes of a long value are forwarded before the last have arrived,
// and that no more is read from the endpoint than the sink accepts.
func TestSlowSinkSlowsTheBackend(t *testing.T) {
	ln := peer.Listen(t)
	h := newHarness(t, ln.Addr().String())
	h.sink = &recordingSink{gate: make(chan struct{})}
	a := sendAttempt(t, h)
	b := peer.Accept(t, ln)
	peer.Pump(t, h.Loop, func() bool { return a.connection.writeState.Load() == writeComplete })
	b.Message()
	half := 100 << 10
	b.Write(fmt.Sprintf("*3\r\n$%d\r\n%s", 2*half, strings.Repeat("v", half)))
	peer.Pump(t, h.Loop, func() bool { return h.sink.size > 0 })
	h.sink.gate <- struct{}{} // the first piece
	for range 8 {             // at most the accepted pieces and one buffer are read
		select {
		case h.sink.gate <- struct{}{}:
		default:
		}
	}
	h.RunDue(h.Now() + time.Hour) // the attempt has no deadline any more
	if len(h.outcomes) > 0 {
		t.Fatalf("the attempt ended before the value was complete: %v", h.outcomes)
	}
	close(h.sink.gate)
	b.Write(strings.Repeat("v", half) + "\r\n$-1\r\n$-1\r\n")
	peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 })
	wantOutcome(t, h, balancer.OK)
}

// TestLongValuesThatEndBadly verifies the result of each way in which a long value can fail, and that an incomplete
// value never looks complete to the client.
func TestLongValuesThatEndBadly(t *testing.T) {
	head := fmt.Sprintf("*3\r\n$%d\r\n", 100<<10)
	body := strings.Repeat("v", 100<<10)
	for name, c := range map[string]struct {
		text  string
		close bool
		sink  *recordingSink
		want  balancer.Status
	}{
		"dies halfway":  {head + body[:50<<10], true, &recordingSink{}, balancer.Reset},
		"stops halfway": {head + body[:50<<10], false, &recordingSink{}, balancer.Failed},
		"too long":      {head + body + "v\r\n$-1\r\n$-1\r\n", false, &recordingSink{}, balancer.Failed},
		"longer than allowed": {fmt.Sprintf("*3\r\n$%d\r\n", maxValueBytes+1) + body, false, &recordingSink{},
			balancer.Failed},
		"nobody wants it": {head + body + "\r\n$-1\r\n$-1\r\n", false, nil, balancer.Cancelled},
		"the client has gone": {head + body + "\r\n$-1\r\n$-1\r\n", false, &recordingSink{err: errors.New("gone")},
			balancer.Cancelled},
		"no figures come":      {head + body + "\r\n", true, &recordingSink{}, balancer.OK},
		"figures are nonsense": {head + body + "\r\nxyz\r\n", false, &recordingSink{}, balancer.OK},
	} {
		t.Run(name, func(t *testing.T) {
			ln := peer.Listen(t)
			h := newHarness(t, ln.Addr().String())
			h.pool.cfg.StallTimeout = 50 * time.Millisecond
			h.sink = c.sink
			sendAttempt(t, h)
			b := peer.Accept(t, ln)
			go func() { // ends when the other side closes the connection
				_, _ = b.Try()
				_, _ = b.NC.Write([]byte(c.text))
				if c.close {
					_ = b.NC.Close()
				}
			}()
			peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 })
			wantOutcome(t, h, c.want)
			if c.sink != nil && c.want != balancer.OK && strings.HasSuffix(c.sink.text(), "\r\n") &&
				len(c.sink.received) > 20 && c.sink.err == nil {
				t.Errorf("an incomplete value looks complete: %d bytes", len(c.sink.received))
			}
			if n := len(h.pool.endpoints["s-0"].idle); n != 0 {
				t.Errorf("%d idle connections are kept, want 0", n)
			}
		})
	}
}
