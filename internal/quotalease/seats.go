// Package quotalease says which door of a fleet holds which part of what all doors share. The whole is cut into seats, so many for each door of
// the list; a door holds a seat for the time of a lease to which a majority of the voters has said yes. So no seat is held by two
// doors at once, whatever each believes of the others: any two majorities share a voter, and a voter that said yes to one door says
// no to all others until that lease is over.
//
// A lease counts from when its door asked, by that door's clock; a voter counts it from when it heard, and longer by what clocks may
// drift apart. Clocks may be set to anything, but must run on while a process is stopped, and each at the true pace but for Drift.
// A voter keeps no disk: after its start it says yes to nobody for as long as a lease that it may have forgotten lasts.
//
// A claim names all seats that its door holds or wants; a seat that it no longer names is free for others at once. So a door must have
// ceased to use a seat before it sends a claim without it: Cease takes it out of Held, Claim out of the next claim.
//
// Nothing here does input or output; the time is handed in. A [Holder] and a [Voter] belong to one goroutine.
package quotalease

import (
	"fmt"
	"time"

	"gapgap/internal/membership"
)

// Times; ours.
const (
	RequestInterval = 400 * time.Millisecond
	LeaseDuration   = 2 * time.Second
	MaxClockDrift   = 0.01 // part by which a door's clock may go too fast or too slow

	// voterHoldDuration is how long a voter keeps a seat for a door after it heard the claim: the lease on the slowest clock by this, the fastest.
	voterHoldDuration = time.Duration(float64(LeaseDuration) * (1 + 3*MaxClockDrift))
)

// Bounds.
const (
	MaxVoters          = 7
	targetSlots        = 60 // in all, in small fleets
	maxSlotsPerGateway = 20
	minSlotsPerGateway = 2
)

// SlotsPerGateway is how many seats each door of a list has.
func SlotsPerGateway(doors int) int {
	return min(maxSlotsPerGateway, max(minSlotsPerGateway, targetSlots/max(1, doors)))
}

// VoterCount is how many of the first doors of a list vote: an odd number where that can be.
func VoterCount(doors int) int {
	switch {
	case doors >= MaxVoters:
		return MaxVoters
	case doors > 2 && doors%2 == 0:
		return doors - 1
	}
	return doors
}

// SlotSet is a set of seats, a bit each.
type SlotSet []byte

// NewSlotSet makes an empty set for a list of doors.
func NewSlotSet(doors int) SlotSet { return make(SlotSet, (doors*SlotsPerGateway(doors)+7)/8) }

// Has says whether a seat is in it.
func (s SlotSet) Has(i int) bool { return s[i/8]&(1<<(i%8)) != 0 }

// Add puts a seat in.
func (s SlotSet) Add(i int) { s[i/8] |= 1 << (i % 8) }

func empty(s SlotSet) bool {
	for _, b := range s {
		if b != 0 {
			return false
		}
	}
	return true
}

// Request is what a door asks a voter for.
type Request struct {
	_        struct{} `cbor:",toarray"`
	ID       membership.ID
	Sequence uint32  // grows with each claim of a process
	Slots    SlotSet // that it holds or wants; others are free of it
}

// Grant answers a Claim.
type Grant struct {
	_        struct{}      `cbor:",toarray"`
	ID       membership.ID // of the claim
	Sequence uint32
	Slots    SlotSet // to which the voter has said yes
}

// ValidateSlots says what is wrong with a set that came.
func ValidateSlots(doors int, s SlotSet) error {
	if n := len(NewSlotSet(doors)); len(s) != n {
		return fmt.Errorf("set of seats of %d bytes, not %d", len(s), n)
	}
	if rest := doors * SlotsPerGateway(doors) % 8; rest > 0 && s[len(s)-1]>>rest != 0 {
		return fmt.Errorf("set with a seat that is not there")
	}
	return nil
}

// Voter says yes or no. Not every door has one that is asked.
type Voter struct {
	gateways     int
	grantsFrom   time.Duration // it says yes from then on
	slots        []slot
	lastRequests []receivedRequest
}

type slot struct {
	holder        int
	holderID      membership.ID
	heldUntil     time.Duration
	ownerDeniedAt time.Duration // when its own door last asked for it in vain; 0: not
}

type receivedRequest struct {
	id       membership.ID
	sequence uint32
}

// NewVoter makes one that has just started.
func NewVoter(doors int, now time.Duration) *Voter {
	return &Voter{gateways: doors, grantsFrom: now + voterHoldDuration, slots: make([]slot, doors*SlotsPerGateway(doors)), lastRequests: make([]receivedRequest, doors)}
}

// HandleRequest takes a claim that has passed Check. It returns false for one that is older than another of its door.
func (v *Voter) HandleRequest(now time.Duration, rank int, c Request) (Grant, bool) {
	h := &v.lastRequests[rank]
	if c.ID.Before(h.id) || c.ID == h.id && c.Sequence <= h.sequence {
		return Grant{}, false
	}
	h.id, h.sequence = c.ID, c.Sequence
	g := Grant{ID: c.ID, Sequence: c.Sequence, Slots: NewSlotSet(v.gateways)}
	if now < v.grantsFrom {
		return g, true
	}
	each := SlotsPerGateway(v.gateways)
	for i := range v.slots {
		s := &v.slots[i]
		mine := s.holder == rank && s.holderID == c.ID && now < s.heldUntil
		home := i/each == rank
		switch {
		case !c.Slots.Has(i):
			if mine {
				s.heldUntil = 0
			}
			if home {
				s.ownerDeniedAt = 0
			}
			continue
		case now < s.heldUntil && !mine: // another door's, or an earlier process's of this one
			if home {
				s.ownerDeniedAt = now
			}
			continue
		case !home && s.ownerDeniedAt > 0 && now-s.ownerDeniedAt < LeaseDuration: // its own door goes first
			continue
		}
		if home {
			s.ownerDeniedAt = 0
		}
		s.holder, s.holderID, s.heldUntil = rank, c.ID, now+voterHoldDuration
		g.Slots.Add(i)
	}
	return g, true
}

// Holder is a door that holds seats.
type Holder struct {
	gateways, rank int
	id             membership.ID
	sequence       uint32
	sentAt         []time.Duration // when the last claims went out, by seq, round
	requested      SlotSet         // what the last claim named
	released       SlotSet         // what is not used any more, though claims may still name it
	requestedSince []uint32        // by seat: the first claim since which it has been named without a break
	granted        [][]uint32      // by voter and seat: the last claim that the voter said yes to
	requestedAt    time.Duration   // of the last; one that changes what is wanted waits for half of ClaimEvery only
}

// requestHistory is how many claims a grant may be late by.
const requestHistory = 16

// NewHolder makes a door that holds nothing.
func NewHolder(doors, rank int, id membership.ID) *Holder {
	h := &Holder{gateways: doors, rank: rank, id: id, sentAt: make([]time.Duration, requestHistory), requested: NewSlotSet(doors), released: NewSlotSet(doors), requestedSince: make([]uint32, doors*SlotsPerGateway(doors))}
	for range VoterCount(doors) {
		h.granted = append(h.granted, make([]uint32, doors*SlotsPerGateway(doors)))
	}
	return h
}

// WantedSlots is what a door asks for, by what it takes the others to be: its own seats, and those of doors that are gone, dealt out evenly
// to those that are there. Gone says of a door that its seats are to be used by others; there, that it uses some.
func WantedSlots(doors, rank int, gone, there func(rank int) bool) SlotSet {
	each, want := SlotsPerGateway(doors), NewSlotSet(doors)
	var users []int
	place := -1
	for r := range doors {
		if r == rank || there(r) {
			if r == rank {
				place = len(users)
			}
			users = append(users, r)
		}
	}
	for r := range doors {
		for i := range each {
			if r == rank || gone(r) && (r*each+i)%len(users) == place {
				want.Add(r*each + i)
			}
		}
	}
	return want
}

// Release takes seats that are not wanted any more out of what is held, and says whether there were such: then Claim is to be called with
// the new wish only when nobody uses them.
func (h *Holder) Release(now time.Duration, want SlotSet) (some bool) {
	for i := range h.requestedSince {
		if h.requested.Has(i) && !want.Has(i) && !h.released.Has(i) {
			some = some || h.leaseEnd(i, now) > 0
			h.released.Add(i)
		}
	}
	return some
}

// Requested is what the last claim named.
func (h *Holder) Requested() SlotSet { return h.requested }

// NextRequest says what to ask all voters for now; false: nothing is due. What is no longer wanted is not held from now on.
func (h *Holder) NextRequest(now time.Duration, want SlotSet) (Request, bool) {
	changed := string(want) != string(h.requested)
	if due := h.requestedAt + RequestInterval; h.sequence > 0 && !empty(want) && (now < due && !changed || now < due-RequestInterval/2) {
		return Request{}, false
	}
	h.requestedAt = now
	h.sequence++
	h.sentAt[h.sequence%requestHistory] = now
	for i := range h.requestedSince {
		if want.Has(i) && (!h.requested.Has(i) || h.released.Has(i)) {
			h.requestedSince[i] = h.sequence
		}
	}
	h.requested = append(h.requested[:0], want...)
	h.released = NewSlotSet(h.gateways)
	return Request{ID: h.id, Sequence: h.sequence, Slots: append(SlotSet(nil), want...)}, true
}

// ReleaseAll gives all up: nothing is held from now on.
func (h *Holder) ReleaseAll() {
	h.requested, h.released = NewSlotSet(h.gateways), NewSlotSet(h.gateways)
}

// ChangeID goes on as another process: what the former one had is not held any more.
func (h *Holder) ChangeID(id membership.ID) {
	h.ReleaseAll()
	h.id = id
}

// HandleGrant takes a voter's answer, that has passed Check.
func (h *Holder) HandleGrant(voter int, g Grant) {
	if g.ID != h.id || g.Sequence > h.sequence || h.sequence-g.Sequence >= requestHistory || voter < 0 || voter >= len(h.granted) {
		return
	}
	for i, seq := range h.granted[voter] {
		if g.Slots.Has(i) && g.Sequence > seq {
			h.granted[voter][i] = g.Sequence
		}
	}
}

// leaseEnd is when a seat's lease ends: that which the last of the first majority gave.
func (h *Holder) leaseEnd(i int, now time.Duration) time.Duration {
	if !h.requested.Has(i) || h.released.Has(i) {
		return 0
	}
	need := len(h.granted)/2 + 1
	best := time.Duration(0)
	for _, a := range h.granted { // few voters
		end := h.grantEnd(a[i], i)
		if end <= best {
			continue
		}
		n := 0
		for _, b := range h.granted {
			if h.grantEnd(b[i], i) >= end {
				n++
			}
		}
		if n >= need {
			best = end
		}
	}
	if best <= now {
		return 0
	}
	return best
}

// grantEnd is when what a voter said yes to ends.
func (h *Holder) grantEnd(seq uint32, seat int) time.Duration {
	if seq == 0 || seq < h.requestedSince[seat] || h.sequence-seq >= requestHistory {
		return 0
	}
	return h.sentAt[seq%requestHistory] + LeaseDuration
}

// Held is how many seats are held now, and until when at least all of them.
func (h *Holder) Held(now time.Duration) (seats int, until time.Duration) {
	for i := range h.requestedSince {
		if u := h.leaseEnd(i, now); u > 0 {
			if seats++; until == 0 || u < until {
				until = u
			}
		}
	}
	return seats, until
}

// IsHeld says whether one seat is held now.
func (h *Holder) IsHeld(i int, now time.Duration) bool { return h.leaseEnd(i, now) > 0 }

// Fraction is what the seats held are of all, and until when.
func (h *Holder) Fraction(now time.Duration) (part float64, until time.Duration) {
	n, until := h.Held(now)
	return float64(n) / float64(len(h.requestedSince)), until
}
