package balancer

import "time"

// Limits for timed-out calls to the counter.
const (
	// maxTimedOutCalls is the maximum number of timed-out calls that are kept. The oldest is dropped for a new one.
	maxTimedOutCalls = 256
	// timedOutCallTTL is how long after it was sent a call may still be answered.
	timedOutCallTTL = 5 * time.Second
	// timedOutCallPause is the time after a timeout during which no call is made for the customer.
	timedOutCallPause = 400 * time.Millisecond
)

// timedOutCalls holds the calls for tokens that ended with Timeout, by ticket. The zero value is ready to use.
//
// Such a call has taken a block from its customer's bucket, or may still do so, but no request benefits from it. With a
// slow counter, each abandoned call would reduce the customer's quota by one lease. Therefore a late answer still
// leases its block, and no further call is made for the customer until the answer arrives or a pause has passed. A slow
// counter then takes one block instead of ten. Returning the blocks would look to the peers as if the counter had lost
// its totals, and each of them would correct the bucket.
type timedOutCalls struct {
	byTicket map[uint64]*counterCall
	// order holds the tickets, oldest first. The tickets of calls that were taken remain in it.
	order []uint64
	// lastTicket is the last ticket issued.
	lastTicket uint64
}

// nextTicket returns a new ticket. 0 means no ticket.
func (timedOut *timedOutCalls) nextTicket() uint64 {
	timedOut.lastTicket++
	return timedOut.lastTicket
}

// keep adds a call that ended without an answer, and drops calls that are too old or too many.
func (timedOut *timedOutCalls) keep(call *counterCall, now time.Duration) {
	if timedOut.byTicket == nil {
		timedOut.byTicket = map[uint64]*counterCall{}
	}
	timedOut.byTicket[call.ticket] = call
	timedOut.order = append(timedOut.order, call.ticket)
	for len(timedOut.order) > 0 {
		oldest := timedOut.byTicket[timedOut.order[0]]
		if oldest != nil && len(timedOut.order) <= maxTimedOutCalls && now-oldest.sentAt <= timedOutCallTTL {
			break
		}
		delete(timedOut.byTicket, timedOut.order[0])
		timedOut.order = timedOut.order[1:]
	}
}

// take removes and returns the call of a ticket, or nil if there is none.
func (timedOut *timedOutCalls) take(ticket uint64) *counterCall {
	call := timedOut.byTicket[ticket]
	delete(timedOut.byTicket, ticket)
	return call
}

// handleCallTimeout processes a call for tokens that ended without an answer, so that its block may have been added. A
// call that ended long before its timeout did so because its connection broke. No late answer can arrive on that
// connection, so the waiting requests may call once more immediately.
func (b *Balancer) handleCallTimeout(call *counterCall) {
	call.customer.quota.recordLostCall()
	if b.now-call.sentAt < b.settings.CounterTimeout/2 {
		call.customer.waiting.allowAnotherCall()
		return
	}
	b.counter.timedOut.keep(call, b.now)
	call.customer.quota.pauseCallsUntil(b.now + timedOutCallPause)
}

// handleLateCounterResult processes the answer to a timed-out call. It is only useful in the call's own window, since a
// window's total is not used after that window.
func (b *Balancer) handleLateCounterResult(ev LateCounterResult) {
	call := b.counter.timedOut.take(ev.Ticket)
	if call == nil || call.window != counterWindowAt(b.now) || b.now-call.sentAt > timedOutCallTTL {
		return
	}
	call.customer.quota.pauseCallsUntil(0)
	if ev.Status == OK {
		b.creditLease(call, ev.Total, call.sentAt) // peers may have spent units gained since then
	} else {
		call.customer.quota.addDebt(-call.block)
	}
	b.serveWaiting(call.customer)
}
