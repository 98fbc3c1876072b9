package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/peer"
)

// slowValue is a long value that its endpoint writes in pieces. It takes longer than the 3.6 s after which every
// request of the tests' configuration has timed out in a shutdown.
const (
	slowValueBytes = 1 << 20
	slowPieces     = 50
	slowInterval   = 100 * time.Millisecond
)

// writeSlowValue answers one request with a slow value.
func writeSlowValue(b *peer.Peer) error {
	b.Message()
	text := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", slowValueBytes, strings.Repeat("v", slowValueBytes))
	for i := range slowPieces {
		if _, err := io.WriteString(b.NC, text[i*len(text)/slowPieces:(i+1)*len(text)/slowPieces]); err != nil {
			return fmt.Errorf("after %d of %d pieces: %w", i, slowPieces, err)
		}
		time.Sleep(slowInterval)
	}
	return nil
}

// startTransfer starts a process with one endpoint, and a request on a connection to that endpoint.
func startTransfer(t *testing.T) (n *node, p *process, c *client, b *peer.Peer) {
	t.Helper()
	n = newNode(t, 0, flagserver.Config{})
	ln := peer.Listen(t)
	n.agent.Set(catalog.Serving("s-0", ln.Addr().String()))
	p = n.start()
	p.waitReady()
	c, err := n.dial()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.nc.Close() })
	io.WriteString(c.nc, peer.Command("Q.ASK", peer.Customer, "1", shortList))
	return n, p, c, peer.Accept(t, ln)
}

// TestLongValueOutlastsItsProcess guards against a process that is told to end and cuts off a long value which its
// endpoint still writes: at a planned restart, in an upgrade, and with a reload in between.
func TestLongValueOutlastsItsProcess(t *testing.T) {
	for name, change := range map[string]func(n *node, p *process){
		"restart": func(*node, *process) {},
		"reload and restart": func(_ *node, p *process) {
			p.cmd.Process.Signal(syscall.SIGHUP)
			time.Sleep(slowInterval)
		},
		"upgrade": func(n *node, _ *process) { n.start().waitReady() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n, p, c, b := startTransfer(t)
			written := make(chan error, 1)
			go func() { written <- writeSlowValue(b) }()
			if line, err := c.in.ReadString('\n'); err != nil || line != fmt.Sprintf("$%d\r\n", slowValueBytes) {
				t.Fatalf("%q and %v", line, err)
			}
			change(n, p)
			p.cmd.Process.Signal(syscall.SIGTERM)
			if got, err := io.CopyN(io.Discard, c.in, slowValueBytes+2); err != nil {
				t.Errorf("the value ends after %d bytes: %v", got, err)
			}
			if err := <-written; err != nil {
				t.Errorf("the endpoint can't go on: %v", err)
			}
			p.stop()
			if !strings.Contains(p.log.String(), "unanswered=0") {
				t.Error("the process has left a request unanswered")
			}
		})
	}
}

// shortList is that of a request with the longest timeout of the tests' configuration.
const shortList = "c=evaluate,t=open,d=3000,units=1,spread=1,first=0"

// TestStalledValueDoesNotKeepItsProcess verifies that a process that is told to end does not wait for a long value that
// makes no progress: it ends once the bound of 5 s between two pieces has passed.
func TestStalledValueDoesNotKeepItsProcess(t *testing.T) {
	t.Parallel()
	_, p, c, b := startTransfer(t)
	b.Message()
	b.Write(fmt.Sprintf("*3\r\n$%d\r\n%s", slowValueBytes, strings.Repeat("v", slowValueBytes/2)))
	if _, err := c.in.Peek(1); err != nil {
		t.Fatal(err)
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	got, err := io.Copy(io.Discard, c.in)
	if got >= slowValueBytes || err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%d bytes and %v, want the end amid the value", got, err)
	}
	p.stop()
}

// TestIDRunsOnceAfterItsClientLeft guards against a request of a class that must not be repeated and that runs twice:
// its client leaves while it runs, and comes again with the same ID at the same process or at the next one of an
// upgrade.
func TestIDRunsOnceAfterItsClientLeft(t *testing.T) {
	for name, change := range map[string]func(n *node){
		"same process": func(*node) {},
		"upgrade":      func(n *node) { n.start().waitReady() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, 0, flagserver.Config{})
			ln := peer.Listen(t)
			n.agent.Set(catalog.Serving("s-0", ln.Addr().String()))
			n.replaceInFile(`"effect":"keyed"`, `"effect":"unsafe"`)
			p := n.start()
			p.waitReady()
			c := n.askOnce("1")
			peer.Accept(t, ln).Message()
			change(n)
			p.cmd.Process.Signal(syscall.SIGHUP) // changes nothing
			c.nc.Close()
			time.Sleep(50 * time.Millisecond) // the process has seen the end
			if line, err := n.askOnce("1").in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "-ERR") {
				t.Errorf("the id again: %q and %v", line, err)
			}
			other := n.askOnce("2")
			b := peer.Accept(t, ln)
			if m := b.Message(); m[2] != "2" {
				t.Errorf("request %q runs", m[2])
			}
			b.Write(peer.Answer("value"))
			if line, err := other.in.ReadString('\n'); err != nil || line != "$5\r\n" {
				t.Errorf("another id: %q and %v", line, err)
			}
		})
	}
}

// TestQueuedIDRunsOnceAcrossAnUpgrade guards against a request that must not be repeated and that runs twice: it waits
// in the old process of an upgrade and is sent from there once the new one serves; its client leaves and comes to the
// new one.
func TestQueuedIDRunsOnceAcrossAnUpgrade(t *testing.T) {
	t.Parallel()
	n := newNode(t, 0, flagserver.Config{})
	ln := peer.Listen(t)
	n.agent.Set(catalog.Serving("s-0", ln.Addr().String()))
	n.replaceInFile(`"effect":"keyed"`, `"effect":"unsafe"`)
	p := n.start()
	p.waitReady()
	clients := map[string]*client{}
	for i := range initialSlots + 1 { // the last one waits
		id := fmt.Sprint(i)
		clients[id] = n.askOnce(id)
	}
	var open []*peer.Peer
	for range initialSlots {
		b := peer.Accept(t, ln)
		delete(clients, b.Message()[2])
		open = append(open, b)
	}
	n.start().waitReady()
	open[0].Write(peer.Answer("value"))
	sent := open[0].Message() // the request that has waited
	waiting := clients[sent[2]]
	if waiting == nil {
		t.Fatalf("the endpoint gets %q, which did not wait", sent)
	}
	waiting.nc.Close()
	time.Sleep(50 * time.Millisecond) // the old process has seen the end
	const want = "-ERR the id is that of a request that may have run\r\n"
	if line, err := n.askOnce(sent[2]).in.ReadString('\n'); err != nil || line != want {
		t.Errorf("the id again: %q and %v, want %q", line, err, want)
	}
}

// initialSlots is the number of requests that a gateway has at an endpoint before it knows its latency.
const initialSlots = 4

// askOnce sends a request of the class that must not be repeated on a connection of its own.
func (n *node) askOnce(id string) *client {
	n.t.Helper()
	c, err := n.dial()
	if err != nil {
		n.t.Fatal(err)
	}
	list := strings.Replace(shortList, "evaluate", "change", 1)
	io.WriteString(c.nc, peer.Command("Q.DO", peer.Customer, id, list, "body"))
	return c
}

// replaceInFile changes a text in the configuration.
func (n *node) replaceInFile(old, replacement string) {
	n.t.Helper()
	text, err := os.ReadFile(n.file)
	if err == nil {
		changed := strings.Replace(string(text), old, replacement, 1)
		err = os.WriteFile(n.file, []byte(changed), 0o600)
	}
	if err != nil {
		n.t.Fatal(err)
	}
}
