package balancer

import (
	"testing"
	"time"
)

// A counter that has lost its totals is believed, but for what other gateways have added since.
func TestCounterThatLostItsTotals(t *testing.T) {
	for others, admitted := range map[float64]bool{0: true, 30: false} {
		checkEmptiedCounter(t, others, admitted)
	}
}

// checkEmptiedCounter makes the counter lose its totals, after which other gateways add some units.
func checkEmptiedCounter(t *testing.T, others float64, admitted bool) {
	t.Helper()
	b := newTestBalancer(t, testSettings(), testEndpoints(8)...)
	call := spendFallback(t, b, ms)
	for _, back := range actionsOf[CounterAdd](b.Step(3*ms, []Event{CounterResult{call.Name, OK, 30}})) {
		b.Step(5*ms, []Event{CounterResult{back.Name, OK, 30 + back.Amount}}) // what the bucket did not hold
	}
	now := 9 * time.Second
	var again []CounterAdd
	for i := range 6 {
		again = append(again, actionsOf[CounterAdd](b.Step(now, []Event{testRequest(uint64(50+i), 0, 0)}))...)
	}
	if len(again) == 0 {
		t.Fatal("no call after the bucket has filled again")
	}
	actions := b.Step(now+2*ms, []Event{CounterResult{again[0].Name, OK, again[0].Amount + others}})
	if admitted != (len(actionsOf[Dispatch](actions)) > 0) {
		t.Errorf("others added %v to an emptied counter: %v", others, actions)
	}
}

// Where ceilings are leased, a gateway keeps no part of a unit of its lease, which would be lost in the end: it goes
// back to the counter.
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
		call := &counterCall{customer: cust, block: 3, amount: 3, window: int64(b.now / counterWindow), sentAt: b.now}
		b.actions = b.actions[:0]
		b.creditLease(call, 10+5*(b.now%counterWindow).Seconds()-held+3, b.now)
		back := cust.quota.debt
		for _, a := range actionsOf[CounterAdd](b.actions) {
			back += a.Amount
		}
		if cust.quota.tokens != want || back < want-3-1e-9 || back > want-3+1e-9 {
			t.Errorf("of %v units in the bucket %v are taken, and %v of 3 go back", held, cust.quota.tokens, -back)
		}
	}
}

// The gateway that is first in a window carries over what the bucket lacked; a later one does not do so again.
func TestNewWindowCarriesDeficit(t *testing.T) {
	for name, begins := range map[string]bool{"begins": true, "comes later": false} {
		b := newTestBalancer(t, testSettings(), testEndpoints(2)...)
		now := 20 * time.Second
		b.Step(now, []Event{testRequest(1, 0, 0)})
		cust := b.customers.find("c")
		cust.bucket.known = true
		cust.bucket.seenWindow = int64(now / counterWindow)
		cust.quota.fallbackTokens = 0
		cust.quota.tokens = 0
		cust.demand.rate = 1
		now = counterWindow + 100*ms // ten seconds later, in a new window
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
		result := CounterResult{Name: calls[0].Name, Status: OK, Total: total}
		for _, call := range actionsOf[CounterAdd](b.Step(now+5*ms, []Event{result})) {
			carried += call.Amount
		}
		if burst := b.settings.Plans[0].Burst; begins && carried < 0.8*burst || !begins && carried > 0 {
			t.Errorf("%s: %.2f carried into the new number of a bucket of %v that was empty", name, carried, burst)
		}
		if cust.quota.tokens > 1 {
			t.Errorf("%s: %.2f tokens from a bucket that was empty", name, cust.quota.tokens)
		}
	}
}
