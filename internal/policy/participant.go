package policy

import (
	"math"
	"time"
)

// Durations on which the protocol's guarantees depend.
const (
	// LockDuration is how long a locked participant may decide by the old version, counted from the lock or from the
	// last answered status request sent after it.
	LockDuration = 200 * time.Millisecond
	// LeaseDuration is how long a participant's lease lasts, counted from the status request that renewed it.
	LeaseDuration = 2 * time.Second
	// ClockDriftFactor is the factor by which the leader extends another gateway's lease before it treats the lease
	// as expired: clocks differ by up to 1 % each way, and an event loop needs time to act.
	ClockDriftFactor = 1.03
)

// NoExpiry is the value of DecidesUntil for a permission that does not expire.
const NoExpiry = time.Duration(math.MaxInt64)

// Participant is the part of one process in the commit protocol. It tracks by which version the process may decide, and
// until when.
type Participant struct {
	process Process
	mode    Mode // of the cluster, from the last reply

	lastSentAt  time.Duration // SentAt of the last status request
	lastReplyTo time.Duration // SentAt of the newest answered request

	version      Version
	switchedAt   int64         // wall-clock time of the switch to version, in Unix milliseconds
	required     Version       // version to switch to once its document is prepared; zero if none
	decidesUntil time.Duration // end of the permission to decide by version; 0 if none

	pending        Change // from the last reply; index 0 if none
	lockedChange   uint64 // index; 0 if none
	lockedAt       time.Duration
	rejectedChange uint64 // index; 0 if none
	rejectReason   string
	prepared       map[Hash]bool // documents that are stored and ready to switch to

	leaving        bool
	leaveConfirmed bool // the leader knows that it is leaving
}

// NewParticipant returns the participant of a process that has just started. It has no version and may not decide.
func NewParticipant(process Process) *Participant {
	return &Participant{process: process, prepared: map[Hash]bool{}}
}

// Version returns the version in use. It is the zero Version if there is none yet.
func (p *Participant) Version() Version { return p.version }

// DecidesUntil returns when the permission to decide by Version ends: 0 if there is none, NoExpiry if it does not end.
func (p *Participant) DecidesUntil() time.Duration { return p.decidesUntil }

// IsLocked reports whether the participant has locked a change and waits for its outcome.
func (p *Participant) IsLocked() bool { return p.lockedChange > 0 }

// Pending returns the change that is being decided, as far as the participant knows, or false if there is none.
func (p *Participant) Pending() (Change, bool) { return p.pending, p.pending.Index > 0 }

// MissingDocument returns a document that has to be prepared, and the index of a gateway that may have it, or false if
// none is missing. The document belongs to the version that the participant has to switch to, or to the pending change.
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

// DocumentPrepared records that a document is stored durably and that everything needed to switch to it has been built.
func (p *Participant) DocumentPrepared(h Hash) { p.prepared[h] = true }

// RejectDocument records that the process can't switch to a document. It has no effect on documents other than that of
// the pending change.
func (p *Participant) RejectDocument(h Hash, reason string) {
	if _, isPending := p.Pending(); isPending && p.pending.Hash == h {
		p.rejectedChange = p.pending.Index
		p.rejectReason = reason[:min(len(reason), MaxReasonBytes)]
	}
}

// ForgetDocument records that a document is no longer prepared.
func (p *Participant) ForgetDocument(h Hash) { delete(p.prepared, h) }

// Leave ends the permission to decide for good. The next status request reports it.
func (p *Participant) Leave() {
	p.leaving = true
	p.decidesUntil = 0
}

// DecideWithoutQuorum lets a process that has just started decide by a version that no majority has confirmed. This
// gives up the guarantees, so operators have to enable it in the settings.
func (p *Participant) DecideWithoutQuorum(v Version) {
	if p.version.Number == 0 && !p.leaving {
		p.version = v
		p.decidesUntil = NoExpiry
	}
}

// StatusRequest returns the next status request to send.
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

// ReceiveReply handles a reply to a status request. If it returns true, the caller must call SwitchTo with the returned
// version.
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
		p.decidesUntil = 0 // the version in use has been superseded
		p.required = reply.Current
		return reply.Current, reply.MayDecide && p.prepared[reply.Current.Hash]
	}
	if !reply.MayDecide {
		p.decidesUntil = 0 // replaced by another process of this gateway, or fenced
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

// isUsable reports whether a reply is addressed to this process and not older than one that was already handled.
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

// canLock reports whether a reply asks to lock the pending change and the participant can lock it but has not done so.
func (p *Participant) canLock(reply *StatusReply) bool {
	return reply.Lock &&
		reply.Pending != nil && reply.Pending.Index == p.pending.Index &&
		p.prepared[p.pending.Hash] &&
		p.rejectedChange != p.pending.Index &&
		p.lockedChange != p.pending.Index
}

// renewLease extends the permission to decide after a reply that confirms the version in use as the current one.
func (p *Participant) renewLease(reply *StatusReply) {
	sentAt := reply.RequestSentAt
	if p.IsLocked() && sentAt < p.lockedAt {
		return // the read may predate the locked change
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

// SwitchTo switches to a version that ReceiveReply has returned. requestSentAt is the RequestSentAt of that reply, and
// wallMillis the wall-clock time in Unix milliseconds.
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
