package policy

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/golden"
	"gapgap/internal/membership"
)

// worldTrace is the hash of all that the nodes of a world send, propose and decide by.
type worldTrace struct{ *golden.Trace }

// wall is the wall clock of a world whose trace is recorded, in Unix milliseconds; 0 in others.
func (w *world) wall() int64 {
	if w.trace == nil {
		return 0
	}
	return w.now.Milliseconds()
}

// record adds what a node's call has come to. Requests and joins come in the order of a map: they are put into
// one here, so that a play does not hang on it. Then what the call has proposed is handed on.
func (g *gateway) record(outs []Outgoing) []Outgoing {
	trace := g.world.trace
	requests := slices.IndexFunc(outs, func(o Outgoing) bool { return o.Message.Query != nil })
	if requests >= 0 {
		slices.SortStableFunc(outs[requests:], func(a, b Outgoing) int {
			return cmp.Or(cmp.Compare(a.Message.Query.Number, b.Message.Query.Number), cmp.Compare(a.To, b.To))
		})
	}
	trace.Int(int64(g.index))
	trace.Duration(g.world.now)
	trace.Int(int64(len(outs)))
	for _, o := range outs {
		trace.Int(int64(o.To))
		trace.message(&o.Message)
	}
	proposed := g.proposed
	g.proposed = nil
	slices.SortStableFunc(proposed, func(a, b []byte) int {
		return cmp.Compare(proposalOrder(a), proposalOrder(b))
	})
	trace.Int(int64(len(proposed)))
	for _, b := range proposed {
		trace.encoded(b)
		g.propose(b)
	}
	trace.participant(g.node.Participant())
	return outs
}

// proposalOrder is the place of an entry among those that one call proposes: joins and leaves by rank, then the others.
func proposalOrder(b []byte) int {
	var e Entry
	if err := cbor.Unmarshal(b, &e); err != nil {
		panic(err)
	}
	switch {
	case e.Join != nil:
		return int(e.Join.Gateway)
	case e.Leave != nil:
		return int(e.Leave.Gateway)
	}
	return math.MaxInt
}

func (t worldTrace) ref(r Process) {
	t.Uint(uint64(r.Gateway))
	t.Uint(uint64(r.ID.Incarnation))
	t.Uint(uint64(r.ID.Nonce))
}

func (t worldTrace) refs(all []Process) {
	t.Int(int64(len(all)))
	for _, r := range all {
		t.ref(r)
	}
}

func (t worldTrace) version(v Version) {
	t.Uint(v.Number)
	t.String(string(v.Hash[:]))
}

// present adds whether a part is there.
func (t worldTrace) present(there bool) bool {
	t.Bool(there)
	return there
}

func (t worldTrace) change(c *Change) {
	if !t.present(c != nil) {
		return
	}
	t.Uint(c.Index)
	t.String(c.ID)
	t.Uint(c.Base)
	t.String(string(c.Hash[:]))
	t.Int(c.Bytes)
	t.Uint(uint64(c.Mode))
	t.String(c.Author)
	t.String(c.Note)
	t.Int(c.ProposedAt)
	t.Uint(uint64(c.Source))
	t.Bool(c.Initial)
}

func (t worldTrace) times(all map[uint16]int64) {
	t.Int(int64(len(all)))
	for _, rank := range slices.Sorted(maps.Keys(all)) {
		t.Uint(uint64(rank))
		t.Int(all[rank])
	}
}

func (t worldTrace) outcome(o *Outcome) {
	if !t.present(o != nil) {
		return
	}
	t.change(&o.Change)
	t.Bool(o.Committed)
	t.Uint(o.Version)
	t.String(o.Reason)
	t.Int(o.DecidedAt)
	t.refs(o.Locked)
	t.refs(o.Fenced)
	t.times(o.SwitchedAt)
}

func (t worldTrace) message(m *Message) {
	if h := m.StatusRequest; t.present(h != nil) {
		t.ref(h.Process)
		t.Duration(h.SentAt)
		t.Uint(h.Version)
		t.Uint(h.Prepared)
		t.Uint(h.Rejected)
		t.String(h.Reason)
		t.Uint(h.Locked)
		t.Bool(h.Leaving)
		t.Int(h.SwitchedAt)
	}
	if w := m.StatusReply; t.present(w != nil) {
		t.Duration(w.RequestSentAt)
		t.ref(w.Process)
		t.version(w.Current)
		t.Bool(w.MayDecide)
		t.change(w.Pending)
		t.Bool(w.Lock)
		t.Uint(uint64(w.Mode))
	}
	t.Uint(m.StateChanged)
	if s := m.Query; t.present(s != nil) {
		t.Uint(s.Number)
		t.String(s.ChangeID)
		t.change(s.Change)
		t.Uint(uint64(s.Forget))
		t.Uint(uint64(s.ReplaceVoter))
	}
	if s := m.QueryReply; t.present(s != nil) {
		t.Uint(s.Number)
		t.version(s.Current)
		t.Uint(uint64(s.Mode))
		t.change(s.Pending)
		t.String(s.WaitingFor)
		t.outcome(s.Outcome)
		t.refs(s.Participants)
		t.Uint(uint64(s.Leader))
		t.String(s.Reason)
	}
}

// encoded adds an entry of the log.
func (t worldTrace) encoded(b []byte) {
	var e Entry
	if err := cbor.Unmarshal(b, &e); err != nil {
		panic(err)
	}
	t.change(e.Propose)
	if t.present(e.Join != nil) {
		t.ref(*e.Join)
	}
	if t.present(e.Leave != nil) {
		t.ref(*e.Leave)
	}
	if t.present(e.Commit != nil) {
		t.Uint(e.Commit.Index)
		t.refs(e.Commit.Locked)
		t.refs(e.Commit.Fenced)
		t.Int(e.Commit.DecidedAt)
	}
	if t.present(e.Abort != nil) {
		t.Uint(e.Abort.Index)
		t.String(e.Abort.Reason)
		t.Int(e.Abort.DecidedAt)
	}
	if t.present(e.SwitchReport != nil) {
		t.Uint(e.SwitchReport.Version)
		t.times(e.SwitchReport.SwitchedAt)
	}
	if t.present(e.Recovery != nil) {
		t.String(e.Recovery.Author)
		t.Int(int64(len(e.Recovery.Lost)))
		for _, rank := range e.Recovery.Lost {
			t.Uint(uint64(rank))
		}
		t.Int(e.Recovery.RecoveredAt)
	}
}

func (t worldTrace) state(s *State) {
	t.version(s.Current)
	t.refs(s.Processes())
	t.change(s.Pending)
	t.Int(int64(len(s.Outcomes)))
	for i := range s.Outcomes {
		t.outcome(&s.Outcomes[i])
	}
	t.Uint(uint64(s.Mode))
}

// participant adds what a gateway may decide by, and until when.
func (t worldTrace) participant(g *Participant) {
	t.version(g.Version())
	t.Duration(g.DecidesUntil())
	t.Bool(g.IsLocked())
	pending, ok := g.Pending()
	t.Bool(ok)
	t.change(&pending)
	hash, from, wants := g.MissingDocument()
	t.Bool(wants)
	t.String(string(hash[:]))
	t.Uint(uint64(from))
}

// end adds all states as they stand in the end.
func (w *world) end() string {
	for _, g := range w.gateways {
		w.trace.state(g.node.State())
		w.trace.participant(g.node.Participant())
		w.trace.Bool(g.node.IsLeaveConfirmed())
	}
	w.trace.Duration(w.worstWindow)
	return w.trace.Sum()
}

func newWorldTrace() *worldTrace { return &worldTrace{golden.NewTrace()} }

// scheduleHash is the trace of a random schedule.
func scheduleHash(seed uint64) string {
	return playWith(seed, 1+int(seed%12), 12*time.Second, newWorldTrace()).end()
}

// stepHash is the trace of a change with a trouble at one of its steps.
func stepHash(t *testing.T, step changeStep, trouble string, seed uint64) string {
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
		t.Fatalf("%s, %s, seed %d: the change did not come to the step", step.name, trouble, seed)
	}
	again := stepFaults()[trouble](w, asker)
	w.run(w.now + 700*time.Millisecond)
	again()
	w.run(w.now + 200*time.Millisecond)
	w.gateways[1].query(Query{ChangeID: c.ID, Change: c})
	w.run(w.now + 6*time.Second)
	return w.end()
}

// operationsHash is the trace of what operators do: questions, a voter replaced, a gateway forgotten, a recovery, a
// process that leaves, one with another incarnation, and one that goes by what its disk has.
func operationsHash(seed uint64, mode Mode) string {
	rng := rand.New(rand.NewPCG(seed, 9))
	gateways := 4 + int(seed%9)
	w := newWorld(seed, gateways, mode)
	w.trace = newWorldTrace()
	w.maxDelay, w.loss, w.duplication = time.Duration(10+120*(seed%4))*time.Millisecond, 0.2*float64(seed%3), 0.1
	w.decideEvery(7 * time.Millisecond)
	w.gateways[gateways-1].node.Participant().DecideWithoutQuorum(Version{1, Hash{1}})
	w.run(w.now + 3*time.Second)
	ask := func(g *gateway, say Query) {
		if no, err := g.node.StartQuery(say); err == nil {
			w.run(w.now + time.Second)
			if got := g.node.QueryReply(no); w.trace.present(got != nil) {
				w.trace.message(&Message{QueryReply: got})
			}
			g.node.EndQuery(no)
		}
	}
	ask(w.gateways[1], Query{})
	ask(w.gateways[1], Query{ReplaceVoter: 3})
	leaver, off, renamed := w.gateways[gateways-1], w.gateways[gateways-2], w.gateways[gateways-3]
	leaver.node.Participant().Leave()
	leaver.node.PollNow()
	w.run(w.now + 500*time.Millisecond)
	ask(w.gateways[0], Query{Forget: uint16(off.index) + 1}) // it is there
	off.alive, off.life = false, off.life+1
	waits := &Change{ID: "waits", Base: 1, Hash: Hash{2}, Mode: mode, Author: "o", Note: "n"}
	w.gateways[2].query(Query{ChangeID: waits.ID, Change: waits})
	w.run(w.now + 3500*time.Millisecond)
	ask(w.gateways[0], Query{Forget: uint16(off.index) + 1})
	ask(w.gateways[2], Query{ChangeID: "waits"})
	renamed.incarnation += 7
	renamedID := membership.ID{Incarnation: renamed.incarnation, Nonce: 3}
	renamed.node.SetProcess(Process{Gateway: uint16(renamed.index), ID: renamedID})
	w.run(w.now + time.Duration(rng.Int64N(int64(time.Second))))
	w.gateways[0].query(Query{
		ChangeID: "bad",
		Change:   &Change{ID: "bad", Base: w.gateways[0].node.State().Current.Number, Hash: Hash{3}, Mode: mode},
	})
	w.until(2*time.Second, func() bool {
		c, ok := w.gateways[1].node.Participant().Pending()
		return ok && c.ID == "bad"
	})
	w.gateways[1].node.Participant().RejectDocument(Hash{3}, "line 7: no such class")
	w.gateways[1].node.PollNow()
	w.run(w.now + time.Second)
	w.commitEntry(Entry{Recovery: &Recovery{Author: "o", Lost: []uint16{1, 2}, RecoveredAt: 77}})
	w.run(w.now + 7*time.Second)
	ask(w.gateways[1], Query{ChangeID: "bad"})
	return w.end()
}

// preparedGateways are the indices of the gateways that have prepared the pending change.
func preparedGateways(c *Coordinator, s *State) (all []uint16) {
	for gateway, known := range c.participants {
		if s.Pending != nil && known.status.Prepared == s.Pending.Index {
			all = append(all, gateway)
		}
	}
	slices.Sort(all)
	return all
}

// leaderHash is the trace of a leader alone, which hears random words of random processes.
func leaderHash(seed uint64, mode Mode) string {
	rng := rand.New(rand.NewPCG(seed, 10))
	trace, now, state, index := newWorldTrace(), time.Hour, NewState(), uint64(1)
	state.Apply(index, Entry{Propose: &Change{ID: "begin", Hash: Hash{1}, Initial: true, Mode: mode}})
	chair := NewCoordinator(now, 4*time.Second)
	for round := range 600 {
		now += time.Duration(rng.IntN(150)) * time.Millisecond
		h := StatusRequest{
			Process: Process{
				Gateway: uint16(rng.IntN(5)),
				ID:      membership.ID{Incarnation: uint32(1 + round/200 + rng.IntN(2))},
			},
			SentAt:  now - time.Duration(rng.IntN(200))*time.Millisecond,
			Version: state.Current.Number - uint64(rng.IntN(2)),
			Leaving: rng.IntN(40) == 0,
		}
		if state.Pending != nil {
			switch rng.IntN(12) {
			case 0:
				h.Rejected, h.Reason = state.Pending.Index, "line 7"
			case 1, 2, 3:
				h.Prepared = state.Pending.Index
			case 4, 5, 6, 7:
				h.Locked = state.Pending.Index
			}
		} else if rng.IntN(10) == 0 {
			index++
			state.Apply(index, Entry{
				Propose: &Change{
					ID:   fmt.Sprint(round),
					Base: state.Current.Number,
					Hash: Hash{byte(round)},
					Mode: Mode(rng.IntN(2)),
				},
			})
		}
		if h.Version == state.Current.Number {
			h.SwitchedAt = now.Milliseconds()
		}
		chair.ReceiveStatus(now, h)
		word := chair.Reply(now, state, h)
		trace.message(&Message{StatusReply: &word})
		trace.String(chair.WaitingFor(now, state))
		for _, rank := range preparedGateways(chair, state) {
			trace.Uint(uint64(rank))
		}
		var entries [][]byte
		for _, e := range chair.Tick(now, state, now.Milliseconds()) {
			b, err := e.Encode()
			if err != nil {
				panic(err)
			}
			entries = append(entries, b)
		}
		slices.SortStableFunc(entries, func(a, b []byte) int { return cmp.Compare(proposalOrder(a), proposalOrder(b)) })
		for _, b := range entries {
			trace.encoded(b)
			var e Entry
			if err := cbor.Unmarshal(b, &e); err != nil {
				panic(err)
			}
			if index++; rng.IntN(4) > 0 {
				state.Apply(index, e)
			}
		}
		if rng.IntN(80) == 0 {
			chair = NewCoordinator(now, 4*time.Second)
		}
		trace.state(state)
	}
	return trace.Sum()
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
		for _, trouble := range slices.Sorted(maps.Keys(stepFaults())) {
			for _, seed := range []uint64{uint64(i) % 4, 4 + uint64(i)%4} {
				name := fmt.Sprintf("step-%d-%s-%d", i, map[string]string{
					"leader killed":   "leader-killed",
					"leader stopped":  "leader-stopped",
					"proposer killed": "proposer-killed",
				}[trouble], seed)
				check(name, func() string { return stepHash(t, step, trouble, seed) })
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

func goldenRef(rank uint16) Process {
	return Process{Gateway: rank, ID: membership.ID{Incarnation: 5 + uint32(rank), Nonce: 1 << 31}}
}

func goldenOutcome() Outcome {
	return Outcome{Change: goldenChange(), Committed: true, Version: 7, Reason: "r", DecidedAt: 1_700_000_000_002,
		Locked: []Process{
			goldenRef(1),
			goldenRef(2),
		}, Fenced: []Process{goldenRef(3)}, SwitchedAt: map[uint16]int64{1: 1_700_000_000_003}}
}

// TestGoldenBytes compares the bytes of entries, messages and states with those recorded, and reads them back.
func TestGoldenBytes(t *testing.T) {
	change, outcome := goldenChange(), goldenOutcome()
	join, leave := goldenRef(1), goldenRef(2)
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
