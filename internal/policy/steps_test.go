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
		if known := n.leadership.coordinator.statusOf(r); known != nil && what(known.request, n.state.Pending.Index) {
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
func stepFaults() map[string]func(w *world, asker *gateway) (repair func()) {
	return map[string]func(w *world, asker *gateway) (repair func()){
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

// stepPlay is a change with a fault at one of its steps.
type stepPlay struct {
	*world
	t     *testing.T
	title string
	step  changeStep
	mode  Mode
}

// changeID is the id of the change that a stepPlay is about.
const changeID = "x"

// play proposes the change, injects the fault at the step and repairs it. It returns whether the change was committed.
func (p *stepPlay) play(inject func(w *world, asker *gateway) (repair func())) bool {
	p.t.Helper()
	p.decideEvery(5 * time.Millisecond)
	if !p.until(20*time.Second, func() bool { return p.countVersion(1) == len(p.gateways) }) {
		p.t.Fatalf("%s: not all gateways have switched to the first version", p.title)
	}
	p.run(p.now + 2*time.Second)
	proposer := p.gateways[len(p.gateways)-1]
	change := &Change{ID: changeID, Base: 1, Hash: Hash{2}, Mode: p.mode, Source: uint16(proposer.index)}
	proposer.query(Query{ChangeID: changeID, Change: change})
	if !p.until(2*time.Second, func() bool { return p.step.at(p.world) }) {
		p.t.Fatalf("%s: the change did not come to the step", p.title)
	}
	repair := inject(p.world, proposer)
	p.run(p.now + 700*time.Millisecond)
	repair()
	p.run(p.now + 200*time.Millisecond)
	outcome := p.outcomeAt(p.gateways[1], change, 15*time.Second)
	p.checkOutcomes(change, outcome)
	return outcome.Committed
}

// outcomeAt asks a gateway for the outcome of the change.
func (p *stepPlay) outcomeAt(g *gateway, change *Change, limit time.Duration) *Outcome {
	p.t.Helper()
	number := g.query(Query{ChangeID: changeID, Change: change})
	if !p.until(limit, func() bool { return g.node.QueryReply(number) != nil }) {
		p.t.Fatalf("%s: gateway %d does not learn the outcome", p.title, g.index)
	}
	return g.node.QueryReply(number).Outcome
}

// checkOutcomes checks that all gateways know the same outcome and go by the version that follows from it, that the
// change was decided once, and the window.
func (p *stepPlay) checkOutcomes(change *Change, want *Outcome) {
	p.t.Helper()
	for _, g := range p.gateways {
		got := p.outcomeAt(g, change, 5*time.Second)
		if got.Committed != want.Committed || got.Version != want.Version {
			p.t.Errorf("%s: %+v at gateway %d, %+v at another", p.title, got, g.index, want)
		}
	}
	version := uint64(1)
	if want.Committed {
		version = 2
	}
	if !p.until(5*time.Second, func() bool { return p.countVersion(version) == len(p.gateways) }) {
		p.t.Errorf("%s: %d of %d gateways go by version %d",
			p.title, p.countVersion(version), len(p.gateways), version)
	}
	decided := 0
	for _, o := range p.gateways[p.leader].node.state.Outcomes {
		if o.Change.ID == changeID {
			decided++
		}
	}
	if decided != 1 || p.worstWindow > maxWindow {
		p.t.Errorf("%s: decided %d times, window %v", p.title, decided, p.worstWindow)
	}
}

// TestPolicyLeaderKilledAtEachStep kills or stops the leader, or the proposer, at the very event that makes each step
// of a change. The change is decided once, its id gives the same answer from every gateway, all gateways come to go
// by the same version, and the window is kept.
func TestPolicyLeaderKilledAtEachStep(t *testing.T) {
	plays, committed := 0, 0
	for _, step := range changeSteps() {
		for fault, inject := range stepFaults() {
			for seed := range uint64(8) {
				gateways, mode := 4+int(seed%3), Mode(seed/4)
				p := &stepPlay{
					world: newWorld(seed, gateways, mode),
					t:     t,
					title: fmt.Sprintf("%s, %s, %d gateways, %v, seed %d", step.name, fault, gateways, mode, seed),
					step:  step,
					mode:  mode,
				}
				p.maxDelay = 20 * time.Millisecond
				p.loss, p.duplication = 0.1, 0.3
				plays++
				if p.play(inject) {
					committed++
				}
			}
		}
	}
	t.Logf("%d plays, the change committed in %d", plays, committed)
	if committed < plays/2 {
		t.Error("hardly any change was committed")
	}
}

// TestPolicyCommittedOverLossyLinks commits a change over links that lose three messages of ten, within two seconds: a
// gateway that has not voted is notified again.
func TestPolicyCommittedOverLossyLinks(t *testing.T) {
	var worst time.Duration
	for seed := range uint64(40) {
		w := newWorld(seed, 5, Wait)
		w.maxDelay = 20 * time.Millisecond
		w.run(w.now + 5*time.Second)
		w.loss, w.duplication = 0.3, 0.3
		proposedAt := w.now
		w.gateways[4].query(Query{ChangeID: "x", Change: &Change{ID: "x", Base: 1, Hash: Hash{2}, Source: 4}})
		if !w.until(10*time.Second, func() bool { return w.gateways[w.leader].node.state.FindOutcome("x") != nil }) {
			t.Fatalf("seed %d: not decided", seed)
		}
		if o := w.gateways[w.leader].node.state.FindOutcome("x"); !o.Committed {
			t.Errorf("seed %d: aborted: %s", seed, o.Reason)
		}
		worst = max(worst, w.now-proposedAt)
	}
	t.Logf("committed within %v at worst", worst)
	if worst > 2*time.Second {
		t.Errorf("it took %v", worst)
	}
}
