package extauthz

import (
	"math"
	"time"

	"gapgap/internal/decisioncache"
	"gapgap/internal/proxy"
)

const (
	// answerGrace is how long a handler waits beyond a check's timeout, for the proxy's own last answer. It is also how
	// long the task of an end call may wait for a place in an event loop's queue.
	answerGrace = 100 * time.Millisecond
	// minRejectionTTL is how long repeats of a rejected check get the same answer at least. A proxy's retry comes at
	// once; a client that heeds Retry-After comes later, with a check that is decided anew.
	minRejectionTTL = 250 * time.Millisecond
	// untilCacheLimit is the TTL of a decision that is kept for as long as decisioncache.Config.MaxTTL allows.
	untilCacheLimit = time.Duration(math.MaxInt64)
)

// decision is what was decided for a check. It has no pointers since the decision cache has many of them.
type decision struct {
	outcome    proxy.Outcome
	retryAfter time.Duration
	// decidedAt is on the event loop's clock.
	decidedAt time.Duration
	quota     proxy.Quota
	// requestID is the number of an admitted request, for its end call.
	requestID uint64
	// unavailable is true if nothing could be decided: the outcome is then no judgment on the account's quota.
	unavailable bool
	// policyVersion is the number of the policy version that the request was submitted under; 0: there is none.
	policyVersion uint64
}

// decide returns the decision for a check. Its pool is acquired; it is released here, by submit or by the pool's proxy.
// ok is false if there was no decision within the check's timeout and answerGrace, or if the pool's event loop has
// ended.
func (f *Front) decide(c *check) (d decision, ok bool) {
	owner := c.pool.proxy
	deadline := c.At + c.Timeout + answerGrace
	if !f.post(owner, c.submit, deadline) {
		owner.Release()
		return decision{}, false
	}
	for {
		select {
		case decided := <-c.done:
			return decided, true
		case <-f.shared.nextTick():
			if f.env.Now() >= deadline {
				return decision{}, false
			}
		case <-owner.Done():
			// The decision may have been the loop's last.
			select {
			case decided := <-c.done:
				return decided, true
			default:
				return decision{}, false
			}
		}
	}
}

// submit hands the check to the pool's proxy unless joinKnown has dealt with it. It is a task of the event loop.
func (c *check) submit() {
	if c.hasKey && c.joinKnown() {
		return
	}
	c.pool.proxy.Submit(&c.Request)
}

// joinKnown looks the check up in the decision cache and returns true if it is not to be decided by itself: it repeats
// one that is pending or decided, or it was repeated too often and is rejected. It is not charged then, and the pool is
// released.
func (c *check) joinKnown() bool {
	p := c.pool
	stats := &p.shared.Stats
	now := p.proxy.Coarse()
	entry, state := p.decisions.Lookup(now, c.Customer, c.key, c)
	switch state {
	case decisioncache.Pending:
		stats.Repeated.Add(1)
		p.proxy.Release()
		return true
	case decisioncache.Hit:
		stats.Repeated.Add(1)
		p.proxy.Release()
		d := p.decisions.Decision(entry)
		d.retryAfter = max(0, d.retryAfter-(now-d.decidedAt))
		c.done <- d
		return true
	case decisioncache.Exhausted:
		stats.Exhausted.Add(1)
		p.proxy.Release()
		c.done <- decision{
			outcome:    proxy.Rejected,
			retryAfter: max(minRejectionTTL, p.decisions.TTL(now, entry)),
			decidedAt:  now,
		}
		return true
	case decisioncache.Untracked:
		stats.Untracked.Add(1)
	case decisioncache.Miss:
		c.entry = entry
		c.tracked = true
	}
	return false
}

// Forward implements [proxy.Client]. An admission-only request is not forwarded.
func (c *check) Forward(time.Duration) []byte {
	return nil
}

// Answer implements [proxy.Client]. It passes the decision on to the check's handler and to those of its repeats.
func (c *check) Answer(answer proxy.Answer) {
	p := c.pool
	d := decision{
		outcome:       answer.Outcome,
		retryAfter:    answer.RetryAfter,
		decidedAt:     p.proxy.Coarse(),
		quota:         answer.Quota,
		unavailable:   answer.Unavailable,
		policyVersion: answer.Version,
	}
	if answer.Outcome == proxy.Admitted {
		d.requestID = p.shared.lastRequestID.Add(1)
		p.trackInFlight(d.requestID, &c.Request, d.decidedAt)
	}
	c.done <- d
	if !c.tracked {
		return
	}
	for _, repeat := range p.decisions.Complete(d.decidedAt, c.entry, d, decisionTTL(answer)) {
		repeat.done <- d
	}
}

// decisionTTL returns how long repeats of a check get the same answer; the decision cache may bound it further. A
// repeat of a check that could not be decided is decided anew.
func decisionTTL(answer proxy.Answer) time.Duration {
	switch {
	case answer.Outcome == proxy.Admitted:
		return untilCacheLimit
	case answer.Outcome == proxy.Rejected && !answer.Unavailable:
		return max(minRejectionTTL, answer.RetryAfter)
	default:
		return 0
	}
}
