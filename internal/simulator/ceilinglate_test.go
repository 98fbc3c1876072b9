package simulator

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gapgap/internal/balancer"
)

const (
	// lateFleetEndpoints is the number of endpoints of a fleet whose connections come up late.
	lateFleetEndpoints = 40
	// lateRunDuration is the duration of a run.
	lateRunDuration = 40 * time.Second
	// latestConnection is the longest time that a connection takes to come up.
	latestConnection = 900 * time.Millisecond
	// operatorCeilingSlack is how far, as a fraction of its burst, a ceiling's bucket may fall below 0.
	operatorCeilingSlack = 0.1
	// operatorCeilingLag is the time whose refill is added to that.
	operatorCeilingLag = 150 * time.Millisecond
)

// latePlan draws a plan as the operators' sites have them.
func latePlan(rng *rand.Rand) balancer.Plan {
	rate := math.Round(13 + 9*rng.Float64())
	burst := math.Round(rate * (1.3 + 1.3*rng.Float64()))
	factor := 1.7 + 0.9*rng.Float64()
	return balancer.Plan{
		Rate:            rate,
		Burst:           burst,
		PriorityFactor:  1,
		OverQuotaWeight: 0.2,
		CeilingRate:     math.Round(rate * factor),
		CeilingBurst:    math.Round(burst * factor),
	}
}

// runLateConnections runs a customer of a few gateways that rests and then floods, in turns. In the first second of
// each flood connections come up late. It returns by how many units the ceiling's bucket fell below what the operators'
// rule allows, and the part of the ceiling that was used.
func runLateConnections(t testing.TB, seed uint64) (excess, used float64) {
	t.Helper()
	rng := New(seed, 0).Rand("late connections")
	plan := latePlan(rng)
	gateways := 1 + rng.IntN(6)
	lateFraction := 0.8 + 0.2*rng.Float64()
	restSeconds := 2 + rng.IntN(6)
	floodSeconds := 1 + rng.IntN(3)
	calm := 0.1 + 0.4*rng.Float64()
	period := time.Duration(restSeconds+floodSeconds) * time.Second
	w := &ceilingWorld{World: New(seed, lateFleetEndpoints), bucket: ceilingBucket{plan: plan}}
	inFlood := func() time.Duration { return (w.Now-Start)%period - time.Duration(restSeconds)*time.Second }
	for range gateways {
		g := w.AddGateway(testSettings(gateways, false, plan))
		g.Sent = func(r *Request) { w.bucket.take(w.Now, r.Units) }
		g.WriteDelay = func() time.Duration {
			if at := inFlood(); at < 0 || at > time.Second || rng.Float64() > lateFraction {
				return 0
			}
			return time.Duration((0.8 + 0.2*rng.Float64()) * float64(latestConnection))
		}
		if err := g.Start(); err != nil {
			t.Fatal(err)
		}
	}
	var next func()
	next = func() {
		if w.Now-Start > lateRunDuration {
			return
		}
		rate := plan.CeilingRate * calm
		if inFlood() >= 0 {
			rate = 8 * plan.CeilingRate
		}
		g := w.Gateways[rng.IntN(gateways)]
		g.Submit(&Request{Customer: "c", Units: 1, TimeLeft: 3 * time.Second})
		w.After(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.At(Start+2*time.Second, next)
	w.Run(Start + lateRunDuration + 5*time.Second)
	allowed := max(1, operatorCeilingSlack*plan.CeilingBurst) + plan.CeilingRate*operatorCeilingLag.Seconds()
	return -w.bucket.lowest - allowed, w.bucket.taken / (plan.CeilingRate * lateRunDuration.Seconds())
}

// TestCeilingsHoldWithLateConnections guards against a ceiling that is passed since its units are charged when an
// attempt is dispatched, and reach the endpoints later, together with others: when their connections have come up.
func TestCeilingsHoldWithLateConnections(t *testing.T) {
	t.Parallel()
	const seeds = 60
	worst := math.Inf(-1)
	sum := 0.0
	for seed := uint64(1); seed <= seeds; seed++ {
		excess, used := runLateConnections(t, seed)
		worst = max(worst, excess)
		sum += used
		if excess > 0 {
			t.Errorf("seed %d: %.1f units beyond the slack", seed, excess)
		}
	}
	t.Logf("at worst %.1f units beyond the slack, %.2f of the ceilings used", worst, sum/seeds)
	if sum/seeds < 0.5 { // otherwise the floods were too light to test anything
		t.Errorf("only %.2f of the ceilings were used", sum/seeds)
	}
}
