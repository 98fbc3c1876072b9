package balancer

import (
	"testing"
	"time"
)

// Calls of one connection end together. They say no more of the counter than one of them; one that was made after they
// ended does.
func TestConcurrentCallFailuresCountOnce(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(2)...)
	now := time.Second
	names := map[uint64]bool{}
	for i := uint64(0); len(names) < 5 && i < 400; i++ { // calls for five customers
		request := testRequest(i, 0, 0)
		request.Customer = string(rune('a' + i%5))
		for _, k := range actionsOf[CounterAdd](b.Step(now, []Event{request})) {
			names[k.Name] = true
		}
	}
	if len(names) != 5 {
		t.Fatalf("%d customers call", len(names))
	}
	before := b.counter.callFraction
	var all []Event
	for name := range names {
		all = append(all, CounterResult{Name: name, Status: Timeout})
	}
	b.Step(now+50*ms, all)
	if want := before * callFractionDecrease; b.counter.callFraction != want {
		t.Errorf(
			"the part that calls is %v after five calls that ended together; want %v as after one",
			b.counter.callFraction,
			want,
		)
	}
	cust := b.customers.find("a")
	cust.quota.callsPausedUntil, cust.bucket.emptyUntil, cust.quota.fallbackTokens, b.counter.callFraction = 0, 0, 0, 1
	again := actionsOf[CounterAdd](
		b.Step(now+60*ms, []Event{func() Request { request := testRequest(900, 0, 0); request.Customer = "a"; return request }()}),
	)
	if len(again) != 1 {
		t.Fatalf("%d calls after that", len(again))
	}
	b.Step(now+110*ms, []Event{CounterResult{Name: again[0].Name, Status: Timeout}})
	if b.counter.callFraction != callFractionDecrease {
		t.Errorf("a later failure does not count: %v", b.counter.callFraction)
	}
}

// Where calls cost, a lease of a nearly full store reaches further ahead; one of a store that is running out never
// does.
func TestLeaseSizeGrowsWithCallCost(t *testing.T) {
	block := func(fee, full float64) float64 {
		settings := testSettings()
		settings.CounterCallCost, settings.Plans[0] = fee, Plan{
			Rate:           10,
			Burst:          400,
			PriorityFactor: 1,
			OverQuotaCost:  0.5,
		}
		b := newTestBalancer(t, settings, testEndpoints(2)...)
		now := time.Second
		b.Step(now, []Event{testRequest(1, 0, 0)})
		cust := b.customers.find("c")
		cust.bucket.known, cust.quota.fallbackTokens, cust.quota.tokens, cust.demand.rate = true, 0, 0, 10
		cust.bucket.level, cust.bucket.levelAt = full*400, now
		calls := actionsOf[CounterAdd](b.Step(now+ms, []Event{testRequest(2, 0, 0)}))
		if len(calls) != 1 {
			t.Fatalf("%d calls", len(calls))
		}
		return calls[0].Amount - cust.quota.debt
	}
	free, dear, scarce := block(0, 1), block(0.02, 1), block(0.02, 0.5)
	if dear < 3*free || scarce > free+1 {
		t.Errorf(
			"leases of %.0f where calls are free, %.0f where they cost, %.0f where they cost and the store is half empty",
			free,
			dear,
			scarce,
		)
	}
}

// A counter whose answer can't be read has added the block all the same: it is given back with the next call, which is
// made at
// once for who waits, and once only.
func TestUnreadableCounterResult(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(2)...)
	var calls []CounterAdd
	now := ms
	for i := range uint64(40) { // the fresh door's share is spent first
		calls = actionsOf[CounterAdd](b.Step(now, []Event{testRequest(i, 0, 0)}))
		if len(calls) > 0 {
			break
		}
	}
	if len(calls) != 1 {
		t.Fatal("no call of the counter")
	}
	first := calls[0]
	owed := b.customers.find("c").quota.debt
	acts := b.Step(now+ms, []Event{CounterResult{Name: first.Name, Status: Failed}})
	again := actionsOf[CounterAdd](acts)
	if len(again) != 1 || len(actionsOf[Reject](acts)) != 0 {
		t.Fatalf("after a spoilt answer: %v; want one more call and no refusal", acts)
	}
	if sum := first.Amount + again[0].Amount; sum >= 2*first.Amount+owed {
		t.Errorf("%v and then %v added; want the first block given back", first.Amount, again[0].Amount)
	}
	acts = b.Step(now+2*ms, []Event{CounterResult{Name: again[0].Name, Status: Failed}})
	if len(actionsOf[CounterAdd](acts)) != 0 || len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("after a second one: %v; want a refusal and no third call", acts)
	}
}

// newBalancerWithCallOut is a door with one call of the counter out, for a request that waits for it.
func newBalancerWithCallOut(t *testing.T) (*Balancer, CounterAdd, time.Duration) {
	t.Helper()
	return newSeededBalancerWithCallOut(t, 7)
}

func newSeededBalancerWithCallOut(t *testing.T, seed uint64) (*Balancer, CounterAdd, time.Duration) {
	t.Helper()
	b, err := New(testSettings(), seed)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: testEndpoints(2)}})
	now := time.Second
	for i := range uint64(40) { // the fresh door's share is spent first
		now += ms
		if calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(i, 0, 0)})); len(calls) > 0 {
			return b, calls[0], now
		}
	}
	t.Fatal("no call of the counter")
	return nil, CounterAdd{}, 0
}

// A call that is answered too late has taken its block: it is leased from then on, once, whatever is said twice or of
// other
// calls; and meanwhile nothing more is asked.
func TestLateResultIsALease(t *testing.T) {
	b, call, now := newBalancerWithCallOut(t)
	cust := b.customers.find("c")
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	if acts := b.Step(now+55*ms, []Event{testRequest(900, 0, 0)}); len(actionsOf[CounterAdd](acts)) != 0 {
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
	b.Step(now+80*ms, []Event{testRequest(901, 0, 0)}) // the servers are full, but it is paid for
	if req := b.requests[901]; before >= 1 && (req == nil || !req.withinQuota || cust.quota.tokens != before-1) {
		t.Errorf("a request inside the lease of %v is not paid by it", before)
	}
}

// One whose total can't be read is given back.
func TestLateResultWithoutTotal(t *testing.T) {
	b, call, now := newBalancerWithCallOut(t)
	cust := b.customers.find("c")
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	before := cust.quota.debt
	b.Step(now+70*ms, []Event{LateCounterResult{Ticket: call.Ticket, Status: Failed}})
	if got := before - cust.quota.debt; got <= 0 || got > call.Amount {
		t.Errorf("%v given back of the %v added", got, call.Amount)
	}
}

// What is late by a window belongs to a number that nobody asks any more, and what is stale is forgotten.
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

// A counter that is silent for ever leaves no more behind than the bound.
func TestTimedOutCallsAreBounded(t *testing.T) {
	var l timedOutCalls
	for i := range 10 * maxTimedOutCalls {
		l.keep(&counterCall{ticket: l.nextTicket(), sentAt: time.Duration(i)}, time.Duration(i))
		if len(l.byTicket) > maxTimedOutCalls || len(l.order) > maxTimedOutCalls {
			t.Fatalf("%d calls, %d tickets kept; want %d at most", len(l.byTicket), len(l.order), maxTimedOutCalls)
		}
	}
	l.keep(&counterCall{ticket: l.nextTicket(), sentAt: time.Hour}, time.Hour)
	if len(l.byTicket) != 1 || len(l.order) != 1 {
		t.Errorf("%d calls and %d tickets after an hour; want the new one", len(l.byTicket), len(l.order))
	}
}

// A block that nobody hears of is lost to the customer, so the next call asks for one request only; an answer makes it
// whole again.
func TestLeaseIsSmallestAfterLostCall(t *testing.T) {
	b, call, now := newBalancerWithCallOut(t)
	cust := b.customers.find("c")
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	cust.demand.rate = 100 // a flood, whose lease would be a large one
	now += 50*ms + timedOutCallPause
	calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(800, 0, 0)}))
	if len(calls) != 1 || calls[0].Amount > 1+1e-9 {
		t.Fatalf("after a call without an answer: %v; want one for a single unit", calls)
	}
	b.Step(now+ms, []Event{CounterResult{Name: calls[0].Name, Status: OK, Total: 0}})
	if cust.quota.lastCallLost {
		t.Error("the counter was heard, and still the least is asked")
	}
}

// A connection that breaks ends its calls at once, and no late answer can come on it: who waits asks once more, now.
func TestCallIsRepeatedAfterBrokenConnection(t *testing.T) {
	again := 0
	for seed := range uint64(20) { // the part that calls has shrunk by the failure: for a few that means no
		b, call, now := newSeededBalancerWithCallOut(t, seed)
		acts := b.Step(now+3*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
		again += len(actionsOf[CounterAdd](acts))
		if len(b.counter.timedOut.byTicket) != 0 || b.customers.find("c").quota.callsPausedUntil != 0 {
			t.Errorf("seed %d: a late answer is waited for on a connection that is gone", seed)
		}
	}
	if again < 10 {
		t.Errorf("%d of 20 asked once more", again)
	}
}

// One that says it is busy, or takes no connection, is not asked again at once.
func TestRejectedCallIsNotRepeated(t *testing.T) {
	for _, status := range []Status{Rejected, ConnectFailed} {
		for seed := range uint64(20) { // whether a request calls is partly chance
			b, call, now := newSeededBalancerWithCallOut(t, seed)
			acts := b.Step(now+3*ms, []Event{CounterResult{Name: call.Name, Status: status}})
			if again := actionsOf[CounterAdd](acts); len(again) != 0 {
				t.Errorf("status %d, seed %d: asked again at once: %v", status, seed, again)
			}
		}
	}
}

// A late answer tells what the store held when the call was made. What it has gained since may be spent by others: it
// is not
// granted on the strength of an old total.
func TestLateResultGrantsNoLaterRefill(t *testing.T) {
	b, call, now := newBalancerWithCallOut(t)
	cust := b.customers.find("c")
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
	for _, k := range actionsOf[CounterAdd](acts) {
		if k.Amount > 0 {
			t.Errorf("%v added to put a number right by an old total", k.Amount)
		}
	}
}
