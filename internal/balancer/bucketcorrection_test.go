package balancer

import (
	"testing"
	"time"
)

func TestCounterThatLostItsTotals(t *testing.T) {
	for others, granted := range map[float64]bool{0: true, 30: false} {
		checkEmptiedCounter(t, others, granted)
	}
}

// checkEmptiedCounter lets the counter lose its numbers, after which the other doors add some units.
func checkEmptiedCounter(t *testing.T, others float64, granted bool) {
	t.Helper()
	b := newTestBalancer(t, testSettings(), testEndpoints(8)...)
	c := spendFallback(t, b, ms)
	for _, back := range actionsOf[CounterAdd](b.Step(3*ms, []Event{CounterResult{c.Name, OK, 30}})) {
		b.Step(5*ms, []Event{CounterResult{back.Name, OK, 30 + back.Amount}}) // what the store did not hold
	}
	now := 9 * time.Second
	var again []CounterAdd
	for i := range 6 {
		again = append(again, actionsOf[CounterAdd](b.Step(now, []Event{testRequest(uint64(50+i), 0, 0)}))...)
	}
	if len(again) == 0 {
		t.Fatal("no call after the store has filled again")
	}
	acts := b.Step(now+2*ms, []Event{CounterResult{again[0].Name, OK, again[0].Amount + others}})
	if granted != (len(actionsOf[Dispatch](acts)) > 0) {
		t.Errorf("others added %v to an emptied counter: %v", others, acts)
	}
}

// Where the ceiling is lent a door does not keep a part of a unit, which would lie there until it is lost: all of the
// block goes back.
func TestLeaseTakesWholeUnitsWithLeasedCeiling(t *testing.T) {
	for held, want := range map[float64]float64{0.91: 0, 1.4: 1, 2: 2, 5: 3} {
		settings := testSettings()
		settings.LeaseCeilings, settings.Gateways, settings.Plans[0] = true, 3, Plan{
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
		cust.bucket.known, cust.bucket.level, cust.bucket.levelAt, cust.quota.tokens, cust.quota.debt = true, held, now, 0, 0
		call := &counterCall{customer: cust, block: 3, amount: 3, window: int64(b.now / counterWindow), sentAt: b.now}
		b.actions = b.actions[:0]
		b.creditLease(call, 10+5*(b.now%counterWindow).Seconds()-held+3, b.now)
		back := cust.quota.debt
		for _, a := range actionsOf[CounterAdd](b.actions) {
			back += a.Amount
		}
		if cust.quota.tokens != want || back < want-3-1e-9 || back > want-3+1e-9 {
			t.Errorf("of %v units in the store %v are taken, and %v of 3 go back", held, cust.quota.tokens, -back)
		}
	}
}

// The door that begins a window's number carries into it what the store lacked; one that comes later does not do so
// again.
func TestNewWindowCarriesDeficit(t *testing.T) {
	for name, begins := range map[string]bool{"begins": true, "comes later": false} {
		b := newTestBalancer(t, testSettings(), testEndpoints(2)...)
		now := 20 * time.Second
		b.Step(now, []Event{testRequest(1, 0, 0)})
		cust := b.customers.find("c")
		cust.bucket.known, cust.quota.fallbackTokens, cust.bucket.level, cust.bucket.levelAt, cust.bucket.seenWindow = true, 0, 0, now, int64(
			now/counterWindow,
		) // the store is empty ...
		cust.demand.rate, cust.quota.tokens = 1, 0
		now = counterWindow + 100*ms // ... and ten seconds later there is a new number
		cust.bucket.level, cust.bucket.levelAt = 0, now-200*ms
		calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(2, 0, 0)}))
		if len(calls) != 1 {
			t.Fatalf("%s: %d calls", name, len(calls))
		}
		total := calls[0].Amount
		if !begins {
			total += 3
		}
		carried := 0.0
		for _, k := range actionsOf[CounterAdd](b.Step(now+5*ms, []Event{CounterResult{Name: calls[0].Name, Status: OK, Total: total}})) {
			carried += k.Amount
		}
		if burst := b.settings.Plans[0].Burst; begins && carried < 0.8*burst || !begins && carried > 0 {
			t.Errorf("%s: %.2f carried into the new number of a store of %v that was empty", name, carried, burst)
		}
		if cust.quota.tokens > 1 {
			t.Errorf("%s: %.2f tokens from a store that was empty", name, cust.quota.tokens)
		}
	}
}
