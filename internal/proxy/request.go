package proxy

import (
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/eventloop"
	"gapgap/internal/stats"
	"gapgap/internal/trace"
	"gapgap/internal/upstream"
)

// Outcome is the kind of a final answer.
type Outcome int

const (
	Served    Outcome = iota // with Answer.Value
	Rejected                 // trying again is harmless, after Answer.Pause
	Failed                   // it may have had an effect
	TimedOut                 // no decision came in time; as Failed
	Duplicate                // its id is that of another open request; nothing was done
	Admitted                 // leave for work that is done elsewhere
)

// Answer is a request's final answer.
type Answer struct {
	Outcome     Outcome
	Value       []byte        // with Served: the value as a RESP2 bulk string
	RetryAfter  time.Duration // with Refused: how long to stay away; 0: no advice
	Quota       Quota         // with Granted, and with Refused of a request with Grant
	Version     uint64        // of the policy by which it was taken in; 0: not told
	Unavailable bool          // with Refused: nothing could be decided, by no fault of the customer's
	why         balancer.Reason
}

// Quota is how the customer stands with its plan's quota.
type Quota struct {
	balancer.QuotaStatus
	Told bool // else there is no such quota, or nothing is known
}

// Caller is what a request came from. The loop goroutine calls it, so it must not wait.
type Caller interface {
	// Forward is the command for a backend, which tells it how long this front door will wait.
	Forward(wait time.Duration) []byte
	// Answer takes the one final answer.
	Answer(Answer)
}

// Leaver is a Caller that can be asked whether its client has left, also where nobody has read that yet.
type Leaver interface{ Left() bool }

// leftAfter is how long a request may have waited before its client is looked at again: no attempt may begin more than 0.1 s after
// the client has gone, and its reader may be behind.
const leftAfter = 30 * time.Millisecond

// hasClientGone says that the client of a request that has waited has gone; the request is then over.
func (c *Proxy) hasClientGone(r *Request, since time.Duration) bool {
	if c.Now()-since < leftAfter {
		return false
	}
	l, ok := r.Caller.(Leaver)
	if !ok || !l.Left() {
		return false
	}
	c.ClientGone(r)
	return true
}

// Request is a client's request. A front fills the exported part in, checked, and hands it to Submit; from then on
// the loop owns it.
type Request struct {
	Caller      Caller
	ID          string // the client's; no two open requests may have the same; empty: not told apart
	Class, Plan int    // as the module numbers them
	Customer    string
	At          time.Duration // when its last byte was read, on the loop's clock
	Timeout     time.Duration // how long the client waits from then on
	Units       float64       // that it takes from the quota
	Gateways    int           // doors through which the customer's requests come; 0: all
	ClientRetry bool          // a client's repeat, where clients mark it
	AdmitOnly   bool          // it asks for leave only: Forward is never called, and the answer is Granted or Refused
	HoldFor     time.Duration // how long a grant counts as under way where the plan bounds that, without Finish
	Key         string        // by which a repeat of it is known; looked at where the class is remembered

	claim    claim
	count    *stats.Class // where it is counted
	id       uint64
	due      time.Duration // when the client gives up
	overdue  *eventloop.Timer
	attempts []*attempt
	out      int // attempts without an outcome
	ended    bool
	version  uint64
	leaving  bool // the Door has not yet heard that its client has left
}

// Streamer is a Caller that takes long values as they come. Others are answered as failed.
type Streamer interface {
	// Stream says that a value of so many bytes comes. The final answer still comes by Answer: Served, with no Value, when it
	// is whole, and else another one, of which the client has to be told, or shown by an end of its connection.
	Stream(size int) upstream.Sink
}

// Begun implements [upstream.Owner]. From here on the request has no deadline and no further attempt.
func (a *attempt) Begun(size int) upstream.Sink {
	to, ok := a.r.Caller.(Streamer)
	if !ok || a.r.ended {
		return nil
	}
	a.r.overdue.Stop()
	a.begun = true
	a.c.Enqueue(balancer.FirstByte{ID: a.r.id, Attempt: a.no})
	return to.Stream(size)
}

// attempt is one try of a request.
type attempt struct {
	upstream.Attempt
	c  *Proxy
	r  *Request
	no int

	begun bool // a long value came, or a part of it
	given bool // to the connections to backends
}

// Command implements [upstream.Owner].
func (a *attempt) Command(wait time.Duration) []byte {
	if a.c.hasClientGone(a.r, a.At) {
		return nil
	}
	return a.r.Caller.Forward(wait)
}

// Ended implements [upstream.Owner]. A value ends the request, and the outcome says so.
func (a *attempt) Ended(res upstream.Result) {
	if res.Status == balancer.OK {
		a.c.answer(a.r, Answer{Outcome: Served, Value: res.Value})
	} else if a.begun { // nothing else may be answered
		a.c.answer(a.r, Answer{Outcome: Failed})
	}
	a.r.out--
	if a.given && res.Status != balancer.Rejected && res.Status != balancer.ConnectFailed && res.Status != balancer.NotSent {
		a.r.claim.ran = true
	}
	if a.c.Trace.On() {
		a.c.Trace.Line("attempt", "id=%d no=%d class=%d to=%s status=%d took=%.1f", a.r.id, a.no, a.r.Class, a.Backend, res.Status, trace.MS(a.c.Now()-a.At))
	}
	a.c.Enqueue(balancer.AttemptResult{ID: a.r.id, Attempt: a.no, Endpoint: a.Backend, Status: res.Status,
		Latency: a.Took(a.c.Now()), RequestClosed: a.r.ended, QuotaUsed: res.Used})
	a.c.forget(a.r)
}

// Submit takes a request in, for which the core was acquired. Only the loop goroutine may call it.
func (c *Proxy) Submit(r *Request) {
	if r.count == nil {
		c.CountRequest(r)
	}
	if pause, closed := c.StartupBarrier.told(); closed {
		c.declineFor(r, Rejected, pause)
		return
	}
	if c.DecisionLease.bounded() && !c.DecisionLease.IsValid(c.Now()) {
		c.shelve(r)
		return
	}
	r.version = c.version.Load()
	if most := c.Rules().MaxInFlight; most > 0 && len(c.requests)-len(c.leaving) >= most {
		c.decline(r, Rejected)
		return
	}
	if r.ID != "" {
		if c.open[r.ID] { // not to be told what another request is answered
			c.decline(r, Duplicate)
			return
		}
		c.open[r.ID] = true
	}
	c.lastID++
	r.id, r.due = c.lastID, r.At+r.Timeout
	c.requests[r.id] = r
	if r.AdmitOnly { // mostly answered by the next Step, which sets the timer for the others
		c.admitOnly = append(c.admitOnly, r)
	} else {
		c.watch(r)
	}
	c.Enqueue(balancer.Request{ID: r.id, Class: r.Class, Plan: r.Plan, Customer: r.Customer,
		TimeLeft: max(0, r.due-c.Coarse()), Units: r.Units, Gateways: r.Gateways, ClientRetry: r.ClientRetry, AdmitOnly: r.AdmitOnly, HoldFor: r.HoldFor})
}

// decline answers a request that is not taken in.
func (c *Proxy) decline(r *Request, v Outcome) { c.declineFor(r, v, 0) }

func (c *Proxy) declineFor(r *Request, v Outcome, pause time.Duration) {
	c.Release()
	r.count.Ended(v.outcome())
	r.Caller.Answer(Answer{Outcome: v, RetryAfter: pause, Unavailable: pause > 0})
}

// watch sees to it that a request is answered in time. The module does that by its own timers; should it not, the client
// still hears back.
func (c *Proxy) watch(r *Request) {
	r.overdue = c.At(r.due, func() {
		c.log.Error("the module left a request unanswered", "id", r.id)
		c.abandon(r)
		r.count.Ended(stats.Faulted)
		if c.OnAnswer != nil {
			c.OnAnswer(r.Class, TimedOut, c.Now()-r.At)
		}
		r.Caller.Answer(Answer{Outcome: TimedOut})
	})
}

// ClientGone ends the request of a client that has left. Only the loop goroutine may call it.
func (c *Proxy) ClientGone(r *Request) {
	if c.requests[r.id] == r && !r.ended {
		c.Stats.Gone.Add(1)
		c.abandon(r)
	}
}

// abandon ends a request of which the Door does not know yet that it is over. It is kept until the Door has heard: what else
// happened may make the Door send for it in the same Step, and each Send is owed its outcome, or the backend would count as
// holding that attempt for ever.
func (c *Proxy) abandon(r *Request) {
	r.leaving = true
	c.leaving = append(c.leaving, r)
	c.finish(r)
	c.Enqueue(balancer.RequestDone{ID: r.id})
}

// FinishAdmitted says that the work for which a request was granted is over, so that another may have its place. One that was not
// granted, or whose hold has run out, is passed over. Only the loop goroutine may call it.
func (c *Proxy) FinishAdmitted(r *Request) {
	if r.AdmitOnly && r.ended {
		c.Enqueue(balancer.RequestDone{ID: r.id})
	}
}

// grant gives a request the leave that it asked for.
func (c *Proxy) grant(r *Request) { c.answer(r, Answer{Outcome: Admitted}) }

// answer gives a request its final answer, once.
func (c *Proxy) answer(r *Request, a Answer) {
	if r == nil || r.ended {
		return
	}
	if r.AdmitOnly {
		a.Quota.QuotaStatus, a.Quota.Told = c.balancer.QuotaStatus(r.Customer)
	}
	a.Version = r.version
	c.finish(r)
	r.count.Ended(a.Outcome.outcome())
	took := c.Now() - r.At
	if c.OnAnswer != nil {
		c.OnAnswer(r.Class, a.Outcome, took)
	}
	if c.Trace.On() {
		c.Trace.Line("end", "id=%d class=%d plan=%d customer=%s retry=%t verdict=%d why=%s took=%.1f pause=%.0f tries=%d", r.id, r.Class, r.Plan,
			r.Customer, r.ClientRetry, a.Outcome, a.why, trace.MS(took), trace.MS(a.RetryAfter), len(r.attempts))
	}
	r.Caller.Answer(a)
}

// finish ends a request. Nothing may go out for it any more, so attempts still out are called off.
func (c *Proxy) finish(r *Request) {
	r.ended = true
	delete(c.open, r.ID)
	r.overdue.Stop()
	if a := r.claim.waits; a != nil {
		r.claim.waits = nil
		a.End(balancer.NotSent)
	}
	for _, a := range r.attempts {
		c.upstream.Cancel(&a.Attempt)
	}
	c.forget(r)
}

func (c *Proxy) forget(r *Request) {
	if r.ended && r.out == 0 && !r.leaving && c.requests[r.id] == r {
		delete(c.requests, r.id)
		if r.claim.n != 0 {
			c.KeyReserver.End(r.claim.n, r.claim.ran)
		}
		c.Release()
	}
}

// dispatch starts an attempt.
func (c *Proxy) dispatch(r *Request, s balancer.Dispatch) {
	now := c.Now()
	a := &attempt{c: c, r: r, no: len(r.attempts)}
	a.Attempt = upstream.Attempt{Backend: s.Endpoint, At: now, Until: r.due, By: s.WriteBy, Owner: a}
	if s.Timeout > 0 {
		a.Until = min(a.Until, now+s.Timeout)
	}
	r.attempts = append(r.attempts, a)
	r.out++
	if r.ended || a.Until <= now || c.hasClientGone(r, r.At) || r.out > 1 && !c.Rules().Settings.AllowHedging {
		a.End(balancer.NotSent)
		return
	}
	if c.KeyReserver != nil && c.Rules().Settings.Classes[r.Class].KeyReserved && r.claim.state != won {
		c.claimFor(a)
		return
	}
	a.given = true
	c.upstream.Send(&a.Attempt)
}
