package balancer

import (
	"testing"
)

// With a share of under one unit the counter is called for a single request, and the level alone decides.
func TestSparseShareCallsCounterPerRequest(t *testing.T) {
	for total, want := range map[float64]int{1: 1, 30: 0} {
		b := newTestBalancer(t, largeFleetSettings(100), testEndpoints(8)...)
		calls := actionsOf[CounterAdd](b.Step(ms, []Event{testRequest(1, 0, 0)}))
		if len(calls) != 1 || calls[0].Amount != 1 {
			t.Fatalf("calls: %v, want one of a unit", calls)
		}
		actions := b.Step(3*ms, []Event{CounterResult{calls[0].Name, OK, total}})
		if n := len(actionsOf[Dispatch](actions)); n != want {
			t.Errorf("total %v: %d sent, want %d", total, n, want)
		}
		if want == 0 {
			if back := actionsOf[CounterAdd](actions); len(back) != 1 || back[0].Amount != -1 {
				t.Errorf("what the bucket did not have was not returned: %v", actions)
			}
			if more := actionsOf[CounterAdd](b.Step(4*ms, []Event{testRequest(2, 0, 0)})); len(more) != 0 {
				t.Errorf("a bucket just found empty was asked again: %v", more)
			}
		}
	}
}
