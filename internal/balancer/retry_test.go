package balancer

import (
	"testing"
	"time"
)

// A request that may have run is retried only where that has no second effect.
func TestRetryHasNoSecondEffect(t *testing.T) {
	for class, status := range map[int]Status{1: Failed, 2: Reset} {
		b := newTestBalancer(t, testSettings(), testEndpoints(4)...)
		dispatch := actionsOf[Dispatch](b.Step(ms, []Event{testRequest(1, class, 2)}))[0]
		actions := b.Step(20*ms, []Event{resultOf(dispatch, status, 19*ms)})
		again, failed := actionsOf[Dispatch](actions), actionsOf[Fail](actions)
		if class == 2 && (len(again) != 0 || len(failed) != 1) {
			t.Errorf("a request that is not idempotent and may have run: %v", actions)
		}
		cell := map[string]int{"b0": 0, "b1": 0, "b2": 1, "b3": 1}
		if class == 1 && (len(again) != 1 || cell[again[0].Endpoint] != cell[dispatch.Endpoint]) {
			t.Errorf("a request with an idempotency key left its cell: %v after %v", actions, dispatch)
		}
	}
}

// A retry of a request with an idempotency key must be written within the deduplication window, not only be
// dispatched: its connection may take longer. A first attempt has no such time.
func TestRetryIsWrittenWithinDedupWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].DedupScope = DedupAll
	b := newTestBalancer(t, settings, testEndpoints(2)...)
	now := time.Second
	sent := actionsOf[Dispatch](b.Step(now, []Event{testRequest(1, 1, 2)}))
	if len(sent) != 1 || sent[0].WriteBy != 0 {
		t.Fatalf("dispatched %+v", sent)
	}
	again := actionsOf[Dispatch](b.Step(now+100*ms, []Event{resultOf(sent[0], Reset, 100*ms)}))
	if want := now + settings.Classes[1].DedupWindow - retryWriteMargin; len(again) != 1 || again[0].WriteBy != want {
		t.Fatalf("retried %+v, want by %v", again, want)
	}
	// One that never ran may go at any time.
	b = newTestBalancer(t, settings, testEndpoints(2)...)
	sent = actionsOf[Dispatch](b.Step(now, []Event{testRequest(1, 1, 2)}))
	again = actionsOf[Dispatch](b.Step(now+100*ms, []Event{resultOf(sent[0], ConnectFailed, 100*ms)}))
	if len(again) != 1 || again[0].WriteBy != 0 {
		t.Fatalf("retried %+v", again)
	}
}
