package balancer

import (
	"fmt"
	"testing"
	"time"
)

// feed steps a door with n requests at a time, answers all sends at once, and counts them by server.
func feed(b *Balancer, at time.Duration, first uint64, n int) map[string]int {
	to := map[string]int{}
	for i := range uint64(n) {
		acts := b.Step(at, []Event{ask(first+i, 0, 0)})
		for len(acts) > 0 {
			var evs []Event
			for _, s := range only[Dispatch](acts) {
				to[s.Endpoint]++
				evs = append(
					evs,
					AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: OK, Latency: 5 * ms, RequestClosed: true},
				)
			}
			if evs == nil {
				break
			}
			acts = b.Step(at, evs)
		}
	}
	return to
}

func quiet() Settings {
	settings := basic()
	settings.UseCounter, settings.Gateways, settings.AllowHealthChecks = false, 1, true
	settings.Plans[0] = Plan{PriorityFactor: 1}
	return settings
}

// Nothing goes to a server that is taken out by hand, whatever the list says meanwhile, until it is let in again.
func TestDetachBindsWhateverTheListSays(t *testing.T) {
	list := backends(4)
	b := open(t, quiet(), list...)
	at := time.Second
	if to := feed(b, at, 1, 40); to[list[0].Name] == 0 {
		t.Fatalf("not used before: %v", to)
	}
	id := uint64(1000)
	never := func(when string) {
		t.Helper()
		at += 100 * ms
		if to := feed(b, at, id, 40); to[list[0].Name] > 0 || len(to) == 0 {
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
		if n := len(only[HealthCheck](b.Step(at+time.Duration(i)*tickInterval, []Event{TimerFired{0}}))); n > 0 {
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
		used = feed(b, at, id, 1)[list[0].Name]
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
func TestAllDetachedRefusesAtOnce(t *testing.T) {
	settings := quiet()
	list := backends(2)
	b := open(t, settings, list...)
	for i := range uint64(40) {
		b.Step(time.Second, []Event{ask(i+1, 0, 0)})
	}
	b.Step(time.Second, []Event{AdminEject{Endpoint: list[0].Name}})
	if b.endpoints.byName[list[0].Name].queue.length > 0 {
		t.Error("still queued there")
	}
	acts := b.Step(time.Second+ms, []Event{AdminEject{Endpoint: list[1].Name}, ask(100, 0, 0)})
	refused := map[uint64]bool{}
	for _, r := range only[Reject](acts) {
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
func TestAttachKnowsTheStart(t *testing.T) {
	list := backends(3)
	b := open(t, quiet(), list...)
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
func TestBansLeaveNothing(t *testing.T) {
	b := open(t, quiet(), backends(2)...)
	for i := range 10000 {
		name := fmt.Sprint("x", i)
		b.Step(time.Duration(i)*ms, []Event{AdminEject{Endpoint: name}, AdminRestore{name}})
	}
	if len(b.endpoints.adminEjected) != 0 || len(b.endpoints.byName) != 2 {
		t.Errorf("%d bans, %d servers", len(b.endpoints.adminEjected), len(b.endpoints.byName))
	}
}

// From the first byte of a long answer the server's place is free and its latency known: a transfer that a slow client
// draws out
// is no silence, sets no deadline and is not tried again, however it ends.
func TestFirstByteFreesTheServer(t *testing.T) {
	settings := quiet()
	b := open(t, settings, backends(4)...)
	at := time.Second
	for i := range uint64(40) { // it knows how long answers take
		feed(b, at+time.Duration(i)*tickInterval, 100+i, 1)
	}
	at += time.Second
	sends := only[Dispatch](b.Step(at, []Event{ask(1, 0, 0)}))
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
	if len(only[Dispatch](acts)) > 0 || ep.latency.factor != slow || len(b.requests) != 0 || ep.inFlightWork != 0 {
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
