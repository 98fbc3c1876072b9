package proxy

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"gapgap/internal/balancer"
)

// DecisionLease holds the time until which requests may be decided under the current policy version. Several proxies
// may share a lease; each checks it for every request it accepts. It is safe for concurrent use. A nil DecisionLease
// never expires.
type DecisionLease struct{ until atomic.Int64 }

// Unbounded is the expiry time of a lease that never expires.
const Unbounded = time.Duration(math.MaxInt64)

// NewDecisionLease returns an expired lease.
func NewDecisionLease() *DecisionLease { return &DecisionLease{} }

// Extend sets the expiry time, on the clock of the proxies. If the new time is later, the caller must then call
// Proxy.Resume.
func (l *DecisionLease) Extend(until time.Duration) { l.until.Store(int64(until)) }

// IsValid reports whether requests may be decided at the given time.
func (l *DecisionLease) IsValid(now time.Duration) bool {
	return l == nil || now < time.Duration(l.until.Load())
}

// isBounded reports whether the lease has an expiry time.
func (l *DecisionLease) isBounded() bool { return l != nil && l.until.Load() != int64(Unbounded) }

const (
	// maxHeldRequests bounds the requests that wait for the lease. Further requests are rejected.
	maxHeldRequests = 4096
	// heldMargin is the time before its deadline at which a held request is rejected, so that the answer arrives in
	// time.
	heldMargin = 20 * time.Millisecond
	// leaseExpiredRetryAfter is the retry delay for clients that are rejected because the lease has expired.
	leaseExpiredRetryAfter = 250 * time.Millisecond
)

// hold queues a request that cannot be decided now, until shortly before its deadline.
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

// Resume submits the held requests. It is safe for concurrent use.
func (p *Proxy) Resume() {
	p.Post(func() {
		for _, request := range p.takeHeld() {
			if !request.ended {
				p.Submit(request)
			}
		}
	})
}

// RejectHeld rejects the held requests, because another proxy has replaced this one. It is safe for concurrent use.
func (p *Proxy) RejectHeld() {
	p.Post(func() {
		for _, request := range p.takeHeld() {
			p.answerUnregistered(request, Rejected, leaseExpiredRetryAfter)
		}
	})
}

// takeHeld removes and returns all held requests and stops their timers.
func (p *Proxy) takeHeld() []*Request {
	held := p.held
	p.held = nil
	for _, request := range held {
		request.deadlineTimer.Stop()
	}
	return held
}

// rejectOnLeaseExpiry rejects the requests that were accepted but not dispatched before the lease expired, as nothing
// may be admitted under an expired lease.
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
