package balancer

import "time"

// retryWriteMargin is the safety margin between the latest write of a retry and the end of its deduplication window.
const retryWriteMargin = 20 * time.Millisecond

// retry assigns a request again after a failed attempt, if it has attempts left and can still be answered in time.
// Otherwise the request is rejected.
func (b *Balancer) retry(req *request) {
	if !req.attempts.canAdd() || !b.hasTimeForAttempt(req) {
		b.reject(req, 0, RetryNotPossible)
		return
	}
	b.assign(req)
}

// hasTimeForAttempt reports whether an attempt dispatched now is expected to be answered before the deadline.
func (b *Balancer) hasTimeForAttempt(req *request) bool {
	return req.waited(b.now).Seconds()+b.expectedLatency(req, nil) < req.usefulFor.Seconds()
}

// canRetryOn reports whether an attempt of a request may go to an endpoint without risking a second effect. A request
// that cannot have run may go to any endpoint. One with an idempotency key may go to endpoints that recognize it as a
// repeat, until its deduplication window ends.
func (b *Balancer) canRetryOn(req *request, ep *endpoint) bool {
	if !req.attempts.mayHaveRun {
		return true
	}
	class := &b.settings.Classes[req.class]
	switch class.Idempotency {
	case Idempotent:
		return true
	case IdempotentByKey:
		return b.now < b.retryDeadline(req) && isInDedupScope(class.DedupScope, req.attempts.firstRun.place, ep.place)
	default:
		return false
	}
}

// isInDedupScope reports whether an endpoint in one place recognizes a request that may have run in another.
func isInDedupScope(scope DedupScope, ranIn, other place) bool {
	switch {
	case scope == DedupAll:
		return true
	case ranIn.uncertain || other.uncertain || ranIn.zone != other.zone:
		return false
	default:
		return scope == DedupZone || ranIn.cell == other.cell
	}
}

// retryDeadline returns the latest time at which a retry of a request with an idempotency key may be written.
func (b *Balancer) retryDeadline(req *request) time.Duration {
	return req.attempts.firstRun.sentAt + b.settings.Classes[req.class].DedupWindow - retryWriteMargin
}
