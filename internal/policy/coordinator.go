package policy

import (
	"cmp"
	"fmt"
	"time"
)

// DefaultAbortTimeout is how long a change may wait for participants where Config.AbortAfter is not set.
const DefaultAbortTimeout = 30 * time.Second

const (
	// proposeRetryInterval is the pause before an entry is proposed again: it may be lost with a change of leader.
	proposeRetryInterval = 100 * time.Millisecond
	// joinMaxAge bounds the age of a status request by which a process joins, so that one that was fenced joins once
	// it is back and not by what it sent before.
	joinMaxAge = 500 * time.Millisecond
)

// Coordinator is the leader's part of the commit protocol: it collects the votes of the participants and proposes
// entries. It holds nothing that must outlive it; a new leader makes a new one.
type Coordinator struct {
	leadingSince time.Duration
	abortAfter   time.Duration
	statuses     map[uint16]*participantStatus // by index of the gateway

	changeIndex uint64 // of the change that is being decided; 0: none
	changeSince time.Duration
	// fenced are the processes without which a commit was proposed: their leases are not renewed any more.
	fenced map[Process]bool

	proposedAt map[proposalKey]time.Duration

	reportVersion uint64 // the version whose switches are to be reported
	reportSince   time.Duration
}

// participantStatus is what the leader knows of one process.
type participantStatus struct {
	request    StatusRequest // the last one
	receivedAt time.Duration // its arrival
	lastReadAt time.Duration // start of the last read whose result the process was sent
}

// proposalKey tells apart the entries that are proposed again until they are applied.
type proposalKey struct {
	kind    proposalKind
	subject uint64 // index of the gateway or of the change
}

type proposalKind int

const (
	proposeJoin proposalKind = iota
	proposeLeave
	proposeCommit
	proposeAbort
	proposeReport
)

// NewCoordinator returns that of a gateway that leads from now on. With no abortAfter it is DefaultAbortTimeout.
func NewCoordinator(now, abortAfter time.Duration) *Coordinator {
	return &Coordinator{
		leadingSince: now,
		abortAfter:   cmp.Or(abortAfter, DefaultAbortTimeout),
		statuses:     map[uint16]*participantStatus{},
		proposedAt:   map[proposalKey]time.Duration{},
		fenced:       map[Process]bool{},
	}
}

// ReceiveStatus takes a participant's vote and heartbeat. One of another process of the same gateway replaces what the
// earlier process sent.
func (c *Coordinator) ReceiveStatus(now time.Duration, request StatusRequest) {
	gateway := request.Process.Gateway
	status := c.statuses[gateway]
	if status == nil || status.request.Process != request.Process {
		if status != nil && request.Process.ID.Before(status.request.Process.ID) {
			return // late, of an earlier process
		}
		status = &participantStatus{}
		c.statuses[gateway] = status
	}
	status.receivedAt = now
	if request.SentAt >= status.request.SentAt {
		status.request = request
		return
	}
	// It is late, but its votes hold.
	status.request.Prepared = max(status.request.Prepared, request.Prepared)
	status.request.Locked = max(status.request.Locked, request.Locked)
}

// Reply answers a status request by a state that was read. now is when the read was started, after the request had
// come.
func (c *Coordinator) Reply(now time.Duration, s *State, request StatusRequest) StatusReply {
	if status := c.statusOf(request.Process); status != nil {
		status.lastReadAt = max(status.lastReadAt, now)
	}
	reply := StatusReply{
		RequestSentAt: request.SentAt,
		Process:       request.Process,
		Current:       s.Current,
		MayDecide:     s.MayDecide(request.Process),
		Mode:          s.Mode,
	}
	if s.Pending == nil {
		return reply
	}
	change := *s.Pending
	isFenced := c.changeIndex == change.Index && c.fenced[request.Process]
	reply.MayDecide = reply.MayDecide && !isFenced
	reply.Pending = &change
	reply.Lock = len(c.missing(now, s, hasPrepared)) == 0
	return reply
}

// statusOf returns what is known of a process; nil: nothing.
func (c *Coordinator) statusOf(p Process) *participantStatus {
	status := c.statuses[p.Gateway]
	if status == nil || status.request.Process != p {
		return nil
	}
	return status
}

// voteCondition is a condition on what is known of a participant's vote on the change with an index.
type voteCondition func(status *participantStatus, changeIndex uint64) bool

// hasPrepared returns whether a participant has voted for a change.
func hasPrepared(status *participantStatus, changeIndex uint64) bool {
	return status.request.Prepared == changeIndex || status.request.Locked == changeIndex
}

// hasLocked returns whether a participant has locked a change.
func hasLocked(status *participantStatus, changeIndex uint64) bool {
	return status.request.Locked == changeIndex
}

// missing returns the processes that may decide and of which a condition on the pending change is not known to hold,
// without those whose lease has expired where the change fences.
func (c *Coordinator) missing(now time.Duration, s *State, holds voteCondition) (all []Process) {
	for _, p := range s.Processes() {
		status := c.statusOf(p)
		if status != nil && holds(status, s.Pending.Index) {
			continue
		}
		if !c.isLeaseExpired(now, s.Pending, p) {
			all = append(all, p)
		}
	}
	return all
}

// isLeaseExpired returns whether a process's lease has expired, whatever has become of the process. Reads by which an
// earlier leader renewed it were confirmed before this one began to lead.
func (c *Coordinator) isLeaseExpired(now time.Duration, change *Change, p Process) bool {
	if change.Mode != Fence {
		return false
	}
	if c.changeIndex == change.Index && c.fenced[p] {
		return true
	}
	renewedAt := c.leadingSince
	if status := c.statusOf(p); status != nil {
		renewedAt = max(renewedAt, status.lastReadAt)
	}
	return now-renewedAt > time.Duration(float64(LeaseDuration)*ClockDriftFactor)
}

// Tick returns the entries to propose for the state as applied. wallMillis is wall time in Unix milliseconds.
func (c *Coordinator) Tick(now time.Duration, s *State, wallMillis int64) (entries []Entry) {
	entries = c.joinsAndLeaves(now, s)
	entries = append(entries, c.switchReport(now, s)...)
	if s.Pending == nil {
		c.changeIndex = 0
		return entries
	}
	if c.changeIndex != s.Pending.Index {
		c.changeIndex, c.changeSince = s.Pending.Index, now
		clear(c.proposedAt)
		clear(c.fenced)
	}
	return append(entries, c.decide(now, s, wallMillis)...)
}

// joinsAndLeaves lets processes that have started decide, and no longer those that leave.
func (c *Coordinator) joinsAndLeaves(now time.Duration, s *State) (entries []Entry) {
	for gateway, status := range c.statuses {
		process := status.request.Process
		switch {
		case status.request.Leaving && s.MayDecide(process):
			entries = append(entries, c.propose(now, proposeLeave, uint64(gateway), Entry{Leave: &process})...)
		case c.canJoin(now, s, status):
			entries = append(entries, c.propose(now, proposeJoin, uint64(gateway), Entry{Join: &process})...)
		}
	}
	return entries
}

// canJoin returns whether a process is there and is newer than the one of its gateway that may decide.
func (c *Coordinator) canJoin(now time.Duration, s *State, status *participantStatus) bool {
	if status.request.Leaving || now-status.receivedAt > joinMaxAge || s.Current.Number == 0 {
		return false
	}
	process := status.request.Process
	return s.Participants[process.Gateway].Before(process.ID)
}

// decide returns the commit or the abort of the pending change once it can be proposed.
func (c *Coordinator) decide(now time.Duration, s *State, wallMillis int64) []Entry {
	change := s.Pending
	if status := c.firstRejection(s); status != nil {
		gateway := status.request.Process.Gateway
		return c.abort(now, change, wallMillis, fmt.Sprintf("door %d can't: %s", gateway, status.request.Reason))
	}
	missing := c.missing(now, s, hasLocked)
	if len(missing) == 0 {
		return c.propose(now, proposeCommit, change.Index, Entry{Commit: c.commit(s, wallMillis)})
	}
	if now-c.changeSince >= c.abortAfter {
		return c.abort(now, change, wallMillis, "not accounted for: "+c.describeMissing(now, missing, change))
	}
	return nil
}

// firstRejection returns the participant with the lowest index that has rejected the pending change; nil: none has.
func (c *Coordinator) firstRejection(s *State) *participantStatus {
	for _, p := range s.Processes() {
		if status := c.statusOf(p); status != nil && status.request.Rejected == s.Pending.Index {
			return status
		}
	}
	return nil
}

// commit returns the commit of the pending change. Those that have not locked are fenced: from now on their leases are
// not renewed, as a reply before the entry is applied would give one anew.
func (c *Coordinator) commit(s *State, wallMillis int64) *Commit {
	commit := &Commit{Index: s.Pending.Index, DecidedAt: wallMillis}
	for _, p := range s.Processes() {
		if status := c.statusOf(p); status != nil && hasLocked(status, s.Pending.Index) {
			commit.Locked = append(commit.Locked, p)
			continue
		}
		commit.Fenced = append(commit.Fenced, p)
		c.fenced[p] = true
	}
	return commit
}

func (c *Coordinator) abort(now time.Duration, change *Change, wallMillis int64, reason string) []Entry {
	abort := &Abort{Index: change.Index, Reason: reason[:min(len(reason), MaxReasonBytes)], DecidedAt: wallMillis}
	return c.propose(now, proposeAbort, change.Index, Entry{Abort: abort})
}

// propose returns an entry if it was not proposed a moment ago.
func (c *Coordinator) propose(now time.Duration, kind proposalKind, subject uint64, e Entry) []Entry {
	key := proposalKey{kind: kind, subject: subject}
	if at, ok := c.proposedAt[key]; ok && now-at < proposeRetryInterval {
		return nil
	}
	c.proposedAt[key] = now
	return []Entry{e}
}
