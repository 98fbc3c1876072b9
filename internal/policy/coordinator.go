package policy

import (
	"cmp"
	"fmt"
	"time"
)

// DefaultAbortTimeout is how long a change may wait for participants if Config.AbortAfter is not set.
const DefaultAbortTimeout = 30 * time.Second

const (
	// proposeRetryInterval is the time after which an entry is proposed again, because a change of leader may have
	// lost it.
	proposeRetryInterval = 100 * time.Millisecond
	// joinMaxAge is the maximum age of a status request that lets a process join. It keeps a fenced process from
	// joining by a request that it sent before it was fenced; it joins when it is reachable again.
	joinMaxAge = 500 * time.Millisecond
)

// Coordinator is the leader's part of the commit protocol. It collects the participants' votes and proposes entries.
// Its state is volatile: each new leader starts with a new Coordinator.
type Coordinator struct {
	leadingSince time.Duration
	abortAfter   time.Duration
	statuses     map[uint16]*participantStatus // by gateway index

	changeIndex uint64 // index of the change that is being decided; 0 if none
	changeSince time.Duration
	// fenced holds the processes that a proposed commit fences. Their leases are no longer renewed.
	fenced map[Process]bool

	proposedAt map[proposalKey]time.Duration

	reportVersion uint64 // version whose switch report is due
	reportSince   time.Duration
}

// participantStatus is what the leader knows about one process.
type participantStatus struct {
	request    StatusRequest // the latest one
	receivedAt time.Duration // time of arrival of the last request
	lastReadAt time.Duration // start of the last read whose result was sent to the process
}

// proposalKey identifies an entry that is proposed repeatedly until it is applied.
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

// NewCoordinator returns the coordinator of a gateway that has become the leader. An abortAfter of zero selects
// DefaultAbortTimeout.
func NewCoordinator(now, abortAfter time.Duration) *Coordinator {
	return &Coordinator{
		leadingSince: now,
		abortAfter:   cmp.Or(abortAfter, DefaultAbortTimeout),
		statuses:     map[uint16]*participantStatus{},
		proposedAt:   map[proposalKey]time.Duration{},
		fenced:       map[Process]bool{},
	}
}

// ReceiveStatus records a participant's vote and heartbeat. The first request of a newer process of a gateway discards
// the status of the previous process.
func (c *Coordinator) ReceiveStatus(now time.Duration, request StatusRequest) {
	gateway := request.Process.Gateway
	status := c.statuses[gateway]
	if status == nil || status.request.Process != request.Process {
		if status != nil && request.Process.ID.Before(status.request.Process.ID) {
			return // a late request of a previous process
		}
		status = &participantStatus{}
		c.statuses[gateway] = status
	}
	status.receivedAt = now
	if request.SentAt >= status.request.SentAt {
		status.request = request
		return
	}
	// The request arrived out of order, but its votes still count.
	status.request.Prepared = max(status.request.Prepared, request.Prepared)
	status.request.Locked = max(status.request.Locked, request.Locked)
}

// Reply answers a status request from the state of a confirmed read. now is the time at which the read was started,
// which is after the request arrived.
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

// statusOf returns the status of a process, or nil if no request of it has arrived.
func (c *Coordinator) statusOf(p Process) *participantStatus {
	status := c.statuses[p.Gateway]
	if status == nil || status.request.Process != p {
		return nil
	}
	return status
}

// voteCondition is a condition on a participant's vote on the change with the given index.
type voteCondition func(status *participantStatus, changeIndex uint64) bool

// hasPrepared reports whether a participant has prepared a change; a lock implies it.
func hasPrepared(status *participantStatus, changeIndex uint64) bool {
	return status.request.Prepared == changeIndex || status.request.Locked == changeIndex
}

// hasLocked reports whether a participant has locked a change.
func hasLocked(status *participantStatus, changeIndex uint64) bool {
	return status.request.Locked == changeIndex
}

// missing returns the processes that may decide and whose vote on the pending change does not meet a condition. If the
// change has mode Fence, processes whose leases have expired are left out.
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

// isLeaseExpired reports whether a process's lease has certainly expired, whatever the state of the process. A lease
// renewed by an earlier leader is counted from the start of this leadership: the read that renewed it was confirmed
// before.
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

// Tick returns the entries to propose, given the applied state. wallMillis is the wall-clock time in Unix milliseconds.
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

// joinsAndLeaves returns entries that let started processes decide and remove those that are leaving.
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

// canJoin reports whether a process was reachable within joinMaxAge and is newer than the process of its gateway that
// may decide.
func (c *Coordinator) canJoin(now time.Duration, s *State, status *participantStatus) bool {
	if status.request.Leaving || now-status.receivedAt > joinMaxAge || s.Current.Number == 0 {
		return false
	}
	process := status.request.Process
	return s.Participants[process.Gateway].Before(process.ID)
}

// decide returns the commit or abort of the pending change, or nil if it can't be decided yet.
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

// firstRejection returns the status of the participant with the lowest index that has rejected the pending change, or
// nil if none has.
func (c *Coordinator) firstRejection(s *State) *participantStatus {
	for _, p := range s.Processes() {
		if status := c.statusOf(p); status != nil && status.request.Rejected == s.Pending.Index {
			return status
		}
	}
	return nil
}

// commit returns the commit of the pending change. Processes that have not locked are fenced: from now on their leases
// are not renewed, because a reply sent before the entry is applied would grant a new lease.
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

// propose returns an entry, or nil if it was already proposed within proposeRetryInterval.
func (c *Coordinator) propose(now time.Duration, kind proposalKind, subject uint64, e Entry) []Entry {
	key := proposalKey{kind: kind, subject: subject}
	if at, ok := c.proposedAt[key]; ok && now-at < proposeRetryInterval {
		return nil
	}
	c.proposedAt[key] = now
	return []Entry{e}
}
