package balancer

import (
	"testing"
	"time"
)

// objective is the latency objective of class 0 of testSettings. Its clients wait for 2 s.
const objective = 500 * ms

// beginResponse dispatches request 1 at time 0 and reports after 20 ms that its response has begun.
func beginResponse(t *testing.T, b *Balancer) (Dispatch, []Action) {
	t.Helper()
	dispatch := singleDispatch(t, b.Step(0, []Event{testRequest(1, 0, 2)}))
	return dispatch, b.Step(20*ms, []Event{ResponseBegun{ID: 1}})
}

// TestBegunResponseHasTheClientsDeadline guards against a response that has begun and is cut off at the latency
// objective. It ends at the deadline of the client, and the endpoint has not timed out.
func TestBegunResponseHasTheClientsDeadline(t *testing.T) {
	settings := singleGatewaySettings()
	b := newTestBalancer(t, settings, testEndpoints(1)...)
	dispatch, actions := beginResponse(t, b)
	timers := actionsOf[SetTimer](actions)
	deadline := 2*time.Second - settings.Resolution
	if len(timers) != 1 || timers[0].At != deadline {
		t.Fatalf("timers %+v, want one at %v", timers, deadline)
	}
	if n := len(b.endpoints.byName[dispatch.Endpoint].inFlight); n != 0 {
		t.Errorf("the attempt holds %d slots", n)
	}
	for _, at := range []time.Duration{objective - settings.Resolution, objective, deadline - ms} {
		actions = b.Step(at, []Event{TimerFired{requestCookie(1)}})
		if len(actionsOf[CancelAttempt](actions))+len(actionsOf[Reject](actions)) > 0 {
			t.Fatalf("at %v: %+v", at, actions)
		}
	}
	actions = b.Step(deadline, []Event{TimerFired{requestCookie(1)}})
	if len(actionsOf[CancelAttempt](actions)) != 1 || len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("at the deadline: %+v", actions)
	}
	b.Step(deadline, []Event{resultOf(dispatch, Cancelled, 20*ms)})
	if timeouts := b.endpoints.byName[dispatch.Endpoint].outlier.timeouts; timeouts != 0 || len(b.requests) != 0 {
		t.Errorf("%d timeouts, %d requests are left", timeouts, len(b.requests))
	}
}

// TestUnbegunResponseEndsAtTheObjective verifies the other side: an attempt without a response is given up at the
// objective, and its endpoint has timed out.
func TestUnbegunResponseEndsAtTheObjective(t *testing.T) {
	b := newTestBalancer(t, singleGatewaySettings(), testEndpoints(1)...)
	dispatch := singleDispatch(t, b.Step(0, []Event{testRequest(1, 0, 2)}))
	actions := b.Step(objective, []Event{TimerFired{requestCookie(1)}})
	if len(actionsOf[CancelAttempt](actions)) != 1 || len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("at the objective: %+v", actions)
	}
	b.Step(objective, []Event{resultOf(dispatch, Cancelled, objective)})
	if timeouts := b.endpoints.byName[dispatch.Endpoint].outlier.timeouts; timeouts != 1 {
		t.Errorf("%d timeouts", timeouts)
	}
}

// TestEjectionSparesBegunResponses guards against a response that has begun and is cut off since its endpoint is
// ejected. The attempts without a response go elsewhere.
func TestEjectionSparesBegunResponses(t *testing.T) {
	b := newTestBalancer(t, singleGatewaySettings(), testEndpoints(1)...)
	dispatch, _ := beginResponse(t, b)
	silent := singleDispatch(t, b.Step(30*ms, []Event{testRequest(2, 0, 2)}))
	b.eject(b.endpoints.byName[dispatch.Endpoint])
	cancelled := actionsOf[CancelAttempt](b.actions)
	if len(cancelled) != 1 || cancelled[0].ID != silent.ID {
		t.Errorf("cancelled %+v, want the attempt of request %d", cancelled, silent.ID)
	}
}

// TestBegunResponsesAreNoSilence guards against a sound endpoint that is ejected since it completes responses late.
func TestBegunResponsesAreNoSilence(t *testing.T) {
	b := newTestBalancer(t, singleGatewaySettings(), testEndpoints(1)...)
	for id := range uint64(8) {
		b.Step(0, []Event{testRequest(id+1, 0, 2)})
		b.Step(ms, []Event{ResponseBegun{ID: id + 1}})
	}
	b.Step(1900*ms, nil)
	if ep := b.endpoints.byName["b0"]; b.isSilent(ep) {
		t.Error("the endpoint counts as silent")
	}
}

// TestResponseThatBreaksAfterTheObjective verifies that a request whose response has begun and then broken gets its
// final answer at once if nothing more is worth starting, and otherwise another attempt.
func TestResponseThatBreaksAfterTheObjective(t *testing.T) {
	for at, retried := range map[time.Duration]bool{100 * ms: true, objective + 100*ms: false} {
		b := newTestBalancer(t, singleGatewaySettings(), testEndpoints(2)...)
		dispatch, _ := beginResponse(t, b)
		actions := b.Step(at, []Event{resultOf(dispatch, Reset, 20*ms)})
		if n := len(actionsOf[Dispatch](actions)); n != 1 == retried {
			t.Errorf("at %v: %d dispatches", at, n)
		}
		if n := len(actionsOf[Reject](actions)); n != 1 != retried {
			t.Errorf("at %v: %d rejections", at, n)
		}
	}
}
