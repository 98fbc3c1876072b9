package balancer

import (
	"testing"
	"time"
)

// TestCounterThatLostItsTotals verifies that after the counter lost its totals, a request is granted only if the peers
// have not added many units since.
func TestCounterThatLostItsTotals(t *testing.T) {
	cases := []struct {
		name string
		// peerUnits is the number of units that the peers have added since the loss.
		peerUnits float64
		granted   bool
	}{
		{"idle peers", 0, true},
		{"busy peers", 30, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { testLostTotals(t, c.peerUnits, c.granted) })
	}
}

// testLostTotals makes the counter lose its totals, after which the peers add some units.
func testLostTotals(t *testing.T, peerUnits float64, granted bool) {
	t.Helper()
	b := newTestBalancer(t, testSettings(), testEndpoints(8)...)
	call := spendFallback(t, b, ms)
	for _, returned := range actionsOf[CounterAdd](b.Step(3*ms, []Event{CounterResult{call.Name, OK, 30}})) {
		b.Step(5*ms, []Event{CounterResult{returned.Name, OK, 30 + returned.Amount}}) // units the bucket did not have
	}
	now := 9 * time.Second
	var calls []CounterAdd
	for i := range 6 {
		calls = append(calls, actionsOf[CounterAdd](b.Step(now, []Event{testRequest(uint64(50+i), 0, 0)}))...)
	}
	if len(calls) == 0 {
		t.Fatal("no counter call after the bucket has refilled")
	}
	actions := b.Step(now+2*ms, []Event{CounterResult{calls[0].Name, OK, calls[0].Amount + peerUnits}})
	if granted != (len(actionsOf[Dispatch](actions)) > 0) {
		t.Errorf("%v units added by peers since the counter lost its totals: %v", peerUnits, actions)
	}
}
