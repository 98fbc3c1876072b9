package upstream

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/fake/peer"
	"gapgap/internal/resourcelimit"
)

// bufferedSize is the size of the values of these tests in bytes. Such a value is kept whole while it is received.
const bufferedSize = 60 << 10

// bufferedAnswer is a sound answer with such a value.
func bufferedAnswer() string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n"+soundTail, bufferedSize, strings.Repeat("v", bufferedSize))
}

// wantsMemoryReleased waits until no memory for values is reserved.
func wantsMemoryReleased(t *testing.T, memory *resourcelimit.Bytes) {
	t.Helper()
	for limit := time.Now().Add(peer.Patient); memory.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d bytes are still reserved", memory.Held())
		}
	}
}

// TestAnswersWaitForMemory guards against answers that are thrown away, and endpoints that are taken for faulty,
// because the memory for receiving answers is used up by others: each answer must be received, whatever its pieces.
func TestAnswersWaitForMemory(t *testing.T) {
	const attempts = 20
	for name, firstPiece := range map[string]int{
		"whole answers":                    bufferedSize,
		"all headers before any value":     20,
		"all first halves before a second": bufferedSize / 2,
	} {
		t.Run(name, func(t *testing.T) {
			ln := peer.Listen(t)
			h := newHarness(t, ln.Addr().String())
			memory := resourcelimit.NewBytes(2*bufferedSize + bufferedSize/2)
			h.pool.cfg.ValueMemory = memory
			for range attempts {
				sendAttempt(t, h)
			}
			var begun sync.WaitGroup
			begun.Add(attempts)
			for range attempts {
				b := peer.Accept(t, ln)
				go func() {
					_, _ = b.Try()
					_, _ = b.NC.Write([]byte(bufferedAnswer()[:firstPiece]))
					begun.Done()
					begun.Wait()
					_, _ = b.NC.Write([]byte(bufferedAnswer()[firstPiece:]))
				}()
			}
			peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) == attempts })
			for _, status := range h.outcomes {
				if status != balancer.OK {
					t.Errorf("an attempt ended as %v", status)
				}
			}
			wantsMemoryReleased(t, memory)
		})
	}
}

// TestEndOfTheWaitForMemory verifies that an attempt that ends while its answer waits for memory gives up the wait at
// once and holds nothing, and that the next one is served when there is memory again.
func TestEndOfTheWaitForMemory(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(h *harness)
		want balancer.Status
	}{
		"cancelled": {func(h *harness) { h.pool.Cancel(h.attempt) }, balancer.Cancelled},
		"deadline":  {func(h *harness) { h.RunDue(h.attempt.Deadline) }, balancer.Timeout},
	} {
		t.Run(name, func(t *testing.T) {
			ln := peer.Listen(t)
			h := newHarness(t, ln.Addr().String())
			memory := resourcelimit.NewBytes(2 * bufferedSize)
			memory.Adjust(2 * bufferedSize)
			h.pool.cfg.ValueMemory = memory
			sendAttempt(t, h)
			b := peer.Accept(t, ln)
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = b.Try()
				_, _ = b.NC.Write([]byte(bufferedAnswer()))
			}()
			peer.Pump(t, h.Loop, func() bool { return memory.Waiting() == 1 })
			c.end(h)
			peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 && memory.Waiting() == 0 })
			wantOutcome(t, h, c.want)
			memory.Release(2 * bufferedSize)
			sendAttempt(t, h)
			serveBuffered(t, h, ln)
			<-written
			wantsMemoryReleased(t, memory)
		})
	}
}

// serveBuffered answers the last attempt on a new connection and verifies that it is served.
func serveBuffered(t *testing.T, h *harness, ln net.Listener) {
	t.Helper()
	b := peer.Accept(t, ln)
	go func() {
		_, _ = b.Try()
		_, _ = b.NC.Write([]byte(bufferedAnswer()))
	}()
	peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 })
	wantOutcome(t, h, balancer.OK)
}

// TestLongValuesLeaveMemoryToOthers guards against long values, which may take as long as their clients read, that
// leave no memory for receiving other answers.
func TestLongValuesLeaveMemoryToOthers(t *testing.T) {
	ln := peer.Listen(t)
	h := newHarness(t, ln.Addr().String())
	memory := resourcelimit.NewBytes(6 * longChunkBytes)
	h.pool.cfg.ValueMemory = memory
	h.pool.cfg.StallTimeout = peer.Patient
	for range 8 {
		h.sink = &recordingSink{}
		sendAttempt(t, h)
		b := peer.Accept(t, ln)
		go func() {
			_, _ = b.Try()
			_, _ = b.NC.Write([]byte(tailHead()[:tailSize/2]))
		}()
		sink := h.sink
		peer.Pump(t, h.Loop, func() bool { return len(sink.text()) > longChunkBytes })
	}
	sendAttempt(t, h)
	serveBuffered(t, h, ln)
}

// TestUsageFiguresDoNotWaitForMemoryForGood guards against an attempt that never ends, as its deadline no longer
// applies after its long value and what follows the value waits for memory that others hold.
func TestUsageFiguresDoNotWaitForMemoryForGood(t *testing.T) {
	h, b := startTail(t, 50*time.Millisecond)
	memory := h.pool.cfg.ValueMemory
	const byOthers = 1 << 20
	memory.Adjust(byOthers)
	go func() { _, _ = fmt.Fprintf(b.NC, "$%d\r\n%s", bufferedSize, strings.Repeat("u", bufferedSize/2)) }()
	peer.Pump(t, h.Loop, func() bool { return len(h.outcomes) > 0 })
	wantOutcome(t, h, balancer.OK)
	b.WantsEnd()
	memory.Release(byOthers)
	wantsMemoryReleased(t, memory)
}
