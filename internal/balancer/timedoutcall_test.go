package balancer

import (
	"testing"
	"time"
)

// TestLateResultIsALease verifies that a call that is answered too late still leases its block, since the counter has
// added it. It is leased only once, regardless of repeated answers or answers to other calls, and no further call is
// made in the meantime.
func TestLateResultIsALease(t *testing.T) {
	b, call, now := newBalancerWithPendingCall(t)
	cust := b.customers.find("c")
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	if actions := b.Step(now+55*ms, []Event{testRequest(900, 0, 0)}); len(actionsOf[CounterAdd](actions)) != 0 {
		t.Errorf("second call before the first one is answered: %v", actions)
	}
	before := cust.quota.tokens
	b.Step(now+60*ms, []Event{LateCounterResult{Ticket: call.Ticket + 99, Status: OK}, LateCounterResult{Status: OK}})
	if cust.quota.tokens != before {
		t.Errorf("%v tokens after answers to other calls, want %v", cust.quota.tokens, before)
	}
	late := LateCounterResult{call.Ticket, OK, call.Amount}
	b.Step(now+70*ms, []Event{late, late})
	if got := cust.quota.tokens - before; got <= 0 || got > call.Amount {
		t.Errorf("%v units leased of the %v added", got, call.Amount)
	}
	before = cust.quota.tokens
	b.Step(now+80*ms, []Event{testRequest(901, 0, 0)}) // the endpoints are full, but tokens cover it
	if req := b.requests[901]; before >= 1 && (req == nil || !req.quota.covered || cust.quota.tokens != before-1) {
		t.Errorf("request not covered by a lease of %v tokens", before)
	}
}

// TestLateResultWithoutTotal verifies that the block of a late answer is returned if its total cannot be read.
func TestLateResultWithoutTotal(t *testing.T) {
	b, call, now := newBalancerWithPendingCall(t)
	cust := b.customers.find("c")
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	before := cust.quota.debt
	b.Step(now+70*ms, []Event{LateCounterResult{Ticket: call.Ticket, Status: Failed}})
	if got := before - cust.quota.debt; got <= 0 || got > call.Amount {
		t.Errorf("%v units returned of the %v added", got, call.Amount)
	}
}

// TestLateResultOfAnotherWindow verifies that a late answer is ignored if its total belongs to an earlier window, and
// that old calls are dropped.
func TestLateResultOfAnotherWindow(t *testing.T) {
	for _, after := range []time.Duration{counterWindow, timedOutCallTTL + time.Second} {
		b, call, now := newBalancerWithPendingCall(t)
		cust := b.customers.find("c")
		b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
		before := cust.quota.tokens
		b.Step(now+after, []Event{LateCounterResult{call.Ticket, OK, call.Amount}})
		if cust.quota.tokens != before {
			t.Errorf("%v after the call: %v tokens, want %v", after, cust.quota.tokens, before)
		}
	}
}

// TestTimedOutCallsAreBounded verifies that a counter that never responds leaves a bounded number of timed-out calls.
func TestTimedOutCallsAreBounded(t *testing.T) {
	var timedOut timedOutCalls
	for i := range 10 * maxTimedOutCalls {
		timedOut.keep(&counterCall{ticket: timedOut.nextTicket(), sentAt: time.Duration(i)}, time.Duration(i))
		if len(timedOut.byTicket) > maxTimedOutCalls || len(timedOut.order) > maxTimedOutCalls {
			t.Fatalf("%d calls and %d tickets kept, want at most %d",
				len(timedOut.byTicket), len(timedOut.order), maxTimedOutCalls)
		}
	}
	timedOut.keep(&counterCall{ticket: timedOut.nextTicket(), sentAt: time.Hour}, time.Hour)
	if len(timedOut.byTicket) != 1 || len(timedOut.order) != 1 {
		t.Errorf("%d calls and %d tickets kept after an hour, want 1", len(timedOut.byTicket), len(timedOut.order))
	}
}

// TestLateResultGrantsNoLaterRefill verifies that a late answer only grants units that the bucket had when the call was
// made. Peers may have spent what it has gained since.
func TestLateResultGrantsNoLaterRefill(t *testing.T) {
	b, call, now := newBalancerWithPendingCall(t)
	cust := b.customers.find("c")
	plan := b.settings.Plans[0]
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	before := cust.quota.tokens
	empty := plan.Burst + plan.Rate*now.Seconds() + call.Amount // the bucket was empty at the call
	b.Step(now+3*time.Second, []Event{LateCounterResult{call.Ticket, OK, empty}})
	if cust.quota.tokens > before {
		t.Errorf("%v tokens granted from a bucket that was empty at the call", cust.quota.tokens-before)
	}
}

// TestLateResultAfterNewerOne verifies that a late total, which is older than that of a later call, neither looks like
// a loss of the counter's totals nor replaces the newer one.
func TestLateResultAfterNewerOne(t *testing.T) {
	b, call, now := newBalancerWithPendingCall(t)
	cust := b.customers.find("c")
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	now += 50*ms + timedOutCallPause
	later := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(700, 0, 0)}))
	if len(later) != 1 {
		t.Fatalf("%d calls after the pause, want 1", len(later))
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
			t.Errorf("%v units added as a correction based on an old total", correction.Amount)
		}
	}
}
