package policy

import (
	"math"
	"time"
)

// Times that the promise hangs on.
const (
	LockDuration     = 200 * time.Millisecond // from its question on a door that has locked decides by the old version, as long as no answer came
	LeaseDuration    = 2 * time.Second        // likewise a door in a fleet that fences
	ClockDriftFactor = 1.03                   // by what a clock that measures somebody else's lease goes on: 1 % each way, and a turn of a loop
)

// StatusRequest is what a door says of itself, and its question how things stand. It goes to all voters; the leader answers.
type StatusRequest struct {
	Process    Process       `cbor:"1,keyasint"`
	SentAt     time.Duration `cbor:"2,keyasint"`           // by its own clock
	Version    uint64        `cbor:"3,keyasint"`           // the version that it goes by; 0: none yet
	Prepared   uint64        `cbor:"4,keyasint,omitempty"` // the index of the change that it can switch to ...
	Rejected   uint64        `cbor:"5,keyasint,omitempty"` // ... or can't
	Reason     string        `cbor:"6,keyasint,omitempty"`
	Locked     uint64        `cbor:"7,keyasint,omitempty"`
	Leaving    bool          `cbor:"8,keyasint,omitempty"` // it decides nothing any more, and goes
	SwitchedAt int64         `cbor:"9,keyasint,omitempty"` // when it did to Has, wall clock, Unix milliseconds
}

// StatusReply is the leader's answer: how things stood at some time after the question was asked.
type StatusReply struct {
	RequestSentAt time.Duration `cbor:"1,keyasint"` // the Hello's
	Process       Process       `cbor:"2,keyasint"` // ... and whose it was
	Current       Version       `cbor:"3,keyasint"`
	MayDecide     bool          `cbor:"4,keyasint"`           // that process may decide by the present version
	Pending       *Change       `cbor:"5,keyasint,omitempty"` // that is being decided
	Lock          bool          `cbor:"6,keyasint,omitempty"` // all have prepared it: lock
	Mode          Mode          `cbor:"7,keyasint,omitempty"` // of the fleet
}

// NoExpiry is a right to decide that no time ends.
const NoExpiry = time.Duration(math.MaxInt64)

// Participant is which version a door may decide by, and until when.
type Participant struct {
	process        Process
	mode           Mode          // of the fleet, as last heard
	lastSentAt     time.Duration // the last Hello's At, and the last one that was answered
	lastReplyTo    time.Duration
	version        Version
	decidesUntil   time.Duration // it may decide by has until then
	lockedChange   uint64        // the change that it has locked; 0: none
	lockedAt       time.Duration
	prepared       map[Hash]bool // documents that it could switch to at once
	pending        Change        // that it has last heard of; Index 0: none
	rejectedChange uint64
	rejectReason   string
	required       Version // that it should go by and does not yet have
	leaving        bool
	leaveSeen      bool // ... and the leader knows
	switchedAt     int64
}

// NewParticipant is a process that has just started.
func NewParticipant(ref Process) *Participant {
	return &Participant{process: ref, prepared: map[Hash]bool{}}
}

// Version is the version that it goes by.
func (d *Participant) Version() Version { return d.version }

// DecidesUntil is until when it may decide by that; 0: not at all.
func (d *Participant) DecidesUntil() time.Duration { return d.decidesUntil }

// IsLocked says that it waits for the outcome of a change.
func (d *Participant) IsLocked() bool { return d.lockedChange > 0 }

// Pending is the change that is being decided as far as it knows.
func (d *Participant) Pending() (Change, bool) { return d.pending, d.pending.Index > 0 }

// MissingDocument is a document that it needs: of a change to prepare, or of the version that it is to go by. ok: no; it needs none.
func (d *Participant) MissingDocument() (h Hash, from uint16, ok bool) {
	if d.required.Number > 0 && !d.prepared[d.required.Hash] {
		return d.required.Hash, d.pending.Source, true
	}
	if d.pending.Index > 0 && d.rejectedChange != d.pending.Index && !d.prepared[d.pending.Hash] {
		return d.pending.Hash, d.pending.Source, true
	}
	return Hash{}, 0, false
}

// DocumentPrepared says that a document was read whole, that all it needs is there, and that it is on the disk.
func (d *Participant) DocumentPrepared(h Hash) { d.prepared[h] = true }

// RejectDocument says that a document can't be gone by, and why.
func (d *Participant) RejectDocument(h Hash, reason string) {
	if d.pending.Index > 0 && d.pending.Hash == h {
		d.rejectedChange, d.rejectReason = d.pending.Index, reason[:min(len(reason), MaxReasonBytes)]
	}
}

// ForgetDocument drops a document that is not needed any more.
func (d *Participant) ForgetDocument(h Hash) { delete(d.prepared, h) }

// Leave ends its deciding; the next Hello says so.
func (d *Participant) Leave() { d.leaving, d.decidesUntil = true, 0 }

// DecideWithoutQuorum lets it go by a version though nobody was asked: the operators' choice where no majority is to be had.
func (d *Participant) DecideWithoutQuorum(v Version) {
	if d.version.Number == 0 && !d.leaving {
		d.version, d.decidesUntil = v, NoExpiry
	}
}

// StatusRequest is what it says now.
func (d *Participant) StatusRequest(now time.Duration) StatusRequest {
	d.lastSentAt = max(d.lastSentAt+1, now) // no two have the same
	h := StatusRequest{Process: d.process, SentAt: d.lastSentAt, Version: d.version.Number, Leaving: d.leaving, Locked: d.lockedChange, SwitchedAt: d.switchedAt}
	if c := d.pending; c.Index > 0 {
		switch {
		case d.rejectedChange == c.Index:
			h.Rejected, h.Reason = c.Index, d.rejectReason
		case d.prepared[c.Hash]:
			h.Prepared = c.Index
		}
	}
	return h
}

// ReceiveReply takes the answer to one of its Hellos. It returns true where it is to switch to another version now; Switch follows.
func (d *Participant) ReceiveReply(now time.Duration, w StatusReply) (to Version, ok bool) {
	if d.leaving {
		d.leaveSeen = d.leaveSeen || w.Process == d.process && !w.MayDecide
		return Version{}, false
	}
	if w.Process != d.process || w.RequestSentAt > d.lastSentAt || w.RequestSentAt <= d.lastReplyTo || w.Current.Number < d.version.Number || w.Current.Number < d.required.Number {
		return Version{}, false // what was asked for earlier may show an earlier state
	}
	d.lastReplyTo, d.mode = w.RequestSentAt, w.Mode
	if w.Pending == nil {
		d.pending = Change{}
	} else if w.Pending.Index >= d.pending.Index {
		d.pending = *w.Pending
	}
	if w.Current.Number > d.version.Number { // from now on it is known that has is no longer what holds
		if d.decidesUntil, d.required = 0, w.Current; w.MayDecide && d.prepared[w.Current.Hash] {
			return w.Current, true
		}
		return Version{}, false
	}
	if !w.MayDecide {
		d.decidesUntil = 0 // another process has its place, or it was passed over
		return Version{}, false
	}
	d.renewLease(w)
	if c := d.pending; w.Lock && w.Pending != nil && w.Pending.Index == c.Index && d.prepared[c.Hash] && d.rejectedChange != c.Index && d.lockedChange != c.Index {
		d.lockedChange, d.lockedAt = c.Index, now
		d.decidesUntil = min(d.decidesUntil, now+LockDuration)
	}
	return Version{}, false
}

// renewLease takes a read that shows the version that it goes by as the present one.
func (d *Participant) renewLease(w StatusReply) {
	if d.lockedChange > 0 && w.RequestSentAt < d.lockedAt {
		return // asked for before the lock: it may not have shown what the lock is for
	}
	if d.lockedChange > 0 && (w.Pending == nil || w.Pending.Index != d.lockedChange) {
		d.lockedChange, d.decidesUntil = 0, w.RequestSentAt // the change has been dropped
	}
	switch {
	case d.lockedChange > 0:
		d.decidesUntil = max(d.decidesUntil, w.RequestSentAt+LockDuration)
	case d.mode == Fence:
		d.decidesUntil = max(d.decidesUntil, w.RequestSentAt+LeaseDuration)
	default:
		d.decidesUntil = NoExpiry
	}
}

// SwitchTo goes over to a version that Heard has named, at wall time. The read that named it, asked for at a time, gives the right to it.
func (d *Participant) SwitchTo(v Version, asked time.Duration, wall int64) {
	d.version, d.required, d.lockedChange, d.switchedAt = v, Version{}, 0, wall
	if d.pending.Base < v.Number {
		d.pending = Change{}
	}
	d.decidesUntil = NoExpiry
	if d.mode == Fence {
		d.decidesUntil = asked + LeaseDuration
	}
}
