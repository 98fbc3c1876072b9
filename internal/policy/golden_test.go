package policy

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/golden"
	"gapgap/internal/membership"
)

// scheduleHash returns the trace hash of a random schedule.
func scheduleHash(seed uint64) string {
	return runTracedSchedule(seed, 1+int(seed%12), 12*time.Second, newSimulationTrace()).finishTrace()
}

// stepHash returns the trace hash of a change with a fault at one of its steps.
func stepHash(t *testing.T, step changeStep, fault string, seed uint64) string {
	t.Helper()
	gateways, mode := 4+int(seed%3), Mode(seed/4)
	sim := newSimulation(seed, gateways, mode)
	sim.trace = newSimulationTrace()
	sim.maxDelay, sim.loss, sim.duplication = 20*time.Millisecond, 0.1, 0.3
	sim.decideEvery(5 * time.Millisecond)
	sim.run(sim.now + 4*time.Second)
	c := &Change{ID: "x", Base: 1, Hash: Hash{2}, Mode: mode, Source: uint16(gateways - 1)}
	proposer := sim.gateways[gateways-1]
	proposer.query(Query{ChangeID: c.ID, Change: c})
	if !sim.runUntil(3*time.Second, func() bool { return step.isReached(sim) }) {
		t.Fatalf("%s, %s, seed %d: the change did not reach the step", step.name, fault, seed)
	}
	repair := stepFaults()[fault](sim, proposer)
	sim.run(sim.now + 700*time.Millisecond)
	repair()
	sim.run(sim.now + 200*time.Millisecond)
	sim.gateways[1].query(Query{ChangeID: c.ID, Change: c})
	sim.run(sim.now + 6*time.Second)
	return sim.finishTrace()
}

// operationsScenario simulates operator actions on some gateways.
type operationsScenario struct {
	*simulation
	rng  *rand.Rand
	mode Mode
}

// operationsHash returns the trace hash of a run with operator actions: queries, replacing a voter, forgetting a
// gateway and a recovery. In it one process leaves, one changes its incarnation, and one decides without a quorum by
// the version on its disk.
func operationsHash(seed uint64, mode Mode) string {
	gateways := 4 + int(seed%9)
	s := &operationsScenario{
		simulation: newSimulation(seed, gateways, mode),
		rng:        rand.New(rand.NewPCG(seed, 9)),
		mode:       mode,
	}
	s.trace = newSimulationTrace()
	s.maxDelay = time.Duration(10+120*(seed%4)) * time.Millisecond
	s.loss = 0.2 * float64(seed%3)
	s.duplication = 0.1
	s.decideEvery(7 * time.Millisecond)
	last, offline, renamed := s.gateways[gateways-1], s.gateways[gateways-2], s.gateways[gateways-3]
	last.node.Participant().DecideWithoutQuorum(Version{1, Hash{1}})
	s.advance(3 * time.Second)
	s.ask(s.gateways[1], Query{})
	s.ask(s.gateways[1], Query{ReplaceVoter: 3})
	last.node.Participant().Leave()
	last.node.PollNow()
	s.advance(500 * time.Millisecond)
	s.forget(offline)
	s.changeIdentity(renamed)
	s.advance(time.Duration(s.rng.Int64N(int64(time.Second))))
	s.reject()
	s.commitEntry(Entry{Recovery: &Recovery{Author: "o", Lost: []uint16{1, 2}, RecoveredAt: 77}})
	s.advance(7 * time.Second)
	s.ask(s.gateways[1], Query{ChangeID: "bad"})
	return s.finishTrace()
}

func (s *operationsScenario) advance(d time.Duration) { s.run(s.now + d) }

// ask runs a query for a second and adds its reply to the trace.
func (s *operationsScenario) ask(g *gateway, query Query) {
	number, err := g.node.StartQuery(query)
	if err != nil {
		return
	}
	s.advance(time.Second)
	if reply := g.node.QueryReply(number); s.trace.present(reply != nil) {
		s.trace.message(&Message{QueryReply: reply})
	}
	g.node.EndQuery(number)
}

// forget asks to forget a gateway while it is reachable, and again after it went offline and a change waits for it.
func (s *operationsScenario) forget(offline *gateway) {
	query := Query{Forget: uint16(offline.index) + 1}
	s.ask(s.gateways[0], query)
	offline.alive = false
	offline.processEpoch++
	change := &Change{ID: "waits", Base: 1, Hash: Hash{2}, Mode: s.mode, Author: "o", Note: "n"}
	s.gateways[2].query(Query{ChangeID: change.ID, Change: change})
	s.advance(3500 * time.Millisecond)
	s.ask(s.gateways[0], query)
	s.ask(s.gateways[2], Query{ChangeID: change.ID})
}

// changeIdentity changes the identity of a running process.
func (s *operationsScenario) changeIdentity(g *gateway) {
	g.incarnation += 7
	id := membership.ID{Incarnation: g.incarnation, Nonce: 3}
	g.node.SetProcess(Process{Gateway: uint16(g.index), ID: id})
}

// reject proposes a change and makes one gateway reject it.
func (s *operationsScenario) reject() {
	current := s.gateways[0].node.State().Current.Number
	change := &Change{ID: "bad", Base: current, Hash: Hash{3}, Mode: s.mode}
	s.gateways[0].query(Query{ChangeID: change.ID, Change: change})
	node := s.gateways[1].node
	s.runUntil(2*time.Second, func() bool {
		pending, ok := node.Participant().Pending()
		return ok && pending.ID == change.ID
	})
	node.Participant().RejectDocument(Hash{3}, "line 7: no such class")
	node.PollNow()
	s.advance(time.Second)
}

// preparedGateways returns the indices of the gateways that have prepared the pending change, in order.
func preparedGateways(c *Coordinator, s *State) (all []uint16) {
	for gateway, status := range c.statuses {
		if s.Pending != nil && status.request.Prepared == s.Pending.Index {
			all = append(all, gateway)
		}
	}
	slices.Sort(all)
	return all
}

// leaderScenario runs a leader alone, which receives random requests from random processes.
type leaderScenario struct {
	trace       *simulationTrace
	rng         *rand.Rand
	now         time.Duration
	coordinator *Coordinator
	state       *State
	index       uint64 // of the last entry
}

// leaderHash returns the trace hash of a leaderScenario.
func leaderHash(seed uint64, mode Mode) string {
	const abortAfter = 4 * time.Second
	s := &leaderScenario{
		trace: newSimulationTrace(),
		rng:   rand.New(rand.NewPCG(seed, 10)),
		now:   time.Hour,
		state: NewState(),
		index: 1,
	}
	s.state.Apply(s.index, Entry{Propose: &Change{ID: "begin", Hash: Hash{1}, Initial: true, Mode: mode}})
	s.coordinator = NewCoordinator(s.now, abortAfter)
	for round := range 600 {
		s.now += time.Duration(s.rng.IntN(150)) * time.Millisecond
		s.receive(s.request(round))
		s.tick()
		if s.rng.IntN(80) == 0 {
			s.coordinator = NewCoordinator(s.now, abortAfter)
		}
		s.trace.state(s.state)
	}
	return s.trace.Sum()
}

// request returns a random status request. If no change is pending, it sometimes proposes one.
func (s *leaderScenario) request(round int) StatusRequest {
	r := StatusRequest{
		Process: Process{
			Gateway: uint16(s.rng.IntN(5)),
			ID:      membership.ID{Incarnation: uint32(1 + round/200 + s.rng.IntN(2))},
		},
		SentAt:  s.now - time.Duration(s.rng.IntN(200))*time.Millisecond,
		Version: s.state.Current.Number - uint64(s.rng.IntN(2)),
		Leaving: s.rng.IntN(40) == 0,
	}
	if s.state.Pending != nil {
		s.vote(&r)
	} else if s.rng.IntN(10) == 0 {
		s.index++
		s.state.Apply(s.index, Entry{Propose: &Change{
			ID:   fmt.Sprint(round),
			Base: s.state.Current.Number,
			Hash: Hash{byte(round)},
			Mode: Mode(s.rng.IntN(2)),
		}})
	}
	if r.Version == s.state.Current.Number {
		r.SwitchedAt = s.now.Milliseconds()
	}
	return r
}

func (s *leaderScenario) vote(r *StatusRequest) {
	change := s.state.Pending.Index
	switch s.rng.IntN(12) {
	case 0:
		r.Rejected, r.Reason = change, "line 7"
	case 1, 2, 3:
		r.Prepared = change
	case 4, 5, 6, 7:
		r.Locked = change
	}
}

func (s *leaderScenario) receive(r StatusRequest) {
	s.coordinator.ReceiveStatus(s.now, r)
	reply := s.coordinator.Reply(s.now, s.state, r)
	s.trace.message(&Message{StatusReply: &reply})
	s.trace.String(s.coordinator.WaitingFor(s.now, s.state))
	for _, gateway := range preparedGateways(s.coordinator, s.state) {
		s.trace.Uint(uint64(gateway))
	}
}

// tick applies three of four entries that the coordinator proposes, chosen at random.
func (s *leaderScenario) tick() {
	var proposed [][]byte
	for _, e := range s.coordinator.Tick(s.now, s.state, s.now.Milliseconds()) {
		b, err := e.Encode()
		if err != nil {
			panic(err)
		}
		proposed = append(proposed, b)
	}
	slices.SortStableFunc(proposed, func(a, b []byte) int { return cmp.Compare(proposalOrder(a), proposalOrder(b)) })
	for _, b := range proposed {
		s.trace.encodedEntry(b)
		var e Entry
		if err := cbor.Unmarshal(b, &e); err != nil {
			panic(err)
		}
		s.index++
		if s.rng.IntN(4) > 0 {
			s.state.Apply(s.index, e)
		}
	}
}

// TestGoldenSchedules verifies that the messages, proposals and decisions of simulated gateways match the recorded
// traces.
func TestGoldenSchedules(t *testing.T) {
	hashes := golden.LoadHashes(t, "testdata/golden/hashes.txt")
	runs := 0
	check := func(name string, run func() string) {
		t.Helper()
		sum := run()
		if runs++; runs%4 == 0 || hashes.Len() < runs { // repeat each fourth run, and each newly recorded one
			if again := run(); again != sum {
				t.Errorf("%s: two runs differ: %s, then %s", name, sum, again)
				return
			}
		}
		hashes.Check(t, name, sum)
	}
	for seed := range uint64(24) {
		check(fmt.Sprint("schedule-", seed), func() string { return scheduleHash(seed) })
	}
	for i, step := range changeSteps() {
		for _, fault := range slices.Sorted(maps.Keys(stepFaults())) {
			for _, seed := range []uint64{uint64(i) % 4, 4 + uint64(i)%4} {
				name := fmt.Sprintf("step-%d-%s-%d", i, strings.ReplaceAll(fault, " ", "-"), seed)
				check(name, func() string { return stepHash(t, step, fault, seed) })
			}
		}
	}
	for seed := range uint64(6) {
		for _, mode := range []Mode{Wait, Fence} {
			check(fmt.Sprintf("leader-%d-%d", mode, seed), func() string { return leaderHash(seed, mode) })
			check(fmt.Sprintf("operations-%d-%d", mode, seed), func() string { return operationsHash(seed, mode) })
		}
	}
}

// goldenChange returns a change with all fields set.
func goldenChange() Change {
	return Change{Index: 300, ID: "c", Base: 6, Hash: HashOf([]byte("doc")), Bytes: 1 << 20, Mode: Fence,
		Author: "w", Note: "n", ProposedAt: 1_700_000_000_001, Source: 4, Initial: true}
}

func goldenProcess(gateway uint16) Process {
	return Process{Gateway: gateway, ID: membership.ID{Incarnation: 5 + uint32(gateway), Nonce: 1 << 31}}
}

func goldenOutcome() Outcome {
	return Outcome{Change: goldenChange(), Committed: true, Version: 7, Reason: "r", DecidedAt: 1_700_000_000_002,
		Locked: []Process{
			goldenProcess(1),
			goldenProcess(2),
		}, Fenced: []Process{goldenProcess(3)}, SwitchedAt: map[uint16]int64{1: 1_700_000_000_003}}
}

// TestGoldenBytes verifies that the encodings of entries, messages and states match the recorded bytes, and that the
// recorded bytes decode to the same values.
func TestGoldenBytes(t *testing.T) {
	change, outcome := goldenChange(), goldenOutcome()
	join, leave := goldenProcess(1), goldenProcess(2)
	version := Version{Number: 7, Hash: HashOf([]byte("doc"))}
	request := StatusRequest{
		Process:    join,
		SentAt:     time.Hour + 1,
		Version:    7,
		Prepared:   300,
		Rejected:   301,
		Reason:     "r",
		Locked:     302,
		Leaving:    true,
		SwitchedAt: 1_700_000_000_003,
	}
	reply := StatusReply{
		RequestSentAt: time.Hour + 1,
		Process:       join,
		Current:       version,
		MayDecide:     true,
		Pending:       &change,
		Lock:          true,
		Mode:          Fence,
	}
	queryReply := QueryReply{
		Number:       5,
		Current:      version,
		Mode:         Fence,
		Pending:      &change,
		WaitingFor:   "door 3 has not locked",
		Outcome:      &outcome,
		Participants: []Process{join, leave},
		Leader:       2,
		Reason:       "r",
	}
	cases := []struct {
		name  string
		value any
	}{
		{"entry-propose", &Entry{Propose: &change}},
		{"entry-join", &Entry{Join: &join}},
		{"entry-leave", &Entry{Leave: &leave}},
		{
			"entry-take",
			&Entry{Commit: &Commit{Index: 300, Locked: []Process{join}, Fenced: []Process{leave}, DecidedAt: 9}},
		},
		{"entry-drop", &Entry{Abort: &Abort{Index: 300, Reason: "r", DecidedAt: 9}}},
		{
			"entry-report",
			&Entry{SwitchReport: &SwitchReport{Version: 7, SwitchedAt: map[uint16]int64{3: 1_700_000_000_003}}},
		},
		{"entry-recover", &Entry{Recovery: &Recovery{Author: "w", Lost: []uint16{1, 2}, RecoveredAt: 9}}},
		{"state", &State{Current: version, Participants: map[uint16]membership.ID{2: leave.ID}, Pending: &change,
			Outcomes: []Outcome{outcome, {Change: change, Reason: "dropped", DecidedAt: 8}}, Mode: Fence}},
		{"message-1", &Message{StatusRequest: &request}},
		{"message-2", &Message{StatusReply: &reply}},
		{"message-3", &Message{StateChanged: 303}},
		{"message-4", &Message{Query: &Query{Number: 5, ChangeID: "c", Change: &change, Forget: 3, ReplaceVoter: 4}}},
		{"message-5", &Message{QueryReply: &queryReply}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := "testdata/golden/" + c.name + ".cbor"
			b, err := cbor.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			golden.CheckBytes(t, path, b)
			got := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
			if err := cbor.Unmarshal(golden.Read(t, path), got); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, c.value) {
				t.Errorf("decoded %+v, want %+v", got, c.value)
			}
		})
	}
}

// TestGoldenEntriesApplied verifies that a node that restores the recorded state and applies the recorded entries
// reaches the recorded states.
func TestGoldenEntriesApplied(t *testing.T) {
	hashes := golden.LoadHashes(t, "testdata/golden/applied.txt")
	n := NewNode(Config{})
	if err := n.Restore(40, golden.Read(t, "testdata/golden/state.cbor")); err != nil {
		t.Fatal(err)
	}
	trace := newSimulationTrace()
	names := []string{"propose", "join", "leave", "report", "take", "drop", "recover", "join", "report"}
	for i, name := range names {
		n.Apply(41+uint64(i), golden.Read(t, "testdata/golden/entry-"+name+".cbor"))
		trace.state(n.State())
		index, _, err := n.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		trace.Uint(index)
	}
	hashes.Check(t, "state", trace.Sum())
}
