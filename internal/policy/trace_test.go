package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/golden"
)

// simulationTrace hashes everything that the nodes of a simulation send, propose and decide by.
type simulationTrace struct{ *golden.Trace }

// wallMillis returns the simulated wall-clock time in Unix milliseconds, or 0 if no trace is recorded.
func (sim *simulation) wallMillis() int64 {
	if sim.trace == nil {
		return 0
	}
	return sim.now.Milliseconds()
}

// record adds the messages and entries from a call of the node to the trace, and proposes the entries. Queries, joins
// and leaves come in map order; they are sorted to make the simulation deterministic.
func (g *gateway) record(outs []Outgoing) []Outgoing {
	trace := g.sim.trace
	queries := slices.IndexFunc(outs, func(o Outgoing) bool { return o.Message.Query != nil })
	if queries >= 0 {
		slices.SortStableFunc(outs[queries:], func(a, b Outgoing) int {
			return cmp.Or(cmp.Compare(a.Message.Query.Number, b.Message.Query.Number), cmp.Compare(a.To, b.To))
		})
	}
	trace.Int(int64(g.index))
	trace.Duration(g.sim.now)
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
		trace.encodedEntry(b)
		g.propose(b)
	}
	trace.participant(g.node.Participant())
	return outs
}

// proposalOrder returns the sort key of an entry among those proposed by one call: joins and leaves by gateway, then
// the others.
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

// process adds the identity of a process.
func (t simulationTrace) process(p Process) {
	t.Uint(uint64(p.Gateway))
	t.Uint(uint64(p.ID.Incarnation))
	t.Uint(uint64(p.ID.Nonce))
}

func (t simulationTrace) processes(all []Process) {
	t.Int(int64(len(all)))
	for _, p := range all {
		t.process(p)
	}
}

func (t simulationTrace) version(v Version) {
	t.Uint(v.Number)
	t.String(string(v.Hash[:]))
}

// present adds whether an optional part is present, and returns it.
func (t simulationTrace) present(isPresent bool) bool {
	t.Bool(isPresent)
	return isPresent
}

func (t simulationTrace) change(c *Change) {
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

func (t simulationTrace) switchTimes(all map[uint16]int64) {
	t.Int(int64(len(all)))
	for _, gateway := range slices.Sorted(maps.Keys(all)) {
		t.Uint(uint64(gateway))
		t.Int(all[gateway])
	}
}

func (t simulationTrace) outcome(o *Outcome) {
	if !t.present(o != nil) {
		return
	}
	t.change(&o.Change)
	t.Bool(o.Committed)
	t.Uint(o.Version)
	t.String(o.Reason)
	t.Int(o.DecidedAt)
	t.processes(o.Locked)
	t.processes(o.Fenced)
	t.switchTimes(o.SwitchedAt)
}

func (t simulationTrace) message(m *Message) {
	if r := m.StatusRequest; t.present(r != nil) {
		t.process(r.Process)
		t.Duration(r.SentAt)
		t.Uint(r.Version)
		t.Uint(r.Prepared)
		t.Uint(r.Rejected)
		t.String(r.Reason)
		t.Uint(r.Locked)
		t.Bool(r.Leaving)
		t.Int(r.SwitchedAt)
	}
	if r := m.StatusReply; t.present(r != nil) {
		t.Duration(r.RequestSentAt)
		t.process(r.Process)
		t.version(r.Current)
		t.Bool(r.MayDecide)
		t.change(r.Pending)
		t.Bool(r.Lock)
		t.Uint(uint64(r.Mode))
	}
	t.Uint(m.StateChanged)
	if q := m.Query; t.present(q != nil) {
		t.Uint(q.Number)
		t.String(q.ChangeID)
		t.change(q.Change)
		t.Uint(uint64(q.Forget))
		t.Uint(uint64(q.ReplaceVoter))
	}
	if r := m.QueryReply; t.present(r != nil) {
		t.Uint(r.Number)
		t.version(r.Current)
		t.Uint(uint64(r.Mode))
		t.change(r.Pending)
		t.String(r.WaitingFor)
		t.outcome(r.Outcome)
		t.processes(r.Participants)
		t.Uint(uint64(r.Leader))
		t.String(r.Reason)
	}
}

// encodedEntry adds an encoded log entry.
func (t simulationTrace) encodedEntry(b []byte) {
	var e Entry
	if err := cbor.Unmarshal(b, &e); err != nil {
		panic(err)
	}
	t.change(e.Propose)
	if t.present(e.Join != nil) {
		t.process(*e.Join)
	}
	if t.present(e.Leave != nil) {
		t.process(*e.Leave)
	}
	if t.present(e.Commit != nil) {
		t.Uint(e.Commit.Index)
		t.processes(e.Commit.Locked)
		t.processes(e.Commit.Fenced)
		t.Int(e.Commit.DecidedAt)
	}
	if t.present(e.Abort != nil) {
		t.Uint(e.Abort.Index)
		t.String(e.Abort.Reason)
		t.Int(e.Abort.DecidedAt)
	}
	if t.present(e.SwitchReport != nil) {
		t.Uint(e.SwitchReport.Version)
		t.switchTimes(e.SwitchReport.SwitchedAt)
	}
	if t.present(e.Recovery != nil) {
		t.String(e.Recovery.Author)
		t.Int(int64(len(e.Recovery.Lost)))
		for _, gateway := range e.Recovery.Lost {
			t.Uint(uint64(gateway))
		}
		t.Int(e.Recovery.RecoveredAt)
	}
}

func (t simulationTrace) state(s *State) {
	t.version(s.Current)
	t.processes(s.Processes())
	t.change(s.Pending)
	t.Int(int64(len(s.Outcomes)))
	for i := range s.Outcomes {
		t.outcome(&s.Outcomes[i])
	}
	t.Uint(uint64(s.Mode))
}

// participant adds the version that a gateway may decide by, until when, and the state of the pending change.
func (t simulationTrace) participant(p *Participant) {
	t.version(p.Version())
	t.Duration(p.DecidesUntil())
	t.Bool(p.IsLocked())
	pending, ok := p.Pending()
	t.Bool(ok)
	t.change(&pending)
	hash, source, isMissing := p.MissingDocument()
	t.Bool(isMissing)
	t.String(string(hash[:]))
	t.Uint(uint64(source))
}

// finishTrace adds the final states of all gateways and returns the hash of the trace.
func (sim *simulation) finishTrace() string {
	for _, g := range sim.gateways {
		sim.trace.state(g.node.State())
		sim.trace.participant(g.node.Participant())
		sim.trace.Bool(g.node.IsLeaveConfirmed())
	}
	sim.trace.Duration(sim.worstWindow)
	return sim.trace.Sum()
}

func newSimulationTrace() *simulationTrace { return &simulationTrace{golden.NewTrace()} }
