package simulator

import (
	"fmt"
	"testing"
	"time"

	"gapgap/internal/balancer"
)

// The case that was measured from outside: three gateways, a plan with rate 5 and a ceiling of 10 a second. All of an
// account's traffic at one gateway has all of the quota, and nearly all of the ceiling from the second second on;
// evenly over the gateways it is no worse than with even shares.
func TestCeilingsFollowDemand(t *testing.T) {
	t.Parallel()
	for _, admitOnly := range []bool{true, false} {
		t.Run(fmt.Sprint("admission only ", admitOnly), func(t *testing.T) {
			play := func(lease bool, rate float64, gateway func(time.Duration, int) int) *ceilingWorld {
				w := newCeilingWorld(t, 1, 3, lease, businessPlan)
				w.sendRequests(0, 30*time.Second, rate, admitOnly, gateway)
				w.Run(Start + 30*time.Second)
				if slack := max(1, 0.1*businessPlan.CeilingBurst); w.bucket.lowest < -slack {
					t.Errorf("leased %v, %v a second: %.2f under the ceiling's bucket", lease, rate, -w.bucket.lowest)
				}
				return w
			}
			evenly := func(_ time.Duration, n int) int { return n % 3 }
			leased := play(true, 100, alwaysFirstGateway)
			shared := play(false, 100, alwaysFirstGateway)
			if got := leased.unitsBetween(2, 30); got < 0.95*10*28 {
				t.Errorf("%.0f of the ceiling's 280 at one gateway; %.0f with even shares; by second %v",
					got, shared.unitsBetween(2, 30), leased.unitsBySecond)
			}
			if quiet := play(true, 4.8, alwaysFirstGateway); quiet.bucket.taken < 0.99*float64(quiet.requests) {
				t.Errorf("%.0f of %d inside the quota at one gateway", quiet.bucket.taken, quiet.requests)
			}
			leasedEvenly := play(true, 100, evenly).unitsBetween(5, 30)
			sharedEvenly := play(false, 100, evenly).unitsBetween(5, 30)
			if leasedEvenly < 0.97*sharedEvenly {
				t.Errorf("evenly over the gateways %.0f, with even shares %.0f", leasedEvenly, sharedEvenly)
			}
		})
	}
}

// The check finds leases that are forgotten: a counter that is cleared all the time, as if no window were ever spent.
func TestCeilingsCheckFindsForgottenLeases(t *testing.T) {
	t.Parallel()
	w := newCeilingWorld(t, 1, 4, true, businessPlan)
	w.sendRequests(0, 20*time.Second, 200, true, func(_ time.Duration, n int) int { return n % 4 })
	for at := 100 * time.Millisecond; at < 20*time.Second; at += 100 * time.Millisecond {
		w.At(Start+at, w.Counter.Clear)
	}
	w.Run(Start + 20*time.Second)
	if w.bucket.lowest > -0.5*businessPlan.CeilingBurst {
		t.Errorf("the bucket falls to %.1f only with a counter that forgets", w.bucket.lowest)
	}
}

// Demand that moves from one gateway to another, and back each second; a lease holder that is killed: what it had is in
// use again within a window, and a moved demand has its share at once.
func TestCeilingsMovedDemand(t *testing.T) {
	t.Parallel()
	const seconds = 40
	moving := newCeilingWorld(t, 1, 3, true, businessPlan)
	moving.sendRequests(0, seconds*time.Second, 100, true, func(now time.Duration, _ int) int {
		return int(now/time.Second) % 2
	})
	moving.Run(Start + seconds*time.Second)
	if got := moving.unitsBetween(4, seconds); got < 0.9*10*(seconds-4) {
		t.Errorf("%.0f of %d while the demand moves each second", got, 10*(seconds-4))
	}
	killed := newCeilingWorld(t, 1, 3, true, businessPlan)
	killed.sendRequests(0, seconds*time.Second, 100, true, func(now time.Duration, _ int) int {
		if now < 20*time.Second {
			return 0
		}
		return 1
	})
	// The other gateway knows the account.
	killed.sendRequests(0, seconds*time.Second, 1, true, func(time.Duration, int) int { return 1 })
	killed.At(Start+20*time.Second, killed.Gateways[0].Kill)
	killed.Run(Start + seconds*time.Second)
	if got := killed.unitsBetween(21, 26); got < 0.9*10*5 {
		t.Errorf("%.0f of 50 after the lease holder was killed; by second %v", got, killed.unitsBySecond)
	}
	for name, w := range map[string]*ceilingWorld{"moving": moving, "killed": killed} {
		if w.bucket.lowest < -0.1*businessPlan.CeilingBurst {
			t.Errorf("%s: %.1f under the bucket", name, -w.bucket.lowest)
		}
	}
}

// callsPerRequest plays 200 customers at three gateways and returns the counter calls for each request once the
// gateways' shares have filled.
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
	w.Run(Start + 5*time.Second) // a fresh gateway's shares start empty
	callsBefore := w.Counter.Calls
	requestsBefore := requests
	w.Run(Start + 45*time.Second)
	return float64(w.Counter.Calls-callsBefore) / float64(requests-requestsBefore)
}

// Many accounts: only those that ask beyond their gateway's share cost calls, and a quiet fleet makes none for its
// ceilings.
func TestCeilingsCostCallsWhereTheyAreNeeded(t *testing.T) {
	t.Parallel()
	// Calm: a fifth of the quota, unevenly over the gateways.
	calmLeased := callsPerRequest(t, true, 1, false)
	calmShared := callsPerRequest(t, false, 1, false)
	if calmLeased > calmShared+0.05 {
		t.Errorf("%.3f calls a request, %.3f with even shares", calmLeased, calmShared)
	}
	t.Logf("calls a request, leased and even: calm %.3f %.3f, calm at one gateway %.3f %.3f, "+
		"at the quota at one gateway %.3f %.3f",
		calmLeased, calmShared,
		callsPerRequest(t, true, 1, true), callsPerRequest(t, false, 1, true),
		callsPerRequest(t, true, 4.5, true), callsPerRequest(t, false, 4.5, true))
}

// A plan that is lowered, raised and lowered again while units are leased: from a window after each change the plan
// that holds then is kept, and what a change lets out beside it is one window's.
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
			t.Errorf("%.0f in 9 s of a plan that gives %.0f: %v", sum, most, unitsBySecond)
		}
		if sum < 0.5*p.CeilingRate*9 {
			t.Errorf("%.0f in 9 s of a plan of %.0f a second: a change starves it: %v",
				sum, p.CeilingRate, unitsBySecond)
		}
	}
}
