package service

import (
	"gapgap/internal/discovery"
	"gapgap/internal/fake/peer"

	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Changes reach the pools and the Door, and a watch that ends is taken up from the last index.
func TestWatch(t *testing.T) {
	first, second := peer.Listen(t), peer.Listen(t)
	env := start(t, []string{first.Addr().String()})
	if from := <-env.watches; from != "1" {
		t.Errorf("the watch begins at %s", from)
	}
	m := endpoints(7, first.Addr().String(), second.Addr().String())
	m.Snapshot = false
	m.Endpoints[0].Status = "DRAINING"
	env.news <- m
	env.news <- discovery.EndpointList{Index: -1}
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

// What makes no sense in a list is passed over; a line that is no list ends the watch only.
func TestOddLists(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, nil)
	c := env.dial()
	c.Command("PING") // it can't serve yet
	c.WantsPrefix("-LOADING")
	m := endpoints(3, ln.Addr().String())
	odd := m.Endpoints[0]
	odd.Status = "ASLEEP"
	m.Endpoints = append(m.Endpoints, odd, discovery.Endpoint{})
	env.news <- m
	env.news <- discovery.EndpointList{Index: -1}
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

// A new configuration moves the watch, from the index that was reached; what the old agent still says is no
// longer taken.
func TestWatchMoves(t *testing.T) {
	ln := peer.Listen(t)
	env := start(t, nil)
	<-env.watches
	env.news <- endpoints(5)
	next := &testEnv{t: t, news: make(chan discovery.EndpointList), watches: make(chan string, 16)}
	agent := httptest.NewServer(http.HandlerFunc(next.serveWatch))
	defer agent.Close()
	defer agent.CloseClientConnections()
	env.news <- discovery.EndpointList{Index: -1} // the list was read before the watch ended, and the next begins
	if from := <-env.watches; from != "5" {
		t.Errorf("the watch goes on at %s", from)
	}
	env.gateway.SetAddresses(strings.TrimPrefix(agent.URL, "http://"), env.gateway.cfg.Counter)
	if from := <-next.watches; from != "5" {
		t.Errorf("the watch begins at %s", from)
	}
	next.news <- endpoints(6, ln.Addr().String())
	c := env.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	b.Message()
	b.Write("*1\r\n" + peer.Bulk("value"))
	c.Wants("value")
}
