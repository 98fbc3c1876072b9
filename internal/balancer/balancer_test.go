package balancer

import (
	"fmt"
	"testing"
	"time"
)

func TestUnexpectedEvents(t *testing.T) {
	b := newTestBalancer(t, testSettings())
	if acts := b.Step(
		ms,
		[]Event{
			testRequest(1, 0, 2),
			AttemptResult{ID: 9},
			AttemptResult{ID: 1, Attempt: 3},
			RequestDone{77},
			TimerFired{55},
			TimerFired{2},
			CounterResult{
				Name: 5,
			},
			FirstByte{ID: 4},
			HealthCheckResult{Endpoint: "x"},
			Message{},
			EndpointUpdate{Kind: UpdateFailed},
		},
	); len(
		actionsOf[Dispatch](acts),
	) != 0 {
		t.Errorf("sent without a backend: %v", acts)
	}
	if acts := b.Step(500*ms, []Event{TimerFired{1<<1 | 1}}); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("no final answer without a backend: %v", acts)
	}
	if acts := b.Step(501*ms, []Event{TimerFired{1<<1 | 1}, RequestDone{1}}); len(acts) != 0 {
		t.Errorf("a second answer: %v", acts)
	}
	short := testRequest(2, 0, 2)
	short.TimeLeft = 0
	if acts := b.Step(502*ms, []Event{short, Request{ID: 3, Class: 99}}); len(actionsOf[Reject](acts)) != 2 {
		t.Errorf("no time left, unknown class: %v", acts)
	}
}

func TestFinishedStateIsForgotten(t *testing.T) {
	settings := testSettings()
	b := newTestBalancer(t, settings, testEndpoints(4)...)
	for i := range 500 {
		request := testRequest(uint64(i), 0, 0)
		request.Customer = fmt.Sprint("once", i)
		for _, s := range actionsOf[Dispatch](b.Step(ms, []Event{request})) {
			b.Step(ms, []Event{succeeded(s, 0, 0)})
		}
		b.Step(ms, []Event{RequestDone{request.ID}})
	}
	for i := range 200 {
		b.Step(70*time.Second+time.Duration(i)*ms, []Event{TimerFired{0}})
	}
	if len(b.requests) != 0 || len(b.customers.byName) != 0 || len(b.customers.order) != 0 {
		t.Errorf("left: %d requests, %d customers", len(b.requests), len(b.customers.byName))
	}
}
