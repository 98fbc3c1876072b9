package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// agent is a stand-in for discovery's agent: PROTOCOL-gapgap.md, "Discovery".
type agent struct {
	addr string
	srv  *http.Server

	mu      sync.Mutex
	index   int64
	entries map[string]object // all that are listed
	changes []change          // in order of their index
	woken   chan struct{}
}

type change struct {
	index int64
	entry object
}

func startAgent(entries ...object) *agent {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("discovery: %v", err)
	}
	a := &agent{addr: ln.Addr().String(), index: 41, entries: map[string]object{}, woken: make(chan struct{})}
	for _, e := range entries {
		a.entries[e["name"].(string)] = e
	}
	a.srv = &http.Server{Handler: a}
	go a.srv.Serve(ln)
	return a
}

// set tells a change.
func (a *agent) set(entry object) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	name := entry["name"].(string)
	if entry["status"] == "DELETED" {
		delete(a.entries, name)
	} else {
		a.entries[name] = entry
	}
	a.changes = append(a.changes, change{a.index, entry})
	close(a.woken)
	a.woken = make(chan struct{})
}

// whole returns the list.
func (a *agent) whole() object {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := []object{}
	for _, e := range a.entries {
		all = append(all, e)
	}
	return object{"index": a.index, "snapshot": true, "endpoints": all}
}

// since returns what changed after a version, and a channel that is closed at the next change.
func (a *agent) since(index int64) (object, chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := []object{}
	for _, c := range a.changes {
		if c.index > index {
			changed = append(changed, c.entry)
		}
	}
	if len(changed) == 0 {
		return nil, a.woken
	}
	return object{"index": a.index, "snapshot": false, "endpoints": changed}, a.woken
}

func (a *agent) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/catalog/members" {
		http.NotFound(w, req)
		return
	}
	if req.URL.Query().Get("stream") != "1" {
		json.NewEncoder(w).Encode(a.whole())
		return
	}
	index, _ := strconv.ParseInt(req.URL.Query().Get("index"), 10, 64)
	if index < 41 {
		list := a.whole()
		json.NewEncoder(w).Encode(list)
		index = list["index"].(int64)
	}
	for {
		w.(http.Flusher).Flush()
		list, woken := a.since(index)
		if list != nil {
			json.NewEncoder(w).Encode(list)
			index = list["index"].(int64)
			continue
		}
		select {
		case <-woken:
		case <-time.After(2 * time.Second):
			fmt.Fprint(w, "\n")
		case <-req.Context().Done():
			return
		}
	}
}
