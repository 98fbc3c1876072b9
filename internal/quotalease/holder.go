package quotalease

import (
	"slices"
	"time"

	"gapgap/internal/membership"
)

// Timing of leases.
const (
	// RequestInterval is the time between two requests of a gateway. It is halved while the wanted slots differ from
	// the requested ones.
	RequestInterval = 400 * time.Millisecond
	// LeaseDuration is how long a slot is held after the request, by the holder's clock.
	LeaseDuration = 2 * time.Second
	// MaxClockDrift is the fraction by which a gateway's clock may run too fast or too slow.
	MaxClockDrift = 0.01

	// requestHistory is the number of latest requests whose grants still count.
	requestHistory = 16
)

// Holder requests and holds the slots of one gateway.
type Holder struct {
	gateways int
	id       membership.ID
	// sequence is the sequence number of the last request.
	sequence uint32
	// sentAt has the send times of the last requests, indexed by sequence modulo requestHistory.
	sentAt []time.Duration
	// requested has the slots of the last request.
	requested SlotSet
	// released has the slots that are no longer held although requests may still name them.
	released SlotSet
	// requestedSince has, by slot, the first of the consecutive requests up to the last one that name the slot.
	requestedSince []uint32
	// granted has, by voter and slot, the sequence number of the last request that the voter granted.
	granted [][]uint32
	// requestedAt is when the last request was sent.
	requestedAt time.Duration
}

// NewHolder returns a holder without slots for a process of a gateway.
func NewHolder(gateways int, id membership.ID) *Holder {
	h := &Holder{
		gateways:       gateways,
		id:             id,
		sentAt:         make([]time.Duration, requestHistory),
		requested:      NewSlotSet(gateways),
		released:       NewSlotSet(gateways),
		requestedSince: make([]uint32, slotCount(gateways)),
	}
	for range VoterCount(gateways) {
		h.granted = append(h.granted, make([]uint32, slotCount(gateways)))
	}
	return h
}

// Release stops holding the requested slots that are no longer wanted, and reports whether any of them was held. If so,
// NextRequest must not be called with the new set until all users of these slots have stopped.
func (h *Holder) Release(now time.Duration, wanted SlotSet) (wasHeld bool) {
	for i := range h.requestedSince {
		if h.requested.Has(i) && !wanted.Has(i) && !h.released.Has(i) {
			wasHeld = wasHeld || h.IsHeld(i, now)
			h.released.Add(i)
		}
	}
	return wasHeld
}

// Requested returns the slots of the last request.
func (h *Holder) Requested() SlotSet { return h.requested }

// NextRequest returns the request to send to all voters now, or false if none is due. Slots that it does not name are
// no longer held.
func (h *Holder) NextRequest(now time.Duration, wanted SlotSet) (Request, bool) {
	if !h.isDue(now, wanted) {
		return Request{}, false
	}
	h.requestedAt = now
	h.sequence++
	h.sentAt[h.sequence%requestHistory] = now
	for i := range h.requestedSince {
		if wanted.Has(i) && (!h.requested.Has(i) || h.released.Has(i)) {
			h.requestedSince[i] = h.sequence
		}
	}
	h.requested = append(h.requested[:0], wanted...)
	h.released = NewSlotSet(h.gateways)
	return Request{ID: h.id, Sequence: h.sequence, Slots: slices.Clone(wanted)}, true
}

// isDue reports whether a request is due. The first request and one that gives up all slots are due at once.
func (h *Holder) isDue(now time.Duration, wanted SlotSet) bool {
	if h.sequence == 0 || wanted.isEmpty() {
		return true
	}
	wait := RequestInterval
	if string(wanted) != string(h.requested) {
		wait = RequestInterval / 2
	}
	return now >= h.requestedAt+wait
}

// ReleaseAll stops holding all slots.
func (h *Holder) ReleaseAll() {
	h.requested, h.released = NewSlotSet(h.gateways), NewSlotSet(h.gateways)
}

// ChangeID continues under another process ID, without the slots held before.
func (h *Holder) ChangeID(id membership.ID) {
	h.ReleaseAll()
	h.id = id
}

// HandleGrant processes a voter's answer whose slots have passed ValidateSlots.
func (h *Holder) HandleGrant(voter int, grant Grant) {
	if grant.ID != h.id || grant.Sequence > h.sequence || h.sequence-grant.Sequence >= requestHistory {
		return
	}
	if voter < 0 || voter >= len(h.granted) {
		return
	}
	for i, last := range h.granted[voter] {
		if grant.Slots.Has(i) && grant.Sequence > last {
			h.granted[voter][i] = grant.Sequence
		}
	}
}

// leaseEnd returns when the lease of a slot ends, or 0 if the slot is not held. The lease ends at the latest time until
// which a majority of the voters has granted the slot.
func (h *Holder) leaseEnd(slot int, now time.Duration) time.Duration {
	if !h.requested.Has(slot) || h.released.Has(slot) {
		return 0
	}
	majority := len(h.granted)/2 + 1
	latest := time.Duration(0)
	for voter := range h.granted {
		end := h.grantEnd(voter, slot)
		if end > latest && h.votersGranting(slot, end) >= majority {
			latest = end
		}
	}
	if latest <= now {
		return 0
	}
	return latest
}

// votersGranting returns how many voters have granted a slot until end or later.
func (h *Holder) votersGranting(slot int, end time.Duration) int {
	voters := 0
	for voter := range h.granted {
		if h.grantEnd(voter, slot) >= end {
			voters++
		}
	}
	return voters
}

// grantEnd returns when the last grant of a voter for a slot ends, or 0 if there is no valid grant.
func (h *Holder) grantEnd(voter, slot int) time.Duration {
	sequence := h.granted[voter][slot]
	if sequence == 0 || sequence < h.requestedSince[slot] || h.sequence-sequence >= requestHistory {
		return 0
	}
	return h.sentAt[sequence%requestHistory] + LeaseDuration
}

// Held returns how many slots are held, and when the first of their leases ends.
func (h *Holder) Held(now time.Duration) (slots int, until time.Duration) {
	for i := range h.requestedSince {
		end := h.leaseEnd(i, now)
		if end == 0 {
			continue
		}
		if slots++; until == 0 || end < until {
			until = end
		}
	}
	return slots, until
}

// IsHeld reports whether a slot is held.
func (h *Holder) IsHeld(slot int, now time.Duration) bool { return h.leaseEnd(slot, now) > 0 }

// Fraction returns the fraction of all slots that is held, and when the first of their leases ends.
func (h *Holder) Fraction(now time.Duration) (fraction float64, until time.Duration) {
	held, until := h.Held(now)
	return float64(held) / float64(len(h.requestedSince)), until
}
