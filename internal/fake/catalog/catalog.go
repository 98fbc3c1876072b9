// Package catalog is a stand-in for the platform's discovery agent: a list of backends over HTTP, whole or watched.
package catalog

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is one backend.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // SERVING, DRAINING, DELETED
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

type members struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Agent is one agent. Every watch is told the whole list at each change.
type Agent struct {
	ln   net.Listener
	srv  *http.Server
	mu   sync.Mutex
	list members
	news chan struct{} // closed at a change
}

// Start listens on loopback with a list.
func Start(list ...Endpoint) (*Agent, error) { return StartAt("127.0.0.1:0", list...) }

// StartAt listens on an address with a list.
func StartAt(addr string, list ...Endpoint) (*Agent, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	a := &Agent{ln: ln, news: make(chan struct{}), list: members{Index: 1, Snapshot: true, Endpoints: list}}
	a.srv = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go a.srv.Serve(ln)
	return a, nil
}

// Serving is an endpoint in service.
func Serving(name, addr string) Endpoint {
	return Endpoint{Name: name, Address: addr, Status: "SERVING", Weight: 1}
}

// Addr is where it listens.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Set gives a new list.
func (a *Agent) Set(list ...Endpoint) {
	a.mu.Lock()
	a.list.Index++
	a.list.Endpoints = list
	close(a.news)
	a.news = make(chan struct{})
	a.mu.Unlock()
}

// Close ends it and all watches.
func (a *Agent) Close() { a.srv.Close() }

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	stream := r.URL.Query().Get("stream") == "1"
	out := json.NewEncoder(w)
	for {
		a.mu.Lock()
		list, news := a.list, a.news
		a.mu.Unlock()
		if !stream {
			out.Encode(list)
			return
		}
		if list.Index != from {
			from = list.Index
			out.Encode(list)
		} else {
			w.Write([]byte("\n"))
		}
		w.(http.Flusher).Flush()
		select {
		case <-news:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}
