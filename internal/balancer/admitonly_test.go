package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestAdmitOnlySpendsQuota verifies that a request for admission only draws units like a dispatched one, and needs
// neither an endpoint nor a health check.
func TestAdmitOnlySpendsQuota(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.UseCounter = 1, false
	b := newTestBalancer(t, settings) // no endpoints
	admitted, rejected := 0, 0
	for i := range 30 {
		actions := b.Step(ms, []Event{admitOnlyRequest(uint64(i), 0)})
		admitted += len(actionsOf[Admit](actions))
		rejected += len(actionsOf[Reject](actions))
		if len(actionsOf[Dispatch](actions)) > 0 {
			t.Fatal("a request for admission only was dispatched")
		}
		if r := actionsOf[Reject](actions); len(r) > 0 && r[0].RetryAfter <= 0 {
			t.Errorf("a request was rejected without Retry-After")
		}
	}
	if admitted != 8 || rejected != 22 {
		t.Errorf("%d admitted and %d rejected; want 8 and 22 with a burst of 8", admitted, rejected)
	}
	if q, ok := b.QuotaStatus("c"); !ok || q.Remaining >= 1 || q.FullIn < 3*time.Second {
		t.Errorf("quota status %+v, known %v; want it to be spent", q, ok)
	}
	if len(b.requests) != 0 {
		t.Errorf("%d finished requests are still stored", len(b.requests))
	}
	if actions := b.Step(time.Second, []Event{admitOnlyRequest(99, 0)}); len(actionsOf[Admit](actions)) != 1 {
		t.Error("a request was not admitted although the bucket has refilled")
	}
}

// TestAdmitOnlyAndDispatchesShareCeiling verifies that dispatched and admission-only requests of one customer draw on
// the same ceiling over all gateways: no window has more of them than the ceiling's rate and burst allow.
func TestAdmitOnlyAndDispatchesShareCeiling(t *testing.T) {
	const gateways = 3
	for _, share := range []float64{0, 0.5, 1} { // fraction of requests for admission only
		settings := testSettings()
		settings.Gateways, settings.UseCounter = gateways, false
		settings.Plans[1].OverQuotaCost = 0 // requests over the quota still count against the ceiling
		rng := rand.New(rand.NewPCG(3, uint64(share*10)))
		all := make([]*Balancer, gateways)
		dispatches := make([]map[uint64]int, gateways)
		for i := range all {
			all[i], dispatches[i] = newTestBalancer(t, settings, testEndpoints(6)...), map[uint64]int{}
		}
		var times []time.Duration
		for tick := range 6000 { // 30 s at 200 a second, ten times the ceiling
			now := time.Duration(tick) * 5 * ms
			i := rng.IntN(gateways)
			request := testRequest(uint64(tick), 0, 1)
			request.AdmitOnly = rng.Float64() < share
			pending := all[i].Step(now, []Event{request, TimerFired{tickCookie}})
			for len(pending) > 0 {
				var events []Event
				for _, a := range pending {
					switch a := a.(type) {
					case Admit:
						times = append(times, now)
					case Dispatch:
						if dispatches[i][a.ID] == 0 {
							times = append(times, now)
						}
						events = append(events, succeeded(a, dispatches[i][a.ID], 20*ms))
						dispatches[i][a.ID]++
					}
				}
				pending = nil
				if len(events) > 0 {
					pending = append(pending, all[i].Step(now, events)...)
				}
			}
		}
		plan := settings.Plans[1]
		for i, from := range times {
			for j := i; j < len(times); j += 7 {
				if limit := plan.CeilingBurst + plan.CeilingRate*(times[j]-from).Seconds() + 1; float64(j-i+1) > limit {
					t.Fatalf("share %v: %d requests passed within %v; the ceiling allows %.0f",
						share, j-i+1, times[j]-from, limit)
				}
			}
		}
		if float64(len(times)) < 0.8*plan.CeilingRate*30 {
			t.Errorf("share %v: only %d requests passed; want at least 80%% of the ceiling", share, len(times))
		}
	}
}

// TestAdmitOnlyJoinsNoQueue verifies that a request for admission only waits neither for the ceiling's share to refill
// nor for a request in flight to finish. It waits only for the counter.
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
		t.Errorf("not rejected at once behind requests that wait for the ceiling: %v", actions)
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
		t.Errorf("not rejected with Retry-After behind requests that wait for MaxInFlight: %v", actions)
	}
}

// TestAdmitOnlyCountsAsInFlight verifies that an admitted request counts against MaxInFlight until it is reported done
// or its hold time has passed, and that a waiting request is served then.
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
			t.Fatalf("the request at index %d was not admitted: %v", i, actions)
		}
		timers = append(timers, actionsOf[SetTimer](actions)...)
	}
	isFull := func(now time.Duration, id uint64) bool {
		request := admitOnlyRequest(id, 3)
		request.HoldFor = time.Hour
		return len(actionsOf[Reject](b.Step(now, []Event{request}))) == 1
	}
	if !isFull(2*ms, 10) {
		t.Error("a fifth request was admitted")
	}
	b.Step(3*ms, []Event{RequestDone{ID: 4}, RequestDone{ID: 4}}) // done, reported twice
	if isFull(4*ms, 11) {
		t.Error("no request was admitted although another is done")
	}
	if !isFull(5*ms, 12) {
		t.Error("the end of one request was counted twice")
	}
	b.Step(6*ms, []Event{testRequest(20, 0, 3)}) // waits for MaxInFlight
	if len(timers) != 4 {
		t.Fatalf("timers %v, want one for each of the 4 requests", timers)
	}
	b.Step(50*ms, []Event{TimerFired{timers[0].Cookie}}) // too early
	if b.customers.find("c").inFlight != 4 {
		t.Error("the hold time ended too early")
	}
	actions := b.Step(timers[0].At, []Event{TimerFired{timers[0].Cookie}})
	if len(actionsOf[Dispatch](actions)) != 1 {
		t.Errorf("the waiting request was not dispatched when the hold time ended: %v", actions)
	}
}

// TestAdmitOnlyWaitsForCounter verifies that a request for admission only waits for the counter's result, but not past
// its own deadline.
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
			t.Fatalf("no single counter call after the share was spent: %v", actions)
		}
		var cookie TimerFired
		for _, s := range actionsOf[SetTimer](actions) {
			cookie = TimerFired{s.Cookie}
		}
		now := 20 * ms
		if late {
			now = 300 * ms
			if actions = b.Step(ms+200*ms, []Event{cookie}); len(actionsOf[Reject](actions)) != 1 {
				t.Errorf("not rejected at its deadline: %v", actions)
			}
		}
		actions = b.Step(now, []Event{CounterResult{calls[0].Name, OK, calls[0].Amount}})
		if n := len(actionsOf[Admit](actions)); !late && n != 1 || late && n != 0 {
			t.Errorf("late %v: %d admitted", late, n)
		}
	}
}

// TestAdmitOnlyOfQuietCustomer verifies that customers are independent: a flood of requests from one customer delays no
// admission of another.
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
				t.Fatalf("request %d of the quiet customer was not admitted at once: %v", i, actions)
			}
		}
	}
}

// TestAdmitOnlyGetsItsPartOfCeiling verifies that, under a flood of requests that wait for the ceiling, admission-only
// requests get a fraction of the ceiling that matches their fraction of the demand. If there are none, the other
// requests get the whole ceiling.
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
			pending := b.Step(now, []Event{request, TimerFired{tickCookie}})
			for len(pending) > 0 {
				var events []Event
				for _, a := range pending {
					switch a := a.(type) {
					case Admit:
						admitted++
					case Dispatch:
						dispatched++
						events = append(events, succeeded(a, 0, 20*ms))
					}
				}
				if pending = nil; len(events) > 0 {
					pending = append(pending, b.Step(now, events)...)
				}
			}
		}
		total := settings.Plans[1].CeilingRate * 30
		sum := admitted + dispatched
		if got := admitted / sum; sum < 0.8*total || got < 0.7*share || got > 0.1+1.2*share {
			t.Errorf("%v of the demand for admission only: %.0f admitted and %.0f dispatched, the ceiling allows %.0f",
				share, admitted, dispatched, total)
		}
	}
}
