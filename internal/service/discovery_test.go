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
	w := start(t, []string{first.Addr().String()})
	if from := <-w.watches; from != "1" {
		t.Errorf("the watch begins at %s", from)
	}
	m := members(7, first.Addr().String(), second.Addr().String())
	m.Snapshot = false
	m.Endpoints[0].Status = "DRAINING"
	w.news <- m
	w.news <- discovery.EndpointList{Index: -1}
	if from := <-w.watches; from != "7" {
		t.Errorf("the watch goes on at %s", from)
	}
	c := w.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, second)
	b.Message()
	b.Write("*1\r\n" + peer.Bulk("value"))
	c.Wants("value")
}

// What makes no sense in a list is passed over; a line that is no list ends the watch only.
func TestOddLists(t *testing.T) {
	ln := peer.Listen(t)
	w := start(t, nil)
	c := w.dial()
	c.Command("PING") // it can't serve yet
	c.WantsPrefix("-LOADING")
	m := members(3, ln.Addr().String())
	odd := m.Endpoints[0]
	odd.Status = "ASLEEP"
	m.Endpoints = append(m.Endpoints, odd, discovery.Endpoint{})
	w.news <- m
	w.news <- discovery.EndpointList{Index: -1}
	<-w.watches
	<-w.watches
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
	w := start(t, nil)
	<-w.watches
	w.news <- members(5)
	next := &world{t: t, news: make(chan discovery.EndpointList), watches: make(chan string, 16)}
	agent := httptest.NewServer(http.HandlerFunc(next.serveWatch))
	defer agent.Close()
	defer agent.CloseClientConnections()
	w.news <- discovery.EndpointList{Index: -1} // the list was read before the watch ended, and the next begins
	if from := <-w.watches; from != "5" {
		t.Errorf("the watch goes on at %s", from)
	}
	w.p.SetAddresses(strings.TrimPrefix(agent.URL, "http://"), w.p.cfg.Counter)
	if from := <-next.watches; from != "5" {
		t.Errorf("the watch begins at %s", from)
	}
	next.news <- members(6, ln.Addr().String())
	c := w.dial()
	c.Command("Q.ASK", peer.Customer, "1", peer.List)
	b := peer.Accept(t, ln)
	b.Message()
	b.Write("*1\r\n" + peer.Bulk("value"))
	c.Wants("value")
}
