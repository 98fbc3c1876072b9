package balancer

// One test for each cause found on the second deployment (docs/design/second-deployment.md) that has none beside its
// code.

import (
	"testing"
	"time"
)

// alone is a door with no counter whose requests have neither quota nor ceiling (plan 2).
func alone(t *testing.T, servers int) *Balancer {
	t.Helper()
	settings := basic()
	settings.UseCounter, settings.Gateways = false, 1
	return open(t, settings, backends(servers)...)
}

// The first answer may be a lucky one. What an idle fleet takes is learned from more than that, or every later answer
// looks slow and
// the places shrink to nothing.
func TestIdleLatencyOutlivesALuckyAnswer(t *testing.T) {
	b := alone(t, 2)
	for i := range uint64(60) {
		took := 80 * ms
		if i == 0 {
			took = 2 * ms
		}
		now := time.Duration(i) * 100 * ms
		for _, s := range only[Dispatch](b.Step(now, []Event{ask(i, 0, 2)})) {
			b.Step(now+took, []Event{served(s, 0, took)})
		}
	}
	if b.latency.classes[0].idleLatency < 0.06 {
		t.Errorf(
			"an idle fleet is taken to answer in %.0f ms; all but the first answer took 80",
			1000*b.latency.classes[0].idleLatency,
		)
	}
}

// A request that runs out of time is ended by its own timer, and its attempt called off. That is a time-out of the
// server's all the same.
func TestTheEndOfARequestIsATimeOut(t *testing.T) {
	b := alone(t, 1)
	s := only[Dispatch](b.Step(0, []Event{ask(1, 0, 2)}))[0]
	end := 498 * ms // the aim, less the resolution
	acts := b.Step(end, []Event{TimerFired{1<<1 | 1}})
	if len(only[CancelAttempt](acts)) != 1 || len(only[Reject](acts)) != 1 {
		t.Fatalf("at the end of its time: %v", acts)
	}
	slots := b.endpoints.byName[s.Endpoint].concurrency.limit
	b.Step(
		end,
		[]Event{AttemptResult{ID: 1, Endpoint: s.Endpoint, Status: Cancelled, Latency: end, RequestClosed: true}},
	)
	if b := b.endpoints.byName[s.Endpoint]; b.concurrency.limit >= slots || b.outlier.timeouts != 1 || b.latency.factor <= 1 {
		t.Errorf(
			"slots %v of %v, %d answers owed, slowness %v: nothing was learned of a server that took too long",
			b.concurrency.limit,
			slots,
			b.outlier.timeouts,
			b.latency.factor,
		)
	}
	// One that its client gave up early says nothing of the server.
	s = only[Dispatch](b.Step(end+ms, []Event{ask(2, 0, 2)}))[0]
	b.Step(end+5*ms, []Event{RequestDone{2}})
	was := *b.endpoints.byName[s.Endpoint]
	b.Step(
		end+5*ms,
		[]Event{AttemptResult{ID: 2, Endpoint: s.Endpoint, Status: Cancelled, Latency: 4 * ms, RequestClosed: true}},
	)
	if b := b.endpoints.byName[s.Endpoint]; b.concurrency.limit != was.concurrency.limit || b.outlier.timeouts != was.outlier.timeouts {
		t.Error("a client that left is held against the server")
	}
}

// Of what joins a queue, the worth decides how much of its time it may be expected to wait.
func TestWorthDecidesHowLongAQueueMayBe(t *testing.T) {
	joined := func(class int) int {
		settings := basic()
		settings.UseCounter, settings.Gateways = false, 1
		settings.Plans[0] = Plan{Rate: 1e6, Burst: 1e6, PriorityFactor: 1}
		settings.Classes = []Class{settings.Classes[0], settings.Classes[0]}
		settings.Classes[1].PriorityWeight = 8
		b := open(t, settings, backends(1)...)
		n := 0
		for i := range uint64(100) {
			b.Step(time.Second, []Event{ask(i, class, 0)})
		}
		for _, req := range b.requests {
			if req.attemptsOut == 0 {
				n++
			}
		}
		return n
	}
	if cheap, dear := joined(0), joined(1); dear < 3*cheap || cheap == 0 {
		t.Errorf(
			"%d cheap and %d dear requests may wait; want three times as many dear ones, and some cheap",
			cheap,
			dear,
		)
	}
}

// What is beyond a quota finds a free place as long as paid requests do, and none once many of them do not.
func TestNothingBeyondAQuotaUnderPressure(t *testing.T) {
	sent := func(short float64) int {
		settings := basic()
		settings.UseCounter, settings.Gateways = false, 1
		settings.Plans[1].CeilingRate, settings.Plans[1].CeilingBurst = 0, 0
		b := open(t, settings, backends(8)...)
		n := 0
		for i := range uint64(400) {
			now := time.Duration(i) * 5 * ms
			b.shortage = short
			for _, s := range only[Dispatch](b.Step(now, []Event{ask(i, 0, 1)})) {
				if b.requests[i].level == lowestLevel {
					n++
				}
				b.Step(now+4*ms, []Event{served(s, 0, 4*ms)})
			}
		}
		return n
	}
	if calm, pressed := sent(0), sent(0.6); calm < 100 || pressed != 0 {
		t.Errorf(
			"%d of 400 go out beyond the quota on a calm day, %d under pressure; want most of them, and none",
			calm,
			pressed,
		)
	}
}

// The pressure is what paid requests meet: it rises while they find no free place and falls when they do.
func TestPressureFollowsPaidRequests(t *testing.T) {
	settings := basic()
	settings.UseCounter, settings.Gateways = false, 1
	settings.Plans[0] = Plan{Rate: 1e6, Burst: 1e6, PriorityFactor: 1}
	b := open(t, settings, backends(1)...)
	for i := range uint64(60) { // nothing is answered
		b.Step(time.Second, []Event{ask(i, 0, 0)})
	}
	high := b.shortage
	if high < 0.3 {
		t.Fatalf("%.2f of the paid requests are taken to find no place, while the one server answers nothing", high)
	}
	b = open(t, settings, backends(1)...)
	b.shortage = high
	for i := range uint64(200) {
		now := time.Duration(i) * 20 * ms
		for _, s := range only[Dispatch](b.Step(now, []Event{ask(i, 0, 0)})) {
			b.Step(now+5*ms, []Event{served(s, 0, 5*ms)})
		}
	}
	if b.shortage > high/5 {
		t.Errorf("%.2f, and %.2f after two hundred that all found a place", high, b.shortage)
	}
}

// Calls of one connection end together. They say no more of the counter than one of them; one that was made after they
// ended does.
func TestCallsThatFailTogetherCountOnce(t *testing.T) {
	b := open(t, basic(), backends(2)...)
	now := time.Second
	names := map[uint64]bool{}
	for i := uint64(0); len(names) < 5 && i < 400; i++ { // calls for five customers
		r := ask(i, 0, 0)
		r.Customer = string(rune('a' + i%5))
		for _, k := range only[CounterAdd](b.Step(now, []Event{r})) {
			names[k.Name] = true
		}
	}
	if len(names) != 5 {
		t.Fatalf("%d customers call", len(names))
	}
	before := b.counter.callFraction
	var all []Event
	for name := range names {
		all = append(all, CounterResult{Name: name, Status: Timeout})
	}
	b.Step(now+50*ms, all)
	if want := before * callFractionDecrease; b.counter.callFraction != want {
		t.Errorf(
			"the part that calls is %v after five calls that ended together; want %v as after one",
			b.counter.callFraction,
			want,
		)
	}
	cust := b.customers["a"]
	cust.quota.callsPausedUntil, cust.bucket.emptyUntil, cust.quota.fallbackTokens, b.counter.callFraction = 0, 0, 0, 1
	again := only[CounterAdd](
		b.Step(now+60*ms, []Event{func() Request { r := ask(900, 0, 0); r.Customer = "a"; return r }()}),
	)
	if len(again) != 1 {
		t.Fatalf("%d calls after that", len(again))
	}
	b.Step(now+110*ms, []Event{CounterResult{Name: again[0].Name, Status: Timeout}})
	if b.counter.callFraction != callFractionDecrease {
		t.Errorf("a later failure does not count: %v", b.counter.callFraction)
	}
}

// Where calls cost, a lease of a nearly full store reaches further ahead; one of a store that is running out never
// does.
func TestLeasesReachFurtherByWhatACallCosts(t *testing.T) {
	block := func(fee, full float64) float64 {
		settings := basic()
		settings.CounterCallCost, settings.Plans[0] = fee, Plan{
			Rate:           10,
			Burst:          400,
			PriorityFactor: 1,
			OverQuotaCost:  0.5,
		}
		b := open(t, settings, backends(2)...)
		now := time.Second
		b.Step(now, []Event{ask(1, 0, 0)})
		cust := b.customers["c"]
		cust.bucket.known, cust.quota.fallbackTokens, cust.quota.tokens, cust.demand.rate = true, 0, 0, 10
		cust.bucket.level, cust.bucket.levelAt = full*400, now
		calls := only[CounterAdd](b.Step(now+ms, []Event{ask(2, 0, 0)}))
		if len(calls) != 1 {
			t.Fatalf("%d calls", len(calls))
		}
		return calls[0].Amount - cust.quota.debt
	}
	free, dear, scarce := block(0, 1), block(0.02, 1), block(0.02, 0.5)
	if dear < 3*free || scarce > free+1 {
		t.Errorf(
			"leases of %.0f where calls are free, %.0f where they cost, %.0f where they cost and the store is half empty",
			free,
			dear,
			scarce,
		)
	}
}

// A cold server bears so much work, not so many requests.
func TestAColdServerBearsWork(t *testing.T) {
	sent := func(units float64) int {
		b := schooled(t, backends(2)...)
		now := 121 * time.Second
		cold := Endpoint{Name: "cold", Weight: 1, StartedAt: now}
		left := backends(2)
		left[0].State, left[1].State = Draining, Draining
		b.Step(now, []Event{EndpointUpdate{Kind: Delta, Entries: append(left, cold)}})
		n := 0
		backend := &bearer{can: func(time.Duration) float64 { return 50 }, at: now}
		send := func(at time.Duration, acts []Action) {
			for _, s := range only[Dispatch](acts) {
				n++
				backend.take(at, b, s, units)
			}
		}
		for i := range uint64(300) {
			r := ask(5000+i, 0, 2)
			r.Units = units
			at := now + time.Duration(i)*5*ms
			send(at, b.Step(at, []Event{r}))
			send(at+ms, backend.step(at + ms)[b])
		}
		return n
	}
	if small, large := sent(1), sent(4); large == 0 || small < 2*large {
		t.Errorf(
			"a cold server is sent %d small and %d large requests in its first seconds; want far more small ones",
			small,
			large,
		)
	}
}

// Where the ceiling is lent a door does not keep a part of a unit, which would lie there until it is lost: all of the
// block goes back.
func TestNoPartOfAUnitIsTakenOfALentStore(t *testing.T) {
	for held, want := range map[float64]float64{0.91: 0, 1.4: 1, 2: 2, 5: 3} {
		settings := basic()
		settings.LeaseCeilings, settings.Gateways, settings.Plans[0] = true, 3, Plan{
			Rate:            5,
			Burst:           10,
			PriorityFactor:  1,
			OverQuotaWeight: 0.2,
			CeilingRate:     10,
			CeilingBurst:    20,
		}
		b := open(t, settings, backends(2)...)
		now := time.Second
		b.Step(now, []Event{ask(1, 0, 0)})
		b.now = now + 100*ms
		cust := b.customers["c"]
		cust.bucket.known, cust.bucket.level, cust.bucket.levelAt, cust.quota.tokens, cust.quota.debt = true, held, now, 0, 0
		call := &counterCall{customer: cust, block: 3, amount: 3, window: int64(b.now / counterWindow), sentAt: b.now}
		b.actions = b.actions[:0]
		b.creditLease(call, 10+5*(b.now%counterWindow).Seconds()-held+3, b.now)
		back := cust.quota.debt
		for _, a := range only[CounterAdd](b.actions) {
			back += a.Amount
		}
		if cust.quota.tokens != want || back < want-3-1e-9 || back > want-3+1e-9 {
			t.Errorf("of %v units in the store %v are taken, and %v of 3 go back", held, cust.quota.tokens, -back)
		}
	}
}

// A repeat of a keyed request that may have run is to be written within the window in which backends know it for one,
// and not only to be decided on then: its
// connection may come up after that. A first attempt has no such time.
func TestARepeatIsWrittenWithinItsWindow(t *testing.T) {
	settings := basic()
	settings.Classes[1].DedupScope = DedupAll
	b := open(t, settings, backends(2)...)
	now := time.Second
	sent := only[Dispatch](b.Step(now, []Event{ask(1, 1, 2)}))
	if len(sent) != 1 || sent[0].WriteBy != 0 {
		t.Fatalf("sent %+v", sent)
	}
	again := only[Dispatch](
		b.Step(
			now+100*ms,
			[]Event{AttemptResult{ID: 1, Attempt: 0, Endpoint: sent[0].Endpoint, Status: Reset, Latency: 100 * ms}},
		),
	)
	if want := now + settings.Classes[1].DedupWindow - retryWriteMargin; len(again) != 1 || again[0].WriteBy != want {
		t.Fatalf("sent again %+v, want by %v", again, want)
	}
	// One that never ran may go at any time.
	b = open(t, settings, backends(2)...)
	sent = only[Dispatch](b.Step(now, []Event{ask(1, 1, 2)}))
	again = only[Dispatch](
		b.Step(
			now+100*ms,
			[]Event{
				AttemptResult{ID: 1, Attempt: 0, Endpoint: sent[0].Endpoint, Status: ConnectFailed, Latency: 100 * ms},
			},
		),
	)
	if len(again) != 1 || again[0].WriteBy != 0 {
		t.Fatalf("sent again %+v", again)
	}
}
