package balancer

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// handOver hands one door's memory to a fresh one, through the form in which processes send it.
func handOver(
	t *testing.T,
	from *Balancer,
	settings Settings,
	at time.Duration,
	list ...Endpoint,
) (*Balancer, HandoverState) {
	t.Helper()
	handed := actionsOf[HandoverReady](from.Step(at, []Event{BeginHandover{}}))
	if len(handed) != 1 {
		t.Fatalf("%d memories", len(handed))
	}
	text, err := json.Marshal(handed[0].State)
	if err != nil {
		t.Fatal(err)
	}
	var m HandoverState
	if err := json.Unmarshal(text, &m); err != nil {
		t.Fatal(err)
	}
	to, err := New(settings, 8)
	if err != nil {
		t.Fatal(err)
	}
	to.Step(at, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: list}, ImportHandover{m}})
	return to, m
}

// A ceiling holds over any number of doors that take each other's place, old ones still sending what they had queued.
func TestCeilingHoldsOverHandovers(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 3))
		settings := testSettings()
		settings.UseCounter, settings.Gateways = false, 1
		settings.Plans[1] = Plan{PriorityFactor: 1, OverQuotaWeight: 0.2, CeilingRate: 20, CeilingBurst: 40}
		list := testEndpoints(3)
		doors := []*Balancer{newTestBalancer(t, settings, list...)}
		sent, id, at := 0.0, uint64(0), time.Duration(0)
		type out struct {
			d *Balancer
			s Dispatch
		}
		var outs []out
		step := func(b *Balancer, evs ...Event) {
			for _, s := range actionsOf[Dispatch](b.Step(at, evs)) {
				sent++
				outs = append(outs, out{b, s})
			}
		}
		for at < 30*time.Second {
			at += 20 * ms
			last := doors[len(doors)-1]
			for range rng.IntN(3) {
				id++
				step(last, testRequest(id, 0, 1))
			}
			for len(outs) > 2 && rng.IntN(2) == 0 {
				o := outs[0]
				outs = outs[1:]
				step(
					o.d,
					AttemptResult{
						ID:            o.s.ID,
						Endpoint:      o.s.Endpoint,
						Status:        OK,
						Latency:       50 * ms,
						RequestClosed: true,
					},
				)
			}
			for _, b := range doors {
				step(b, TimerFired{0})
			}
			if rng.IntN(40) == 0 {
				next, _ := handOver(t, last, settings, at, list...)
				doors = append(doors, next)
			}
			if most := 40 + 20*at.Seconds() + 1; sent > most {
				t.Fatalf(
					"seed %d: %.0f sent in %v over %d doors, the ceiling gives %.0f",
					seed,
					sent,
					at,
					len(doors),
					most,
				)
			}
		}
		if sent < 20*at.Seconds()*0.8 || len(doors) < 10 {
			t.Errorf("seed %d: %.0f sent over %d doors", seed, sent, len(doors))
		}
	}
}

// Tokens and spare are handed on once: a customer of many successors gets no new burst from each.
func TestQuotaIsHandedOverOnce(t *testing.T) {
	settings := testSettings()
	settings.UseCounter, settings.Gateways = false, 1
	list := testEndpoints(3)
	b := newTestBalancer(t, settings, list...)
	sent, id := 0, uint64(0)
	for i := range 10 {
		at := time.Duration(i) * 100 * ms
		for range 20 {
			id++
			for _, s := range actionsOf[Dispatch](b.Step(at, []Event{testRequest(id, 0, 0)})) {
				sent++
				b.Step(
					at,
					[]Event{
						AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: OK, Latency: ms, RequestClosed: true},
					},
				)
			}
		}
		b, _ = handOver(t, b, settings, at, list...)
	}
	if plan := settings.Plans[0]; float64(sent) > plan.Burst+plan.Rate+1 {
		t.Errorf("%d sent in a second of a quota of %v and %v", sent, plan.Rate, plan.Burst)
	}
}

// A cap on what is open at once counts what is open at the door before, until its time is over.
func TestMaxInFlightCountsHandedOverRequests(t *testing.T) {
	settings := testSettings()
	settings.UseCounter, settings.Gateways = false, 1
	list := testEndpoints(4)
	old := newTestBalancer(t, settings, list...)
	for i := range uint64(3) {
		if n := len(actionsOf[Dispatch](old.Step(time.Second, []Event{testRequest(i+1, 0, 3)}))); n != 1 {
			t.Fatalf("%d sends", n)
		}
	}
	b, _ := handOver(t, old, settings, time.Second, list...)
	sends := 0
	for i := range uint64(4) {
		sends += len(actionsOf[Dispatch](b.Step(time.Second+ms, []Event{testRequest(i+1, 0, 3)})))
	}
	if sends != 1 {
		t.Errorf("%d sent beside 3 at the old door; the cap is 4", sends)
	}
	cust := b.customers.find("c")
	acts := b.Step(
		4*time.Second,
		[]Event{
			TimerFired{(handoverRequestIDs+1)<<1 | 1},
			TimerFired{(handoverRequestIDs+0)<<1 | 1},
			TimerFired{(handoverRequestIDs+2)<<1 | 1},
		},
	)
	_ = acts
	if cust.inFlight > 1 {
		t.Errorf("%d still count when their time is over", cust.inFlight)
	}
}

// What a door has learned goes along: classes, slow and cold servers, those left out, and sends to cold ones.
func TestEstimatesAreHandedOver(t *testing.T) {
	settings := settingsWithoutCounter()
	list := testEndpoints(4)
	old := newTestBalancer(t, settings, list...)
	old.Step(time.Second, []Event{testRequest(1, 0, 0)})
	old.latency.classes[0] = classEstimate{meanLatency: 0.2, idleLatency: 0.1, answers: 77}
	ep := old.endpoints.byName[list[0].Name]
	ep.slowStart.active, ep.slowStart.since, ep.latency.factor, ep.concurrency.limit = true, time.Second, 2, 3
	ep.slowStart.budget.RecordDispatch(time.Second, 1)
	old.eject(old.endpoints.byName[list[1].Name])
	b, m := handOver(t, old, settings, 2*time.Second, list...)
	if k := b.latency.classes[0]; k.meanLatency != 0.2 || k.idleLatency != 0.1 || k.answers != 77 {
		t.Errorf("%+v", k)
	}
	got := b.endpoints.byName[list[0].Name]
	if !got.slowStart.active || got.slowStart.since != time.Second || got.latency.factor != 2 || got.concurrency.limit != 3 ||
		len(got.slowStart.budget.Dispatches()) != 1 {
		t.Errorf("%+v", got)
	}
	if !b.endpoints.byName[list[1].Name].outlier.ejected {
		t.Error("a server that was left out is used")
	}
	again := list[0]
	again.StartedAt = 1500 * ms // another process than the one that is known
	fresh, err := New(settings, 9)
	if err != nil {
		t.Fatal(err)
	}
	fresh.Step(
		2*time.Second,
		[]Event{EndpointUpdate{Kind: CachedSnapshot, Entries: []Endpoint{again}}, ImportHandover{m}},
	)
	if got := fresh.endpoints.byName[again.Name]; got.latency.factor == 2 || got.slowStart.since != again.StartedAt {
		t.Errorf("what is known of another process: %+v", got)
	}
}

// A door that gets back what nobody took goes on as before.
func TestHandoverIsTakenBack(t *testing.T) {
	settings := testSettings()
	settings.UseCounter, settings.Gateways = false, 1
	b := newTestBalancer(t, settings, testEndpoints(2)...)
	b.Step(time.Second, []Event{testRequest(1, 0, 1)})
	cust := b.customers.find("c")
	ceil, spare := b.refillCeiling(cust, &settings.Plans[1]), cust.quota.fallbackTokens
	handed := actionsOf[HandoverReady](b.Step(time.Second, []Event{BeginHandover{}}))
	if cust.ceiling.tokens > cust.ceiling.reserved || cust.quota.fallbackTokens > 0 {
		t.Errorf("kept: ceiling %v, spare %v", cust.ceiling.tokens, cust.quota.fallbackTokens)
	}
	b.Step(2*time.Second, []Event{testRequest(2, 0, 1)}) // it fills nothing meanwhile
	b.Step(3*time.Second, []Event{ImportHandover{handed[0].State}})
	if math.Abs(cust.ceiling.tokens-ceil) > 1e-9 || math.Abs(cust.quota.fallbackTokens-spare) > 1e-9 {
		t.Errorf("ceiling %v, was %v; spare %v, was %v", cust.ceiling.tokens, ceil, cust.quota.fallbackTokens, spare)
	}
	if b.handedOver {
		t.Error("still away")
	}
}

// Handover state may be from other settings, or invalid.
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
		t.Errorf("call fraction %v", b.counter.callFraction)
	}
}
