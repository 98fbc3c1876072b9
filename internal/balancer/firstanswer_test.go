package balancer

import (
	"testing"
	"time"
)

// TestBurstBeforeFirstAnswer verifies that a burst that arrives before the first answer of its class is not rejected
// because of the initial latency estimate, which is assumed and not measured. Once that time has passed without an
// answer, requests are rejected at once.
func TestBurstBeforeFirstAnswer(t *testing.T) {
	b := newSingleGateway(t, 2)
	now := time.Second
	const burst = 60
	for id := range uint64(burst) {
		if rejected := actionsOf[Reject](b.Step(now, []Event{testRequest(1+id, 0, 2)})); len(rejected) > 0 {
			t.Fatalf("request %d of %d was rejected (%v) before any answer could come", id+1, burst, rejected[0].Reason)
		}
	}
	late := now + time.Duration(b.latency.classes[0].meanLatency*float64(time.Second))
	if rejected := actionsOf[Reject](b.Step(late, []Event{testRequest(burst+1, 0, 2)})); len(rejected) != 1 {
		t.Errorf("%d requests rejected at once after the expected latency without an answer, want 1", len(rejected))
	}
}
