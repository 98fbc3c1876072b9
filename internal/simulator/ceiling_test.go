package simulator

import (
	"fmt"
	"testing"
	"time"

	"gapgap/internal/balancer"
)

// TestCeilingsFollowDemand verifies that leased ceilings follow the demand, for the workload that was measured
// externally: three gateways, a plan with rate 5 and a ceiling of 10 per second. An account that sends all requests to
// one gateway must get its whole quota, and nearly the whole ceiling after the first two seconds. With requests spread
// evenly, leases must be no worse than even shares.
func TestCeilingsFollowDemand(t *testing.T) {
	t.Parallel()
	for _, admitOnly := range []bool{true, false} {
		t.Run(fmt.Sprint("admission only ", admitOnly), func(t *testing.T) {
			run := func(lease bool, rate float64, gateway func(time.Duration, int) int) *ceilingWorld {
				w := newCeilingWorld(t, 1, 3, lease, businessPlan)
				w.sendRequests(0, 30*time.Second, rate, admitOnly, gateway)
				w.Run(Start + 30*time.Second)
				if slack := max(1, 0.1*businessPlan.CeilingBurst); w.bucket.lowest < -slack {
					t.Errorf("leased %v, %v a second: %.2f beyond the ceiling", lease, rate, -w.bucket.lowest)
				}
				return w
			}
			evenly := func(_ time.Duration, n int) int { return n % 3 }
			leased := run(true, 100, alwaysFirstGateway)
			shared := run(false, 100, alwaysFirstGateway)
			if got := leased.unitsBetween(2, 30); got < 0.95*10*28 {
				t.Errorf("%.0f of 280 units at one gateway; %.0f with even shares; by second %v",
					got, shared.unitsBetween(2, 30), leased.unitsBySecond)
			}
			if quiet := run(true, 4.8, alwaysFirstGateway); quiet.bucket.taken < 0.99*float64(quiet.requests) {
				t.Errorf("%.0f of %d units within the quota at one gateway", quiet.bucket.taken, quiet.requests)
			}
			leasedEvenly := run(true, 100, evenly).unitsBetween(5, 30)
			sharedEvenly := run(false, 100, evenly).unitsBetween(5, 30)
			if leasedEvenly < 0.97*sharedEvenly {
				t.Errorf("%.0f units with requests spread evenly, %.0f with even shares", leasedEvenly, sharedEvenly)
			}
		})
	}
}

// TestCeilingsCheckFindsForgottenLeases verifies that the measurement of these tests detects an exceeded ceiling. The
// counter is cleared every 100 ms, so what was already leased in a counter window is forgotten.
func TestCeilingsCheckFindsForgottenLeases(t *testing.T) {
	t.Parallel()
	w := newCeilingWorld(t, 1, 4, true, businessPlan)
	w.sendRequests(0, 20*time.Second, 200, true, func(_ time.Duration, n int) int { return n % 4 })
	for at := 100 * time.Millisecond; at < 20*time.Second; at += 100 * time.Millisecond {
		w.At(Start+at, w.Counter.Clear)
	}
	w.Run(Start + 20*time.Second)
	if w.bucket.lowest > -0.5*businessPlan.CeilingBurst {
		t.Errorf("a counter that is cleared lets the bucket fall only to %.1f", w.bucket.lowest)
	}
}

// TestCeilingsMovedDemand verifies that a ceiling is used at once where its demand moves, to another gateway and back
// each second, and that the leases of a killed lease holder are in use again within a counter window.
func TestCeilingsMovedDemand(t *testing.T) {
	t.Parallel()
	const seconds = 40
	moving := newCeilingWorld(t, 1, 3, true, businessPlan)
	moving.sendRequests(0, seconds*time.Second, 100, true, func(now time.Duration, _ int) int {
		return int(now/time.Second) % 2
	})
	moving.Run(Start + seconds*time.Second)
	if got := moving.unitsBetween(4, seconds); got < 0.9*10*(seconds-4) {
		t.Errorf("%.0f of %d units while the demand moves each second", got, 10*(seconds-4))
	}
	killed := newCeilingWorld(t, 1, 3, true, businessPlan)
	killed.sendRequests(0, seconds*time.Second, 100, true, func(now time.Duration, _ int) int {
		if now < 20*time.Second {
			return 0
		}
		return 1
	})
	// The other gateway already has state for the account.
	killed.sendRequests(0, seconds*time.Second, 1, true, func(time.Duration, int) int { return 1 })
	killed.At(Start+20*time.Second, killed.Gateways[0].Kill)
	killed.Run(Start + seconds*time.Second)
	if got := killed.unitsBetween(21, 26); got < 0.9*10*5 {
		t.Errorf("%.0f of 50 units after the lease holder was killed; by second %v", got, killed.unitsBySecond)
	}
	for name, w := range map[string]*ceilingWorld{"moving": moving, "killed": killed} {
		if w.bucket.lowest < -0.1*businessPlan.CeilingBurst {
			t.Errorf("%s: %.1f beyond the ceiling", name, -w.bucket.lowest)
		}
	}
}

// callsPerRequest simulates 200 customers at three gateways and returns the counter calls per request, measured after
// the gateways' shares have filled.
func callsPerRequest(t *testing.T, leaseCeilings bool, rate float64, atOneGateway bool) float64 {
	t.Helper()
	w := New(1, 6)
	for range 3 {
		if err := w.AddGateway(testSettings(3, leaseCeilings, businessPlan)).Start(); err != nil {
			t.Fatal(err)
		}
	}
	requests := 0
	for customer := range 200 {
		rng := w.Rand("customer", customer)
		var next func()
		next = func() {
			gateway := rng.IntN(3)
			if atOneGateway {
				gateway = customer % 3
			}
			w.Gateways[gateway].Submit(&Request{Customer: fmt.Sprint(customer), Units: 1, TimeLeft: 2 * time.Second})
			requests++
			w.After(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
		w.After(time.Duration(rng.Float64()*float64(time.Second)), next)
	}
	w.Run(Start + 5*time.Second) // the shares of a new gateway start empty
	callsBefore := w.Counter.Calls
	requestsBefore := requests
	w.Run(Start + 45*time.Second)
	return float64(w.Counter.Calls-callsBefore) / float64(requests-requestsBefore)
}

// TestCeilingsCostCallsWhereTheyAreNeeded verifies that, with many accounts, leased ceilings cost counter calls
// only for accounts whose requests exceed their gateway's share: at low load there must be hardly more calls than with
// even shares.
func TestCeilingsCostCallsWhereTheyAreNeeded(t *testing.T) {
	t.Parallel()
	// Low load: a fifth of the quota, spread unevenly over the gateways.
	lowLoadLeased := callsPerRequest(t, true, 1, false)
	lowLoadShared := callsPerRequest(t, false, 1, false)
	if lowLoadLeased > lowLoadShared+0.05 {
		t.Errorf("%.3f calls per request, %.3f with even shares", lowLoadLeased, lowLoadShared)
	}
	t.Logf("calls per request, leased and even: low load %.3f %.3f, low load at one gateway %.3f %.3f, "+
		"at the quota at one gateway %.3f %.3f",
		lowLoadLeased, lowLoadShared,
		callsPerRequest(t, true, 1, true), callsPerRequest(t, false, 1, true),
		callsPerRequest(t, true, 4.5, true), callsPerRequest(t, false, 4.5, true))
}

// TestCeilingsPlanChangesWhileLeased verifies that the current plan is enforced when plans change while units are
// leased. From one counter window after each change the new plan must hold; a change may let through at most the units
// of one window in addition.
func TestCeilingsPlanChangesWhileLeased(t *testing.T) {
	t.Parallel()
	low := businessPlan
	low.Rate = 2
	low.Burst = 4
	low.CeilingRate = 4
	low.CeilingBurst = 8
	w := New(1, 6)
	unitsBySecond := map[int]float64{}
	for range 3 {
		g := w.AddGateway(testSettings(3, true, businessPlan, low))
		g.Sent = func(r *Request) { unitsBySecond[int((w.Now-Start)/time.Second)] += r.Units }
		if err := g.Start(); err != nil {
			t.Fatal(err)
		}
	}
	var next func()
	next = func() {
		plan := int((w.Now-Start)/(10*time.Second)) % 2
		w.Gateways[0].Submit(&Request{Customer: "c", Units: 1, AdmitOnly: true, Plan: plan, TimeLeft: time.Second})
		w.After(10*time.Millisecond, next)
	}
	w.After(0, next)
	w.Run(Start + 60*time.Second)
	for from := 0; from < 60; from += 10 {
		p := []balancer.Plan{businessPlan, low}[from/10%2]
		sum := 0.0
		for second := from + 1; second < from+10; second++ {
			sum += unitsBySecond[second]
		}
		if most := p.CeilingBurst*1.1 + p.CeilingRate*9; sum > most {
			t.Errorf("%.0f units in 9 s of a plan that allows %.0f: %v", sum, most, unitsBySecond)
		}
		if sum < 0.5*p.CeilingRate*9 {
			t.Errorf("%.0f units in 9 s of a plan of %.0f per second: starved by a change: %v",
				sum, p.CeilingRate, unitsBySecond)
		}
	}
}
