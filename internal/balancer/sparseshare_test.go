package balancer

import (
	"testing"
)

// TestSparseShareCallsCounterPerRequest verifies that with a share of less than one unit, the counter is called for a
// single request, and that only the bucket's level decides about it.
func TestSparseShareCallsCounterPerRequest(t *testing.T) {
	for total, want := range map[float64]int{1: 1, 30: 0} {
		b := newTestBalancer(t, largeFleetSettings(100), testEndpoints(8)...)
		calls := actionsOf[CounterAdd](b.Step(ms, []Event{testRequest(1, 0, 0)}))
		if len(calls) != 1 || calls[0].Amount != 1 {
			t.Fatalf("calls: %v, want one for a single unit", calls)
		}
		actions := b.Step(3*ms, []Event{CounterResult{calls[0].Name, OK, total}})
		if n := len(actionsOf[Dispatch](actions)); n != want {
			t.Errorf("total %v: %d requests sent, want %d", total, n, want)
		}
		if want == 0 {
			if returned := actionsOf[CounterAdd](actions); len(returned) != 1 || returned[0].Amount != -1 {
				t.Errorf("the unit that the bucket did not have was not returned: %v", actions)
			}
			if more := actionsOf[CounterAdd](b.Step(4*ms, []Event{testRequest(2, 0, 0)})); len(more) != 0 {
				t.Errorf("counter called again for a bucket that was just found empty: %v", more)
			}
		}
	}
}
