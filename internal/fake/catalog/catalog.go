// Package catalog implements a fake discovery agent for tests. It serves an endpoint list over HTTP, either once or as
// a watch.
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
	// membersPath is the path of the endpoint list. All other paths are answered with 404.
	membersPath = "/catalog/members"
	// keepAliveInterval is how often a watch without changes is sent an empty line.
	keepAliveInterval = 2 * time.Second
)

// Endpoint is one entry of the endpoint list, in its JSON form.
type Endpoint struct {
	// Name identifies the endpoint uniquely.
	Name string `json:"name"`
	// Address is the endpoint's host and port.
	Address string `json:"address"`
	// Zone is the zone that the endpoint runs in. Empty means unknown.
	Zone string `json:"zone"`
	// Type is the server type.
	Type string `json:"type"`
	// Group is the number of the endpoint's dedup scope.
	Group int `json:"group"`
	// Status is SERVING, DRAINING or DELETED.
	Status string `json:"status"`
	// Weight is the endpoint's weight relative to the others.
	Weight float64 `json:"weight"`
	// SinceMS is when the endpoint was started, in milliseconds since the Unix epoch. Zero means unknown.
	SinceMS int64 `json:"since_ms"`
}

// endpointList is the body of a response, or one line of a watch.
type endpointList struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Agent is a fake discovery agent. Each change sends the complete list to every watch. It is safe for concurrent use.
type Agent struct {
	listener net.Listener
	server   *http.Server

	// mu guards the fields below.
	mu   sync.Mutex
	list endpointList
	// changed is closed when list changes next.
	changed chan struct{}
}

// Start starts an agent that serves a list on a free loopback port.
func Start(list ...Endpoint) (*Agent, error) { return StartAt("127.0.0.1:0", list...) }

// StartAt starts an agent that serves a list on a given address.
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
	go func() { _ = a.server.Serve(listener) }() // Serve returns an error once Close is called
	return a, nil
}

// Serving returns an endpoint with status SERVING and weight 1.
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

// Close closes the listener and all connections, including watches.
func (a *Agent) Close() { _ = a.server.Close() } // the listener is closed even on error

// current returns the list and the channel that is closed at its next change.
func (a *Agent) current() (list endpointList, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list, a.changed
}

// serve handles one request. It responds with the list or, for stream=1, with a watch that starts after the requested
// index.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != membersPath {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	if query.Get("stream") != "1" {
		list, _ := a.current()
		_ = json.NewEncoder(w).Encode(list) // fails only if the client has disconnected
		return
	}
	index, _ := strconv.ParseInt(query.Get("index"), 10, 64)
	a.watch(w, r, index)
}

// watch sends the list unless its index equals the given one, and again at each change, with empty lines as
// keep-alives, until the client disconnects. Write errors are ignored: they mean that the client has disconnected,
// which ends the loop.
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
