package front

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Changes reach the pools and the Door, and a watch that ends is taken up from the last index.
func TestWatch(t *testing.T) {
	first, second := listen(t), listen(t)
	w := start(t, []string{first.Addr().String()})
	if from := <-w.watches; from != "1" {
		t.Errorf("the watch begins at %s", from)
	}
	m := members(7, first.Addr().String(), second.Addr().String())
	m.Snapshot = false
	m.Endpoints[0].Status = "DRAINING"
	w.news <- m
	w.news <- Members{Index: -1}
	if from := <-w.watches; from != "7" {
		t.Errorf("the watch goes on at %s", from)
	}
	c := w.dial()
	c.command("Q.ASK", customer, "1", list)
	b := accept(t, second)
	b.message()
	b.write("*1\r\n" + bulk("value"))
	c.wants("value")
}

// What makes no sense in a list is passed over; a line that is no list ends the watch only.
func TestOddLists(t *testing.T) {
	ln := listen(t)
	w := start(t, nil)
	c := w.dial()
	c.command("PING") // it can't serve yet
	c.wantsPrefix("-LOADING")
	m := members(3, ln.Addr().String())
	odd := m.Endpoints[0]
	odd.Status = "ASLEEP"
	m.Endpoints = append(m.Endpoints, odd, Endpoint{})
	w.news <- m
	w.news <- Members{Index: -1}
	<-w.watches
	<-w.watches
	c.command("PING")
	c.wants("+PONG")
	c.command("Q.ASK", customer, "1", list)
	b := accept(t, ln)
	b.message()
	b.write("*1\r\n" + bulk("value"))
	c.wants("value")
}

// A new configuration moves the watch, from the index that was reached; what the old agent still says is no
// longer taken.
func TestWatchMoves(t *testing.T) {
	ln := listen(t)
	w := start(t, nil)
	<-w.watches
	w.news <- members(5)
	next := &world{t: t, news: make(chan Members), watches: make(chan string, 16)}
	agent := httptest.NewServer(http.HandlerFunc(next.serveWatch))
	defer agent.Close()
	defer agent.CloseClientConnections()
	w.news <- Members{Index: -1} // the list was read before the watch ended, and the next begins
	if from := <-w.watches; from != "5" {
		t.Errorf("the watch goes on at %s", from)
	}
	w.f.Reload(strings.TrimPrefix(agent.URL, "http://"), w.f.cfg.Counter)
	if from := <-next.watches; from != "5" {
		t.Errorf("the watch begins at %s", from)
	}
	next.news <- members(6, ln.Addr().String())
	c := w.dial()
	c.command("Q.ASK", customer, "1", list)
	b := accept(t, ln)
	b.message()
	b.write("*1\r\n" + bulk("value"))
	c.wants("value")
}
