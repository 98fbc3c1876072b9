package upstream

import (
	"io"
	"strings"
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/fake/peer"
)

// TestBegunAnswerHasItsOwnDeadline guards against an answer that is cut off at the deadline of its attempt, that of a
// probe for instance, after it has begun.
func TestBegunAnswerHasItsOwnDeadline(t *testing.T) {
	ln := peer.Listen(t)
	h := newHarness(t, ln.Addr().String())
	a := &Attempt{
		Endpoint:       "s-0",
		SentAt:         h.Now(),
		Deadline:       h.Now() + time.Second,
		AnswerDeadline: h.Now() + 10*time.Second,
		Owner:          testOwner{h},
	}
	h.pool.Send(a)
	b := peer.Accept(t, ln)
	peer.Pump(t, h.Loop, func() bool { return a.connection.writeState.Load() == writeComplete })
	b.Message()
	b.Write("*")
	peer.Pump(t, h.Loop, func() bool { return h.begun > 0 })
	h.RunDue(a.AnswerDeadline - 1)
	if len(h.outcomes) > 0 {
		t.Fatalf("ended before its deadline: %v", h.outcomes)
	}
	h.RunDue(a.AnswerDeadline)
	wantOutcome(t, h, balancer.Timeout)
	if h.begun != 1 {
		t.Errorf("reported as begun %d times", h.begun)
	}
	b.WantsEnd()
}

// TestShortValueWithLateUsageFigures guards against a value that waits for its usage figures: the owner gets it at
// once, and the figures count if they come within their time.
func TestShortValueWithLateUsageFigures(t *testing.T) {
	for name, figures := range map[string]string{"late": soundTail, "never": "", "malformed": "x\r\n"} {
		t.Run(name, func(t *testing.T) {
			ln := peer.Listen(t)
			h := newHarness(t, ln.Addr().String())
			h.pool.cfg.UsageTimeout = 200 * time.Millisecond
			a, b := startAttempt(t, h, ln)
			b.Write("*3\r\n$5\r\nvalue\r\n")
			peer.Pump(t, h.Loop, func() bool { return h.completed > 0 })
			h.RunDue(a.Deadline) // it has no deadline any more
			h.pool.Cancel(a)     // nor does the end of its request end it
			b.Write(figures)
			peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 })
			wantOutcome(t, h, balancer.OK)
			isSound := figures == soundTail
			if idle := len(h.pool.endpoints["s-0"].idle); idle == 1 != isSound || h.quotaUsed == 38 != isSound {
				t.Errorf("%d idle connections, quota used %d", idle, h.quotaUsed)
			}
			if !isSound {
				b.WantsEnd()
			}
		})
	}
}

// TestSlowValueMakesProgress guards against a sound value that is cut off since it takes longer in all than the value
// timeout, though each piece comes within it.
func TestSlowValueMakesProgress(t *testing.T) {
	const pieces = 20
	ln := peer.Listen(t)
	h := newHarness(t, ln.Addr().String())
	h.pool.cfg.ValueTimeout = 200 * time.Millisecond
	h.sink = &recordingSink{}
	sendAttempt(t, h)
	b := peer.Accept(t, ln)
	go func() {
		_, _ = b.Try()
		text := tailHead() + soundTail
		for i := range pieces {
			_, _ = b.NC.Write([]byte(text[i*len(text)/pieces : (i+1)*len(text)/pieces]))
			time.Sleep(h.pool.cfg.ValueTimeout / 5)
		}
	}()
	peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 })
	wantOutcome(t, h, balancer.OK)
	if got := len(h.sink.text()); got < tailSize || !strings.HasSuffix(h.sink.text(), "v\r\n") {
		t.Errorf("%d bytes", got)
	}
}

// TestLongValueAwaitsTheWriter guards against a long value that is thrown away since the goroutine that writes the last
// part of a large command has not yet said that it is done.
func TestLongValueAwaitsTheWriter(t *testing.T) {
	ln := peer.ListenWithReadBuffer(t, 4<<10)
	h := newHarness(t, ln.Addr().String())
	h.sink = &recordingSink{}
	h.command = make([]byte, 16<<20)
	sendAttempt(t, h)
	b := peer.Accept(t, ln)
	peer.Pump(t, h.Loop, func() bool { return h.delayed > 1 }) // for the connection, and for the endpoint to read
	go func() {
		_, _ = b.NC.Write([]byte(tailHead() + soundTail))
		time.Sleep(100 * time.Millisecond) // the reader has seen it
		_, _ = io.CopyN(io.Discard, b.In, int64(len(h.command)))
	}()
	peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 })
	wantOutcome(t, h, balancer.OK)
	if got := len(h.sink.text()); got < tailSize {
		t.Errorf("%d bytes of the value", got)
	}
}
