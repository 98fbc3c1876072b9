package policy

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Pauses between a participant's status requests.
const (
	pollIntervalLocked  = 40 * time.Millisecond  // the outcome of a locked change is awaited
	pollIntervalStopped = 100 * time.Millisecond // nothing may be decided
	pollIntervalPending = 100 * time.Millisecond // a change is being decided
	pollIntervalLease   = 400 * time.Millisecond // a lease has to be renewed
	pollIntervalIdle    = time.Second
	minPollInterval     = 10 * time.Millisecond
)

// Log is the replicated log as a voter sees it. What is committed comes back by [Node.Apply], and confirmed reads by
// [Node.ReadConfirmed].
type Log interface {
	// Leading returns whether this voter leads, and the term. No two leaders have one term.
	Leading() (term uint64, leads bool)
	// Propose proposes an entry, which may be lost.
	Propose(entry []byte)
	// ReplaceVoter lets a voter that has lost its disk take part with its new one. Its error says why not, or not yet.
	ReplaceVoter(gateway int) error
	// ConfirmRead has a majority confirm that this voter leads. Node.ReadConfirmed follows once that is so and all that
	// was committed before is applied. It may be lost.
	ConfirmRead(token uint64)
}

// Config says which process this is.
type Config struct {
	// Process is this process.
	Process Process
	// Gateways is the number of all gateways.
	Gateways int
	// Voters are the indices of the gateways that hold the log.
	Voters []int
	// AbortAfter is how long a change may wait for participants; zero: DefaultAbortTimeout.
	AbortAfter time.Duration
	// Log is nil where this gateway is no voter.
	Log Log
}

// Node is one process in the commit protocol: its participant, and on a voter the applied state and, while it leads,
// the coordinator.
type Node struct {
	cfg         Config
	participant *Participant
	state       *State
	applied     uint64 // index of the last entry in state

	nextPollAt time.Duration // the next status request is due
	lastPollAt time.Duration

	queries    queryTable
	leadership leadership
}

// NewNode returns that of a process that has just started.
func NewNode(cfg Config) *Node {
	return &Node{
		cfg:         cfg,
		participant: NewParticipant(cfg.Process),
		state:       NewState(),
		queries:     queryTable{open: map[uint64]*openQuery{}},
		leadership:  leadership{reads: map[uint64][]pendingRequest{}},
	}
}

// Participant is what this gateway may decide by.
func (n *Node) Participant() *Participant { return n.participant }

// State is what this voter has applied. It may lag behind what is committed.
func (n *Node) State() *State { return n.state }

// Restore replaces the state by one that Snapshot has returned for the entries up to an index.
func (n *Node) Restore(index uint64, snapshot []byte) error {
	state := NewState()
	if err := cbor.Unmarshal(snapshot, state); err != nil {
		return fmt.Errorf("the voters' state: %w", err)
	}
	if state.Participants == nil {
		state.Participants = NewState().Participants
	}
	n.state, n.applied = state, index
	return nil
}

// Snapshot returns the state as Restore takes it, and the index up to which it has all entries.
func (n *Node) Snapshot() (index uint64, snapshot []byte, err error) {
	snapshot, err = cbor.Marshal(n.state)
	return n.applied, snapshot, err
}

// Apply applies a committed entry. One that is applied already, or that can't be read, has no effect.
func (n *Node) Apply(index uint64, entry []byte) {
	if index <= n.applied {
		return
	}
	n.applied = index
	var e Entry
	if len(entry) > 0 && cbor.Unmarshal(entry, &e) == nil {
		n.state.Apply(index, e)
	}
}

// SetProcess gives this process another identity than it began with. It has to join again; prepared documents stay.
func (n *Node) SetProcess(process Process) {
	prepared := n.participant.prepared
	n.cfg.Process = process
	n.participant = NewParticipant(process)
	n.participant.prepared = prepared
	n.PollNow()
}

// IsLeaveConfirmed returns whether the leader knows that this process decides nothing any more.
func (n *Node) IsLeaveConfirmed() bool { return n.participant.leaving && n.participant.leaveConfirmed }

// PollNow makes the next status request due at once.
func (n *Node) PollNow() { n.nextPollAt = 0 }

// Tick returns the messages that are due. wallMillis is wall time in Unix milliseconds. It is called every few milliseconds.
func (n *Node) Tick(now time.Duration, wallMillis int64) (out []Outgoing) {
	if n.cfg.Log != nil {
		out = n.tickLeader(now, wallMillis)
	}
	out = append(out, n.pollIfDue(now)...)
	for _, query := range n.queries.due(now) {
		out = append(out, n.messagesToVoters(Message{Query: &query})...)
	}
	return out
}

// Receive takes a message from a gateway and returns the messages that follow. wallMillis is wall time in Unix milliseconds.
func (n *Node) Receive(now time.Duration, from int, m Message, wallMillis int64) (out []Outgoing) {
	switch {
	case m.StateChanged > 0:
		n.nextPollAt = min(n.nextPollAt, now)
	case m.StatusRequest != nil:
		if int(m.StatusRequest.Process.Gateway) != from || !n.isLeader() {
			return nil
		}
		n.leadership.coordinator.ReceiveStatus(now, *m.StatusRequest)
		n.leadership.enqueue(pendingRequest{from: from, status: m.StatusRequest})
	case m.Query != nil:
		if !n.isLeader() || len(m.Query.ChangeID) > MaxIDBytes {
			return nil
		}
		n.leadership.enqueue(pendingRequest{from: from, query: m.Query})
	case m.QueryReply != nil:
		n.queries.receive(m.QueryReply)
		return nil
	case m.StatusReply != nil:
		n.receiveStatusReply(now, m.StatusReply, wallMillis)
	}
	if n.cfg.Log != nil && n.isLeader() {
		out = n.tickLeader(now, wallMillis)
	}
	return append(out, n.pollIfDue(now)...)
}

// receiveStatusReply switches to another version where the reply says so. What the reply has changed is reported at
// once.
func (n *Node) receiveStatusReply(now time.Duration, reply *StatusReply, wallMillis int64) {
	if to, ok := n.participant.ReceiveReply(now, *reply); ok {
		n.participant.SwitchTo(to, reply.RequestSentAt, wallMillis)
		n.PollNow()
	} else if n.participant.IsLocked() && n.lastPollAt < n.participant.lockedAt {
		n.PollNow()
	}
}

// pollIfDue returns the next status request if it is due.
func (n *Node) pollIfDue(now time.Duration) []Outgoing {
	if now < n.nextPollAt || now < n.lastPollAt+minPollInterval {
		return nil
	}
	n.lastPollAt = now
	n.nextPollAt = now + n.pollInterval()
	request := n.participant.StatusRequest(now)
	return n.messagesToVoters(Message{StatusRequest: &request})
}

func (n *Node) pollInterval() time.Duration {
	p := n.participant
	_, isPending := p.Pending()
	mayDecide := p.Version().Number > 0 && p.required.Number == 0 && p.DecidesUntil() != 0
	switch {
	case p.IsLocked():
		return pollIntervalLocked
	case !mayDecide:
		return pollIntervalStopped
	case isPending:
		return pollIntervalPending
	case p.mode == Fence:
		return pollIntervalLease
	}
	return pollIntervalIdle
}

func (n *Node) messagesToVoters(m Message) (out []Outgoing) {
	for _, voter := range n.cfg.Voters {
		out = append(out, Outgoing{To: voter, Message: m})
	}
	return out
}
