package balancer

import (
	"fmt"
	"testing"
	"time"
)

func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(2)...)
	b.Step(ms, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{{Name: "b0", State: Draining}}}})
	for i := range 20 {
		for _, s := range actionsOf[Dispatch](b.Step(time.Duration(i+2)*ms, []Event{testRequest(uint64(i), 0, 2)})) {
			if s.Endpoint == "b0" {
				t.Fatal("sent to a draining backend")
			}
		}
	}
}

func TestQueueOfRemovedEndpointIsReassigned(t *testing.T) { // a panic of the first version
	b := newTestBalancer(t, testSettings(), testEndpoints(3)...)
	var evs []Event
	for i := range 30 {
		evs = append(evs, testRequest(uint64(i), i%2, 2))
	}
	b.Step(ms, evs)
	acts := b.Step(2*ms, []Event{EndpointUpdate{Kind: Snapshot, Entries: testEndpoints(2)}})
	acts = append(acts, b.Step(3*ms, []Event{EndpointUpdate{Kind: Snapshot}})...)
	for _, s := range actionsOf[Dispatch](acts) {
		if s.Endpoint == "b2" {
			t.Error("sent to a gone backend")
		}
	}
}

// Nothing goes to a server that is taken out by hand, whatever the list says meanwhile, until it is let in again.
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
	never("a whole list")
	gone := list[0]
	gone.State = Removed
	b.Step(at, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{gone}}})
	b.Step(at, []Event{EndpointUpdate{Kind: Snapshot, Entries: list[1:]}})
	b.Step(at, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{again}}})
	never("gone and back")
	at += 100 * ms
	for i := range 40 { // nor is it probed, or found silent
		if n := len(actionsOf[HealthCheck](b.Step(at+time.Duration(i)*tickInterval, []Event{TimerFired{0}}))); n > 0 {
			t.Error("probed")
		}
	}
	at += 40 * tickInterval
	b.Step(at, []Event{AdminRestore{list[0].Name}})
	ep := b.endpoints.byName[list[0].Name]
	if !ep.isUsable() || !ep.slowStart.active {
		t.Fatalf("back: usable %t, cold %t", ep.isUsable(), ep.slowStart.active)
	}
	used := 0
	for end := at + 5*time.Second; at < end && used == 0; at += 200 * ms { // though warm ones are idle all the time
		used = sendRequests(b, at, id, 1)[list[0].Name]
		id++
	}
	if used == 0 {
		t.Error("not used for 5 s after it was let in again")
	}
	b.Step(at, []Event{AdminRestore{list[0].Name}, AdminRestore{"nobody"}}) // again: nothing is reset
	if ep.slowStart.since > at-100*ms {
		t.Error("a second call made it cold anew")
	}
}

// What is queued at the server goes on elsewhere, and what waits for all of them is refused at once, not in the end.
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
	acts := b.Step(time.Second+ms, []Event{AdminEject{Endpoint: list[1].Name}, testRequest(100, 0, 0)})
	refused := map[uint64]bool{}
	for _, r := range actionsOf[Reject](acts) {
		refused[r.ID] = r.Reason == EndpointsEjected && r.RetryAfter > 0
	}
	if !refused[100] {
		t.Errorf("not refused at once: %+v", acts)
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

// A start that the list tells of during the ban says how cold a server is that is let in again.
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
		t.Errorf("cold from %v, started %v", got, again.StartedAt)
	}
}

// Bans come and go for ever without a trace.
func TestAdminEjectionsLeaveNoState(t *testing.T) {
	b := newTestBalancer(t, settingsWithoutCounter(), testEndpoints(2)...)
	for i := range 10000 {
		name := fmt.Sprint("x", i)
		b.Step(time.Duration(i)*ms, []Event{AdminEject{Endpoint: name}, AdminRestore{name}})
	}
	if len(b.endpoints.adminEjected) != 0 || len(b.endpoints.byName) != 2 {
		t.Errorf("%d bans, %d servers", len(b.endpoints.adminEjected), len(b.endpoints.byName))
	}
}
