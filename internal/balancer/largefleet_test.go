package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// newLargeFleet returns the Balancers of many gateways; softPlans replace the plans from the second one on.
func newLargeFleet(t *testing.T, gateways int, soft ...Plan) []*Balancer {
	t.Helper()
	settings := largeFleetSettings(gateways)
	copy(settings.Plans[1:], soft)
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

// runFleet lets requests of a plan come each 50 ms: each tells how many, pick at which gateway. The counter's results
// come 50 ms later, so gateways that call together see each other's calls. With loseAt above 0 the counter loses its
// totals then. It returns the time of each dispatch.
func runFleet(
	all []*Balancer,
	counter *fakeCounter,
	plan int,
	first, last time.Duration,
	each func(now time.Duration) int,
	pick func(i int) int,
	lose time.Duration,
) (sent []time.Duration) {
	id := uint64(0)
	late := make([][]Event, len(all))
	for now := first; now < last; now += 50 * ms {
		if lose > 0 && now >= lose {
			counter.totals, lose = map[uint64]float64{}, 0
		}
		events := make([][]Event, len(all))
		for i := range all {
			events[i] = append(late[i], TimerFired{tickCookie})
			late[i] = nil
		}
		for range each(now) {
			id++
			i := pick(int(id))
			events[i] = append(events[i], testRequest(id, 0, plan))
		}
		for i, b := range all {
			for todo := events[i]; len(todo) > 0; {
				actions := b.Step(now, todo)
				todo = nil
				late[i] = append(late[i], counter.answer(actions)...)
				for _, dispatch := range actionsOf[Dispatch](actions) {
					sent = append(sent, now)
					todo = append(todo, succeeded(dispatch, 0, 20*ms))
				}
			}
		}
	}
	return sent
}

// However a flood comes to many gateways, what goes out past their small shares by the counter and what goes out by
// these stays together within the ceiling, also when a new window begins and when the counter loses its totals.
func TestLargeFleetKeepsCeiling(t *testing.T) {
	plans := []Plan{
		largeFleetSettings(40).Plans[1],
		{Rate: 7.4, Burst: 10, PriorityFactor: 1, OverQuotaWeight: 0.2, CeilingRate: 16, CeilingBurst: 21},
	}
	floods := map[string]func(now time.Duration) int{
		"always": constantly(5),
		"before a new number": func(now time.Duration) int { // after a calm time in which the bucket runs over
			if now < 29*time.Second || now > 38*time.Second && now < 56*time.Second {
				return int(now/(50*ms)) % 10 / 9
			}
			return 5
		},
	}
	for name, pick := range map[string]func(*rand.Rand) int{
		"evenly": func(r *rand.Rand) int { return r.IntN(40) }, "at one gateway": func(*rand.Rand) int { return 3 },
		"mostly at a few": func(r *rand.Rand) int { return min(r.IntN(40), r.IntN(40), r.IntN(40)) },
	} {
		for when, each := range floods {
			for i, plan := range plans {
				for _, lose := range []time.Duration{0, 20 * time.Second} {
					t.Run(fmt.Sprint(name, when, i, lose > 0), func(t *testing.T) {
						r := rand.New(rand.NewPCG(1, 2))
						store, last, least := plan.CeilingBurst, time.Duration(0), plan.CeilingBurst
						all := newLargeFleet(t, 40, plan)
						sent := runFleet(
							all,
							&fakeCounter{totals: map[uint64]float64{}},
							1,
							2*time.Second,
							75*time.Second,
							each,
							func(int) int { return pick(r) },
							lose,
						)
						for _, at := range sent {
							store = min(plan.CeilingBurst, store+plan.CeilingRate*(at-last).Seconds()) - 1
							last, least = at, min(least, store)
						}
						if least < -plan.CeilingBurst/10-0.15*plan.CeilingRate {
							t.Errorf("the ceiling fell to %.1f of %v", least, plan.CeilingBurst)
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

// constantly is the same number at all times.
func constantly(n int) func(time.Duration) int { return func(time.Duration) int { return n } }

// A customer within its quota whose requests mostly come to one of many gateways is not held to that gateway's share
// of its ceiling.
func TestLargeFleetServesQuotaAtOneGateway(t *testing.T) {
	sent := runFleet(
		newLargeFleet(t, 40),
		&fakeCounter{totals: map[uint64]float64{}},
		1,
		2*time.Second,
		22*time.Second,
		constantly(1),
		func(i int) int { // 20 a second for 0.4 of the time: 8 of the 10 that the quota gives
			if i%50 < 20 {
				return 0
			}
			return 1 + i%39
		},
		0,
	)
	if want := 0.75 * 20 * 10; float64(len(sent)) < want { // what the quota gives in 20 s, less what gateways keep
		t.Errorf("%d sent in 20 s, want %.0f", len(sent), want)
	}
}

// Gateways that start together in the middle of a window all see a bucket that seems to hold more than its burst. If
// each corrected that, the bucket would look empty to each for a while. Units that are given back are no such gain
// either.
func TestLargeFleetStartingTogetherServesQuota(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	plan := largeFleetSettings(60).Plans[0]
	sent := runFleet(
		newLargeFleet(t, 60),
		&fakeCounter{totals: map[uint64]float64{}},
		0,
		20*time.Second,
		50*time.Second,
		constantly(1),
		func(int) int { return r.IntN(60) },
		0,
	)
	if n, most := float64(len(sent)), plan.Burst+30*plan.Rate; n < 0.75*most || n > 1.5*most {
		t.Errorf("%.0f sent in 30 s for a customer that asks for ten times its quota, which gives %.0f", n, most)
	}
}

// Where gateways are many, a call that finds the bucket a little short needs no second one: what it took is spent
// when the bucket has gained it. Only what would take too long is given back.
func TestLargeFleetSeldomCallsTwice(t *testing.T) {
	b := newLargeFleet(t, 100)[0]
	now := 2 * time.Second
	calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(1, 0, 0)}))
	if len(calls) != 1 || calls[0].Amount != 1 {
		t.Fatalf("calls: %v, want one of a unit", calls)
	}
	actions := b.Step(
		now,
		[]Event{CounterResult{calls[0].Name, OK, 8 + 2*2 + 0.25}},
	) // short by a quarter of a unit: an eighth of a second
	if len(actionsOf[CounterAdd](actions))+len(actionsOf[Dispatch](actions))+len(actionsOf[Reject](actions)) != 0 {
		t.Fatalf("the request should wait for what the bucket gains: %v", actions)
	}
	for sent := false; !sent; now += 20 * ms {
		actions = b.Step(now, []Event{TimerFired{tickCookie}})
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
	back := actionsOf[CounterAdd](actions)
	if len(back) != 1 || back[0].Amount != -1 || len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("short by 19: %v", actions)
	}
	if more := actionsOf[CounterAdd](b.Step(now+time.Second, []Event{testRequest(2, 0, 0)})); len(more) != 0 {
		t.Errorf("a bucket just seen empty was called again: %v", more)
	}
}

// A call that is answered late still serves the request that it was made for.
func TestLargeFleetWaitsForLateResult(t *testing.T) {
	b := newLargeFleet(t, 100)[0]
	now := 2 * time.Second
	calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(1, 0, 0)}))
	now += 50 * ms
	if actions := b.Step(
		now,
		[]Event{CounterResult{calls[0].Name, Timeout, 0}, TimerFired{tickCookie}},
	); len(
		actionsOf[Reject](actions),
	) != 0 {
		t.Fatalf("rejected at the timeout: %v", actions)
	}
	actions := b.Step(now+20*ms, []Event{LateCounterResult{calls[0].Ticket, OK, 1}})
	if len(actionsOf[Dispatch](actions)) != 1 {
		t.Errorf("the late answer dispatches it: %v", actions)
	}
}

// A plan with MaxInFlight keeps it where gateways are many.
func TestLargeFleetKeepsMaxInFlight(t *testing.T) {
	plan := largeFleetSettings(40).Plans[1]
	plan.MaxInFlight = 1
	all := newLargeFleet(t, 40, plan)
	sent := 0
	counter := &fakeCounter{totals: map[uint64]float64{}}
	for id := uint64(1); id <= 6; id++ {
		for todo := []Event{testRequest(id, 0, 1)}; len(todo) > 0; {
			actions := all[0].Step(10*time.Second, todo)
			sent += len(actionsOf[Dispatch](actions))
			todo = counter.answer(actions)
		}
	}
	if sent != 1 {
		t.Errorf("%d dispatched while one may be in flight", sent)
	}
}

// Where gateways are many, requests for admission only are answered soon.
func TestLargeFleetAnswersAdmitOnlySoon(t *testing.T) {
	counter := &fakeCounter{totals: map[uint64]float64{}}
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
		step(request, TimerFired{tickCookie})
		now += ms
	}
	for range 8 { // what waits for a turn to call does so for a fifth of its time, 100 ms
		now += 20 * ms
		step(TimerFired{tickCookie})
	}
	if len(answered) != 60 {
		t.Errorf("%d of 60 checks answered 160 ms after the last", len(answered))
	}
}

// With a share of under one unit the counter is called for a single request, and its total alone decides.
func TestSparseShareCallsCounterPerRequest(t *testing.T) {
	for total, want := range map[float64]int{1: 1, 30: 0} {
		b := newTestBalancer(t, largeFleetSettings(100), testEndpoints(8)...)
		calls := actionsOf[CounterAdd](b.Step(ms, []Event{testRequest(1, 0, 0)}))
		if len(calls) != 1 || calls[0].Amount != 1 {
			t.Fatalf("calls: %v, want one of a unit", calls)
		}
		actions := b.Step(3*ms, []Event{CounterResult{calls[0].Name, OK, total}})
		if n := len(actionsOf[Dispatch](actions)); n != want {
			t.Errorf("total %v: %d sent, want %d", total, n, want)
		}
		if want == 0 {
			if back := actionsOf[CounterAdd](actions); len(back) != 1 || back[0].Amount != -1 {
				t.Errorf("what the bucket did not hold was not given back: %v", actions)
			}
			if more := actionsOf[CounterAdd](b.Step(4*ms, []Event{testRequest(2, 0, 0)})); len(more) != 0 {
				t.Errorf("a bucket just seen empty was called again: %v", more)
			}
		}
	}
}

// A failing counter is called by few requests of each gateway, however many there are.
func TestFailingCounterIsCalledRarely(t *testing.T) {
	b := newTestBalancer(t, largeFleetSettings(300), testEndpoints(8)...)
	late := 0
	for i := range 2000 {
		request := testRequest(uint64(i), 0, 0)
		request.Customer = fmt.Sprint("c", i)
		now := time.Duration(i+1) * 10 * ms
		for _, call := range actionsOf[CounterAdd](b.Step(now, []Event{request, TimerFired{tickCookie}})) {
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

// What the bucket seems to have gained over its burst is added to the counter, once.
func TestBucketOverflowIsAddedToCounter(t *testing.T) {
	b := newTestBalancer(t, largeFleetSettings(100), testEndpoints(8)...)
	now := 20 * time.Second
	calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(1, 0, 0)}))
	actions := b.Step(now+2*ms, []Event{CounterResult{calls[0].Name, OK, 1}})
	fixes := actionsOf[CounterAdd](actions)
	if len(fixes) != 1 || fixes[0].Amount < 30 || len(actionsOf[Dispatch](actions)) != 1 {
		t.Errorf("20 s of overflow at 2 a second: %v", actions)
	}
}
