package balancer

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings with a plan with a hard quota, one with a soft quota and a ceiling, one without a
// quota, and one with MaxInFlight.
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

// settingsWithoutCounter returns settings for one gateway with health checks, no counter, and no quota in plan 0.
func settingsWithoutCounter() Settings {
	settings := testSettings()
	settings.UseCounter, settings.Gateways, settings.AllowHealthChecks = false, 1, true
	settings.Plans[0] = Plan{PriorityFactor: 1}
	return settings
}

// singleGatewaySettings returns settings for one gateway with health checks and no counter.
func singleGatewaySettings() Settings {
	settings := testSettings()
	settings.Gateways, settings.UseCounter, settings.AllowHealthChecks = 1, false, true
	return settings
}

// largeFleetSettings returns settings for a given number of gateways, which is meant to exceed the units of a
// customer's burst.
func largeFleetSettings(gateways int) Settings {
	settings := testSettings()
	settings.Gateways = gateways
	return settings
}

// newTestBalancer returns a Balancer that has received a list of endpoints.
func newTestBalancer(t testing.TB, settings Settings, list ...Endpoint) *Balancer {
	t.Helper()
	b, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: list}})
	return b
}

// newSingleGateway returns the Balancer of a single gateway without a counter.
func newSingleGateway(t *testing.T, endpoints int) *Balancer {
	t.Helper()
	settings := testSettings()
	settings.UseCounter, settings.Gateways = false, 1
	return newTestBalancer(t, settings, testEndpoints(endpoints)...)
}

// newTrainedBalancer returns a Balancer that has observed a latency of 40 ms for requests of one unit and 280 ms for
// requests of four units.
func newTrainedBalancer(t *testing.T, list ...Endpoint) *Balancer {
	t.Helper()
	settings := testSettings()
	settings.UseCounter = false
	b := newTestBalancer(t, settings, list...)
	for i := range uint64(400) {
		request, latency := testRequest(i, 0, 2), 40*ms
		if i%2 == 1 {
			request.Units, latency = 4, 280*ms
		}
		now := time.Duration(i) * 300 * ms
		for _, dispatch := range actionsOf[Dispatch](b.Step(now, []Event{request})) {
			b.Step(now+latency, []Event{succeeded(dispatch, 0, latency)})
		}
	}
	return b
}

// testEndpoints returns n endpoints, two per cell.
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

// singleDispatch returns the only Dispatch of a Step and fails the test if there is not exactly one.
func singleDispatch(t *testing.T, actions []Action) Dispatch {
	t.Helper()
	all := actionsOf[Dispatch](actions)
	if len(all) != 1 {
		t.Fatalf("got %d dispatches, want 1: %+v", len(all), actions)
	}
	return all[0]
}

// testRequest returns a request of one unit by customer c.
func testRequest(id uint64, class, plan int) Request {
	return Request{ID: id, Class: class, Plan: plan, Customer: "c", TimeLeft: 2 * time.Second, Units: 1}
}

// testRequests returns requests of one unit by customer c with the given IDs.
func testRequests(class, plan int, ids ...uint64) []Event {
	var events []Event
	for _, id := range ids {
		events = append(events, testRequest(id, class, plan))
	}
	return events
}

// admitOnlyRequest returns an admission-only request of one unit.
func admitOnlyRequest(id uint64, plan int) Request {
	request := testRequest(id, 0, plan)
	request.AdmitOnly = true
	return request
}

// succeeded returns the result of an attempt that ended with OK.
func succeeded(dispatch Dispatch, attempt int, latency time.Duration) AttemptResult {
	result := resultOf(dispatch, OK, latency)
	result.Attempt = attempt
	result.RequestClosed = true
	return result
}

// resultOf returns the result of a request's first attempt.
func resultOf(dispatch Dispatch, status Status, latency time.Duration) AttemptResult {
	return AttemptResult{ID: dispatch.ID, Endpoint: dispatch.Endpoint, Status: status, Latency: latency}
}

// sendRequests sends n requests one by one, answers each attempt immediately, and counts the attempts by endpoint.
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

// fakeCounter is a counter that answers every call immediately and without errors.
type fakeCounter struct {
	// totals holds the totals by counter name.
	totals map[uint64]float64
	// calls is the number of calls so far.
	calls int
}

// newFakeCounter returns a counter whose totals are all 0.
func newFakeCounter() *fakeCounter { return &fakeCounter{totals: map[uint64]float64{}} }

// answer returns the results of the counter calls in a list of actions.
func (counter *fakeCounter) answer(actions []Action) (events []Event) {
	for _, call := range actionsOf[CounterAdd](actions) {
		counter.calls++
		counter.totals[call.Name] += call.Amount
		events = append(events, CounterResult{call.Name, OK, counter.totals[call.Name]})
	}
	return events
}

// spendFallback spends a customer's fallback share and returns the counter call on which the next request waits.
func spendFallback(t *testing.T, b *Balancer, now time.Duration) CounterAdd {
	t.Helper()
	for i := range 20 {
		if calls := actionsOf[CounterAdd](b.Step(now, []Event{testRequest(uint64(100+i), 0, 0)})); len(calls) == 1 {
			return calls[0]
		}
	}
	t.Fatal("no counter call after 20 requests")
	return CounterAdd{}
}
