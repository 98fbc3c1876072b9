package balancer

import "time"

// setDeadlineTimer sets the timer that rejects a request if it has no final answer at its deadline. It fires one
// resolution early, so that the answer is not late.
func (b *Balancer) setDeadlineTimer(req *request) {
	b.emit(SetTimer{At: req.deadline() - b.settings.Resolution, Cookie: requestCookie(req.id)})
}

// handleRequestTimer ends an admitted request whose hold time is over, or rejects one whose deadline has come. A
// stream that has started goes on.
func (b *Balancer) handleRequestTimer(req *request) {
	switch {
	case req.admitted && b.now >= req.holdUntil:
		b.finish(req)
	case !req.admitted && !req.streaming:
		b.reject(req, 0, DeadlineExceeded)
	}
}

// reject gives a request its final answer: Reject if that is true, that is if it had no effect or repeating it is
// harmless, else Fail. retryAfter is the pause advised to the client; 0: none.
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

// canReject reports whether a client may repeat the request without the risk of a second effect.
func (b *Balancer) canReject(req *request) bool {
	if !req.attempts.mayHaveRun && req.attempts.open == 0 {
		return true
	}
	class := &b.settings.Classes[req.class]
	switch class.Idempotency {
	case NonIdempotent:
		return false
	case IdempotentByKey:
		// The client's repeat may reach any endpoint.
		return class.DedupScope == DedupAll
	default:
		return true
	}
}
