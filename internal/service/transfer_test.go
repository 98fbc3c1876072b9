package service

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
)

// The tests of this file shut a gateway down while bytes are on the way on a client's connection. Such a transfer is
// bounded by its progress: it goes on for longer than any request may take.

const (
	// shortTimeout is the longest timeout of a request in these tests.
	shortTimeout = 400 * time.Millisecond
	// pieceInterval is the time between two pieces of a transfer.
	pieceInterval = 100 * time.Millisecond
	// pieceCount makes a transfer take much longer than a shutdown that waits for the requests' timeouts only.
	pieceCount = 25
	// stallTimeout bounds the time between two pieces.
	stallTimeout = time.Second
)

// withShortTimeouts limits the time of every request.
func withShortTimeouts(c *Config, _ *testing.T) {
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].ClientTimeout = shortTimeout
		c.Settings.Classes[i].LatencyObjective = shortTimeout
	}
}

// shortList is that of a request within shortTimeout.
var shortList = strings.Replace(peer.List, "d=20000", fmt.Sprint("d=", shortTimeout.Milliseconds()), 1)

// beginLongValue sends a request and the beginning of its long value. It returns the client, which has read nothing of
// it yet, the endpoint, and the rest of the endpoint's answer.
func beginLongValue(t *testing.T, env *testEnv, ln net.Listener, size int) (c, b *peer.Peer, rest string) {
	t.Helper()
	c = env.dial()
	c.Command("Q.ASK", peer.Customer, "1", shortList)
	b = peer.Accept(t, ln)
	b.Message()
	text := longResponse(size)
	b.Write(text[:size/pieceCount])
	if _, err := c.In.Peek(1); err != nil {
		t.Fatal(err)
	}
	return c, b, text[size/pieceCount:]
}

// writeSlowly writes a text in pieces, one in each pieceInterval.
func writeSlowly(b *peer.Peer, text string) error {
	for n := len(text)/pieceCount + 1; len(text) > 0; time.Sleep(pieceInterval) {
		n = min(n, len(text))
		if _, err := io.WriteString(b.NC, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// checkServing checks that the gateway has not ended.
func (env *testEnv) checkServing() {
	env.t.Helper()
	select {
	case <-env.gateway.Done():
		env.t.Error("the gateway has ended amid a transfer")
	default:
	}
}

// waitEnded waits until the gateway has ended and checks that it left no request unanswered.
func (env *testEnv) waitEnded() {
	env.t.Helper()
	select {
	case <-env.gateway.Done():
	case <-time.After(peer.Patient):
		env.t.Fatal("the gateway does not end")
	}
	if n := env.gateway.Unanswered(); n != 0 {
		env.t.Errorf("%d requests unanswered", n)
	}
}

// TestShutdownWaitsForLongValue guards against a shutdown that cuts off a long value which its endpoint still writes: a
// value that has begun has no deadline.
func TestShutdownWaitsForLongValue(t *testing.T) {
	const size = 300 << 10
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()}, withShortTimeouts, withStallTimeout(stallTimeout))
	c, b, rest := beginLongValue(t, env, ln, size)
	c.Command("Q.ASK", peer.Customer, "2", shortList)
	behind := peer.Accept(t, ln)
	behind.Message()
	behind.Write(peer.Answer("behind"))
	env.stop()
	last := len(rest) - size/pieceCount
	if err := writeSlowly(b, rest[:last]); err != nil {
		t.Errorf("the endpoint can't go on: %v", err)
	}
	env.checkServing()
	b.Write(rest[last:])
	if m := c.Message(); len(m[0]) != size {
		t.Errorf("a value of %d bytes", len(m[0]))
	}
	c.Wants("behind")
	c.WantsEnd()
	env.waitEnded()
}

// TestShutdownWaitsForSlowReader guards against a shutdown that cuts off answers which their client reads slowly.
func TestShutdownWaitsForSlowReader(t *testing.T) {
	const values = 4 // together much more than the buffers of the sockets hold
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()}, withShortTimeouts, withStallTimeout(stallTimeout))
	received := serveLongValues(t, ln)
	c := env.dial()
	c.NC.(*net.TCPConn).SetReadBuffer(64 << 10)
	for i := range values {
		id := fmt.Sprint("long-", i)
		c.Command("Q.ASK", peer.Customer, id, shortList)
		wantsForwarded(t, received, id, map[string]bool{})
	}
	env.stop()
	const size = longSize * 4 / 3
	want := values * (len(fmt.Sprintf("$%d\r\n", size)) + size + 2)
	piece := make([]byte, want/pieceCount)
	for got := 0; got < want; time.Sleep(pieceInterval) {
		n, err := io.ReadFull(c.In, piece[:min(len(piece), want-got)])
		if err != nil {
			t.Fatalf("the values end after %d of %d bytes: %v", got+n, want, err)
		}
		got += n
		if got < want/2 {
			env.checkServing()
		}
	}
	c.WantsEnd()
	env.waitEnded()
}

// TestShutdownEndsAStalledTransfer verifies that a shutdown does not wait for a transfer that makes no progress: its
// connection ends amid the value once the bound between two pieces has passed.
func TestShutdownEndsAStalledTransfer(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()}, withShortTimeouts, withStallTimeout(stallTimeout))
	c, _, _ := beginLongValue(t, env, ln, 300<<10)
	env.stop()
	got, err := io.ReadAll(c.In)
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		t.Fatal("the client's connection does not end")
	}
	if strings.Contains(string(got), "-ERR") || strings.HasSuffix(string(got), "\r\n") {
		t.Errorf("the value ends in %q", got[max(0, len(got)-10):])
	}
	env.waitEnded()
}

// TestShutdownReadsTheRestOfACommand guards against a shutdown that ends while a client is writing a command. The
// command is refused once it is whole.
func TestShutdownReadsTheRestOfACommand(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()}, withShortTimeouts)
	c := env.dial()
	c.Command("PING")
	c.Wants("+PONG")
	text := peer.Command("Q.ASK", peer.Customer, "1", shortList)
	c.Write(text[:len(text)/2])
	env.stop()
	time.Sleep(1500 * time.Millisecond) // longer than a shutdown that waits for the requests' timeouts only
	env.checkServing()
	c.Write(text[len(text)/2:])
	c.Wants("-BUSY")
	c.WantsEnd()
	env.waitEnded()
}
