package balancer

import (
	"testing"
	"time"
)

// A call that is answered too late has taken its block: it is leased from then on, once, whatever answers are repeated
// or belong to other calls, and meanwhile no further call is made.
func TestLateResultIsALease(t *testing.T) {
	b, call, now := newBalancerWithCallOut(t)
	cust := b.customers.find("c")
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	if actions := b.Step(now+55*ms, []Event{testRequest(900, 0, 0)}); len(actionsOf[CounterAdd](actions)) != 0 {
		t.Errorf("a second call before the first one is answered: %v", actions)
	}
	before := cust.quota.tokens
	b.Step(now+60*ms, []Event{LateCounterResult{Ticket: call.Ticket + 99, Status: OK}, LateCounterResult{Status: OK}})
	if cust.quota.tokens != before {
		t.Errorf("%v tokens after answers to other calls; want %v", cust.quota.tokens, before)
	}
	late := LateCounterResult{call.Ticket, OK, call.Amount}
	b.Step(now+70*ms, []Event{late, late})
	if got := cust.quota.tokens - before; got <= 0 || got > call.Amount {
		t.Errorf("%v leased of the %v added", got, call.Amount)
	}
	before = cust.quota.tokens
	b.Step(now+80*ms, []Event{testRequest(901, 0, 0)}) // the endpoints are full, but tokens cover it
	if req := b.requests[901]; before >= 1 && (req == nil || !req.quota.covered || cust.quota.tokens != before-1) {
		t.Errorf("a request inside the lease of %v is not covered by it", before)
	}
}

// The block of a late answer whose total can't be read is returned.
func TestLateResultWithoutTotal(t *testing.T) {
	b, call, now := newBalancerWithCallOut(t)
	cust := b.customers.find("c")
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	before := cust.quota.debt
	b.Step(now+70*ms, []Event{LateCounterResult{Ticket: call.Ticket, Status: Failed}})
	if got := before - cust.quota.debt; got <= 0 || got > call.Amount {
		t.Errorf("%v returned of the %v added", got, call.Amount)
	}
}

// An answer that is late by a window belongs to a total that nobody uses any more, and old calls are forgotten.
func TestLateResultOfAnotherWindow(t *testing.T) {
	for _, after := range []time.Duration{counterWindow, timedOutCallTTL + time.Second} {
		b, call, now := newBalancerWithCallOut(t)
		cust := b.customers.find("c")
		b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
		before := cust.quota.tokens
		b.Step(now+after, []Event{LateCounterResult{call.Ticket, OK, call.Amount}})
		if cust.quota.tokens != before {
			t.Errorf("%v later: %v tokens, want %v", after, cust.quota.tokens, before)
		}
	}
}

// A counter that stays silent leaves a bounded number of calls behind.
func TestTimedOutCallsAreBounded(t *testing.T) {
	var timedOut timedOutCalls
	for i := range 10 * maxTimedOutCalls {
		timedOut.keep(&counterCall{ticket: timedOut.nextTicket(), sentAt: time.Duration(i)}, time.Duration(i))
		if len(timedOut.byTicket) > maxTimedOutCalls || len(timedOut.order) > maxTimedOutCalls {
			t.Fatalf("%d calls, %d tickets kept; want %d at most",
				len(timedOut.byTicket), len(timedOut.order), maxTimedOutCalls)
		}
	}
	timedOut.keep(&counterCall{ticket: timedOut.nextTicket(), sentAt: time.Hour}, time.Hour)
	if len(timedOut.byTicket) != 1 || len(timedOut.order) != 1 {
		t.Errorf("%d calls and %d tickets after an hour; want the new one", len(timedOut.byTicket), len(timedOut.order))
	}
}

// A late answer tells the level of the bucket when the call was made. Peers may have spent what it gained since: it is
// not granted by an old total.
func TestLateResultGrantsNoLaterRefill(t *testing.T) {
	b, call, now := newBalancerWithCallOut(t)
	cust := b.customers.find("c")
	plan := b.settings.Plans[0]
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	before := cust.quota.tokens
	empty := plan.Burst + plan.Rate*now.Seconds() + call.Amount // a total at which the bucket was empty then
	b.Step(now+3*time.Second, []Event{LateCounterResult{call.Ticket, OK, empty}})
	if cust.quota.tokens > before {
		t.Errorf("%v granted from a bucket that was empty at the call", cust.quota.tokens-before)
	}
}

// A late total is older than that of a later call: it neither looks like a loss of the counter's totals nor is taken
// for the newest.
func TestLateResultAfterNewerOne(t *testing.T) {
	b, call, now := newBalancerWithCallOut(t)
	cust := b.customers.find("c")
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	now += 50*ms + timedOutCallPause
	later := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(700, 0, 0)}))
	if len(later) != 1 {
		t.Fatalf("%d calls after the pause", len(later))
	}
	b.Step(now+ms, []Event{CounterResult{Name: later[0].Name, Status: OK, Total: 90}})
	before := cust.bucket
	actions := b.Step(now+20*ms, []Event{LateCounterResult{call.Ticket, OK, call.Amount}})
	after := cust.bucket
	if after.knownAt != before.knownAt || after.seenTotal != before.seenTotal || after.level != before.level ||
		after.levelAt != before.levelAt {
		t.Errorf("bucket %+v, want %+v", after, before)
	}
	for _, correction := range actionsOf[CounterAdd](actions) {
		if correction.Amount > 0 {
			t.Errorf("%v added as a correction by an old total", correction.Amount)
		}
	}
}
