package balancer

import (
	"slices"
	"time"
)

// request is a request that has no final answer yet or still has attempts in flight.
type request struct {
	id       uint64
	customer *customer
	// class and plan are indexes into the settings.
	class int
	plan  int
	// units is the number of units that the request takes from the quota and the ceiling.
	units float64
	// cost is the work of the request, in mean requests of its class.
	cost float64
	// arrivedAt is when the request arrived.
	arrivedAt time.Duration
	// usefulFor is the time from arrival within which an answer is useful: tau in the paper. It decides what is worth
	// starting.
	usefulFor time.Duration
	// clientTimeout is the time from arrival for which the client waits. Only this bounds a response that has begun.
	clientTimeout time.Duration
	// level is the priority level; 0 is the highest.
	level int
	// clientRetry is set if the client marked the request as a retry of an earlier one.
	clientRetry bool
	// streaming is set once the response has started to stream.
	streaming bool
	// ended is set once the final answer has been given.
	ended bool
	// inFlight is set while the request counts against the plan's MaxInFlight.
	inFlight bool

	// admitOnly is set if the work is performed elsewhere and only admission is decided.
	admitOnly bool
	// admitted is set once an admitOnly request has been admitted.
	admitted bool
	// holdFor is the longest time that an admitted request counts as in flight; 0 means not at all.
	holdFor time.Duration
	// holdUntil is when that time ends.
	holdUntil time.Duration

	quota    quotaProgress
	ceiling  ceilingReservation
	attempts attemptHistory

	// queuedOn is the endpoint in whose queue the request waits, or nil.
	queuedOn *endpoint
	// queuePosition is the request's entry in that queue.
	queuePosition *queueEntry
}

// quotaProgress is the state of a request's quota decision.
type quotaProgress struct {
	// covered is set if the customer's tokens cover the request.
	covered bool
	// charged is set if the request is covered by a quota and its units were spent. A plan without a quota covers
	// requests without charging them.
	charged bool
	// paidByLease is set if the tokens were leased from the counter.
	paidByLease bool
	// sentWithoutLease is set if the request proceeded without leased tokens and without an answer from the counter.
	sentWithoutLease bool
	// counterCalled is set once the request has called the counter.
	counterCalled bool
	// counterCalledTwice is set once the request has called the counter a second time. A third call is not allowed.
	counterCalledTwice bool
}

// ceilingReservation is the part of its customer's ceiling that a request has reserved or drawn.
type ceilingReservation struct {
	// reserved is set while units are reserved.
	reserved bool
	// drawn is set while the units are taken from the ceiling.
	drawn bool
	// source is where the units were taken from.
	source ceilingSource
	// lease is the ceiling lease that the units were taken from and leaseWindow the window for which they were leased.
	// Both are used with source fromLease.
	lease       *leasedCeiling
	leaseWindow int64
	// turnAt is a time within the gateway's turn that the request uses, if source is fromOwnShare and the share is
	// used in turns; otherwise 0.
	turnAt time.Duration
	// leaseRequested is set once the request has called the counter for a ceiling lease.
	leaseRequested bool
}

// attemptHistory records the attempts of a request.
type attemptHistory struct {
	// all holds the attempts in the order of dispatch.
	all []*attempt
	// open is the number of attempts without a result.
	open int
	// limit is the maximum number of attempts, from the settings in effect when the request arrived.
	limit int
	// mayHaveRun is set once an attempt may have had an effect.
	mayHaveRun bool
	// firstRun is the first such attempt; nil if there is none.
	firstRun *attempt
}

// add appends an attempt and numbers it by its position in the order of dispatch.
func (h *attemptHistory) add(att *attempt) {
	att.number = len(h.all)
	att.open = true
	h.all = append(h.all, att)
	h.open++
}

// close records that an attempt has received its result.
func (h *attemptHistory) close(att *attempt) {
	att.open = false
	h.open--
}

// find returns the attempt with the given number, or nil if it does not exist or already has a result.
func (h *attemptHistory) find(number int) *attempt {
	if number < 0 || number >= len(h.all) || !h.all[number].open {
		return nil
	}
	return h.all[number]
}

// hasBegunResponse reports whether the response to an attempt has begun and may still be completed.
func (h *attemptHistory) hasBegunResponse() bool {
	return slices.ContainsFunc(h.all, func(att *attempt) bool { return att.open && att.responseBegun })
}

// canAdd reports whether the limit allows another attempt.
func (h *attemptHistory) canAdd() bool { return len(h.all) < h.limit }

// recordRun records that an attempt may have had an effect. Only the first such attempt is kept.
func (h *attemptHistory) recordRun(att *attempt) {
	if h.mayHaveRun {
		return
	}
	h.mayHaveRun = true
	h.firstRun = att
}

// attempt is one dispatch of a request.
type attempt struct {
	request *request
	// number is the index of the attempt among the request's attempts, starting at 0.
	number   int
	endpoint *endpoint
	// place is that of the endpoint when the attempt was dispatched. The list may since have given the endpoint's name
	// to a process in another one.
	place place
	// sentAt is when the attempt was dispatched.
	sentAt time.Duration
	// chargedAt is the time for which the attempt counts in the slow-start budget of its endpoint.
	chargedAt time.Duration
	// unwritten is set while the command is known not to be written.
	unwritten bool
	// kind distinguishes probe requests from regular attempts.
	kind attemptKind
	// open is set until the attempt's result arrives.
	open bool
	// responseBegun is set once the first bytes of the response have arrived, which show that the endpoint has done its
	// work. The attempt holds no slot from then on.
	responseBegun bool
	// responseBegunAt is when that was. It is used while responseBegun is set.
	responseBegunAt time.Duration
	// streaming is set once the response is being passed on to the client.
	streaming bool
}

// latency returns the time from dispatch to the first bytes of the response, which arrive now unless they have before.
func (att *attempt) latency(now time.Duration) time.Duration {
	if att.responseBegun {
		now = att.responseBegunAt
	}
	return now - att.sentAt
}

// attemptKind is the reason why an attempt is sent to its endpoint.
type attemptKind int

const (
	// regularAttempt is sent to a usable endpoint.
	regularAttempt attemptKind = iota
	// probeAttempt is sent to an ejected endpoint to find out whether it has recovered.
	probeAttempt
)

// usefulUntil returns the time from which an answer is no longer useful. Nothing is started for the request from then
// on, and it ends unless a response has begun.
func (req *request) usefulUntil() time.Duration { return req.arrivedAt + req.usefulFor }

// clientDeadline returns the time until which the client waits.
func (req *request) clientDeadline() time.Duration { return req.arrivedAt + req.clientTimeout }

// answerDeadline returns the time by which the request gets its final answer.
func (req *request) answerDeadline() time.Duration {
	if req.attempts.hasBegunResponse() {
		return req.clientDeadline()
	}
	return req.usefulUntil()
}

// waited returns the time since the request arrived.
func (req *request) waited(now time.Duration) time.Duration { return now - req.arrivedAt }

// finish ends a request: removes it from its queue, releases its reservations and cancels its attempts in flight.
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

// cancelAttempts cancels a request's attempts in flight. A streaming request is left alone because the client is
// reading the response.
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

// forgetIfDone removes a request that has ended and has no attempt in flight.
func (b *Balancer) forgetIfDone(req *request) {
	if req.ended && req.attempts.open == 0 {
		delete(b.requests, req.id)
	}
}

// handleRequestDone ends a request whose client has disconnected, or an admitted request whose work has finished.
func (b *Balancer) handleRequestDone(ev RequestDone) {
	if req := b.requests[ev.ID]; req != nil {
		b.finish(req)
	}
}
