package balancer

import (
	"testing"
	"time"
)

// A request that runs out of time is ended by its own timer, and its attempt called off. That is a time-out of the
// server's all the same.
func TestDeadlineOfRequestCountsAsTimeout(t *testing.T) {
	b := newSingleGateway(t, 1)
	s := actionsOf[Dispatch](b.Step(0, []Event{testRequest(1, 0, 2)}))[0]
	end := 498 * ms // the aim, less the resolution
	acts := b.Step(end, []Event{TimerFired{1<<1 | 1}})
	if len(actionsOf[CancelAttempt](acts)) != 1 || len(actionsOf[Reject](acts)) != 1 {
		t.Fatalf("at the end of its time: %v", acts)
	}
	slots := b.endpoints.byName[s.Endpoint].concurrency.limit
	b.Step(
		end,
		[]Event{AttemptResult{ID: 1, Endpoint: s.Endpoint, Status: Cancelled, Latency: end, RequestClosed: true}},
	)
	if b := b.endpoints.byName[s.Endpoint]; b.concurrency.limit >= slots || b.outlier.timeouts != 1 || b.latency.factor <= 1 {
		t.Errorf(
			"slots %v of %v, %d answers owed, slowness %v: nothing was learned of a server that took too long",
			b.concurrency.limit,
			slots,
			b.outlier.timeouts,
			b.latency.factor,
		)
	}
	// One that its client gave up early says nothing of the server.
	s = actionsOf[Dispatch](b.Step(end+ms, []Event{testRequest(2, 0, 2)}))[0]
	b.Step(end+5*ms, []Event{RequestDone{2}})
	was := *b.endpoints.byName[s.Endpoint]
	b.Step(
		end+5*ms,
		[]Event{AttemptResult{ID: 2, Endpoint: s.Endpoint, Status: Cancelled, Latency: 4 * ms, RequestClosed: true}},
	)
	if b := b.endpoints.byName[s.Endpoint]; b.concurrency.limit != was.concurrency.limit || b.outlier.timeouts != was.outlier.timeouts {
		t.Error("a client that left is held against the server")
	}
}

// From the first byte of a long answer the server's place is free and its latency known: a transfer that a slow client
// draws out
// is no silence, sets no deadline and is not tried again, however it ends.
func TestFirstByteFreesSlot(t *testing.T) {
	settings := settingsWithoutCounter()
	b := newTestBalancer(t, settings, testEndpoints(4)...)
	at := time.Second
	for i := range uint64(40) { // it knows how long answers take
		sendRequests(b, at+time.Duration(i)*tickInterval, 100+i, 1)
	}
	at += time.Second
	sends := actionsOf[Dispatch](b.Step(at, []Event{testRequest(1, 0, 0)}))
	if len(sends) != 1 {
		t.Fatal(sends)
	}
	ep := b.endpoints.byName[sends[0].Endpoint]
	answers := b.latency.classes[0].answers
	first := FirstByte{ID: 1}
	b.Step(at+5*ms, []Event{first, first, FirstByte{ID: 1, Attempt: 7}, FirstByte{ID: 99}})
	if ep.inFlightWork != 0 || len(ep.inFlight) != 0 || b.latency.classes[0].answers != answers+1 {
		t.Errorf("load %v, %d out, %d answers learned", ep.inFlightWork, len(ep.inFlight), b.latency.classes[0].answers-answers)
	}
	slow := ep.latency.factor
	for i := range 200 {
		for _, a := range b.Step(at+time.Duration(i)*tickInterval, []Event{TimerFired{0}, TimerFired{1<<1 | 1}}) {
			switch a := a.(type) {
			case Reject, Fail, CancelAttempt, Dispatch:
				t.Fatalf("%+v while the value is passed on", a)
			}
		}
	}
	if ep.outlier.ejected {
		t.Error("the server is held to be silent")
	}
	acts := b.Step(
		at+4*time.Second,
		[]Event{AttemptResult{ID: 1, Endpoint: ep.name, Status: Reset, Latency: 5 * ms, RequestClosed: true}},
	)
	if len(actionsOf[Dispatch](acts)) > 0 || ep.latency.factor != slow || len(b.requests) != 0 || ep.inFlightWork != 0 {
		t.Errorf(
			"%+v, slow %v was %v, %d requests, load %v",
			acts,
			ep.latency.factor,
			slow,
			len(b.requests),
			ep.inFlightWork,
		)
	}
}
