package balancer

import (
	"testing"
)

func TestStaleRequestsAreRejected(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(1)...)
	sends := actionsOf[Dispatch](b.Step(ms, []Event{testRequest(1, 0, 0), testRequest(2, 0, 0), testRequest(3, 0, 0), testRequest(4, 1, 0)}))
	if len(sends) != 2 {
		t.Fatalf("%d of 4 sent to one backend at once", len(sends))
	}
	acts := b.Step(480*ms, []Event{succeeded(sends[0], 0, 479*ms), succeeded(sends[1], 0, 479*ms)})
	if n := len(actionsOf[Reject](acts)); n != 2 || len(actionsOf[Dispatch](acts)) != 0 {
		t.Errorf("stale requests: %v, want two refusals", acts)
	}
}

func TestHigherPriorityGoesFirstUnderBacklog(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].Burst = 20
	b := newTestBalancer(t, settings, testEndpoints(1)...)
	first := actionsOf[Dispatch](b.Step(ms, []Event{testRequest(1, 0, 0), testRequest(2, 0, 0), testRequest(3, 0, 0), testRequest(4, 0, 0)}))
	b.Step(2*ms, []Event{testRequest(5, 1, 0)})
	next := actionsOf[Dispatch](b.Step(151*ms, []Event{succeeded(first[0], 0, 150*ms), succeeded(first[1], 0, 150*ms)}))
	if len(next) == 0 || next[0].ID != 5 {
		t.Errorf("after %v went %v, want the request with the most worth", first, next)
	}
}

// What was queued and has ended must leave nothing behind at a server from which nobody picks.
func TestQueueKeepsNoEndedRequests(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(1)...)
	ep := b.endpoints.byName["b0"]
	var all []*request
	for i := range 3 {
		req := &request{id: uint64(i), level: 2}
		b.enqueue(req, ep)
		all = append(all, req)
	}
	for _, req := range all {
		b.dequeue(req)
	}
	if len(ep.queue.levels[2].entries) != 0 || ep.queue.length != 0 || b.endpoints.queuedRequests != 0 {
		t.Errorf("%d places are kept, %d and %d counted", len(ep.queue.levels[2].entries), ep.queue.length, b.endpoints.queuedRequests)
	}
}
