package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// newLargeFleet returns gateways with 20 endpoints. softPlans take the place of those from the second plan on.
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

// fleetRun is a time in which requests of one customer come to a fleet. The counter's answers come 50 ms later, so
// gateways that call together all see each other's calls.
type fleetRun struct {
	fleet   []*Balancer
	counter *fakeCounter
	plan    int
	// from and to bound the run.
	from, to time.Duration
	// count is the number of requests that come each 50 ms.
	count func(now time.Duration) int
	// pick is the gateway to which a request comes.
	pick func(request int) int
	// loseTotalsAt is when the counter loses its totals; 0: never.
	loseTotalsAt time.Duration
}

// play runs it and returns when each request was sent.
func (run *fleetRun) play() (sent []time.Duration) {
	const step = 50 * ms
	id := uint64(0)
	late := make([][]Event, len(run.fleet))
	for now := run.from; now < run.to; now += step {
		if run.loseTotalsAt > 0 && now >= run.loseTotalsAt {
			run.counter.totals = map[uint64]float64{}
			run.loseTotalsAt = 0
		}
		events := make([][]Event, len(run.fleet))
		for i := range run.fleet {
			events[i] = append(late[i], TimerFired{0})
			late[i] = nil
		}
		for range run.count(now) {
			id++
			i := run.pick(int(id))
			events[i] = append(events[i], testRequest(id, 0, run.plan))
		}
		for i, b := range run.fleet {
			for next := events[i]; len(next) > 0; {
				actions := b.Step(now, next)
				next = nil
				late[i] = append(late[i], run.counter.answer(actions)...)
				for _, attempt := range actionsOf[Dispatch](actions) {
					sent = append(sent, now)
					next = append(next, succeeded(attempt, 0, 20*ms))
				}
			}
		}
	}
	return sent
}

// However a flood comes to a large fleet, what goes out past the small shares by the quota's bucket and what goes out
// by these stay together within the ceiling, also when the counter's window changes and when it loses its totals.
func TestLargeFleetKeepsCeiling(t *testing.T) {
	plans := []Plan{
		largeFleetSettings(40).Plans[1],
		{Rate: 7.4, Burst: 10, PriorityFactor: 1, OverQuotaWeight: 0.2, CeilingRate: 16, CeilingBurst: 21},
	}
	floods := map[string]func(now time.Duration) int{
		"always": constantly(5),
		"before a new window": func(now time.Duration) int { // after a calm time in which the bucket overflows
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
						run := &fleetRun{
							fleet:        newLargeFleet(t, 40, plan),
							counter:      newFakeCounter(),
							plan:         1,
							from:         2 * time.Second,
							to:           75 * time.Second,
							count:        count,
							pick:         func(int) int { return pick(rng) },
							loseTotalsAt: loseTotalsAt,
						}
						sent := run.play()
						allowed := -plan.CeilingBurst/10 - 0.15*plan.CeilingRate
						if lowest := lowestCeilingLevel(plan, sent); lowest < allowed {
							t.Errorf("the ceiling's bucket fell to %.1f of %v", lowest, plan.CeilingBurst)
						}
						if rate := float64(len(sent)) / 73; when == "always" && rate < 0.6*plan.Rate {
							t.Errorf("%.1f a second went out; the quota is %v", rate, plan.Rate)
						}
					})
				}
			}
		}
	}
}

// lowestCeilingLevel is the lowest level of a ceiling's bucket out of which requests were sent at some times.
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

// constantly is a flood of the same number of requests at all times.
func constantly(n int) func(time.Duration) int { return func(time.Duration) int { return n } }

// A customer inside its quota whose requests mostly come to one gateway of a large fleet is not held to that gateway's
// share of its ceiling.
func TestLargeFleetServesQuotaAtOneGateway(t *testing.T) {
	run := &fleetRun{
		fleet:   newLargeFleet(t, 40),
		counter: newFakeCounter(),
		plan:    1,
		from:    2 * time.Second,
		to:      22 * time.Second,
		count:   constantly(1),
		pick: func(request int) int { // 20 a second for 0.4 of the time: 8 of the 10 that the quota gives
			if request%50 < 20 {
				return 0
			}
			return 1 + request%39
		},
	}
	sent := run.play()
	if want := 0.75 * 20 * 10; float64(len(sent)) < want { // what the quota gives in 20 s, less what gateways keep
		t.Errorf("%d sent in 20 s, want %.0f", len(sent), want)
	}
}

// Gateways that start together in the middle of a window all see a bucket that seems over its burst. Were each to
// correct it, it would be empty for a while for each of them; and blocks that are returned are no gain to be corrected.
func TestLargeFleetStartingTogetherServesQuota(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	plan := largeFleetSettings(60).Plans[0]
	run := &fleetRun{
		fleet:   newLargeFleet(t, 60),
		counter: newFakeCounter(),
		plan:    0,
		from:    20 * time.Second,
		to:      50 * time.Second,
		count:   constantly(1),
		pick:    func(int) int { return rng.IntN(60) },
	}
	sent := run.play()
	if n, most := float64(len(sent)), plan.Burst+30*plan.Rate; n < 0.75*most || n > 1.5*most {
		t.Errorf("%.0f sent in 30 s for a customer that asks for ten times its quota, which gives %.0f", n, most)
	}
}

// In a large fleet a call that finds the bucket a little short costs no second one: what it took is spent when the
// bucket has gained it. Only what would take too long is returned.
func TestLargeFleetSeldomCallsTwice(t *testing.T) {
	b := newLargeFleet(t, 100)[0]
	now := 2 * time.Second
	calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(1, 0, 0)}))
	if len(calls) != 1 || calls[0].Amount != 1 {
		t.Fatalf("calls: %v, want one of a unit", calls)
	}
	// The bucket is short by a quarter of a unit: an eighth of a second.
	actions := b.Step(now, []Event{CounterResult{calls[0].Name, OK, 8 + 2*2 + 0.25}})
	if len(actionsOf[CounterAdd](actions))+len(actionsOf[Dispatch](actions))+len(actionsOf[Reject](actions)) != 0 {
		t.Fatalf("the request should wait for what the bucket gains: %v", actions)
	}
	for sent := false; !sent; now += 20 * ms {
		actions = b.Step(now, []Event{TimerFired{0}})
		if len(actionsOf[CounterAdd](actions)) != 0 || len(actionsOf[Reject](actions)) != 0 || now > 2400*ms {
			t.Fatalf("at %v: %v", now, actions)
		}
		if sent = len(actionsOf[Dispatch](actions)) == 1; sent && now < 2120*ms {
			t.Errorf("sent at %v, before the bucket had gained it", now)
		}
	}

	b = newLargeFleet(t, 100)[1]
	now = 2 * time.Second
	calls = actionsOf[CounterAdd](b.Step(now, []Event{testRequest(1, 0, 0)}))
	actions = b.Step(now, []Event{CounterResult{calls[0].Name, OK, 8 + 2*2 + 20}})
	returned := actionsOf[CounterAdd](actions)
	if len(returned) != 1 || returned[0].Amount != -1 || len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("short by 19: %v", actions)
	}
	if more := actionsOf[CounterAdd](b.Step(now+time.Second, []Event{testRequest(2, 0, 0)})); len(more) != 0 {
		t.Errorf("a bucket just found empty was asked again: %v", more)
	}
}

// A call that is answered late still serves the request that it was made for.
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

// A plan that limits requests in flight keeps the limit in a large fleet, and admission-only requests are decided soon.
func TestLargeFleetKeepsMaxInFlightAndAnswersAdmitOnlySoon(t *testing.T) {
	plan := largeFleetSettings(40).Plans[1]
	plan.MaxInFlight = 1
	all := newLargeFleet(t, 40, plan)
	sent := 0
	counter := newFakeCounter()
	for id := uint64(1); id <= 6; id++ {
		for todo := []Event{testRequest(id, 0, 1)}; len(todo) > 0; {
			actions := all[0].Step(10*time.Second, todo)
			sent += len(actionsOf[Dispatch](actions))
			todo = counter.answer(actions)
		}
	}
	if sent != 1 {
		t.Errorf("%d sent while one may be in flight", sent)
	}

	counter = newFakeCounter()
	b := newLargeFleet(t, 40)[0]
	answered := map[uint64]bool{}
	now := 10 * time.Second
	step := func(todo ...Event) {
		for len(todo) > 0 {
			actions := b.Step(now, todo)
			for _, a := range actionsOf[Admit](actions) {
				answered[a.ID] = true
			}
			for _, a := range actionsOf[Reject](actions) {
				answered[a.ID] = true
			}
			todo = counter.answer(actions)
		}
	}
	for id := uint64(1); id <= 60; id++ {
		request := testRequest(id, 0, 1)
		request.AdmitOnly = true
		step(request, TimerFired{0})
		now += ms
	}
	for range 8 { // what waits for a turn to call does so for a fifth of its time, 100 ms
		now += 20 * ms
		step(TimerFired{0})
	}
	if len(answered) != 60 {
		t.Errorf("%d of 60 requests answered 160 ms after the last", len(answered))
	}
}

// A counter that fails is called for fewer requests, and by each gateway rarely, however many there are.
func TestFailingCounterIsCalledRarely(t *testing.T) {
	b := newTestBalancer(t, largeFleetSettings(300), testEndpoints(8)...)
	late := 0
	for i := range 2000 {
		request := testRequest(uint64(i), 0, 0)
		request.Customer = fmt.Sprint("c", i)
		now := time.Duration(i+1) * 10 * ms
		for _, call := range actionsOf[CounterAdd](b.Step(now, []Event{request, TimerFired{0}})) {
			if i > 1000 {
				late++
			}
			b.Step(now+5*ms, []Event{CounterResult{Name: call.Name, Status: Rejected}})
		}
	}
	if late > 10 {
		t.Errorf("%d calls in 10 s to a counter that rejects all", late)
	}
}

// What the bucket seems to have gained over its burst is corrected once.
func TestBucketOverflowIsAddedToCounter(t *testing.T) {
	b := newTestBalancer(t, largeFleetSettings(100), testEndpoints(8)...)
	now := 20 * time.Second
	calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(1, 0, 0)}))
	actions := b.Step(now+2*ms, []Event{CounterResult{calls[0].Name, OK, 1}})
	corrections := actionsOf[CounterAdd](actions)
	if len(corrections) != 1 || corrections[0].Amount < 30 || len(actionsOf[Dispatch](actions)) != 1 {
		t.Errorf("20 s of overflow at 2 a second: %v", actions)
	}
}
