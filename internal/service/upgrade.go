package service

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"sync"
	"syscall"
	"time"

	"gapgap/internal/discovery"
	"gapgap/internal/frontend/resp2"
	"gapgap/internal/handover"
	"gapgap/internal/proxy"
)

const (
	takeoverTimeout       = 3 * time.Second        // for retries while the old process hands over to another one
	takeoverRetryInterval = 100 * time.Millisecond // between two tries
	handoverTimeout       = 2 * time.Second        // for the event loop to export its state
	overlapFraction       = 0.6                    // of its backend connections, for the new process beside the old one
)

// processState is what the old process of an upgrade hands over to the new one, apart from sockets.
type processState struct {
	Listen string                 `json:"Listen"`
	Core   proxy.HandoverState    `json:"Core"`
	Known  discovery.EndpointList `json:"Known"`
}

// offeredState is processState with what older versions neither send nor read.
type offeredState struct {
	processState
	// SentIDs are the IDs of requests that must not run twice.
	SentIDs []proxy.SentID `json:"SentIDs,omitempty"`
}

// Takeover is what a new process has received from the old one.
type Takeover struct {
	Listener net.Listener
	link     *handover.Link
	state    offeredState
}

// BeginTakeover asks the process that serves the same address, if one shares the state directory, to hand over. It
// copies that process's endpoint list to cfg, which must have been checked, unless cfg has a newer one. It returns nil
// without an error if there is no old process.
func BeginTakeover(cfg *Config) (*Takeover, error) {
	if cfg.StateDir == "" {
		return nil, nil
	}
	for deadline := time.Now().Add(takeoverTimeout); ; time.Sleep(takeoverRetryInterval) {
		taken, err := handover.Take(cfg.StateDir)
		switch {
		case errors.Is(err, fs.ErrNotExist), errors.Is(err, syscall.ECONNREFUSED):
			return nil, nil // there is no old process, or it has died
		case errors.Is(err, handover.ErrRefused) && time.Now().Before(deadline):
			continue
		case err != nil:
			return nil, err
		}
		t := &Takeover{Listener: taken.Listener, link: taken.Link}
		if err := json.Unmarshal(taken.State, &t.state); err != nil {
			t.Close()
			return nil, fmt.Errorf("state of the old process: %w", err)
		}
		if t.state.Listen != cfg.Listen {
			t.Close()
			return nil, fmt.Errorf("the old process listens on %s, this one on %s", t.state.Listen, cfg.Listen)
		}
		if t.state.Known.Index >= cfg.KnownEndpoints.Index && len(t.state.Known.Endpoints) > 0 {
			cfg.KnownEndpoints = t.state.Known
		}
		return t, nil
	}
}

// Close abandons the takeover: the old process serves on.
func (t *Takeover) Close() {
	t.Listener.Close()
	t.link.Close()
}

// CompleteTakeover confirms a takeover to the old process and imports its state. It is called before Serve. An error
// means that the old process serves on.
func (g *Gateway) CompleteTakeover(t *Takeover) error {
	if err := t.link.Confirm(); err != nil {
		t.Close()
		return err
	}
	g.ImportHandover(t.state.Core)
	g.SentIDs.Import(t.state.SentIDs, g.Now())
	g.predecessor = t.link
	return nil
}

// receiveConnections takes over connections from the old process until that process or the context ends.
func (g *Gateway) receiveConnections(ctx context.Context, clients *resp2.Frontend) {
	if g.predecessor == nil {
		return
	}
	maxConnections := max(1, BackendSockets(g.cfg.Sockets))
	g.SetMaxConnections(max(1, int(overlapFraction*float64(maxConnections))))
	g.notifyOverlap(true)
	defer g.notifyOverlap(false)
	stop := context.AfterFunc(ctx, func() { g.predecessor.Close() })
	defer stop()
	g.predecessor.OnUpdate = g.importSentIDs
	for {
		conn, unread, err := g.predecessor.Next()
		if err != nil {
			break
		}
		clients.Adopt(conn, unread)
	}
	g.predecessor.Close()
	g.SetMaxConnections(maxConnections)
	g.log.Info("the process before has ended")
}

// acceptHandovers waits for processes that are to replace this one, until ctx ends. serving ends when this process is
// to shut down.
func (g *Gateway) acceptHandovers(ctx, serving context.Context, ln net.Listener, clients *resp2.Frontend) {
	socket, isSocket := ln.(syscall.Conn)
	if g.cfg.StateDir == "" || !isSocket {
		return
	}
	upgrades, err := handover.Listen(g.cfg.StateDir)
	if err != nil { // the next process starts as after a restart
		g.log.Warn("this process can't hand over its connections in an upgrade", "error", err)
		return
	}
	stop := context.AfterFunc(ctx, func() { upgrades.Close() })
	defer stop()
	defer upgrades.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	busy := make(chan struct{}, 1) // serializes handovers
	for {
		conn, err := upgrades.AcceptUnix()
		if err != nil {
			return
		}
		wg.Go(func() {
			defer conn.Close()
			link, err := handover.Hello(conn)
			if err != nil {
				g.log.Error("handover request failed", "error", err)
				return
			}
			select {
			case busy <- struct{}{}:
				defer func() { <-busy }()
			default:
				link.Refuse(errors.New("another process is already taking over"))
				return
			}
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			defer stop()
			if err := g.handOver(ctx, serving, link, socket, clients); err != nil {
				g.log.Error("an upgrade has not come about: this process serves on", "error", err)
			}
		})
	}
}

// handOver hands over to one process. It returns when that process has ended or has failed to take over.
func (g *Gateway) handOver(ctx, serving context.Context, link *handover.Link, socket syscall.Conn,
	clients *resp2.Frontend) error {
	if serving.Err() != nil {
		err := errors.New("this process is shutting down")
		link.Refuse(err)
		return err
	}
	clients.Pause()
	exportCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	exported, err := g.BeginHandover(exportCtx)
	if err != nil {
		link.Refuse(err)
		g.resumeServing(ctx, clients, proxy.HandoverState{})
		return err
	}
	changedIDs := newSentIDQueue()
	sentIDs, unfollow := g.SentIDs.Follow(changedIDs.push)
	defer unfollow()
	state, err := json.Marshal(offeredState{
		processState: processState{Listen: g.cfg.Listen, Core: exported, Known: g.endpointList(exportCtx)},
		SentIDs:      sentIDs,
	})
	if err == nil {
		err = link.Offer(state, socket)
	}
	if err != nil {
		g.resumeServing(ctx, clients, exported)
		return err
	}
	g.log.Info("another process serves from now on")
	g.notifyOverlap(true)
	defer g.notifyOverlap(false)
	ended := make(chan struct{})
	defer close(ended)
	go changedIDs.sendTo(link, ended)
	clients.Move(link.Hand)
	link.Ended()
	clients.Stay()
	if serving.Err() == nil && ctx.Err() == nil {
		g.resumeServing(ctx, clients, proxy.HandoverState{})
		return errors.New("the other process has ended")
	}
	return nil
}

func (g *Gateway) notifyOverlap(overlapping bool) {
	if g.OnOverlap != nil {
		g.OnOverlap(overlapping)
	}
}

// endpointList returns the event loop's list of backends, which is empty if the context ends first.
func (g *Gateway) endpointList(ctx context.Context) (list discovery.EndpointList) {
	result := make(chan discovery.EndpointList, 1)
	if g.PostUntil(func() { result <- g.watch.List() }, ctx.Done()) {
		select {
		case list = <-result:
		case <-ctx.Done():
		}
	}
	return list
}

// resumeServing undoes a handover that has failed. It takes back the state that was exported for it.
func (g *Gateway) resumeServing(ctx context.Context, clients *resp2.Frontend, exported proxy.HandoverState) {
	if err := g.AbortHandover(ctx, exported); err != nil {
		g.log.Error("can't take back the state of the failed handover", "error", err)
	}
	clients.Resume()
}
