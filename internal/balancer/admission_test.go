package balancer

import (
	"testing"
	"time"
)

// The priority weight decides how long a request that joins a queue may be expected to wait.
func TestPriorityDecidesQueueLength(t *testing.T) {
	joined := func(class int) int {
		settings := testSettings()
		settings.UseCounter, settings.Gateways = false, 1
		settings.Plans[0] = Plan{Rate: 1e6, Burst: 1e6, PriorityFactor: 1}
		settings.Classes = []Class{settings.Classes[0], settings.Classes[0]}
		settings.Classes[1].PriorityWeight = 8
		b := newTestBalancer(t, settings, testEndpoints(1)...)
		n := 0
		for i := range uint64(100) {
			b.Step(time.Second, []Event{testRequest(i, class, 0)})
		}
		for _, req := range b.requests {
			if req.attempts.open == 0 {
				n++
			}
		}
		return n
	}
	if low, high := joined(0), joined(1); high < 3*low || low == 0 {
		t.Errorf("%d requests of low and %d of high priority may wait; want three times as many of high",
			low, high)
	}
}

// Requests over a quota find a free slot as long as those within their quota do, and none once many of those do not.
func TestShortageShedsOverQuotaRequests(t *testing.T) {
	dispatched := func(shortage float64) int {
		settings := testSettings()
		settings.UseCounter, settings.Gateways = false, 1
		settings.Plans[1].CeilingRate, settings.Plans[1].CeilingBurst = 0, 0
		b := newTestBalancer(t, settings, testEndpoints(8)...)
		n := 0
		for i := range uint64(400) {
			now := time.Duration(i) * 5 * ms
			b.shortage = shortage
			for _, dispatch := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(i, 0, 1)})) {
				if b.requests[i].level == lowestLevel {
					n++
				}
				b.Step(now+4*ms, []Event{succeeded(dispatch, 0, 4*ms)})
			}
		}
		return n
	}
	if without, with := dispatched(0), dispatched(0.6); without < 100 || with != 0 {
		t.Errorf("%d of 400 are dispatched over the quota without shortage, %d with it; want most of them, and none",
			without, with)
	}
}

// The shortage rises while requests within their quota find no free slot, and falls when they do.
func TestShortageFollowsRequestsWithinQuota(t *testing.T) {
	settings := testSettings()
	settings.UseCounter, settings.Gateways = false, 1
	settings.Plans[0] = Plan{Rate: 1e6, Burst: 1e6, PriorityFactor: 1}
	b := newTestBalancer(t, settings, testEndpoints(1)...)
	for i := range uint64(60) { // nothing is answered
		b.Step(time.Second, []Event{testRequest(i, 0, 0)})
	}
	high := b.shortage
	if high < 0.3 {
		t.Fatalf("shortage %.2f, while the one endpoint answers nothing", high)
	}
	b = newTestBalancer(t, settings, testEndpoints(1)...)
	b.shortage = high
	for i := range uint64(200) {
		now := time.Duration(i) * 20 * ms
		for _, dispatch := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(i, 0, 0)})) {
			b.Step(now+5*ms, []Event{succeeded(dispatch, 0, 5*ms)})
		}
	}
	if b.shortage > high/5 {
		t.Errorf("shortage %.2f, and %.2f after two hundred requests that all found a free slot", high, b.shortage)
	}
}

// A request that came while the gateway stood still and can't be in time any more is rejected, not dispatched.
func TestOldRequestAfterStallIsRejected(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(4)...)
	b.Step(ms, []Event{testRequest(1, 0, 2)})
	old := testRequest(2, 0, 2)
	old.TimeLeft = 2*time.Second - 490*ms
	actions := b.Step(time.Second, []Event{old})
	if len(actionsOf[Dispatch](actions)) != 0 || len(actionsOf[Reject](actions)) != 1 {
		t.Errorf("a request that has waited for 490 of its 500 ms: %v", actions)
	}
}

// Where a gateway has little evidence of each endpoint, answers that are slow for a moment reject no request of the
// highest level. Answers that take most of the time left do, but for a few requests whose answers tell when it is
// over.
func TestShedByLatencyWithLittleEvidence(t *testing.T) {
	b := newTestBalancer(t, largeFleetSettings(80), testEndpoints(20)...)
	b.latency.classes[1].meanLatency, b.latency.classes[1].idleLatency = 0.05, 0.05
	rejected := func(slower float64) (n int) {
		b.latency.fleetSlowdown = slower
		for range 1000 {
			if b.shouldShed(&request{class: 1, cost: 1, timeLimit: 600 * ms}, b.endpoints.ordered[0]) {
				n++
			}
		}
		return n
	}
	if n := rejected(4); n != 0 { // 200 of 600 ms
		t.Errorf("%d of 1000 rejected while answers take a third of the time left", n)
	}
	if n := rejected(12); n < 900 || n == 1000 {
		t.Errorf("%d of 1000 rejected while answers take all of the time left", n)
	}
}
