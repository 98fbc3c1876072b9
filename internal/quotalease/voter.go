package quotalease

import (
	"time"

	"gapgap/internal/membership"
)

const (
	// MaxVoters is the number of gateways that vote in a large cluster.
	MaxVoters = 7

	// voterHoldDuration is how long a voter reserves a slot for a gateway after it received the request. A lease
	// measured by the slowest clock ends within this time by the fastest one.
	voterHoldDuration = time.Duration(float64(LeaseDuration) * (1 + 3*MaxClockDrift))
)

// VoterCount returns how many gateways, from the start of the list, vote: an odd number if possible.
func VoterCount(gateways int) int {
	switch {
	case gateways >= MaxVoters:
		return MaxVoters
	case gateways > 2 && gateways%2 == 0:
		return gateways - 1
	}
	return gateways
}

// Voter grants leases of slots, each slot to one gateway at a time.
type Voter struct {
	gateways int
	// grantsFrom is when the voter starts to grant slots after its start.
	grantsFrom time.Duration
	slots      []slot
	// lastRequests has the newest request of each gateway.
	lastRequests []receivedRequest
}

// slot is a voter's state for one slot.
type slot struct {
	// holder is the index of the gateway that the slot was granted to, and holderID the process of that gateway.
	holder   int
	holderID membership.ID
	// heldUntil is when the grant ends; 0 means that the slot is free.
	heldUntil time.Duration
	// ownerDeniedAt is when a request of the owner for the slot was last denied; 0 means never, or that the owner has
	// acquired or given up the slot since.
	ownerDeniedAt time.Duration
}

// receivedRequest identifies a request.
type receivedRequest struct {
	id       membership.ID
	sequence uint32
}

// NewVoter returns a voter that has just started. It does not know which leases an earlier process granted.
func NewVoter(gateways int, now time.Duration) *Voter {
	return &Voter{
		gateways:     gateways,
		grantsFrom:   now + voterHoldDuration,
		slots:        make([]slot, slotCount(gateways)),
		lastRequests: make([]receivedRequest, gateways),
	}
}

// HandleRequest answers a gateway's request whose slots have passed ValidateSlots. It returns false for a request that
// is not newer than all earlier ones of that gateway.
func (v *Voter) HandleRequest(now time.Duration, from int, request Request) (Grant, bool) {
	last := &v.lastRequests[from]
	if request.ID.Before(last.id) || request.ID == last.id && request.Sequence <= last.sequence {
		return Grant{}, false
	}
	last.id, last.sequence = request.ID, request.Sequence
	grant := Grant{ID: request.ID, Sequence: request.Sequence, Slots: NewSlotSet(v.gateways)}
	if now < v.grantsFrom {
		return grant, true
	}
	perGateway := SlotsPerGateway(v.gateways)
	for i := range v.slots {
		isOwner := i/perGateway == from
		if !request.Slots.Has(i) {
			v.slots[i].free(now, from, request.ID, isOwner)
		} else if v.slots[i].acquire(now, from, request.ID, isOwner) {
			grant.Slots.Add(i)
		}
	}
	return grant, true
}

// isHeldBy reports whether the slot is granted to a process of a gateway.
func (s *slot) isHeldBy(now time.Duration, gateway int, id membership.ID) bool {
	return s.holder == gateway && s.holderID == id && now < s.heldUntil
}

// free ends the grant of a process that no longer names the slot.
func (s *slot) free(now time.Duration, gateway int, id membership.ID, isOwner bool) {
	if s.isHeldBy(now, gateway, id) {
		s.heldUntil = 0
	}
	if isOwner {
		s.ownerDeniedAt = 0
	}
}

// acquire grants the slot to a process, or renews its grant, unless another process holds it. For LeaseDuration after
// the owner's request was denied the slot is not granted or renewed to others, so that it returns to its owner.
func (s *slot) acquire(now time.Duration, gateway int, id membership.ID, isOwner bool) bool {
	if now < s.heldUntil && !s.isHeldBy(now, gateway, id) {
		if isOwner {
			s.ownerDeniedAt = now
		}
		return false
	}
	if isOwner {
		s.ownerDeniedAt = 0
	} else if s.ownerDeniedAt > 0 && now-s.ownerDeniedAt < LeaseDuration {
		return false
	}
	s.holder, s.holderID, s.heldUntil = gateway, id, now+voterHoldDuration
	return true
}
