package balancer

import "time"

// request is a request that has no final answer yet, or still has attempts in flight.
type request struct {
	id       uint64
	customer *customer
	// class and plan are indexes into the settings.
	class int
	plan  int
	// units is what the request takes from quota and ceiling.
	units float64
	// cost is the work of the request, in mean requests of its class.
	cost float64
	// arrivedAt is when the request arrived.
	arrivedAt time.Duration
	// timeLimit is the time from arrival within which an answer is of use: tau of the paper.
	timeLimit time.Duration
	// level is the priority level, 0 the highest.
	level int
	// clientRetry is set if the client repeats an earlier request.
	clientRetry bool
	// streaming is set once the answer has started to come as a stream.
	streaming bool
	// ended is set once the final answer is given.
	ended bool
	// inFlight is set while the request counts against the plan's MaxInFlight.
	inFlight bool

	// admitOnly is set if the work is done elsewhere and only admission is decided.
	admitOnly bool
	// admitted is set once such a request is admitted.
	admitted bool
	// holdFor is how long an admitted request counts as in flight at most; 0: not at all.
	holdFor time.Duration
	// holdUntil is when that time ends.
	holdUntil time.Duration

	quota    quotaProgress
	ceiling  ceilingReservation
	attempts attemptHistory

	// queuedOn is the endpoint in whose queue the request waits, nil if in none.
	queuedOn *endpoint
	// queuePosition is its place in that queue.
	queuePosition *queueEntry
}

// quotaProgress is how far the quota of a request is decided.
type quotaProgress struct {
	// covered is set if tokens of the customer cover the request.
	covered bool
	// charged is set if the request is covered by a quota: its units were spent. A plan without one covers for nothing.
	charged bool
	// paidByCounter is set if these tokens were leased from the counter.
	paidByCounter bool
	// onCredit is set if the request went on without leased tokens and without an answer of the counter.
	onCredit bool
	// counterCalled is set once the request has called the counter.
	counterCalled bool
	// counterCalledTwice is set once it has done so a second time; it may not a third time.
	counterCalledTwice bool
}

// ceilingReservation is what a queued request holds of its customer's ceiling.
type ceilingReservation struct {
	// reserved is set while units are held.
	reserved bool
	// source is where the units come from.
	source ceilingSource
	// lease is what the units were leased on, and leaseWindow the window that they were leased for, with fromLease.
	lease       *leasedCeiling
	leaseWindow int64
	// turnAt is a time in the gateway's turn that the request uses, with fromEvenShare where a share goes by turns; 0:
	// it does not.
	turnAt time.Duration
	// leaseRequested is set once the request has called the counter for a ceiling lease.
	leaseRequested bool
}

// attemptHistory is what came of the attempts of a request.
type attemptHistory struct {
	// all has the attempts in the order of dispatch.
	all []*attempt
	// open is the number of them without a result.
	open int
	// limit is the most attempts, by the settings that the request came under.
	limit int
	// mayHaveRun is set once an attempt may have had an effect.
	mayHaveRun bool
	// firstRunAt is when the first such attempt was dispatched.
	firstRunAt time.Duration
	// firstRunOn is the endpoint of that attempt.
	firstRunOn *endpoint
}

// add appends an attempt, whose number is its place in the order of dispatch.
func (h *attemptHistory) add(att *attempt) {
	att.number = len(h.all)
	att.open = true
	h.all = append(h.all, att)
	h.open++
}

// close records that an attempt has its result.
func (h *attemptHistory) close(att *attempt) {
	att.open = false
	h.open--
}

// find returns the attempt of a number if it has no result yet, else nil.
func (h *attemptHistory) find(number int) *attempt {
	if number < 0 || number >= len(h.all) || !h.all[number].open {
		return nil
	}
	return h.all[number]
}

// canAdd reports whether the limit allows another attempt.
func (h *attemptHistory) canAdd() bool { return len(h.all) < h.limit }

// recordRun records that an attempt may have had an effect. The first such attempt counts.
func (h *attemptHistory) recordRun(att *attempt) {
	if h.mayHaveRun {
		return
	}
	h.mayHaveRun = true
	h.firstRunAt = att.sentAt
	h.firstRunOn = att.endpoint
}

// attempt is one dispatch of a request.
type attempt struct {
	request *request
	// number counts the request's attempts from 0.
	number   int
	endpoint *endpoint
	// sentAt is when the attempt was dispatched.
	sentAt time.Duration
	// kind tells probe requests from others.
	kind attemptKind
	// open is set until the attempt's result comes.
	open bool
	// responseStarted is set once the answer has begun to come: the endpoint has done its work.
	responseStarted bool
}

// attemptKind says why an attempt goes to its endpoint.
type attemptKind int

const (
	// regularAttempt goes to a usable endpoint.
	regularAttempt attemptKind = iota
	// probeAttempt goes to an ejected endpoint to find out whether it has recovered.
	probeAttempt
)

// deadline is when an answer is of no use any more.
func (req *request) deadline() time.Duration { return req.arrivedAt + req.timeLimit }

// waited is the time since the request arrived.
func (req *request) waited(now time.Duration) time.Duration { return now - req.arrivedAt }

// finish ends a request: it leaves its queue, gives back what it holds, and its attempts in flight are cancelled.
func (b *Balancer) finish(req *request) {
	if req.ended {
		return
	}
	req.ended = true
	b.dequeue(req)
	b.releaseCeiling(req, false)
	b.cancelAttempts(req)
	if len(req.attempts.all) == 0 && !req.admitted && req.quota.charged {
		req.customer.quota.refund(req.units)
	}
	if req.inFlight {
		req.inFlight = false
		req.customer.inFlight--
		b.serveWaiting(req.customer)
	}
	b.forgetIfDone(req)
}

// cancelAttempts cancels the attempts of a request that are in flight. A stream is not cancelled: the client reads
// it.
func (b *Balancer) cancelAttempts(req *request) {
	if !b.settings.AllowCancel || req.streaming {
		return
	}
	for _, att := range req.attempts.all {
		if att.open {
			b.emit(CancelAttempt{ID: req.id, Attempt: att.number})
		}
	}
}

// forgetIfDone drops a request that has ended and has no attempt in flight.
func (b *Balancer) forgetIfDone(req *request) {
	if req.ended && req.attempts.open == 0 {
		delete(b.requests, req.id)
	}
}

// handleRequestDone ends a request whose client has left, or admitted work that is over.
func (b *Balancer) handleRequestDone(ev RequestDone) {
	if req := b.requests[ev.ID]; req != nil {
		b.finish(req)
	}
}
