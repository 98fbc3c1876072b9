package proxy

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
)

// mostNames is how many names of backends are remembered that were listed once and are not now.
const mostNames = 8192

// ErrNeverListed says that no list has named a backend.
var ErrNeverListed = errors.New("never listed")

// names are those of backends that lists have named. Those that are not listed now are bounded; one that is banned is kept, as
// the call that ends its ban must find it.
type names struct {
	all    map[string]uint64 // when it left, by a count that only goes up; 0: it is listed now
	count  uint64
	gone   int // of them, that have left
	banned map[string]bool
}

func newNames() names { return names{all: map[string]uint64{}, banned: map[string]bool{}} }

// listed takes a list or changes of it.
func (n *names) listed(u endpoint.Update) {
	named := map[string]bool{}
	for _, e := range u.Entries {
		_, known := n.all[e.Name]
		if e.State != balancer.Removed {
			if n.all[e.Name] > 0 {
				n.gone--
			}
			n.all[e.Name], named[e.Name] = 0, true
		} else if known {
			n.left(e.Name)
		}
	}
	if u.Kind == balancer.Delta {
		return
	}
	for name, left := range n.all {
		if left == 0 && !named[name] {
			n.left(name)
		}
	}
}

// left notes a name that is not listed now. With too many of them, those that left first are forgotten.
func (n *names) left(name string) {
	if at, known := n.all[name]; !known || at == 0 {
		n.gone++
	}
	n.count++
	if n.all[name] = n.count; n.gone <= mostNames {
		return
	}
	for _, old := range n.oldest()[:n.gone-mostNames/2] {
		if !n.banned[old] {
			delete(n.all, old)
			n.gone--
		}
	}
}

// oldest are the names that have left, the first first.
func (n *names) oldest() (list []string) {
	for name, at := range n.all {
		if at > 0 {
			list = append(list, name)
		}
	}
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(n.all[a], n.all[b]) })
	return list
}

// has says whether a list has named it.
func (n *names) has(name string) bool {
	_, ok := n.all[name]
	return ok
}

// AdminEject takes a backend out of use by hand until Attach, whatever the list says. When it returns nil the module and the
// connections to the backend have heard. Any goroutine may call it; again does no harm. since: when that was said first; 0: now.
func (c *Proxy) AdminEject(ctx context.Context, backend string, since time.Duration) error {
	return c.byHand(ctx, backend, func() { c.hold(backend, since) })
}

// MirrorAdminEject is Detach of a backend that another process of this front door was told to take out: it was listed there.
func (c *Proxy) MirrorAdminEject(ctx context.Context, backend string, since time.Duration) error {
	return c.onLoop(ctx, func() error {
		c.MarkEjected(backend, since)
		c.Step()
		return nil
	})
}

// AdminRestore lets it serve again.
func (c *Proxy) AdminRestore(ctx context.Context, backend string) error {
	return c.byHand(ctx, backend, func() {
		delete(c.names.banned, backend)
		c.upstream.Hold(backend, false)
		c.Enqueue(balancer.AdminRestore{Endpoint: backend})
	})
}

// MarkEjected is Follow for who owns the loop, or before it runs.
func (c *Proxy) MarkEjected(backend string, since time.Duration) {
	if !c.names.has(backend) {
		c.names.left(backend)
	}
	c.hold(backend, since)
}

func (c *Proxy) hold(backend string, since time.Duration) {
	c.names.banned[backend] = true
	c.Enqueue(balancer.AdminEject{Endpoint: backend, At: since})
	c.upstream.Hold(backend, true)
}

// byHand carries out a call for a backend that was listed, and the Step for it.
func (c *Proxy) byHand(ctx context.Context, backend string, call func()) error {
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
func (c *Proxy) onLoop(ctx context.Context, task func() error) error {
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

// UpdateShare tells the Door how it stands among the others of its fleet; when it returns, the Door goes by that. Only a task of the loop may
// call it.
//
// It returns when the last loan is over that the Door has given: what it has lent of a part that is taken away is in use until then.
func (c *Proxy) UpdateShare(ev balancer.ShareUpdate) (lentUntil time.Duration) {
	c.Enqueue(ev)
	c.Step()
	return c.balancer.LoansEndAt()
}
