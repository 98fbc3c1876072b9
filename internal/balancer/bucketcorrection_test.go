package balancer

import (
	"testing"
	"time"
)

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

// testLostTotals lets the counter lose its totals, after which the peers add some units.
func testLostTotals(t *testing.T, others float64, granted bool) {
	t.Helper()
	b := newTestBalancer(t, testSettings(), testEndpoints(8)...)
	call := spendFallback(t, b, ms)
	for _, back := range actionsOf[CounterAdd](b.Step(3*ms, []Event{CounterResult{call.Name, OK, 30}})) {
		b.Step(5*ms, []Event{CounterResult{back.Name, OK, 30 + back.Amount}}) // what the bucket did not have
	}
	now := 9 * time.Second
	var again []CounterAdd
	for i := range 6 {
		again = append(again, actionsOf[CounterAdd](b.Step(now, []Event{testRequest(uint64(50+i), 0, 0)}))...)
	}
	if len(again) == 0 {
		t.Fatal("no call after the bucket has filled")
	}
	actions := b.Step(now+2*ms, []Event{CounterResult{again[0].Name, OK, again[0].Amount + others}})
	if granted != (len(actionsOf[Dispatch](actions)) > 0) {
		t.Errorf("others added %v to an emptied counter: %v", others, actions)
	}
}
