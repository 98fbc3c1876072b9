package policy

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Log is what the voters agree on. It carries entries and confirms reads; what it has agreed comes back by [Node.Applied] and [Node.Read].
type Log interface {
	Leading() (term uint64, leads bool) // no two leaders have one term
	Propose(entry []byte)               // it may be lost
	ReplaceVoter(rank int) string       // has a voter that lost its disk take part with its new one; why not, or not yet; empty: it does
	ConfirmRead(token uint64)           // Node.Read follows once a majority has confirmed this leader, and all agreed until now is applied; or it is lost
}

// Message is what one door tells another of policy: one field is set.
type Message struct {
	StatusRequest *StatusRequest `cbor:"1,keyasint,omitempty"`
	StatusReply   *StatusReply   `cbor:"2,keyasint,omitempty"`
	StateChanged  uint64         `cbor:"3,keyasint,omitempty"` // something has changed: ask
	Query         *Query         `cbor:"4,keyasint,omitempty"`
	QueryReply    *QueryReply    `cbor:"5,keyasint,omitempty"`
}

// Outgoing is a message to a door. Its own rank is a door's, too.
type Outgoing struct {
	To      int
	Message Message
}

// Query asks the leader how a change stands, and brings it where it is not known. With no ID it asks how things stand at all.
type Query struct {
	Number   uint64  `cbor:"1,keyasint"`
	ChangeID string  `cbor:"2,keyasint,omitempty"`
	Change   *Change `cbor:"3,keyasint,omitempty"`
	Forget   uint16  `cbor:"4,keyasint,omitempty"` // a door's rank and 1: an operator says that it is off

	// ReplaceVoter is a voter's rank and 1: it has lost its disk for good and is to vote with a new one.
	ReplaceVoter uint16 `cbor:"5,keyasint,omitempty"`
}

// QueryReply answers it, by a read.
type QueryReply struct {
	Number       uint64    `cbor:"1,keyasint"`
	Current      Version   `cbor:"2,keyasint"`
	Mode         Mode      `cbor:"3,keyasint"`
	Pending      *Change   `cbor:"4,keyasint,omitempty"` // that is being decided
	WaitingFor   string    `cbor:"5,keyasint,omitempty"` // whom it waits for
	Outcome      *Outcome  `cbor:"6,keyasint,omitempty"` // of the change asked for; nil: it has none yet
	Participants []Process `cbor:"7,keyasint,omitempty"`
	Leader       uint16    `cbor:"8,keyasint"`
	Reason       string    `cbor:"9,keyasint,omitempty"` // why a door is not forgotten
}

// Pauses between a door's questions.
const (
	pollIntervalLocked  = 40 * time.Millisecond
	pollIntervalPending = 100 * time.Millisecond
	pollIntervalStopped = 100 * time.Millisecond
	pollIntervalLease   = 400 * time.Millisecond
	pollIntervalIdle    = time.Second
	minPollInterval     = 10 * time.Millisecond
	notifyInterval      = 100 * time.Millisecond // doors that have not answered to a change are told of it again
	queryRetryInterval  = 200 * time.Millisecond
	readTimeout         = 300 * time.Millisecond // a read that was not confirmed by then is begun anew

	maxOpenQueries        = 64   // questions that a door has open
	maxPendingRequests    = 4096 // ... and that a leader has, from all doors
	maxListedParticipants = 300  // doors that a Said names
)

// Config says which door this is.
type Config struct {
	Process    Process
	Gateways   int
	Voters     []int // ranks
	AbortAfter time.Duration
	Log        Log // nil: this door does not vote
}

// Node is one door's part in agreeing on policy.
type Node struct {
	cfg         Config
	participant *Participant
	state       *State
	applied     uint64        // applied
	coordinator *Coordinator  // nil: this one does not lead
	term        uint64        // in which the chair leads
	nextPollAt  time.Duration // the next Hello is due
	lastPollAt  time.Duration // the last one was sent
	queries     map[uint64]*openQuery
	lastQuery   uint64

	requests      []pendingRequest // for the next read
	reads         map[uint64][]pendingRequest
	lastToken     uint64
	readStartedAt time.Duration // the last read
	notifiedIndex uint64        // applied when the doors were last told ...
	notifiedAt    time.Duration
}

type pendingRequest struct {
	from   int
	status *StatusRequest
	query  *Query
}

type openQuery struct {
	query      Query
	nextSendAt time.Duration
	reply      *QueryReply
}

// NewNode makes one that has just started.
func NewNode(cfg Config) *Node {
	return &Node{cfg: cfg, participant: NewParticipant(cfg.Process), state: NewState(), queries: map[uint64]*openQuery{}, reads: map[uint64][]pendingRequest{}}
}

// Participant is what this door may decide by.
func (n *Node) Participant() *Participant { return n.participant }

// State is what this voter has applied, which may lag behind what is agreed.
func (n *Node) State() *State { return n.state }

// Restore takes a state that stands for all entries up to an index.
func (n *Node) Restore(index uint64, b []byte) error {
	s := NewState()
	if err := cbor.Unmarshal(b, s); err != nil {
		return fmt.Errorf("the voters' state: %w", err)
	}
	if s.Participants == nil {
		s.Participants = NewState().Participants
	}
	n.state, n.applied = s, index
	return nil
}

// Snapshot is the state as Restore takes it, and the index that it stands for.
func (n *Node) Snapshot() (uint64, []byte, error) {
	b, err := cbor.Marshal(n.state)
	return n.applied, b, err
}

// Apply takes an entry that was agreed on. One that can't be read is passed over, by all voters alike.
func (n *Node) Apply(index uint64, b []byte) {
	if index <= n.applied {
		return
	}
	n.applied = index
	var e Entry
	if len(b) > 0 && cbor.Unmarshal(b, &e) == nil {
		n.state.Apply(index, e)
	}
}

// SetProcess says that this process has another incarnation than it began with.
func (n *Node) SetProcess(ref Process) {
	was := n.participant
	n.cfg.Process, n.participant = ref, NewParticipant(ref)
	n.participant.prepared, n.nextPollAt = was.prepared, 0
}

// IsLeaveConfirmed says that the leader knows that this door decides nothing any more.
func (n *Node) IsLeaveConfirmed() bool { return n.participant.leaving && n.participant.leaveSeen }

// PollNow has the next Hello go out at once.
func (n *Node) PollNow() { n.nextPollAt = 0 }

// Tick does what the time brings. wall is the wall clock, in Unix milliseconds.
func (n *Node) Tick(now time.Duration, wall int64) (out []Outgoing) {
	if n.cfg.Log != nil {
		out = n.lead(now, wall)
	}
	if now >= n.nextPollAt && now >= n.lastPollAt+minPollInterval {
		n.lastPollAt, n.nextPollAt = now, now+n.pollInterval()
		h := n.participant.StatusRequest(now)
		out = append(out, n.toVoters(Message{StatusRequest: &h})...)
	}
	for _, s := range n.queries {
		if s.reply == nil && now >= s.nextSendAt {
			s.nextSendAt = now + queryRetryInterval
			say := s.query
			out = append(out, n.toVoters(Message{Query: &say})...)
		}
	}
	return out
}

func (n *Node) toVoters(m Message) (out []Outgoing) {
	for _, v := range n.cfg.Voters {
		out = append(out, Outgoing{v, m})
	}
	return out
}

func (n *Node) pollInterval() time.Duration {
	_, pending := n.participant.Pending()
	switch {
	case n.participant.IsLocked():
		return pollIntervalLocked
	case n.participant.Version().Number == 0 || n.participant.required.Number > 0 || n.participant.DecidesUntil() == 0:
		return pollIntervalStopped
	case pending:
		return pollIntervalPending
	case n.participant.mode == Fence:
		return pollIntervalLease
	}
	return pollIntervalIdle
}

// lead does the leader's part.
func (n *Node) lead(now time.Duration, wall int64) (out []Outgoing) {
	term, leads := n.cfg.Log.Leading()
	if !leads || term != n.term {
		n.coordinator, n.requests, n.term = nil, nil, term
		clear(n.reads)
	}
	if !leads {
		return nil
	}
	if n.coordinator == nil {
		n.coordinator = NewCoordinator(now, n.cfg.AbortAfter)
	}
	for _, e := range n.coordinator.Tick(now, n.state, wall) {
		n.propose(e)
	}
	if len(n.requests) > 0 && (len(n.reads) == 0 || now-n.readStartedAt >= readTimeout) {
		if len(n.reads) > 0 { // lost
			clear(n.reads)
		}
		n.lastToken++
		n.reads[n.lastToken], n.requests, n.readStartedAt = n.requests, nil, now
		n.cfg.Log.ConfirmRead(n.lastToken)
	}
	if n.notifiedIndex != n.applied {
		n.notifiedIndex, n.notifiedAt = n.applied, now
		for r := range n.cfg.Gateways {
			out = append(out, Outgoing{r, Message{StateChanged: n.applied}})
		}
	}
	if ch := n.state.Pending; ch != nil && now-n.notifiedAt >= notifyInterval { // it may be lost, and who has nothing to do asks once a second
		n.notifiedAt = now
		for _, r := range n.state.Processes() {
			if k := n.coordinator.participants[r.Gateway]; k == nil || k.status.Process != r || max(k.status.Prepared, k.status.Locked, k.status.Rejected) < ch.Index {
				out = append(out, Outgoing{int(r.Gateway), Message{StateChanged: n.applied}})
			}
		}
	}
	return out
}

func (n *Node) propose(e Entry) {
	if b, err := cbor.Marshal(e); err == nil {
		n.cfg.Log.Propose(b)
	}
}

// ReadConfirmed says that a read was confirmed: the state is at least what was agreed when it was begun.
func (n *Node) ReadConfirmed(now time.Duration, token uint64) (out []Outgoing) {
	all := n.reads[token]
	delete(n.reads, token)
	if !n.isLeader() {
		return nil
	}
	for _, w := range all {
		if w.status != nil {
			word := n.coordinator.Reply(n.readStartedAt, n.state, *w.status)
			out = append(out, Outgoing{w.from, Message{StatusReply: &word}})
			continue
		}
		said := n.answerQuery(now, w.query)
		out = append(out, Outgoing{w.from, Message{QueryReply: &said}})
	}
	return append(out, n.lead(now, 0)...)
}

func (n *Node) answerQuery(now time.Duration, q *Query) QueryReply {
	a := QueryReply{Number: q.Number, Current: n.state.Current, Mode: n.state.Mode, Pending: n.state.Pending, WaitingFor: n.coordinator.WaitingFor(now, n.state), Leader: n.cfg.Process.Gateway}
	if q.Forget > 0 {
		a.Reason = n.forgetGateway(now, q.Forget-1)
		return a
	}
	if q.ReplaceVoter > 0 {
		a.Reason = n.cfg.Log.ReplaceVoter(int(q.ReplaceVoter) - 1)
		return a
	}
	if q.ChangeID == "" {
		a.Participants = n.state.Processes()
		a.Participants = a.Participants[:min(len(a.Participants), maxListedParticipants)]
		return a
	}
	if o := n.state.FindOutcome(q.ChangeID); o != nil {
		brief := *o
		brief.Locked, brief.Fenced, brief.SwitchedAt = nil, nil, nil
		a.Outcome = &brief
	} else if q.Change != nil && (n.state.Pending == nil || n.state.Pending.ID != q.ChangeID) && q.Change.ID == q.ChangeID && q.Change.Validate() == nil {
		n.propose(Entry{Propose: q.Change})
	}
	return a
}

// forgetGateway has a door that is off for good not be waited for any more. It returns why not.
func (n *Node) forgetGateway(now time.Duration, rank uint16) string {
	id, ok := n.state.Participants[rank]
	if !ok {
		return ""
	}
	if k := n.coordinator.participants[rank]; k != nil && now-k.receivedAt <= unreachableAfter {
		return fmt.Sprintf("door %d is there: it was heard of %v ago", rank, (now - k.receivedAt).Round(time.Millisecond))
	}
	delete(n.coordinator.participants, rank)
	n.propose(Entry{Leave: &Process{Gateway: rank, ID: id}})
	return ""
}

// Receive takes a message from a door.
func (n *Node) Receive(now time.Duration, from int, m Message, wall int64) (out []Outgoing) {
	switch {
	case m.StateChanged > 0:
		n.nextPollAt = min(n.nextPollAt, now)
	case m.StatusRequest != nil:
		if int(m.StatusRequest.Process.Gateway) != from || !n.isLeader() {
			return nil
		}
		n.coordinator.ReceiveStatus(now, *m.StatusRequest)
		n.enqueue(pendingRequest{from: from, status: m.StatusRequest})
	case m.Query != nil:
		if !n.isLeader() || len(m.Query.ChangeID) > MaxIDBytes {
			return nil
		}
		n.enqueue(pendingRequest{from: from, query: m.Query})
	case m.QueryReply != nil:
		if s := n.queries[m.QueryReply.Number]; s != nil && (s.query.Change == nil || m.QueryReply.Outcome != nil) {
			s.reply = m.QueryReply
		}
		return nil
	case m.StatusReply != nil:
		if to, ok := n.participant.ReceiveReply(now, *m.StatusReply); ok {
			n.participant.SwitchTo(to, m.StatusReply.RequestSentAt, wall)
			n.nextPollAt = 0
		} else if n.participant.IsLocked() && n.lastPollAt < n.participant.lockedAt {
			n.nextPollAt = 0 // the lock is to be told at once
		}
	}
	if n.cfg.Log != nil && n.isLeader() {
		out = n.lead(now, wall)
	}
	if n.nextPollAt <= now {
		out = append(out, n.pollIfDue(now)...)
	}
	return out
}

func (n *Node) pollIfDue(now time.Duration) []Outgoing {
	if now < n.lastPollAt+minPollInterval {
		return nil
	}
	n.lastPollAt, n.nextPollAt = now, now+n.pollInterval()
	h := n.participant.StatusRequest(now)
	return n.toVoters(Message{StatusRequest: &h})
}

func (n *Node) isLeader() bool {
	if n.cfg.Log == nil || n.coordinator == nil {
		return false
	}
	term, leads := n.cfg.Log.Leading()
	return leads && term == n.term
}

func (n *Node) enqueue(w pendingRequest) {
	if len(n.requests) < maxPendingRequests {
		n.requests = append(n.requests, w)
	}
}

// StartQuery begins to ask how a change, or all, stands; Answer tells. ok: no; too many questions are open.
func (n *Node) StartQuery(say Query) (ask uint64, ok bool) {
	if len(n.queries) >= maxOpenQueries {
		return 0, false
	}
	n.lastQuery++
	say.Number = n.lastQuery
	n.queries[n.lastQuery] = &openQuery{query: say}
	return n.lastQuery, true
}

// QueryReply is what was said to a question; nil: nothing yet. For a change that is brought it is its outcome.
func (n *Node) QueryReply(ask uint64) *QueryReply {
	if s := n.queries[ask]; s != nil {
		return s.reply
	}
	return nil
}

// EndQuery ends a question.
func (n *Node) EndQuery(ask uint64) { delete(n.queries, ask) }
