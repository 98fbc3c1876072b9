// Package sharedhealth decides what pools are told of servers that stand in several of them. A server is known by its address,
// whatever each pool calls it. What it bears is one thing:
//
//   - A drain told to one pool is told to all. A removal, or a move to another address, stops it in all; another pool
//     takes it up again only when its own source tells of it in service after that.
//   - The newest start that any source tells of holds for all: a server that is cold for one is cold for all.
//   - Each entry that has it in service gets an even part of what a cold one bears, so the budget holds over the sum.
//
// It does no input or output, and nothing but what pools are told hangs on it. One goroutine at a time may use a Fleet.
package sharedhealth

import (
	"cmp"
	"slices"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
)

// Update is what one pool is to be told: changes, never a whole list.
type Update struct {
	Pool   string
	Update endpoint.Update
}

// Registry holds what each pool's source has told.
type Registry struct {
	pools map[string]map[string]*entry   // by pool and the pool's name for a server
	at    map[string]map[*entry]struct{} // by address
	dirty map[string]struct{}            // addresses to look at
	gone  []Update                       // entries that their pool no longer has
	sent  map[*entry]endpoint.Entry      // as the pool was told last
}

type entry struct {
	pool    string
	told    endpoint.Entry
	stopped bool // another pool was told of a removal, and this one's source has not spoken since
}

// New makes a fleet of nothing.
func New() *Registry {
	return &Registry{pools: map[string]map[string]*entry{}, at: map[string]map[*entry]struct{}{}, dirty: map[string]struct{}{},
		sent: map[*entry]endpoint.Entry{}}
}

// Apply takes what a pool's source says and returns what pools are to be told, that pool among them.
func (f *Registry) Apply(pool string, u endpoint.Update) []Update {
	if u.Kind == balancer.UpdateFailed {
		return []Update{{pool, u}}
	}
	p := f.pools[pool]
	if p == nil {
		p = map[string]*entry{}
		f.pools[pool] = p
	}
	named := map[string]bool{}
	for _, e := range u.Entries {
		named[e.Name] = true
		f.take(pool, p, e)
	}
	if u.Kind != balancer.Delta {
		for _, name := range sorted(p) {
			if e := p[name]; !named[name] {
				f.remove(p, e, u.Kind == balancer.Snapshot) // what is missing from an old list says nothing
			}
		}
	}
	return f.settle()
}

// Remove forgets a pool. That is no word on its servers: the others have their parts again.
func (f *Registry) Remove(pool string) []Update {
	p := f.pools[pool]
	for _, name := range sorted(p) {
		f.remove(p, p[name], false)
	}
	delete(f.pools, pool)
	f.gone = nil // nobody is there to be told
	return f.settle()
}

// Peer is a server as another pool calls it.
type Peer struct{ Pool, Name string }

// Peers are the entries that other pools have of a pool's server, in a fixed order: who is to hear what the pool finds out
// about it.
func (f *Registry) Peers(pool, name string) []Peer {
	e := f.pools[pool][name]
	if e == nil {
		return nil
	}
	var all []Peer
	for o := range f.at[e.told.Address] {
		if o.pool != pool {
			all = append(all, Peer{o.pool, o.told.Name})
		}
	}
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Name, b.Name)) })
	return all
}

func sorted(p map[string]*entry) []string {
	names := make([]string, 0, len(p))
	for n := range p {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// take takes one entry of a pool.
func (f *Registry) take(pool string, p map[string]*entry, told endpoint.Entry) {
	e := p[told.Name]
	if told.State == balancer.Removed {
		if e != nil {
			f.remove(p, e, true)
		}
		return
	}
	if e != nil && e.told.Address != told.Address { // another process; the old one is gone
		f.stop(e)
		f.unlink(e)
	}
	if e == nil {
		e = &entry{pool: pool}
		p[told.Name] = e
	}
	e.told = told
	if told.State == balancer.Serving {
		e.stopped = false
	}
	if f.at[told.Address] == nil {
		f.at[told.Address] = map[*entry]struct{}{}
	}
	f.at[told.Address][e] = struct{}{}
	f.dirty[told.Address] = struct{}{}
}

// remove takes an entry out of its pool, and stops the server in the others where that is word of its end.
func (f *Registry) remove(p map[string]*entry, e *entry, ends bool) {
	if ends {
		f.stop(e)
	}
	f.unlink(e)
	delete(p, e.told.Name)
	last := e.told
	last.State = balancer.Removed
	delete(f.sent, e)
	f.gone = append(f.gone, Update{e.pool, endpoint.Update{Entries: []endpoint.Entry{last}}})
}

// stop stops the server of an entry in all other pools.
func (f *Registry) stop(e *entry) {
	for o := range f.at[e.told.Address] {
		if o.pool != e.pool {
			o.stopped = true
		}
	}
}

func (f *Registry) unlink(e *entry) {
	delete(f.at[e.told.Address], e)
	if len(f.at[e.told.Address]) == 0 {
		delete(f.at, e.told.Address)
	}
	f.dirty[e.told.Address] = struct{}{}
}

// settle looks at the servers of which something has changed, and says who is to be told what.
func (f *Registry) settle() []Update {
	changes := map[string][]endpoint.Entry{}
	for _, o := range f.gone {
		changes[o.Pool] = append(changes[o.Pool], o.Update.Entries...)
	}
	f.gone = nil
	for addr := range f.dirty {
		for e, now := range f.effective(addr) {
			if f.sent[e] != now {
				f.sent[e] = now
				changes[e.pool] = append(changes[e.pool], now)
			}
		}
	}
	clear(f.dirty)
	var outs []Update
	for pool, list := range changes {
		// Ends first, so that a name that has a new address is not ended after it; then by name, for the same order always.
		slices.SortStableFunc(list, func(a, b endpoint.Entry) int {
			return cmp.Or(cmp.Compare(ended(b), ended(a)), cmp.Compare(a.Name, b.Name))
		})
		outs = append(outs, Update{pool, endpoint.Update{Kind: balancer.Delta, Entries: list}})
	}
	slices.SortFunc(outs, func(a, b Update) int { return cmp.Compare(a.Pool, b.Pool) })
	return outs
}

func ended(e endpoint.Entry) int {
	if e.State == balancer.Removed {
		return 1
	}
	return 0
}

// effective is what the pools of one server are to know of it.
func (f *Registry) effective(addr string) map[*entry]endpoint.Entry {
	all := f.at[addr]
	drains := false
	use := 0 // entries that have it in service: a pool may have a server under two names
	var started = balancer.Endpoint{}.StartedAt
	for e := range all {
		drains = drains || e.told.State != balancer.Serving
		started = max(started, e.told.StartedAt)
		if e.told.State == balancer.Serving && !e.stopped {
			use++
		}
	}
	now := map[*entry]endpoint.Entry{}
	for e := range all {
		n := e.told
		n.StartedAt = started
		n.SlowStartShare = 1 / float64(max(1, use))
		if drains || e.stopped {
			n.State = balancer.Draining
		}
		now[e] = n
	}
	return now
}
