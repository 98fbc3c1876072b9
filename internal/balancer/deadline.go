package balancer

import "time"

// setDeadlineTimer sets the timer that rejects a request that has no final answer by its deadline. The timer is set one
// timer resolution early, so that the rejection itself is not late.
func (b *Balancer) setDeadlineTimer(req *request) {
	b.emit(SetTimer{At: req.deadline() - b.settings.Resolution, Cookie: requestCookie(req.id)})
}

// handleRequestTimer finishes an admitted request whose hold time has passed, or rejects a request at its deadline. A
// response that has started streaming continues.
func (b *Balancer) handleRequestTimer(req *request) {
	switch {
	case req.admitted && b.now >= req.holdUntil:
		b.finish(req)
	case !req.admitted && !req.streaming:
		b.reject(req, 0, DeadlineExceeded)
	}
}

// reject gives a request its final answer. That is Reject if the request had no effect or repeating it is harmless,
// else Fail. retryAfter is the delay that the client is advised to wait; 0 means none.
func (b *Balancer) reject(req *request, retryAfter time.Duration, reason Reason) {
	if req.ended {
		return
	}
	canReject := b.canReject(req)
	b.finish(req)
	if canReject {
		if !b.settings.SendRetryAfter {
			retryAfter = 0
		}
		b.emit(Reject{ID: req.id, RetryAfter: min(retryAfter, b.settings.MaxRetryAfter), Reason: reason})
	} else {
		b.emit(Fail{ID: req.id, Reason: reason})
	}
	b.forgetIfDone(req)
}

// canReject reports whether the client may repeat the request without risking a second effect.
func (b *Balancer) canReject(req *request) bool {
	if !req.attempts.mayHaveRun && req.attempts.open == 0 {
		return true
	}
	class := &b.settings.Classes[req.class]
	switch class.Idempotency {
	case NonIdempotent:
		return false
	case IdempotentByKey:
		// The client's retry may reach any endpoint.
		return class.DedupScope == DedupAll
	default:
		return true
	}
}
