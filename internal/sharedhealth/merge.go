package sharedhealth

import (
	"cmp"
	"slices"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
)

// flush returns the updates for what has changed since the last flush, ordered by pool.
func (r *Registry) flush() []Update {
	changes := map[string][]endpoint.Entry{}
	for _, removal := range r.removed {
		changes[removal.Pool] = append(changes[removal.Pool], removal.Update.Entries...)
	}
	r.removed = nil
	for address := range r.changed {
		for e, merged := range merge(r.byAddress[address]) {
			if r.delivered[e] != merged {
				r.delivered[e] = merged
				changes[e.pool] = append(changes[e.pool], merged)
			}
		}
	}
	clear(r.changed)
	var updates []Update
	for pool, entries := range changes {
		slices.SortStableFunc(entries, compareChanges)
		updates = append(updates, Update{
			Pool:   pool,
			Update: endpoint.Update{Kind: balancer.Delta, Entries: entries},
		})
	}
	slices.SortFunc(updates, func(a, b Update) int { return cmp.Compare(a.Pool, b.Pool) })
	return updates
}

// compareChanges orders the entries of an update by name, but removals first: the removal of an old entry must not
// come after the entry that has replaced it under the same name.
func compareChanges(a, b endpoint.Entry) int {
	aRemoved := a.State == balancer.Removed
	bRemoved := b.State == balancer.Removed
	switch {
	case aRemoved && !bRemoved:
		return -1
	case bRemoved && !aRemoved:
		return 1
	default:
		return cmp.Compare(a.Name, b.Name)
	}
}

// merge returns the state of the endpoint of one address for the pool of each entry: draining if any of the entries is
// reported so or this entry is stopped, with the latest start time and an even share of the slow-start budget.
func merge(entries entrySet) map[*entry]endpoint.Entry {
	draining := false
	serving := 0 // entries, not pools: a pool may list an endpoint under two names
	startedAt := time.Duration(0)
	for e := range entries {
		startedAt = max(startedAt, e.reported.StartedAt)
		if e.reported.State != balancer.Serving {
			draining = true
		} else if !e.stopped {
			serving++
		}
	}
	merged := map[*entry]endpoint.Entry{}
	for e := range entries {
		m := e.reported
		m.StartedAt = startedAt
		m.SlowStartShare = 1 / float64(max(1, serving))
		if draining || e.stopped {
			m.State = balancer.Draining
		}
		merged[e] = m
	}
	return merged
}
