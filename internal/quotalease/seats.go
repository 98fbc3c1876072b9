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
	ClaimEvery = 400 * time.Millisecond
	Lease      = 2 * time.Second
	Drift      = 0.01 // part by which a door's clock may go too fast or too slow

	// hold is how long a voter keeps a seat for a door after it heard the claim: the lease on the slowest clock by this, the fastest.
	hold = time.Duration(float64(Lease) * (1 + 3*Drift))
)

// Bounds.
const (
	MostVoters = 7
	seatsAbout = 60 // in all, in small fleets
	mostEach   = 20
	leastEach  = 2
)

// Each is how many seats each door of a list has.
func Each(doors int) int { return min(mostEach, max(leastEach, seatsAbout/max(1, doors))) }

// Voters is how many of the first doors of a list vote: an odd number where that can be.
func Voters(doors int) int {
	switch {
	case doors >= MostVoters:
		return MostVoters
	case doors > 2 && doors%2 == 0:
		return doors - 1
	}
	return doors
}

// Set is a set of seats, a bit each.
type Set []byte

// NewSet makes an empty set for a list of doors.
func NewSet(doors int) Set { return make(Set, (doors*Each(doors)+7)/8) }

// Has says whether a seat is in it.
func (s Set) Has(i int) bool { return s[i/8]&(1<<(i%8)) != 0 }

// Add puts a seat in.
func (s Set) Add(i int) { s[i/8] |= 1 << (i % 8) }

func empty(s Set) bool {
	for _, b := range s {
		if b != 0 {
			return false
		}
	}
	return true
}

// Claim is what a door asks a voter for.
type Claim struct {
	_     struct{} `cbor:",toarray"`
	ID    membership.ID
	Seq   uint32 // grows with each claim of a process
	Seats Set    // that it holds or wants; others are free of it
}

// Grant answers a Claim.
type Grant struct {
	_     struct{}      `cbor:",toarray"`
	ID    membership.ID // of the claim
	Seq   uint32
	Seats Set // to which the voter has said yes
}

// Check says what is wrong with a set that came.
func Check(doors int, s Set) error {
	if n := len(NewSet(doors)); len(s) != n {
		return fmt.Errorf("set of seats of %d bytes, not %d", len(s), n)
	}
	if rest := doors * Each(doors) % 8; rest > 0 && s[len(s)-1]>>rest != 0 {
		return fmt.Errorf("set with a seat that is not there")
	}
	return nil
}

// Voter says yes or no. Not every door has one that is asked.
type Voter struct {
	doors int
	from  time.Duration // it says yes from then on
	seats []seat
	heard []claimant
}

type seat struct {
	rank      int
	id        membership.ID
	until     time.Duration
	homeAsked time.Duration // when its own door last asked for it in vain; 0: not
}

type claimant struct {
	id  membership.ID
	seq uint32
}

// NewVoter makes one that has just started.
func NewVoter(doors int, now time.Duration) *Voter {
	return &Voter{doors: doors, from: now + hold, seats: make([]seat, doors*Each(doors)), heard: make([]claimant, doors)}
}

// Asked takes a claim that has passed Check. It returns false for one that is older than another of its door.
func (v *Voter) Asked(now time.Duration, rank int, c Claim) (Grant, bool) {
	h := &v.heard[rank]
	if c.ID.Before(h.id) || c.ID == h.id && c.Seq <= h.seq {
		return Grant{}, false
	}
	h.id, h.seq = c.ID, c.Seq
	g := Grant{ID: c.ID, Seq: c.Seq, Seats: NewSet(v.doors)}
	if now < v.from {
		return g, true
	}
	each := Each(v.doors)
	for i := range v.seats {
		s := &v.seats[i]
		mine := s.rank == rank && s.id == c.ID && now < s.until
		home := i/each == rank
		switch {
		case !c.Seats.Has(i):
			if mine {
				s.until = 0
			}
			if home {
				s.homeAsked = 0
			}
			continue
		case now < s.until && !mine: // another door's, or an earlier process's of this one
			if home {
				s.homeAsked = now
			}
			continue
		case !home && s.homeAsked > 0 && now-s.homeAsked < Lease: // its own door goes first
			continue
		}
		if home {
			s.homeAsked = 0
		}
		s.rank, s.id, s.until = rank, c.ID, now+hold
		g.Seats.Add(i)
	}
	return g, true
}

// Holder is a door that holds seats.
type Holder struct {
	doors, rank int
	id          membership.ID
	seq         uint32
	sent        []time.Duration // when the last claims went out, by seq, round
	wants       Set             // what the last claim named
	ceased      Set             // what is not used any more, though claims may still name it
	since       []uint32        // by seat: the first claim since which it has been named without a break
	yes         [][]uint32      // by voter and seat: the last claim that the voter said yes to
	claimAt     time.Duration   // of the last; one that changes what is wanted waits for half of ClaimEvery only
}

// remembered is how many claims a grant may be late by.
const remembered = 16

// NewHolder makes a door that holds nothing.
func NewHolder(doors, rank int, id membership.ID) *Holder {
	h := &Holder{doors: doors, rank: rank, id: id, sent: make([]time.Duration, remembered), wants: NewSet(doors), ceased: NewSet(doors), since: make([]uint32, doors*Each(doors))}
	for range Voters(doors) {
		h.yes = append(h.yes, make([]uint32, doors*Each(doors)))
	}
	return h
}

// Wanted is what a door asks for, by what it takes the others to be: its own seats, and those of doors that are gone, dealt out evenly
// to those that are there. Gone says of a door that its seats are to be used by others; there, that it uses some.
func Wanted(doors, rank int, gone, there func(rank int) bool) Set {
	each, want := Each(doors), NewSet(doors)
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

// Cease takes seats that are not wanted any more out of what is held, and says whether there were such: then Claim is to be called with
// the new wish only when nobody uses them.
func (h *Holder) Cease(now time.Duration, want Set) (some bool) {
	for i := range h.since {
		if h.wants.Has(i) && !want.Has(i) && !h.ceased.Has(i) {
			some = some || h.until(i, now) > 0
			h.ceased.Add(i)
		}
	}
	return some
}

// Wants is what the last claim named.
func (h *Holder) Wants() Set { return h.wants }

// Claim says what to ask all voters for now; false: nothing is due. What is no longer wanted is not held from now on.
func (h *Holder) Claim(now time.Duration, want Set) (Claim, bool) {
	changed := string(want) != string(h.wants)
	if due := h.claimAt + ClaimEvery; h.seq > 0 && !empty(want) && (now < due && !changed || now < due-ClaimEvery/2) {
		return Claim{}, false
	}
	h.claimAt = now
	h.seq++
	h.sent[h.seq%remembered] = now
	for i := range h.since {
		if want.Has(i) && (!h.wants.Has(i) || h.ceased.Has(i)) {
			h.since[i] = h.seq
		}
	}
	h.wants = append(h.wants[:0], want...)
	h.ceased = NewSet(h.doors)
	return Claim{ID: h.id, Seq: h.seq, Seats: append(Set(nil), want...)}, true
}

// Drop gives all up: nothing is held from now on.
func (h *Holder) Drop() { h.wants, h.ceased = NewSet(h.doors), NewSet(h.doors) }

// Renamed goes on as another process: what the former one had is not held any more.
func (h *Holder) Renamed(id membership.ID) {
	h.Drop()
	h.id = id
}

// Granted takes a voter's answer, that has passed Check.
func (h *Holder) Granted(voter int, g Grant) {
	if g.ID != h.id || g.Seq > h.seq || h.seq-g.Seq >= remembered || voter < 0 || voter >= len(h.yes) {
		return
	}
	for i, seq := range h.yes[voter] {
		if g.Seats.Has(i) && g.Seq > seq {
			h.yes[voter][i] = g.Seq
		}
	}
}

// until is when a seat's lease ends: that which the last of the first majority gave.
func (h *Holder) until(i int, now time.Duration) time.Duration {
	if !h.wants.Has(i) || h.ceased.Has(i) {
		return 0
	}
	need := len(h.yes)/2 + 1
	best := time.Duration(0)
	for _, a := range h.yes { // few voters
		end := h.end(a[i], i)
		if end <= best {
			continue
		}
		n := 0
		for _, b := range h.yes {
			if h.end(b[i], i) >= end {
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

// end is when what a voter said yes to ends.
func (h *Holder) end(seq uint32, seat int) time.Duration {
	if seq == 0 || seq < h.since[seat] || h.seq-seq >= remembered {
		return 0
	}
	return h.sent[seq%remembered] + Lease
}

// Held is how many seats are held now, and until when at least all of them.
func (h *Holder) Held(now time.Duration) (seats int, until time.Duration) {
	for i := range h.since {
		if u := h.until(i, now); u > 0 {
			if seats++; until == 0 || u < until {
				until = u
			}
		}
	}
	return seats, until
}

// Has says whether one seat is held now.
func (h *Holder) Has(i int, now time.Duration) bool { return h.until(i, now) > 0 }

// Part is what the seats held are of all, and until when.
func (h *Holder) Part(now time.Duration) (part float64, until time.Duration) {
	n, until := h.Held(now)
	return float64(n) / float64(len(h.since)), until
}
