package policy

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Intervals between a participant's status requests.
const (
	pollIntervalLocked  = 40 * time.Millisecond  // waiting for the outcome of a locked change
	pollIntervalStopped = 100 * time.Millisecond // not allowed to decide
	pollIntervalPending = 100 * time.Millisecond // a change is being decided
	pollIntervalLease   = 400 * time.Millisecond // renewing a lease
	pollIntervalIdle    = time.Second
	minPollInterval     = 10 * time.Millisecond
)

// Log is a voter's access to the replicated log. Committed entries are passed to [Node.Apply] and confirmed reads to
// [Node.ReadConfirmed].
type Log interface {
	// Leading returns the current term and whether this voter is the leader. A term has at most one leader.
	Leading() (term uint64, leads bool)
	// Propose proposes an entry. The entry may be lost.
	Propose(entry []byte)
	// ReplaceVoter lets a voter that has lost its disk rejoin with a new one. The error explains why this is not
	// possible, or not yet.
	ReplaceVoter(gateway int) error
	// ConfirmRead asks a majority to confirm that this voter is still the leader. Once it has, and everything committed
	// before the call is applied, Node.ReadConfirmed is called with the token. The call may be lost.
	ConfirmRead(token uint64)
}

// Config configures a [Node].
type Config struct {
	// Process is this process.
	Process Process
	// Gateways is the number of gateways in the cluster.
	Gateways int
	// Voters lists the indices of the gateways that hold replicas of the log.
	Voters []int
	// AbortAfter is how long a change may wait for participants before it is aborted; zero selects
	// DefaultAbortTimeout.
	AbortAfter time.Duration
	// Log is nil if this gateway is not a voter.
	Log Log
}

// Node runs the commit protocol in one process. It holds the participant and, on a voter, the applied state. On the
// leader it also holds the coordinator.
type Node struct {
	cfg         Config
	participant *Participant
	state       *State
	applied     uint64 // index of the last entry in state

	nextPollAt time.Duration // when the next status request is due
	lastPollAt time.Duration

	queries    queryTable
	leadership leadership
}

// NewNode returns the node of a process that has just started.
func NewNode(cfg Config) *Node {
	return &Node{
		cfg:         cfg,
		participant: NewParticipant(cfg.Process),
		state:       NewState(),
		queries:     queryTable{open: map[uint64]*openQuery{}},
		leadership:  leadership{reads: map[uint64][]pendingRequest{}},
	}
}

// Participant returns the participant of this process.
func (n *Node) Participant() *Participant { return n.participant }

// State returns the state that this voter has applied. It may lag behind the committed entries.
func (n *Node) State() *State { return n.state }

// Restore replaces the state with one that Snapshot has returned for the entries up to the given index.
func (n *Node) Restore(index uint64, snapshot []byte) error {
	state := NewState()
	if err := cbor.Unmarshal(snapshot, state); err != nil {
		return fmt.Errorf("decoding the state snapshot: %w", err)
	}
	if state.Participants == nil {
		state.Participants = NewState().Participants
	}
	n.state, n.applied = state, index
	return nil
}

// Snapshot returns the encoded state, which Restore accepts, and the index of the last entry applied to it.
func (n *Node) Snapshot() (index uint64, snapshot []byte, err error) {
	snapshot, err = cbor.Marshal(n.state)
	return n.applied, snapshot, err
}

// Apply applies a committed entry. An entry that has already been applied, or that can't be decoded, has no effect.
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

// SetProcess changes the identity of this process. It has to join again, and keeps its prepared documents.
func (n *Node) SetProcess(process Process) {
	prepared := n.participant.prepared
	n.cfg.Process = process
	n.participant = NewParticipant(process)
	n.participant.prepared = prepared
	n.PollNow()
}

// IsLeaveConfirmed reports whether the leader has confirmed that this process no longer decides.
func (n *Node) IsLeaveConfirmed() bool { return n.participant.leaving && n.participant.leaveConfirmed }

// PollNow makes the next status request due immediately.
func (n *Node) PollNow() { n.nextPollAt = 0 }

// Tick returns the messages that are due. It must be called every few milliseconds. wallMillis is the wall-clock time
// in Unix milliseconds.
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

// Receive handles a message from a gateway and returns the messages to send in response. wallMillis is the wall-clock
// time in Unix milliseconds.
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

// receiveStatusReply handles a status reply and switches to another version if the reply requires it. A switch or a new
// lock is reported at once.
func (n *Node) receiveStatusReply(now time.Duration, reply *StatusReply, wallMillis int64) {
	if to, ok := n.participant.ReceiveReply(now, *reply); ok {
		n.participant.SwitchTo(to, reply.RequestSentAt, wallMillis)
		n.PollNow()
	} else if n.participant.IsLocked() && n.lastPollAt < n.participant.lockedAt {
		n.PollNow()
	}
}

// pollIfDue returns the next status request, addressed to all voters, if it is due.
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
