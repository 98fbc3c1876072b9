package balancer

import "time"

// retryWriteMargin is how long before its deduplication window ends the retry of a request must be written.
const retryWriteMargin = 20 * time.Millisecond

// retry places a request again whose attempt failed, if it may have another attempt and an answer could be in time.
func (b *Balancer) retry(req *request) {
	if !req.attempts.canAdd() || !b.hasTimeForAttempt(req) {
		b.reject(req, 0, RetryNotPossible)
		return
	}
	b.assign(req)
}

// hasTimeForAttempt reports whether an attempt that goes out now can be expected to be answered in time.
func (b *Balancer) hasTimeForAttempt(req *request) bool {
	return req.waited(b.now).Seconds()+b.expectedLatency(req, nil) < req.timeLimit.Seconds()
}

// canRetryOn reports whether an attempt of a request may go to an endpoint without the risk of a second effect. A
// request that has not run may go to any. One with an idempotency key may go to the endpoints that would recognize
// it, until their deduplication window ends.
func (b *Balancer) canRetryOn(req *request, ep *endpoint) bool {
	if !req.attempts.mayHaveRun {
		return true
	}
	class := &b.settings.Classes[req.class]
	switch class.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		return b.now < b.retryDeadline(req) && isInDedupScope(class.DedupScope, req.attempts.firstRunOn, ep)
	default:
		return false
	}
}

// isInDedupScope reports whether an endpoint recognizes a request that another one has run.
func isInDedupScope(scope DedupScope, ranOn, ep *endpoint) bool {
	switch {
	case scope == DedupAll:
		return true
	case ep.zone != ranOn.zone:
		return false
	default:
		return scope == DedupZone || ep.cell == ranOn.cell
	}
}

// retryDeadline is when the last retry of a request with an idempotency key may be written.
func (b *Balancer) retryDeadline(req *request) time.Duration {
	return req.attempts.firstRunAt + b.settings.Classes[req.class].DedupWindow - retryWriteMargin
}
