package balancer

import (
	"testing"
	"time"
)

// TestIdleLatencyIgnoresOneFastAnswer verifies that an unusually fast first answer does not determine the idle latency.
// Otherwise every later answer would look slow, and the concurrency limits would shrink.
func TestIdleLatencyIgnoresOneFastAnswer(t *testing.T) {
	b := newSingleGateway(t, 2)
	for i := range uint64(60) {
		took := 80 * ms
		if i == 0 {
			took = 2 * ms
		}
		now := time.Duration(i) * 100 * ms
		for _, dispatch := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(i, 0, 2)})) {
			b.Step(now+took, []Event{succeeded(dispatch, 0, took)})
		}
	}
	if b.latency.classes[0].idleLatency < 0.06 {
		t.Errorf("idle latency %.0f ms; all but the first answer took 80 ms", 1000*b.latency.classes[0].idleLatency)
	}
}

// TestLatencyGrowsWithUnits verifies that the expected latency depends on the units of a request: the same time left is
// enough for one unit but not for four. The mean latency of the class fits neither.
func TestLatencyGrowsWithUnits(t *testing.T) {
	b := newTrainedBalancer(t, testEndpoints(2)...)
	now := 200 * time.Second
	b.Step(now-ms, nil) // otherwise the gateway seems to have stalled
	small, large := testRequest(1000, 0, 2), testRequest(1001, 0, 2)
	small.TimeLeft, large.TimeLeft, large.Units = 100*ms, 100*ms, 4
	actions := b.Step(now, []Event{small, large})
	if got := actionsOf[Dispatch](actions); len(got) != 1 || got[0].ID != 1000 {
		t.Errorf("dispatched %v; want only the small one, for which 100 ms are enough", got)
	}
	if got := actionsOf[Reject](actions); len(got) != 1 || got[0].ID != 1001 {
		t.Errorf("rejected %v; want only the large one, at once", got)
	}
}
