package balancer

import (
	"testing"
	"time"
)

func TestRetryHasNoSecondEffect(t *testing.T) {
	for class, st := range map[int]Status{1: Failed, 2: Reset} {
		b := newTestBalancer(t, testSettings(), testEndpoints(4)...)
		s := actionsOf[Dispatch](b.Step(ms, []Event{testRequest(1, class, 2)}))[0]
		acts := b.Step(20*ms, []Event{AttemptResult{ID: 1, Endpoint: s.Endpoint, Status: st, Latency: 19 * ms}})
		again, failed := actionsOf[Dispatch](acts), actionsOf[Fail](acts)
		if class == 2 && (len(again) != 0 || len(failed) != 1) {
			t.Errorf("an unsafe request that may have run: %v", acts)
		}
		cell := map[string]int{"b0": 0, "b1": 0, "b2": 1, "b3": 1}
		if class == 1 && (len(again) != 1 || cell[again[0].Endpoint] != cell[s.Endpoint]) {
			t.Errorf("a keyed request left its cell: %v after %v", acts, s)
		}
	}
}

// A repeat of a keyed request that may have run is to be written within the window in which backends know it for one,
// and not only to be decided on then: its
// connection may come up after that. A first attempt has no such time.
func TestRetryIsWrittenWithinDedupWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].DedupScope = DedupAll
	b := newTestBalancer(t, settings, testEndpoints(2)...)
	now := time.Second
	sent := actionsOf[Dispatch](b.Step(now, []Event{testRequest(1, 1, 2)}))
	if len(sent) != 1 || sent[0].WriteBy != 0 {
		t.Fatalf("sent %+v", sent)
	}
	again := actionsOf[Dispatch](
		b.Step(
			now+100*ms,
			[]Event{AttemptResult{ID: 1, Attempt: 0, Endpoint: sent[0].Endpoint, Status: Reset, Latency: 100 * ms}},
		),
	)
	if want := now + settings.Classes[1].DedupWindow - retryWriteMargin; len(again) != 1 || again[0].WriteBy != want {
		t.Fatalf("sent again %+v, want by %v", again, want)
	}
	// One that never ran may go at any time.
	b = newTestBalancer(t, settings, testEndpoints(2)...)
	sent = actionsOf[Dispatch](b.Step(now, []Event{testRequest(1, 1, 2)}))
	again = actionsOf[Dispatch](
		b.Step(
			now+100*ms,
			[]Event{
				AttemptResult{ID: 1, Attempt: 0, Endpoint: sent[0].Endpoint, Status: ConnectFailed, Latency: 100 * ms},
			},
		),
	)
	if len(again) != 1 || again[0].WriteBy != 0 {
		t.Fatalf("sent again %+v", again)
	}
}
