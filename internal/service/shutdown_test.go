package service

import (
	"strings"
	"testing"
	"time"

	"gapgap/internal/fake/peer"
)

// After SIGTERM connections and requests are still taken for a while; all that was taken is answered; then
// connections end between requests, and the front door too.
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
	early.Command("Q.ASK", peer.Customer, "2", peer.List) // too late: it must not keep the connection open, and has its answer all the same
	b.Write("*1\r\n" + peer.Bulk("value"))
	early.Wants("value")
	if m, err := early.Try(); err == nil && m[0] != "-BUSY" { // or it has crossed the end
		t.Errorf("got %q for what came too late", m)
	} else if err == nil {
		early.WantsEnd()
	}
	select {
	case <-env.gateway.Done():
	case <-time.After(peer.Patient):
		t.Error("it does not end")
	}
}

// The counter and discovery may be silent at the start: the known list is enough to serve by.
func TestServesFromKnownList(t *testing.T) {
	ln := peer.Listen(t)
	silent := peer.Listen(t) // takes connections and says nothing
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
