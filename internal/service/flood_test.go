package service

import (
	"strings"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
)

// TestRepliesInARowArePaced guards against clients that send commands at full speed which the gateway answers by itself:
// after some in a row it pauses after each. Commands in small numbers, and those among requests, are answered at once.
func TestRepliesInARowArePaced(t *testing.T) {
	const unpaced, delay = 16, 5 * time.Millisecond
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	c := env.dial()
	pings := func(n int) time.Duration {
		began := time.Now()
		c.Write(strings.Repeat(peer.Command("PING"), n))
		for range n {
			c.Wants("+PONG")
		}
		return time.Since(began)
	}
	pings(unpaced)
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	b.Message()
	b.Write(peer.Answer("one"))
	c.Wants("one")
	pings(unpaced) // the request has ended the row
	const more = 60
	if took := pings(more); took < (more-1)*delay {
		t.Errorf("%d more commands in a row were answered within %v, want at least %v", more, took, (more-1)*delay)
	}
}
