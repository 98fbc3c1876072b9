package balancer

import (
	"testing"
)

// Requests that have waited too long are rejected when a slot is free (EQ 3).
func TestStaleRequestsAreRejected(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(1)...)
	dispatches := actionsOf[Dispatch](b.Step(ms, append(testRequests(0, 0, 1, 2, 3), testRequest(4, 1, 0))))
	if len(dispatches) != 2 {
		t.Fatalf("%d of 4 sent to one endpoint at once", len(dispatches))
	}
	actions := b.Step(480*ms, []Event{succeeded(dispatches[0], 0, 479*ms), succeeded(dispatches[1], 0, 479*ms)})
	if n := len(actionsOf[Reject](actions)); n != 2 || len(actionsOf[Dispatch](actions)) != 0 {
		t.Errorf("stale requests: %v, want two rejections", actions)
	}
}

// A request of a higher level overtakes those that wait longer.
func TestHigherPriorityGoesFirstUnderBacklog(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].Burst = 20
	b := newTestBalancer(t, settings, testEndpoints(1)...)
	first := actionsOf[Dispatch](b.Step(ms, testRequests(0, 0, 1, 2, 3, 4)))
	b.Step(2*ms, []Event{testRequest(5, 1, 0)})
	answers := []Event{succeeded(first[0], 0, 150*ms), succeeded(first[1], 0, 150*ms)}
	next := actionsOf[Dispatch](b.Step(151*ms, answers))
	if len(next) == 0 || next[0].ID != 5 {
		t.Errorf("after %v went %v, want the request of the highest level", first, next)
	}
}

// Requests that leave a queue leave no entries behind, even if nothing is dispatched from it.
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
		t.Errorf("%d entries are kept, %d and %d counted",
			len(ep.queue.levels[2].entries), ep.queue.length, b.endpoints.queuedRequests)
	}
}
