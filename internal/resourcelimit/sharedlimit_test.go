package resourcelimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever parties take and give, the whole is never passed, and what a party's guarantee covers is there at once as long as
// guarantees fit and nobody's was changed.
func TestPoolsPotKeepsGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, 100).Draw(t, "total")
		pot := NewSharedLimit(total)
		var all []*Allotment
		held := map[*Allotment]int64{}
		guarantee := map[*Allotment]int64{}
		left := total
		for range rapid.IntRange(1, 5).Draw(t, "parties") {
			g := rapid.Int64Range(0, left).Draw(t, "guarantee")
			left -= g
			p := pot.Join("p", g, nil)
			all, guarantee[p] = append(all, p), g
		}
		sum := func() (n int64) {
			for _, h := range held {
				n += h
			}
			return n
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			p := rapid.SampledFrom(all).Draw(t, "party")
			n := rapid.Int64Range(0, 30).Draw(t, "n")
			if rapid.Bool().Draw(t, "give") {
				n = min(n, held[p])
				p.Release(n)
				held[p] -= n
				continue
			}
			if p.TryReserve(n) {
				held[p] += n
			} else if held[p]+n <= guarantee[p] {
				t.Fatalf("a guarantee of %d does not give %d to %d", guarantee[p], n, held[p])
			}
			if sum() > total || pot.Held() != sum() || p.Held() != held[p] {
				t.Fatalf("%d held of %d, the pot says %d", sum(), total, pot.Held())
			}
			for _, o := range all { // nothing taken may stand in the way of what is guaranteed
				if free := guarantee[o] - held[o]; free > 0 {
					if !o.TryReserve(free) {
						t.Fatalf("the last %d of a guarantee of %d are lent", free, guarantee[o])
					}
					o.Release(free)
				}
			}
		}
	})
}

// Who finds nothing left has the party asked that has borrowed most, if that has more than it would have.
func TestPoolsPotAsksForWhatIsBorrowed(t *testing.T) {
	pot := NewSharedLimit(10)
	asked := map[string]int64{}
	join := func(name string, g int64) *Allotment {
		return pot.Join(name, g, func(n int64) { asked[name] += n })
	}
	a, b, c := join("a", 2), join("b", 2), join("c", 0)
	if !a.TryReserve(8) || a.TryReserve(1) || !b.TryReserve(2) { // six borrowed; b's two are not to be had
		t.Fatal("the wrong things are lent")
	}
	if b.TryReserve(1); asked["a"] != 1 || asked["b"] != 0 || asked["c"] != 0 {
		t.Errorf("asked %v", asked)
	}
	a.Release(1)
	if !c.TryReserve(1) || a.Stats().Reclaims != 1 || b.Stats().Refused != 1 {
		t.Errorf("what was given back is not there, or not told: %+v", a.Stats())
	}
	a.Leave() // what it holds counts until it is given
	if a.Release(7); !c.TryReserve(7) || c.TryReserve(1) || pot.Held() != 10 || pot.Len() != 2 {
		t.Errorf("%d held by %d", pot.Held(), pot.Len())
	}
	b.SetGuarantee(1)
	if b.Release(2); !c.TryReserve(1) || c.TryReserve(1) {
		t.Error("a lowered guarantee is not lent, or too much of it")
	}
	if CheckGuarantees(10, 5, 5) != nil || CheckGuarantees(10, 5, 6) == nil || CheckGuarantees(10, -1) == nil {
		t.Error("what fits is not told")
	}
}

// One server's connections are bounded over all pools, by the least that any says, and neither pool can lock the other out.
func TestPoolsCapsAreShared(t *testing.T) {
	caps := NewEndpointLimits()
	yielded := 0
	a := caps.Join("x", "a", 8, func(int64) { yielded++ })
	if !a.TryReserve(8) || a.TryReserve(1) {
		t.Fatal("a pool alone has not the whole")
	}
	b := caps.Join("x", "b", 6, nil)
	if b.TryReserve(1) || yielded == 0 {
		t.Error("the cap is passed, or nothing is asked back")
	}
	a.Release(4)
	if !b.TryReserve(1) || !a.TryReserve(1) || b.TryReserve(1) || a.TryReserve(1) { // of six, each is guaranteed one
		t.Error("what a gave back is not shared")
	}
	b.Leave()
	a.Release(5)
	a.Leave()
	b.Release(1)
	for i := range 2 * minCleanupSize {
		caps.Join(string(rune('a'+i)), "a", 1, nil).Leave()
	}
	if caps.Len() > minCleanupSize {
		t.Errorf("%d addresses are kept that nobody has", caps.Len())
	}
}

// A pool takes every place and keeps it busy: the last part stays for newcomers, of whom those of that pool are sent away
// with their first request, and those of another are taken for what it has borrowed. Within a guarantee nothing gives way.
func TestPoolsBusyConnectionsBeyondTheGuaranteeGiveWay(t *testing.T) {
	const now = time.Hour
	c := NewClientLimit(20, func() time.Duration { return now })
	quiet, loud := NewGroup("quiet", 4), NewGroup("loud", 4)
	come := func(to *Group) (*holder, bool) {
		h := &holder{spoken: true}
		if !c.HasCapacity() {
			t.Fatalf("no room for a newcomer: %d of 20", c.Len())
		}
		c.Add(h)
		if c.Assign(h, to) {
			return h, true
		}
		c.Remove(h)
		return h, false
	}
	var all []*holder
	for range 17 {
		if h, ok := come(loud); ok {
			all = append(all, h)
		}
	}
	if h, ok := come(loud); ok { // the eighteenth is the last of 90 %
		all = append(all, h)
	}
	if _, ok := come(loud); ok || loud.Held() != 18 || loud.Refused() != 1 {
		t.Fatalf("%d of the loud pool, %d refused", loud.Held(), loud.Refused())
	}
	var few []*holder
	for i := range 4 {
		h, ok := come(quiet)
		gone := 0
		for _, o := range all {
			if o.gone { // it ends with its answer
				gone++
				o.gone = false
				c.Remove(o)
			}
		}
		if few = append(few, h); !ok || gone != 1 {
			t.Fatalf("newcomer %d of the quiet pool: taken %v, and %d of the loud one's gave way", i, ok, gone)
		}
	}
	if _, ok := come(quiet); ok {
		t.Error("beyond its guarantee the quiet pool takes what is not there")
	}
	for _, h := range few {
		h.since = now - 10*idleTimeout // idle for long, and still guaranteed
	}
	for range 2 {
		c.Add(&holder{since: now})
	}
	if c.HasCapacity() || few[0].gone || loud.Held() != 14 || quiet.Held() != 4 || loud.Evicted() != 4 {
		t.Errorf("%d loud, %d quiet", loud.Held(), quiet.Held())
	}
	if !c.Assign(few[0], loud) { // a connection that was taken may ask another pool
		t.Error("a connection that was taken is refused")
	}
	for _, h := range append(few, all...) {
		c.Remove(h)
	}
	if loud.Held() != 0 || quiet.Held() != 0 || c.assigned != 0 {
		t.Errorf("%d and %d are kept", loud.Held(), quiet.Held())
	}
}
