package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// newLargeFleet returns gateways with 20 endpoints. softPlans replace the plans from the second one on.
func newLargeFleet(t *testing.T, gateways int, softPlans ...Plan) []*Balancer {
	t.Helper()
	settings := largeFleetSettings(gateways)
	copy(settings.Plans[1:], softPlans)
	all := make([]*Balancer, gateways)
	for i := range all {
		settings.Index = i
		b, err := New(settings, uint64(i)+1)
		if err != nil {
			t.Fatal(err)
		}
		b.Step(time.Second, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: testEndpoints(20)}})
		all[i] = b
	}
	return all
}

// fleetScenario is a period in which requests of one customer arrive at a fleet. The counter's answers arrive 50 ms
// after the calls, so gateways that call at the same time all see each other's calls.
type fleetScenario struct {
	fleet   []*Balancer
	counter *fakeCounter
	plan    int
	// from and to are the start and end of the scenario.
	from, to time.Duration
	// count returns the number of requests that arrive every 50 ms.
	count func(now time.Duration) int
	// pick returns the gateway that receives a request.
	pick func(request int) int
	// loseTotalsAt is when the counter loses its totals; 0 means never.
	loseTotalsAt time.Duration
}

// run runs the scenario and returns when each request was sent.
func (scenario *fleetScenario) run() (sent []time.Duration) {
	const step = 50 * ms
	id := uint64(0)
	delayedResults := make([][]Event, len(scenario.fleet))
	for now := scenario.from; now < scenario.to; now += step {
		if scenario.loseTotalsAt > 0 && now >= scenario.loseTotalsAt {
			scenario.counter.totals = map[uint64]float64{}
			scenario.loseTotalsAt = 0
		}
		events := make([][]Event, len(scenario.fleet))
		for i := range scenario.fleet {
			events[i] = append(delayedResults[i], TimerFired{0})
			delayedResults[i] = nil
		}
		for range scenario.count(now) {
			id++
			i := scenario.pick(int(id))
			events[i] = append(events[i], testRequest(id, 0, scenario.plan))
		}
		for i, b := range scenario.fleet {
			for next := events[i]; len(next) > 0; {
				actions := b.Step(now, next)
				next = nil
				delayedResults[i] = append(delayedResults[i], scenario.counter.answer(actions)...)
				for _, attempt := range actionsOf[Dispatch](actions) {
					sent = append(sent, now)
					next = append(next, succeeded(attempt, 0, 20*ms))
				}
			}
		}
	}
	return sent
}

// TestLargeFleetKeepsCeiling verifies that a large fleet stays within the ceiling for any distribution of a flood.
// Requests sent beyond the small shares, paid for by the quota's bucket, and requests sent on these shares must
// together stay within it, also when the counter's window changes and when the counter loses its totals.
func TestLargeFleetKeepsCeiling(t *testing.T) {
	plans := []Plan{
		largeFleetSettings(40).Plans[1],
		{Rate: 7.4, Burst: 10, PriorityFactor: 1, OverQuotaWeight: 0.2, CeilingRate: 16, CeilingBurst: 21},
	}
	floods := map[string]func(now time.Duration) int{
		"always": constantly(5),
		"before a new window": func(now time.Duration) int { // after low demand in which the bucket overflows
			if now < 29*time.Second || now > 38*time.Second && now < 56*time.Second {
				return int(now/(50*ms)) % 10 / 9
			}
			return 5
		},
	}
	picks := map[string]func(*rand.Rand) int{
		"evenly":          func(rng *rand.Rand) int { return rng.IntN(40) },
		"at one gateway":  func(*rand.Rand) int { return 3 },
		"mostly at a few": func(rng *rand.Rand) int { return min(rng.IntN(40), rng.IntN(40), rng.IntN(40)) },
	}
	for where, pick := range picks {
		for when, count := range floods {
			for i, plan := range plans {
				for _, loseTotalsAt := range []time.Duration{0, 20 * time.Second} {
					name := fmt.Sprintf("%s, %s, plan %d, totals lost %v", where, when, i, loseTotalsAt > 0)
					t.Run(name, func(t *testing.T) {
						rng := rand.New(rand.NewPCG(1, 2))
						scenario := &fleetScenario{
							fleet:        newLargeFleet(t, 40, plan),
							counter:      newFakeCounter(),
							plan:         1,
							from:         2 * time.Second,
							to:           75 * time.Second,
							count:        count,
							pick:         func(int) int { return pick(rng) },
							loseTotalsAt: loseTotalsAt,
						}
						sent := scenario.run()
						allowed := -plan.CeilingBurst/10 - 0.15*plan.CeilingRate
						if lowest := lowestCeilingLevel(plan, sent); lowest < allowed {
							t.Errorf("the ceiling's bucket fell to %.1f of %v units", lowest, plan.CeilingBurst)
						}
						if rate := float64(len(sent)) / 73; when == "always" && rate < 0.6*plan.Rate {
							t.Errorf("%.1f requests per second sent; the quota is %v", rate, plan.Rate)
						}
					})
				}
			}
		}
	}
}

// lowestCeilingLevel returns the lowest level of a ceiling's bucket for requests sent at the given times.
func lowestCeilingLevel(plan Plan, sent []time.Duration) float64 {
	level := plan.CeilingBurst
	lowest := plan.CeilingBurst
	last := time.Duration(0)
	for _, at := range sent {
		level = min(plan.CeilingBurst, level+plan.CeilingRate*(at-last).Seconds()) - 1
		lowest = min(lowest, level)
		last = at
	}
	return lowest
}

// constantly returns a flood with the same number of requests at all times.
func constantly(n int) func(time.Duration) int { return func(time.Duration) int { return n } }

// TestLargeFleetServesQuotaAtOneGateway verifies that a customer inside its quota is not limited to one gateway's share
// of its ceiling if most of its requests arrive at that gateway of a large fleet.
func TestLargeFleetServesQuotaAtOneGateway(t *testing.T) {
	scenario := &fleetScenario{
		fleet:   newLargeFleet(t, 40),
		counter: newFakeCounter(),
		plan:    1,
		from:    2 * time.Second,
		to:      22 * time.Second,
		count:   constantly(1),
		pick: func(request int) int { // 20 per second for 0.4 of the time: 8 of the quota of 10
			if request%50 < 20 {
				return 0
			}
			return 1 + request%39
		},
	}
	sent := scenario.run()
	if want := 0.75 * 20 * 10; float64(len(sent)) < want { // the quota of 20 s, minus units that gateways keep
		t.Errorf("%d requests sent in 20 s, want at least %.0f", len(sent), want)
	}
}

// TestLargeFleetStartingTogetherServesQuota verifies that a fleet that starts in the middle of a window serves the
// quota. All gateways then see a bucket that appears to exceed its burst. If each of them corrected it, the bucket
// would be empty for all of them for a while. Returned blocks must not be corrected as a gain either.
func TestLargeFleetStartingTogetherServesQuota(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	plan := largeFleetSettings(60).Plans[0]
	scenario := &fleetScenario{
		fleet:   newLargeFleet(t, 60),
		counter: newFakeCounter(),
		plan:    0,
		from:    20 * time.Second,
		to:      50 * time.Second,
		count:   constantly(1),
		pick:    func(int) int { return rng.IntN(60) },
	}
	sent := scenario.run()
	if n, most := float64(len(sent)), plan.Burst+30*plan.Rate; n < 0.75*most || n > 1.5*most {
		t.Errorf("%.0f requests sent in 30 s for a customer that requests ten times its quota of %.0f", n, most)
	}
}

// TestLargeFleetSeldomCallsTwice verifies that a call in a large fleet causes no second call if the bucket is only
// slightly short: the units are spent once the bucket has gained them. Units that would take too long are returned.
func TestLargeFleetSeldomCallsTwice(t *testing.T) {
	b := newLargeFleet(t, 100)[0]
	now := 2 * time.Second
	calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(1, 0, 0)}))
	if len(calls) != 1 || calls[0].Amount != 1 {
		t.Fatalf("calls: %v, want one for a single unit", calls)
	}
	// The bucket is short by a quarter of a unit, which it gains in an eighth of a second.
	actions := b.Step(now, []Event{CounterResult{calls[0].Name, OK, 8 + 2*2 + 0.25}})
	if len(actionsOf[CounterAdd](actions))+len(actionsOf[Dispatch](actions))+len(actionsOf[Reject](actions)) != 0 {
		t.Fatalf("the request should wait until the bucket has gained its unit: %v", actions)
	}
	for sent := false; !sent; now += 20 * ms {
		actions = b.Step(now, []Event{TimerFired{0}})
		if len(actionsOf[CounterAdd](actions)) != 0 || len(actionsOf[Reject](actions)) != 0 || now > 2400*ms {
			t.Fatalf("at %v: %v", now, actions)
		}
		if sent = len(actionsOf[Dispatch](actions)) == 1; sent && now < 2120*ms {
			t.Errorf("sent at %v, before the bucket had gained the unit", now)
		}
	}

	b = newLargeFleet(t, 100)[1]
	now = 2 * time.Second
	calls = actionsOf[CounterAdd](b.Step(now, []Event{testRequest(1, 0, 0)}))
	actions = b.Step(now, []Event{CounterResult{calls[0].Name, OK, 8 + 2*2 + 20}})
	returned := actionsOf[CounterAdd](actions)
	if len(returned) != 1 || returned[0].Amount != -1 || len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("bucket short by 19 units: %v", actions)
	}
	if more := actionsOf[CounterAdd](b.Step(now+time.Second, []Event{testRequest(2, 0, 0)})); len(more) != 0 {
		t.Errorf("counter called again for a bucket that was just found empty: %v", more)
	}
}

// TestLargeFleetWaitsForLateResult verifies that a late answer still serves the request for which its call was made.
func TestLargeFleetWaitsForLateResult(t *testing.T) {
	b := newLargeFleet(t, 100)[0]
	now := 2 * time.Second
	calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(1, 0, 0)}))
	now += 50 * ms
	actions := b.Step(now, []Event{CounterResult{calls[0].Name, Timeout, 0}, TimerFired{0}})
	if len(actionsOf[Reject](actions)) != 0 {
		t.Fatalf("rejected at the timeout: %v", actions)
	}
	actions = b.Step(now+20*ms, []Event{LateCounterResult{calls[0].Ticket, OK, 1}})
	if len(actionsOf[Dispatch](actions)) != 1 {
		t.Errorf("not sent after the late answer: %v", actions)
	}
}

// TestLargeFleetKeepsMaxInFlightAndAnswersAdmitOnlySoon verifies that a plan's limit of requests in flight holds in a
// large fleet, and that admission-only requests are decided soon.
func TestLargeFleetKeepsMaxInFlightAndAnswersAdmitOnlySoon(t *testing.T) {
	plan := largeFleetSettings(40).Plans[1]
	plan.MaxInFlight = 1
	all := newLargeFleet(t, 40, plan)
	sent := 0
	counter := newFakeCounter()
	for id := uint64(1); id <= 6; id++ {
		for pending := []Event{testRequest(id, 0, 1)}; len(pending) > 0; {
			actions := all[0].Step(10*time.Second, pending)
			sent += len(actionsOf[Dispatch](actions))
			pending = counter.answer(actions)
		}
	}
	if sent != 1 {
		t.Errorf("%d requests sent, want 1 as only one may be in flight", sent)
	}

	counter = newFakeCounter()
	b := newLargeFleet(t, 40)[0]
	answered := map[uint64]bool{}
	now := 10 * time.Second
	step := func(pending ...Event) {
		for len(pending) > 0 {
			actions := b.Step(now, pending)
			for _, a := range actionsOf[Admit](actions) {
				answered[a.ID] = true
			}
			for _, a := range actionsOf[Reject](actions) {
				answered[a.ID] = true
			}
			pending = counter.answer(actions)
		}
	}
	for id := uint64(1); id <= 60; id++ {
		request := testRequest(id, 0, 1)
		request.AdmitOnly = true
		step(request, TimerFired{0})
		now += ms
	}
	for range 8 { // requests wait a fifth of their time limit, 100 ms, for permission to call
		now += 20 * ms
		step(TimerFired{0})
	}
	if len(answered) != 60 {
		t.Errorf("%d of 60 requests answered 160 ms after the last one", len(answered))
	}
}

// TestFailingCounterIsCalledRarely verifies that a failing counter is called for fewer requests, and only rarely by
// each gateway of a large fleet.
func TestFailingCounterIsCalledRarely(t *testing.T) {
	b := newTestBalancer(t, largeFleetSettings(300), testEndpoints(8)...)
	lateCalls := 0
	for i := range 2000 {
		request := testRequest(uint64(i), 0, 0)
		request.Customer = fmt.Sprint("c", i)
		now := time.Duration(i+1) * 10 * ms
		for _, call := range actionsOf[CounterAdd](b.Step(now, []Event{request, TimerFired{0}})) {
			if i > 1000 {
				lateCalls++
			}
			b.Step(now+5*ms, []Event{CounterResult{Name: call.Name, Status: Rejected}})
		}
	}
	if lateCalls > 10 {
		t.Errorf("%d calls in 10 s to a counter that rejects every call, want at most 10", lateCalls)
	}
}

// TestBucketOverflowIsAddedToCounter verifies that an apparent gain of a bucket beyond its burst is corrected once.
func TestBucketOverflowIsAddedToCounter(t *testing.T) {
	b := newTestBalancer(t, largeFleetSettings(100), testEndpoints(8)...)
	now := 20 * time.Second
	calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(1, 0, 0)}))
	actions := b.Step(now+2*ms, []Event{CounterResult{calls[0].Name, OK, 1}})
	corrections := actionsOf[CounterAdd](actions)
	if len(corrections) != 1 || corrections[0].Amount < 30 || len(actionsOf[Dispatch](actions)) != 1 {
		t.Errorf("20 s of overflow at 2 units per second: %v", actions)
	}
}
