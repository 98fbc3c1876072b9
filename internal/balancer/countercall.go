package balancer

import (
	"fmt"
	"hash/fnv"
	"time"
)

const (
	counterWindow               = 30 * time.Second       // a counter's name serves this long ...
	counterTTL                  = 50 * time.Second       // ... and is kept this long (the counter keeps nothing over 60 s)
	maxCallsOut                 = 32                     // counter calls out at once
	minCallFraction             = 0.1                    // part of the requests without tokens that call, at least
	callLatencyTarget           = 0.7                    // part of its time-out that a call should take at most ...
	callFractionGrowth          = 0.2                    // ... else fewer call; growth of their part by an instant answer
	callFractionDecrease        = 0.8                    // factor for each call failed
	degradedCallFraction        = 0.2                    // part at which the counter is taken to be silent or swamped
	counterProbePause           = 100 * time.Millisecond // pause between calls that then test it, at least ...
	counterProbePausePerGateway = 5 * time.Millisecond   // ... and for each door
	callsStart                  = 260.0                  // calls a second of all doors at first ...
	callsLow                    = 40.0                   // ... and at least
	callsHigh                   = 1000.0                 // and of one at most
	callsDepth                  = 4.0
	failedMost                  = 2 // calls failed in a row from which nothing is lent
	// calls whose late answers are waited for; for one more the oldest is given up
	lateMost  = 256
	lateKeep  = 5 * time.Second        // and no longer than this
	latePause = 400 * time.Millisecond // in which nothing more is asked for the customer
)

// counterCall is a counter call that is out; with no block it only puts the number right.
type counterCall struct {
	customer            *customer
	block, amount, debt float64 // units asked for; what is added in all; of it, owed from before
	window              int64
	sentAt              time.Duration
	kind                callKind
	ticket              uint64  // of those whose block is given back after a late answer
	firstTotal          float64 // the total that says that this door is the first
	total               float64 // what the number came to when its store was seen to hold too much
	short               bool    // for what goes out past this door's share of the ceiling
}

// callKind says what a counter call is for.
type callKind int

const (
	forTokens callKind = iota // of the quota, or with no block to put its store right
	forLease                  // of the ceiling beyond the quota, in a window of its own
	forFirst                  // to learn whether this door is the first one that asks in a window
	forLast                   // to learn what the window before came to
	forLevel                  // to learn what the store holds
	forTest                   // to learn whether the counter answers
	forFix                    // to learn whether this door is the first that would put the store right
	forFixed                  // ... or another one has just done that
	forRight                  // to put the store right, and to learn whether another door had
)

// canCallCounter says that the counter can be asked: it answers, or this door's turn to test it has come.
func (b *Balancer) canCallCounter() bool {
	pause := max(counterProbePause, time.Duration(b.liveGateways())*counterProbePausePerGateway)
	return !b.handedOver && len(b.counter.callsOut) < maxCallsOut &&
		(b.counter.callFraction > degradedCallFraction || b.now-b.counter.lastCallAt >= pause)
}

// callCounter adds an amount on the counter under the customer and the window.
func (b *Balancer) callCounter(cust *customer, block, amount, owed float64) *counterCall {
	window := int64(b.now / counterWindow)
	name := counterName(cust.name, window)
	call := &counterCall{
		customer: cust,
		block:    block,
		amount:   amount,
		debt:     owed,
		window:   window,
		sentAt:   b.now,
		ticket:   b.counter.timedOut.nextTicket(),
	}
	b.counter.callsOut[name] = append(b.counter.callsOut[name], call)
	b.counter.pacer.Take(b.now)
	b.emit(CounterAdd{name, amount, counterTTL, call.ticket})
	return call
}

func (b *Balancer) callAuxiliary(
	cust *customer,
	kind callKind,
	window int64,
	name uint64,
	amount float64,
) *counterCall {
	call := &counterCall{customer: cust, window: window, sentAt: b.now, kind: kind}
	b.counter.callsOut[name] = append(b.counter.callsOut[name], call)
	b.emit(CounterAdd{name, amount, counterTTL, 0})
	return call
}

// takeCall finds the call that an answer belongs to: those for one name come in the order of the calls.
func (b *Balancer) takeCall(name uint64) *counterCall {
	all := b.counter.callsOut[name]
	if len(all) == 0 {
		return nil
	}
	if b.counter.callsOut[name] = all[1:]; len(all) == 1 {
		delete(b.counter.callsOut, name)
	}
	return all[0]
}

// counterName is the counter's name for a customer and a window, within 63 bits.
func counterName(customer string, window int64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", customer, window)
	return h.Sum64() >> 1
}

// allowAnotherCall lets each request in a customer's line call the counter once more.
func (cust *customer) allowAnotherCall() {
	for _, req := range cust.waiting.requests {
		req.counterCalled, req.counterCalledTwice = req.counterCalled && req.counterCalledTwice, true
	}
}

// handleCounterResult settles a call. The counter's state shows in its answers alone: each in time lets a larger part
// of
// the requests call, each late or failed one a smaller.
func (b *Balancer) handleCounterResult(ev CounterResult) {
	call := b.takeCall(ev.Name)
	if call == nil {
		return
	}
	if ev.Status == OK {
		b.counter.pacer.Answered(b.now, b.now-call.sentAt)
	} else if ev.Status != Failed {
		b.counter.pacer.Failed(b.now, call.sentAt)
	}
	if ev.Status == Failed { // the counter lives, and this says nothing of how much it bears
	} else if ev.Status != OK {
		if call.sentAt >= b.counter.callFractionCutAt { // the calls of one connection end together, and say no more than one of them
			b.counter.callFraction, b.counter.callFractionCutAt = max(minCallFraction, b.counter.callFraction*callFractionDecrease), b.now
		}
	} else {
		took := (b.now - call.sentAt).Seconds() / b.settings.CounterTimeout.Seconds()
		b.counter.callFraction = min(
			1,
			max(degradedCallFraction, b.counter.callFraction*(1+callFractionGrowth*(1-took/callLatencyTarget))),
		)
	}
	b.recordCallOutcome(ev.Status == OK)
	if call.kind == forTest {
		return
	}
	if t := b.leaseTerms[call.customer.plan]; call.kind == forLease {
		if ev.Status == OK {
			call.customer.ceiling.lease.Answered(t, b.now, call.window, call.block, ev.Total)
		} else {
			call.customer.ceiling.lease.Failed(b.now, counterProbePause)
		}
	} else if call.kind != forTokens {
		b.handleStoreCall(call, ev)
	} else if call.block > 0 {
		call.customer.quota.callPending = false
		switch ev.Status {
		case OK:
			b.creditLease(call, ev.Total, b.now)
		case Failed: // all was added, and no units come of the block: it is given back
			call.customer.quota.debt -= call.block
			call.customer.allowAnotherCall()
		case Timeout:
			b.handleCallTimeout(call)
		default:
			call.customer.quota.debt += call.debt
		}
	}
	b.serveWaiting(call.customer)
}

// recordCallOutcome takes whether a counter call was answered. After a few failures in a row doors go by their even
// shares, and lend
// again when the ceilings have had the time to fill since the last one.
func (b *Balancer) recordCallOutcome(ok bool) {
	if ok {
		b.counter.failuresInRow = 0
	} else if b.counter.failuresInRow++; b.counter.failuresInRow >= failedMost || b.now < b.counter.leasingFrom {
		b.counter.leasingFrom = b.now + b.longestCeilingFill
	}
}

// callTest asks the counter for no customer.
func (b *Balancer) callTest() {
	b.callAuxiliary(nil, forTest, 0, counterName("test", int64(b.settings.Index)), 0)
}

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

// take is the call of a ticket, which is then forgotten; nil: nothing is known of it, or no longer.
func (l *timedOutCalls) take(ticket uint64) *counterCall {
	call := l.calls[ticket]
	delete(l.calls, ticket)
	return call
}

// handleCallTimeout takes it that a call may have been added and that nobody heard of it. One that ended long before
// its time did so with
// its connection: no late answer can come on that, and who waits may ask once more, now.
func (b *Balancer) handleCallTimeout(call *counterCall) {
	call.customer.quota.lastCallLost = true
	if b.now-call.sentAt < b.settings.CounterTimeout/2 {
		call.customer.allowAnotherCall()
		return
	}
	b.counter.timedOut.keep(call, b.now)
	call.customer.quota.callsPausedUntil = b.now + latePause
}

// handleLateCounterResult takes the answer to a call that was given up, if it goes by the number of now: a window's
// number does not outlive it.
func (b *Balancer) handleLateCounterResult(ev LateCounterResult) {
	call := b.counter.timedOut.take(ev.Ticket)
	if call == nil || call.window != int64(b.now/counterWindow) || b.now-call.sentAt > lateKeep {
		return
	}
	call.customer.quota.callsPausedUntil = 0
	if ev.Status == OK {
		b.creditLease(call, ev.Total, call.sentAt) // what the store has gained since may be spent by others
	} else {
		call.customer.quota.debt -= call.block
	}
	b.serveWaiting(call.customer)
}
