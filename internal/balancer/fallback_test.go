package balancer

import (
	"testing"
	"time"
)

// TestNewCustomerSpendsEvenShareOfBurst verifies that without a counter, a new customer can spend the gateway's even
// share of its burst and no more.
func TestNewCustomerSpendsEvenShareOfBurst(t *testing.T) {
	settings := testSettings()
	settings.UseCounter = false
	b := newTestBalancer(t, settings, testEndpoints(8)...)
	sent, rejected := 0, 0
	for i := range 8 {
		actions := b.Step(ms, []Event{testRequest(uint64(i), 0, 0)})
		sent += len(actionsOf[Dispatch](actions))
		rejected += len(actionsOf[Reject](actions))
	}
	if sent != 4 || rejected != 4 {
		t.Errorf("%d of 8 requests sent and %d rejected; want 4 and 4", sent, rejected)
	}
}

// TestFallbackShareFillsWhileCounterIsSilent verifies that the fallback share refills while the counter does not
// respond.
func TestFallbackShareFillsWhileCounterIsSilent(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(8)...)
	now, call := ms, spendFallback(t, b, ms)
	for i := range 12 {
		now += 60 * ms
		actions := b.Step(now, []Event{CounterResult{call.Name, Timeout, 0}, testRequest(uint64(10+i), 0, 0)})
		if got := actionsOf[CounterAdd](actions); len(got) == 1 {
			call = got[0]
		}
	}
	now += 3 * time.Second
	actions := b.Step(now, []Event{testRequest(20, 0, 0)})
	if len(actionsOf[Dispatch](actions)) != 1 {
		t.Errorf("the fallback share did not refill while the counter did not respond: %v", actions)
	}
}
