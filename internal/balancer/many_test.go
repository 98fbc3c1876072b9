package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// ledger is a counter without faults that answers at once; lose makes it forget all.
type ledger struct {
	n     map[uint64]float64
	calls int
}

func (l *ledger) answer(acts []Action) (evs []Event) {
	for _, c := range only[CounterAdd](acts) {
		l.calls++
		l.n[c.Name] += c.Amount
		evs = append(evs, CounterResult{c.Name, OK, l.n[c.Name]})
	}
	return evs
}

func many(t *testing.T, doors int, soft ...Plan) []*Balancer {
	t.Helper()
	settings := crowd(doors)
	copy(settings.Plans[1:], soft)
	all := make([]*Balancer, doors)
	for i := range all {
		settings.Index = i
		b, err := New(settings, uint64(i)+1)
		if err != nil {
			t.Fatal(err)
		}
		b.Step(time.Second, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: backends(20)}})
		all[i] = b
	}
	return all
}

// play has requests of a plan come, for some time, a number each 50 ms; pick says at which door. The counter's answers
// come 50 ms
// later, so doors that ask together all see each other's asks. It returns when each was sent.
func play(
	all []*Balancer,
	l *ledger,
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
			evs[i] = append(evs[i], ask(id, 0, plan))
		}
		for i, b := range all {
			for todo := evs[i]; len(todo) > 0; {
				acts := b.Step(now, todo)
				todo = nil
				late[i] = append(late[i], l.answer(acts)...)
				for _, s := range only[Dispatch](acts) {
					sent = append(sent, now)
					todo = append(todo, served(s, 0, 20*ms))
				}
			}
		}
	}
	return sent
}

// However a flood comes to many doors, what goes out past their small shares by the ledger and what goes out by these
// stay
// together within the ceiling, at the turn of the counter's numbers and when it loses them too.
func TestManyDoorsKeepACeiling(t *testing.T) {
	plans := []Plan{
		crowd(40).Plans[1],
		{Rate: 7.4, Burst: 10, PriorityFactor: 1, OverQuotaWeight: 0.2, CeilingRate: 16, CeilingBurst: 21},
	}
	floods := map[string]func(now time.Duration) int{
		"always": always(5),
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
						all := many(t, 40, plan)
						sent := play(
							all,
							&ledger{n: map[uint64]float64{}},
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

func always(n int) func(time.Duration) int { return func(time.Duration) int { return n } }

// A customer inside its quota whose requests mostly come to one of many doors is not held to that door's share of its
// ceiling.
func TestManyDoorsServeAQuotaAtOneDoor(t *testing.T) {
	sent := play(
		many(t, 40),
		&ledger{n: map[uint64]float64{}},
		1,
		2*time.Second,
		22*time.Second,
		always(1),
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
func TestManyDoorsThatStartTogetherLeaveTheQuota(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	plan := crowd(60).Plans[0]
	sent := play(
		many(t, 60),
		&ledger{n: map[uint64]float64{}},
		0,
		20*time.Second,
		50*time.Second,
		always(1),
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
func TestManyDoorsSeldomCallTwice(t *testing.T) {
	b := many(t, 100)[0]
	now := 2 * time.Second
	calls := only[CounterAdd](b.Step(now, []Event{ask(1, 0, 0)}))
	if len(calls) != 1 || calls[0].Amount != 1 {
		t.Fatalf("calls: %v, want one of a unit", calls)
	}
	acts := b.Step(
		now,
		[]Event{CounterResult{calls[0].Name, OK, 8 + 2*2 + 0.25}},
	) // short by a quarter of a unit: an eighth of a second
	if len(only[CounterAdd](acts))+len(only[Dispatch](acts))+len(only[Reject](acts)) != 0 {
		t.Fatalf("the request should wait for what the store gains: %v", acts)
	}
	for sent := false; !sent; now += 20 * ms {
		acts = b.Step(now, []Event{TimerFired{0}})
		if len(only[CounterAdd](acts)) != 0 || len(only[Reject](acts)) != 0 || now > 2400*ms {
			t.Fatalf("at %v: %v", now, acts)
		}
		if sent = len(only[Dispatch](acts)) == 1; sent && now < 2120*ms {
			t.Errorf("sent at %v, before the store had gained it", now)
		}
	}

	b = many(t, 100)[1]
	now = 2 * time.Second
	calls = only[CounterAdd](b.Step(now, []Event{ask(1, 0, 0)}))
	acts = b.Step(now, []Event{CounterResult{calls[0].Name, OK, 8 + 2*2 + 20}})
	if back := only[CounterAdd](acts); len(back) != 1 || back[0].Amount != -1 || len(only[Reject](acts)) != 1 {
		t.Fatalf("short by 19: %v", acts)
	}
	if more := only[CounterAdd](b.Step(now+time.Second, []Event{ask(2, 0, 0)})); len(more) != 0 {
		t.Errorf("a store just seen empty was asked again: %v", more)
	}
}

// A call that is answered late still serves the request that it was made for.
func TestManyDoorsWaitForALateAnswer(t *testing.T) {
	b := many(t, 100)[0]
	now := 2 * time.Second
	calls := only[CounterAdd](b.Step(now, []Event{ask(1, 0, 0)}))
	now += 50 * ms
	if acts := b.Step(
		now,
		[]Event{CounterResult{calls[0].Name, Timeout, 0}, TimerFired{0}},
	); len(
		only[Reject](acts),
	) != 0 {
		t.Fatalf("refused at the time-out: %v", acts)
	}
	if acts := b.Step(now+20*ms, []Event{LateCounterResult{calls[0].Ticket, OK, 1}}); len(only[Dispatch](acts)) != 1 {
		t.Errorf("the late answer sends it: %v", acts)
	}
}

// A door of many keeps to its servers while they serve, and goes past them rather than refuse when they don't.
func TestManyDoorsKeepToTheirServers(t *testing.T) {
	settings := crowd(80)
	settings.Index = 5
	b := open(t, settings, backends(60)...)
	used := map[string]int{}
	now := time.Second
	for id := uint64(1); id < 400; id++ {
		now += 200 * ms
		for _, s := range only[Dispatch](b.Step(now, []Event{ask(id, 0, 2), TimerFired{0}})) {
			used[s.Endpoint]++
			b.Step(now+40*ms, []Event{served(s, 0, 40*ms)})
		}
	}
	if len(used) < 6 || len(used) > 28 {
		t.Errorf("%d of 60 servers used, one at a time", len(used))
	}
	var drained []Endpoint
	for name := range used {
		drained = append(drained, Endpoint{Name: name, State: Draining})
	}
	now += time.Second
	acts := b.Step(now, []Event{EndpointUpdate{Kind: Delta, Entries: drained}, ask(1000, 0, 2)})
	if s := only[Dispatch](acts); len(s) != 1 || used[s[0].Endpoint] != 0 {
		t.Errorf("with all its servers draining: %v", acts)
	}
}

// Few doors use all servers, as they did.
func TestFewDoorsUseAllServers(t *testing.T) {
	settings := basic()
	settings.Gateways = 4
	b := open(t, settings, backends(60)...)
	used := map[string]bool{}
	for id := uint64(1); id <= 60; id++ {
		for _, s := range only[Dispatch](b.Step(time.Second, []Event{ask(id, 0, 2)})) {
			used[s.Endpoint] = true
		}
	}
	if len(used) != 60 {
		t.Errorf("60 requests at once used %d of 60 servers", len(used))
	}
}

// Where a door has little evidence, answers that are slow for a moment refuse nothing of the highest worth; those that
// take most of
// the time left do, but for a few whose answers tell when it is over.
func TestLittleEvidenceRefusesLate(t *testing.T) {
	b := open(t, crowd(80), backends(20)...)
	b.latency.classes[1].meanLatency, b.latency.classes[1].idleLatency = 0.05, 0.05
	refused := func(slower float64) (n int) {
		b.latency.fleetSlowdown = slower
		for range 1000 {
			if b.shouldShed(&request{class: 1, cost: 1, timeLimit: 600 * ms}, b.endpoints.ordered[0]) {
				n++
			}
		}
		return n
	}
	if n := refused(4); n != 0 { // 200 of 600 ms
		t.Errorf("%d of 1000 refused while answers take a third of the time left", n)
	}
	if n := refused(12); n < 900 || n == 1000 {
		t.Errorf("%d of 1000 refused while answers take all of the time left", n)
	}
}

// A plan that caps what is open at once keeps the cap at many doors, and checks are answered soon.
func TestManyDoorsKeepTheCapAndAnswerChecksSoon(t *testing.T) {
	plan := crowd(40).Plans[1]
	plan.MaxInFlight = 1
	all := many(t, 40, plan)
	sent := 0
	counter := &ledger{n: map[uint64]float64{}}
	for id := uint64(1); id <= 6; id++ {
		for todo := []Event{ask(id, 0, 1)}; len(todo) > 0; {
			acts := all[0].Step(10*time.Second, todo)
			sent += len(only[Dispatch](acts))
			todo = counter.answer(acts)
		}
	}
	if sent != 1 {
		t.Errorf("%d sent while one may be open", sent)
	}

	l := &ledger{n: map[uint64]float64{}}
	b := many(t, 40)[0]
	answered := map[uint64]bool{}
	now := 10 * time.Second
	step := func(todo ...Event) {
		for len(todo) > 0 {
			acts := b.Step(now, todo)
			for _, a := range only[Admit](acts) {
				answered[a.ID] = true
			}
			for _, a := range only[Reject](acts) {
				answered[a.ID] = true
			}
			todo = l.answer(acts)
		}
	}
	for id := uint64(1); id <= 60; id++ {
		r := ask(id, 0, 1)
		r.AdmitOnly = true
		step(r, TimerFired{0})
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
