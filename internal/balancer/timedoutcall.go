package balancer

import "time"

// Calls to the counter that timed out.
const (
	// maxTimedOutCalls is the number of such calls that are kept; for one more the oldest is dropped.
	maxTimedOutCalls = 256
	// timedOutCallTTL is how long after it was sent a call may still be answered.
	timedOutCallTTL = 5 * time.Second
	// timedOutCallPause is the time after a timeout in which no call is made for the customer.
	timedOutCallPause = 400 * time.Millisecond
)

// timedOutCalls are the calls for tokens that ended as Timeout, by their tickets. The zero value is ready.
//
// Such a call has taken a block from its customer's bucket, or may yet, and no request had any use of it: where the
// counter is slow, each call given up would shorten the customer's quota by a lease. So a late answer still leases its
// block, and no further call is made for the customer until it has come, or for a while: a slow counter takes one
// block and not ten. Returning the blocks instead would look to the peers as if the counter had lost its totals, and
// each of them would correct the bucket.
type timedOutCalls struct {
	byTicket map[uint64]*counterCall
	// order holds the tickets, oldest first. Calls that are taken leave theirs behind.
	order []uint64
	// lastTicket is the last ticket given.
	lastTicket uint64
}

// nextTicket makes a new ticket. 0 is none.
func (timedOut *timedOutCalls) nextTicket() uint64 {
	timedOut.lastTicket++
	return timedOut.lastTicket
}

// keep adds a call that has ended without an answer, and drops those that are too old or too many.
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

// take removes and returns the call of a ticket, or nil when it is not known or no longer.
func (timedOut *timedOutCalls) take(ticket uint64) *counterCall {
	call := timedOut.byTicket[ticket]
	delete(timedOut.byTicket, ticket)
	return call
}

// handleCallTimeout takes a call for tokens that ended without an answer: its block may have been added. One that
// ended long before its timeout did so with its connection. No late answer can come on that, and whoever waits may call
// once more, now.
func (b *Balancer) handleCallTimeout(call *counterCall) {
	call.customer.quota.loseCall()
	if b.now-call.sentAt < b.settings.CounterTimeout/2 {
		call.customer.waiting.allowAnotherCall()
		return
	}
	b.counter.timedOut.keep(call, b.now)
	call.customer.quota.pauseCallsUntil(b.now + timedOutCallPause)
}

// handleLateCounterResult takes the answer to a call that timed out. It is of use in the window of the call only, as a
// window's total does not outlive it.
func (b *Balancer) handleLateCounterResult(ev LateCounterResult) {
	call := b.counter.timedOut.take(ev.Ticket)
	if call == nil || call.window != counterWindowAt(b.now) || b.now-call.sentAt > timedOutCallTTL {
		return
	}
	call.customer.quota.pauseCallsUntil(0)
	if ev.Status == OK {
		b.creditLease(call, ev.Total, call.sentAt) // peers may have spent what the bucket gained since
	} else {
		call.customer.quota.addDebt(-call.block)
	}
	b.serveWaiting(call.customer)
}
