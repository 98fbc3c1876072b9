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
func (d *worldDoor) record(outs []Out) []Out {
	trace := d.w.trace
	requests := slices.IndexFunc(outs, func(o Out) bool { return o.Msg.Say != nil })
	if requests >= 0 {
		slices.SortStableFunc(outs[requests:], func(a, b Out) int {
			return cmp.Or(cmp.Compare(a.Msg.Say.Ask, b.Msg.Say.Ask), cmp.Compare(a.To, b.To))
		})
	}
	trace.Int(int64(d.rank))
	trace.Duration(d.w.now)
	trace.Int(int64(len(outs)))
	for _, o := range outs {
		trace.Int(int64(o.To))
		trace.message(&o.Msg)
	}
	proposed := d.proposed
	d.proposed = nil
	slices.SortStableFunc(proposed, func(a, b []byte) int {
		return cmp.Compare(proposalOrder(a), proposalOrder(b))
	})
	trace.Int(int64(len(proposed)))
	for _, b := range proposed {
		trace.encoded(b)
		d.propose(b)
	}
	trace.participant(d.node.Door())
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
		return int(e.Join.Rank)
	case e.Leave != nil:
		return int(e.Leave.Rank)
	}
	return math.MaxInt
}

func (t worldTrace) ref(r Ref) {
	t.Uint(uint64(r.Rank))
	t.Uint(uint64(r.ID.Incarnation))
	t.Uint(uint64(r.ID.Nonce))
}

func (t worldTrace) refs(all []Ref) {
	t.Int(int64(len(all)))
	for _, r := range all {
		t.ref(r)
	}
}

func (t worldTrace) version(v Version) {
	t.Uint(v.N)
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
	t.String(c.Who)
	t.String(c.Note)
	t.Int(c.At)
	t.Uint(uint64(c.From))
	t.Bool(c.Begin)
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
	t.Bool(o.Taken)
	t.Uint(o.N)
	t.String(o.Reason)
	t.Int(o.At)
	t.refs(o.Locked)
	t.refs(o.Fenced)
	t.times(o.Switched)
}

func (t worldTrace) message(m *Msg) {
	if h := m.Hello; t.present(h != nil) {
		t.ref(h.Ref)
		t.Duration(h.At)
		t.Uint(h.Has)
		t.Uint(h.Prepared)
		t.Uint(h.No)
		t.String(h.Reason)
		t.Uint(h.Locked)
		t.Bool(h.Leaving)
		t.Int(h.Switched)
	}
	if w := m.Word; t.present(w != nil) {
		t.Duration(w.At)
		t.ref(w.ID)
		t.version(w.Present)
		t.Bool(w.May)
		t.change(w.Change)
		t.Bool(w.Lock)
		t.Uint(uint64(w.Mode))
	}
	t.Uint(m.News)
	if s := m.Say; t.present(s != nil) {
		t.Uint(s.Ask)
		t.String(s.ID)
		t.change(s.Change)
		t.Uint(uint64(s.Forget))
		t.Uint(uint64(s.Replace))
	}
	if s := m.Said; t.present(s != nil) {
		t.Uint(s.Ask)
		t.version(s.Present)
		t.Uint(uint64(s.Mode))
		t.change(s.Open)
		t.String(s.Waits)
		t.outcome(s.Outcome)
		t.refs(s.Serving)
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
	if t.present(e.Take != nil) {
		t.Uint(e.Take.Index)
		t.refs(e.Take.Locked)
		t.refs(e.Take.Fenced)
		t.Int(e.Take.At)
	}
	if t.present(e.Drop != nil) {
		t.Uint(e.Drop.Index)
		t.String(e.Drop.Reason)
		t.Int(e.Drop.At)
	}
	if t.present(e.Report != nil) {
		t.Uint(e.Report.N)
		t.times(e.Report.Switched)
	}
	if t.present(e.Recover != nil) {
		t.String(e.Recover.Who)
		t.Int(int64(len(e.Recover.Lost)))
		for _, rank := range e.Recover.Lost {
			t.Uint(uint64(rank))
		}
		t.Int(e.Recover.At)
	}
}

func (t worldTrace) state(s *State) {
	t.version(s.Present)
	t.refs(s.Refs())
	t.change(s.Change)
	t.Int(int64(len(s.Past)))
	for i := range s.Past {
		t.outcome(&s.Past[i])
	}
	t.Uint(uint64(s.Mode))
}

// participant adds what a gateway may decide by, and until when.
func (t worldTrace) participant(d *Door) {
	t.version(d.Has())
	t.Duration(d.Until())
	t.Bool(d.Locked())
	pending, ok := d.Pending()
	t.Bool(ok)
	t.change(&pending)
	hash, from, wants := d.Wants()
	t.Bool(wants)
	t.String(string(hash[:]))
	t.Uint(uint64(from))
}

// end adds all states as they stand in the end.
func (w *world) end() string {
	for _, d := range w.doors {
		w.trace.state(d.node.State())
		w.trace.participant(d.node.Door())
		w.trace.Bool(d.node.Gone())
	}
	w.trace.Duration(w.window)
	return w.trace.Sum()
}

func newWorldTrace() *worldTrace { return &worldTrace{golden.NewTrace()} }

// scheduleHash is the trace of a random schedule.
func scheduleHash(seed uint64) string {
	w, _ := playWith(seed, 1+int(seed%12), 12*time.Second, newWorldTrace())
	return w.end()
}

// stepHash is the trace of a change with a trouble at one of its steps.
func stepHash(t *testing.T, step changeStep, trouble string, seed uint64) string {
	t.Helper()
	doors, mode := 4+int(seed%3), Mode(seed/4)
	w := newWorld(seed, doors, mode)
	w.trace = newWorldTrace()
	w.late, w.loss, w.double = 20*time.Millisecond, 0.1, 0.3
	w.asksAll(5 * time.Millisecond)
	w.run(w.now + 4*time.Second)
	c := &Change{ID: "x", Base: 1, Hash: Hash{2}, Mode: mode, From: uint16(doors - 1)}
	asker := w.doors[doors-1]
	asker.node.Ask(Say{ID: c.ID, Change: c})
	if !w.until(3*time.Second, func() bool { return step.at(w) }) {
		t.Fatalf("%s, %s, seed %d: the change did not come to the step", step.name, trouble, seed)
	}
	again := stepTroubles()[trouble](w, asker)
	w.run(w.now + 700*time.Millisecond)
	again()
	w.run(w.now + 200*time.Millisecond)
	w.doors[1].node.Ask(Say{ID: c.ID, Change: c})
	w.run(w.now + 6*time.Second)
	return w.end()
}

// operationsHash is the trace of what operators do: questions, a voter replaced, a gateway forgotten, a recovery, a
// process that leaves, one with another incarnation, and one that goes by what its disk has.
func operationsHash(seed uint64, mode Mode) string {
	rng := rand.New(rand.NewPCG(seed, 9))
	doors := 4 + int(seed%9)
	w := newWorld(seed, doors, mode)
	w.trace = newWorldTrace()
	w.late, w.loss, w.double = time.Duration(10+120*(seed%4))*time.Millisecond, 0.2*float64(seed%3), 0.1
	w.asksAll(7 * time.Millisecond)
	w.doors[doors-1].node.Door().Last(Version{1, Hash{1}})
	w.run(w.now + 3*time.Second)
	ask := func(d *worldDoor, say Say) {
		if no, ok := d.node.Ask(say); ok {
			w.run(w.now + time.Second)
			if got := d.node.Answer(no); w.trace.present(got != nil) {
				w.trace.message(&Msg{Said: got})
			}
			d.node.Done(no)
		}
	}
	ask(w.doors[1], Say{})
	ask(w.doors[1], Say{Replace: 3})
	leaver, off, renamed := w.doors[doors-1], w.doors[doors-2], w.doors[doors-3]
	leaver.node.Door().Leave()
	leaver.node.Soon()
	w.run(w.now + 500*time.Millisecond)
	ask(w.doors[0], Say{Forget: uint16(off.rank) + 1}) // it is there
	off.alive, off.life = false, off.life+1
	w.doors[2].node.Ask(Say{ID: "waits", Change: &Change{ID: "waits", Base: 1, Hash: Hash{2}, Mode: mode, Who: "o", Note: "n"}})
	w.run(w.now + 3500*time.Millisecond)
	ask(w.doors[0], Say{Forget: uint16(off.rank) + 1})
	ask(w.doors[2], Say{ID: "waits"})
	renamed.inc += 7
	renamed.node.Renamed(Ref{Rank: uint16(renamed.rank), ID: membership.ID{Incarnation: renamed.inc, Nonce: 3}})
	w.run(w.now + time.Duration(rng.Int64N(int64(time.Second))))
	w.doors[0].node.Ask(Say{ID: "bad", Change: &Change{ID: "bad", Base: w.doors[0].node.State().Present.N, Hash: Hash{3}, Mode: mode}})
	w.until(2*time.Second, func() bool { c, ok := w.doors[1].node.Door().Pending(); return ok && c.ID == "bad" })
	w.doors[1].node.Door().Cannot(Hash{3}, "line 7: no such class")
	w.doors[1].node.Soon()
	w.run(w.now + time.Second)
	w.agree(Entry{Recover: &Recover{Who: "o", Lost: []uint16{1, 2}, At: 77}})
	w.run(w.now + 7*time.Second)
	ask(w.doors[1], Say{ID: "bad"})
	return w.end()
}

// leaderHash is the trace of a leader alone, which hears random words of random processes.
func leaderHash(seed uint64, mode Mode) string {
	rng := rand.New(rand.NewPCG(seed, 10))
	trace, now, state, index := newWorldTrace(), time.Hour, NewState(), uint64(1)
	state.Apply(index, Entry{Propose: &Change{ID: "begin", Hash: Hash{1}, Begin: true, Mode: mode}})
	chair := NewChair(now, 4*time.Second)
	for round := range 600 {
		now += time.Duration(rng.IntN(150)) * time.Millisecond
		h := Hello{
			Ref:     Ref{Rank: uint16(rng.IntN(5)), ID: membership.ID{Incarnation: uint32(1 + round/200 + rng.IntN(2))}},
			At:      now - time.Duration(rng.IntN(200))*time.Millisecond,
			Has:     state.Present.N - uint64(rng.IntN(2)),
			Leaving: rng.IntN(40) == 0,
		}
		if state.Change != nil {
			switch rng.IntN(12) {
			case 0:
				h.No, h.Reason = state.Change.Index, "line 7"
			case 1, 2, 3:
				h.Prepared = state.Change.Index
			case 4, 5, 6, 7:
				h.Locked = state.Change.Index
			}
		} else if rng.IntN(10) == 0 {
			index++
			state.Apply(index, Entry{Propose: &Change{ID: fmt.Sprint(round), Base: state.Present.N, Hash: Hash{byte(round)}, Mode: Mode(rng.IntN(2))}})
		}
		if h.Has == state.Present.N {
			h.Switched = now.Milliseconds()
		}
		chair.Hello(now, h)
		word := chair.Answer(now, state, h)
		trace.message(&Msg{Word: &word})
		trace.String(chair.Waits(now, state))
		for _, rank := range chair.Ranks(state) {
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
			chair = NewChair(now, 4*time.Second)
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
		for _, trouble := range slices.Sorted(maps.Keys(stepTroubles())) {
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
		Who: "w", Note: "n", At: 1_700_000_000_001, From: 4, Begin: true}
}

func goldenRef(rank uint16) Ref {
	return Ref{Rank: rank, ID: membership.ID{Incarnation: 5 + uint32(rank), Nonce: 1 << 31}}
}

func goldenOutcome() Outcome {
	return Outcome{Change: goldenChange(), Taken: true, N: 7, Reason: "r", At: 1_700_000_000_002,
		Locked: []Ref{goldenRef(1), goldenRef(2)}, Fenced: []Ref{goldenRef(3)}, Switched: map[uint16]int64{1: 1_700_000_000_003}}
}

// TestGoldenBytes compares the bytes of entries, messages and states with those recorded, and reads them back.
func TestGoldenBytes(t *testing.T) {
	change, outcome := goldenChange(), goldenOutcome()
	join, leave := goldenRef(1), goldenRef(2)
	version := Version{N: 7, Hash: HashOf([]byte("doc"))}
	cases := []struct {
		name  string
		value any
	}{
		{"entry-propose", &Entry{Propose: &change}},
		{"entry-join", &Entry{Join: &join}},
		{"entry-leave", &Entry{Leave: &leave}},
		{"entry-take", &Entry{Take: &Take{Index: 300, Locked: []Ref{join}, Fenced: []Ref{leave}, At: 9}}},
		{"entry-drop", &Entry{Drop: &Drop{Index: 300, Reason: "r", At: 9}}},
		{"entry-report", &Entry{Report: &Report{N: 7, Switched: map[uint16]int64{3: 1_700_000_000_003}}}},
		{"entry-recover", &Entry{Recover: &Recover{Who: "w", Lost: []uint16{1, 2}, At: 9}}},
		{"state", &State{Present: version, Serving: map[uint16]membership.ID{2: leave.ID}, Change: &change,
			Past: []Outcome{outcome, {Change: change, Reason: "dropped", At: 8}}, Mode: Fence}},
		{"message-1", &Msg{Hello: &Hello{Ref: join, At: time.Hour + 1, Has: 7, Prepared: 300, No: 301, Reason: "r",
			Locked: 302, Leaving: true, Switched: 1_700_000_000_003}}},
		{"message-2", &Msg{Word: &Word{At: time.Hour + 1, ID: join, Present: version, May: true, Change: &change,
			Lock: true, Mode: Fence}}},
		{"message-3", &Msg{News: 303}},
		{"message-4", &Msg{Say: &Say{Ask: 5, ID: "c", Change: &change, Forget: 3, Replace: 4}}},
		{"message-5", &Msg{Said: &Said{Ask: 5, Present: version, Mode: Fence, Open: &change, Waits: "door 3 has not locked",
			Outcome: &outcome, Serving: []Ref{join, leave}, Leader: 2, Reason: "r"}}},
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
		n.Applied(41+uint64(i), golden.Read(t, "testdata/golden/entry-"+name+".cbor"))
		trace.state(n.State())
		index, _, err := n.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		trace.Uint(index)
	}
	hashes.Check(t, "state", trace.Sum())
}
