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

// scheduleHash is the trace of a random schedule.
func scheduleHash(seed uint64) string {
	return playWith(seed, 1+int(seed%12), 12*time.Second, newWorldTrace()).end()
}

// stepHash is the trace of a change with a fault at one of its steps.
func stepHash(t *testing.T, step changeStep, fault string, seed uint64) string {
	t.Helper()
	gateways, mode := 4+int(seed%3), Mode(seed/4)
	w := newWorld(seed, gateways, mode)
	w.trace = newWorldTrace()
	w.maxDelay, w.loss, w.duplication = 20*time.Millisecond, 0.1, 0.3
	w.decideEvery(5 * time.Millisecond)
	w.run(w.now + 4*time.Second)
	c := &Change{ID: "x", Base: 1, Hash: Hash{2}, Mode: mode, Source: uint16(gateways - 1)}
	asker := w.gateways[gateways-1]
	asker.query(Query{ChangeID: c.ID, Change: c})
	if !w.until(3*time.Second, func() bool { return step.at(w) }) {
		t.Fatalf("%s, %s, seed %d: the change did not come to the step", step.name, fault, seed)
	}
	repair := stepFaults()[fault](w, asker)
	w.run(w.now + 700*time.Millisecond)
	repair()
	w.run(w.now + 200*time.Millisecond)
	w.gateways[1].query(Query{ChangeID: c.ID, Change: c})
	w.run(w.now + 6*time.Second)
	return w.end()
}

// operationsPlay is what operators do to some gateways.
type operationsPlay struct {
	*world
	rng  *rand.Rand
	mode Mode
}

// operationsHash is the trace of what operators do: queries, a voter replaced, a gateway forgotten, a recovery, a
// process that leaves, one with another incarnation, and one that goes by what its disk has.
func operationsHash(seed uint64, mode Mode) string {
	gateways := 4 + int(seed%9)
	p := &operationsPlay{world: newWorld(seed, gateways, mode), rng: rand.New(rand.NewPCG(seed, 9)), mode: mode}
	p.trace = newWorldTrace()
	p.maxDelay = time.Duration(10+120*(seed%4)) * time.Millisecond
	p.loss = 0.2 * float64(seed%3)
	p.duplication = 0.1
	p.decideEvery(7 * time.Millisecond)
	last, off, renamed := p.gateways[gateways-1], p.gateways[gateways-2], p.gateways[gateways-3]
	last.node.Participant().DecideWithoutQuorum(Version{1, Hash{1}})
	p.advance(3 * time.Second)
	p.ask(p.gateways[1], Query{})
	p.ask(p.gateways[1], Query{ReplaceVoter: 3})
	last.node.Participant().Leave()
	last.node.PollNow()
	p.advance(500 * time.Millisecond)
	p.forget(off)
	p.rename(renamed)
	p.advance(time.Duration(p.rng.Int64N(int64(time.Second))))
	p.reject()
	p.commitEntry(Entry{Recovery: &Recovery{Author: "o", Lost: []uint16{1, 2}, RecoveredAt: 77}})
	p.advance(7 * time.Second)
	p.ask(p.gateways[1], Query{ChangeID: "bad"})
	return p.end()
}

func (p *operationsPlay) advance(d time.Duration) { p.run(p.now + d) }

// ask sends a query for a second and adds the reply.
func (p *operationsPlay) ask(g *gateway, query Query) {
	number, err := g.node.StartQuery(query)
	if err != nil {
		return
	}
	p.advance(time.Second)
	if reply := g.node.QueryReply(number); p.trace.present(reply != nil) {
		p.trace.message(&Message{QueryReply: reply})
	}
	g.node.EndQuery(number)
}

// forget asks to forget a gateway while it is there, and once more when it is off and a change waits for it.
func (p *operationsPlay) forget(off *gateway) {
	query := Query{Forget: uint16(off.index) + 1}
	p.ask(p.gateways[0], query)
	off.alive = false
	off.life++
	waits := &Change{ID: "waits", Base: 1, Hash: Hash{2}, Mode: p.mode, Author: "o", Note: "n"}
	p.gateways[2].query(Query{ChangeID: waits.ID, Change: waits})
	p.advance(3500 * time.Millisecond)
	p.ask(p.gateways[0], query)
	p.ask(p.gateways[2], Query{ChangeID: waits.ID})
}

// rename gives a process another identity.
func (p *operationsPlay) rename(g *gateway) {
	g.incarnation += 7
	id := membership.ID{Incarnation: g.incarnation, Nonce: 3}
	g.node.SetProcess(Process{Gateway: uint16(g.index), ID: id})
}

// reject proposes a change that one gateway rejects.
func (p *operationsPlay) reject() {
	current := p.gateways[0].node.State().Current.Number
	bad := &Change{ID: "bad", Base: current, Hash: Hash{3}, Mode: p.mode}
	p.gateways[0].query(Query{ChangeID: bad.ID, Change: bad})
	node := p.gateways[1].node
	p.until(2*time.Second, func() bool {
		pending, ok := node.Participant().Pending()
		return ok && pending.ID == bad.ID
	})
	node.Participant().RejectDocument(Hash{3}, "line 7: no such class")
	node.PollNow()
	p.advance(time.Second)
}

// preparedGateways are the indices of the gateways that have prepared the pending change.
func preparedGateways(c *Coordinator, s *State) (all []uint16) {
	for gateway, status := range c.statuses {
		if s.Pending != nil && status.request.Prepared == s.Pending.Index {
			all = append(all, gateway)
		}
	}
	slices.Sort(all)
	return all
}

// leaderPlay is a leader alone, which receives random requests of random processes.
type leaderPlay struct {
	trace       *worldTrace
	rng         *rand.Rand
	now         time.Duration
	coordinator *Coordinator
	state       *State
	index       uint64 // of the last entry
}

// leaderHash is the trace of a leader alone.
func leaderHash(seed uint64, mode Mode) string {
	const abortAfter = 4 * time.Second
	p := &leaderPlay{
		trace: newWorldTrace(),
		rng:   rand.New(rand.NewPCG(seed, 10)),
		now:   time.Hour,
		state: NewState(),
		index: 1,
	}
	p.state.Apply(p.index, Entry{Propose: &Change{ID: "begin", Hash: Hash{1}, Initial: true, Mode: mode}})
	p.coordinator = NewCoordinator(p.now, abortAfter)
	for round := range 600 {
		p.now += time.Duration(p.rng.IntN(150)) * time.Millisecond
		p.receive(p.request(round))
		p.tick()
		if p.rng.IntN(80) == 0 {
			p.coordinator = NewCoordinator(p.now, abortAfter)
		}
		p.trace.state(p.state)
	}
	return p.trace.Sum()
}

// request is a random request. Where no change is pending, one is proposed now and then.
func (p *leaderPlay) request(round int) StatusRequest {
	r := StatusRequest{
		Process: Process{
			Gateway: uint16(p.rng.IntN(5)),
			ID:      membership.ID{Incarnation: uint32(1 + round/200 + p.rng.IntN(2))},
		},
		SentAt:  p.now - time.Duration(p.rng.IntN(200))*time.Millisecond,
		Version: p.state.Current.Number - uint64(p.rng.IntN(2)),
		Leaving: p.rng.IntN(40) == 0,
	}
	if p.state.Pending != nil {
		p.vote(&r)
	} else if p.rng.IntN(10) == 0 {
		p.index++
		p.state.Apply(p.index, Entry{Propose: &Change{
			ID:   fmt.Sprint(round),
			Base: p.state.Current.Number,
			Hash: Hash{byte(round)},
			Mode: Mode(p.rng.IntN(2)),
		}})
	}
	if r.Version == p.state.Current.Number {
		r.SwitchedAt = p.now.Milliseconds()
	}
	return r
}

func (p *leaderPlay) vote(r *StatusRequest) {
	change := p.state.Pending.Index
	switch p.rng.IntN(12) {
	case 0:
		r.Rejected, r.Reason = change, "line 7"
	case 1, 2, 3:
		r.Prepared = change
	case 4, 5, 6, 7:
		r.Locked = change
	}
}

func (p *leaderPlay) receive(r StatusRequest) {
	p.coordinator.ReceiveStatus(p.now, r)
	reply := p.coordinator.Reply(p.now, p.state, r)
	p.trace.message(&Message{StatusReply: &reply})
	p.trace.String(p.coordinator.WaitingFor(p.now, p.state))
	for _, gateway := range preparedGateways(p.coordinator, p.state) {
		p.trace.Uint(uint64(gateway))
	}
}

// tick applies three of four entries that the coordinator proposes.
func (p *leaderPlay) tick() {
	var proposed [][]byte
	for _, e := range p.coordinator.Tick(p.now, p.state, p.now.Milliseconds()) {
		b, err := e.Encode()
		if err != nil {
			panic(err)
		}
		proposed = append(proposed, b)
	}
	slices.SortStableFunc(proposed, func(a, b []byte) int { return cmp.Compare(proposalOrder(a), proposalOrder(b)) })
	for _, b := range proposed {
		p.trace.encoded(b)
		var e Entry
		if err := cbor.Unmarshal(b, &e); err != nil {
			panic(err)
		}
		p.index++
		if p.rng.IntN(4) > 0 {
			p.state.Apply(p.index, e)
		}
	}
}

// TestGoldenSchedules compares what gateways send, propose and decide by with what is recorded.
func TestGoldenSchedules(t *testing.T) {
	hashes := golden.LoadHashes(t, "testdata/golden/hashes.txt")
	plays := 0
	check := func(name string, play func() string) {
		t.Helper()
		sum := play()
		if plays++; plays%4 == 0 || hashes.Len() < plays { // one in four, and each that is recorded, is played twice
			if again := play(); again != sum {
				t.Errorf("%s: %s, then %s", name, sum, again)
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

// goldenChange sets all fields of a change.
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

// TestGoldenBytes compares the bytes of entries, messages and states with those recorded, and reads them back.
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
				t.Errorf("read back %+v, want %+v", got, c.value)
			}
		})
	}
}

// TestGoldenEntriesApplied compares what a node makes of recorded entries and a recorded state.
func TestGoldenEntriesApplied(t *testing.T) {
	hashes := golden.LoadHashes(t, "testdata/golden/applied.txt")
	n := NewNode(Config{})
	if err := n.Restore(40, golden.Read(t, "testdata/golden/state.cbor")); err != nil {
		t.Fatal(err)
	}
	trace := newWorldTrace()
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
