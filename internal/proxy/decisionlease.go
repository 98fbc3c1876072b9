package proxy

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"gapgap/internal/balancer"
)

// DecisionLease says until when requests may be decided by the present version of the policy. Several proxies may share
// one; each looks at it for every request that it takes in. Any goroutine may use it. A nil DecisionLease never ends.
type DecisionLease struct{ until atomic.Int64 }

// Unbounded is the end of a lease that never ends.
const Unbounded = time.Duration(math.MaxInt64)

// NewDecisionLease returns a lease that has ended.
func NewDecisionLease() *DecisionLease { return &DecisionLease{} }

// Extend sets the end, on the proxies' clock. Where that is later than it was, the caller goes on to call Proxy.Resume.
func (l *DecisionLease) Extend(until time.Duration) { l.until.Store(int64(until)) }

// IsValid tells whether requests may be decided at a time.
func (l *DecisionLease) IsValid(now time.Duration) bool {
	return l == nil || now < time.Duration(l.until.Load())
}

// isBounded tells whether the lease has an end.
func (l *DecisionLease) isBounded() bool { return l != nil && l.until.Load() != int64(Unbounded) }

const (
	// maxHeldRequests bounds the requests that wait for the lease; further ones are rejected.
	maxHeldRequests = 4096
	// heldMargin is left of a request's time when it is rejected for having waited in vain.
	heldMargin = 20 * time.Millisecond
	// leaseExpiredRetryAfter is what a client is told that was rejected for the lapse of the lease.
	leaseExpiredRetryAfter = 250 * time.Millisecond
)

// hold keeps a request that can't be decided now, for as long as its client waits.
func (p *Proxy) hold(request *Request) {
	if len(p.held) >= maxHeldRequests {
		p.answerUnregistered(request, Rejected, leaseExpiredRetryAfter)
		return
	}
	p.held = append(p.held, request)
	request.deadlineTimer = p.At(request.At+request.Timeout-heldMargin, func() {
		if i := slices.Index(p.held, request); i >= 0 {
			p.held = slices.Delete(p.held, i, i+1)
			p.answerUnregistered(request, Rejected, leaseExpiredRetryAfter)
		}
	})
}

// Resume submits the requests that were held. Any goroutine may call it.
func (p *Proxy) Resume() {
	p.Post(func() {
		for _, request := range p.takeHeld() {
			if !request.ended {
				p.Submit(request)
			}
		}
	})
}

// RejectHeld rejects the requests that were held: another proxy has taken this one's place. Any goroutine may call it.
func (p *Proxy) RejectHeld() {
	p.Post(func() {
		for _, request := range p.takeHeld() {
			p.answerUnregistered(request, Rejected, leaseExpiredRetryAfter)
		}
	})
}

// takeHeld takes all held requests out and stops their timers.
func (p *Proxy) takeHeld() []*Request {
	held := p.held
	p.held = nil
	for _, request := range held {
		request.deadlineTimer.Stop()
	}
	return held
}

// rejectOnLeaseExpiry rejects what came in time and is not dispatched yet, once the lease has ended: nothing may be admitted
// by it any more.
func (p *Proxy) rejectOnLeaseExpiry() {
	if !p.DecisionLease.isBounded() || p.DecisionLease.IsValid(p.Now()) {
		p.leaseExpired = false
		return
	}
	if p.leaseExpired {
		return
	}
	p.leaseExpired = true
	for _, request := range p.requests {
		if request.ended || len(request.attempts) > 0 {
			continue
		}
		request.donePending = true
		p.donePending = append(p.donePending, request)
		p.answer(request, Answer{Outcome: Rejected, RetryAfter: leaseExpiredRetryAfter, Unavailable: true})
		p.Enqueue(balancer.RequestDone{ID: request.id})
	}
}
