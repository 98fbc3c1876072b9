package balancer

import (
	"testing"
	"time"
)

// A class that is changed has a new number, under which what was learned goes on; a request that came under the old
// number
// keeps the old rules to its end.
func TestReloadKeepsRulesOfOpenRequests(t *testing.T) {
	settings := testSettings()
	settings.UseCounter, settings.Gateways, settings.MaxAttempts = false, 1, 3
	settings.Plans[0] = Plan{PriorityFactor: 1}
	b := newTestBalancer(t, settings, testEndpoints(3)...)
	first := singleDispatch(t, b.Step(time.Second, []Event{testRequest(1, 0, 0)}))
	b.latency.classes[0].meanLatency, b.latency.classes[0].answers = 0.123, 50

	next := settings
	next.MaxAttempts = 1
	unsafe := settings.Classes[0]
	unsafe.Idempotency = NonIdempotent
	old := settings.Classes[0]
	old.Removed = true
	next.Classes = append([]Class{old}, settings.Classes[1:]...)
	next.Classes = append(next.Classes, unsafe)
	from := make([]int, len(next.Classes))
	for i := range from {
		from[i] = i
	}
	fresh := len(next.Classes) - 1
	from[fresh] = 0
	acts := b.Step(time.Second+ms, []Event{SettingsUpdate{Settings: next, EvidenceFrom: from}, testRequest(2, fresh, 0)})
	second := singleDispatch(t, acts)
	if b.latency.classes[fresh].meanLatency != 0.123 {
		t.Errorf("what was learned is lost: %v", b.latency.classes[fresh].meanLatency)
	}
	// The old request may still be repeated, being of a safe class; the new one may not, having perhaps run.
	if s := singleDispatch(
		t,
		b.Step(time.Second+2*ms, []Event{AttemptResult{ID: 1, Endpoint: first.Endpoint, Status: Reset, Latency: ms}}),
	); s.ID != 1 {
		t.Errorf("%+v", s)
	}
	for _, a := range b.Step(time.Second+3*ms, []Event{AttemptResult{ID: 2, Endpoint: second.Endpoint, Status: Reset, Latency: ms}}) {
		if s, ok := a.(Dispatch); ok && s.ID == 2 {
			t.Error("a request of an unsafe class was sent again")
		}
	}
}

// Fewer attempts hold for new requests only.
func TestReloadOfMaxAttempts(t *testing.T) {
	settings := testSettings()
	settings.UseCounter, settings.Gateways, settings.MaxAttempts = false, 1, 2
	settings.Plans[0] = Plan{PriorityFactor: 1}
	b := newTestBalancer(t, settings, testEndpoints(3)...)
	again := func(id uint64, at time.Duration) (sends int) {
		for _, a := range b.Step(at, []Event{AttemptResult{ID: id, Endpoint: b.requests[id].attempts[0].endpoint.name, Status: Rejected, Latency: ms}}) {
			if _, ok := a.(Dispatch); ok {
				sends++
			}
		}
		return sends
	}
	b.Step(time.Second, []Event{testRequest(1, 0, 0)})
	next := settings
	next.MaxAttempts = 1
	b.Step(time.Second+ms, []Event{SettingsUpdate{Settings: next, EvidenceFrom: []int{0, 1, 2}}, testRequest(2, 0, 0)})
	if n := again(1, time.Second+2*ms); n != 1 {
		t.Errorf("the open request had %d further attempts", n)
	}
	if n := again(2, time.Second+3*ms); n != 0 {
		t.Errorf("the new one had %d", n)
	}
}
