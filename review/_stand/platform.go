package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is a backend in discovery's form.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// list is a list of backends, or a change of it.
type list struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

// agent is the platform's discovery agent.
type agent struct {
	mu      sync.Mutex
	index   int64
	entries map[string]entry
	// changes holds the index at which each entry changed last.
	changes map[string]int64
	changed chan struct{}
	addr    string
}

// startAgent serves discovery on a free port.
func startAgent(entries []entry) (*agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{index: 40, entries: map[string]entry{}, changes: map[string]int64{}, changed: make(chan struct{}),
		addr: ln.Addr().String()}
	for _, e := range entries {
		a.entries[e.Name] = e
		a.changes[e.Name] = a.index
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/catalog/members", a.serve)
	go http.Serve(ln, mux)
	return a, nil
}

// set changes an entry and tells the watches.
func (a *agent) set(e entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	a.entries[e.Name] = e
	a.changes[e.Name] = a.index
	close(a.changed)
	a.changed = make(chan struct{})
}

// snapshot returns the whole list.
func (a *agent) snapshot() list {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := list{Index: a.index, Snapshot: true, Endpoints: []entry{}}
	for _, e := range a.entries {
		if e.Status != "DELETED" {
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	return l
}

// after returns what changed after an index, and a channel that is closed at the next change.
func (a *agent) after(index int64) (list, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := list{Index: a.index, Endpoints: []entry{}}
	for name, at := range a.changes {
		if at > index {
			l.Endpoints = append(l.Endpoints, a.entries[name])
		}
	}
	return l, a.changed
}

// serve answers a call for the list, or a watch.
func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	encode := json.NewEncoder(w)
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("stream") == "" {
		encode.Encode(a.snapshot())
		return
	}
	index, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	flush := w.(http.Flusher)
	for first := true; ; first = false {
		changes, next := a.after(index)
		index = changes.Index
		switch {
		case first && len(changes.Endpoints) == 0:
			encode.Encode(a.snapshot())
		case len(changes.Endpoints) > 0:
			encode.Encode(changes)
		}
		flush.Flush()
		for waiting := true; waiting; {
			select {
			case <-next:
				waiting = false
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				fmt.Fprint(w, "\n")
				flush.Flush()
			}
		}
	}
}

// counterServer is the quota counter.
type counterServer struct {
	mu     sync.Mutex
	totals map[string]float64
	addr   string
}

// startCounter serves the counter on a free port.
func startCounter() (*counterServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &counterServer{totals: map[string]float64{}, addr: ln.Addr().String()}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

// serve answers the calls of one connection in order.
func (c *counterServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		line, err := readLine(in)
		if err != nil {
			return
		}
		time.Sleep(time.Millisecond) // a call takes 0.55 to 1.7 ms
		words := strings.Fields(line)
		answer := "error"
		switch {
		case line == "ping":
			answer = "pong"
		case len(words) == 4 && words[0] == "add":
			amount, err := strconv.ParseFloat(words[2], 64)
			ttl, err2 := strconv.Atoi(words[3])
			if err == nil && err2 == nil && ttl >= 1 {
				answer = "ok " + strconv.FormatFloat(c.add(words[1], amount, ttl), 'f', -1, 64)
			}
		}
		if _, err := fmt.Fprintf(conn, "%s\r\n", answer); err != nil {
			return
		}
	}
}

// add adds to a number, which is forgotten when its life is over.
func (c *counterServer) add(name string, amount float64, ttl int) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.totals[name]; !ok {
		time.AfterFunc(time.Duration(min(ttl, 60000))*time.Millisecond, func() {
			c.mu.Lock()
			delete(c.totals, name)
			c.mu.Unlock()
		})
	}
	c.totals[name] += amount
	return c.totals[name]
}
