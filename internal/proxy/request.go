package proxy

import (
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/eventloop"
	"gapgap/internal/stats"
)

// Request is a client's request. A frontend fills in the exported fields, checked, and hands it to Submit; from then on
// the event loop owns it.
type Request struct {
	Client Client
	// ID is the client's. No two open requests may have the same; empty: it is not told apart.
	ID string
	// Class and Plan are numbered as in the Rules that the request was read under.
	Class int
	Plan  int
	// Customer is the account whose quota it takes.
	Customer string
	// At is when its last byte was read, on the loop's clock.
	At time.Duration
	// Timeout is how long the client waits from then on.
	Timeout time.Duration
	// Units is what it takes from the quota.
	Units float64
	// Gateways is through how many gateways the customer's requests come; 0: all.
	Gateways int
	// ClientRetry says that the client sent it before, where clients mark that.
	ClientRetry bool
	// AdmitOnly asks for admission only: Forward is never called, and the answer is Admitted or Rejected.
	AdmitOnly bool
	// HoldFor is how long an admitted request counts as in flight where the plan bounds that, unless FinishAdmitted
	// ends it.
	HoldFor time.Duration
	// Key is its idempotency key, for classes whose keys are reserved.
	Key string

	// counters are those of its class.
	counters *stats.Class
	// id is its number at the Balancer.
	id uint64
	// deadline is when the client gives up.
	deadline      time.Duration
	deadlineTimer *eventloop.Timer
	reservation   keyReservation
	attempts      []*attempt
	// pendingAttempts counts attempts without a result.
	pendingAttempts int
	policyVersion   uint64
	// ended says that it has its answer, or that its client has gone.
	ended bool
	// donePending says that the Balancer has not heard of its end yet.
	donePending bool
}

// disconnectCheckAfter is how long a request may have waited before its client's connection is looked at again. No
// attempt may begin more than 100 ms after the client has gone.
const disconnectCheckAfter = 30 * time.Millisecond

// Submit takes a request in, for which the proxy was acquired.
func (p *Proxy) Submit(request *Request) {
	if request.counters == nil {
		p.CountRequest(request)
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
		p.openIDs[request.ID] = true
	}
	p.open(request)
}

// open numbers a request, starts its deadline and tells the Balancer.
func (p *Proxy) open(request *Request) {
	p.lastID++
	request.id = p.lastID
	request.deadline = request.At + request.Timeout
	p.requests[request.id] = request
	if request.AdmitOnly {
		// Most are answered by the next Step, which starts the deadline of the others.
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

// answerUnregistered answers a request that the Balancer never hears of. A pause says that the gateway is unavailable.
func (p *Proxy) answerUnregistered(request *Request, outcome Outcome, retryAfter time.Duration) {
	p.Release()
	request.counters.Ended(outcome.statsOutcome())
	request.Client.Answer(Answer{Outcome: outcome, RetryAfter: retryAfter, Unavailable: retryAfter > 0})
}

// startDeadline answers a request at its deadline. The Balancer does that by its own timers; this is for the case
// that it does not. Where the loop is late both timers are due in one turn: the Balancer hears first.
func (p *Proxy) startDeadline(request *Request) {
	request.deadlineTimer = p.At(request.deadline, func() {
		if len(p.events) > 0 {
			p.overdue = append(p.overdue, request)
			return
		}
		p.answerTimedOut(request)
	})
}

// answerOverdue answers the requests whose deadline was over before a Step that left them unanswered.
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
	request.counters.Ended(stats.Faulted)
	if p.OnAnswer != nil {
		p.OnAnswer(request.Class, TimedOut, p.Now()-request.At)
	}
	request.Client.Answer(Answer{Outcome: TimedOut})
}

// correctTimeLeft takes off the requests' time left what events have waited in a turn that is later than the Balancer
// is told that events wait at most. Otherwise the Balancer's deadlines would come after the clients'.
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
		p.Stats.Gone.Add(1)
		p.abandon(request)
	}
}

// endIfClientGone ends a request that has waited since a time if its client has disconnected, and tells whether it did.
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

// abandon ends a request of whose end the Balancer does not know yet. It is kept until the Balancer has heard: the same
// Step may still dispatch an attempt for it, which must get its result, or the endpoint would count it as in flight for
// ever.
func (p *Proxy) abandon(request *Request) {
	request.donePending = true
	p.donePending = append(p.donePending, request)
	p.finish(request)
	p.Enqueue(balancer.RequestDone{ID: request.id})
}

// FinishAdmitted ends the work of an admitted request, so that another may have its place. One that was not admitted,
// or whose HoldFor is over, is ignored.
func (p *Proxy) FinishAdmitted(request *Request) {
	if request.AdmitOnly && request.ended {
		p.Enqueue(balancer.RequestDone{ID: request.id})
	}
}

// finish ends a request: attempts that are out are cancelled, and none goes out any more.
func (p *Proxy) finish(request *Request) {
	request.ended = true
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

// forgetIfDone drops a request that is over and of which nothing is out.
func (p *Proxy) forgetIfDone(request *Request) {
	done := request.ended && request.pendingAttempts == 0 && !request.donePending
	if !done || p.requests[request.id] != request {
		return
	}
	delete(p.requests, request.id)
	if request.reservation.id != 0 {
		p.KeyReserver.End(request.reservation.id, request.reservation.mayHaveRun)
	}
	p.Release()
}

// CountRequest counts a request as taken. The frontend that read it calls it, so that requests waiting for the loop are
// counted too; Submit does it for others. Any goroutine may call it.
func (p *Proxy) CountRequest(request *Request) {
	request.counters = p.Rules().counters[request.Class]
	p.Stats.Taken.Add(1)
}

// CountRejected counts a request that its frontend rejects without submitting it. Any goroutine may call it.
func (p *Proxy) CountRejected(request *Request) {
	p.CountRequest(request)
	request.counters.Ended(stats.Throttled)
}
