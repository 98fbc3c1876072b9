package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A draining endpoint gets no new attempts.
func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(2)...)
	b.Step(ms, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{{Name: "b0", State: Draining}}}})
	for i := range 20 {
		now := time.Duration(i+2) * ms
		for _, dispatch := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(uint64(i), 0, 2)})) {
			if dispatch.Endpoint == "b0" {
				t.Fatal("dispatched to a draining endpoint")
			}
		}
	}
}

// Requests queued at a removed endpoint are dispatched elsewhere.
func TestQueueOfRemovedEndpointIsReassigned(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(3)...)
	var events []Event
	for i := range 30 {
		events = append(events, testRequest(uint64(i), i%2, 2))
	}
	b.Step(ms, events)
	actions := b.Step(2*ms, []Event{EndpointUpdate{Kind: Snapshot, Entries: testEndpoints(2)}})
	actions = append(actions, b.Step(3*ms, []Event{EndpointUpdate{Kind: Snapshot}})...)
	for _, dispatch := range actionsOf[Dispatch](actions) {
		if dispatch.Endpoint == "b2" {
			t.Error("dispatched to a removed endpoint")
		}
	}
}

// An endpoint that an administrator has ejected gets nothing, whatever the endpoint list says, until it is restored.
func TestAdminEjectionOverridesEndpointList(t *testing.T) {
	list := testEndpoints(4)
	b := newTestBalancer(t, settingsWithoutCounter(), list...)
	at := time.Second
	if to := sendRequests(b, at, 1, 40); to[list[0].Name] == 0 {
		t.Fatalf("not used before: %v", to)
	}
	id := uint64(1000)
	never := func(when string) {
		t.Helper()
		at += 100 * ms
		if to := sendRequests(b, at, id, 40); to[list[0].Name] > 0 || len(to) == 0 {
			t.Errorf("%s: %v", when, to)
		}
		id += 100
	}
	out := AdminEject{Endpoint: list[0].Name}
	b.Step(at, []Event{out})
	b.Step(at, []Event{out}) // again
	never("at once")
	if listed, avoided := b.EndpointCounts(); listed != 4 || avoided != 1 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
	again := list[0]
	again.StartedAt = at
	b.Step(at, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{again}}})
	never("restarted and in service by the list")
	b.Step(at, []Event{EndpointUpdate{Kind: Snapshot, Entries: list}})
	never("a snapshot")
	gone := list[0]
	gone.State = Removed
	b.Step(at, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{gone}}})
	b.Step(at, []Event{EndpointUpdate{Kind: Snapshot, Entries: list[1:]}})
	b.Step(at, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{again}}})
	never("removed and back")
	at += 100 * ms
	for i := range 40 { // it is not probed either
		actions := b.Step(at+time.Duration(i)*tickInterval, []Event{TimerFired{tickCookie}})
		if len(actionsOf[HealthCheck](actions)) > 0 {
			t.Error("probed")
		}
	}
	at += 40 * tickInterval
	b.Step(at, []Event{AdminRestore{list[0].Name}})
	ep := b.endpoints.byName[list[0].Name]
	if !ep.isUsable() || !ep.slowStart.active {
		t.Fatalf("back: usable %t, warming %t", ep.isUsable(), ep.slowStart.active)
	}
	used := 0
	for end := at + 5*time.Second; at < end && used == 0; at += 200 * ms { // although warm endpoints are idle
		used = sendRequests(b, at, id, 1)[list[0].Name]
		id++
	}
	if used == 0 {
		t.Error("not used for 5 s after it was restored")
	}
	b.Step(at, []Event{AdminRestore{list[0].Name}, AdminRestore{"nobody"}}) // again: nothing is reset
	if ep.slowStart.since > at-100*ms {
		t.Error("a second restore began another slow start")
	}
}

// Requests queued at an ejected endpoint go elsewhere. Once all are ejected, waiting and new requests are rejected at
// once.
func TestAllAdminEjectedRejectsAtOnce(t *testing.T) {
	settings := settingsWithoutCounter()
	list := testEndpoints(2)
	b := newTestBalancer(t, settings, list...)
	for i := range uint64(40) {
		b.Step(time.Second, []Event{testRequest(i+1, 0, 0)})
	}
	b.Step(time.Second, []Event{AdminEject{Endpoint: list[0].Name}})
	if b.endpoints.byName[list[0].Name].queue.length > 0 {
		t.Error("still queued there")
	}
	actions := b.Step(time.Second+ms, []Event{AdminEject{Endpoint: list[1].Name}, testRequest(100, 0, 0)})
	rejected := map[uint64]bool{}
	for _, reject := range actionsOf[Reject](actions) {
		rejected[reject.ID] = reject.Reason == EndpointsEjected && reject.RetryAfter > 0
	}
	if !rejected[100] {
		t.Errorf("not rejected at once: %+v", actions)
	}
	open := 0
	for _, req := range b.requests {
		if req.attemptsOut == 0 && !req.ended {
			open++
		}
	}
	if open > 0 {
		t.Errorf("%d still wait", open)
	}
}

// An endpoint that the list has as restarted during its ejection warms up since that start.
func TestAdminRestoreUsesListedStart(t *testing.T) {
	list := testEndpoints(3)
	b := newTestBalancer(t, settingsWithoutCounter(), list...)
	at := 100 * time.Second
	b.Step(at, []Event{AdminEject{Endpoint: list[0].Name, At: at - time.Second}})
	again := list[0]
	again.StartedAt = at + time.Second
	b.Step(at+5*time.Second, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{again}}})
	b.Step(at+9*time.Second, []Event{AdminRestore{list[0].Name}})
	if got := b.endpoints.byName[list[0].Name].slowStart.since; got != again.StartedAt {
		t.Errorf("warming from %v, started %v", got, again.StartedAt)
	}
}

// Ejections of unknown endpoints leave no state once they are restored.
func TestAdminEjectionsLeaveNoState(t *testing.T) {
	b := newTestBalancer(t, settingsWithoutCounter(), testEndpoints(2)...)
	for i := range 10000 {
		name := fmt.Sprint("x", i)
		b.Step(time.Duration(i)*ms, []Event{AdminEject{Endpoint: name}, AdminRestore{name}})
	}
	if len(b.endpoints.adminEjected) != 0 || len(b.endpoints.byName) != 2 {
		t.Errorf("%d ejections, %d endpoints", len(b.endpoints.adminEjected), len(b.endpoints.byName))
	}
}
