package balancer

import (
	"fmt"
	"testing"
	"time"
)

// feed steps a door with n requests at a time, answers all sends at once, and counts them by server.
func feed(d *Balancer, at time.Duration, first uint64, n int) map[string]int {
	to := map[string]int{}
	for i := range uint64(n) {
		acts := d.Step(at, []Event{ask(first+i, 0, 0)})
		for len(acts) > 0 {
			var evs []Event
			for _, s := range only[Dispatch](acts) {
				to[s.Endpoint]++
				evs = append(evs, AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: OK, Latency: 5 * ms, RequestClosed: true})
			}
			if evs == nil {
				break
			}
			acts = d.Step(at, evs)
		}
	}
	return to
}

func quiet() Settings {
	set := basic()
	set.UseCounter, set.Gateways, set.AllowHealthChecks = false, 1, true
	set.Plans[0] = Plan{PriorityFactor: 1}
	return set
}

// Nothing goes to a server that is taken out by hand, whatever the list says meanwhile, until it is let in again.
func TestDetachBindsWhateverTheListSays(t *testing.T) {
	list := backends(4)
	d := open(t, quiet(), list...)
	at := time.Second
	if to := feed(d, at, 1, 40); to[list[0].Name] == 0 {
		t.Fatalf("not used before: %v", to)
	}
	id := uint64(1000)
	never := func(when string) {
		t.Helper()
		at += 100 * ms
		if to := feed(d, at, id, 40); to[list[0].Name] > 0 || len(to) == 0 {
			t.Errorf("%s: %v", when, to)
		}
		id += 100
	}
	out := AdminEject{Endpoint: list[0].Name}
	d.Step(at, []Event{out})
	d.Step(at, []Event{out}) // again
	never("at once")
	if listed, avoided := d.EndpointCounts(); listed != 4 || avoided != 1 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
	again := list[0]
	again.StartedAt = at
	d.Step(at, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{again}}})
	never("restarted and in service by the list")
	d.Step(at, []Event{EndpointUpdate{Kind: Snapshot, Entries: list}})
	never("a whole list")
	gone := list[0]
	gone.State = Removed
	d.Step(at, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{gone}}})
	d.Step(at, []Event{EndpointUpdate{Kind: Snapshot, Entries: list[1:]}})
	d.Step(at, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{again}}})
	never("gone and back")
	at += 100 * ms
	for i := range 40 { // nor is it probed, or found silent
		if n := len(only[HealthCheck](d.Step(at+time.Duration(i)*tickInterval, []Event{TimerFired{0}}))); n > 0 {
			t.Error("probed")
		}
	}
	at += 40 * tickInterval
	d.Step(at, []Event{AdminRestore{list[0].Name}})
	s := d.endpoints[list[0].Name]
	if !s.isUsable() || !s.warmingUp {
		t.Fatalf("back: usable %t, cold %t", s.isUsable(), s.warmingUp)
	}
	used := 0
	for end := at + 5*time.Second; at < end && used == 0; at += 200 * ms { // though warm ones are idle all the time
		used = feed(d, at, id, 1)[list[0].Name]
		id++
	}
	if used == 0 {
		t.Error("not used for 5 s after it was let in again")
	}
	d.Step(at, []Event{AdminRestore{list[0].Name}, AdminRestore{"nobody"}}) // again: nothing is reset
	if s.warmUpFrom > at-100*ms {
		t.Error("a second call made it cold anew")
	}
}

// What is queued at the server goes on elsewhere, and what waits for all of them is refused at once, not in the end.
func TestAllDetachedRefusesAtOnce(t *testing.T) {
	set := quiet()
	list := backends(2)
	d := open(t, set, list...)
	for i := range uint64(40) {
		d.Step(time.Second, []Event{ask(i+1, 0, 0)})
	}
	d.Step(time.Second, []Event{AdminEject{Endpoint: list[0].Name}})
	if d.endpoints[list[0].Name].queued > 0 {
		t.Error("still queued there")
	}
	acts := d.Step(time.Second+ms, []Event{AdminEject{Endpoint: list[1].Name}, ask(100, 0, 0)})
	refused := map[uint64]bool{}
	for _, r := range only[Reject](acts) {
		refused[r.ID] = r.Reason == EndpointsEjected && r.RetryAfter > 0
	}
	if !refused[100] {
		t.Errorf("not refused at once: %+v", acts)
	}
	open := 0
	for _, r := range d.requests {
		if r.attemptsOut == 0 && !r.ended {
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
	d := open(t, quiet(), list...)
	at := 100 * time.Second
	d.Step(at, []Event{AdminEject{Endpoint: list[0].Name, At: at - time.Second}})
	again := list[0]
	again.StartedAt = at + time.Second
	d.Step(at+5*time.Second, []Event{EndpointUpdate{Kind: Delta, Entries: []Endpoint{again}}})
	d.Step(at+9*time.Second, []Event{AdminRestore{list[0].Name}})
	if got := d.endpoints[list[0].Name].warmUpFrom; got != again.StartedAt {
		t.Errorf("cold from %v, started %v", got, again.StartedAt)
	}
}

// Bans come and go for ever without a trace.
func TestBansLeaveNothing(t *testing.T) {
	d := open(t, quiet(), backends(2)...)
	for i := range 10000 {
		name := fmt.Sprint("x", i)
		d.Step(time.Duration(i)*ms, []Event{AdminEject{Endpoint: name}, AdminRestore{name}})
	}
	if len(d.adminEjected) != 0 || len(d.endpoints) != 2 {
		t.Errorf("%d bans, %d servers", len(d.adminEjected), len(d.endpoints))
	}
}

// From the first byte of a long answer the server's place is free and its latency known: a transfer that a slow client draws out
// is no silence, sets no deadline and is not tried again, however it ends.
func TestFirstByteFreesTheServer(t *testing.T) {
	set := quiet()
	d := open(t, set, backends(4)...)
	at := time.Second
	for i := range uint64(40) { // it knows how long answers take
		feed(d, at+time.Duration(i)*tickInterval, 100+i, 1)
	}
	at += time.Second
	sends := only[Dispatch](d.Step(at, []Event{ask(1, 0, 0)}))
	if len(sends) != 1 {
		t.Fatal(sends)
	}
	s := d.endpoints[sends[0].Endpoint]
	answers := d.classes[0].answers
	first := FirstByte{ID: 1}
	d.Step(at+5*ms, []Event{first, first, FirstByte{ID: 1, Attempt: 7}, FirstByte{ID: 99}})
	if s.inFlightWork != 0 || len(s.inFlight) != 0 || d.classes[0].answers != answers+1 {
		t.Errorf("load %v, %d out, %d answers learned", s.inFlightWork, len(s.inFlight), d.classes[0].answers-answers)
	}
	slow := s.latencyFactor
	for i := range 200 {
		for _, a := range d.Step(at+time.Duration(i)*tickInterval, []Event{TimerFired{0}, TimerFired{1<<1 | 1}}) {
			switch a := a.(type) {
			case Reject, Fail, CancelAttempt, Dispatch:
				t.Fatalf("%+v while the value is passed on", a)
			}
		}
	}
	if s.ejected {
		t.Error("the server is held to be silent")
	}
	acts := d.Step(at+4*time.Second, []Event{AttemptResult{ID: 1, Endpoint: s.name, Status: Reset, Latency: 5 * ms, RequestClosed: true}})
	if len(only[Dispatch](acts)) > 0 || s.latencyFactor != slow || len(d.requests) != 0 || s.inFlightWork != 0 {
		t.Errorf("%+v, slow %v was %v, %d requests, load %v", acts, s.latencyFactor, slow, len(d.requests), s.inFlightWork)
	}
}
