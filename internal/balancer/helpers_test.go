package balancer

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings is a deployment with a hard plan, a soft one with a ceiling, and one without quota.
func testSettings() Settings {
	return Settings{
		Gateways:          2,
		Resolution:        2 * ms,
		MaxAttempts:       3,
		AllowCancel:       true,
		SendRetryAfter:    true,
		MaxRetryAfter:     time.Second,
		DeadlineSlack:     8 * ms,
		DrainGrace:        500 * ms,
		OverloadMultiple:  3,
		OverloadWindow:    2 * time.Second,
		SlowStartCapacity: 0.25,
		SlowStartDuration: 15 * time.Second,
		UseCounter:        true,
		CounterTimeout:    50 * ms,
		MaxRequestUnits:   4,
		Classes: []Class{
			{PriorityWeight: 1, LatencyObjective: 500 * ms, ClientTimeout: 2 * time.Second, Idempotency: Idempotent},
			{
				PriorityWeight:   5,
				LatencyObjective: 600 * ms,
				ClientTimeout:    2 * time.Second,
				Idempotency:      IdempotentByKey,
				DedupScope:       DedupCell,
				DedupWindow:      time.Second,
			},
			{PriorityWeight: 5, LatencyObjective: 600 * ms, ClientTimeout: 2 * time.Second, Idempotency: NonIdempotent},
		},
		Plans: []Plan{
			{Rate: 2, Burst: 8, PriorityFactor: 1, OverQuotaCost: 0.5},
			{Rate: 10, Burst: 20, PriorityFactor: 1, OverQuotaWeight: 0.2, CeilingRate: 20, CeilingBurst: 40},
			{PriorityFactor: 1},
			{Rate: 100, Burst: 100, MaxInFlight: 4, PriorityFactor: 1, OverQuotaCost: 0.5},
		},
	}
}

func settingsWithoutCounter() Settings {
	settings := testSettings()
	settings.UseCounter, settings.Gateways, settings.AllowHealthChecks = false, 1, true
	settings.Plans[0] = Plan{PriorityFactor: 1}
	return settings
}

func singleGatewaySettings() Settings {
	settings := testSettings()
	settings.Gateways, settings.UseCounter, settings.AllowHealthChecks = 1, false, true
	return settings
}

// largeFleetSettings is a deployment with more doors than a customer's burst has units.
func largeFleetSettings(doors int) Settings {
	settings := testSettings()
	settings.Gateways = doors
	return settings
}

func newTestBalancer(t testing.TB, settings Settings, list ...Endpoint) *Balancer {
	t.Helper()
	b, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: list}})
	return b
}

// newSingleGateway is a door with no counter whose requests have neither quota nor ceiling (plan 2).
func newSingleGateway(t *testing.T, servers int) *Balancer {
	t.Helper()
	settings := testSettings()
	settings.UseCounter, settings.Gateways = false, 1
	return newTestBalancer(t, settings, testEndpoints(servers)...)
}

// newTrainedBalancer is a door that has seen requests of one unit take 40 ms and those of four 280 ms.
func newTrainedBalancer(t *testing.T, list ...Endpoint) *Balancer {
	t.Helper()
	settings := testSettings()
	settings.UseCounter = false
	b := newTestBalancer(t, settings, list...)
	for i := range uint64(400) {
		request, took := testRequest(i, 0, 2), 40*ms
		if i%2 == 1 {
			request.Units, took = 4, 280*ms
		}
		now := time.Duration(i) * 300 * ms
		for _, s := range actionsOf[Dispatch](b.Step(now, []Event{request})) {
			b.Step(now+took, []Event{succeeded(s, 0, took)})
		}
	}
	return b
}

func testEndpoints(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{Name: fmt.Sprint("b", i), Cell: i / 2, Weight: 1})
	}
	return list
}

// actionsOf picks the actions of one kind.
func actionsOf[A Action](acts []Action) (got []A) {
	for _, a := range acts {
		if a, ok := a.(A); ok {
			got = append(got, a)
		}
	}
	return got
}

// singleDispatch is the one Send of a Step.
func singleDispatch(t *testing.T, acts []Action) Dispatch {
	t.Helper()
	all := actionsOf[Dispatch](acts)
	if len(all) != 1 {
		t.Fatalf("%d sends in %+v", len(all), acts)
	}
	return all[0]
}

func testRequest(id uint64, class, plan int) Request {
	return Request{ID: id, Class: class, Plan: plan, Customer: "c", TimeLeft: 2 * time.Second, Units: 1}
}

func admitOnlyRequest(id uint64, plan int) Request {
	request := testRequest(id, 0, plan)
	request.AdmitOnly = true
	return request
}

func succeeded(s Dispatch, n int, took time.Duration) AttemptResult {
	return AttemptResult{ID: s.ID, Attempt: n, Endpoint: s.Endpoint, Status: OK, Latency: took, RequestClosed: true}
}

// sendRequests steps a door with n requests at a time, answers all sends at once, and counts them by server.
func sendRequests(b *Balancer, at time.Duration, first uint64, n int) map[string]int {
	to := map[string]int{}
	for i := range uint64(n) {
		acts := b.Step(at, []Event{testRequest(first+i, 0, 0)})
		for len(acts) > 0 {
			var evs []Event
			for _, s := range actionsOf[Dispatch](acts) {
				to[s.Endpoint]++
				evs = append(
					evs,
					AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: OK, Latency: 5 * ms, RequestClosed: true},
				)
			}
			if evs == nil {
				break
			}
			acts = b.Step(at, evs)
		}
	}
	return to
}

// fakeCounter is a counter without faults that answers at once; lose makes it forget all.
type fakeCounter struct {
	n     map[uint64]float64
	calls int
}

func (l *fakeCounter) answer(acts []Action) (evs []Event) {
	for _, c := range actionsOf[CounterAdd](acts) {
		l.calls++
		l.n[c.Name] += c.Amount
		evs = append(evs, CounterResult{c.Name, OK, l.n[c.Name]})
	}
	return evs
}
