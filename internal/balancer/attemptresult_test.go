package balancer

import (
	"testing"
	"time"
)

// TestDeadlineOfRequestCountsAsTimeout verifies that a request at its deadline is rejected by its own timer, that its
// attempt is cancelled, and that the cancelled attempt counts as a timeout of the endpoint.
func TestDeadlineOfRequestCountsAsTimeout(t *testing.T) {
	b := newSingleGateway(t, 1)
	dispatch := singleDispatch(t, b.Step(0, []Event{testRequest(1, 0, 2)}))
	ep := b.endpoints.byName[dispatch.Endpoint]
	deadline := 498 * ms // the latency objective, less the resolution
	actions := b.Step(deadline, []Event{TimerFired{requestCookie(1)}})
	if len(actionsOf[CancelAttempt](actions)) != 1 || len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("not rejected and cancelled at the deadline: %v", actions)
	}
	limit := ep.concurrency.limit
	cancelled := resultOf(dispatch, Cancelled, deadline)
	cancelled.RequestClosed = true
	b.Step(deadline, []Event{cancelled})
	if ep.concurrency.limit >= limit || ep.outlier.timeouts != 1 || ep.latency.factor <= 1 {
		t.Errorf("concurrency limit %v was %v, %d timeouts, latency factor %v: the timeout was not recorded",
			ep.concurrency.limit, limit, ep.outlier.timeouts, ep.latency.factor)
	}
}

// TestClientThatLeftCountsAsNoTimeout verifies that an attempt that is cancelled because its client left does not count
// against the endpoint.
func TestClientThatLeftCountsAsNoTimeout(t *testing.T) {
	b := newSingleGateway(t, 1)
	dispatch := singleDispatch(t, b.Step(0, []Event{testRequest(1, 0, 2)}))
	b.Step(5*ms, []Event{RequestDone{1}})
	ep := b.endpoints.byName[dispatch.Endpoint]
	before := *ep
	cancelled := resultOf(dispatch, Cancelled, 5*ms)
	cancelled.RequestClosed = true
	b.Step(5*ms, []Event{cancelled})
	if ep.concurrency.limit != before.concurrency.limit || ep.outlier.timeouts != before.outlier.timeouts {
		t.Error("an attempt cancelled by its client counts against the endpoint")
	}
}

// TestFirstByteFreesSlot verifies that the first byte of a streamed response frees the endpoint's slot and records its
// latency. The rest of a slow transfer does not count as silence, has no deadline and is never retried.
func TestFirstByteFreesSlot(t *testing.T) {
	settings := settingsWithoutCounter()
	b := newTestBalancer(t, settings, testEndpoints(4)...)
	at := time.Second
	for i := range uint64(40) { // train the latency estimate
		sendRequests(b, at+time.Duration(i)*tickInterval, 100+i, 1)
	}
	at += time.Second
	dispatches := actionsOf[Dispatch](b.Step(at, []Event{testRequest(1, 0, 0)}))
	if len(dispatches) != 1 {
		t.Fatal(dispatches)
	}
	ep := b.endpoints.byName[dispatches[0].Endpoint]
	answers := b.latency.classes[0].answers
	first := FirstByte{ID: 1}
	b.Step(at+5*ms, []Event{first, first, FirstByte{ID: 1, Attempt: 7}, FirstByte{ID: 99}})
	if ep.inFlightWork != 0 || len(ep.inFlight) != 0 || b.latency.classes[0].answers != answers+1 {
		t.Errorf("work %v, %d attempts in flight, %d answers recorded",
			ep.inFlightWork, len(ep.inFlight), b.latency.classes[0].answers-answers)
	}
	latencyFactor := ep.latency.factor
	for i := range 200 {
		timers := []Event{TimerFired{tickCookie}, TimerFired{requestCookie(1)}}
		for _, a := range b.Step(at+time.Duration(i)*tickInterval, timers) {
			switch a := a.(type) {
			case Reject, Fail, CancelAttempt, Dispatch:
				t.Fatalf("unexpected action while the response is streamed: %+v", a)
			}
		}
	}
	if ep.outlier.ejected {
		t.Error("the endpoint was ejected as silent")
	}
	actions := b.Step(
		at+4*time.Second,
		[]Event{AttemptResult{ID: 1, Endpoint: ep.name, Status: Reset, Latency: 5 * ms, RequestClosed: true}},
	)
	if len(actionsOf[Dispatch](actions)) > 0 || ep.latency.factor != latencyFactor ||
		len(b.requests) != 0 || ep.inFlightWork != 0 {
		t.Errorf("after the stream broke: %+v, latency factor %v was %v, %d requests stored, work %v",
			actions, ep.latency.factor, latencyFactor, len(b.requests), ep.inFlightWork)
	}
}
