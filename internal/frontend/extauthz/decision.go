package extauthz

import (
	"math"
	"time"

	"gapgap/internal/decisioncache"
	"gapgap/internal/proxy"
)

const (
	// answerGrace is how long a handler waits after a check's timeout, so that the pool's proxy can still answer. It is
	// also how long the task of an end call may wait until an event loop's queue accepts it.
	answerGrace = 100 * time.Millisecond
	// minRejectionTTL is the minimum time for which repeats of a rejected check get the same answer. Web proxies retry
	// at once; a client that honors Retry-After retries later, and its check is decided again.
	minRejectionTTL = 250 * time.Millisecond
	// untilCacheLimit is the TTL of a decision that is cached for as long as decisioncache.Config.MaxTTL allows.
	untilCacheLimit = time.Duration(math.MaxInt64)
)

// decision is the decision of a check. It has no pointers, as the decision cache holds many of them.
type decision struct {
	outcome    proxy.Outcome
	retryAfter time.Duration
	// decidedAt is on the event loop's clock.
	decidedAt time.Duration
	quota     proxy.Quota
	// requestID is the number of an admitted request, for its end call.
	requestID uint64
	// unavailable is true if the check could not be decided. The outcome then says nothing about the account's quota.
	unavailable bool
	// policyVersion is the number of the policy version that applied when the request was submitted, or 0.
	policyVersion uint64
}

// decide returns the decision of a check. The check's pool must be acquired; it is released here, in joinKnown or by
// the pool's proxy. ok is false if there was no decision within the check's timeout and answerGrace, or if the pool's
// event loop has ended.
func (f *Frontend) decide(c *check) (d decision, ok bool) {
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
			// The loop may have decided the check before it ended.
			select {
			case decided := <-c.done:
				return decided, true
			default:
				return decision{}, false
			}
		}
	}
}

// submit submits the check to the pool's proxy unless joinKnown has handled it. It runs as a task of the event loop.
func (c *check) submit() {
	if c.hasKey && c.joinKnown() {
		return
	}
	c.pool.proxy.Submit(&c.Request)
}

// joinKnown looks the check up in the decision cache and returns true if it needs no decision of its own: it repeats a
// check that is pending or decided, or it was repeated too often and is rejected. It is not charged in these cases, and
// the pool is released.
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

// Forward implements [proxy.Client]. Admission-only requests are not forwarded.
func (c *check) Forward(time.Duration) []byte {
	return nil
}

// Answer implements [proxy.Client]. It sends the decision to the handlers of the check and of its repeats.
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

// decisionTTL returns how long repeats of a check get the same answer; the decision cache may limit it further. A
// repeat of a check that could not be decided is decided by itself.
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
