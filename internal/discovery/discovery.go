// Package discovery watches the endpoint list at the platform's agent, over HTTP.
//
// One goroutine for each watch reads lists and posts them to the event loop, which owns the list as it is known.
// Whatever goes wrong with one call, the next has the list within 6 s of discovery having it and being reachable,
// which is when a change counts as notified. The longest that can add up after a watch has fallen silent is
//
//	signTimeout + the pause + listTimeout = 3 s + 0.3 s + 1.3 s = 4.6 s
//
// and what a call waits in discovery's queue, where lists are polled: up to 2 s, which don't count. After a rejected
// call it is maxRejectedPause*1.5 + listTimeout = 4.6 s, after one without an answer answerTimeout + the pause +
// listTimeout = 3.8 s, and where lists are pushed maxParallelInterval + listTimeout = 1.9 s.
package discovery

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"gapgap/internal/backoff"
	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
	"gapgap/internal/eventloop"
)

// Config says where the list is and how its words become the balancer's numbers.
type Config struct {
	// Addr is host:port of the agent.
	Addr string
	// Known is the list as it was last known.
	Known EndpointList
	// Zones and Kinds are names, in the order of the balancer's numbers.
	Zones []string
	Kinds []string
	// Gateways is how many gateways watch by the same discovery.
	Gateways int
	// Pushed says that the agent has the list without being asked: what it has counts as notified, and calls cost
	// nothing.
	Pushed bool
	// Seed is for the jitter of pauses.
	Seed uint64
	// Dial connects to the agent; nil: over TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Watch follows the endpoint list. The event loop owns it.
type Watch struct {
	loop    *eventloop.Loop
	log     *slog.Logger
	cfg     Config
	sink    func(endpoint.Update)
	client  *http.Client
	address string
	// index is that of the list as the loop has it.
	index int64
	// epoch counts watches: what an older one still reads is ignored.
	epoch int
	// stop ends the present watch.
	stop context.CancelFunc
	// afterEnd are pauses after a watch that ended or never began, afterRejection after one that was rejected.
	afterEnd       backoff.Policy
	afterRejection backoff.Policy
	// endpoints is the list as the loop has it, by name.
	endpoints map[string]Endpoint
}

// New returns a watch that begins with Follow. The event loop calls the sink.
func New(loop *eventloop.Loop, log *slog.Logger, cfg Config, sink func(endpoint.Update)) *Watch {
	afterRejection := backoff.PolicyFor(cfg.Gateways, watchesPerSecond, retryPolicy)
	afterRejection.Initial = min(afterRejection.Initial, maxRejectedPause)
	afterRejection.Max = min(afterRejection.Max, maxRejectedPause)
	afterEnd := afterRejection
	afterEnd.Initial = min(afterEnd.Initial, maxEndedPause)
	afterEnd.Max = min(afterEnd.Max, maxEndedPause)
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Watch{
		loop:           loop,
		log:            log,
		cfg:            cfg,
		sink:           sink,
		client:         &http.Client{Transport: &http.Transport{DialContext: dial}},
		address:        cfg.Addr,
		index:          cfg.Known.Index,
		stop:           func() {},
		afterEnd:       afterEnd,
		afterRejection: afterRejection,
		endpoints:      map[string]Endpoint{},
	}
}

// Addr returns where the list is watched.
func (w *Watch) Addr() string { return w.address }

// Known reports the list as it was last known.
func (w *Watch) Known() { w.report(w.cfg.Known, balancer.CachedSnapshot) }

// List returns the list as it is known now, in a form that Config.Known takes.
func (w *Watch) List() EndpointList {
	list := EndpointList{Index: w.index, Snapshot: true, Endpoints: make([]Endpoint, 0, len(w.endpoints))}
	for _, entry := range w.endpoints {
		list.Endpoints = append(list.Endpoints, entry)
	}
	return list
}

// Stop ends the watch.
func (w *Watch) Stop() {
	w.stop()
	w.client.CloseIdleConnections()
}

// Follow watches at an address, from the index known last, and leaves the watch before.
func (w *Watch) Follow(address string) {
	w.stop()
	w.address = address
	w.epoch++
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go w.run(ctx, address, w.index, w.epoch)
}

// Fetch does nothing: Follow asks for the whole list already and goes on until it has it, and a second call at the same
// time would be one more that discovery has to answer, or to reject.
func (w *Watch) Fetch() {}

// handleList takes a list or a change of it. One that is older than what is known changes nothing.
func (w *Watch) handleList(list EndpointList) {
	if list.Index < w.index {
		return
	}
	kind := balancer.Delta
	if list.Snapshot {
		kind = balancer.Snapshot
	}
	w.index = list.Index
	w.report(list, kind)
}

// report maps a list or a change of it and hands it to the sink.
func (w *Watch) report(list EndpointList, kind balancer.UpdateKind) {
	update := endpoint.Update{Kind: kind}
	if kind != balancer.Delta {
		clear(w.endpoints)
	}
	for _, entry := range list.Endpoints {
		state, ok := states[entry.Status]
		if !ok || entry.Name == "" {
			w.log.Warn("an entry of the list that makes no sense", "name", entry.Name, "status", entry.Status)
			continue
		}
		if state == balancer.Removed {
			delete(w.endpoints, entry.Name)
		} else {
			w.endpoints[entry.Name] = entry
		}
		update.Entries = append(update.Entries, w.entry(entry, state))
	}
	w.sink(update)
}

// entry maps one endpoint. Zones and kinds without a number count as the first.
func (w *Watch) entry(entry Endpoint, state balancer.EndpointState) endpoint.Entry {
	return endpoint.Entry{
		Endpoint: balancer.Endpoint{
			Name:      entry.Name,
			Zone:      numberOf(w.cfg.Zones, entry.Zone),
			Kind:      numberOf(w.cfg.Kinds, entry.Type),
			Cell:      entry.Group,
			State:     state,
			Weight:    entry.Weight,
			StartedAt: time.Duration(entry.SinceMS) * time.Millisecond,
		},
		Address: entry.Address,
	}
}
