package balancer

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// handOver hands the state of one process over to a new one, encoded as between real processes.
func handOver(
	t *testing.T, from *Balancer, settings Settings, at time.Duration, list ...Endpoint,
) (*Balancer, HandoverState) {
	t.Helper()
	exported := actionsOf[HandoverReady](from.Step(at, []Event{BeginHandover{}}))
	if len(exported) != 1 {
		t.Fatalf("%d handover states exported, want 1", len(exported))
	}
	text, err := json.Marshal(exported[0].State)
	if err != nil {
		t.Fatal(err)
	}
	var state HandoverState
	if err := json.Unmarshal(text, &state); err != nil {
		t.Fatal(err)
	}
	to, err := New(settings, 8)
	if err != nil {
		t.Fatal(err)
	}
	to.Step(at, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: list}, ImportHandover{state}})
	return to, state
}

// TestCeilingHoldsOverHandovers verifies that a ceiling holds over any number of successive processes, while the old
// ones still dispatch their queued requests.
func TestCeilingHoldsOverHandovers(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		settings := testSettings()
		settings.UseCounter = false
		settings.Gateways = 1
		settings.Plans[1] = Plan{PriorityFactor: 1, OverQuotaWeight: 0.2, CeilingRate: 20, CeilingBurst: 40}
		list := testEndpoints(3)
		processes := []*Balancer{newTestBalancer(t, settings, list...)}
		sent, id, at := 0.0, uint64(0), time.Duration(0)
		type sentAttempt struct {
			process  *Balancer
			dispatch Dispatch
		}
		var pending []sentAttempt
		step := func(b *Balancer, evs ...Event) {
			for _, dispatch := range actionsOf[Dispatch](b.Step(at, evs)) {
				sent++
				pending = append(pending, sentAttempt{b, dispatch})
			}
		}
		for at < 30*time.Second {
			at += 20 * ms
			last := processes[len(processes)-1]
			for range rng.IntN(3) {
				id++
				step(last, testRequest(id, 0, 1))
			}
			for len(pending) > 2 && rng.IntN(2) == 0 {
				first := pending[0]
				pending = pending[1:]
				step(first.process, succeeded(first.dispatch, 0, 50*ms))
			}
			for _, b := range processes {
				step(b, TimerFired{0})
			}
			if rng.IntN(40) == 0 {
				next, _ := handOver(t, last, settings, at, list...)
				processes = append(processes, next)
			}
			if limit := 40 + 20*at.Seconds() + 1; sent > limit {
				t.Fatalf("seed %d: %.0f attempts in %v over %d processes, the ceiling allows %.0f",
					seed, sent, at, len(processes), limit)
			}
		}
		if sent < 20*at.Seconds()*0.8 || len(processes) < 10 {
			t.Errorf("seed %d: only %.0f attempts over %d processes", seed, sent, len(processes))
		}
	}
}

// TestQuotaIsHandedOverOnce verifies that tokens are handed over only once: a customer gets no new burst from each of
// many processes.
func TestQuotaIsHandedOverOnce(t *testing.T) {
	settings := testSettings()
	settings.UseCounter = false
	settings.Gateways = 1
	list := testEndpoints(3)
	b := newTestBalancer(t, settings, list...)
	sent, id := 0, uint64(0)
	for i := range 10 {
		at := time.Duration(i) * 100 * ms
		for range 20 {
			id++
			for _, dispatch := range actionsOf[Dispatch](b.Step(at, []Event{testRequest(id, 0, 0)})) {
				sent++
				b.Step(at, []Event{succeeded(dispatch, 0, ms)})
			}
		}
		b, _ = handOver(t, b, settings, at, list...)
	}
	if plan := settings.Plans[0]; float64(sent) > plan.Burst+plan.Rate+1 {
		t.Errorf("%d attempts in a second for a quota with rate %v and burst %v", sent, plan.Rate, plan.Burst)
	}
}

// TestMaxInFlightCountsHandedOverRequests verifies that a limit on requests in flight includes those at the previous
// process until their time has passed.
func TestMaxInFlightCountsHandedOverRequests(t *testing.T) {
	settings := testSettings()
	settings.UseCounter = false
	settings.Gateways = 1
	list := testEndpoints(4)
	old := newTestBalancer(t, settings, list...)
	for i := range uint64(3) {
		if n := len(actionsOf[Dispatch](old.Step(time.Second, []Event{testRequest(i+1, 0, 3)}))); n != 1 {
			t.Fatalf("%d attempts dispatched, want 1", n)
		}
	}
	b, _ := handOver(t, old, settings, time.Second, list...)
	sends := 0
	for i := range uint64(4) {
		sends += len(actionsOf[Dispatch](b.Step(time.Second+ms, []Event{testRequest(i+1, 0, 3)})))
	}
	if sends != 1 {
		t.Errorf("%d attempts dispatched in addition to 3 at the previous process, want 1 for a limit of 4", sends)
	}
	cust := b.customers.find("c")
	b.Step(4*time.Second, []Event{
		TimerFired{requestCookie(handoverRequestIDs + 1)},
		TimerFired{requestCookie(handoverRequestIDs + 0)},
		TimerFired{requestCookie(handoverRequestIDs + 2)},
	})
	if cust.inFlight > 1 {
		t.Errorf("%d requests still count after their time has passed", cust.inFlight)
	}
}

// TestEstimatesAreHandedOver verifies that the estimates of classes and the states of slow, warming and ejected
// endpoints are handed over.
func TestEstimatesAreHandedOver(t *testing.T) {
	settings := settingsWithoutCounter()
	list := testEndpoints(4)
	old := newTestBalancer(t, settings, list...)
	old.Step(time.Second, []Event{testRequest(1, 0, 0)})
	old.latency.classes[0] = classEstimate{meanLatency: 0.2, idleLatency: 0.1, answers: 77}
	ep := old.endpoints.byName[list[0].Name]
	ep.slowStart.active = true
	ep.slowStart.since = time.Second
	ep.latency.factor = 2
	ep.concurrency.limit = 3
	ep.slowStart.budget.RecordDispatch(time.Second, 1)
	old.eject(old.endpoints.byName[list[1].Name])
	b, state := handOver(t, old, settings, 2*time.Second, list...)
	if k := b.latency.classes[0]; k.meanLatency != 0.2 || k.idleLatency != 0.1 || k.answers != 77 {
		t.Errorf("class estimate %+v was not handed over", k)
	}
	got := b.endpoints.byName[list[0].Name]
	if !got.slowStart.active || got.slowStart.since != time.Second || got.latency.factor != 2 ||
		got.concurrency.limit != 3 || len(got.slowStart.budget.Dispatches()) != 1 {
		t.Errorf("endpoint state %+v was not handed over", got)
	}
	if !b.endpoints.byName[list[1].Name].outlier.ejected {
		t.Error("an ejected endpoint is in use after the handover")
	}
	restarted := list[0]
	restarted.StartedAt = 1500 * ms // restarted since the export
	fresh, err := New(settings, 9)
	if err != nil {
		t.Fatal(err)
	}
	fresh.Step(
		2*time.Second,
		[]Event{EndpointUpdate{Kind: CachedSnapshot, Entries: []Endpoint{restarted}}, ImportHandover{state}},
	)
	if got := fresh.endpoints.byName[restarted.Name]; got.latency.factor == 2 ||
		got.slowStart.since != restarted.StartedAt {
		t.Errorf("the state of the endpoint's previous process was imported: %+v", got)
	}
}

// TestHandoverIsTakenBack verifies that a process that gets its exported state back has the same tokens as before.
func TestHandoverIsTakenBack(t *testing.T) {
	settings := testSettings()
	settings.UseCounter = false
	settings.Gateways = 1
	b := newTestBalancer(t, settings, testEndpoints(2)...)
	b.Step(time.Second, []Event{testRequest(1, 0, 1)})
	cust := b.customers.find("c")
	ceiling, fallback := b.refillCeiling(cust, &settings.Plans[1]), cust.quota.fallbackTokens
	exported := actionsOf[HandoverReady](b.Step(time.Second, []Event{BeginHandover{}}))
	if cust.ceiling.tokens > cust.ceiling.reserved || cust.quota.fallbackTokens > 0 {
		t.Errorf("tokens kept after export: ceiling %v, fallback %v", cust.ceiling.tokens, cust.quota.fallbackTokens)
	}
	b.Step(2*time.Second, []Event{testRequest(2, 0, 1)}) // nothing refills meanwhile
	b.Step(3*time.Second, []Event{ImportHandover{exported[0].State}})
	if math.Abs(cust.ceiling.tokens-ceiling) > 1e-9 || math.Abs(cust.quota.fallbackTokens-fallback) > 1e-9 {
		t.Errorf("ceiling %v, was %v; fallback %v, was %v",
			cust.ceiling.tokens, ceiling, cust.quota.fallbackTokens, fallback)
	}
	if b.handedOver {
		t.Error("the state still counts as handed over")
	}
}

// TestImportOfInvalidHandover verifies that a handover state that is invalid, or that was exported under other
// settings, can be imported.
func TestImportOfInvalidHandover(t *testing.T) {
	settings := testSettings()
	b := newTestBalancer(t, settings, testEndpoints(1)...)
	inf := math.Inf(1)
	b.Step(time.Second, []Event{
		ImportHandover{
			HandoverState{
				CallFraction:     -3,
				WarmEndpointRate: -1,
				Classes:          make([]ClassHandover, 9),
				Customers: []CustomerHandover{
					{Name: "a", Plan: 99, Gateways: 1},
					{Name: "b", Plan: -1},
					{Name: "c", Plan: 0},
					{Name: "d", Plan: 3, Gateways: 1,
						InFlightUntil: make([]time.Duration, 1000), CeilingTokens: inf, FallbackTokens: inf},
				},
				Endpoints: []EndpointHandover{
					{Name: "nobody"},
					{Name: "b0", StartedAt: 0, ConcurrencyLimit: -1, LatencyFactor: -1},
				},
			},
		},
	})
	for i := range uint64(20) {
		b.Step(time.Second+time.Duration(i)*20*ms, []Event{testRequest(i+1, 0, int(i)%4), TimerFired{0}})
	}
	if b.counter.callFraction < minCallFraction || b.counter.callFraction > 1 {
		t.Errorf("call fraction %v is out of range", b.counter.callFraction)
	}
}
