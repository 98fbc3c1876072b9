package balancer

// What became of counter calls that ended as Timeout. Such a call has taken a block from its customer's store, or may yet,
// and no request had any use of it: where the counter is slow, each call that is given up shortens the customer's quota by what its
// demand would have used in a lease. An answer that comes too late for those who waited is still that of the block: it is
// leased from then on. And nothing more is asked for the customer until it has come, or for a while, so that a slow counter takes
// one block and not ten.
//
// Giving the blocks back instead was tried: the other doors see the store gain what it cannot have gained, take the number for
// lost and put it right, each of them.

import "time"

const (
	lateMost  = 256                    // calls whose late answers are waited for; for one more the oldest is given up
	lateKeep  = 5 * time.Second        // and no longer than this
	latePause = 400 * time.Millisecond // in which nothing more is asked for the customer
)

// timedOutCalls are the calls that ended as Timeout, by their tickets. The zero value is ready.
type timedOutCalls struct {
	calls map[uint64]*counterCall
	order []uint64 // oldest first
	last  uint64   // ticket given
}

// nextTicket makes a new one; 0 is none.
func (l *timedOutCalls) nextTicket() uint64 {
	l.last++
	return l.last
}

// keep remembers a call that has ended without an answer.
func (l *timedOutCalls) keep(call *counterCall, now time.Duration) {
	if l.calls == nil {
		l.calls = map[uint64]*counterCall{}
	}
	l.calls[call.ticket] = call
	l.order = append(l.order, call.ticket)
	for len(l.order) > 0 {
		old := l.calls[l.order[0]]
		if old != nil && len(l.order) <= lateMost && now-old.sentAt <= lateKeep {
			break
		}
		delete(l.calls, l.order[0])
		l.order = l.order[1:]
	}
}

// handleCallTimeout takes it that a call may have been added and that nobody heard of it. One that ended long before its time did so with
// its connection: no late answer can come on that, and who waits may ask once more, now.
func (b *Balancer) handleCallTimeout(call *counterCall) {
	call.customer.lastCallLost = true
	if b.now-call.sentAt < b.settings.CounterTimeout/2 {
		call.customer.allowAnotherCall()
		return
	}
	b.timedOutCalls.keep(call, b.now)
	call.customer.callsPausedUntil = b.now + latePause
}

// take is the call of a ticket, which is then forgotten; nil: nothing is known of it, or no longer.
func (l *timedOutCalls) take(ticket uint64) *counterCall {
	call := l.calls[ticket]
	delete(l.calls, ticket)
	return call
}

// handleLateCounterResult takes the answer to a call that was given up, if it goes by the number of now: a window's number does not outlive it.
func (b *Balancer) handleLateCounterResult(ev LateCounterResult) {
	call := b.timedOutCalls.take(ev.Ticket)
	if call == nil || call.window != int64(b.now/counterWindow) || b.now-call.sentAt > lateKeep {
		return
	}
	call.customer.callsPausedUntil = 0
	if ev.Status == OK {
		b.creditLease(call, ev.Total, call.sentAt) // what the store has gained since may be spent by others
	} else {
		call.customer.debt -= call.block
	}
	b.serveWaiting(call.customer)
}
