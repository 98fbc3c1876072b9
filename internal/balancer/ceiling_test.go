package balancer

import (
	"testing"
	"time"
)

func TestNewGatewayStartsWithEmptyCeilingShare(t *testing.T) {
	settings := testSettings()
	settings.UseCounter = false
	b := newTestBalancer(t, settings, testEndpoints(40)...)
	sent := 0
	for i := range 1000 {
		now := time.Duration(i+1) * ms
		for _, s := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(uint64(i), 0, 1)})) {
			sent++
			b.Step(now, []Event{succeeded(s, 0, 0)})
		}
	}
	if sent > 10 {
		t.Errorf("%d units in the first second of a fresh door; its share of the ceiling is 10", sent)
	}
}

// A customer far beyond its ceiling keeps no line in which all that goes out is nearly late: what would wait long
// is refused at once, with the time to stay away; and the less it is worth, the sooner.
func TestCeilingQueueStaysShort(t *testing.T) {
	settings := testSettings()
	settings.UseCounter = false
	b := newTestBalancer(t, settings, testEndpoints(2)...)
	waits := map[int]int{}
	id, told := uint64(1), 0
	for class := range 2 {
		for range 60 {
			acts := b.Step(
				time.Second,
				[]Event{Request{ID: id, Class: class, Plan: 1, Customer: "c", TimeLeft: 2 * time.Second,
					Units: 1}},
			)
			if refused := actionsOf[Reject](
				acts,
			); len(refused) == 0 && len(actionsOf[Dispatch](acts)) == 0 &&
				b.requests[id].queuedOn == nil {
				waits[class]++
			} else if len(refused) > 0 &&
				refused[0].RetryAfter > 0 {
				told++
			}
			id++
		}
	}
	if told == 0 {
		t.Error("nobody was told when to come back")
	}
	if waits[0] > 1 || waits[1] < 1 || waits[1] > 2 {
		t.Errorf("by class, %v wait", waits)
	}
}
