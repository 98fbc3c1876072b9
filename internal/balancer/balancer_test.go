package balancer

import (
	"fmt"
	"testing"
	"time"
)

// TestUnexpectedEvents verifies that events for unknown requests, attempts, counter calls and endpoints change nothing,
// and that each request gets exactly one final answer.
func TestUnexpectedEvents(t *testing.T) {
	b := newTestBalancer(t, testSettings())
	actions := b.Step(ms, []Event{
		testRequest(1, 0, 2),
		AttemptResult{ID: 9},
		AttemptResult{ID: 1, Attempt: 3},
		RequestDone{77},
		TimerFired{requestCookie(27)},
		TimerFired{watchRetryCookie},
		CounterResult{Name: 5},
		FirstByte{ID: 4},
		HealthCheckResult{Endpoint: "x"},
		Message{},
		EndpointUpdate{Kind: UpdateFailed},
	})
	if len(actionsOf[Dispatch](actions)) != 0 {
		t.Errorf("dispatched without an endpoint: %v", actions)
	}
	if actions := b.Step(500*ms, []Event{TimerFired{requestCookie(1)}}); len(actionsOf[Reject](actions)) != 1 {
		t.Errorf("no final answer without an endpoint: %v", actions)
	}
	if actions := b.Step(501*ms, []Event{TimerFired{requestCookie(1)}, RequestDone{1}}); len(actions) != 0 {
		t.Errorf("a second final answer: %v", actions)
	}
	short := testRequest(2, 0, 2)
	short.TimeLeft = 0
	if actions := b.Step(502*ms, []Event{short, Request{ID: 3, Class: 99}}); len(actionsOf[Reject](actions)) != 2 {
		t.Errorf("want two rejects, for no time left and for an unknown class: %v", actions)
	}
}

// TestFinishedStateIsForgotten verifies that ended requests and idle customers are removed.
func TestFinishedStateIsForgotten(t *testing.T) {
	settings := testSettings()
	b := newTestBalancer(t, settings, testEndpoints(4)...)
	for i := range 500 {
		request := testRequest(uint64(i), 0, 0)
		request.Customer = fmt.Sprint("once", i)
		for _, dispatch := range actionsOf[Dispatch](b.Step(ms, []Event{request})) {
			b.Step(ms, []Event{succeeded(dispatch, 0, 0)})
		}
		b.Step(ms, []Event{RequestDone{request.ID}})
	}
	for i := range 200 {
		b.Step(70*time.Second+time.Duration(i)*ms, []Event{TimerFired{tickCookie}})
	}
	if len(b.requests) != 0 || len(b.customers.byName) != 0 || len(b.customers.order) != 0 {
		t.Errorf("%d requests and %d customers remain", len(b.requests), len(b.customers.byName))
	}
}
