package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gapgap/internal/fake/catalog"
	"gapgap/internal/fake/flagserver"
	"gapgap/internal/fake/peer"
)

// evaluateList holds the parameters of a request of the class evaluate.
const evaluateList = "c=evaluate,t=open,d=3000,units=1,spread=1,first=0"

// warmUp sends some requests one after another, as a gateway rejects some of a burst before its first answers.
func (n *node) warmUp() {
	n.t.Helper()
	c := peer.Dial(n.t, n.listen)
	for k := range 20 {
		c.Command("Q.ASK", peer.Customer, fmt.Sprint("first-", k), evaluateList)
		c.Message()
	}
}

// TestUpgradeKeepsAnswersBehindASlowOne guards against answers that are lost because their connection is handed over
// while they wait behind a slow one: the client gets all of them, in order, and goes on with the new process.
func TestUpgradeKeepsAnswersBehindASlowOne(t *testing.T) {
	const behind, size = 40, 60 << 10
	n := newNode(t, 0, flagserver.Config{})
	release := make(chan struct{})
	var received atomic.Int32
	ln := peer.Listen(t)
	peer.Serve(t, ln, func(id string) string {
		received.Add(1)
		if id == "slow" {
			<-release
		}
		return peer.Answer(valueFor(id, size))
	})
	n.listEndpoints(8, ln.Addr().String())
	p := n.start()
	p.waitReady()
	n.warmUp()
	received.Store(0)
	c := peer.Dial(t, n.listen)
	c.Command("Q.ASK", peer.Customer, "slow", evaluateList)
	for k := range behind {
		c.Command("Q.ASK", peer.Customer, fmt.Sprint("behind-", k), evaluateList)
	}
	for limit := time.Now().Add(peer.Patient); received.Load() < behind/2; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d requests are forwarded", received.Load())
		}
	}
	next := n.start()
	next.waitReady()
	p.waitLog("another process serves from now on")
	close(release)
	if m := c.Message()[0]; m != valueFor("slow", size) && !strings.HasPrefix(m, "-") { // its deadline is 3 s
		t.Fatalf("the first answer is %.40q", m)
	}
	served := 0
	for k := range behind {
		switch m := c.Message()[0]; {
		case m == valueFor(fmt.Sprint("behind-", k), size):
			served++
		case !strings.HasPrefix(m, "-BUSY"): // some may be rejected while an endpoint is slow
			t.Fatalf("answer %d is %.40q", k, m)
		}
	}
	if served < behind/2 {
		t.Errorf("%d of %d requests were served", served, behind)
	}
	p.stop()
	c.Command("Q.ASK", peer.Customer, "after", evaluateList)
	c.Wants(valueFor("after", size))
}

// TestUpgradeAmidAnAnswerThatNeverEnds guards against a connection that is never handed over, or whose later requests
// are not answered, because an answer on it does not end after its long value.
func TestUpgradeAmidAnAnswerThatNeverEnds(t *testing.T) {
	const size = 100 << 10
	n := newNode(t, 0, flagserver.Config{})
	ln := peer.Listen(t)
	n.listEndpoints(1, ln.Addr().String())
	p := n.start()
	p.waitReady()
	c := peer.Dial(t, n.listen)
	c.Command("Q.ASK", peer.Customer, "spoilt", evaluateList)
	b := peer.Accept(t, ln)
	b.Message()
	go func() { _, _ = fmt.Fprintf(b.NC, "*3\r\n$%d\r\n%s\r\n", size, strings.Repeat("v", size)) }()
	if m := c.Message(); len(m[0]) != size {
		t.Fatalf("a value of %d bytes", len(m[0]))
	}
	next := n.start()
	next.waitReady()
	c.Command("Q.ASK", peer.Customer, "after", evaluateList)
	sound := peer.Accept(t, ln)
	if m := sound.Message(); len(m) < 3 || m[2] != "after" {
		t.Fatalf("%q is forwarded", m)
	}
	sound.Write(peer.Answer("after"))
	c.Wants("after")
	b.WantsEnd()
	p.stop()
	c.Command("PING")
	c.Wants("+PONG")
}

// valueFor returns a value of the given size that belongs to a request.
func valueFor(id string, size int) string { return strings.Repeat(id+" ", size/(len(id)+1)+1)[:size] }

// listEndpoints replaces the endpoint list by several names of one address.
func (n *node) listEndpoints(names int, address string) {
	var list []catalog.Endpoint
	for k := range names {
		list = append(list, catalog.Serving(fmt.Sprint("s-", k), address))
	}
	n.agent.Set(list...)
}
