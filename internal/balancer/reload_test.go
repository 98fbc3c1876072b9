package balancer

import (
	"testing"
	"time"
)

// TestReloadKeepsRulesOfOpenRequests verifies that a changed class gets a new number under which its estimates
// continue, while a request of the old number keeps the old rules until it ends.
func TestReloadKeepsRulesOfOpenRequests(t *testing.T) {
	settings := testSettings()
	settings.UseCounter = false
	settings.Gateways = 1
	settings.MaxAttempts = 3
	settings.Plans[0] = Plan{PriorityFactor: 1}
	b := newTestBalancer(t, settings, testEndpoints(3)...)
	first := singleDispatch(t, b.Step(time.Second, []Event{testRequest(1, 0, 0)}))
	b.latency.classes[0].meanLatency = 0.123
	b.latency.classes[0].answers = 50

	next := settings
	next.MaxAttempts = 1
	nonIdempotent := settings.Classes[0]
	nonIdempotent.Idempotency = NonIdempotent
	old := settings.Classes[0]
	old.Removed = true
	next.Classes = append([]Class{old}, settings.Classes[1:]...)
	next.Classes = append(next.Classes, nonIdempotent)
	from := make([]int, len(next.Classes))
	for i := range from {
		from[i] = i
	}
	fresh := len(next.Classes) - 1
	from[fresh] = 0
	update := SettingsUpdate{Settings: next, EvidenceFrom: from}
	actions := b.Step(time.Second+ms, []Event{update, testRequest(2, fresh, 0)})
	second := singleDispatch(t, actions)
	if b.latency.classes[fresh].meanLatency != 0.123 {
		t.Errorf("the mean latency was not inherited: %v", b.latency.classes[fresh].meanLatency)
	}
	// The old request may still be retried, because its class is idempotent. The new one may have run, so it may not.
	reset := AttemptResult{ID: 1, Endpoint: first.Endpoint, Status: Reset, Latency: ms}
	if retry := singleDispatch(t, b.Step(time.Second+2*ms, []Event{reset})); retry.ID != 1 {
		t.Errorf("dispatched %+v, want a retry of request 1", retry)
	}
	reset = AttemptResult{ID: 2, Endpoint: second.Endpoint, Status: Reset, Latency: ms}
	for _, retry := range actionsOf[Dispatch](b.Step(time.Second+3*ms, []Event{reset})) {
		if retry.ID == 2 {
			t.Error("a request of a non-idempotent class was retried")
		}
	}
}

// TestReloadOfMaxAttempts verifies that a lower MaxAttempts applies only to new requests.
func TestReloadOfMaxAttempts(t *testing.T) {
	settings := testSettings()
	settings.UseCounter = false
	settings.Gateways = 1
	settings.MaxAttempts = 2
	settings.Plans[0] = Plan{PriorityFactor: 1}
	b := newTestBalancer(t, settings, testEndpoints(3)...)
	retriesOf := func(id uint64, at time.Duration) int {
		endpoint := b.requests[id].attempts.all[0].endpoint.name
		rejected := AttemptResult{ID: id, Endpoint: endpoint, Status: Rejected, Latency: ms}
		return len(actionsOf[Dispatch](b.Step(at, []Event{rejected})))
	}
	b.Step(time.Second, []Event{testRequest(1, 0, 0)})
	next := settings
	next.MaxAttempts = 1
	b.Step(time.Second+ms, []Event{SettingsUpdate{Settings: next, EvidenceFrom: []int{0, 1, 2}}, testRequest(2, 0, 0)})
	if n := retriesOf(1, time.Second+2*ms); n != 1 {
		t.Errorf("the open request had %d retries, want 1", n)
	}
	if n := retriesOf(2, time.Second+3*ms); n != 0 {
		t.Errorf("the new request had %d retries, want 0", n)
	}
}
