package proxy

import (
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/stats"
	"gapgap/internal/trace"
)

// Outcome is the kind of a final answer.
type Outcome int

// Outcomes. The trace tells them by their numbers.
const (
	// Served comes with Answer.Value, or with a value that was streamed.
	Served Outcome = iota
	// Rejected promises that the request had no effect; it may be sent again after Answer.RetryAfter.
	Rejected
	// Failed makes no promise about the effect.
	Failed
	// TimedOut is Failed since no decision came in time.
	TimedOut
	// Duplicate means that another open request has the same id; nothing was done.
	Duplicate
	// Admitted answers a request with AdmitOnly.
	Admitted
)

// statsOutcome returns how operators count an outcome.
func (o Outcome) statsOutcome() stats.Outcome {
	switch o {
	case Served, Admitted:
		return stats.Fulfilled
	case Rejected:
		return stats.Throttled
	}
	return stats.Faulted
}

// Answer is a request's final answer.
type Answer struct {
	Outcome Outcome
	// Value is, with Served, the value as a RESP2 bulk string.
	Value []byte
	// RetryAfter is, with Rejected, how long to stay away; 0: no advice.
	RetryAfter time.Duration
	// Quota is told with the answers to requests with AdmitOnly.
	Quota Quota
	// Version is that of the policy by which the request was taken in; 0: not told.
	Version uint64
	// Unavailable says, with Rejected, that nothing could be decided, by no fault of the customer's.
	Unavailable bool

	reason balancer.Reason
}

// Quota is how the customer stands with its plan's quota.
type Quota struct {
	balancer.QuotaStatus
	// Told says that the status is known and that there is such a quota.
	Told bool
}

// answer gives a request its final answer, once.
func (p *Proxy) answer(request *Request, answer Answer) {
	if request == nil || request.ended {
		return
	}
	if request.AdmitOnly {
		answer.Quota.QuotaStatus, answer.Quota.Told = p.balancer.QuotaStatus(request.Customer)
	}
	answer.Version = request.policyVersion
	p.finish(request)
	request.counters.Ended(answer.Outcome.statsOutcome())
	took := p.Now() - request.At
	if p.OnAnswer != nil {
		p.OnAnswer(request.Class, answer.Outcome, took)
	}
	if p.Trace.On() {
		p.Trace.Line("end",
			"id=%d class=%d plan=%d customer=%s retry=%t verdict=%d why=%s took=%.1f pause=%.0f tries=%d",
			request.id, request.Class, request.Plan, request.Customer, request.ClientRetry, answer.Outcome,
			answer.reason,
			trace.MS(took), trace.MS(answer.RetryAfter), len(request.attempts))
	}
	request.Client.Answer(answer)
}
