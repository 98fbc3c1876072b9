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

const longSize = 3 << 20

func longResponse(n int) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n%s$-1\r\n", n, strings.Repeat("v", n), peer.Bulk("used=3"))
}

func withStallTimeout(within time.Duration) option {
	return func(c *Config, _ *testing.T) { c.StallTimeout = within }
}

// TestLongValuePassesThrough verifies that a value far larger than a connection's buffer is streamed: the client gets
// its first bytes before its last are sent. Both connections stay usable afterwards, also after the stall timeout.
func TestLongValuePassesThrough(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()}, withStallTimeout(100*time.Millisecond))
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	b.Message()
	text := longResponse(longSize)
	b.Write(text[:100<<10])
	first := make([]byte, 50<<10)
	if _, err := io.ReadFull(c.In, first); err != nil {
		t.Fatal(err)
	}
	go b.NC.Write([]byte(text[100<<10:]))
	rest := make([]byte, len(fmt.Sprintf("$%d\r\n", longSize))+longSize+2-len(first))
	if _, err := io.ReadFull(c.In, rest); err != nil {
		t.Fatal(err)
	}
	if whole := string(first) + string(rest); whole !=
		fmt.Sprintf("$%d\r\n%s\r\n", longSize, strings.Repeat("v", longSize)) {
		t.Error("the value is not the backend's")
	}
	time.Sleep(150 * time.Millisecond) // longer than the stall timeout
	for id := range 2 {
		c.Command("Q.ASK", peer.Customer, fmt.Sprint("again", id), peer.List)
		b.Message() // on the same connection
		b.Write(peer.Answer("short"))
		c.Wants("short")
	}
	if n := env.gateway.Stats.Class("evaluate").Count(0); n != 3 {
		t.Errorf("%d served", n)
	}
}

// TestLongValueInItsTurn verifies that answers keep their order: a long value waits for the answers before it, and
// later answers wait for its end.
func TestLongValueInItsTurn(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	first := peer.Accept(t, ln)
	first.Message()
	c.Command("Q.ASK", peer.Customer, "2", peer.List)
	second := peer.Accept(t, ln)
	second.Message()
	c.Command("PING")
	go second.NC.Write([]byte(longResponse(200 << 10)))
	time.Sleep(20 * time.Millisecond)
	first.Write(peer.Answer("one"))
	c.Wants("one")
	if m := c.Message(); len(m) != 1 || len(m[0]) != 200<<10 {
		t.Errorf("%d items", len(m))
	}
	c.Wants("+PONG")
}

// TestLongValueCutOff verifies what happens if a backend dies or stalls in the middle of a long value, or sends a
// value of the wrong length: the client's connection ends without another answer, the request is not sent again, and
// other clients are not affected.
func TestLongValueCutOff(t *testing.T) {
	for name, cut := range map[string]func(*peer.Peer){
		"dies":         func(b *peer.Peer) { b.NC.Close() },
		"falls silent": func(*peer.Peer) {},
		"wrong length": func(b *peer.Peer) { b.NC.Write([]byte(strings.Repeat("v", 200<<10) + "$-1\r\n$-1\r\n")) },
	} {
		t.Run(name, func(t *testing.T) {
			ln := peer.Listen(t)
			env := start(t, []string{ln.Addr().String()}, withStallTimeout(100*time.Millisecond))
			c, other := env.dial(), env.dial()
			c.Command("Q.ASK", peer.Customer, "1", peer.List)
			b := peer.Accept(t, ln)
			b.Message()
			b.Write(longResponse(200 << 10)[:100<<10])
			cut(b)
			got, err := io.ReadAll(c.In)
			var netError net.Error
			if errors.As(err, &netError) && strings.Contains(err.Error(), "timeout") {
				t.Fatal(err)
			}
			if len(got) < 50<<10 || strings.Contains(string(got), "-ERR") || strings.HasSuffix(string(got), "v\r\n") {
				t.Errorf("%d bytes that end in %q", len(got), got[max(0, len(got)-10):])
			}
			other.Command("Q.ASK", peer.Customer, "2", peer.List)
			again := peer.Accept(t, ln)
			if m := again.Message(); m[2] != "2" {
				t.Errorf("request %q was sent instead of the other client's", m)
			}
			again.Write(peer.Answer("short"))
			other.Wants("short")
			if n := env.gateway.Stats.Class("evaluate").Count(2); n != 1 {
				t.Errorf("%d counted as failed", n)
			}
		})
	}
}

// serveLongValues answers requests whose id begins with "long" with a long value and others with a short one, and
// reports the id of each request before it answers.
func serveLongValues(t *testing.T, ln net.Listener) <-chan string {
	received := make(chan string, 64)
	long, short := longResponse(longSize*4/3), peer.Answer("short")
	peer.Serve(t, ln, func(id string) string {
		received <- id
		if strings.HasPrefix(id, "long") {
			return long
		}
		return short
	})
	return received
}

// wantsForwarded waits until a request is forwarded. Earlier ones may be sent again meanwhile, as they may be retried.
func wantsForwarded(t *testing.T, received <-chan string, id string, earlier map[string]bool) {
	t.Helper()
	timeout := time.After(peer.Patient)
	for {
		select {
		case got := <-received:
			if got == id {
				earlier[id] = true
				return
			}
			if !earlier[got] {
				t.Fatalf("request %q is forwarded, want %q", got, id)
			}
		case <-timeout:
			t.Fatalf("request %q is not forwarded", id)
		}
	}
}

// TestSlowReadersOfLongValues verifies that clients that do not read their long values delay nobody and are aborted,
// and that a client's disconnect ends its transfer. The system's buffers may accept the first value of a client as a
// whole, but not all four.
func TestSlowReadersOfLongValues(t *testing.T) {
	ln := peer.Listen(t)
	addr := ln.Addr().String()
	env := start(t, []string{addr, addr, addr, addr}, withStallTimeout(200*time.Millisecond))
	received := serveLongValues(t, ln)
	forwarded := map[string]bool{}
	c := env.dial()
	for k := range 20 { // a gateway that knows no latency yet rejects some of a burst
		c.Command("Q.ASK", peer.Customer, fmt.Sprint("short-", k), peer.List)
		c.Wants("short")
		forwarded[<-received] = true
	}
	for i := range 4 {
		c := env.dial()
		for j := range 4 { // together more than the socket buffers hold
			id := fmt.Sprintf("long-%d-%d", i, j)
			c.Command("Q.ASK", peer.Customer, id, peer.List)
			wantsForwarded(t, received, id, forwarded)
		}
		if i == 3 {
			c.NC.Close()
		}
	}
	c.Command("Q.ASK", peer.Customer, "other", peer.List)
	c.Wants("short")
	for limit := time.Now().Add(peer.Patient); env.gateway.Stats.Open() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d still open", env.gateway.Stats.Open())
		}
	}
	if aborted := env.gateway.Stats.Class("evaluate").Count(2) +
		uint64(env.gateway.Stats.ClientsDisconnected.Load()); aborted < 4 {
		t.Errorf("%d transfers of four clients were aborted", aborted)
	}
}
