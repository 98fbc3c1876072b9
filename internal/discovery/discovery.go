// Package discovery watches the endpoint list over HTTP at the agent of the platform's discovery system.
//
// Each watch has a goroutine that reads lists and posts them to the event loop, which owns the current list. Whatever
// goes wrong with a call, a later call gets the list within 6 s of when discovery has it and is reachable, which is the
// time limit for a change to count as notified. After a watch has fallen silent the delays add up to at most
//
//	silenceTimeout + pause + listTimeout = 3 s + 0.3 s + 1.3 s = 4.6 s
//
// If lists are polled, a call may also wait in discovery's queue for up to 2 s, which do not count. In the other cases
// the maximum is
//
//	maxRejectedPause*1.5 + listTimeout = 4.6 s     after a rejected call
//	answerTimeout + pause + listTimeout = 3.8 s    after a call without an answer
//	lostIndexTimeout + keep-alive + pause + listTimeout = 5.6 s    after the agent has lost its index
//	maxParallelInterval + listTimeout = 1.9 s      if lists are pushed
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

// Config configures a Watch.
type Config struct {
	// Addr is host:port of the agent.
	Addr string
	// Known is the last known list.
	Known EndpointList
	// Zones and Kinds are the names of zones and kinds. The balancer's number of a zone or kind is its index here.
	Zones []string
	Kinds []string
	// Gateways is the number of gateways that watch the same discovery system.
	Gateways int
	// Pushed reports that discovery pushes the list to the agent. A list at the agent then counts as notified, and
	// calls to the agent put no load on discovery.
	Pushed bool
	// Seed seeds the jitter of pauses.
	Seed uint64
	// Dial connects to the agent. Nil means TCP.
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
	// index is the index of the current list.
	index int64
	// epoch counts calls of Follow. Lists that an earlier one still reads are ignored.
	epoch int
	// stop ends the current watch.
	stop context.CancelFunc
	// endedBackoff is the backoff after a watch that ended or could not be opened, rejectedBackoff after a rejected
	// one.
	endedBackoff    backoff.Policy
	rejectedBackoff backoff.Policy
	// endpoints is the current list by endpoint name.
	endpoints map[string]*listedEndpoint
}

// New returns a watch that starts with Follow. The event loop calls the sink with each update.
func New(loop *eventloop.Loop, log *slog.Logger, cfg Config, sink func(endpoint.Update)) *Watch {
	rejectedBackoff := backoff.PolicyFor(cfg.Gateways, watchesPerSecond, minBackoff)
	rejectedBackoff.Initial = min(rejectedBackoff.Initial, maxRejectedPause)
	rejectedBackoff.Max = min(rejectedBackoff.Max, maxRejectedPause)
	endedBackoff := rejectedBackoff
	endedBackoff.Initial = min(endedBackoff.Initial, maxEndedPause)
	endedBackoff.Max = min(endedBackoff.Max, maxEndedPause)
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Watch{
		loop:            loop,
		log:             log,
		cfg:             cfg,
		sink:            sink,
		client:          &http.Client{Transport: &http.Transport{DialContext: dial}},
		address:         cfg.Addr,
		index:           cfg.Known.Index,
		stop:            func() {},
		endedBackoff:    endedBackoff,
		rejectedBackoff: rejectedBackoff,
		endpoints:       map[string]*listedEndpoint{},
	}
}

// Addr returns the address of the agent.
func (w *Watch) Addr() string { return w.address }

// Known reports the last known list of the Config as a cached snapshot.
func (w *Watch) Known() { w.report(w.cfg.Known, balancer.CachedSnapshot) }

// List returns the current list in the form of Config.Known.
func (w *Watch) List() EndpointList {
	list := EndpointList{Index: w.index, Snapshot: true, Endpoints: make([]Endpoint, 0, len(w.endpoints))}
	for _, listed := range w.endpoints {
		list.Endpoints = append(list.Endpoints, listed.Endpoint)
	}
	return list
}

// Stop ends the watch.
func (w *Watch) Stop() {
	w.stop()
	w.client.CloseIdleConnections()
}

// Follow ends the current watch, if any, and watches the list at an address from the current index on.
func (w *Watch) Follow(address string) {
	w.stop()
	w.address = address
	w.epoch++
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go w.run(ctx, address, w.index, w.epoch)
}

// Fetch does nothing: Follow already requests the complete list and retries until it has it, and a second concurrent
// call would only add to the load on discovery.
func (w *Watch) Fetch() {}

// handleList applies a list or a change of it. One with a lower index than the current list is ignored.
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

// report converts a list or a change of it and passes it to the sink.
func (w *Watch) report(list EndpointList, kind balancer.UpdateKind) {
	update := endpoint.Update{Kind: kind}
	earlier := w.endpoints
	if kind != balancer.Delta {
		w.endpoints = make(map[string]*listedEndpoint, len(list.Endpoints))
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
			listed := &listedEndpoint{Endpoint: entry}
			if before := earlier[entry.Name]; before != nil {
				listed.isPlaceUncertain = before.isPlaceUncertain
			}
			w.endpoints[entry.Name] = listed
		}
		update.Entries = append(update.Entries, w.entry(entry, state))
	}
	update.Entries = w.withUncertainPlaces(update.Entries)
	w.sink(update)
}

// entry converts one endpoint. An unknown kind counts as the first one.
func (w *Watch) entry(entry Endpoint, state balancer.EndpointState) endpoint.Entry {
	return endpoint.Entry{
		Endpoint: balancer.Endpoint{
			Name:      entry.Name,
			Zone:      ZoneNumber(w.cfg.Zones, entry.Zone),
			Kind:      indexOf(w.cfg.Kinds, entry.Type),
			Cell:      entry.Group,
			State:     state,
			Weight:    entry.Weight,
			StartedAt: time.Duration(entry.SinceMS) * time.Millisecond,
		},
		Address: entry.Address,
	}
}
