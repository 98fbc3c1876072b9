package simulator

import (
	"testing"
	"time"

	"gapgap/internal/balancer"
)

// businessPlan is the plan of the workload that was measured externally.
var businessPlan = balancer.Plan{
	Rate:            5,
	Burst:           10,
	PriorityFactor:  1,
	OverQuotaWeight: 0.2,
	CeilingRate:     10,
	CeilingBurst:    20,
}

// testSettings returns the settings of each gateway in a fleet of the given size.
func testSettings(gateways int, leaseCeilings bool, plans ...balancer.Plan) balancer.Settings {
	return balancer.Settings{
		Gateways:          gateways,
		Resolution:        2 * time.Millisecond,
		MaxAttempts:       3,
		AllowCancel:       true,
		SendRetryAfter:    true,
		MaxRetryAfter:     5 * time.Second,
		DrainGrace:        250 * time.Millisecond,
		OverloadMultiple:  3,
		OverloadWindow:    3 * time.Second,
		SlowStartCapacity: 0.26,
		SlowStartDuration: 15 * time.Second,
		UseCounter:        true,
		CounterTimeout:    50 * time.Millisecond,
		MaxRequestUnits:   1,
		LeaseCeilings:     leaseCeilings,
		Classes: []balancer.Class{{
			PriorityWeight:   1,
			LatencyObjective: time.Second,
			ClientTimeout:    3 * time.Second,
		}},
		Plans: plans,
	}
}

// ceilingBucket is the token bucket of a ceiling, charged with what is actually forwarded.
type ceilingBucket struct {
	plan  balancer.Plan
	level float64
	// lowest is the lowest level so far; negative if the ceiling was exceeded.
	lowest float64
	// updatedAt is 0 before the first unit.
	updatedAt time.Duration
	// taken is the sum of all units taken.
	taken float64
}

// take refills the bucket and takes units; the level becomes negative if there are too few.
func (b *ceilingBucket) take(now time.Duration, units float64) {
	if b.updatedAt == 0 {
		b.level = b.plan.CeilingBurst
		b.updatedAt = now
	}
	b.level = min(b.plan.CeilingBurst, b.level+b.plan.CeilingRate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	b.level -= units
	b.lowest = min(b.lowest, b.level)
	b.taken += units
}

// ceilingWorld is a world with gateways in which the use of one ceiling is measured.
type ceilingWorld struct {
	*World
	bucket ceilingBucket
	// unitsBySecond are the units forwarded in each second since the start.
	unitsBySecond map[int]float64
	requests      int
}

// newCeilingWorld returns a world with started gateways.
func newCeilingWorld(
	t testing.TB, seed uint64, gateways int, leaseCeilings bool, plan balancer.Plan,
) *ceilingWorld {
	t.Helper()
	w := &ceilingWorld{
		World:         New(seed, 6),
		bucket:        ceilingBucket{plan: plan},
		unitsBySecond: map[int]float64{},
	}
	for range gateways {
		g := w.AddGateway(testSettings(gateways, leaseCeilings, plan))
		g.Sent = func(r *Request) {
			w.bucket.take(w.Now, r.Units)
			w.unitsBySecond[int((w.Now-Start)/time.Second)] += r.Units
		}
		if err := g.Start(); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

// sendRequests sends requests of one customer at a constant rate. Each goes to the gateway whose index the function
// returns for the time since the start and the number of the request.
func (w *ceilingWorld) sendRequests(
	from, to time.Duration, rate float64, admitOnly bool, gateway func(now time.Duration, n int) int,
) {
	interval := time.Duration(float64(time.Second) / rate)
	n := 0
	var next func()
	next = func() {
		if w.Now-Start >= to {
			return
		}
		w.requests++
		w.Gateways[gateway(w.Now-Start, n)].Submit(&Request{
			Customer:  "c",
			Units:     1,
			AdmitOnly: admitOnly,
			TimeLeft:  2 * time.Second,
		})
		n++
		w.After(interval, next)
	}
	w.At(Start+from, next)
}

// unitsBetween returns the units forwarded from second from up to, not including, second to.
func (w *ceilingWorld) unitsBetween(from, to int) (units float64) {
	for second := from; second < to; second++ {
		units += w.unitsBySecond[second]
	}
	return units
}

// alwaysFirstGateway sends all requests to the first gateway.
func alwaysFirstGateway(time.Duration, int) int { return 0 }
