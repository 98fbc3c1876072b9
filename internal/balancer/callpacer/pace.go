// Package callpacer says how many calls a second one of many callers may make to a service that they share, when none
// of them knows
// how many there are or how much it bears. It does no input or output and reads no clock.
//
// It is additive in spirit to congestion control by delay (TCP Vegas, Brakmo and Peterson 1995): the time that calls
// take beyond what they take at an idle service is the queue there; while that is short the rate grows, as it lengthens
// the growth ends and turns, and a call that is turned away or not answered cuts it. Calls are drawn from a bucket that
// fills at that rate, so
// calls of less worth can be held to what is left over.
package callpacer

import (
	"math"
	"time"
)

// Terms bound a Pace. All of them are positive.
type Terms struct {
	Start    float64       // calls a second at first
	Least    float64       // calls a second, however badly they go: what finds out that it is over
	Most     float64       // calls a second
	Depth    float64       // calls that the bucket holds at most, 1 at least
	Wait     time.Duration // the longest queue at the service that is aimed at
	CutEvery time.Duration // failures within this count once: those of one connection end together
}

const (
	grow    = 0.15 // of the rate, by a call that met no queue
	cut     = 0.85 // factor for a failure
	settles = 0.01 // weight of a call by which the idle service's time rises
)

// Pace is one caller's. The zero value is not ready; see New. One goroutine owns it.
type Pace struct {
	t      Terms
	rate   float64
	have   float64
	at     time.Duration // when have was last filled
	idle   time.Duration // that a call takes at an idle service
	cutAt  time.Duration
	wanted bool // a call was held back, or the bucket was low, since the rate last grew
}

// New makes a Pace with a full bucket.
func New(t Terms, now time.Duration) *Pace {
	t.Depth = max(1, t.Depth)
	return &Pace{t: t, rate: t.Start, have: t.Depth, at: now, cutAt: now - t.CutEvery}
}

// Rate is how many calls a second may be made now.
func (p *Pace) Rate() float64 { return p.rate }

// Floor changes the least rate, calls a second, as the number of callers has changed.
func (p *Pace) Floor(now time.Duration, least float64) {
	p.t.Least = least
	p.set(now, p.rate)
}

func (p *Pace) fill(now time.Duration) {
	if now > p.at {
		p.have = min(p.t.Depth, p.have+p.rate*(now-p.at).Seconds())
		p.at = now
	}
}

// May says whether a call may be made that leaves so many to others.
func (p *Pace) May(now time.Duration, leaves float64) bool {
	p.fill(now)
	if p.have >= 1+min(leaves, p.t.Depth-1)-1e-9 {
		return true
	}
	p.wanted = true
	return false
}

// Take counts a call.
func (p *Pace) Take(now time.Duration) {
	p.fill(now)
	p.have = max(-p.t.Depth, p.have-1)
	p.wanted = p.wanted || p.have < p.t.Depth/2
}

// Wait is how long until May says yes.
func (p *Pace) Wait(now time.Duration, leaves float64) time.Duration {
	p.fill(now)
	lacks := 1 + min(leaves, p.t.Depth-1) - p.have
	if lacks <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(lacks / p.rate * float64(time.Second)))
}

// Answered takes the time that an answered call took. A rate that nobody uses says nothing of the service and does not
// grow.
func (p *Pace) Answered(now, took time.Duration) {
	if p.idle == 0 || took < p.idle {
		p.idle = took
	} else {
		p.idle += time.Duration(settles * float64(took-p.idle))
	}
	queue := float64(took-p.idle) / float64(p.t.Wait)
	if g := grow * (1 - queue); g < 0 || p.wanted {
		p.set(now, p.rate*(1+max(g, cut-1)))
		p.wanted = false
	}
}

// Failed takes a call, made at a time, that was turned away or not answered.
func (p *Pace) Failed(now, made time.Duration) {
	if made-p.cutAt >= 0 && now-p.cutAt >= p.t.CutEvery {
		p.set(now, p.rate*cut)
		p.cutAt = now
	}
}

func (p *Pace) set(now time.Duration, rate float64) {
	p.fill(now)
	p.rate = min(p.t.Most, max(p.t.Least, rate))
}
