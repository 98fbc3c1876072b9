package balancer

import (
	"testing"
	"time"
)

func TestCounterThatLostItsTotals(t *testing.T) {
	cases := []struct {
		name string
		// others is the number of units that the peers have added since the loss.
		others  float64
		granted bool
	}{
		{"idle peers", 0, true},
		{"busy peers", 30, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { checkEmptiedCounter(t, c.others, c.granted) })
	}
}

// checkEmptiedCounter lets the counter lose its totals, after which the peers add some units.
func checkEmptiedCounter(t *testing.T, others float64, granted bool) {
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

// Where the ceiling is leased a gateway does not keep a part of a unit, which would stay there until it is lost: all of
// the block is returned.
func TestLeaseTakesWholeUnitsWithLeasedCeiling(t *testing.T) {
	for held, want := range map[float64]float64{0.91: 0, 1.4: 1, 2: 2, 5: 3} {
		settings := testSettings()
		settings.LeaseCeilings = true
		settings.Gateways = 3
		settings.Plans[0] = Plan{
			Rate:            5,
			Burst:           10,
			PriorityFactor:  1,
			OverQuotaWeight: 0.2,
			CeilingRate:     10,
			CeilingBurst:    20,
		}
		b := newTestBalancer(t, settings, testEndpoints(2)...)
		now := time.Second
		b.Step(now, []Event{testRequest(1, 0, 0)})
		b.now = now + 100*ms
		cust := b.customers.find("c")
		cust.bucket.known = true
		cust.bucket.level = held
		cust.bucket.levelAt = now
		cust.quota.tokens = 0
		cust.quota.debt = 0
		call := &counterCall{customer: cust, block: 3, amount: 3, window: counterWindowAt(b.now), sentAt: b.now}
		b.actions = b.actions[:0]
		b.creditLease(call, 10+5*(b.now%counterWindow).Seconds()-held+3, b.now)
		returned := cust.quota.debt
		for _, call := range actionsOf[CounterAdd](b.actions) {
			returned += call.Amount
		}
		if cust.quota.tokens != want || returned < want-3-1e-9 || returned > want-3+1e-9 {
			t.Errorf("of %v units in the bucket %v are taken, %v of 3 are returned", held, cust.quota.tokens, -returned)
		}
	}
}

// The gateway whose call begins a window's total carries into it what the bucket lacked; one that calls later does not.
func TestNewWindowCarriesDeficit(t *testing.T) {
	for name, begins := range map[string]bool{"begins": true, "comes later": false} {
		b := newTestBalancer(t, testSettings(), testEndpoints(2)...)
		now := 20 * time.Second
		b.Step(now, []Event{testRequest(1, 0, 0)})
		cust := b.customers.find("c")
		cust.demand.rate = 1
		cust.quota.tokens = 0
		cust.quota.fallbackTokens = 0
		cust.bucket.known = true
		cust.bucket.seenWindow = counterWindowAt(now)
		now = counterWindow + 100*ms // ten seconds later, in the next window
		cust.bucket.level = 0
		cust.bucket.levelAt = now - 200*ms
		calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(2, 0, 0)}))
		if len(calls) != 1 {
			t.Fatalf("%s: %d calls", name, len(calls))
		}
		total := calls[0].Amount
		if !begins {
			total += 3
		}
		carried := 0.0
		answer := CounterResult{Name: calls[0].Name, Status: OK, Total: total}
		for _, call := range actionsOf[CounterAdd](b.Step(now+5*ms, []Event{answer})) {
			carried += call.Amount
		}
		if burst := b.settings.Plans[0].Burst; begins && carried < 0.8*burst || !begins && carried > 0 {
			t.Errorf("%s: %.2f carried into the new window of a bucket of %v that was empty", name, carried, burst)
		}
		if cust.quota.tokens > 1 {
			t.Errorf("%s: %.2f tokens from a bucket that was empty", name, cust.quota.tokens)
		}
	}
}
