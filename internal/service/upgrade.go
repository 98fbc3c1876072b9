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
	takeWithin  = 3 * time.Second        // for an old process that is just handing over to another one
	takeAgain   = 100 * time.Millisecond // between two tries
	leaveWithin = 2 * time.Second        // for the loop to write down what is handed on
	besidePart  = 0.6                    // of its connections to backends that the new process may have while the old one lives
)

// estate is what the old process of an upgrade leaves to the new one, beside sockets.
type estate struct {
	Listen string                 `json:"Listen"`
	Core   proxy.HandoverState    `json:"Core"`
	Known  discovery.EndpointList `json:"Known"`
}

// Inheritance is what a new process got from the old one.
type Inheritance struct {
	Listener net.Listener
	link     *handover.Link
	estate   estate
}

// Inherit takes over from the process that serves the same address, if there is one that shares the directory: its list goes
// into the configuration, which must have been checked. nil without an error: there is none.
func Inherit(cfg *Config) (*Inheritance, error) {
	if cfg.Dir == "" {
		return nil, nil
	}
	for until := time.Now().Add(takeWithin); ; time.Sleep(takeAgain) {
		t, err := handover.Take(cfg.Dir)
		switch {
		case errors.Is(err, fs.ErrNotExist), errors.Is(err, syscall.ECONNREFUSED):
			return nil, nil // none was there, or it has died
		case errors.Is(err, handover.ErrRefused) && time.Now().Before(until):
			continue
		case err != nil:
			return nil, err
		}
		in := &Inheritance{Listener: t.Listener, link: t.Link}
		if err := json.Unmarshal(t.State, &in.estate); err != nil {
			in.Close()
			return nil, fmt.Errorf("what the old process hands over: %w", err)
		}
		if in.estate.Listen != cfg.Listen {
			in.Close()
			return nil, fmt.Errorf("the old process listens on %s, this one on %s", in.estate.Listen, cfg.Listen)
		}
		if in.estate.Known.Index >= cfg.Known.Index && len(in.estate.Known.Endpoints) > 0 {
			cfg.Known = in.estate.Known
		}
		return in, nil
	}
}

// Close gives it up: the old process goes on.
func (in *Inheritance) Close() {
	in.Listener.Close()
	in.link.Close()
}

// Succeed makes the platform begin with an inheritance, before Serve, and tells the old process that it has gone over. An error
// says that the old one has gone on.
func (p *Platform) Succeed(in *Inheritance) error {
	if err := in.link.Confirm(); err != nil {
		in.Close()
		return err
	}
	p.ImportHandover(in.estate.Core)
	p.predecessor = in.link
	return nil
}

// adopt takes over connections from the old process until that ends, or the context does.
func (p *Platform) adopt(ctx context.Context, clients *resp2.Front) {
	if p.predecessor == nil {
		return
	}
	all := max(1, BackendSockets(p.cfg.Sockets))
	p.SetMaxConnections(max(1, int(besidePart*float64(all))))
	p.beside(true)
	defer p.beside(false)
	stop := context.AfterFunc(ctx, func() { p.predecessor.Close() })
	defer stop()
	for {
		nc, unread, err := p.predecessor.Next()
		if err != nil {
			break
		}
		clients.Adopt(nc, unread)
	}
	p.predecessor.Close()
	p.SetMaxConnections(all)
	p.log.Info("the process before has ended")
}

// offers waits for processes that are to take this one's place, until the context ends.
func (p *Platform) offers(ctx, serving context.Context, ln net.Listener, clients *resp2.Front) {
	socket, isSocket := ln.(syscall.Conn)
	if p.cfg.Dir == "" || !isSocket {
		return
	}
	door, err := handover.Listen(p.cfg.Dir)
	if err != nil { // the next process starts as after a restart
		p.log.Warn("no upgrade without loss from this process", "error", err)
		return
	}
	stop := context.AfterFunc(ctx, func() { door.Close() })
	defer stop()
	defer door.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	turn := make(chan struct{}, 1) // one process at a time
	for {
		c, err := door.AcceptUnix()
		if err != nil {
			return
		}
		wg.Go(func() {
			defer c.Close()
			link, err := handover.Hello(c)
			if err != nil {
				p.log.Error("a process that wanted to take over can't", "error", err)
				return
			}
			select {
			case turn <- struct{}{}:
				defer func() { <-turn }()
			default:
				link.Refuse(errors.New("another process is just taking over"))
				return
			}
			stop := context.AfterFunc(ctx, func() { c.Close() })
			defer stop()
			if err := p.offer(ctx, serving, link, socket, clients); err != nil {
				p.log.Error("an upgrade has not come about: this process serves on", "error", err)
			}
		})
	}
}

// offer hands over to one process. It returns when that one has ended or has not taken over.
func (p *Platform) offer(ctx, serving context.Context, link *handover.Link, socket syscall.Conn, clients *resp2.Front) error {
	if serving.Err() != nil {
		err := errors.New("this process is ending")
		link.Refuse(err)
		return err
	}
	clients.Pause()
	soon, cancel := context.WithTimeout(ctx, leaveWithin)
	defer cancel()
	left, err := p.BeginHandover(soon)
	if err != nil {
		link.Refuse(err)
		p.serveOn(ctx, clients, proxy.HandoverState{})
		return err
	}
	state, err := json.Marshal(estate{Listen: p.cfg.Listen, Core: left, Known: p.known(soon)})
	if err == nil {
		err = link.Offer(state, socket)
	}
	if err != nil {
		p.serveOn(ctx, clients, left)
		return err
	}
	p.log.Info("another process serves from now on")
	p.beside(true)
	defer p.beside(false)
	clients.Move(link.Hand)
	link.Ended()
	clients.Stay()
	if serving.Err() == nil && ctx.Err() == nil {
		p.serveOn(ctx, clients, proxy.HandoverState{})
		return errors.New("the other process has ended")
	}
	return nil
}

func (p *Platform) beside(on bool) {
	if p.Beside != nil {
		p.Beside(on)
	}
}

// known is the list of backends as the loop has it.
func (p *Platform) known(ctx context.Context) (m discovery.EndpointList) {
	got := make(chan discovery.EndpointList, 1)
	if p.PostUntil(func() { got <- p.watch.List() }, ctx.Done()) {
		select {
		case m = <-got:
		case <-ctx.Done():
		}
	}
	return m
}

// serveOn undoes a hand-over that has come to nothing.
func (p *Platform) serveOn(ctx context.Context, clients *resp2.Front, back proxy.HandoverState) {
	if err := p.AbortHandover(ctx, back); err != nil {
		p.log.Error("what was to be handed over is lost", "error", err)
	}
	clients.Resume()
}
