package balancer

import (
	"fmt"
	"testing"
	"time"
)

// TestDrainingEndpointGetsNoRequests verifies that a draining endpoint gets no new attempts.
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

// TestQueueOfRemovedEndpointIsReassigned verifies that requests queued at a removed endpoint are not dispatched to it.
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

// TestAdminEjectionOverridesEndpointList verifies that an administratively ejected endpoint gets no requests until it
// is restored, whatever the endpoint list says.
func TestAdminEjectionOverridesEndpointList(t *testing.T) {
	endpoints := testEndpoints(4)
	ejected := endpoints[0]
	b := newTestBalancer(t, settingsWithoutCounter(), endpoints...)
	now := time.Second
	id := uint64(1)
	if attempts := sendRequests(b, now, id, 40); attempts[ejected.Name] == 0 {
		t.Fatalf("the endpoint is not used before its ejection: attempts %v", attempts)
	}
	restarted := ejected
	restarted.StartedAt = now
	removed := ejected
	removed.State = Removed
	for _, c := range []struct {
		when   string
		events []Event
	}{
		{"ejected", []Event{AdminEject{Endpoint: ejected.Name}}},
		{"ejected again", []Event{AdminEject{Endpoint: ejected.Name}}},
		{"listed as restarted", []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{restarted}}}},
		{"in a snapshot", []Event{EndpointUpdate{Kind: Snapshot, Entries: endpoints}}},
		{"removed and listed again", []Event{
			EndpointUpdate{Kind: Delta, Entries: []Endpoint{removed}},
			EndpointUpdate{Kind: Snapshot, Entries: endpoints[1:]},
			EndpointUpdate{Kind: Delta, Entries: []Endpoint{restarted}},
		}},
	} {
		b.Step(now, c.events)
		if listed, avoided := b.EndpointCounts(); listed != 4 || avoided != 1 {
			t.Errorf("%s: %d endpoints listed and %d avoided, want 4 and 1", c.when, listed, avoided)
		}
		now += 100 * ms
		id += 100
		if attempts := sendRequests(b, now, id, 40); attempts[ejected.Name] > 0 || len(attempts) == 0 {
			t.Errorf("%s: attempts by endpoint %v, want some, but none to the ejected one", c.when, attempts)
		}
	}
	for range 40 {
		now += tickInterval
		if len(actionsOf[HealthCheck](b.Step(now, []Event{TimerFired{tickCookie}}))) > 0 {
			t.Error("an administratively ejected endpoint was probed")
		}
	}
	checkRestored(t, b, ejected.Name, now+tickInterval, id+100)
}

// TestAdminRestore verifies that a restored endpoint begins slow start and is used again within seconds, even though
// warm endpoints are idle, and that a second restore changes nothing.
func TestAdminRestore(t *testing.T) {
	endpoints := testEndpoints(4)
	name := endpoints[0].Name
	b := newTestBalancer(t, settingsWithoutCounter(), endpoints...)
	now := time.Second
	sendRequests(b, now, 1, 40)
	b.Step(now, []Event{AdminEject{Endpoint: name}})
	restarted := endpoints[0]
	restarted.StartedAt = now + 100*ms
	for round := range uint64(5) {
		now += 100 * ms
		b.Step(now, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{restarted}}})
		sendRequests(b, now, 1000+100*round, 40)
	}
	checkRestored(t, b, name, now+41*tickInterval, 2000)
}

// checkRestored restores an ejected endpoint. It checks that the endpoint begins slow start and is used again within
// seconds, even though warm endpoints are idle, and that a second restore changes nothing.
func checkRestored(t *testing.T, b *Balancer, name string, now time.Duration, id uint64) {
	t.Helper()
	b.Step(now, []Event{AdminRestore{name}})
	ep := b.endpoints.byName[name]
	if !ep.isUsable() || !ep.slowStart.active {
		t.Fatalf("after the restore: usable %t, warming up %t; want both", ep.isUsable(), ep.slowStart.active)
	}
	attempts := 0
	for end := now + 5*time.Second; now < end && attempts == 0; now += 200 * ms {
		attempts = sendRequests(b, now, id, 1)[name]
		id++
	}
	if attempts == 0 {
		t.Error("the endpoint was not used within 5 s after it was restored")
	}
	b.Step(now, []Event{AdminRestore{name}, AdminRestore{"unknown"}})
	if ep.slowStart.since > now-100*ms {
		t.Error("a second restore began another slow start")
	}
}

// TestAllAdminEjectedRejectsAtOnce verifies that requests queued at an administratively ejected endpoint are
// reassigned, and that waiting and new requests are rejected at once when all endpoints are ejected.
func TestAllAdminEjectedRejectsAtOnce(t *testing.T) {
	settings := settingsWithoutCounter()
	list := testEndpoints(2)
	b := newTestBalancer(t, settings, list...)
	for i := range uint64(40) {
		b.Step(time.Second, []Event{testRequest(i+1, 0, 0)})
	}
	b.Step(time.Second, []Event{AdminEject{Endpoint: list[0].Name}})
	if b.endpoints.byName[list[0].Name].queue.length > 0 {
		t.Error("requests are still queued at the ejected endpoint")
	}
	actions := b.Step(time.Second+ms, []Event{AdminEject{Endpoint: list[1].Name}, testRequest(100, 0, 0)})
	rejected := map[uint64]bool{}
	for _, reject := range actionsOf[Reject](actions) {
		rejected[reject.ID] = reject.Reason == EndpointsEjected && reject.RetryAfter > 0
	}
	if !rejected[100] {
		t.Errorf("a new request was not rejected at once: %+v", actions)
	}
	open := 0
	for _, req := range b.requests {
		if req.attempts.open == 0 && !req.ended {
			open++
		}
	}
	if open > 0 {
		t.Errorf("%d requests are still waiting", open)
	}
}

// TestAdminRestoreUsesListedStart verifies that an endpoint that was restarted during its ejection, according to the
// endpoint list, begins slow start as of that restart.
func TestAdminRestoreUsesListedStart(t *testing.T) {
	list := testEndpoints(3)
	b := newTestBalancer(t, settingsWithoutCounter(), list...)
	at := 100 * time.Second
	b.Step(at, []Event{AdminEject{Endpoint: list[0].Name, At: at - time.Second}})
	restarted := list[0]
	restarted.StartedAt = at + time.Second
	b.Step(at+5*time.Second, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{restarted}}})
	b.Step(at+9*time.Second, []Event{AdminRestore{list[0].Name}})
	if got := b.endpoints.byName[list[0].Name].slowStart.since; got != restarted.StartedAt {
		t.Errorf("slow start began at %v, want the start time %v", got, restarted.StartedAt)
	}
}

// TestAdminEjectionsLeaveNoState verifies that administrative ejections of unknown endpoints leave no state behind once
// they are restored.
func TestAdminEjectionsLeaveNoState(t *testing.T) {
	b := newTestBalancer(t, settingsWithoutCounter(), testEndpoints(2)...)
	for i := range 10000 {
		name := fmt.Sprint("x", i)
		b.Step(time.Duration(i)*ms, []Event{AdminEject{Endpoint: name}, AdminRestore{name}})
	}
	if len(b.endpoints.adminEjected) != 0 || len(b.endpoints.byName) != 2 {
		t.Errorf("%d ejections and %d endpoints, want 0 and 2", len(b.endpoints.adminEjected), len(b.endpoints.byName))
	}
}
