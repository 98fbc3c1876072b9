package balancer

import (
	"testing"
	"time"
)

// Calls that fail at the same time say no more of the counter than one; a call that was made after that does.
func TestConcurrentCallFailuresCountOnce(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(2)...)
	now := time.Second
	names := map[uint64]bool{}
	for i := uint64(0); len(names) < 5 && i < 400; i++ { // calls for five customers
		request := testRequest(i, 0, 0)
		request.Customer = string(rune('a' + i%5))
		for _, call := range actionsOf[CounterAdd](b.Step(now, []Event{request})) {
			names[call.Name] = true
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
		t.Errorf("call fraction %v after five calls that failed together; want %v as after one",
			b.counter.callFraction, want)
	}
	cust := b.customers.find("a")
	cust.quota.callsPausedUntil = 0
	cust.quota.fallbackTokens = 0
	cust.bucket.emptyUntil = 0
	b.counter.callFraction = 1
	request := testRequest(900, 0, 0)
	request.Customer = "a"
	again := actionsOf[CounterAdd](b.Step(now+60*ms, []Event{request}))
	if len(again) != 1 {
		t.Fatalf("%d calls after that", len(again))
	}
	b.Step(now+110*ms, []Event{CounterResult{Name: again[0].Name, Status: Timeout}})
	if b.counter.callFraction != callFractionDecrease {
		t.Errorf("a later failure does not count: %v", b.counter.callFraction)
	}
}

// Where calls cost, a lease of a nearly full bucket covers a longer time; one of a bucket that runs out never does.
func TestLeaseSizeGrowsWithCallCost(t *testing.T) {
	leased := func(callCost, fillLevel float64) float64 {
		settings := testSettings()
		settings.CounterCallCost = callCost
		settings.Plans[0] = Plan{Rate: 10, Burst: 400, PriorityFactor: 1, OverQuotaCost: 0.5}
		b := newTestBalancer(t, settings, testEndpoints(2)...)
		now := time.Second
		b.Step(now, []Event{testRequest(1, 0, 0)})
		cust := b.customers.find("c")
		cust.bucket.known, cust.quota.fallbackTokens, cust.quota.tokens, cust.demand.rate = true, 0, 0, 10
		cust.bucket.level, cust.bucket.levelAt = fillLevel*400, now
		calls := actionsOf[CounterAdd](b.Step(now+ms, []Event{testRequest(2, 0, 0)}))
		if len(calls) != 1 {
			t.Fatalf("%d calls", len(calls))
		}
		return calls[0].Amount - cust.quota.debt
	}
	free, costly, scarce := leased(0, 1), leased(0.02, 1), leased(0.02, 0.5)
	if costly < 3*free || scarce > free+1 {
		t.Errorf("leases of %.0f where calls are free, %.0f where they cost, %.0f where the bucket is half empty too",
			free, costly, scarce)
	}
}

// A call whose total is not known has added its amount all the same: it is given back with the next call, which is
// made at once for the waiting request, and only once.
func TestUnreadableCounterResult(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(2)...)
	var calls []CounterAdd
	now := ms
	for i := range uint64(40) { // the new gateway's share is spent first
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
	actions := b.Step(now+ms, []Event{CounterResult{Name: first.Name, Status: Failed}})
	again := actionsOf[CounterAdd](actions)
	if len(again) != 1 || len(actionsOf[Reject](actions)) != 0 {
		t.Fatalf("after a unreadable answer: %v; want one more call and no rejection", actions)
	}
	if sum := first.Amount + again[0].Amount; sum >= 2*first.Amount+owed {
		t.Errorf("%v and then %v added; want the first block given back", first.Amount, again[0].Amount)
	}
	actions = b.Step(now+2*ms, []Event{CounterResult{Name: again[0].Name, Status: Failed}})
	if len(actionsOf[CounterAdd](actions)) != 0 || len(actionsOf[Reject](actions)) != 1 {
		t.Errorf("after a second one: %v; want a rejection and no third call", actions)
	}
}

// newBalancerWithCallOut returns a gateway with one counter call out, for a request that waits for it.
func newBalancerWithCallOut(t *testing.T) (*Balancer, CounterAdd, time.Duration) {
	t.Helper()
	return newSeededBalancerWithCallOut(t, 7)
}

// newSeededBalancerWithCallOut is newBalancerWithCallOut with a seed.
func newSeededBalancerWithCallOut(t *testing.T, seed uint64) (*Balancer, CounterAdd, time.Duration) {
	t.Helper()
	b, err := New(testSettings(), seed)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: testEndpoints(2)}})
	now := time.Second
	for i := range uint64(40) { // the new gateway's share is spent first
		now += ms
		if calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(i, 0, 0)})); len(calls) > 0 {
			return b, calls[0], now
		}
	}
	t.Fatal("no call of the counter")
	return nil, CounterAdd{}, 0
}

// A call that is answered late has taken its units: they are leased once, whatever other results come. Meanwhile no
// other call is made.
func TestLateResultIsALease(t *testing.T) {
	b, call, now := newBalancerWithCallOut(t)
	cust := b.customers.find("c")
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	if actions := b.Step(now+55*ms, []Event{testRequest(900, 0, 0)}); len(actionsOf[CounterAdd](actions)) != 0 {
		t.Errorf("called again before the first call is answered: %v", actions)
	}
	before := cust.quota.tokens
	b.Step(now+60*ms, []Event{LateCounterResult{Ticket: call.Ticket + 99, Status: OK}, LateCounterResult{Status: OK}})
	if cust.quota.tokens != before {
		t.Errorf("%v tokens after results of other calls; want %v", cust.quota.tokens, before)
	}
	late := LateCounterResult{call.Ticket, OK, call.Amount}
	b.Step(now+70*ms, []Event{late, late})
	if got := cust.quota.tokens - before; got <= 0 || got > call.Amount {
		t.Errorf("%v leased of the %v added", got, call.Amount)
	}
	before = cust.quota.tokens
	b.Step(now+80*ms, []Event{testRequest(901, 0, 0)}) // the endpoints have no free slot, but the lease covers it
	if req := b.requests[901]; before >= 1 && (req == nil || !req.withinQuota || cust.quota.tokens != before-1) {
		t.Errorf("a request inside the lease of %v is not covered by it", before)
	}
}

// The units of a late result without a total are given back.
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

// A late result of another window belongs to a counter that is no longer used, and an old one is forgotten.
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

// A counter that never answers leaves no more calls behind than the bound.
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

// The units of a lost call are lost to the customer, so the next call asks for one request only, until the counter
// answers.
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
		t.Error("the counter has answered, and still the call counts as lost")
	}
}

// A broken connection ends its calls at once, and no late result can come: the waiting request calls once more.
func TestCallIsRepeatedAfterBrokenConnection(t *testing.T) {
	again := 0
	for seed := range uint64(20) { // callFraction has shrunk by the failure, so a few do not call
		b, call, now := newSeededBalancerWithCallOut(t, seed)
		actions := b.Step(now+3*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
		again += len(actionsOf[CounterAdd](actions))
		if len(b.counter.timedOut.byTicket) != 0 || b.customers.find("c").quota.callsPausedUntil != 0 {
			t.Errorf("seed %d: a late result is expected on a broken connection", seed)
		}
	}
	if again < 10 {
		t.Errorf("%d of 20 called once more", again)
	}
}

// A counter that rejects a call or accepts no connection is not called again at once.
func TestRejectedCallIsNotRepeated(t *testing.T) {
	for _, status := range []Status{Rejected, ConnectFailed} {
		for seed := range uint64(20) { // whether a request calls is partly random
			b, call, now := newSeededBalancerWithCallOut(t, seed)
			actions := b.Step(now+3*ms, []Event{CounterResult{Name: call.Name, Status: status}})
			if again := actionsOf[CounterAdd](actions); len(again) != 0 {
				t.Errorf("status %d, seed %d: called again at once: %v", status, seed, again)
			}
		}
	}
}

// A late result tells what the bucket held when the call was made. What it has gained since may be spent by others,
// so it is not leased by an old total.
func TestLateResultGrantsNoLaterRefill(t *testing.T) {
	b, call, now := newBalancerWithCallOut(t)
	cust := b.customers.find("c")
	plan := b.settings.Plans[0]
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	before := cust.quota.tokens
	empty := plan.Burst + plan.Rate*now.Seconds() + call.Amount // a total at which the bucket held nothing then
	b.Step(now+3*time.Second, []Event{LateCounterResult{call.Ticket, OK, empty}})
	if cust.quota.tokens > before {
		t.Errorf("%v leased from a bucket that was empty at the call", cust.quota.tokens-before)
	}
}

// A late total is older than that of a later call: it neither looks like a loss of the counter nor counts as the
// newest.
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
	if cust.bucket.knownAt != before.knownAt || cust.bucket.seenTotal != before.seenTotal ||
		cust.bucket.level != before.level || cust.bucket.levelAt != before.levelAt {
		t.Errorf("the late result changed the bucket from %+v to %+v", before, cust.bucket)
	}
	for _, call := range actionsOf[CounterAdd](actions) {
		if call.Amount > 0 {
			t.Errorf("%v added to correct the counter by an old total", call.Amount)
		}
	}
}
