package balancer

import (
	"testing"
	"time"
)

func TestLeasePromotesRequests(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(8)...)
	call := spendFallback(t, b, ms)
	b.Step(2*ms, testRequests(0, 0, 1, 2, 3, 4, 5))
	actions := b.Step(4*ms, []Event{CounterResult{call.Name, OK, call.Amount}})
	if len(actionsOf[Dispatch](actions)) == 0 {
		t.Errorf("nothing is sent after a lease: %v", actions)
	}
}

func TestEmptyBucketRejectsHardPlan(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(8)...)
	call := spendFallback(t, b, ms)
	b.Step(2*ms, testRequests(0, 0, 1, 2, 3, 4, 5))
	actions := b.Step(4*ms, []Event{CounterResult{call.Name, OK, call.Amount + 30}})
	if len(actionsOf[Reject](actions)) == 0 || len(actionsOf[Dispatch](actions)) != 0 {
		t.Errorf("an empty bucket let requests through: %v", actions)
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

// Where the ceiling is leased a gateway does not keep a part of a unit, which would stay there until it is lost: all of
// the block is returned.
func TestLeaseTakesWholeUnitsWithLeasedCeiling(t *testing.T) {
	for held, want := range map[float64]float64{0.91: 0, 1.4: 1, 2: 2, 5: 3} {
		settings := testSettings()
		settings.LeaseCeilings = true
		settings.Gateways = 3
		settings.Plans[0] = Plan{
			Rate:            5,
			Burst:           10,
			PriorityFactor:  1,
			OverQuotaWeight: 0.2,
			CeilingRate:     10,
			CeilingBurst:    20,
		}
		b := newTestBalancer(t, settings, testEndpoints(2)...)
		now := time.Second
		b.Step(now, []Event{testRequest(1, 0, 0)})
		b.now = now + 100*ms
		cust := b.customers.find("c")
		cust.bucket.known = true
		cust.bucket.level = held
		cust.bucket.levelAt = now
		cust.quota.tokens = 0
		cust.quota.debt = 0
		call := &counterCall{
			customer: cust,
			terms:    b.callTermsOf(cust.plan),
			block:    3,
			amount:   3,
			window:   counterWindowAt(b.now),
			sentAt:   b.now,
		}
		b.actions = b.actions[:0]
		b.creditLease(call, 10+5*(b.now%counterWindow).Seconds()-held+3, b.now)
		returned := cust.quota.debt
		for _, call := range actionsOf[CounterAdd](b.actions) {
			returned += call.Amount
		}
		if cust.quota.tokens != want || returned < want-3-1e-9 || returned > want-3+1e-9 {
			t.Errorf("of %v units in the bucket %v are taken, %v of 3 are returned", held, cust.quota.tokens, -returned)
		}
	}
}
