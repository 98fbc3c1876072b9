package balancer

import (
	"testing"
	"time"
)

// Without a counter a new customer has this gateway's even share of its burst.
func TestNewCustomerSpendsEvenShareOfBurst(t *testing.T) {
	settings := testSettings()
	settings.UseCounter = false
	b := newTestBalancer(t, settings, testEndpoints(8)...)
	sent, rejected := 0, 0
	for i := range 8 {
		actions := b.Step(ms, []Event{testRequest(uint64(i), 0, 0)})
		sent += len(actionsOf[Dispatch](actions))
		rejected += len(actionsOf[Reject](actions))
	}
	if sent != 4 || rejected != 4 {
		t.Errorf("sent %d, rejected %d of 8; want 4 and 4", sent, rejected)
	}
}

// spendFallback spends a customer's fallback share and returns the counter call that the next request waits for.
func spendFallback(t *testing.T, b *Balancer, now time.Duration) CounterAdd {
	t.Helper()
	for i := range 20 {
		if c := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(uint64(100+i), 0, 0)})); len(c) == 1 {
			return c[0]
		}
	}
	t.Fatal("the counter was not called")
	return CounterAdd{}
}

// A lease covers the requests that wait for it.
func TestLeasePromotesRequests(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(8)...)
	call := spendFallback(t, b, ms)
	b.Step(2*ms, testRequests(0, 0, 1, 2, 3, 4, 5))
	actions := b.Step(4*ms, []Event{CounterResult{call.Name, OK, call.Amount}})
	if len(actionsOf[Dispatch](actions)) == 0 {
		t.Errorf("a lease covered no request: %v", actions)
	}
}

// Where the shared bucket is empty, requests with a hard quota are rejected.
func TestEmptyBucketRejectsHardPlan(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(8)...)
	call := spendFallback(t, b, ms)
	b.Step(2*ms, testRequests(0, 0, 1, 2, 3, 4, 5))
	actions := b.Step(4*ms, []Event{CounterResult{call.Name, OK, call.Amount + 30}})
	if len(actionsOf[Reject](actions)) == 0 || len(actionsOf[Dispatch](actions)) != 0 {
		t.Errorf("an empty bucket covered requests: %v", actions)
	}
}

// While the counter does not answer, the fallback share fills.
func TestFallbackShareFillsWhileCounterIsSilent(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(8)...)
	now, call := ms, spendFallback(t, b, ms)
	for i := range 12 {
		now += 60 * ms
		actions := b.Step(now, []Event{CounterResult{call.Name, Timeout, 0}, testRequest(uint64(10+i), 0, 0)})
		if got := actionsOf[CounterAdd](actions); len(got) == 1 {
			call = got[0]
		}
	}
	now += 3 * time.Second
	actions := b.Step(now, []Event{testRequest(20, 0, 0)})
	if len(actionsOf[Dispatch](actions)) != 1 {
		t.Errorf("the fallback share did not fill while the counter was silent: %v", actions)
	}
}

// Each gateway has an even share of MaxInFlight, rounded up.
func TestMaxInFlightShare(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(10)...)
	var events []Event
	for i := range 10 {
		events = append(events, testRequest(uint64(i), 0, 3))
	}
	if n := len(actionsOf[Dispatch](b.Step(ms, events))); n != 2 {
		t.Errorf("%d attempts in flight; the limit is 4 over 2 gateways", n)
	}
}

// The share of MaxInFlight is larger if other gateways have no demand.
func TestMaxInFlightFollowsPeerDemand(t *testing.T) {
	settings := testSettings()
	for others, want := range map[float64]int{0: 3, 200: 2} {
		b := newTestBalancer(t, settings, testEndpoints(10)...)
		for _, dispatch := range actionsOf[Dispatch](b.Step(ms, []Event{testRequest(1, 0, 3)})) {
			b.Step(51*ms, []Event{succeeded(dispatch, 0, 50*ms)})
		}
		cust := b.customers.find("c")
		cust.bucket.known, cust.bucket.peerDemand, cust.quota.tokens, cust.quota.leasedAt = true, others, 20, ms
		var events []Event
		for i := range 10 {
			events = append(events, testRequest(uint64(100+i), 0, 3))
		}
		if n := len(actionsOf[Dispatch](b.Step(52*ms, events))); n != want {
			t.Errorf("others add %v a second: %d attempts out, want %d", others, n, want)
		}
	}
}

// Requests over a soft quota are not rejected.
func TestSoftPlanIsNotRejectedOverQuota(t *testing.T) {
	settings := testSettings()
	settings.UseCounter = false
	settings.Plans[1].CeilingRate = 0
	b := newTestBalancer(t, settings, testEndpoints(20)...)
	var events []Event
	for i := range 15 {
		events = append(events, testRequest(uint64(i), 0, 1))
	}
	actions := b.Step(ms, events)
	if len(actionsOf[Reject](actions)) != 0 {
		t.Errorf("a soft plan was rejected over its quota: %v", actions)
	}
}

// The request with more priority weight for its work goes first, even if it has fewer units.
func TestPriorityByWork(t *testing.T) {
	b := newTrainedBalancer(t, testEndpoints(1)...)
	level := func(units float64) int {
		request := testRequest(4000+uint64(units), 0, 2)
		request.Units = units
		b.Step(200*time.Second, []Event{request})
		return b.requests[request.ID].level
	}
	if one, four := level(1), level(4); one >= four {
		t.Errorf("level %d for one unit, %d for four; want the small one first", one, four)
	}
}
