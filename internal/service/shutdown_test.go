package service

import (
	"strings"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
)

// TestShutdownAnswersWhatWasTaken verifies a shutdown: connections and requests are still accepted for a while, every
// accepted request is answered, connections end between requests, and then the gateway ends.
func TestShutdownAnswersWhatWasTaken(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, []string{ln.Addr().String()})
	early, quiet := env.dial(), env.dial()
	quiet.Command("PING")
	quiet.Wants("+PONG")
	early.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	b.Message()
	env.stop()
	late := env.dial()
	late.Command("PING")
	late.Wants("+PONG")
	quiet.WantsEnd()
	late.WantsEnd()
	// This request is too late: it is answered, but must not keep the connection open.
	early.Command("Q.ASK", peer.Customer, "2", peer.List)
	b.Write("*1\r\n" + peer.Bulk("value"))
	early.Wants("value")
	if m, err := early.Try(); err == nil && m[0] != "-BUSY" { // unless the connection ended first
		t.Errorf("late request got %q", m)
	} else if err == nil {
		early.WantsEnd()
	}
	select {
	case <-env.gateway.Done():
	case <-time.After(peer.Patient):
		t.Error("the gateway does not end")
	}
}

// TestServesFromKnownList verifies that the gateway serves by its known list of backends while neither the counter nor
// discovery answers.
func TestServesFromKnownList(t *testing.T) {
	ln := peer.Listen(t)
	silent := peer.Listen(t) // accepts connections and sends nothing
	env := start(t, []string{ln.Addr().String()}, func(c *Config, t *testing.T) {
		c.Discovery, c.Counter = silent.Addr().String(), silent.Addr().String()
		c.Settings.UseCounter = true
	})
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", strings.Replace(peer.List, "t=open", "t=starter", 1))
	b := peer.Accept(t, ln)
	b.Message()
	b.Write("*1\r\n" + peer.Bulk("value"))
	c.Wants("value")
}
