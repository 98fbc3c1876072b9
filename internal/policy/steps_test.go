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
func (sim *simulation) runUntil(limit time.Duration, holds func() bool) bool {
	end := sim.now + limit
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(simulationEvent)
		sim.now = max(sim.now, e.at)
		if e.run(); holds() {
			return true
		}
	}
	return false
}

// isProposed returns whether an entry of some kind is proposed and not yet committed.
func (sim *simulation) isProposed(kind func(Entry) bool) bool {
	return slices.ContainsFunc(sim.uncommitted, func(b *[]byte) bool {
		var e Entry
		return cbor.Unmarshal(*b, &e) == nil && kind(e)
	})
}

// receivedFrom returns whether the leader knows of some and of all participants that a condition on the pending change
// holds.
func (sim *simulation) leaderKnows(what func(StatusRequest, uint64) bool) (some, all bool) {
	n := sim.gateways[sim.leader].node
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
func (sim *simulation) countVersion(n uint64) (count int) {
	for _, g := range sim.gateways {
		if g.alive && g.node.Participant().Version().Number == n {
			count++
		}
	}
	return count
}

// changeStep is a step of a change, and whether it has come to that.
type changeStep struct {
	name      string
	isReached func(sim *simulation) bool
}

// changeSteps are the steps of a change in their order.
func changeSteps() []changeStep {
	prepared := func(h StatusRequest, index uint64) bool { return h.Prepared == index || h.Locked == index }
	locked := func(h StatusRequest, index uint64) bool { return h.Locked == index }
	return []changeStep{
		{"proposed", func(sim *simulation) bool { return sim.isProposed(func(e Entry) bool { return e.Propose != nil }) }},
		{"in the log", func(sim *simulation) bool { return sim.gateways[sim.leader].node.state.Pending != nil }},
		{"the first has prepared", func(sim *simulation) bool { some, _ := sim.leaderKnows(prepared); return some }},
		{"all have prepared", func(sim *simulation) bool { _, all := sim.leaderKnows(prepared); return all }},
		{"the first lock", func(sim *simulation) bool { some, _ := sim.leaderKnows(locked); return some }},
		{"all locked, the commit proposed", func(sim *simulation) bool {
			return sim.isProposed(func(e Entry) bool { return e.Commit != nil })
		}},
		{"committed, and nobody notified", func(sim *simulation) bool {
			return sim.gateways[sim.leader].node.state.Current.Number == 2 && sim.countVersion(2) == 0
		}},
		{"the first gateway has switched", func(sim *simulation) bool { return sim.countVersion(2) > 0 }},
	}
}

// stepFaults go wrong at a step; what each returns ends it.
func stepFaults() map[string]func(sim *simulation, proposer *gateway) (repair func()) {
	return map[string]func(sim *simulation, proposer *gateway) (repair func()){
		"leader killed": func(sim *simulation, _ *gateway) func() {
			g := sim.gateways[sim.leader]
			g.alive, g.processEpoch = false, g.processEpoch+1
			sim.elect((g.index + 1) % 3)
			return func() { g.start(3) }
		},
		"leader stopped": func(sim *simulation, _ *gateway) func() {
			g := sim.gateways[sim.leader]
			g.stopped = true
			sim.elect((g.index + 1) % 3)
			return g.resume
		},
		"proposer killed": func(sim *simulation, g *gateway) func() {
			g.alive, g.processEpoch = false, g.processEpoch+1
			return func() { g.start(3) }
		},
	}
}

// stepPlay is a change with a fault at one of its steps.
type stepScenario struct {
	*simulation
	t     *testing.T
	title string
	step  changeStep
	mode  Mode
}

// changeID is the id of the change that a stepPlay is about.
const changeID = "x"

// play proposes the change, injects the fault at the step and repairs it. It returns whether the change was committed.
func (s *stepScenario) runWithFault(inject func(sim *simulation, proposer *gateway) (repair func())) bool {
	s.t.Helper()
	s.decideEvery(5 * time.Millisecond)
	if !s.runUntil(20*time.Second, func() bool { return s.countVersion(1) == len(s.gateways) }) {
		s.t.Fatalf("%s: not all gateways have switched to the first version", s.title)
	}
	s.run(s.now + 2*time.Second)
	proposer := s.gateways[len(s.gateways)-1]
	change := &Change{ID: changeID, Base: 1, Hash: Hash{2}, Mode: s.mode, Source: uint16(proposer.index)}
	proposer.query(Query{ChangeID: changeID, Change: change})
	if !s.runUntil(2*time.Second, func() bool { return s.step.isReached(s.simulation) }) {
		s.t.Fatalf("%s: the change did not come to the step", s.title)
	}
	repair := inject(s.simulation, proposer)
	s.run(s.now + 700*time.Millisecond)
	repair()
	s.run(s.now + 200*time.Millisecond)
	outcome := s.outcomeAt(s.gateways[1], change, 15*time.Second)
	s.checkOutcomes(change, outcome)
	return outcome.Committed
}

// outcomeAt asks a gateway for the outcome of the change.
func (s *stepScenario) outcomeAt(g *gateway, change *Change, limit time.Duration) *Outcome {
	s.t.Helper()
	number := g.query(Query{ChangeID: changeID, Change: change})
	if !s.runUntil(limit, func() bool { return g.node.QueryReply(number) != nil }) {
		s.t.Fatalf("%s: gateway %d does not learn the outcome", s.title, g.index)
	}
	return g.node.QueryReply(number).Outcome
}

// checkOutcomes checks that all gateways know the same outcome and go by the version that follows from it, that the
// change was decided once, and the window.
func (s *stepScenario) checkOutcomes(change *Change, want *Outcome) {
	s.t.Helper()
	for _, g := range s.gateways {
		got := s.outcomeAt(g, change, 5*time.Second)
		if got.Committed != want.Committed || got.Version != want.Version {
			s.t.Errorf("%s: %+v at gateway %d, %+v at another", s.title, got, g.index, want)
		}
	}
	version := uint64(1)
	if want.Committed {
		version = 2
	}
	if !s.runUntil(5*time.Second, func() bool { return s.countVersion(version) == len(s.gateways) }) {
		s.t.Errorf("%s: %d of %d gateways go by version %d",
			s.title, s.countVersion(version), len(s.gateways), version)
	}
	decided := 0
	for _, o := range s.gateways[s.leader].node.state.Outcomes {
		if o.Change.ID == changeID {
			decided++
		}
	}
	if decided != 1 || s.worstWindow > maxWindow {
		s.t.Errorf("%s: decided %d times, window %v", s.title, decided, s.worstWindow)
	}
}

// TestPolicyLeaderKilledAtEachStep kills or stops the leader, or the proposer, at the very event that makes each step
// of a change. The change is decided once, its id gives the same answer from every gateway, all gateways come to go
// by the same version, and the window is kept.
func TestPolicyLeaderKilledAtEachStep(t *testing.T) {
	runs, committed := 0, 0
	for _, step := range changeSteps() {
		for fault, inject := range stepFaults() {
			for seed := range uint64(8) {
				gateways, mode := 4+int(seed%3), Mode(seed/4)
				s := &stepScenario{
					simulation: newSimulation(seed, gateways, mode),
					t:          t,
					title:      fmt.Sprintf("%s, %s, %d gateways, %v, seed %d", step.name, fault, gateways, mode, seed),
					step:       step,
					mode:       mode,
				}
				s.maxDelay = 20 * time.Millisecond
				s.loss, s.duplication = 0.1, 0.3
				runs++
				if s.runWithFault(inject) {
					committed++
				}
			}
		}
	}
	t.Logf("%d plays, the change committed in %d", runs, committed)
	if committed < runs/2 {
		t.Error("hardly any change was committed")
	}
}

// TestPolicyCommittedOverLossyLinks commits a change over links that lose three messages of ten, within two seconds: a
// gateway that has not voted is notified again.
func TestPolicyCommittedOverLossyLinks(t *testing.T) {
	var worst time.Duration
	for seed := range uint64(40) {
		sim := newSimulation(seed, 5, Wait)
		sim.maxDelay = 20 * time.Millisecond
		sim.run(sim.now + 5*time.Second)
		sim.loss, sim.duplication = 0.3, 0.3
		proposedAt := sim.now
		sim.gateways[4].query(Query{ChangeID: "x", Change: &Change{ID: "x", Base: 1, Hash: Hash{2}, Source: 4}})
		if !sim.runUntil(10*time.Second, func() bool { return sim.gateways[sim.leader].node.state.FindOutcome("x") != nil }) {
			t.Fatalf("seed %d: not decided", seed)
		}
		if o := sim.gateways[sim.leader].node.state.FindOutcome("x"); !o.Committed {
			t.Errorf("seed %d: aborted: %s", seed, o.Reason)
		}
		worst = max(worst, sim.now-proposedAt)
	}
	t.Logf("committed within %v at worst", worst)
	if worst > 2*time.Second {
		t.Errorf("it took %v", worst)
	}
}
