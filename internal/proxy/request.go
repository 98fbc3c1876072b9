package proxy

import (
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/eventloop"
	"gapgap/internal/stats"
)

// Request is a request of a client. A frontend validates it, sets the exported fields and passes it to Submit. From
// then on the event loop owns it.
type Request struct {
	Client Client
	// ID is chosen by the client. No two open requests may have the same ID. If it is empty, duplicates are not
	// detected.
	ID string
	// Class and Plan are numbered as in the Rules in force when the request was read.
	Class int
	Plan  int
	// Customer is the account whose quota is charged.
	Customer string
	// At is the time at which the last byte was read, on the loop clock.
	At time.Duration
	// Timeout is how long the client waits, from At.
	Timeout time.Duration
	// Units is the quota charge.
	Units float64
	// Gateways is the number of gateways that receive requests of the customer. 0 means all.
	Gateways int
	// ClientRetry reports that the client marked the request as a retry.
	ClientRetry bool
	// AdmitOnly requests admission only: Forward is never called, and the answer is Admitted or Rejected.
	AdmitOnly bool
	// HoldFor is how long an admitted request counts as in flight if the plan bounds requests in flight, unless
	// FinishAdmitted ends it earlier.
	HoldFor time.Duration
	// Key is the idempotency key, for classes whose keys are reserved.
	Key string

	// counters are the counters of the class.
	counters *stats.Class
	// id identifies the request at the Balancer.
	id uint64
	// deadline is the time at which the client gives up.
	deadline      time.Duration
	deadlineTimer *eventloop.Timer
	reservation   keyReservation
	// unrepeatable reports that the request must not run twice: its ID is remembered, by idHash, while it may have run.
	unrepeatable bool
	idHash       idHash
	// mayHaveRun reports that an attempt that was sent may have had an effect.
	mayHaveRun bool
	attempts   []*attempt
	// pendingAttempts counts the attempts without a result.
	pendingAttempts int
	policyVersion   uint64
	// streaming reports that a long value is on its way to the client. The request has no deadline then.
	streaming bool
	// ended reports that the request was answered or its client has disconnected.
	ended bool
	// donePending reports that the Balancer does not know of the end of the request yet.
	donePending bool
}

// disconnectCheckAfter is the age from which a request is checked for a disconnected client before an attempt. No
// attempt may start more than 100 ms after the client has disconnected.
const disconnectCheckAfter = 30 * time.Millisecond

// endedRetryAfter is the retry delay for clients whose request is rejected because the loop has ended: another pool or
// process takes it.
const endedRetryAfter = 100 * time.Millisecond

// PostSubmit submits a request from another goroutine than the loop's. If the loop has ended, the request is rejected.
func (p *Proxy) PostSubmit(request *Request) {
	if request.counters == nil {
		p.CountRequest(request)
	}
	if !p.Post(func() { p.Submit(request) }) {
		p.answerUnregistered(request, Rejected, endedRetryAfter)
	}
}

// Submit accepts a request for which the proxy was acquired.
func (p *Proxy) Submit(request *Request) {
	if request.counters == nil {
		p.CountRequest(request)
	}
	if p.stopped {
		p.answerUnregistered(request, Rejected, endedRetryAfter)
		return
	}
	if retryAfter, closed := p.StartupBarrier.retryAfter(); closed {
		p.answerUnregistered(request, Rejected, retryAfter)
		return
	}
	if p.DecisionLease.isBounded() && !p.DecisionLease.IsValid(p.Now()) {
		p.hold(request)
		return
	}
	request.policyVersion = p.policyVersion.Load()
	limit := p.Rules().MaxInFlight
	if limit > 0 && len(p.requests)-len(p.donePending) >= limit {
		p.answerUnregistered(request, Rejected, 0)
		return
	}
	if request.ID != "" {
		if p.openIDs[request.ID] {
			p.answerUnregistered(request, Duplicate, 0)
			return
		}
		if p.mustNotRepeat(request) {
			request.idHash = hashID(request.Customer, request.ID)
			if p.SentIDs.contains(request.idHash, p.Coarse()) {
				p.answerUnregistered(request, Repeated, 0)
				return
			}
			request.unrepeatable = true
		}
		p.openIDs[request.ID] = true
	}
	p.open(request)
}

// open assigns an ID to a request, starts its deadline and passes it to the Balancer.
func (p *Proxy) open(request *Request) {
	p.lastID++
	request.id = p.lastID
	request.deadline = request.At + request.Timeout
	p.requests[request.id] = request
	if request.AdmitOnly {
		// Most are answered in the next Step, which starts the deadlines of the others.
		p.newAdmitOnly = append(p.newAdmitOnly, request)
	} else {
		p.startDeadline(request)
	}
	p.Enqueue(balancer.Request{
		ID:          request.id,
		Class:       request.Class,
		Plan:        request.Plan,
		Customer:    request.Customer,
		TimeLeft:    max(0, request.deadline-p.Coarse()),
		Units:       request.Units,
		Gateways:    request.Gateways,
		ClientRetry: request.ClientRetry,
		AdmitOnly:   request.AdmitOnly,
		HoldFor:     request.HoldFor,
	})
}

// answerUnregistered answers a request that is never passed to the Balancer. A positive retryAfter means that the
// gateway is unavailable.
func (p *Proxy) answerUnregistered(request *Request, outcome Outcome, retryAfter time.Duration) {
	p.Release()
	request.counters.Record(outcome.statsOutcome())
	request.Client.Answer(Answer{Outcome: outcome, RetryAfter: retryAfter, Unavailable: retryAfter > 0})
}

// startDeadline sets the timer that answers a request at its deadline. The timers of the Balancer normally do that;
// this one covers the case that the Balancer fails to. If the loop is late and both timers are due in the same turn,
// the events are passed to the Balancer first.
func (p *Proxy) startDeadline(request *Request) {
	request.deadlineTimer = p.At(request.deadline, func() {
		if len(p.events) > 0 {
			p.overdue = append(p.overdue, request)
			return
		}
		p.answerTimedOut(request)
	})
}

// answerOverdue answers the requests whose deadline passed before a Step that left them unanswered.
func (p *Proxy) answerOverdue() {
	overdue := p.overdue
	p.overdue = nil
	for _, request := range overdue {
		if !request.ended {
			p.answerTimedOut(request)
		}
	}
}

// answerTimedOut answers a request that the Balancer has left unanswered.
func (p *Proxy) answerTimedOut(request *Request) {
	p.log.Error("the module left a request unanswered", "id", request.id, "late", p.Now()-request.deadline)
	p.abandon(request)
	request.counters.Record(stats.Faulted)
	if p.OnAnswer != nil {
		p.OnAnswer(request.Class, TimedOut, p.Now()-request.At)
	}
	request.Client.Answer(Answer{Outcome: TimedOut})
}

// correctTimeLeft subtracts the time that request events have waited in the queue, if it exceeds the Resolution that
// the Balancer assumes as the longest wait. Otherwise the deadlines of the Balancer would be later than those of the
// clients.
func (p *Proxy) correctTimeLeft(events []balancer.Event, now time.Duration) {
	if now-p.Coarse() <= p.Rules().Settings.Resolution {
		return
	}
	for i, event := range events {
		arrived, ok := event.(balancer.Request)
		if request := p.requests[arrived.ID]; ok && request != nil {
			arrived.TimeLeft = max(0, request.deadline-now)
			events[i] = arrived
		}
	}
}

// ClientGone ends the request of a client that has disconnected.
func (p *Proxy) ClientGone(request *Request) {
	if p.requests[request.id] == request && !request.ended {
		p.Stats.ClientsDisconnected.Add(1)
		p.abandon(request)
	}
}

// endIfClientGone ends a request whose client has disconnected and reports whether it did. It does not check requests
// that have waited for less than disconnectCheckAfter since the given time.
func (p *Proxy) endIfClientGone(request *Request, since time.Duration) bool {
	if p.Now()-since < disconnectCheckAfter {
		return false
	}
	client, ok := request.Client.(DisconnectDetector)
	if !ok || !client.HasDisconnected() {
		return false
	}
	p.ClientGone(request)
	return true
}

// abandon ends a request whose end the Balancer does not know yet. The request is kept until the Balancer has been
// told: the same Step may still dispatch an attempt for it, which must get a result, or the endpoint would count it as
// in flight forever.
func (p *Proxy) abandon(request *Request) {
	request.donePending = true
	p.donePending = append(p.donePending, request)
	p.finish(request)
	p.Enqueue(balancer.RequestDone{ID: request.id})
}

// FinishAdmitted ends the work of an admitted request, so that another request can be admitted. It does nothing if the
// request was not admitted or its HoldFor has passed.
func (p *Proxy) FinishAdmitted(request *Request) {
	if request.AdmitOnly && request.ended {
		p.Enqueue(balancer.RequestDone{ID: request.id})
	}
}

// finish ends a request. Its attempts in flight are cancelled, and no further attempt is sent.
func (p *Proxy) finish(request *Request) {
	request.ended = true
	if request.streaming {
		request.streaming = false
		p.transfers.Add(-1)
	}
	delete(p.openIDs, request.ID)
	request.deadlineTimer.Stop()
	if waiting := request.reservation.waiting; waiting != nil {
		request.reservation.waiting = nil
		waiting.End(balancer.NotSent)
	}
	for _, attempt := range request.attempts {
		p.upstream.Cancel(&attempt.Attempt)
	}
	p.forgetIfDone(request)
}

// answerLeft answers all requests that are left when the loop has ended, as nothing else will: a client would wait for
// its answer for good. A request without an attempt can't have had an effect.
func (p *Proxy) answerLeft() {
	for _, request := range p.takeHeld() {
		p.answerUnregistered(request, Rejected, endedRetryAfter)
	}
	for _, request := range p.requests {
		if len(request.attempts) == 0 {
			p.answer(request, Answer{Outcome: Rejected, RetryAfter: endedRetryAfter, Unavailable: true})
			continue
		}
		p.answer(request, Answer{Outcome: Failed})
	}
}

// forgetIfDone removes a request that has ended and has no attempt without a result.
func (p *Proxy) forgetIfDone(request *Request) {
	done := request.ended && request.pendingAttempts == 0 && !request.donePending
	if !done || p.requests[request.id] != request {
		return
	}
	delete(p.requests, request.id)
	if request.reservation.id != 0 {
		p.KeyReserver.End(request.reservation.id, request.mayHaveRun)
	}
	if request.unrepeatable && !request.mayHaveRun {
		p.SentIDs.remove(request.idHash)
	}
	p.Release()
}

// CountRequest counts a request as received. The frontend that read the request calls it, so that requests waiting for
// the loop are counted too; Submit calls it for other requests. It is safe for concurrent use.
func (p *Proxy) CountRequest(request *Request) {
	request.counters = p.Rules().counters[request.Class]
	p.Stats.Taken.Add(1)
}

// CountRejected counts a request that its frontend rejects without submitting it. It is safe for concurrent use.
func (p *Proxy) CountRejected(request *Request) {
	p.CountRequest(request)
	request.counters.Record(stats.Throttled)
}
