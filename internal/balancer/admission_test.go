package balancer

import (
	"testing"
	"time"
)

// TestPriorityDecidesQueueLength verifies that a request of higher priority weight may join a longer queue.
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
		t.Errorf("%d requests of low and %d of high priority were queued; want at least three times as many of high",
			low, high)
	}
}

// TestShortageShedsOverQuotaRequests verifies that requests over a quota are dispatched while requests within their
// quota find free slots, and that none is dispatched once many of those do not.
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
		t.Errorf("%d of 400 requests over the quota dispatched without shortage, %d with it; want at least 100 and 0",
			without, with)
	}
}

// TestShortageFollowsRequestsWithinQuota verifies that the shortage rises while requests within their quota find no
// free slot, and falls while they find one.
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
		t.Fatalf("shortage %.2f while the only endpoint answers nothing; want at least 0.3", high)
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
		t.Errorf("shortage was %.2f, and still %.2f after 200 requests that all found a free slot", high, b.shortage)
	}
}

// TestOldRequestAfterStallIsRejected verifies that a request that arrived while the gateway was stalled, and can no
// longer be answered in time, is rejected instead of dispatched.
func TestOldRequestAfterStallIsRejected(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(4)...)
	b.Step(ms, []Event{testRequest(1, 0, 2)})
	old := testRequest(2, 0, 2)
	old.TimeLeft = 2*time.Second - 490*ms
	actions := b.Step(time.Second, []Event{old})
	if len(actionsOf[Dispatch](actions)) != 0 || len(actionsOf[Reject](actions)) != 1 {
		t.Errorf("a request that waited for 490 of its 500 ms must be rejected and not dispatched: %v", actions)
	}
}

// TestShedByLatencyWithLittleEvidence verifies load shedding by latency at a gateway with little evidence about each
// endpoint. A moderate slowdown causes no rejection of requests of the highest level. Answers that take all of the time
// left cause the rejection of all but a few requests, whose answers show when the overload is over.
func TestShedByLatencyWithLittleEvidence(t *testing.T) {
	b := newTestBalancer(t, largeFleetSettings(80), testEndpoints(20)...)
	b.latency.classes[1].meanLatency, b.latency.classes[1].idleLatency = 0.05, 0.05
	rejected := func(slower float64) (n int) {
		b.latency.fleetSlowdown = slower
		for range 1000 {
			if b.shouldShed(&request{class: 1, cost: 1, usefulFor: 600 * ms}, b.endpoints.ordered[0]) {
				n++
			}
		}
		return n
	}
	if n := rejected(4); n != 0 { // 200 of 600 ms
		t.Errorf("%d of 1000 rejected while answers take a third of the time left; want none", n)
	}
	if n := rejected(12); n < 900 || n == 1000 {
		t.Errorf("%d of 1000 rejected while answers take all of the time left; want 900 to 999", n)
	}
}
