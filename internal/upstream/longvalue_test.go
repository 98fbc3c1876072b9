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

// sink takes a long value.
type sink struct {
	size int
	mu   sync.Mutex
	got  []byte
	most int           // bytes of a piece
	wait chan struct{} // each piece waits for one; nil: none does
	fail error
}

func (s *sink) Write(b []byte) error {
	if s.wait != nil {
		<-s.wait
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got = append(s.got, b...)
	s.most = max(s.most, len(b))
	return s.fail
}

func (s *sink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.got)
}

// A long value is passed on as it comes, whatever the pieces, and nothing of the answer beside it. The connection is
// good for the next attempt.
func TestLongValuesArePassedOn(t *testing.T) {
	ln := peer.Listen(t)
	f := idle(t, ln.Addr().String())
	f.pool.cfg.ValueMemory = resourcelimit.NewBytes(64 << 10)
	size := 300<<10 + 7
	text0 := fmt.Sprintf("$%d\r\n%s\r\n", size, strings.Repeat("v", size))
	var b *peer.Peer
	for _, piece := range []int{1 << 20, 1000, 65536 + 13} {
		f.sink = &sink{}
		try(t, f)
		if b == nil {
			b = peer.Accept(t, ln)
		}
		text := "*3\r\n" + text0 + peer.Bulk("used=37,cost=4") + "$-1\r\n"
		go func() {
			_, _ = b.Try()
			for len(text) > 0 {
				n := min(piece, len(text))
				_, _ = b.NC.Write([]byte(text[:n]))
				text = text[n:]
			}
		}()
		peer.Pump(t, f.Loop, func() bool { return len(f.events) > 0 })
		wantOutcome(t, f, balancer.OK)
		if f.sink.text() != text0 || f.sink.size != size || f.sink.most > longChunkBytes {
			t.Errorf("%d bytes of %d came, %d at once", len(f.sink.got), len(text0), f.sink.most)
		}
		if f.pool.cfg.ValueMemory.Held() != 0 {
			t.Error("the buffer is not given back")
		}
	}
}

// The first bytes go on before the last have come, and nothing is read from the backend that nobody takes.
func TestSlowSinkSlowsTheBackend(t *testing.T) {
	ln := peer.Listen(t)
	f := idle(t, ln.Addr().String())
	f.sink = &sink{wait: make(chan struct{})}
	a := try(t, f)
	b := peer.Accept(t, ln)
	peer.Pump(t, f.Loop, func() bool { return a.connection.writeState.Load() == writeComplete })
	b.Message()
	half := 100 << 10
	b.Write(fmt.Sprintf("*3\r\n$%d\r\n%s", 2*half, strings.Repeat("v", half)))
	peer.Pump(t, f.Loop, func() bool { return a.longValueAt > 0 })
	f.sink.wait <- struct{}{} // the first piece
	for range 8 {             // what is read is no more than the pieces that were taken and one buffer
		select {
		case f.sink.wait <- struct{}{}:
		default:
		}
	}
	f.RunDue(f.Now() + time.Hour) // no deadline runs any more
	if len(f.events) > 0 {
		t.Fatalf("ended in the middle: %v", f.events)
	}
	close(f.sink.wait)
	b.Write(strings.Repeat("v", half) + "\r\n$-1\r\n$-1\r\n")
	peer.Pump(t, f.Loop, func() bool { return len(f.events) > 0 })
	wantOutcome(t, f, balancer.OK)
}

// Each way in which a long value can end badly has its outcome, and never looks whole.
func TestLongValuesThatEndBadly(t *testing.T) {
	head := fmt.Sprintf("*3\r\n$%d\r\n", 100<<10)
	body := strings.Repeat("v", 100<<10)
	for name, c := range map[string]struct {
		text  string
		close bool
		sink  *sink
		want  balancer.Status
	}{
		"dies halfway":        {head + body[:50<<10], true, &sink{}, balancer.Reset},
		"stops halfway":       {head + body[:50<<10], false, &sink{}, balancer.Failed},
		"too long":            {head + body + "v\r\n$-1\r\n$-1\r\n", false, &sink{}, balancer.Failed},
		"longer than allowed": {fmt.Sprintf("*3\r\n$%d\r\n", maxValueBytes+1) + body, false, &sink{}, balancer.Failed},
		"nobody wants it":     {head + body + "\r\n$-1\r\n$-1\r\n", false, nil, balancer.Cancelled},
		"the client has gone": {head + body + "\r\n$-1\r\n$-1\r\n", false, &sink{fail: errors.New("gone")},
			balancer.Cancelled},
		"no figures come":      {head + body + "\r\n", true, &sink{}, balancer.OK},
		"figures are nonsense": {head + body + "\r\nxyz\r\n", false, &sink{}, balancer.OK},
	} {
		t.Run(name, func(t *testing.T) {
			ln := peer.Listen(t)
			f := idle(t, ln.Addr().String())
			f.pool.cfg.StallTimeout = 50 * time.Millisecond
			f.sink = c.sink
			try(t, f)
			b := peer.Accept(t, ln)
			go func() { // it ends when the other side closes
				_, _ = b.Try()
				_, _ = b.NC.Write([]byte(c.text))
				if c.close {
					_ = b.NC.Close()
				}
			}()
			peer.Pump(t, f.Loop, func() bool { return len(f.events) > 0 })
			wantOutcome(t, f, c.want)
			if c.sink != nil && c.want != balancer.OK && strings.HasSuffix(c.sink.text(), "\r\n") &&
				len(c.sink.got) > 20 && c.sink.fail == nil {
				t.Errorf("it looks whole: %d bytes", len(c.sink.got))
			}
			if n := len(f.pool.endpoints["s-0"].idle); n != 0 {
				t.Errorf("%d connections are kept for the next attempt", n)
			}
		})
	}
}
