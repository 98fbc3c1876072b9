package policy

import (
	"math"
	"time"
)

// Durations on which the guarantees depend.
const (
	// LockDuration is how long after its request a locked participant decides by the old version.
	LockDuration = 200 * time.Millisecond
	// LeaseDuration is how long after its request a participant decides where all gateways hold leases.
	LeaseDuration = 2 * time.Second
	// ClockDriftFactor stretches another gateway's lease when it is measured here: clocks differ by up to 1 % each
	// way, and an event loop needs time to act.
	ClockDriftFactor = 1.03
)

// NoExpiry is a right to decide that does not expire.
const NoExpiry = time.Duration(math.MaxInt64)

// Participant is one process in the commit protocol: which version it may decide by, and until when.
type Participant struct {
	process Process
	mode    Mode // of all gateways, as last heard

	lastSentAt  time.Duration // SentAt of the last status request
	lastReplyTo time.Duration // SentAt of the newest request that was answered

	version      Version
	switchedAt   int64         // to version, wall time in Unix milliseconds
	required     Version       // the version to switch to as soon as its document is prepared; zero: none
	decidesUntil time.Duration // by version

	pending        Change // as last heard; index 0: none
	lockedChange   uint64 // index; 0: none
	lockedAt       time.Duration
	rejectedChange uint64 // index; 0: none
	rejectReason   string
	prepared       map[Hash]bool // documents that it could switch to at once

	leaving        bool
	leaveConfirmed bool // the leader knows that it is leaving
}

// NewParticipant returns a process that has just started: it goes by no version and may not decide.
func NewParticipant(process Process) *Participant {
	return &Participant{process: process, prepared: map[Hash]bool{}}
}

// Version is the version that it goes by; the zero version: none yet.
func (p *Participant) Version() Version { return p.version }

// DecidesUntil is the end of its right to decide by Version; 0: it has none. NoExpiry: it does not end.
func (p *Participant) DecidesUntil() time.Duration { return p.decidesUntil }

// IsLocked returns whether it waits for the outcome of a change that it has locked.
func (p *Participant) IsLocked() bool { return p.lockedChange > 0 }

// Pending returns the change that is being decided as far as it knows; false: none.
func (p *Participant) Pending() (Change, bool) { return p.pending, p.pending.Index > 0 }

// MissingDocument returns a document that has to be prepared, and the index of a gateway that may have it. It belongs
// to the version that the participant has to switch to, or to the pending change. False: none is missing.
func (p *Participant) MissingDocument() (hash Hash, source uint16, ok bool) {
	if p.required.Number > 0 && !p.prepared[p.required.Hash] {
		return p.required.Hash, p.pending.Source, true
	}
	_, isPending := p.Pending()
	if isPending && p.rejectedChange != p.pending.Index && !p.prepared[p.pending.Hash] {
		return p.pending.Hash, p.pending.Source, true
	}
	return Hash{}, 0, false
}

// DocumentPrepared says that a document is stored durably and that all it needs has been built.
func (p *Participant) DocumentPrepared(h Hash) { p.prepared[h] = true }

// RejectDocument says that it can't switch to a document. Only the document of the pending change can be rejected.
func (p *Participant) RejectDocument(h Hash, reason string) {
	if _, isPending := p.Pending(); isPending && p.pending.Hash == h {
		p.rejectedChange = p.pending.Index
		p.rejectReason = reason[:min(len(reason), MaxReasonBytes)]
	}
}

// ForgetDocument says that a document is no longer prepared.
func (p *Participant) ForgetDocument(h Hash) { delete(p.prepared, h) }

// Leave ends its right to decide for good; the next status request says so.
func (p *Participant) Leave() {
	p.leaving = true
	p.decidesUntil = 0
}

// DecideWithoutQuorum lets a process that has just started decide by a version that no majority has confirmed.
// Operators choose this by configuration; it gives up the guarantees.
func (p *Participant) DecideWithoutQuorum(v Version) {
	if p.version.Number == 0 && !p.leaving {
		p.version = v
		p.decidesUntil = NoExpiry
	}
}

// StatusRequest returns the next request.
func (p *Participant) StatusRequest(now time.Duration) StatusRequest {
	p.lastSentAt = max(p.lastSentAt+1, now)
	request := StatusRequest{
		Process:    p.process,
		SentAt:     p.lastSentAt,
		Version:    p.version.Number,
		Leaving:    p.leaving,
		Locked:     p.lockedChange,
		SwitchedAt: p.switchedAt,
	}
	if _, isPending := p.Pending(); !isPending {
		return request
	}
	switch {
	case p.rejectedChange == p.pending.Index:
		request.Rejected = p.pending.Index
		request.Reason = p.rejectReason
	case p.prepared[p.pending.Hash]:
		request.Prepared = p.pending.Index
	}
	return request
}

// ReceiveReply takes the reply to one of its requests. It returns true with a version to switch to now; the caller
// then calls SwitchTo.
func (p *Participant) ReceiveReply(now time.Duration, reply StatusReply) (to Version, ok bool) {
	if p.leaving {
		p.leaveConfirmed = p.leaveConfirmed || reply.Process == p.process && !reply.MayDecide
		return Version{}, false
	}
	if !p.isUsable(&reply) {
		return Version{}, false
	}
	p.lastReplyTo, p.mode = reply.RequestSentAt, reply.Mode
	p.updatePending(reply.Pending)
	if reply.Current.Number > p.version.Number {
		p.decidesUntil = 0 // its version is known to be superseded
		p.required = reply.Current
		return reply.Current, reply.MayDecide && p.prepared[reply.Current.Hash]
	}
	if !reply.MayDecide {
		p.decidesUntil = 0 // another process has its place, or it was fenced
		return Version{}, false
	}
	p.renewLease(&reply)
	if p.canLock(&reply) {
		p.lockedChange = p.pending.Index
		p.lockedAt = now
		p.decidesUntil = min(p.decidesUntil, now+LockDuration)
	}
	return Version{}, false
}

// isUsable returns whether a reply is to this process and shows no earlier state than one before.
func (p *Participant) isUsable(reply *StatusReply) bool {
	return reply.Process == p.process &&
		reply.RequestSentAt <= p.lastSentAt &&
		reply.RequestSentAt > p.lastReplyTo &&
		reply.Current.Number >= p.version.Number &&
		reply.Current.Number >= p.required.Number
}

func (p *Participant) updatePending(change *Change) {
	switch {
	case change == nil:
		p.pending = Change{}
	case change.Index >= p.pending.Index:
		p.pending = *change
	}
}

// canLock returns whether a reply asks to lock the pending change, and that can and has yet to be done.
func (p *Participant) canLock(reply *StatusReply) bool {
	return reply.Lock &&
		reply.Pending != nil && reply.Pending.Index == p.pending.Index &&
		p.prepared[p.pending.Hash] &&
		p.rejectedChange != p.pending.Index &&
		p.lockedChange != p.pending.Index
}

// renewLease extends the right to decide by a reply that shows its version as the current one.
func (p *Participant) renewLease(reply *StatusReply) {
	sentAt := reply.RequestSentAt
	if p.IsLocked() && sentAt < p.lockedAt {
		return // the read may be of before the change that was locked
	}
	if p.IsLocked() && (reply.Pending == nil || reply.Pending.Index != p.lockedChange) {
		p.lockedChange = 0 // the change was aborted
		p.decidesUntil = sentAt
	}
	switch {
	case p.IsLocked():
		p.decidesUntil = max(p.decidesUntil, sentAt+LockDuration)
	case p.mode == Fence:
		p.decidesUntil = max(p.decidesUntil, sentAt+LeaseDuration)
	default:
		p.decidesUntil = NoExpiry
	}
}

// SwitchTo goes over to a version that ReceiveReply has returned. requestSentAt is that of the reply; wallMillis is wall time
// in Unix milliseconds.
func (p *Participant) SwitchTo(v Version, requestSentAt time.Duration, wallMillis int64) {
	p.version, p.switchedAt = v, wallMillis
	p.required = Version{}
	p.lockedChange = 0
	if p.pending.Base < v.Number {
		p.pending = Change{}
	}
	p.decidesUntil = NoExpiry
	if p.mode == Fence {
		p.decidesUntil = requestSentAt + LeaseDuration
	}
}
