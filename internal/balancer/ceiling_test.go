package balancer

import (
	"testing"
	"time"
)

// TestNewGatewayStartsWithEmptyCeilingShare verifies that a new gateway's share of the ceiling fills only at its rate.
func TestNewGatewayStartsWithEmptyCeilingShare(t *testing.T) {
	settings := testSettings()
	settings.UseCounter = false
	b := newTestBalancer(t, settings, testEndpoints(40)...)
	sent := 0
	for i := range 1000 {
		now := time.Duration(i+1) * ms
		for _, dispatch := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(uint64(i), 0, 1)})) {
			sent++
			b.Step(now, []Event{succeeded(dispatch, 0, 0)})
		}
	}
	if sent > 10 {
		t.Errorf("%d units sent in the first second of a new gateway; its share of the ceiling is 10", sent)
	}
}

// TestCeilingQueueStaysShort verifies that a customer far beyond its ceiling gets no long queue, whose requests would
// all be dispatched nearly too late. Requests that would wait too long are rejected immediately with a Retry-After, and
// sooner for a lower priority weight.
func TestCeilingQueueStaysShort(t *testing.T) {
	settings := testSettings()
	settings.UseCounter = false
	b := newTestBalancer(t, settings, testEndpoints(2)...)
	waits := map[int]int{}
	id, withRetryAfter := uint64(1), 0
	for class := range 2 {
		for range 60 {
			actions := b.Step(time.Second, []Event{testRequest(id, class, 1)})
			rejected := actionsOf[Reject](actions)
			dispatched := len(actionsOf[Dispatch](actions)) > 0
			switch {
			case len(rejected) == 0 && !dispatched && b.requests[id].queuedOn == nil:
				waits[class]++
			case len(rejected) > 0 && rejected[0].RetryAfter > 0:
				withRetryAfter++
			}
			id++
		}
	}
	if withRetryAfter == 0 {
		t.Error("no rejection has a Retry-After")
	}
	if waits[0] > 1 || waits[1] < 1 || waits[1] > 2 {
		t.Errorf("waiting requests by class: %v; want at most 1 of class 0, 1 or 2 of class 1", waits)
	}
}
