package balancer

import (
	"testing"
	"time"
)

// TestLeasePromotesRequests verifies that waiting requests are sent once a token lease is granted.
func TestLeasePromotesRequests(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(8)...)
	call := spendFallback(t, b, ms)
	b.Step(2*ms, testRequests(0, 0, 1, 2, 3, 4, 5))
	actions := b.Step(4*ms, []Event{CounterResult{call.Name, OK, call.Amount}})
	if len(actionsOf[Dispatch](actions)) == 0 {
		t.Errorf("no request sent after a lease: %v", actions)
	}
}

// TestEmptyBucketRejectsHardPlan verifies that requests of a hard plan are rejected if its bucket is empty.
func TestEmptyBucketRejectsHardPlan(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(8)...)
	call := spendFallback(t, b, ms)
	b.Step(2*ms, testRequests(0, 0, 1, 2, 3, 4, 5))
	actions := b.Step(4*ms, []Event{CounterResult{call.Name, OK, call.Amount + 30}})
	if len(actionsOf[Reject](actions)) == 0 || len(actionsOf[Dispatch](actions)) != 0 {
		t.Errorf("requests sent or none rejected with an empty bucket: %v", actions)
	}
}

// TestLeaseSizeGrowsWithCallCost verifies that a higher call cost increases the lease of a nearly full bucket, but not
// that of a bucket that is only half full.
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
			t.Fatalf("%d counter calls, want 1", len(calls))
		}
		return calls[0].Amount - cust.quota.debt
	}
	free, costly, halfFull := block(0, 1), block(0.02, 1), block(0.02, 0.5)
	if costly < 3*free || halfFull > free+1 {
		t.Errorf("leases of %.0f with free calls, %.0f with costly calls, %.0f with a half-full bucket",
			free, costly, halfFull)
	}
}

// TestLeaseIsSmallestAfterLostCall verifies that the next call requests units for a single request only after a call
// was not answered, since its block may be lost to the customer. The next answer ends this.
func TestLeaseIsSmallestAfterLostCall(t *testing.T) {
	b, call, now := newBalancerWithPendingCall(t)
	cust := b.customers.find("c")
	b.Step(now+50*ms, []Event{CounterResult{Name: call.Name, Status: Timeout}})
	cust.demand.rate = 100 // a flood, for which a lease would be large
	now += 50*ms + timedOutCallPause
	calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(800, 0, 0)}))
	if len(calls) != 1 || calls[0].Amount > 1+1e-9 {
		t.Fatalf("calls after one without an answer: %v; want one for a single unit", calls)
	}
	b.Step(now+ms, []Event{CounterResult{Name: calls[0].Name, Status: OK, Total: 0}})
	if cust.quota.lastCallLost {
		t.Error("lastCallLost is still set after an answer")
	}
}

// TestLeaseTakesWholeUnitsWithLeasedCeiling verifies that a gateway keeps no fraction of a unit if the ceiling is
// leased, because the fraction would stay unused until it is lost. The rest of the block is returned.
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
			t.Errorf("bucket of %v units: %v units taken, %v of 3 returned", held, cust.quota.tokens, -returned)
		}
	}
}
