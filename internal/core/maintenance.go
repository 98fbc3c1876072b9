package core

import (
	"context"
	"errors"
	"fmt"
	"time"

	"snowhall"
	"snowhall/internal/membership"
)

// mostNames is how many names of backends are remembered that were listed once and are not now.
const mostNames = 8192

// ErrNeverListed says that no list has named a backend.
var ErrNeverListed = errors.New("never listed")

// names are those of backends that lists have named.
type names struct {
	all  map[string]bool // whether it is listed now
	gone []string        // may hold some that are listed again
}

// listed takes a list or changes of it.
func (n *names) listed(u membership.Update) {
	if u.Scope != snowhall.Delta {
		for name, now := range n.all {
			if now {
				n.left(name)
			}
		}
	}
	for _, e := range u.Entries {
		if e.State != snowhall.Terminated {
			n.all[e.Name] = true
		} else if _, known := n.all[e.Name]; known {
			n.left(e.Name)
		}
	}
}

func (n *names) left(name string) {
	n.all[name] = false
	if n.gone = append(n.gone, name); len(n.gone) <= mostNames {
		return
	}
	kept, seen := n.gone[:0], map[string]bool{}
	for i := len(n.gone) - 1; i >= 0; i-- { // the newest first
		if name := n.gone[i]; !n.all[name] && !seen[name] && len(seen) < mostNames/2 {
			seen[name] = true
		} else if !n.all[name] && !seen[name] {
			delete(n.all, name)
		}
	}
	for _, name := range n.gone {
		if seen[name] {
			kept = append(kept, name)
			delete(seen, name)
		}
	}
	clear(n.gone[len(kept):])
	n.gone = kept
}

// has says whether a list has named it.
func (n *names) has(name string) bool {
	_, ok := n.all[name]
	return ok
}

// Detach takes a backend out of use by hand until Attach, whatever the list says. When it returns nil the module and the
// connections to the backend have heard. Any goroutine may call it; again does no harm. since: when that was said first; 0: now.
func (c *Core) Detach(ctx context.Context, backend string, since time.Duration) error {
	return c.byHand(ctx, backend, func() { c.hold(backend, since) })
}

// Follow is Detach of a backend that another process of this front door was told to take out: it was listed there.
func (c *Core) Follow(ctx context.Context, backend string, since time.Duration) error {
	return c.onLoop(ctx, func() error {
		c.KnownBanned(backend, since)
		c.Step()
		return nil
	})
}

// Attach lets it serve again.
func (c *Core) Attach(ctx context.Context, backend string) error {
	return c.byHand(ctx, backend, func() {
		c.upstream.Hold(backend, false)
		c.Tell(snowhall.Attach{Backend: backend})
	})
}

// KnownBanned is Follow for who owns the loop, or before it runs.
func (c *Core) KnownBanned(backend string, since time.Duration) {
	if !c.names.has(backend) {
		c.names.left(backend)
	}
	c.hold(backend, since)
}

func (c *Core) hold(backend string, since time.Duration) {
	c.Tell(snowhall.Detach{Backend: backend, At: since})
	c.upstream.Hold(backend, true)
}

// byHand carries out a call for a backend that was listed, and the Step for it.
func (c *Core) byHand(ctx context.Context, backend string, call func()) error {
	return c.onLoop(ctx, func() error {
		if !c.names.has(backend) {
			return fmt.Errorf("%q: %w", backend, ErrNeverListed)
		}
		call()
		c.Step()
		return nil
	})
}

// onLoop runs a task on the loop and waits for it.
func (c *Core) onLoop(ctx context.Context, task func() error) error {
	done := make(chan error, 1)
	if c.PostUntil(func() { done <- task() }, ctx.Done()) {
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
		case <-c.Done():
		}
	}
	return errors.New("no time for it now: say it again") // it may yet be done
}
