package balancer

import (
	"testing"
	"time"
)

// Calls of one connection end together. They tell no more of the counter than one of them; a call that was made after
// they ended does.
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
		t.Errorf("call fraction %v after five calls that ended together, want %v as after one",
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

// Where calls cost, a lease of a nearly full bucket reaches further ahead; one of a nearly empty bucket does not.
func TestLeaseSizeGrowsWithCallCost(t *testing.T) {
	block := func(callCost, fill float64) float64 {
		settings := testSettings()
		settings.CounterCallCost = callCost
		settings.Plans[0] = Plan{
			Rate:           10,
			Burst:          400,
			PriorityFactor: 1,
			OverQuotaCost:  0.5,
		}
		b := newTestBalancer(t, settings, testEndpoints(2)...)
		now := time.Second
		b.Step(now, []Event{testRequest(1, 0, 0)})
		cust := b.customers.find("c")
		cust.demand.rate = 10
		cust.quota.tokens = 0
		cust.quota.fallbackTokens = 0
		cust.bucket.known = true
		cust.bucket.level = fill * 400
		cust.bucket.levelAt = now
		calls := actionsOf[CounterAdd](b.Step(now+ms, []Event{testRequest(2, 0, 0)}))
		if len(calls) != 1 {
			t.Fatalf("%d calls", len(calls))
		}
		return calls[0].Amount - cust.quota.debt
	}
	free, dear, scarce := block(0, 1), block(0.02, 1), block(0.02, 0.5)
	if dear < 3*free || scarce > free+1 {
		t.Errorf("leases of %.0f where calls are free, %.0f where they cost, %.0f from a half empty bucket",
			free, dear, scarce)
	}
}

// A counter whose answer can't be read has added the block all the same: it is returned with the next call, which is
// made at once for the requests that wait, and once only.
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
		t.Fatalf("after an invalid answer: %v; want one more call and no rejection", actions)
	}
	if sum := first.Amount + again[0].Amount; sum >= 2*first.Amount+owed {
		t.Errorf("%v and then %v added; want the first block returned", first.Amount, again[0].Amount)
	}
	actions = b.Step(now+2*ms, []Event{CounterResult{Name: again[0].Name, Status: Failed}})
	if len(actionsOf[CounterAdd](actions)) != 0 || len(actionsOf[Reject](actions)) != 1 {
		t.Errorf("after a second one: %v; want a rejection and no third call", actions)
	}
}

// newBalancerWithCallOut returns a gateway with one call to the counter out, for a request that waits for it.
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
	if req := b.requests[901]; before >= 1 && (req == nil || !req.withinQuota || cust.quota.tokens != before-1) {
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

// A block without an answer is lost to the customer, so the next call asks for one request only. An answer ends that.
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
		t.Error("the counter has answered, and still the least is asked for")
	}
}

// A connection that breaks ends its calls at once, and no late answer can come on it: the requests call once more.
func TestCallIsRepeatedAfterBrokenConnection(t *testing.T) {
	again := 0
	for seed := range uint64(20) { // the failure has decreased the call fraction, so a few do not call
		b, call, now := newSeededBalancerWithCallOut(t, seed)
		actions := b.Step(now+3*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
		again += len(actionsOf[CounterAdd](actions))
		if len(b.counter.timedOut.byTicket) != 0 || b.customers.find("c").quota.callsPausedUntil != 0 {
			t.Errorf("seed %d: a late answer is waited for on a connection that is gone", seed)
		}
	}
	if again < 10 {
		t.Errorf("%d of 20 called once more", again)
	}
}

// A counter that rejects a call, or takes no connection, is not called again at once.
func TestRejectedCallIsNotRepeated(t *testing.T) {
	for _, status := range []Status{Rejected, ConnectFailed} {
		for seed := range uint64(20) { // whether a request calls is partly chance
			b, call, now := newSeededBalancerWithCallOut(t, seed)
			actions := b.Step(now+3*ms, []Event{CounterResult{Name: call.Name, Status: status}})
			if again := actionsOf[CounterAdd](actions); len(again) != 0 {
				t.Errorf("status %d, seed %d: called again at once: %v", status, seed, again)
			}
		}
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
