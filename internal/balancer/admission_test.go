package balancer

import (
	"testing"
	"time"
)

// Of what joins a queue, the worth decides how much of its time it may be expected to wait.
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
func TestShortageShedsOverQuotaRequests(t *testing.T) {
	sent := func(short float64) int {
		settings := testSettings()
		settings.UseCounter, settings.Gateways = false, 1
		settings.Plans[1].CeilingRate, settings.Plans[1].CeilingBurst = 0, 0
		b := newTestBalancer(t, settings, testEndpoints(8)...)
		n := 0
		for i := range uint64(400) {
			now := time.Duration(i) * 5 * ms
			b.shortage = short
			for _, s := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(i, 0, 1)})) {
				if b.requests[i].level == lowestLevel {
					n++
				}
				b.Step(now+4*ms, []Event{succeeded(s, 0, 4*ms)})
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
		t.Fatalf("%.2f of the paid requests are taken to find no place, while the one server answers nothing", high)
	}
	b = newTestBalancer(t, settings, testEndpoints(1)...)
	b.shortage = high
	for i := range uint64(200) {
		now := time.Duration(i) * 20 * ms
		for _, s := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(i, 0, 0)})) {
			b.Step(now+5*ms, []Event{succeeded(s, 0, 5*ms)})
		}
	}
	if b.shortage > high/5 {
		t.Errorf("%.2f, and %.2f after two hundred that all found a place", high, b.shortage)
	}
}

// What came while the door stood still and is past use is refused, not sent.
func TestOldRequestAfterStallIsRejected(t *testing.T) {
	b := newTestBalancer(t, testSettings(), testEndpoints(4)...)
	b.Step(ms, []Event{testRequest(1, 0, 2)})
	old := testRequest(2, 0, 2)
	old.TimeLeft = 2*time.Second - 490*ms
	if acts := b.Step(time.Second, []Event{old}); len(actionsOf[Dispatch](acts)) != 0 || len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("a request that has waited for 490 of its 500 ms: %v", acts)
	}
}

// Where a door has little evidence, answers that are slow for a moment refuse nothing of the highest worth; those that
// take most of
// the time left do, but for a few whose answers tell when it is over.
func TestShedByLatencyWithLittleEvidence(t *testing.T) {
	b := newTestBalancer(t, largeFleetSettings(80), testEndpoints(20)...)
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
