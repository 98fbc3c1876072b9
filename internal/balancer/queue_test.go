package balancer

import (
	"testing"
)

// TestStaleRequestsAreRejected verifies that requests that have waited too long are rejected instead of dispatched when
// a slot becomes free (EQ 3).
func TestStaleRequestsAreRejected(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(1)...)
	dispatches := actionsOf[Dispatch](b.Step(ms, append(testRequests(0, 0, 1, 2, 3), testRequest(4, 1, 0))))
	if len(dispatches) != 2 {
		t.Fatalf("%d of 4 requests dispatched to one endpoint at once, want 2", len(dispatches))
	}
	actions := b.Step(480*ms, []Event{succeeded(dispatches[0], 0, 479*ms), succeeded(dispatches[1], 0, 479*ms)})
	if n := len(actionsOf[Reject](actions)); n != 2 || len(actionsOf[Dispatch](actions)) != 0 {
		t.Errorf("stale requests: %v, want two rejections", actions)
	}
}

// TestHigherPriorityGoesFirstUnderBacklog verifies that a request of a higher level is dispatched before requests that
// have waited longer.
func TestHigherPriorityGoesFirstUnderBacklog(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].Burst = 20
	b := newTestBalancer(t, settings, testEndpoints(1)...)
	first := actionsOf[Dispatch](b.Step(ms, testRequests(0, 0, 1, 2, 3, 4)))
	b.Step(2*ms, []Event{testRequest(5, 1, 0)})
	answers := []Event{succeeded(first[0], 0, 150*ms), succeeded(first[1], 0, 150*ms)}
	next := actionsOf[Dispatch](b.Step(151*ms, answers))
	if len(next) == 0 || next[0].ID != 5 {
		t.Errorf("dispatched %v, then %v; want the request of the highest level next", first, next)
	}
}

// TestQueueKeepsNoEndedRequests verifies that requests that leave a queue leave no entries behind, even if nothing is
// dispatched from it.
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
		t.Errorf("%d entries stored, %d requests counted by the queue and %d by the endpoint set; want none",
			len(ep.queue.levels[2].entries), ep.queue.length, b.endpoints.queuedRequests)
	}
}
