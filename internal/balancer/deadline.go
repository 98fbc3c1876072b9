package balancer

import (
	"time"
)

// reject gives the final answer: a refusal where the rules let it be said, else a failure (rule 2).
func (b *Balancer) reject(req *request, pause time.Duration, why Reason) {
	if req.ended {
		return
	}
	class := &b.settings.Classes[req.class]
	mayHaveRun := req.mayHaveRun || req.attemptsOut > 0
	b.finish(req)
	if mayHaveRun &&
		(class.Idempotency == NonIdempotent || class.Idempotency == IdempotentByKey && class.DedupScope != DedupAll) {
		b.emit(Fail{req.id, why})
	} else {
		if !b.settings.SendRetryAfter {
			pause = 0
		}
		b.emit(Reject{req.id, min(pause, b.settings.MaxRetryAfter), why})
	}
	b.forgetIfDone(req)
}
