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

	// admitOnly is set if the work is done elsewhere and only admission is decided.
	admitOnly bool
	// admitted is set once such a request is admitted.
	admitted bool
	// holdFor is how long an admitted request counts as in flight at most; 0: not at all.
	holdFor time.Duration
	// holdUntil is when that time ends.
	holdUntil time.Duration

	// withinQuota is set if tokens of the customer cover the request.
	withinQuota bool
	// inFlight is set while the request counts against the plan's MaxInFlight.
	inFlight bool
	// paidByCounter is set if the tokens that cover the request were leased from the counter.
	paidByCounter bool
	// onCredit is set if the request went on without leased tokens and without the counter's word.
	onCredit bool
	// counterCalled is set once the request has called the counter.
	counterCalled bool
	// counterCalledTwice is set once it has done so a second time; it may not a third time.
	counterCalledTwice bool

	// ceilingReserved is set while the request holds units of the ceiling.
	ceilingReserved bool
	// ceilingSource is where these units come from.
	ceilingSource ceilingSource
	// leaseWindow is the window that the units were leased for, or with fromEvenShare the turn, if there are turns.
	leaseWindow int64
	// leaseRequested is set once the request has called the counter for a ceiling lease.
	leaseRequested bool

	// queuedOn is the endpoint in whose queue the request waits, nil if in none.
	queuedOn *endpoint
	// queuePosition is its place in that queue.
	queuePosition *queueEntry

	// attempts has all attempts, in the order of dispatch.
	attempts []*attempt
	// attemptsOut is the number of them without a result.
	attemptsOut int
	// maxAttempts is the most attempts, by the settings that the request came under.
	maxAttempts int
	// mayHaveRun is set once an attempt may have had an effect.
	mayHaveRun bool
	// firstRunAt is when the first such attempt was dispatched.
	firstRunAt time.Duration
	// firstRunOn is the endpoint of that attempt.
	firstRunOn *endpoint
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

// openAttempt returns the attempt of a number if it has no result yet, else nil.
func (req *request) openAttempt(number int) *attempt {
	if number < 0 || number >= len(req.attempts) || !req.attempts[number].open {
		return nil
	}
	return req.attempts[number]
}

// recordRun records that an attempt may have had an effect. The first such attempt counts.
func (req *request) recordRun(att *attempt) {
	if req.mayHaveRun {
		return
	}
	req.mayHaveRun = true
	req.firstRunAt = att.sentAt
	req.firstRunOn = att.endpoint
}

// finish ends a request: it leaves its queue, gives back what it holds, and its attempts in flight are cancelled.
func (b *Balancer) finish(req *request) {
	if req.ended {
		return
	}
	req.ended = true
	b.dequeue(req)
	b.releaseCeiling(req, false)
	b.cancelAttempts(req)
	if len(req.attempts) == 0 && !req.admitted && req.withinQuota && b.settings.Plans[req.plan].Rate > 0 {
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
	for _, att := range req.attempts {
		if att.open {
			b.emit(CancelAttempt{ID: req.id, Attempt: att.number})
		}
	}
}

// forgetIfDone drops a request that has ended and has no attempt in flight.
func (b *Balancer) forgetIfDone(req *request) {
	if req.ended && req.attemptsOut == 0 {
		delete(b.requests, req.id)
	}
}

// handleRequestDone ends a request whose client has left, or admitted work that is over.
func (b *Balancer) handleRequestDone(ev RequestDone) {
	if req := b.requests[ev.ID]; req != nil {
		b.finish(req)
	}
}
