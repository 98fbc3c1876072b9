package service

import (
	"gapgap/internal/discovery"
	"gapgap/internal/fake/peer"

	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestWatch verifies that changes reach the proxy, and that a watch that ends is resumed at the last index.
func TestWatch(t *testing.T) {
	first, second := peer.Listen(t), peer.Listen(t)
	env := start(t, []string{first.Addr().String()})
	if from := <-env.watches; from != "1" {
		t.Errorf("the watch begins at %s", from)
	}
	m := endpoints(7, first.Addr().String(), second.Addr().String())
	m.Snapshot = false
	m.Endpoints[0].Status = "DRAINING"
	env.updates <- m
	env.updates <- discovery.EndpointList{Index: -1}
	if from := <-env.watches; from != "7" {
		t.Errorf("the watch goes on at %s", from)
	}
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, second)
	b.Message()
	b.Write("*1\r\n" + peer.Bulk("value"))
	c.Wants("value")
}

// TestOddLists verifies that invalid entries of a list are skipped, and that the end of a watch changes nothing.
func TestOddLists(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, nil)
	c := env.dial()
	c.Command("PING") // no backend is known yet
	c.WantsPrefix("-LOADING")
	m := endpoints(3, ln.Addr().String())
	invalid := m.Endpoints[0]
	invalid.Status = "ASLEEP"
	m.Endpoints = append(m.Endpoints, invalid, discovery.Endpoint{})
	env.updates <- m
	env.updates <- discovery.EndpointList{Index: -1}
	<-env.watches
	<-env.watches
	c.Command("PING")
	c.Wants("+PONG")
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	b.Message()
	b.Write("*1\r\n" + peer.Bulk("value"))
	c.Wants("value")
}

// TestWatchMoves verifies that a new discovery address moves the watch, which resumes at the last index there.
func TestWatchMoves(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, nil)
	<-env.watches
	env.updates <- endpoints(5)
	next := &testEnv{t: t, updates: make(chan discovery.EndpointList), watches: make(chan string, 16)}
	agent := httptest.NewServer(http.HandlerFunc(next.serveWatch))
	defer agent.Close()
	defer agent.CloseClientConnections()
	env.updates <- discovery.EndpointList{Index: -1} // the list is read before the watch ends and the next begins
	if from := <-env.watches; from != "5" {
		t.Errorf("the watch goes on at %s", from)
	}
	env.gateway.SetAddresses(strings.TrimPrefix(agent.URL, "http://"), env.gateway.cfg.Counter)
	if from := <-next.watches; from != "5" {
		t.Errorf("the watch begins at %s", from)
	}
	next.updates <- endpoints(6, ln.Addr().String())
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	b.Message()
	b.Write("*1\r\n" + peer.Bulk("value"))
	c.Wants("value")
}
