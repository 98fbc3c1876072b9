package balancer

import "time"

// setDeadlineTimer sets the timer that rejects a request that has no final answer by its answer deadline. The timer is
// set one timer resolution early, so that the rejection itself is not late.
func (b *Balancer) setDeadlineTimer(req *request) {
	b.emit(SetTimer{At: req.answerDeadline() - b.settings.Resolution, Cookie: requestCookie(req.id)})
}

// handleRequestTimer finishes an admitted request whose hold time has passed, or rejects a request at its answer
// deadline. A response that has begun continues until the client's deadline, and one that is streaming to its end.
func (b *Balancer) handleRequestTimer(req *request) {
	switch {
	case req.admitted && b.now >= req.holdUntil:
		b.finish(req)
	case !req.admitted && !req.streaming && !b.mayCompleteResponse(req):
		b.reject(req, 0, DeadlineExceeded)
	}
}

// mayCompleteResponse reports whether a response to a request has begun and there is time left to complete it.
func (b *Balancer) mayCompleteResponse(req *request) bool {
	return req.attempts.hasBegunResponse() && b.now < req.clientDeadline()-b.settings.Resolution
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
