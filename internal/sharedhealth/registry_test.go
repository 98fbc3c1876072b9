package sharedhealth

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
)

// newEntry returns an entry of a source's update.
func newEntry(name, address string, state balancer.EndpointState, startedAt time.Duration) endpoint.Entry {
	return endpoint.Entry{
		Endpoint: balancer.Endpoint{
			Name:      name,
			State:     state,
			StartedAt: startedAt,
		},
		Address: address,
	}
}

// newUpdate returns an update of a source.
func newUpdate(kind balancer.UpdateKind, entries ...endpoint.Entry) endpoint.Update {
	return endpoint.Update{Kind: kind, Entries: entries}
}

// poolViews has the entries of each pool, as a proxy would keep them.
type poolViews map[string]map[string]endpoint.Entry

// apply applies updates to the pools.
func (v poolViews) apply(updates []Update) {
	for _, update := range updates {
		if v[update.Pool] == nil {
			v[update.Pool] = map[string]endpoint.Entry{}
		}
		for _, e := range update.Update.Entries {
			if e.State == balancer.Removed {
				delete(v[update.Pool], e.Name)
			} else {
				v[update.Pool][e.Name] = e
			}
		}
	}
}

// TestPoolsSharedServer verifies how reports about endpoints change what several pools know of them, in one sequence of
// starts, drains, removals, moves to other addresses and a pool's removal.
func TestPoolsSharedServer(t *testing.T) {
	const (
		serving  = balancer.Serving
		draining = balancer.Draining
		removed  = balancer.Removed
	)
	registry := New()
	views := poolViews{}
	report := func(pool string, update endpoint.Update) { views.apply(registry.Apply(pool, update)) }
	want := func(pool, name string, state balancer.EndpointState, share float64) {
		t.Helper()
		if e, ok := views[pool][name]; !ok || e.State != state || e.SlowStartShare != share {
			t.Errorf("%s has %s as %+v, want state %v and share %v", pool, name, e, state, share)
		}
	}
	report("a", newUpdate(balancer.Snapshot, newEntry("s1", "x", serving, 0), newEntry("s2", "y", serving, 0)))
	want("a", "s1", serving, 1)
	// Pool b lists the same endpoint by another name and with a later start.
	report("b", newUpdate(balancer.Snapshot, newEntry("t1", "x", serving, 7)))
	want("a", "s1", serving, 0.5)
	want("b", "t1", serving, 0.5)
	want("a", "s2", serving, 1)
	if views["a"]["s1"].StartedAt != 7 {
		t.Error("a has not got the start time that b's source has reported")
	}
	// One source reports it as draining.
	report("a", newUpdate(balancer.Delta, newEntry("s1", "x", draining, 0)))
	want("b", "t1", draining, 1)
	// The other source still reports it as serving.
	report("b", newUpdate(balancer.Delta, newEntry("t1", "x", serving, 7)))
	want("b", "t1", draining, 1)
	// The first source reports it as serving again.
	report("a", newUpdate(balancer.Delta, newEntry("s1", "x", serving, 9)))
	want("a", "s1", serving, 0.5)
	want("b", "t1", serving, 0.5)
	// One source removes it.
	report("a", newUpdate(balancer.Delta, newEntry("s1", "x", removed, 0)))
	if _, ok := views["a"]["s1"]; ok {
		t.Error("a still has the removed endpoint")
	}
	if e := views["b"]["t1"]; e.State != draining {
		t.Errorf("b does not drain an endpoint that a's source has removed: %+v", e)
	}
	// The other pool's source reports it as serving after that.
	report("b", newUpdate(balancer.Delta, newEntry("t1", "x", serving, 7)))
	want("b", "t1", serving, 1)
	// Pool a lists that address by another name; address y is no longer in use.
	report("a", newUpdate(balancer.Snapshot, newEntry("s2", "x", serving, 0)))
	want("b", "t1", serving, 0.5)
	// Source b moves its name to another address.
	report("b", newUpdate(balancer.Delta, newEntry("t1", "z", serving, 8)))
	want("b", "t1", serving, 1)
	if e := views["a"]["s2"]; e.State != draining {
		t.Errorf("a does not drain the address that b's endpoint has left: %+v", e)
	}
	// A cached list without entries.
	report("b", newUpdate(balancer.CachedSnapshot))
	if len(views["b"]) != 0 {
		t.Errorf("b has %v", views["b"])
	}
	report("a", newUpdate(balancer.Snapshot, newEntry("s2", "x", serving, 0)))
	report("b", newUpdate(balancer.Snapshot, newEntry("t1", "x", serving, 0)))
	want("a", "s2", serving, 0.5)
	// A removal of the pool does not stop the endpoint.
	views.apply(registry.Remove("b"))
	want("a", "s2", serving, 1)
	updates := registry.Apply("a", endpoint.Update{Kind: balancer.UpdateFailed})
	if len(updates) != 1 || updates[0].Update.Kind != balancer.UpdateFailed {
		t.Errorf("updates for a failed source: %+v", updates)
	}
}

// drawUpdate returns a random update and applies it to the entries that the source has reported.
func drawUpdate(t *rapid.T, reported map[string]endpoint.Entry) endpoint.Update {
	kinds := []balancer.UpdateKind{balancer.Delta, balancer.Delta, balancer.Snapshot, balancer.CachedSnapshot}
	update := endpoint.Update{Kind: rapid.SampledFrom(kinds).Draw(t, "scope")}
	if update.Kind != balancer.Delta {
		clear(reported)
	}
	for i := range 3 {
		if !rapid.Bool().Draw(t, "has") {
			continue
		}
		address := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "addr")
		state := balancer.EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))
		startedAt := time.Duration(rapid.IntRange(0, 3).Draw(t, "started"))
		e := newEntry(fmt.Sprint("s", i), address, state, startedAt)
		update.Entries = append(update.Entries, e)
		if e.State == balancer.Removed {
			delete(reported, e.Name)
		} else {
			reported[e.Name] = e
		}
	}
	return update
}

// checkViews compares the entries of the pools with what their sources have reported.
func checkViews(t *rapid.T, views poolViews, reported map[string]map[string]endpoint.Entry) {
	draining := map[string]bool{}
	startedAt := map[string]time.Duration{}
	for _, entries := range reported {
		for _, e := range entries {
			draining[e.Address] = draining[e.Address] || e.State != balancer.Serving
			startedAt[e.Address] = max(startedAt[e.Address], e.StartedAt)
		}
	}
	shares := map[string]float64{}
	for pool, entries := range views {
		if len(entries) != len(reported[pool]) {
			t.Fatalf("%s has %v, its source %v", pool, entries, reported[pool])
		}
		for name, e := range entries {
			own, ok := reported[pool][name]
			if !ok || e.Address != own.Address || e.StartedAt != startedAt[e.Address] {
				t.Fatalf("%s has %s as %+v, its source reported %+v", pool, name, e, own)
			}
			if e.State != balancer.Serving {
				continue
			}
			if draining[e.Address] {
				t.Fatalf("%s uses %s, which is draining", pool, e.Address)
			}
			shares[e.Address] += e.SlowStartShare
		}
	}
	for address, sum := range shares {
		if sum > 1.0001 {
			t.Fatalf("the shares of %s sum up to %v", address, sum)
		}
	}
}

// TestPoolsSharedServerInvariants verifies, for random reports in random order, that no pool has an endpoint in service
// that the source of any pool reports as draining, that the slow-start shares of an endpoint add up to one at most,
// that all pools have the latest start time, and that each pool has the names that its own source has listed, and no
// others.
func TestPoolsSharedServerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := New()
		views := poolViews{}
		reported := map[string]map[string]endpoint.Entry{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			pool := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "pool")
			if rapid.IntRange(0, 15).Draw(t, "drop") == 0 {
				views.apply(registry.Remove(pool))
				delete(reported, pool)
				delete(views, pool)
				continue
			}
			if reported[pool] == nil {
				reported[pool] = map[string]endpoint.Entry{}
			}
			views.apply(registry.Apply(pool, drawUpdate(t, reported[pool])))
			checkViews(t, views, reported)
		}
	})
}
