package balancer

import (
	"testing"
	"time"
)

// TestNewWindowCarriesDeficit verifies that the gateway whose call starts a window's total carries the bucket's deficit
// into it, and that a gateway that calls later does not.
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
		now = counterWindow + 100*ms // ten seconds later, in the next counter window
		cust.bucket.level = 0
		cust.bucket.levelAt = now - 200*ms
		calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(2, 0, 0)}))
		if len(calls) != 1 {
			t.Fatalf("%s: %d counter calls, want 1", name, len(calls))
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
			t.Errorf("%s: %.2f units carried into the new window of an empty bucket of %v", name, carried, burst)
		}
		if cust.quota.tokens > 1 {
			t.Errorf("%s: %.2f tokens granted from an empty bucket", name, cust.quota.tokens)
		}
	}
}
