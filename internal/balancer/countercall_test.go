package balancer

import (
	"testing"
	"time"
)

// TestConcurrentCallFailuresCountOnce verifies that pending calls that fail together, as those of one connection do,
// decrease the call fraction only once, and that the failure of a call made later decreases it again.
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
		t.Fatalf("%d customers call the counter, want 5", len(names))
	}
	before := b.counter.callFraction
	var all []Event
	for name := range names {
		all = append(all, CounterResult{Name: name, Status: Timeout})
	}
	b.Step(now+50*ms, all)
	if want := before * callFractionDecrease; b.counter.callFraction != want {
		t.Errorf("call fraction %v after five calls that ended together, want %v as after one call",
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
		t.Fatalf("%d calls after the failures, want 1", len(again))
	}
	b.Step(now+110*ms, []Event{CounterResult{Name: again[0].Name, Status: Timeout}})
	if b.counter.callFraction != callFractionDecrease {
		t.Errorf("call fraction %v after a later failure, which must decrease it", b.counter.callFraction)
	}
}

// TestUnreadableCounterResult verifies that a block is returned if the counter has added it but its answer cannot be
// read. The block is returned with the next call, which is made immediately for the waiting requests, and only once.
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
		t.Fatal("no counter call")
	}
	first := calls[0]
	debt := b.customers.find("c").quota.debt
	actions := b.Step(now+ms, []Event{CounterResult{Name: first.Name, Status: Failed}})
	again := actionsOf[CounterAdd](actions)
	if len(again) != 1 || len(actionsOf[Reject](actions)) != 0 {
		t.Fatalf("after an unreadable answer: %v; want one more call and no rejection", actions)
	}
	if sum := first.Amount + again[0].Amount; sum >= 2*first.Amount+debt {
		t.Errorf("%v and then %v added; want the first block to be returned", first.Amount, again[0].Amount)
	}
	actions = b.Step(now+2*ms, []Event{CounterResult{Name: again[0].Name, Status: Failed}})
	if len(actionsOf[CounterAdd](actions)) != 0 || len(actionsOf[Reject](actions)) != 1 {
		t.Errorf("after a second unreadable answer: %v; want a rejection and no third call", actions)
	}
}

// newBalancerWithPendingCall returns a balancer with one pending counter call, for a request that waits for it.
func newBalancerWithPendingCall(t *testing.T) (*Balancer, CounterAdd, time.Duration) {
	t.Helper()
	return newSeededBalancerWithPendingCall(t, 7)
}

// newSeededBalancerWithPendingCall is newBalancerWithPendingCall with a given seed.
func newSeededBalancerWithPendingCall(t *testing.T, seed uint64) (*Balancer, CounterAdd, time.Duration) {
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
	t.Fatal("no counter call")
	return nil, CounterAdd{}, 0
}

// TestCallIsRepeatedAfterBrokenConnection verifies that requests call the counter once more if a broken connection ends
// their call early, since no late answer can arrive on that connection.
func TestCallIsRepeatedAfterBrokenConnection(t *testing.T) {
	again := 0
	for seed := range uint64(20) { // the failure decreases the call fraction, so a few do not call
		b, call, now := newSeededBalancerWithPendingCall(t, seed)
		actions := b.Step(now+3*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
		again += len(actionsOf[CounterAdd](actions))
		if len(b.counter.timedOut.byTicket) != 0 || b.customers.find("c").quota.callsPausedUntil != 0 {
			t.Errorf("seed %d: waits for a late answer on a broken connection", seed)
		}
	}
	if again < 10 {
		t.Errorf("%d of 20 called the counter once more, want at least 10", again)
	}
}

// TestRejectedCallIsNotRepeated verifies that a counter that rejects a call, or to which no connection can be made, is
// not called again immediately.
func TestRejectedCallIsNotRepeated(t *testing.T) {
	for _, status := range []Status{Rejected, ConnectFailed} {
		for seed := range uint64(20) { // whether a request calls the counter is partly random
			b, call, now := newSeededBalancerWithPendingCall(t, seed)
			actions := b.Step(now+3*ms, []Event{CounterResult{Name: call.Name, Status: status}})
			if again := actionsOf[CounterAdd](actions); len(again) != 0 {
				t.Errorf("status %d, seed %d: called again immediately: %v", status, seed, again)
			}
		}
	}
}
