package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func newLargeFleet(t *testing.T, doors int, soft ...Plan) []*Balancer {
	t.Helper()
	settings := largeFleetSettings(doors)
	copy(settings.Plans[1:], soft)
	all := make([]*Balancer, doors)
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

// runFleet has requests of a plan come, for some time, a number each 50 ms; pick says at which door. The counter's answers
// come 50 ms
// later, so doors that ask together all see each other's asks. It returns when each was sent.
func runFleet(
	all []*Balancer,
	l *fakeCounter,
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
			l.n, lose = map[uint64]float64{}, 0
		}
		evs := make([][]Event, len(all))
		for i := range all {
			evs[i] = append(late[i], TimerFired{0})
			late[i] = nil
		}
		for range each(now) {
			id++
			i := pick(int(id))
			evs[i] = append(evs[i], testRequest(id, 0, plan))
		}
		for i, b := range all {
			for todo := evs[i]; len(todo) > 0; {
				acts := b.Step(now, todo)
				todo = nil
				late[i] = append(late[i], l.answer(acts)...)
				for _, s := range actionsOf[Dispatch](acts) {
					sent = append(sent, now)
					todo = append(todo, succeeded(s, 0, 20*ms))
				}
			}
		}
	}
	return sent
}

// However a flood comes to many doors, what goes out past their small shares by the ledger and what goes out by these
// stay
// together within the ceiling, at the turn of the counter's numbers and when it loses them too.
func TestLargeFleetKeepsCeiling(t *testing.T) {
	plans := []Plan{
		largeFleetSettings(40).Plans[1],
		{Rate: 7.4, Burst: 10, PriorityFactor: 1, OverQuotaWeight: 0.2, CeilingRate: 16, CeilingBurst: 21},
	}
	floods := map[string]func(now time.Duration) int{
		"always": constantly(5),
		"before a new number": func(now time.Duration) int { // after a calm time in which the store runs over
			if now < 29*time.Second || now > 38*time.Second && now < 56*time.Second {
				return int(now/(50*ms)) % 10 / 9
			}
			return 5
		},
	}
	for name, pick := range map[string]func(*rand.Rand) int{
		"evenly": func(r *rand.Rand) int { return r.IntN(40) }, "at one door": func(*rand.Rand) int { return 3 },
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
							&fakeCounter{n: map[uint64]float64{}},
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
							t.Errorf("the ceiling's store fell to %.1f of %v", least, plan.CeilingBurst)
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

func constantly(n int) func(time.Duration) int { return func(time.Duration) int { return n } }

// A customer inside its quota whose requests mostly come to one of many doors is not held to that door's share of its
// ceiling.
func TestLargeFleetServesQuotaAtOneGateway(t *testing.T) {
	sent := runFleet(
		newLargeFleet(t, 40),
		&fakeCounter{n: map[uint64]float64{}},
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
	if want := 0.75 * 20 * 10; float64(len(sent)) < want { // what the quota gives in 20 s, less what doors keep
		t.Errorf("%d sent in 20 s, want %.0f", len(sent), want)
	}
}

// Doors that start together in the middle of a window all see a store that seems over its burst. Were each to put it
// right, it
// would be empty for a while for each of them; and asks that are given back are no gain to be put right either.
func TestLargeFleetStartingTogetherServesQuota(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	plan := largeFleetSettings(60).Plans[0]
	sent := runFleet(
		newLargeFleet(t, 60),
		&fakeCounter{n: map[uint64]float64{}},
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

// Where doors are many, a call that finds the store a little short costs no second one: what it took is spent when the
// store has
// gained it. Only what would take too long is given back.
func TestLargeFleetSeldomCallsTwice(t *testing.T) {
	b := newLargeFleet(t, 100)[0]
	now := 2 * time.Second
	calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(1, 0, 0)}))
	if len(calls) != 1 || calls[0].Amount != 1 {
		t.Fatalf("calls: %v, want one of a unit", calls)
	}
	acts := b.Step(
		now,
		[]Event{CounterResult{calls[0].Name, OK, 8 + 2*2 + 0.25}},
	) // short by a quarter of a unit: an eighth of a second
	if len(actionsOf[CounterAdd](acts))+len(actionsOf[Dispatch](acts))+len(actionsOf[Reject](acts)) != 0 {
		t.Fatalf("the request should wait for what the store gains: %v", acts)
	}
	for sent := false; !sent; now += 20 * ms {
		acts = b.Step(now, []Event{TimerFired{0}})
		if len(actionsOf[CounterAdd](acts)) != 0 || len(actionsOf[Reject](acts)) != 0 || now > 2400*ms {
			t.Fatalf("at %v: %v", now, acts)
		}
		if sent = len(actionsOf[Dispatch](acts)) == 1; sent && now < 2120*ms {
			t.Errorf("sent at %v, before the store had gained it", now)
		}
	}

	b = newLargeFleet(t, 100)[1]
	now = 2 * time.Second
	calls = actionsOf[CounterAdd](b.Step(now, []Event{testRequest(1, 0, 0)}))
	acts = b.Step(now, []Event{CounterResult{calls[0].Name, OK, 8 + 2*2 + 20}})
	if back := actionsOf[CounterAdd](acts); len(back) != 1 || back[0].Amount != -1 || len(actionsOf[Reject](acts)) != 1 {
		t.Fatalf("short by 19: %v", acts)
	}
	if more := actionsOf[CounterAdd](b.Step(now+time.Second, []Event{testRequest(2, 0, 0)})); len(more) != 0 {
		t.Errorf("a store just seen empty was asked again: %v", more)
	}
}

// A call that is answered late still serves the request that it was made for.
func TestLargeFleetWaitsForLateResult(t *testing.T) {
	b := newLargeFleet(t, 100)[0]
	now := 2 * time.Second
	calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(1, 0, 0)}))
	now += 50 * ms
	if acts := b.Step(
		now,
		[]Event{CounterResult{calls[0].Name, Timeout, 0}, TimerFired{0}},
	); len(
		actionsOf[Reject](acts),
	) != 0 {
		t.Fatalf("refused at the time-out: %v", acts)
	}
	if acts := b.Step(now+20*ms, []Event{LateCounterResult{calls[0].Ticket, OK, 1}}); len(actionsOf[Dispatch](acts)) != 1 {
		t.Errorf("the late answer sends it: %v", acts)
	}
}

// A plan that caps what is open at once keeps the cap at many doors, and checks are answered soon.
func TestLargeFleetKeepsMaxInFlightAndAnswersAdmitOnlySoon(t *testing.T) {
	plan := largeFleetSettings(40).Plans[1]
	plan.MaxInFlight = 1
	all := newLargeFleet(t, 40, plan)
	sent := 0
	counter := &fakeCounter{n: map[uint64]float64{}}
	for id := uint64(1); id <= 6; id++ {
		for todo := []Event{testRequest(id, 0, 1)}; len(todo) > 0; {
			acts := all[0].Step(10*time.Second, todo)
			sent += len(actionsOf[Dispatch](acts))
			todo = counter.answer(acts)
		}
	}
	if sent != 1 {
		t.Errorf("%d sent while one may be open", sent)
	}

	l := &fakeCounter{n: map[uint64]float64{}}
	b := newLargeFleet(t, 40)[0]
	answered := map[uint64]bool{}
	now := 10 * time.Second
	step := func(todo ...Event) {
		for len(todo) > 0 {
			acts := b.Step(now, todo)
			for _, a := range actionsOf[Admit](acts) {
				answered[a.ID] = true
			}
			for _, a := range actionsOf[Reject](acts) {
				answered[a.ID] = true
			}
			todo = l.answer(acts)
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
		t.Errorf("%d of 60 checks answered 160 ms after the last", len(answered))
	}
}

// With a share of under one unit the counter is asked for a single request, and its level alone decides.
func TestSparseShareCallsCounterPerRequest(t *testing.T) {
	for total, want := range map[float64]int{1: 1, 30: 0} {
		b := newTestBalancer(t, largeFleetSettings(100), testEndpoints(8)...)
		calls := actionsOf[CounterAdd](b.Step(ms, []Event{testRequest(1, 0, 0)}))
		if len(calls) != 1 || calls[0].Amount != 1 {
			t.Fatalf("calls: %v, want one of a unit", calls)
		}
		acts := b.Step(3*ms, []Event{CounterResult{calls[0].Name, OK, total}})
		if n := len(actionsOf[Dispatch](acts)); n != want {
			t.Errorf("total %v: %d sent, want %d", total, n, want)
		}
		if want == 0 {
			if back := actionsOf[CounterAdd](acts); len(back) != 1 || back[0].Amount != -1 {
				t.Errorf("what the store did not hold was not given back: %v", acts)
			}
			if more := actionsOf[CounterAdd](b.Step(4*ms, []Event{testRequest(2, 0, 0)})); len(more) != 0 {
				t.Errorf("a store just seen empty was asked again: %v", more)
			}
		}
	}
}

// A counter that fails is asked by fewer requests, and by each door rarely, however many there are.
func TestFailingCounterIsCalledRarely(t *testing.T) {
	b := newTestBalancer(t, largeFleetSettings(300), testEndpoints(8)...)
	late := 0
	for i := range 2000 {
		request := testRequest(uint64(i), 0, 0)
		request.Customer = fmt.Sprint("c", i)
		now := time.Duration(i+1) * 10 * ms
		for _, c := range actionsOf[CounterAdd](b.Step(now, []Event{request, TimerFired{0}})) {
			if i > 1000 {
				late++
			}
			b.Step(now+5*ms, []Event{CounterResult{Name: c.Name, Status: Rejected}})
		}
	}
	if late > 10 {
		t.Errorf("%d calls in 10 s to a counter that turns all away", late)
	}
}

// What the store seems to have gained over its burst is put right, once.
func TestBucketOverflowIsAddedToCounter(t *testing.T) {
	b := newTestBalancer(t, largeFleetSettings(100), testEndpoints(8)...)
	now := 20 * time.Second
	calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(1, 0, 0)}))
	acts := b.Step(now+2*ms, []Event{CounterResult{calls[0].Name, OK, 1}})
	fixes := actionsOf[CounterAdd](acts)
	if len(fixes) != 1 || fixes[0].Amount < 30 || len(actionsOf[Dispatch](acts)) != 1 {
		t.Errorf("20 s of overflow at 2 a second: %v", acts)
	}
}
