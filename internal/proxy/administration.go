package proxy

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gapgap/internal/balancer"
)

// errLoopTimeout reports that the event loop did not run a call in time. The call may still take effect later.
var errLoopTimeout = errors.New("the event loop did not run the call in time; repeat it")

// AdminEject stops new requests to an endpoint until AdminRestore, whatever the endpoint list says. It blocks until the
// event loop has run the call or the context ends. When it returns nil, the Balancer and the connections to the
// endpoint have been updated. It is idempotent. since is the time of the original ejection; 0 means now. The error is
// ErrNeverListed or reports that the call was not run in time. It is safe for concurrent use.
func (p *Proxy) AdminEject(ctx context.Context, name string, since time.Duration) error {
	return p.runForKnownEndpoint(ctx, name, func() { p.eject(name, since) })
}

// AdminRestore reverses AdminEject. It blocks and fails like AdminEject.
func (p *Proxy) AdminRestore(ctx context.Context, name string) error {
	return p.runForKnownEndpoint(ctx, name, func() {
		delete(p.names.ejected, name)
		p.upstream.SetBlocked(name, false)
		p.Enqueue(balancer.AdminRestore{Endpoint: name})
	})
}

// MirrorAdminEject applies an AdminEject that another process of this gateway has accepted, even if no endpoint list of
// this process has contained the name.
func (p *Proxy) MirrorAdminEject(ctx context.Context, name string, since time.Duration) error {
	return p.runOnLoop(ctx, func() error {
		p.MarkEjected(name, since)
		p.Step()
		return nil
	})
}

// MarkEjected is MirrorAdminEject for callers on the event loop, or before the loop runs.
func (p *Proxy) MarkEjected(name string, since time.Duration) {
	if !p.names.contains(name) {
		p.names.markDeparted(name)
	}
	p.eject(name, since)
}

// eject records the ejection and applies it to the Balancer and Upstream.
func (p *Proxy) eject(name string, since time.Duration) {
	p.names.ejected[name] = true
	p.Enqueue(balancer.AdminEject{Endpoint: name, At: since})
	p.upstream.SetBlocked(name, true)
}

// runForKnownEndpoint runs a call and a Step on the loop, for an endpoint that has been listed.
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

// runOnLoop runs a task on the loop and waits for its result, until the context or the loop ends.
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
