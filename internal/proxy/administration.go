package proxy

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gapgap/internal/balancer"
)

// errLoopTimeout says that a call did not get its turn on the loop in time. It may yet be carried out.
var errLoopTimeout = errors.New("no time for it now: say it again")

// AdminEject keeps new requests from an endpoint until AdminRestore, whatever the endpoint list says. When it returns
// nil the Balancer and the connections to the endpoint have heard; a second call does no harm. since is when that was
// first asked for; 0: now. Its error is ErrNeverListed or tells that there was no time. Any goroutine may call it; it
// blocks until the loop has done it or the context ends.
func (p *Proxy) AdminEject(ctx context.Context, name string, since time.Duration) error {
	return p.runForKnownEndpoint(ctx, name, func() { p.eject(name, since) })
}

// AdminRestore ends AdminEject, under the same terms.
func (p *Proxy) AdminRestore(ctx context.Context, name string) error {
	return p.runForKnownEndpoint(ctx, name, func() {
		delete(p.names.ejected, name)
		p.upstream.SetBlocked(name, false)
		p.Enqueue(balancer.AdminRestore{Endpoint: name})
	})
}

// MirrorAdminEject is AdminEject of an endpoint that another process of this gateway was told to eject, where it was
// listed.
func (p *Proxy) MirrorAdminEject(ctx context.Context, name string, since time.Duration) error {
	return p.runOnLoop(ctx, func() error {
		p.MarkEjected(name, since)
		p.Step()
		return nil
	})
}

// MarkEjected is MirrorAdminEject for the event loop, or before it runs.
func (p *Proxy) MarkEjected(name string, since time.Duration) {
	if !p.names.contains(name) {
		p.names.markDeparted(name)
	}
	p.eject(name, since)
}

// eject tells the Balancer and Upstream.
func (p *Proxy) eject(name string, since time.Duration) {
	p.names.ejected[name] = true
	p.Enqueue(balancer.AdminEject{Endpoint: name, At: since})
	p.upstream.SetBlocked(name, true)
}

// runForKnownEndpoint carries out a call for an endpoint that was listed once, and the step for it.
func (p *Proxy) runForKnownEndpoint(ctx context.Context, name string, call func()) error {
	return p.runOnLoop(ctx, func() error {
		if !p.names.contains(name) {
			return fmt.Errorf("%q: %w", name, ErrNeverListed)
		}
		call()
		p.Step()
		return nil
	})
}

// runOnLoop runs a task on the loop and waits for it, until the context or the loop ends.
func (p *Proxy) runOnLoop(ctx context.Context, task func() error) error {
	done := make(chan error, 1)
	if p.PostUntil(func() { done <- task() }, ctx.Done()) {
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
		case <-p.Done():
		}
	}
	return errLoopTimeout
}
