package proxy

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"gapgap/internal/balancer"
)

// DecisionLease says until when a core may decide requests, and by which version of the policy. Many cores may share one. Any goroutine may change
// it; a core looks at it with each request that it takes in.
type DecisionLease struct{ until atomic.Int64 }

// Unbounded is a right to decide that no time ends.
const Unbounded = time.Duration(math.MaxInt64)

// NewDecisionLease makes one that lets nothing be decided yet.
func NewDecisionLease() *DecisionLease { return &DecisionLease{} }

// Extend sets until when cores may decide, on their clock. Where that is later than it was, [Proxy.Resume] follows.
func (g *DecisionLease) Extend(t time.Duration) { g.until.Store(int64(t)) }

// IsValid says whether requests may be decided at a time.
func (g *DecisionLease) IsValid(now time.Duration) bool {
	return g == nil || now < time.Duration(g.until.Load())
}

// bounded says that the time has to be looked at.
func (g *DecisionLease) bounded() bool { return g != nil && g.until.Load() != int64(Unbounded) }

// StartupBarrier has cores refuse all requests at once, until Open. Many cores may share one. Any goroutine may use it.
type StartupBarrier struct {
	pause atomic.Pointer[func() time.Duration]
}

// NewStartupBarrier makes one that is closed: clients are told to come back after what a function says, which any goroutine calls.
func NewStartupBarrier(pause func() time.Duration) *StartupBarrier {
	c := &StartupBarrier{}
	c.pause.Store(&pause)
	return c
}

// Open ends it for good.
func (c *StartupBarrier) Open() { c.pause.Store(nil) }

// told is what a client is to be told; false: requests are taken.
func (c *StartupBarrier) told() (time.Duration, bool) {
	if c == nil {
		return 0, false
	}
	p := c.pause.Load()
	if p == nil {
		return 0, false
	}
	return (*p)(), true
}

// mostHeld bounds the requests that wait until the core may decide again; further ones are refused.
const mostHeld = 4096

// heldMargin is left of a request's time when it is refused for having waited in vain.
const heldMargin = 20 * time.Millisecond

// lapsePause is what a client is told that was refused since the right to decide had ended.
const lapsePause = 250 * time.Millisecond

// PolicyVersion is the version of the policy by which requests are decided now. Any goroutine may call it.
func (c *Proxy) PolicyVersion() uint64 { return c.version.Load() }

// SetPolicyVersion sets it, from any goroutine, for requests that are taken in from here on. done is called then.
func (c *Proxy) SetPolicyVersion(version uint64, done func()) {
	c.Post(func() {
		c.version.Store(version)
		if done != nil {
			done()
		}
	})
}

// Resume takes in what was held while the core could not decide, from any goroutine.
func (c *Proxy) Resume() {
	c.Post(func() {
		held := c.held
		c.held = nil
		for _, r := range held {
			r.overdue.Stop()
			if !r.ended {
				c.Submit(r)
			}
		}
	})
}

// RejectHeld refuses what is held, from any goroutine: another core has come in this one's place.
func (c *Proxy) RejectHeld() {
	c.Post(func() {
		held := c.held
		c.held = nil
		for _, r := range held {
			r.overdue.Stop()
			c.declineFor(r, Rejected, lapsePause)
		}
	})
}

// shelve keeps a request that can't be decided now, for as long as its client waits.
func (c *Proxy) shelve(r *Request) {
	if len(c.held) >= mostHeld {
		c.declineFor(r, Rejected, lapsePause)
		return
	}
	c.held = append(c.held, r)
	r.overdue = c.At(r.At+r.Timeout-heldMargin, func() {
		if i := slices.Index(c.held, r); i >= 0 {
			c.held = slices.Delete(c.held, i, i+1)
			c.declineFor(r, Rejected, lapsePause)
		}
	})
}

// lapse refuses what came in time and is not decided yet, once the right to decide is over: nothing may be let in by it any more.
func (c *Proxy) lapse() {
	if !c.DecisionLease.bounded() || c.DecisionLease.IsValid(c.Now()) {
		c.lapsed = false
		return
	}
	if c.lapsed {
		return
	}
	c.lapsed = true
	for _, r := range c.requests {
		if !r.ended && len(r.attempts) == 0 {
			r.leaving = true // it is kept until the Door has heard
			c.leaving = append(c.leaving, r)
			c.answer(r, Answer{Outcome: Rejected, RetryAfter: lapsePause, Unavailable: true})
			c.Enqueue(balancer.RequestDone{ID: r.id})
		}
	}
}
