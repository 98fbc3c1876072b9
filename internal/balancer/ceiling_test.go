package balancer

import (
	"testing"
	"time"
)

// A new gateway starts with an empty share of each ceiling, as a process before it may have spent that.
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
		t.Errorf("%d units in the first second of a new gateway; its share of the ceiling is 10", sent)
	}
}

// A customer far over its ceiling gets no long queue, in which each dispatched request would be nearly late: a
// request that would wait long is rejected at once, with a Retry-After, and sooner the less its class counts.
func TestCeilingQueueStaysShort(t *testing.T) {
	settings := testSettings()
	settings.UseCounter = false
	b := newTestBalancer(t, settings, testEndpoints(2)...)
	waiting := map[int]int{} // by class
	advised := 0
	id := uint64(1)
	for class := range 2 {
		for range 60 {
			actions := b.Step(time.Second, []Event{testRequest(id, class, 1)})
			rejected := actionsOf[Reject](actions)
			dispatched := actionsOf[Dispatch](actions)
			switch {
			case len(rejected) > 0 && rejected[0].RetryAfter > 0:
				advised++
			case len(rejected) == 0 && len(dispatched) == 0 && b.requests[id].queuedOn == nil:
				waiting[class]++
			}
			id++
		}
	}
	if advised == 0 {
		t.Error("no rejection with Retry-After")
	}
	if waiting[0] > 1 || waiting[1] < 1 || waiting[1] > 2 {
		t.Errorf("by class, %v wait", waiting)
	}
}
