package balancer

import (
	"time"
)

const (
	retryWriteMargin = 20 * time.Millisecond // a repeat is written whole so long before its window ends
)

// canRetryOn says whether a request that may have run can go to a server (rule 2).
func (b *Balancer) canRetryOn(req *request, ep *endpoint) bool {
	if !req.mayHaveRun {
		return true
	}
	class := &b.settings.Classes[req.class]
	if class.Idempotency != IdempotentByKey {
		return class.Idempotency == Idempotent
	}
	return b.now < b.retryDeadline(req) && (class.DedupScope == DedupAll ||
		ep.zone == req.firstRunOn.zone && (class.DedupScope == DedupZone || ep.cell == req.firstRunOn.cell))
}

// retryDeadline is when the window ends in which a repeat of a keyed request is known for one, less its way there.
func (b *Balancer) retryDeadline(req *request) time.Duration {
	return req.firstRunAt + b.settings.Classes[req.class].DedupWindow - retryWriteMargin
}

// retry sends a request on again where its class allows it and an answer could still be in time.
func (b *Balancer) retry(req *request) {
	if len(req.attempts) >= req.maxAttempts ||
		(b.now-req.arrivedAt).Seconds()+b.expectedLatency(req, nil) >= req.timeLimit.Seconds() {
		b.reject(req, 0, RetryNotPossible)
		return
	}
	b.assign(req)
}
