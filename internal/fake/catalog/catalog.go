// Package catalog is a fake of the platform's discovery agent: it serves an endpoint list over HTTP, once or as a
// watch.
package catalog

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// membersPath is the only path that is served.
	membersPath = "/catalog/members"
	// keepAliveInterval is the time after which a watch without a change is sent an empty line.
	keepAliveInterval = 2 * time.Second
)

// Endpoint is one entry of the list, as it is sent.
type Endpoint struct {
	// Name identifies the endpoint.
	Name string `json:"name"`
	// Address is its host and port.
	Address string `json:"address"`
	// Zone is the zone that it runs in; empty: unknown.
	Zone string `json:"zone"`
	// Type is its type of server.
	Type string `json:"type"`
	// Group is the number of its deduplication scope.
	Group int `json:"group"`
	// Status is SERVING, DRAINING or DELETED.
	Status string `json:"status"`
	// Weight is its weight relative to the others.
	Weight float64 `json:"weight"`
	// SinceMS is when it was started, in milliseconds of the Unix epoch; zero: unknown.
	SinceMS int64 `json:"since_ms"`
}

// endpointList is the body of an answer, and one line of a watch.
type endpointList struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Agent is one fake agent. Every watch is sent the complete list at each change. It is safe for concurrent use.
type Agent struct {
	listener net.Listener
	server   *http.Server

	// mu guards the fields below.
	mu   sync.Mutex
	list endpointList
	// changed is closed at the next change of list.
	changed chan struct{}
}

// Start starts an agent with a list on a free port of loopback.
func Start(list ...Endpoint) (*Agent, error) { return StartAt("127.0.0.1:0", list...) }

// StartAt starts an agent with a list on an address.
func StartAt(addr string, list ...Endpoint) (*Agent, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		listener: listener,
		list:     endpointList{Index: 1, Snapshot: true, Endpoints: list},
		changed:  make(chan struct{}),
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go func() { _ = a.server.Serve(listener) }() // it fails once Close is called
	return a, nil
}

// Serving returns an endpoint in service with weight 1.
func Serving(name, addr string) Endpoint {
	return Endpoint{Name: name, Address: addr, Status: "SERVING", Weight: 1}
}

// Addr returns the host and port that the agent listens on.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Set replaces the list and notifies all watches.
func (a *Agent) Set(list ...Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list.Index++
	a.list.Endpoints = list
	close(a.changed)
	a.changed = make(chan struct{})
}

// Close closes the listener and all connections, watches among them.
func (a *Agent) Close() { _ = a.server.Close() } // the listener is gone in any case

// current returns the list and the channel that is closed at its next change.
func (a *Agent) current() (list endpointList, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list, a.changed
}

// serve answers one request: with the list, or for stream=1 with a watch that begins after the index that is asked
// for.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != membersPath {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	if query.Get("stream") != "1" {
		list, _ := a.current()
		_ = json.NewEncoder(w).Encode(list) // the client has left
		return
	}
	index, _ := strconv.ParseInt(query.Get("index"), 10, 64)
	a.watch(w, r, index)
}

// watch sends the list at each change from an index on, and empty lines between, until the client leaves. Failed
// writes are left to that.
func (a *Agent) watch(w http.ResponseWriter, r *http.Request, index int64) {
	encoder := json.NewEncoder(w)
	for {
		list, changed := a.current()
		if list.Index != index {
			index = list.Index
			_ = encoder.Encode(list)
		} else {
			_, _ = w.Write([]byte("\n"))
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(keepAliveInterval):
		case <-r.Context().Done():
			return
		}
	}
}
