package proxy

import (
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/stats"
	"gapgap/internal/trace"
)

// Outcome is the kind of a final answer.
type Outcome int

// The trace contains these values as numbers.
const (
	// Served means that the request succeeded. The value is in Answer.Value or was streamed.
	Served Outcome = iota
	// Rejected guarantees that the request had no effect. It may be retried after Answer.RetryAfter.
	Rejected
	// Failed gives no guarantee about the effect.
	Failed
	// TimedOut is like Failed, for a request that the Balancer did not answer by its deadline.
	TimedOut
	// Duplicate means that another open request has the same ID. Nothing was done.
	Duplicate
	// Admitted is the positive answer to a request with AdmitOnly.
	Admitted
	// Repeated means that an earlier request with the same ID may have run, and must not run again. Nothing was done.
	Repeated
)

// statsOutcome maps an outcome to the one reported to operators.
func (o Outcome) statsOutcome() stats.Outcome {
	switch o {
	case Served, Admitted:
		return stats.Fulfilled
	case Rejected:
		return stats.Throttled
	}
	return stats.Faulted
}

// Answer is the final answer to a request.
type Answer struct {
	Outcome Outcome
	// Value is the value as a RESP2 bulk string. It is set with Served, unless the value was streamed.
	Value []byte
	// RetryAfter is the time the client should wait before a retry, with Rejected. 0 means no advice.
	RetryAfter time.Duration
	// Quota is set in answers to requests with AdmitOnly.
	Quota Quota
	// Version is the policy version under which the request was accepted. 0 means unknown.
	Version uint64
	// Unavailable reports, with Rejected, that the gateway could not decide, which is not the fault of the customer.
	Unavailable bool

	reason balancer.Reason
}

// Quota is the status of a customer in the quota of its plan.
type Quota struct {
	balancer.QuotaStatus
	// Told reports that the plan has a quota and its status is known.
	Told bool
}

// answer sends the final answer to a request, at most once.
func (p *Proxy) answer(request *Request, answer Answer) {
	if request == nil || request.ended {
		return
	}
	if request.AdmitOnly {
		answer.Quota.QuotaStatus, answer.Quota.Told = p.balancer.QuotaStatus(request.Customer)
	}
	answer.Version = request.policyVersion
	p.finish(request)
	request.counters.Record(answer.Outcome.statsOutcome())
	took := p.Now() - request.At
	if p.OnAnswer != nil {
		p.OnAnswer(request.Class, answer.Outcome, took)
	}
	if p.Trace.Enabled() {
		p.Trace.Line("end",
			"id=%d request=%s class=%d plan=%d customer=%s retry=%t verdict=%d why=%s took=%.1f pause=%.0f tries=%d",
			request.id, request.ID, request.Class, request.Plan, request.Customer, request.ClientRetry, answer.Outcome,
			answer.reason,
			trace.MS(took), trace.MS(answer.RetryAfter), len(request.attempts))
	}
	request.Client.Answer(answer)
}
