package sharedhealth

import (
	"maps"
	"slices"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
)

// Update is an endpoint update for one pool: changes or the failure of a source, never a whole list.
type Update struct {
	// Pool is the name of the pool.
	Pool string
	// Update is of kind balancer.Delta or balancer.UpdateFailed.
	Update endpoint.Update
}

// Registry holds what each pool's source has reported, and the merged state that each pool was given. It must be made
// by [New].
type Registry struct {
	// pools has the entries of each pool by the pool's name.
	pools map[string]poolEntries
	// byAddress has the entries of all pools by the endpoint's address.
	byAddress map[string]entrySet
	// changed has the addresses whose entries have changed since the last flush.
	changed map[string]struct{}
	// removed has an update for its own pool for each entry that was removed since the last flush.
	removed []Update
	// delivered has what flush last returned for each entry. Unchanged entries are not returned again.
	delivered map[*entry]endpoint.Entry
}

// poolEntries are the entries of one pool, by name.
type poolEntries map[string]*entry

// entrySet has the entries of all pools for one address.
type entrySet map[*entry]struct{}

// entry is an endpoint in the list of one pool.
type entry struct {
	pool string
	// reported is the last report of the pool's source.
	reported endpoint.Entry
	// stopped is true if the source of another pool has removed the endpoint, and the source of this pool has not
	// reported it as serving since.
	stopped bool
}

// New returns a Registry without pools.
func New() *Registry {
	return &Registry{
		pools:     map[string]poolEntries{},
		byAddress: map[string]entrySet{},
		changed:   map[string]struct{}{},
		delivered: map[*entry]endpoint.Entry{},
	}
}

// Apply applies an update from a pool's source and returns the resulting updates for all pools, ordered by their names.
// The pool itself is among them only if something has changed for it.
func (r *Registry) Apply(pool string, update endpoint.Update) []Update {
	if update.Kind == balancer.UpdateFailed {
		return []Update{{Pool: pool, Update: update}}
	}
	entries := r.pools[pool]
	if entries == nil {
		entries = poolEntries{}
		r.pools[pool] = entries
	}
	listed := map[string]bool{}
	for _, reported := range update.Entries {
		listed[reported.Name] = true
		r.applyEntry(pool, entries, reported)
	}
	if update.Kind != balancer.Delta {
		r.removeUnlisted(entries, listed, update.Kind)
	}
	return r.flush()
}

// removeUnlisted removes the entries that are missing from a whole list. A current list, but not a cached one, also
// means that their endpoints have stopped.
func (r *Registry) removeUnlisted(entries poolEntries, listed map[string]bool, kind balancer.UpdateKind) {
	for _, name := range sortedNames(entries) {
		if listed[name] {
			continue
		}
		if kind == balancer.Snapshot {
			r.stopElsewhere(entries[name])
		}
		r.remove(entries, entries[name])
	}
}

// Remove removes a pool and returns the updates for the others. That does not mean that its endpoints have stopped: the
// other pools that list them go on, with larger shares of their slow-start budgets.
func (r *Registry) Remove(pool string) []Update {
	entries := r.pools[pool]
	for _, name := range sortedNames(entries) {
		r.remove(entries, entries[name])
	}
	delete(r.pools, pool)
	r.removed = nil // the removed pool gets no updates
	return r.flush()
}

// applyEntry applies one entry of an update.
func (r *Registry) applyEntry(pool string, entries poolEntries, reported endpoint.Entry) {
	e := entries[reported.Name]
	if reported.State == balancer.Removed {
		if e != nil {
			r.stopElsewhere(e)
			r.remove(entries, e)
		}
		return
	}
	if e == nil {
		e = &entry{pool: pool}
		entries[reported.Name] = e
	} else if e.reported.Address != reported.Address {
		// If a source moves a name to another address, the process at the old address has stopped.
		r.stopElsewhere(e)
		r.unlink(e)
	}
	e.reported = reported
	if reported.State == balancer.Serving {
		e.stopped = false
	}
	r.link(e)
}

// remove removes an entry from its pool. The next flush returns the removal.
func (r *Registry) remove(entries poolEntries, e *entry) {
	r.unlink(e)
	delete(entries, e.reported.Name)
	delete(r.delivered, e)
	last := e.reported
	last.State = balancer.Removed
	r.removed = append(r.removed, Update{
		Pool:   e.pool,
		Update: endpoint.Update{Entries: []endpoint.Entry{last}},
	})
}

// stopElsewhere marks the endpoint of an entry as stopped in all other pools: they drain it until their own sources
// report it as serving again.
func (r *Registry) stopElsewhere(e *entry) {
	for other := range r.byAddress[e.reported.Address] {
		if other.pool != e.pool {
			other.stopped = true
		}
	}
}

// link adds an entry to those of its address.
func (r *Registry) link(e *entry) {
	address := e.reported.Address
	if r.byAddress[address] == nil {
		r.byAddress[address] = entrySet{}
	}
	r.byAddress[address][e] = struct{}{}
	r.changed[address] = struct{}{}
}

// unlink removes an entry from those of its address.
func (r *Registry) unlink(e *entry) {
	address := e.reported.Address
	delete(r.byAddress[address], e)
	if len(r.byAddress[address]) == 0 {
		delete(r.byAddress, address)
	}
	r.changed[address] = struct{}{}
}

// sortedNames returns the names of a pool's entries in order.
func sortedNames(entries poolEntries) []string {
	return slices.Sorted(maps.Keys(entries))
}
