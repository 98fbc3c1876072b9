package policy

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// runUntil runs one event after another until a condition holds. It returns false if that takes longer than limit.
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

// isProposed reports whether an entry of some kind is proposed and not yet committed.
func (sim *simulation) isProposed(kind func(Entry) bool) bool {
	return slices.ContainsFunc(sim.uncommitted, func(b *[]byte) bool {
		var e Entry
		return cbor.Unmarshal(*b, &e) == nil && kind(e)
	})
}

// leaderKnows reports whether the leader knows of at least one participant, and of all participants, that they meet a
// condition on the pending change.
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

// countVersion counts the gateways that use a version.
func (sim *simulation) countVersion(n uint64) (count int) {
	for _, g := range sim.gateways {
		if g.alive && g.node.Participant().Version().Number == n {
			count++
		}
	}
	return count
}

// changeStep is a step of a change, with a check whether the change has reached it.
type changeStep struct {
	name      string
	isReached func(sim *simulation) bool
}

// changeSteps returns the steps of a change in order.
func changeSteps() []changeStep {
	prepared := func(h StatusRequest, index uint64) bool { return h.Prepared == index || h.Locked == index }
	locked := func(h StatusRequest, index uint64) bool { return h.Locked == index }
	return []changeStep{
		{"proposed", func(sim *simulation) bool {
			return sim.isProposed(func(e Entry) bool { return e.Propose != nil })
		}},
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

// stepFaults returns the faults that can be injected at a step, by name. Each returns a function that repairs it.
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

// stepScenario runs a change and injects a fault at one of its steps.
type stepScenario struct {
	*simulation
	t     *testing.T
	title string
	step  changeStep
	mode  Mode
}

// changeID is the ID of the change in a stepScenario.
const changeID = "x"

// runWithFault proposes the change, injects the fault at the step and repairs it. It reports whether the change was
// committed.
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
		s.t.Fatalf("%s: the change did not reach the step", s.title)
	}
	repair := inject(s.simulation, proposer)
	s.run(s.now + 700*time.Millisecond)
	repair()
	s.run(s.now + 200*time.Millisecond)
	outcome := s.outcomeAt(s.gateways[1], change, 15*time.Second)
	s.checkOutcomes(change, outcome)
	return outcome.Committed
}

// outcomeAt queries a gateway for the outcome of the change.
func (s *stepScenario) outcomeAt(g *gateway, change *Change, limit time.Duration) *Outcome {
	s.t.Helper()
	number := g.query(Query{ChangeID: changeID, Change: change})
	if !s.runUntil(limit, func() bool { return g.node.QueryReply(number) != nil }) {
		s.t.Fatalf("%s: gateway %d did not learn the outcome", s.title, g.index)
	}
	return g.node.QueryReply(number).Outcome
}

// checkOutcomes checks that all gateways know the same outcome and use the resulting version, that the change was
// decided once, and that the window is at most maxWindow.
func (s *stepScenario) checkOutcomes(change *Change, want *Outcome) {
	s.t.Helper()
	for _, g := range s.gateways {
		got := s.outcomeAt(g, change, 5*time.Second)
		if got.Committed != want.Committed || got.Version != want.Version {
			s.t.Errorf("%s: outcome %+v at gateway %d, want %+v", s.title, got, g.index, want)
		}
	}
	version := uint64(1)
	if want.Committed {
		version = 2
	}
	if !s.runUntil(5*time.Second, func() bool { return s.countVersion(version) == len(s.gateways) }) {
		s.t.Errorf("%s: %d of %d gateways use version %d",
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

// TestPolicyLeaderKilledAtEachStep verifies that a change is decided exactly once if the leader is killed or stopped,
// or the proposer is killed, right after the event that completes any step of it. Every gateway must report the same
// outcome and switch to the same version, and the window must be kept.
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
	t.Logf("%d runs, the change committed in %d", runs, committed)
	if committed < runs/2 {
		t.Error("the change was committed in less than half of the runs")
	}
}

// TestPolicyCommittedOverLossyLinks verifies that a change is committed within two seconds over links that lose 30 % of
// the messages. It guards against a lost notification that is not repeated: the gateway would vote only at its next
// regular poll.
func TestPolicyCommittedOverLossyLinks(t *testing.T) {
	var worst time.Duration
	for seed := range uint64(40) {
		sim := newSimulation(seed, 5, Wait)
		sim.maxDelay = 20 * time.Millisecond
		sim.run(sim.now + 5*time.Second)
		sim.loss, sim.duplication = 0.3, 0.3
		proposedAt := sim.now
		sim.gateways[4].query(Query{ChangeID: "x", Change: &Change{ID: "x", Base: 1, Hash: Hash{2}, Source: 4}})
		if !sim.runUntil(10*time.Second, func() bool {
			return sim.gateways[sim.leader].node.state.FindOutcome("x") != nil
		}) {
			t.Fatalf("seed %d: not decided", seed)
		}
		if o := sim.gateways[sim.leader].node.state.FindOutcome("x"); !o.Committed {
			t.Errorf("seed %d: aborted: %s", seed, o.Reason)
		}
		worst = max(worst, sim.now-proposedAt)
	}
	t.Logf("committed within %v at worst", worst)
	if worst > 2*time.Second {
		t.Errorf("committed after %v at worst, want at most 2s", worst)
	}
}
