package proxy

import (
	"time"

	"gapgap/internal/balancer"
)

// Reservation is what became of a claim of a key.
type Reservation int

const (
	Won     Reservation = iota // the request alone may go out by its key
	Held                       // another request by the key may have run
	Crowded                    // there is no place for it now
)

const (
	claimWithin = 500 * time.Millisecond // a claim that has come to nothing by then ends its request as refused
	claimPause  = 250 * time.Millisecond // what its client is told
)

// claim is where a request stands with its key.
type claim struct {
	state int
	n     uint64   // 0: there is none
	waits *attempt // goes out once it is won
	ran   bool     // an attempt that was given to the connections may have run
}

const (
	unclaimed = iota
	claiming
	won
	unwon
)

// claimFor claims the key of an attempt's request, and sends the attempt once that is won. Nothing has gone out until then, so a request that does not get
// its key in time is refused.
func (c *Proxy) claimFor(a *attempt) {
	r := a.r
	r.claim.waits = a
	if r.claim.state != unclaimed {
		return // its answer is on its way
	}
	r.claim.state = claiming
	r.claim.n = c.KeyReserver.Claim(c.Rules().Classes[r.Class], r.Customer, r.Key, func(was Reservation) {
		if task := func() { c.claimed(r, was) }; !c.PostUntil(task, noPlace) {
			go c.Post(task)
		}
	})
	if r.claim.n == 0 {
		c.claimed(r, Crowded)
		return
	}
	c.At(min(r.due, c.Now()+claimWithin), func() { c.claimed(r, Crowded) })
}

// noPlace has nobody wait for a place in a queue.
var noPlace = func() chan struct{} { ch := make(chan struct{}); close(ch); return ch }()

// claimed takes what became of a claim.
func (c *Proxy) claimed(r *Request, was Reservation) {
	if r.claim.state != claiming {
		return
	}
	if r.claim.state = unwon; was == Won {
		r.claim.state = won
	}
	a := r.claim.waits
	switch {
	case r.ended:
	case was == Held:
		c.answer(r, Answer{Outcome: Failed, why: balancer.RetryNotPossible})
	case was == Crowded:
		c.answer(r, Answer{Outcome: Rejected, RetryAfter: claimPause, Unavailable: true})
	case a != nil:
		r.claim.waits = nil
		if a.At = c.Now(); a.Until <= a.At {
			a.End(balancer.NotSent)
			return
		}
		a.given = true
		c.upstream.Send(&a.Attempt)
	}
}
