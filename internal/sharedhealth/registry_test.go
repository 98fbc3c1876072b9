package sharedhealth

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
)

func entryOf(name, addr string, state balancer.EndpointState, started time.Duration) endpoint.Entry {
	return endpoint.Entry{Endpoint: balancer.Endpoint{Name: name, State: state, StartedAt: started}, Address: addr}
}

func list(scope balancer.UpdateKind, all ...endpoint.Entry) endpoint.Update {
	return endpoint.Update{Kind: scope, Entries: all}
}

// pools keeps what each pool was told, as a core would.
type pools map[string]map[string]endpoint.Entry

func (p pools) take(outs []Update) {
	for _, o := range outs {
		if p[o.Pool] == nil {
			p[o.Pool] = map[string]endpoint.Entry{}
		}
		for _, e := range o.Update.Entries {
			if e.State == balancer.Removed {
				delete(p[o.Pool], e.Name)
			} else {
				p[o.Pool][e.Name] = e
			}
		}
	}
}

func TestPoolsSharedServer(t *testing.T) {
	const in, out, gone = balancer.Serving, balancer.Draining, balancer.Removed
	f, p := New(), pools{}
	tell := func(pool string, u endpoint.Update) { p.take(f.Apply(pool, u)) }
	state := func(pool, name string, want balancer.EndpointState, share float64) {
		t.Helper()
		if e, ok := p[pool][name]; !ok || e.State != want || e.SlowStartShare != share {
			t.Errorf("%s has %s as %+v, want state %v and share %v", pool, name, e, want, share)
		}
	}
	tell("a", list(balancer.Snapshot, entryOf("s1", "x", in, 0), entryOf("s2", "y", in, 0)))
	state("a", "s1", in, 1)
	tell("b", list(balancer.Snapshot, entryOf("t1", "x", in, 7))) // by another name; and newly started, as b knows
	state("a", "s1", in, 0.5)
	state("b", "t1", in, 0.5)
	state("a", "s2", in, 1)
	if p["a"]["s1"].StartedAt != 7 {
		t.Error("a does not know of the start that b was told of")
	}
	tell("a", list(balancer.Delta, entryOf("s1", "x", out, 0))) // a drain told to one
	state("b", "t1", out, 1)
	tell("b", list(balancer.Delta, entryOf("t1", "x", in, 7))) // the other's source says nothing of it
	state("b", "t1", out, 1)
	tell("a", list(balancer.Delta, entryOf("s1", "x", in, 9))) // it is back
	state("a", "s1", in, 0.5)
	state("b", "t1", in, 0.5)
	tell("a", list(balancer.Delta, entryOf("s1", "x", gone, 0))) // removed from one
	if _, there := p["a"]["s1"]; there {
		t.Error("a still has it")
	}
	if e := p["b"]["t1"]; e.State != out {
		t.Errorf("b goes on with a removed server: %+v", e)
	}
	tell("b", list(balancer.Delta, entryOf("t1", "x", in, 7))) // b's own source insists
	state("b", "t1", in, 1)
	tell("a", list(balancer.Snapshot, entryOf("s2", "x", in, 0))) // another name now has that address, and y is left
	state("b", "t1", in, 0.5)
	tell("b", list(balancer.Delta, entryOf("t1", "z", in, 8))) // it returns under a new address
	state("b", "t1", in, 1)
	if e := p["a"]["s2"]; e.State != out {
		t.Errorf("a goes on with the address that b's server has left: %+v", e)
	}
	tell("b", list(balancer.CachedSnapshot)) // an old list that has nothing
	if len(p["b"]) != 0 {
		t.Errorf("b has %v", p["b"])
	}
	tell("a", list(balancer.Snapshot, entryOf("s2", "x", in, 0)))
	tell("b", list(balancer.Snapshot, entryOf("t1", "x", in, 0)))
	state("a", "s2", in, 0.5)
	p.take(f.Remove("b")) // the pool is removed, not the server
	state("a", "s2", in, 1)
	if got := f.Apply("a", endpoint.Update{Kind: balancer.UpdateFailed}); len(got) != 1 || got[0].Update.Kind != balancer.UpdateFailed {
		t.Errorf("a failed list: %+v", got)
	}
}

// Whatever sources say, in whatever order: no pool has a server in service that any pool's source says is draining; the
// parts of a server that pools have in service never sum up to more than one; all know the newest start; and each pool
// has just the names that its own source has.
func TestPoolsSharedServerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, p := New(), pools{}
		told := map[string]map[string]endpoint.Entry{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			pool := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "pool")
			if rapid.IntRange(0, 15).Draw(t, "drop") == 0 {
				p.take(f.Remove(pool))
				delete(told, pool)
				delete(p, pool)
				continue
			}
			u := endpoint.Update{Kind: rapid.SampledFrom([]balancer.UpdateKind{balancer.Delta, balancer.Delta, balancer.Snapshot, balancer.CachedSnapshot}).Draw(t, "scope")}
			if told[pool] == nil {
				told[pool] = map[string]endpoint.Entry{}
			}
			if u.Kind != balancer.Delta {
				clear(told[pool])
			}
			for i := range 3 {
				if !rapid.Bool().Draw(t, "has") {
					continue
				}
				e := entryOf(fmt.Sprint("s", i), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "addr"),
					balancer.EndpointState(rapid.IntRange(0, 2).Draw(t, "state")), time.Duration(rapid.IntRange(0, 3).Draw(t, "started")))
				u.Entries = append(u.Entries, e)
				if e.State == balancer.Removed {
					delete(told[pool], e.Name)
				} else {
					told[pool][e.Name] = e
				}
			}
			p.take(f.Apply(pool, u))
			drains, shares, started := map[string]bool{}, map[string]map[string]float64{}, map[string]time.Duration{}
			for _, list := range told {
				for _, e := range list {
					drains[e.Address] = drains[e.Address] || e.State != balancer.Serving
					started[e.Address] = max(started[e.Address], e.StartedAt)
				}
			}
			for pool, list := range p {
				if len(list) != len(told[pool]) {
					t.Fatalf("%s has %v, its source %v", pool, list, told[pool])
				}
				for name, e := range list {
					o, ok := told[pool][name]
					if !ok || e.Address != o.Address || e.StartedAt != started[e.Address] {
						t.Fatalf("%s has %s as %+v, its source says %+v", pool, name, e, o)
					}
					if e.State == balancer.Serving {
						if drains[e.Address] {
							t.Fatalf("%s uses %s, which drains", pool, e.Address)
						}
						if shares[e.Address] == nil {
							shares[e.Address] = map[string]float64{}
						}
						shares[e.Address][pool+" "+name] = e.SlowStartShare
					}
				}
			}
			for addr, by := range shares {
				sum := 0.0
				for _, s := range by {
					sum += s
				}
				if sum > 1.0001 {
					t.Fatalf("the parts of %s sum up to %v", addr, sum)
				}
			}
		}
	})
}
