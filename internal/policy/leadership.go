package policy

import (
	"fmt"
	"time"
)

const (
	// readTimeout is how long the confirmation of a read may take. After that the read counts as lost and a new one
	// is started.
	readTimeout = 300 * time.Millisecond
	// notifyInterval is the time after which gateways that have not voted on a change are notified again.
	notifyInterval = 100 * time.Millisecond
	// maxPendingRequests is the maximum number of requests waiting for a read. Requests beyond it are dropped; their
	// senders retry.
	maxPendingRequests = 4096
	// maxListedParticipants is the maximum number of processes listed in a reply.
	maxListedParticipants = 300
)

// leadership is the leader's state, apart from the applied state. A request is answered from a read that was started
// after the request arrived and that a majority has confirmed.
type leadership struct {
	term        uint64
	coordinator *Coordinator // nil if this gateway is not the leader

	requests      []pendingRequest            // waiting for the next read
	reads         map[uint64][]pendingRequest // unconfirmed reads by token
	lastToken     uint64                      // never reused, not even in another term
	readStartedAt time.Duration               // start of the last read

	notifiedIndex uint64 // applied index in the last notification of all gateways
	notifiedAt    time.Duration
}

// pendingRequest is a request waiting for a read. Exactly one of status and query is set.
type pendingRequest struct {
	from   int
	status *StatusRequest
	query  *Query
}

// reset discards the state of an earlier term.
func (l *leadership) reset(term uint64) {
	l.term = term
	l.coordinator = nil
	l.requests = nil
	clear(l.reads)
}

func (l *leadership) enqueue(r pendingRequest) {
	if len(l.requests) < maxPendingRequests {
		l.requests = append(l.requests, r)
	}
}

// startRead starts a read for the waiting requests and returns its token. It returns false if no request is waiting or
// another read is still being confirmed.
func (l *leadership) startRead(now time.Duration) (token uint64, ok bool) {
	isConfirming := len(l.reads) > 0 && now-l.readStartedAt < readTimeout
	if len(l.requests) == 0 || isConfirming {
		return 0, false
	}
	clear(l.reads) // a read that is not confirmed in time counts as lost
	l.lastToken++
	l.reads[l.lastToken] = l.requests
	l.requests = nil
	l.readStartedAt = now
	return l.lastToken, true
}

// finishRead returns the requests to answer from a confirmed read, and removes the read.
func (l *leadership) finishRead(token uint64) []pendingRequest {
	requests := l.reads[token]
	delete(l.reads, token)
	return requests
}

// isLeader reports whether this gateway is the leader and its coordinator belongs to the current term.
func (n *Node) isLeader() bool {
	if n.cfg.Log == nil || n.leadership.coordinator == nil {
		return false
	}
	term, leads := n.cfg.Log.Leading()
	return leads && term == n.leadership.term
}

// tickLeader performs the leader's periodic work if this voter is the leader: it proposes entries, starts reads and
// notifies gateways.
func (n *Node) tickLeader(now time.Duration, wallMillis int64) []Outgoing {
	l := &n.leadership
	term, leads := n.cfg.Log.Leading()
	if !leads || term != l.term {
		l.reset(term)
	}
	if !leads {
		return nil
	}
	if l.coordinator == nil {
		l.coordinator = NewCoordinator(now, n.cfg.AbortAfter)
	}
	for _, entry := range l.coordinator.Tick(now, n.state, wallMillis) {
		n.propose(entry)
	}
	if token, ok := l.startRead(now); ok {
		n.cfg.Log.ConfirmRead(token)
	}
	return append(n.notifyAll(now), n.notifyWithoutVote(now)...)
}

// notifyAll notifies all gateways once after each change of the applied state.
func (n *Node) notifyAll(now time.Duration) (out []Outgoing) {
	l := &n.leadership
	if l.notifiedIndex == n.applied {
		return nil
	}
	l.notifiedIndex, l.notifiedAt = n.applied, now
	for gateway := range n.cfg.Gateways {
		out = append(out, Outgoing{To: gateway, Message: Message{StateChanged: n.applied}})
	}
	return out
}

// notifyWithoutVote notifies the participants that have not voted on the pending change again, because the previous
// notification may have been lost and idle participants poll rarely.
func (n *Node) notifyWithoutVote(now time.Duration) (out []Outgoing) {
	l := &n.leadership
	change := n.state.Pending
	if change == nil || now-l.notifiedAt < notifyInterval {
		return nil
	}
	l.notifiedAt = now
	for _, p := range n.state.Processes() {
		status := l.coordinator.statusOf(p)
		if status == nil ||
			max(status.request.Prepared, status.request.Locked, status.request.Rejected) < change.Index {
			out = append(out, Outgoing{To: int(p.Gateway), Message: Message{StateChanged: n.applied}})
		}
	}
	return out
}

func (n *Node) propose(e Entry) {
	if b, err := e.Encode(); err == nil {
		n.cfg.Log.Propose(b)
	}
}

// ReadConfirmed answers the requests for which the read with the given token was started. The applied state must
// include everything that was committed when the read was started.
func (n *Node) ReadConfirmed(now time.Duration, token uint64) (out []Outgoing) {
	l := &n.leadership
	requests := l.finishRead(token)
	if !n.isLeader() {
		return nil
	}
	for _, r := range requests {
		var m Message
		if r.status != nil {
			reply := l.coordinator.Reply(l.readStartedAt, n.state, *r.status)
			m.StatusReply = &reply
		} else {
			reply := n.answerQuery(now, r.query)
			m.QueryReply = &reply
		}
		out = append(out, Outgoing{To: r.from, Message: m})
	}
	return append(out, n.tickLeader(now, 0)...)
}

// answerQuery answers a query from the state, and carries out the operation that it requests.
func (n *Node) answerQuery(now time.Duration, q *Query) QueryReply {
	reply := QueryReply{
		Number:     q.Number,
		Current:    n.state.Current,
		Mode:       n.state.Mode,
		Pending:    n.state.Pending,
		WaitingFor: n.leadership.coordinator.WaitingFor(now, n.state),
		Leader:     n.cfg.Process.Gateway,
	}
	switch {
	case q.Forget > 0:
		reply.Reason = errorText(n.forgetGateway(now, q.Forget-1))
	case q.ReplaceVoter > 0:
		reply.Reason = errorText(n.cfg.Log.ReplaceVoter(int(q.ReplaceVoter) - 1))
	case q.ChangeID == "":
		processes := n.state.Processes()
		reply.Participants = processes[:min(len(processes), maxListedParticipants)]
	default:
		reply.Outcome = n.outcomeOrPropose(q)
	}
	return reply
}

// errorText returns the text of an error for a reply, or an empty string if there is no error.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// outcomeOrPropose returns the outcome of the change that a query asks for, without its lists of processes. If the ID
// is unknown it proposes the change in the query, if there is one, and returns nil.
func (n *Node) outcomeOrPropose(q *Query) *Outcome {
	if found := n.state.FindOutcome(q.ChangeID); found != nil {
		outcome := *found
		outcome.Locked, outcome.Fenced, outcome.SwitchedAt = nil, nil, nil
		return &outcome
	}
	isPending := n.state.Pending != nil && n.state.Pending.ID == q.ChangeID
	if q.Change != nil && !isPending && q.Change.ID == q.ChangeID && q.Change.Validate() == nil {
		n.propose(Entry{Propose: q.Change})
	}
	return nil
}

// ReachableError reports that a gateway can't be forgotten because it is still reachable.
type ReachableError struct {
	// Gateway is the index of the gateway.
	Gateway uint16
	// Age is the age of its last status request.
	Age time.Duration
}

func (e *ReachableError) Error() string {
	return fmt.Sprintf("door %d is there: it was heard of %v ago", e.Gateway, e.Age.Round(time.Millisecond))
}

// forgetGateway proposes to remove the process of a gateway that is off for good, so that changes no longer wait for
// it. Its error is a [*ReachableError].
func (n *Node) forgetGateway(now time.Duration, gateway uint16) error {
	id, ok := n.state.Participants[gateway]
	if !ok {
		return nil
	}
	participants := n.leadership.coordinator.statuses
	if status := participants[gateway]; status != nil && now-status.receivedAt <= unreachableAfter {
		return &ReachableError{Gateway: gateway, Age: now - status.receivedAt}
	}
	delete(participants, gateway)
	n.propose(Entry{Leave: &Process{Gateway: gateway, ID: id}})
	return nil
}
