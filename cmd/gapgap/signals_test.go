package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/peer"
)

// TestSignalsAmidARequest verifies that SIGTERM, SIGHUP with new settings and a second SIGTERM can follow each other
// while a request is in flight: the request is answered by the settings under which it arrived, idle connections are
// closed, and the process ends without an error.
func TestSignalsAmidARequest(t *testing.T) {
	n := newNode(t, 0, flagserver.Config{})
	ln := peer.Listen(t)
	n.agent.Set(catalog.Serving("s-0", ln.Addr().String()))
	p := n.start()
	p.waitReady()
	c, idle := n.mustDial(), n.mustDial()
	if got, err := idle.ask("PING"); err != nil || got != "+PONG\r\n" {
		t.Fatal(got, err)
	}
	answer := make(chan string, 1)
	go func() {
		line, err := c.ask("Q.DO", peer.Customer, "1", strings.Replace(peer.Keyed, "d=20000", "d=3000", 1), "body")
		answer <- fmt.Sprint(line, err)
	}()
	b := peer.Accept(t, ln)
	b.Message()
	n.editConfig(func(cfg map[string]any) {
		classes := cfg["settings"].(map[string]any)["classes"].([]any)
		classes[1].(map[string]any)["effect"], classes[1].(map[string]any)["name"] = "unsafe", "other"
	})
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := p.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	p.waitLog("configuration read again")
	if _, err := idle.in.ReadByte(); err == nil {
		t.Error("the idle connection is not closed")
	}
	b.Write("*1\r\n" + peer.Bulk("value"))
	if got := <-answer; got != "$5\r\n<nil>" {
		t.Errorf("answered %q", got)
	}
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("the process ended with %v", err)
		}
	case <-time.After(peer.Patient):
		t.Error("the process does not end")
	}
}

// TestKilledRightAfterSIGTERM verifies that another process can serve at the same address at once after SIGTERM and
// SIGKILL.
func TestKilledRightAfterSIGTERM(t *testing.T) {
	n := newNode(t, 1, flagserver.Config{})
	for range 5 {
		p := n.start()
		p.waitReady()
		c := n.mustDial()
		if got, err := c.ask("PING"); err != nil || got != "+PONG\r\n" {
			t.Fatal(got, err)
		}
		p.cmd.Process.Signal(syscall.SIGTERM)
		p.kill()
		if _, err := c.in.ReadByte(); err == nil {
			t.Error("the connection is still open")
		}
	}
}

// mustDial is dial, but fails the test on an error.
func (n *node) mustDial() *client {
	n.t.Helper()
	c, err := n.dial()
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { c.nc.Close() })
	return c
}
