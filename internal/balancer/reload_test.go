package balancer

import (
	"testing"
	"time"
)

// A class that changes gets a new index, under which its estimates go on. A request that came under the old index
// keeps the old rules.
func TestReloadKeepsRulesOfOpenRequests(t *testing.T) {
	settings := testSettings()
	settings.UseCounter, settings.Gateways, settings.MaxAttempts = false, 1, 3
	settings.Plans[0] = Plan{PriorityFactor: 1}
	b := newTestBalancer(t, settings, testEndpoints(3)...)
	first := singleDispatch(t, b.Step(time.Second, []Event{testRequest(1, 0, 0)}))
	b.latency.classes[0].meanLatency, b.latency.classes[0].answers = 0.123, 50

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
	second := singleDispatch(t, b.Step(time.Second+ms, []Event{update, testRequest(2, fresh, 0)}))
	if b.latency.classes[fresh].meanLatency != 0.123 {
		t.Errorf("the estimate is lost: %v", b.latency.classes[fresh].meanLatency)
	}
	// The old request may still be repeated, as its class is idempotent; the new one may not, as it may have run.
	retried := singleDispatch(t, b.Step(time.Second+2*ms, []Event{resultOf(first, Reset, ms)}))
	if retried.ID != 1 {
		t.Errorf("%+v", retried)
	}
	for _, dispatch := range actionsOf[Dispatch](b.Step(time.Second+3*ms, []Event{resultOf(second, Reset, ms)})) {
		if dispatch.ID == 2 {
			t.Error("a request that is not idempotent was retried")
		}
	}
}

// Fewer attempts apply to new requests only.
func TestReloadOfMaxAttempts(t *testing.T) {
	settings := testSettings()
	settings.UseCounter, settings.Gateways, settings.MaxAttempts = false, 1, 2
	settings.Plans[0] = Plan{PriorityFactor: 1}
	b := newTestBalancer(t, settings, testEndpoints(3)...)
	retries := func(id uint64, at time.Duration) int {
		first := Dispatch{ID: id, Endpoint: b.requests[id].attempts[0].endpoint.name}
		return len(actionsOf[Dispatch](b.Step(at, []Event{resultOf(first, Rejected, ms)})))
	}
	b.Step(time.Second, []Event{testRequest(1, 0, 0)})
	next := settings
	next.MaxAttempts = 1
	b.Step(time.Second+ms, []Event{SettingsUpdate{Settings: next, EvidenceFrom: []int{0, 1, 2}}, testRequest(2, 0, 0)})
	if n := retries(1, time.Second+2*ms); n != 1 {
		t.Errorf("the open request had %d retries", n)
	}
	if n := retries(2, time.Second+3*ms); n != 0 {
		t.Errorf("the new one had %d", n)
	}
}
