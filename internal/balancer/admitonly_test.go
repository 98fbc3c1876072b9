package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A request for leave is answered by the module alone: no backend, no probe, and its units are drawn as those of
// a request that is sent on.
func TestAdmitOnlySpendsQuota(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.UseCounter = 1, false
	b := newTestBalancer(t, settings) // not one backend
	granted, refused := 0, 0
	for i := range 30 {
		acts := b.Step(ms, []Event{admitOnlyRequest(uint64(i), 0)})
		granted += len(actionsOf[Admit](acts))
		refused += len(actionsOf[Reject](acts))
		if len(actionsOf[Dispatch](acts)) > 0 {
			t.Fatal("something was sent")
		}
		if r := actionsOf[Reject](acts); len(r) > 0 && r[0].RetryAfter <= 0 {
			t.Errorf("a refusal that does not say when to come back")
		}
	}
	if granted != 8 || refused != 22 {
		t.Errorf("%d granted and %d refused of a burst of 8", granted, refused)
	}
	if q, ok := b.QuotaStatus("c"); !ok || q.Remaining >= 1 || q.FullIn < 3*time.Second {
		t.Errorf("quota %+v, %v", q, ok)
	}
	if len(b.requests) != 0 {
		t.Errorf("%d requests are kept", len(b.requests))
	}
	if acts := b.Step(time.Second, []Event{admitOnlyRequest(99, 0)}); len(actionsOf[Admit](acts)) != 1 {
		t.Error("the store has filled, and nothing is granted")
	}
}

// One customer's requests and requests for leave, mixed as they come, draw on one ceiling over all doors: in every
// window no more goes on than its rate and depth allow.
func TestAdmitOnlyAndDispatchesShareCeiling(t *testing.T) {
	const doors = 3
	for _, share := range []float64{0, 0.5, 1} { // of requests for leave
		settings := testSettings()
		settings.Gateways, settings.UseCounter = doors, false
		settings.Plans[1].OverQuotaCost = 0 // beyond the quota it still earns
		rng := rand.New(rand.NewPCG(3, uint64(share*10)))
		all := make([]*Balancer, doors)
		sends := make([]map[uint64]int, doors)
		for i := range all {
			all[i], sends[i] = newTestBalancer(t, settings, testEndpoints(6)...), map[uint64]int{}
		}
		var went []time.Duration
		for tick := range 6000 { // 30 s at 200 a second, ten times the ceiling
			now := time.Duration(tick) * 5 * ms
			i := rng.IntN(doors)
			request := testRequest(uint64(tick), 0, 1)
			request.AdmitOnly = rng.Float64() < share
			todo := all[i].Step(now, []Event{request, TimerFired{0}})
			for len(todo) > 0 {
				var evs []Event
				for _, a := range todo {
					switch a := a.(type) {
					case Admit:
						went = append(went, now)
					case Dispatch:
						if sends[i][a.ID] == 0 {
							went = append(went, now)
						}
						evs = append(evs, succeeded(a, sends[i][a.ID], 20*ms))
						sends[i][a.ID]++
					}
				}
				todo = nil
				if len(evs) > 0 {
					todo = append(todo, all[i].Step(now, evs)...)
				}
			}
		}
		plan := settings.Plans[1]
		for i, from := range went {
			for j := i; j < len(went); j += 7 {
				if most := plan.CeilingBurst + plan.CeilingRate*(went[j]-from).Seconds() + 1; float64(j-i+1) > most {
					t.Fatalf("share %v: %d went on within %v; the ceiling is %.0f", share, j-i+1, went[j]-from, most)
				}
			}
		}
		if float64(len(went)) < 0.8*plan.CeilingRate*30 {
			t.Errorf("share %v: only %d went on", share, len(went))
		}
	}
}

// What asks for leave waits behind nothing but the counter: not for the ceiling's share to fill, and not for a place
// under the cap on what is open at once.
func TestAdmitOnlyJoinsNoQueue(t *testing.T) {
	settings := testSettings()
	settings.UseCounter, settings.Gateways = false, 1
	settings.Plans[1].CeilingBurst = 2
	settings.Plans[1].OverQuotaCost = 0
	b := newTestBalancer(t, settings, testEndpoints(2)...)
	now := time.Second
	for i := range 12 { // fills the line for the ceiling
		b.Step(now, []Event{testRequest(uint64(i), 1, 1)})
	}
	if len(b.customers.find("c").waiting.requests) == 0 {
		t.Fatal("no line")
	}
	if acts := b.Step(now, []Event{admitOnlyRequest(50, 1)}); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("behind the line for the ceiling: %v", acts)
	}
	b = newTestBalancer(t, settings, testEndpoints(2)...)
	for i := range 8 { // the cap is 4
		request := testRequest(uint64(i), 0, 3)
		b.Step(now, []Event{request})
	}
	if len(b.customers.find("c").waiting.requests) == 0 {
		t.Fatal("no line")
	}
	acts := b.Step(now, []Event{admitOnlyRequest(50, 3)})
	if r := actionsOf[Reject](acts); len(r) != 1 || r[0].RetryAfter <= 0 {
		t.Errorf("behind the line for the cap: %v", acts)
	}
}

// A granted request counts under the cap on what is open at once until its work is said to be done, or its hold has
// run out; then what waited for the place is served.
func TestAdmitOnlyCountsAsInFlight(t *testing.T) {
	settings := testSettings()
	settings.UseCounter, settings.Gateways = false, 1
	b := newTestBalancer(t, settings, testEndpoints(2)...)
	var timers []SetTimer
	for i := range 4 {
		request := admitOnlyRequest(uint64(i+1), 3)
		request.HoldFor = time.Duration(i+1) * 100 * ms
		acts := b.Step(ms, []Event{request})
		if len(actionsOf[Admit](acts)) != 1 {
			t.Fatalf("number %d: %v", i, acts)
		}
		timers = append(timers, actionsOf[SetTimer](acts)...)
	}
	full := func(now time.Duration, id uint64) bool {
		request := admitOnlyRequest(id, 3)
		request.HoldFor = time.Hour
		return len(actionsOf[Reject](b.Step(now, []Event{request}))) == 1
	}
	if !full(2*ms, 10) {
		t.Error("a fifth is granted")
	}
	b.Step(3*ms, []Event{RequestDone{ID: 4}, RequestDone{ID: 4}}) // done, told twice
	if full(4*ms, 11) {
		t.Error("a place has become free, and nothing is granted")
	}
	if !full(5*ms, 12) {
		t.Error("one end has freed two places")
	}
	b.Step(6*ms, []Event{testRequest(20, 0, 3)}) // waits for a place
	if len(timers) != 4 {
		t.Fatalf("timers %v", timers)
	}
	b.Step(50*ms, []Event{TimerFired{timers[0].Cookie}}) // too early
	if b.customers.find("c").inFlight != 4 {
		t.Error("the hold ended before its time")
	}
	acts := b.Step(timers[0].At, []Event{TimerFired{timers[0].Cookie}})
	if len(actionsOf[Dispatch](acts)) != 1 {
		t.Errorf("the hold has run out, and what waits is not sent: %v", acts)
	}
}

// What asks for leave waits for the counter's answer, and no longer than its own time if that never comes.
func TestAdmitOnlyWaitsForCounter(t *testing.T) {
	for _, late := range []bool{false, true} {
		b := newTestBalancer(t, testSettings(), testEndpoints(2)...)
		var acts []Action
		var calls []CounterAdd
		for id := uint64(1); len(calls) == 0 && id < 20; id++ { // until this door's own share is spent
			request := admitOnlyRequest(id, 0)
			request.TimeLeft = 200 * ms
			acts = b.Step(ms, []Event{request})
			calls = actionsOf[CounterAdd](acts)
		}
		if len(calls) != 1 || len(actionsOf[Admit](acts)) != 0 {
			t.Fatalf("no share is left: %v", acts)
		}
		var cookie TimerFired
		for _, s := range actionsOf[SetTimer](acts) {
			cookie = TimerFired{s.Cookie}
		}
		now := 20 * ms
		if late {
			now = 300 * ms
			if acts = b.Step(ms+200*ms, []Event{cookie}); len(actionsOf[Reject](acts)) != 1 {
				t.Errorf("its time is up: %v", acts)
			}
		}
		acts = b.Step(now, []Event{CounterResult{calls[0].Name, OK, calls[0].Amount}})
		if n := len(actionsOf[Admit](acts)); !late && n != 1 || late && n != 0 {
			t.Errorf("late %v: %d granted", late, n)
		}
	}
}

// Customers' grants do not hang on one another: one that floods takes nothing from another, whose leave comes at
// once.
func TestAdmitOnlyOfQuietCustomer(t *testing.T) {
	settings := testSettings()
	settings.UseCounter, settings.Gateways = false, 1
	b := newTestBalancer(t, settings, testEndpoints(2)...)
	for i := range 2000 {
		request := admitOnlyRequest(uint64(i), 1)
		request.Customer = "loud"
		b.Step(time.Duration(i)*ms, []Event{request})
		if i%400 == 0 {
			q := admitOnlyRequest(uint64(1e6+i), 0)
			q.Customer = fmt.Sprint("quiet", i%800)
			if acts := b.Step(time.Duration(i)*ms, []Event{q}); len(actionsOf[Admit](acts)) != 1 {
				t.Fatalf("at %d: %v", i, acts)
			}
		}
	}
}

// Under a flood of requests that join the line for the ceiling, what asks for leave still gets its part of it, by its
// part of the demand; and what does not ask for leave loses nothing where nothing does.
func TestAdmitOnlyGetsItsPartOfCeiling(t *testing.T) {
	for _, share := range []float64{0, 0.05, 0.5, 0.95} {
		settings := testSettings()
		settings.Gateways, settings.UseCounter = 1, false
		settings.Plans[1].OverQuotaCost = 0
		b := newTestBalancer(t, settings, testEndpoints(6)...)
		rng := rand.New(rand.NewPCG(5, uint64(share*100)))
		sends, grants := 0.0, 0.0
		for tick := range 6000 { // 30 s at 200 a second, ten times the ceiling
			now := time.Duration(tick) * 5 * ms
			request := testRequest(uint64(tick), 1, 1)
			request.TimeLeft = time.Second
			if request.AdmitOnly = rng.Float64() < share; request.AdmitOnly {
				request.TimeLeft = 100 * ms
			}
			todo := b.Step(now, []Event{request, TimerFired{0}})
			for len(todo) > 0 {
				var evs []Event
				for _, a := range todo {
					switch a := a.(type) {
					case Admit:
						grants++
					case Dispatch:
						sends++
						evs = append(evs, succeeded(a, 0, 20*ms))
					}
				}
				if todo = nil; len(evs) > 0 {
					todo = append(todo, b.Step(now, evs)...)
				}
			}
		}
		total := settings.Plans[1].CeilingRate * 30
		if got := grants / (grants + sends); grants+sends < 0.8*total || got < 0.7*share || got > 0.1+1.2*share {
			t.Errorf("%v of the demand asks for leave: %.0f granted and %.0f sent of %.0f", share, grants, sends, total)
		}
	}
}
