package policy

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// until plays event by event until a condition holds; false: it did not in time.
func (w *world) until(limit time.Duration, holds func() bool) bool {
	end := w.now + limit
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(worldEvent)
		w.now = max(w.now, e.at)
		if e.run(); holds() {
			return true
		}
	}
	return false
}

// isProposed returns whether an entry of some kind is proposed and not yet committed.
func (w *world) isProposed(kind func(Entry) bool) bool {
	return slices.ContainsFunc(w.uncommitted, func(b *[]byte) bool {
		var e Entry
		return cbor.Unmarshal(*b, &e) == nil && kind(e)
	})
}

// receivedFrom returns whether the leader knows of some and of all participants that a condition on the pending change
// holds.
func (w *world) receivedFrom(what func(StatusRequest, uint64) bool) (some, all bool) {
	n := w.gateways[w.leader].node
	if n.leadership.coordinator == nil || n.state.Pending == nil {
		return false, false
	}
	all = true
	for _, r := range n.state.Processes() {
		if known := n.leadership.coordinator.statusOf(r); known != nil && what(known.status, n.state.Pending.Index) {
			some = true
		} else {
			all = false
		}
	}
	return some, all
}

// countVersion counts the gateways that go by a version.
func (w *world) countVersion(n uint64) (count int) {
	for _, g := range w.gateways {
		if g.alive && g.node.Participant().Version().Number == n {
			count++
		}
	}
	return count
}

// changeStep is a step of a change, and whether it has come to that.
type changeStep struct {
	name string
	at   func(w *world) bool
}

// changeSteps are the steps of a change in their order.
func changeSteps() []changeStep {
	prepared := func(h StatusRequest, index uint64) bool { return h.Prepared == index || h.Locked == index }
	locked := func(h StatusRequest, index uint64) bool { return h.Locked == index }
	return []changeStep{
		{"proposed", func(w *world) bool { return w.isProposed(func(e Entry) bool { return e.Propose != nil }) }},
		{"in the log", func(w *world) bool { return w.gateways[w.leader].node.state.Pending != nil }},
		{"the first has prepared", func(w *world) bool { some, _ := w.receivedFrom(prepared); return some }},
		{"all have prepared", func(w *world) bool { _, all := w.receivedFrom(prepared); return all }},
		{"the first lock", func(w *world) bool { some, _ := w.receivedFrom(locked); return some }},
		{"all locked, the commit proposed", func(w *world) bool {
			return w.isProposed(func(e Entry) bool { return e.Commit != nil })
		}},
		{"committed, and nobody notified", func(w *world) bool {
			return w.gateways[w.leader].node.state.Current.Number == 2 && w.countVersion(2) == 0
		}},
		{"the first gateway has switched", func(w *world) bool { return w.countVersion(2) > 0 }},
	}
}

// stepFaults go wrong at a step; what each returns ends it.
func stepFaults() map[string]func(w *world, asker *gateway) (again func()) {
	return map[string]func(w *world, asker *gateway) (again func()){
		"leader killed": func(w *world, _ *gateway) func() {
			g := w.gateways[w.leader]
			g.alive, g.life = false, g.life+1
			w.elect((g.index + 1) % 3)
			return func() { g.start(3) }
		},
		"leader stopped": func(w *world, _ *gateway) func() {
			g := w.gateways[w.leader]
			g.stopped = true
			w.elect((g.index + 1) % 3)
			return g.resume
		},
		"proposer killed": func(w *world, g *gateway) func() {
			g.alive, g.life = false, g.life+1
			return func() { g.start(3) }
		},
	}
}

// TestPolicyLeaderKilledAtEachStep kills or stops the leader, or the proposer, at the very event that makes each step
// of a change. The change is decided once, its id gives the same answer from every gateway, all gateways come to go
// by the same version, and the window is kept.
func TestPolicyLeaderKilledAtEachStep(t *testing.T) {
	plays, taken := 0, 0
	for _, step := range changeSteps() {
		for trouble, do := range stepFaults() {
			for seed := range uint64(8) {
				gateways, mode := 4+int(seed%3), Mode(seed/4)
				at := fmt.Sprintf("%s, %s, %d gateways, %v, seed %d", step.name, trouble, gateways, mode, seed)
				w := newWorld(seed, gateways, mode)
				w.maxDelay = 20 * time.Millisecond
				w.loss, w.duplication = 0.1, 0.3
				w.decideEvery(5 * time.Millisecond)
				if !w.until(20*time.Second, func() bool { return w.countVersion(1) == gateways }) {
					t.Fatalf("%s: the fleet has not begun", at)
				}
				w.run(w.now + 2*time.Second)
				c := &Change{ID: "x", Base: 1, Hash: Hash{2}, Mode: mode, Source: uint16(gateways - 1)}
				asker := w.gateways[gateways-1]
				asker.query(Query{ChangeID: c.ID, Change: c})
				if !w.until(2*time.Second, func() bool { return step.at(w) }) {
					t.Fatalf("%s: it did not come to that", at)
				}
				again := do(w, asker)
				w.run(w.now + 700*time.Millisecond)
				again()
				w.run(w.now + 200*time.Millisecond)
				other := w.gateways[1]
				no := other.query(Query{ChangeID: c.ID, Change: c}) // whoever does not know queries the same id
				if !w.until(15*time.Second, func() bool { return other.node.QueryReply(no) != nil }) {
					t.Fatalf("%s: it is not known what became of it", at)
				}
				got := *other.node.QueryReply(no).Outcome
				for _, g := range w.gateways {
					no := g.query(Query{ChangeID: c.ID, Change: c})
					if !w.until(5*time.Second, func() bool { return g.node.QueryReply(no) != nil }) {
						t.Fatalf("%s: gateway %d does not learn what became of it", at, g.index)
					}
					if o := g.node.QueryReply(no).Outcome; o.Committed != got.Committed || o.Version != got.Version {
						t.Errorf("%s: %+v at gateway %d, %+v at another", at, o, g.index, got)
					}
				}
				want := uint64(1)
				if got.Committed {
					want = 2
					taken++
				}
				if !w.until(5*time.Second, func() bool { return w.countVersion(want) == gateways }) {
					t.Errorf("%s: %d of %d gateways go by version %d", at, w.countVersion(want), gateways, want)
				}
				times := 0
				for _, o := range w.gateways[w.leader].node.state.Outcomes {
					if o.Change.ID == c.ID {
						times++
					}
				}
				if times != 1 || w.worstWindow > maxWindow {
					t.Errorf("%s: decided %d times, window %v", at, times, w.worstWindow)
				}
				plays++
			}
		}
	}
	t.Logf("%d plays, the change taken in %d", plays, taken)
	if taken < plays/2 {
		t.Error("hardly any change was taken")
	}
}

// TestPolicyTakenOverLossyLines commits a change over links that lose three messages of ten, within two seconds: a
// gateway that has not voted is notified again.
func TestPolicyTakenOverLossyLines(t *testing.T) {
	var worst time.Duration
	for seed := range uint64(40) {
		w := newWorld(seed, 5, Wait)
		w.maxDelay = 20 * time.Millisecond
		w.run(w.now + 5*time.Second)
		w.loss, w.duplication = 0.3, 0.3
		begun := w.now
		w.gateways[4].query(Query{ChangeID: "x", Change: &Change{ID: "x", Base: 1, Hash: Hash{2}, Source: 4}})
		if !w.until(10*time.Second, func() bool { return w.gateways[w.leader].node.state.FindOutcome("x") != nil }) {
			t.Fatalf("seed %d: not decided", seed)
		}
		if o := w.gateways[w.leader].node.state.FindOutcome("x"); !o.Committed {
			t.Errorf("seed %d: dropped: %s", seed, o.Reason)
		}
		worst = max(worst, w.now-begun)
	}
	t.Logf("taken within %v at worst", worst)
	if worst > 2*time.Second {
		t.Errorf("it took %v", worst)
	}
}
