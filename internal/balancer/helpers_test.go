package balancer

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings has a plan with a hard quota, one with a soft quota and a ceiling, one without quota, and one with
// MaxInFlight.
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

// settingsWithoutCounter has one gateway, health checks, and no quota in plan 0.
func settingsWithoutCounter() Settings {
	settings := testSettings()
	settings.UseCounter, settings.Gateways, settings.AllowHealthChecks = false, 1, true
	settings.Plans[0] = Plan{PriorityFactor: 1}
	return settings
}

// singleGatewaySettings has one gateway, health checks and no counter.
func singleGatewaySettings() Settings {
	settings := testSettings()
	settings.Gateways, settings.UseCounter, settings.AllowHealthChecks = 1, false, true
	return settings
}

// largeFleetSettings has more gateways than a customer's burst has units.
func largeFleetSettings(gateways int) Settings {
	settings := testSettings()
	settings.Gateways = gateways
	return settings
}

// newTestBalancer returns a Balancer that knows some endpoints.
func newTestBalancer(t testing.TB, settings Settings, list ...Endpoint) *Balancer {
	t.Helper()
	b, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: list}})
	return b
}

// newSingleGateway returns a Balancer of a single gateway without a counter.
func newSingleGateway(t *testing.T, endpoints int) *Balancer {
	t.Helper()
	settings := testSettings()
	settings.UseCounter, settings.Gateways = false, 1
	return newTestBalancer(t, settings, testEndpoints(endpoints)...)
}

// newTrainedBalancer returns a Balancer that has seen requests of one unit take 40 ms and of four units 280 ms.
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
		for _, dispatch := range actionsOf[Dispatch](b.Step(now, []Event{request})) {
			b.Step(now+took, []Event{succeeded(dispatch, 0, took)})
		}
	}
	return b
}

// testEndpoints returns n endpoints, two in each cell.
func testEndpoints(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{Name: fmt.Sprint("b", i), Cell: i / 2, Weight: 1})
	}
	return list
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](actions []Action) (got []A) {
	for _, a := range actions {
		if a, ok := a.(A); ok {
			got = append(got, a)
		}
	}
	return got
}

// singleDispatch returns the only Dispatch of a Step.
func singleDispatch(t *testing.T, actions []Action) Dispatch {
	t.Helper()
	all := actionsOf[Dispatch](actions)
	if len(all) != 1 {
		t.Fatalf("%d dispatches in %+v", len(all), actions)
	}
	return all[0]
}

// testRequest returns a request of one unit of customer c.
func testRequest(id uint64, class, plan int) Request {
	return Request{ID: id, Class: class, Plan: plan, Customer: "c", TimeLeft: 2 * time.Second, Units: 1}
}

// testRequests returns requests of one unit of customer c, with the IDs given.
func testRequests(class, plan int, ids ...uint64) []Event {
	var events []Event
	for _, id := range ids {
		events = append(events, testRequest(id, class, plan))
	}
	return events
}

// admitOnlyRequest returns a request of one unit for admission only.
func admitOnlyRequest(id uint64, plan int) Request {
	request := testRequest(id, 0, plan)
	request.AdmitOnly = true
	return request
}

// succeeded is the result of an attempt that was answered.
func succeeded(dispatch Dispatch, attempt int, latency time.Duration) AttemptResult {
	result := resultOf(dispatch, OK, latency)
	result.Attempt = attempt
	result.RequestClosed = true
	return result
}

// resultOf is the result of a first attempt.
func resultOf(dispatch Dispatch, status Status, latency time.Duration) AttemptResult {
	return AttemptResult{ID: dispatch.ID, Endpoint: dispatch.Endpoint, Status: status, Latency: latency}
}

// sendRequests steps a Balancer with n requests one by one, answers each attempt at once, and counts the attempts by
// endpoint.
func sendRequests(b *Balancer, at time.Duration, firstID uint64, n int) map[string]int {
	attempts := map[string]int{}
	for i := range uint64(n) {
		actions := b.Step(at, []Event{testRequest(firstID+i, 0, 0)})
		for len(actions) > 0 {
			var results []Event
			for _, dispatch := range actionsOf[Dispatch](actions) {
				attempts[dispatch.Endpoint]++
				results = append(results, succeeded(dispatch, 0, 5*ms))
			}
			if results == nil {
				break
			}
			actions = b.Step(at, results)
		}
	}
	return attempts
}

// fakeCounter is a counter that answers at once and without faults.
type fakeCounter struct {
	// totals has the totals by counter name.
	totals map[uint64]float64
	// calls is the number of calls so far.
	calls int
}

// newFakeCounter returns a counter whose totals are all 0.
func newFakeCounter() *fakeCounter { return &fakeCounter{totals: map[uint64]float64{}} }

// answer returns the results of the calls among some actions.
func (counter *fakeCounter) answer(actions []Action) (events []Event) {
	for _, call := range actionsOf[CounterAdd](actions) {
		counter.calls++
		counter.totals[call.Name] += call.Amount
		events = append(events, CounterResult{call.Name, OK, counter.totals[call.Name]})
	}
	return events
}

// spendFallback spends a customer's fallback share and returns the counter call that the next request waits for.
func spendFallback(t *testing.T, b *Balancer, now time.Duration) CounterAdd {
	t.Helper()
	for i := range 20 {
		if c := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(uint64(100+i), 0, 0)})); len(c) == 1 {
			return c[0]
		}
	}
	t.Fatal("no call for a lease")
	return CounterAdd{}
}
