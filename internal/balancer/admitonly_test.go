package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A request for admission only needs no endpoint and no health check, and draws units as one that is dispatched.
func TestAdmitOnlySpendsQuota(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.UseCounter = 1, false
	b := newTestBalancer(t, settings) // not one endpoint
	admitted, rejected := 0, 0
	for i := range 30 {
		actions := b.Step(ms, []Event{admitOnlyRequest(uint64(i), 0)})
		admitted += len(actionsOf[Admit](actions))
		rejected += len(actionsOf[Reject](actions))
		if len(actionsOf[Dispatch](actions)) > 0 {
			t.Fatal("something was dispatched")
		}
		if r := actionsOf[Reject](actions); len(r) > 0 && r[0].RetryAfter <= 0 {
			t.Errorf("a rejection without Retry-After")
		}
	}
	if admitted != 8 || rejected != 22 {
		t.Errorf("%d admitted and %d rejected of a burst of 8", admitted, rejected)
	}
	if q, ok := b.QuotaStatus("c"); !ok || q.Remaining >= 1 || q.FullIn < 3*time.Second {
		t.Errorf("quota %+v, %v", q, ok)
	}
	if len(b.requests) != 0 {
		t.Errorf("%d requests are kept", len(b.requests))
	}
	if actions := b.Step(time.Second, []Event{admitOnlyRequest(99, 0)}); len(actionsOf[Admit](actions)) != 1 {
		t.Error("the bucket has filled, and the request is not admitted")
	}
}

// Dispatched and admission-only requests of one customer draw on one ceiling over all gateways: no window has more
// than its rate and burst allow.
func TestAdmitOnlyAndDispatchesShareCeiling(t *testing.T) {
	const gateways = 3
	for _, share := range []float64{0, 0.5, 1} { // of requests for admission only
		settings := testSettings()
		settings.Gateways, settings.UseCounter = gateways, false
		settings.Plans[1].OverQuotaCost = 0 // over the quota it still counts
		rng := rand.New(rand.NewPCG(3, uint64(share*10)))
		all := make([]*Balancer, gateways)
		dispatches := make([]map[uint64]int, gateways)
		for i := range all {
			all[i], dispatches[i] = newTestBalancer(t, settings, testEndpoints(6)...), map[uint64]int{}
		}
		var went []time.Duration
		for tick := range 6000 { // 30 s at 200 a second, ten times the ceiling
			now := time.Duration(tick) * 5 * ms
			i := rng.IntN(gateways)
			request := testRequest(uint64(tick), 0, 1)
			request.AdmitOnly = rng.Float64() < share
			todo := all[i].Step(now, []Event{request, TimerFired{tickCookie}})
			for len(todo) > 0 {
				var events []Event
				for _, a := range todo {
					switch a := a.(type) {
					case Admit:
						went = append(went, now)
					case Dispatch:
						if dispatches[i][a.ID] == 0 {
							went = append(went, now)
						}
						events = append(events, succeeded(a, dispatches[i][a.ID], 20*ms))
						dispatches[i][a.ID]++
					}
				}
				todo = nil
				if len(events) > 0 {
					todo = append(todo, all[i].Step(now, events)...)
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

// A request for admission only waits for nothing but the counter: not for the ceiling's share to fill, and not for a
// place under MaxInFlight.
func TestAdmitOnlyJoinsNoQueue(t *testing.T) {
	settings := testSettings()
	settings.UseCounter, settings.Gateways = false, 1
	settings.Plans[1].CeilingBurst = 2
	settings.Plans[1].OverQuotaCost = 0
	b := newTestBalancer(t, settings, testEndpoints(2)...)
	now := time.Second
	for i := range 12 { // these wait for the ceiling
		b.Step(now, []Event{testRequest(uint64(i), 1, 1)})
	}
	if len(b.customers.find("c").waiting.requests) == 0 {
		t.Fatal("nothing waits")
	}
	if actions := b.Step(now, []Event{admitOnlyRequest(50, 1)}); len(actionsOf[Reject](actions)) != 1 {
		t.Errorf("behind requests that wait for the ceiling: %v", actions)
	}
	b = newTestBalancer(t, settings, testEndpoints(2)...)
	for i := range 8 { // MaxInFlight is 4
		request := testRequest(uint64(i), 0, 3)
		b.Step(now, []Event{request})
	}
	if len(b.customers.find("c").waiting.requests) == 0 {
		t.Fatal("nothing waits")
	}
	actions := b.Step(now, []Event{admitOnlyRequest(50, 3)})
	if r := actionsOf[Reject](actions); len(r) != 1 || r[0].RetryAfter <= 0 {
		t.Errorf("behind requests that wait for MaxInFlight: %v", actions)
	}
}

// An admitted request counts against MaxInFlight until its work is done or its hold time is over; then a waiting
// request is served.
func TestAdmitOnlyCountsAsInFlight(t *testing.T) {
	settings := testSettings()
	settings.UseCounter, settings.Gateways = false, 1
	b := newTestBalancer(t, settings, testEndpoints(2)...)
	var timers []SetTimer
	for i := range 4 {
		request := admitOnlyRequest(uint64(i+1), 3)
		request.HoldFor = time.Duration(i+1) * 100 * ms
		actions := b.Step(ms, []Event{request})
		if len(actionsOf[Admit](actions)) != 1 {
			t.Fatalf("number %d: %v", i, actions)
		}
		timers = append(timers, actionsOf[SetTimer](actions)...)
	}
	full := func(now time.Duration, id uint64) bool {
		request := admitOnlyRequest(id, 3)
		request.HoldFor = time.Hour
		return len(actionsOf[Reject](b.Step(now, []Event{request}))) == 1
	}
	if !full(2*ms, 10) {
		t.Error("a fifth is admitted")
	}
	b.Step(3*ms, []Event{RequestDone{ID: 4}, RequestDone{ID: 4}}) // done, reported twice
	if full(4*ms, 11) {
		t.Error("a request is done, and no other is admitted")
	}
	if !full(5*ms, 12) {
		t.Error("the end of one request counted twice")
	}
	b.Step(6*ms, []Event{testRequest(20, 0, 3)}) // waits for MaxInFlight
	if len(timers) != 4 {
		t.Fatalf("timers %v", timers)
	}
	b.Step(50*ms, []Event{TimerFired{timers[0].Cookie}}) // too early
	if b.customers.find("c").inFlight != 4 {
		t.Error("the hold time ended too early")
	}
	actions := b.Step(timers[0].At, []Event{TimerFired{timers[0].Cookie}})
	if len(actionsOf[Dispatch](actions)) != 1 {
		t.Errorf("the hold time is over, and the waiting request is not dispatched: %v", actions)
	}
}

// A request for admission only waits for the counter's result, but not past its own deadline.
func TestAdmitOnlyWaitsForCounter(t *testing.T) {
	for _, late := range []bool{false, true} {
		b := newTestBalancer(t, testSettings(), testEndpoints(2)...)
		var actions []Action
		var calls []CounterAdd
		for id := uint64(1); len(calls) == 0 && id < 20; id++ { // until this gateway's own share is spent
			request := admitOnlyRequest(id, 0)
			request.TimeLeft = 200 * ms
			actions = b.Step(ms, []Event{request})
			calls = actionsOf[CounterAdd](actions)
		}
		if len(calls) != 1 || len(actionsOf[Admit](actions)) != 0 {
			t.Fatalf("no share is left: %v", actions)
		}
		var cookie TimerFired
		for _, s := range actionsOf[SetTimer](actions) {
			cookie = TimerFired{s.Cookie}
		}
		now := 20 * ms
		if late {
			now = 300 * ms
			if actions = b.Step(ms+200*ms, []Event{cookie}); len(actionsOf[Reject](actions)) != 1 {
				t.Errorf("at its deadline: %v", actions)
			}
		}
		actions = b.Step(now, []Event{CounterResult{calls[0].Name, OK, calls[0].Amount}})
		if n := len(actionsOf[Admit](actions)); !late && n != 1 || late && n != 0 {
			t.Errorf("late %v: %d admitted", late, n)
		}
	}
}

// Customers don't depend on one another: a flood of one delays no admission of another.
func TestAdmitOnlyOfQuietCustomer(t *testing.T) {
	settings := testSettings()
	settings.UseCounter, settings.Gateways = false, 1
	b := newTestBalancer(t, settings, testEndpoints(2)...)
	for i := range 2000 {
		request := admitOnlyRequest(uint64(i), 1)
		request.Customer = "flooding"
		b.Step(time.Duration(i)*ms, []Event{request})
		if i%400 == 0 {
			q := admitOnlyRequest(uint64(1e6+i), 0)
			q.Customer = fmt.Sprint("quiet", i%800)
			if actions := b.Step(time.Duration(i)*ms, []Event{q}); len(actionsOf[Admit](actions)) != 1 {
				t.Fatalf("at %d: %v", i, actions)
			}
		}
	}
}

// Under a flood of requests that wait for the ceiling, admission-only requests get a part of it that fits their part
// of the demand. Without them the others lose nothing.
func TestAdmitOnlyGetsItsPartOfCeiling(t *testing.T) {
	for _, share := range []float64{0, 0.05, 0.5, 0.95} {
		settings := testSettings()
		settings.Gateways, settings.UseCounter = 1, false
		settings.Plans[1].OverQuotaCost = 0
		b := newTestBalancer(t, settings, testEndpoints(6)...)
		rng := rand.New(rand.NewPCG(5, uint64(share*100)))
		dispatched, admitted := 0.0, 0.0
		for tick := range 6000 { // 30 s at 200 a second, ten times the ceiling
			now := time.Duration(tick) * 5 * ms
			request := testRequest(uint64(tick), 1, 1)
			request.TimeLeft = time.Second
			if request.AdmitOnly = rng.Float64() < share; request.AdmitOnly {
				request.TimeLeft = 100 * ms
			}
			todo := b.Step(now, []Event{request, TimerFired{tickCookie}})
			for len(todo) > 0 {
				var events []Event
				for _, a := range todo {
					switch a := a.(type) {
					case Admit:
						admitted++
					case Dispatch:
						dispatched++
						events = append(events, succeeded(a, 0, 20*ms))
					}
				}
				if todo = nil; len(events) > 0 {
					todo = append(todo, b.Step(now, events)...)
				}
			}
		}
		total := settings.Plans[1].CeilingRate * 30
		sum := admitted + dispatched
		if got := admitted / sum; sum < 0.8*total || got < 0.7*share || got > 0.1+1.2*share {
			t.Errorf("%v of the demand is for admission only: %.0f admitted and %.0f dispatched of %.0f",
				share, admitted, dispatched, total)
		}
	}
}
