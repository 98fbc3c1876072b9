package balancer

import (
	"time"
)

type request struct {
	id                    uint64
	class, plan           int
	maxAttempts           int // attempts, by the settings that it came under
	customer              *customer
	units, cost           float64       // of the quota; the work, in that of the mean request of its class
	arrivedAt, timeLimit  time.Duration // arrival; useful time left then
	level                 int
	withinQuota, inFlight bool          // paid by tokens; counted in customer.live
	paidByCounter         bool          // these tokens came from the counter
	ceilingReserved       bool          // holds units of the ceiling's share while queued
	ceilingSource         ceilingSource // where its units of the ceiling come from
	// with fromLease: the window that they were leased for; with fromShare: the turn, if there are turns
	leaseWindow        int64
	leaseRequested     bool        // has called the counter for that
	queuePosition      *queueEntry // place in a queue of on
	queuedOn           *endpoint
	attempts           []*attempt
	attemptsOut        int
	mayHaveRun, ended  bool
	firstRunAt         time.Duration
	firstRunOn         *endpoint
	streaming          bool
	clientRetry        bool // the client's repeat
	onCredit           bool // on credit: neither paid by the lease nor looked up
	counterCalled      bool // has called the counter
	counterCalledTwice bool // ... and may not after another failure

	admitOnly, admitted bool // wants leave only; has got it
	holdFor, holdUntil  time.Duration
}

type attempt struct {
	request         *request
	number          int
	endpoint        *endpoint
	sentAt          time.Duration
	probe           bool
	open            bool
	responseStarted bool // its answer has begun to come: the server has done its work
}

func (b *Balancer) forgetIfDone(req *request) {
	if req.ended && req.attemptsOut == 0 {
		delete(b.requests, req.id)
	}
}

// finish marks a request as over and calls off what is still out.
func (b *Balancer) finish(req *request) {
	if req.ended {
		return
	}
	req.ended = true
	b.dequeue(req)
	b.releaseCeiling(req, false)
	for _, a := range req.attempts {
		if a.open && b.settings.AllowCancel && !req.streaming {
			b.emit(CancelAttempt{req.id, a.number})
		}
	}
	if len(req.attempts) == 0 && !req.admitted && req.withinQuota && b.settings.Plans[req.plan].Rate > 0 {
		req.customer.quota.tokens += req.units
	}
	if req.inFlight {
		req.inFlight = false
		req.customer.inFlight--
		b.serveWaiting(req.customer)
	}
	b.forgetIfDone(req)
}
