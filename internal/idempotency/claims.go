// Package idempotency decides which request alone may go out by an idempotency key, over all front doors of a fleet: a [Door] asks the voters for the key, and
// goes on when a majority has said yes; a [Voter] says yes to one request for each key, once that outlives a power loss, and no to any other for as long as
// keys are remembered. Two majorities share a voter, so two requests are never let out by one key, whatever is lost, late or doubled on the way, and
// whoever is cut off or has lost power.
//
// It does no input or output; the time is handed in, from a clock that runs on while a process is stopped. Neither type is safe for concurrent use.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"slices"
	"time"
)

// Key is what a request is known by: a hash of its customer, class and idempotency key.
type Key [16]byte

// KeyOf makes one.
func KeyOf(parts ...string) (k Key) {
	h := sha256.New()
	for _, p := range parts {
		h.Write(binary.AppendUvarint(nil, uint64(len(p))))
		h.Write([]byte(p))
	}
	copy(k[:], h.Sum(nil))
	return k
}

// Ticket is one request's claim: the process that has it, by a random number, and a number there.
type Ticket struct {
	Process uint64 `cbor:"1,keyasint"`
	N       uint64 `cbor:"2,keyasint"`
}

// Said is a voter's answer.
type Said uint8

const (
	Yes  Said = iota + 1
	Held      // another request has the key, or had it and may have run
	Full      // the voter remembers as many keys as it may
	Gone      // a release is noted
)

// Ask is what a door asks of a voter: to claim a key, or to give it back.
type Ask struct {
	Key     Key    `cbor:"1,keyasint"`
	N       uint64 `cbor:"2,keyasint"`
	Release bool   `cbor:"3,keyasint,omitempty"`
}

// Answer is a voter's.
type Answer struct {
	N    uint64 `cbor:"1,keyasint"`
	Said Said   `cbor:"2,keyasint"`
}

// Out is an ask that a door has for a voter.
type Out struct {
	To  int // rank
	Ask Ask
}

// Verdict is what became of a claim.
type Verdict int

const (
	Won     Verdict = iota // the request alone may go out
	Lost                   // another one by its key may have run
	Crowded                // voters have no room for more keys
)

func (v Verdict) String() string { return [...]string{"won", "lost", "crowded"}[v] }

// Result ends the wait of a claim.
type Result struct {
	N       uint64
	Verdict Verdict
}

// Times and bounds of a door.
const (
	askFirst    = 40 * time.Millisecond // until an ask is said again ...
	askLast     = 500 * time.Millisecond
	releaseFor  = 5 * time.Second // as long as a release is said again
	MostClaims  = 16384           // of a door at once, releases among them
	mostVoters  = 8
	releaseRoom = MostClaims / 2 // of them that releases may take
)

// Door is one door's claims.
type Door struct {
	process uint64
	voters  []int
	last    uint64
	open    map[uint64]*claim
	gives   int // of open, that are releases
}

type claim struct {
	key           Key
	said          [mostVoters]Said
	over          bool // it has its verdict
	giving        bool // it is being given back ...
	until         time.Duration
	nextAt, pause time.Duration
	won           bool
}

// NewDoor makes a door of a process, which has a random number of its own.
func NewDoor(process uint64, voters []int) *Door {
	return &Door{process: process, voters: voters, open: map[uint64]*claim{}}
}

// Process is the process's number.
func (d *Door) Process() uint64 { return d.process }

// Open is how many claims are under way or held, and how many are being given back.
func (d *Door) Open() (claims, releases int) { return len(d.open) - d.gives, d.gives }

// ErrMany says that a door has as many claims as it may.
var ErrMany = errors.New("too many claims are under way")

// Begin claims a key. What is to be asked comes from Tick.
func (d *Door) Begin(now time.Duration, key Key) (n uint64, err error) {
	if len(d.open) >= MostClaims {
		return 0, ErrMany
	}
	d.last++
	d.open[d.last] = &claim{key: key, nextAt: now, pause: askFirst}
	return d.last, nil
}

// Heard takes a voter's answer. A result comes once.
func (d *Door) Heard(now time.Duration, from int, a Answer) (r Result, ok bool) {
	c, i := d.open[a.N], slices.Index(d.voters, from)
	if c == nil || i < 0 {
		return r, false
	}
	if c.giving {
		if a.Said == Gone {
			c.said[i] = Gone
			d.given(now, a.N, c)
		}
		return r, false
	}
	if c.over || a.Said == Gone || c.said[i] == Yes {
		return r, false
	}
	c.said[i] = a.Said
	yes, held, full := 0, 0, 0
	for _, s := range c.said[:len(d.voters)] {
		switch s {
		case Yes:
			yes++
		case Held:
			held++
		case Full:
			full++
		}
	}
	majority := len(d.voters)/2 + 1
	switch {
	case yes >= majority:
		c.over, c.won = true, true
		return Result{a.N, Won}, true
	case len(d.voters)-held-full >= majority:
		return r, false
	case held > 0:
		r = Result{a.N, Lost}
	default:
		r = Result{a.N, Crowded}
	}
	c.over = true
	d.give(now, a.N, c)
	return r, true
}

// End ends a claim, whether it was won, lost or waited for. ran says that an attempt of the request may have run: then the key stays claimed.
func (d *Door) End(now time.Duration, n uint64, ran bool) {
	c := d.open[n]
	switch {
	case c == nil || c.giving:
	case ran:
		delete(d.open, n)
	default:
		d.give(now, n, c)
	}
}

// give begins to give a claim back. Where too many are given back already it is not: its key stays claimed until it is forgotten.
func (d *Door) give(now time.Duration, n uint64, c *claim) {
	if d.gives >= releaseRoom {
		delete(d.open, n)
		return
	}
	d.gives++
	c.giving, c.until, c.nextAt, c.pause = true, now+releaseFor, now, askFirst
	c.said = [mostVoters]Said{}
}

func (d *Door) given(now time.Duration, n uint64, c *claim) {
	for _, s := range c.said[:len(d.voters)] {
		if s != Gone && now < c.until {
			return
		}
	}
	delete(d.open, n)
	d.gives--
}

// Tick returns what is to be asked now.
func (d *Door) Tick(now time.Duration) (outs []Out) {
	for n, c := range d.open {
		if now < c.nextAt || c.over && !c.giving {
			continue
		}
		if c.giving && now >= c.until {
			d.given(now, n, c)
			continue
		}
		for i, v := range d.voters {
			if c.giving && c.said[i] != Gone || !c.giving && c.said[i] != Yes {
				outs = append(outs, Out{v, Ask{c.key, n, c.giving}})
			}
		}
		c.nextAt = now + c.pause
		c.pause = min(2*c.pause, askLast)
	}
	return outs
}

// Due is when Tick has something to say at the earliest; false: nothing is under way.
func (d *Door) Due() (at time.Duration, ok bool) {
	for _, c := range d.open {
		if (!c.over || c.giving) && (!ok || c.nextAt < at) {
			at, ok = c.nextAt, true
		}
	}
	return at, ok
}
