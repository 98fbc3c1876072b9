package balancer

import (
	"testing"
	"time"
)

// called is a door with one call of the counter out, for a request that waits for it.
func called(t *testing.T) (*Balancer, CounterAdd, time.Duration) {
	t.Helper()
	return calledBy(t, 7)
}

func calledBy(t *testing.T, seed uint64) (*Balancer, CounterAdd, time.Duration) {
	t.Helper()
	b, err := New(basic(), seed)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: backends(2)}})
	now := time.Second
	for i := range uint64(40) { // the fresh door's share is spent first
		now += ms
		if calls := only[CounterAdd](b.Step(now, []Event{ask(i, 0, 0)})); len(calls) > 0 {
			return b, calls[0], now
		}
	}
	t.Fatal("no call of the counter")
	return nil, CounterAdd{}, 0
}

// A call that is answered too late has taken its block: it is leased from then on, once, whatever is said twice or of
// other
// calls; and meanwhile nothing more is asked.
func TestLateAnswerIsALease(t *testing.T) {
	b, call, now := called(t)
	cust := b.customers["c"]
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	if acts := b.Step(now+55*ms, []Event{ask(900, 0, 0)}); len(only[CounterAdd](acts)) != 0 {
		t.Errorf("asked again before the first call is answered: %v", acts)
	}
	before := cust.quota.tokens
	b.Step(now+60*ms, []Event{LateCounterResult{Ticket: call.Ticket + 99, Status: OK}, LateCounterResult{Status: OK}})
	if cust.quota.tokens != before {
		t.Errorf("%v tokens after news of other calls; want %v", cust.quota.tokens, before)
	}
	late := LateCounterResult{call.Ticket, OK, call.Amount}
	b.Step(now+70*ms, []Event{late, late})
	if got := cust.quota.tokens - before; got <= 0 || got > call.Amount {
		t.Errorf("%v leased of the %v added", got, call.Amount)
	}
	before = cust.quota.tokens
	b.Step(now+80*ms, []Event{ask(901, 0, 0)}) // the servers are full, but it is paid for
	if req := b.requests[901]; before >= 1 && (req == nil || !req.withinQuota || cust.quota.tokens != before-1) {
		t.Errorf("a request inside the lease of %v is not paid by it", before)
	}
}

// One whose total can't be read is given back.
func TestLateAnswerThatIsSpoilt(t *testing.T) {
	b, call, now := called(t)
	cust := b.customers["c"]
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	before := cust.quota.debt
	b.Step(now+70*ms, []Event{LateCounterResult{Ticket: call.Ticket, Status: Failed}})
	if got := before - cust.quota.debt; got <= 0 || got > call.Amount {
		t.Errorf("%v given back of the %v added", got, call.Amount)
	}
}

// What is late by a window belongs to a number that nobody asks any more, and what is stale is forgotten.
func TestLateAnswerOfAnotherWindow(t *testing.T) {
	for _, after := range []time.Duration{counterWindow, lateKeep + time.Second} {
		b, call, now := called(t)
		cust := b.customers["c"]
		b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
		before := cust.quota.tokens
		b.Step(now+after, []Event{LateCounterResult{call.Ticket, OK, call.Amount}})
		if cust.quota.tokens != before {
			t.Errorf("%v later: %v tokens, want %v", after, cust.quota.tokens, before)
		}
	}
}

// A counter that is silent for ever leaves no more behind than the bound.
func TestLatesAreBounded(t *testing.T) {
	var l timedOutCalls
	for i := range 10 * lateMost {
		l.keep(&counterCall{ticket: l.nextTicket(), sentAt: time.Duration(i)}, time.Duration(i))
		if len(l.calls) > lateMost || len(l.order) > lateMost {
			t.Fatalf("%d calls, %d tickets kept; want %d at most", len(l.calls), len(l.order), lateMost)
		}
	}
	l.keep(&counterCall{ticket: l.nextTicket(), sentAt: time.Hour}, time.Hour)
	if len(l.calls) != 1 || len(l.order) != 1 {
		t.Errorf("%d calls and %d tickets after an hour; want the new one", len(l.calls), len(l.order))
	}
}

// A block that nobody hears of is lost to the customer, so the next call asks for one request only; an answer makes it
// whole again.
func TestAfterSilenceTheLeastIsAsked(t *testing.T) {
	b, call, now := called(t)
	cust := b.customers["c"]
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	cust.demand.rate = 100 // a flood, whose lease would be a large one
	now += 50*ms + latePause
	calls := only[CounterAdd](b.Step(now, []Event{ask(800, 0, 0)}))
	if len(calls) != 1 || calls[0].Amount > 1+1e-9 {
		t.Fatalf("after a call without an answer: %v; want one for a single unit", calls)
	}
	b.Step(now+ms, []Event{CounterResult{Name: calls[0].Name, Status: OK, Total: 0}})
	if cust.quota.lastCallLost {
		t.Error("the counter was heard, and still the least is asked")
	}
}

// A connection that breaks ends its calls at once, and no late answer can come on it: who waits asks once more, now.
func TestCallOfABrokenConnectionIsMadeAgain(t *testing.T) {
	again := 0
	for seed := range uint64(20) { // the part that calls has shrunk by the failure: for a few that means no
		b, call, now := calledBy(t, seed)
		acts := b.Step(now+3*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
		again += len(only[CounterAdd](acts))
		if len(b.counter.timedOut.calls) != 0 || b.customers["c"].quota.callsPausedUntil != 0 {
			t.Errorf("seed %d: a late answer is waited for on a connection that is gone", seed)
		}
	}
	if again < 10 {
		t.Errorf("%d of 20 asked once more", again)
	}
}

// One that says it is busy, or takes no connection, is not asked again at once.
func TestABusyCounterIsNotAskedAgain(t *testing.T) {
	for _, status := range []Status{Rejected, ConnectFailed} {
		for seed := range uint64(20) { // whether a request calls is partly chance
			b, call, now := calledBy(t, seed)
			acts := b.Step(now+3*ms, []Event{CounterResult{Name: call.Name, Status: status}})
			if again := only[CounterAdd](acts); len(again) != 0 {
				t.Errorf("status %d, seed %d: asked again at once: %v", status, seed, again)
			}
		}
	}
}

// A late answer tells what the store held when the call was made. What it has gained since may be spent by others: it
// is not
// granted on the strength of an old total.
func TestLateAnswerGrantsNoRefillSince(t *testing.T) {
	b, call, now := called(t)
	cust := b.customers["c"]
	plan := b.settings.Plans[0]
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	before := cust.quota.tokens
	empty := plan.Burst + plan.Rate*now.Seconds() + call.Amount // a total at which the store held nothing then
	b.Step(now+3*time.Second, []Event{LateCounterResult{call.Ticket, OK, empty}})
	if cust.quota.tokens > before {
		t.Errorf("%v granted from a store that was empty when it was asked", cust.quota.tokens-before)
	}
}

// A late total is older than what a later call has told: it neither looks like a loss of the counter nor is taken for
// the newest.
func TestLateAnswerAfterALaterOne(t *testing.T) {
	b, call, now := called(t)
	cust := b.customers["c"]
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	now += 50*ms + latePause
	later := only[CounterAdd](b.Step(now, []Event{ask(700, 0, 0)}))
	if len(later) != 1 {
		t.Fatalf("%d calls after the pause", len(later))
	}
	b.Step(now+ms, []Event{CounterResult{Name: later[0].Name, Status: OK, Total: 90}})
	known, seen, store, at := cust.bucket.knownAt, cust.bucket.seenTotal, cust.bucket.level, cust.bucket.levelAt
	acts := b.Step(now+20*ms, []Event{LateCounterResult{call.Ticket, OK, call.Amount}})
	if cust.bucket.knownAt != known || cust.bucket.seenTotal != seen || cust.bucket.level != store || cust.bucket.levelAt != at {
		t.Errorf(
			"known since %v, seen %v, store %v at %v; want %v, %v, %v at %v",
			cust.bucket.knownAt,
			cust.bucket.seenTotal,
			cust.bucket.level,
			cust.bucket.levelAt,
			known,
			seen,
			store,
			at,
		)
	}
	for _, k := range only[CounterAdd](acts) {
		if k.Amount > 0 {
			t.Errorf("%v added to put a number right by an old total", k.Amount)
		}
	}
}
