package balancer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gapgap/internal/balancer/quotashare"
)

// runSharing plays a random sequence of leases and requests, and returns by how many units the ceiling was exceeded.
// The parameter lease is the method that assigns the leases.
func runSharing(
	t *rapid.T, lease func(fleet *sharingFleet, gateway int, fraction float64, now, length time.Duration),
) float64 {
	count := rapid.IntRange(1, 6).Draw(t, "gateways")
	fleet := newSharingFleet(t, count, rapid.SampledFrom(allPolicies).Draw(t, "policy"))
	fleet.delay = func() time.Duration {
		return time.Duration(rapid.IntRange(0, 1500).Draw(t, "late")) * time.Millisecond
	}
	now := time.Hour
	for range rapid.IntRange(100, 300).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
		gateway := rapid.IntRange(0, count-1).Draw(t, "gateway")
		if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
			fraction := float64(rapid.SampledFrom([]int{0, 3, 5, 10, 10}).Draw(t, "tenths")) / 10
			length := time.Duration(rapid.IntRange(50, 20_000).Draw(t, "length")) * time.Millisecond
			lease(fleet, gateway, fraction, now, length)
			continue
		}
		for range rapid.IntRange(1, 30).Draw(t, "burst") {
			fleet.request(gateway, now)
		}
	}
	return max(fleet.maxOverdraft, fleet.maxShareExcess)
}

// TestLeasedSharesHoldCeiling verifies that gateways never admit more than the ceiling's bucket holds, regardless of
// how fractions are leased and withdrawn.
func TestLeasedSharesHoldCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if over := runSharing(t, (*sharingFleet).lease); over > 1e-6 {
			t.Fatalf("%.3f units over the ceiling, want none", over)
		}
	})
}

// TestSharingCheckFindsOverlap verifies that the check detects overlapping leases, where a fraction grows before
// another gateway's lease has ended.
func TestSharingCheckFindsOverlap(t *testing.T) {
	worst := 0.0
	for seed := range 200 {
		run := rapid.Custom(func(t *rapid.T) float64 { return runSharing(t, (*sharingFleet).leaseUnchecked) })
		worst = max(worst, run.Example(seed))
	}
	if worst < 5 {
		t.Errorf("%.1f units over the ceiling in 200 runs with overlapping leases, want at least 5", worst)
	}
}

// TestGrownShareStartsEmpty verifies that a fraction that grows after a long time does not add a full bucket at once,
// for a known customer or a new one.
func TestGrownShareStartsEmpty(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprint("known ", known), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				fleet := newSharingFleet(t, 2, quotashare.KeepNone)
				fleet.withoutLoans = true
				now := time.Hour
				fleet.lease(0, 0.5, now, time.Minute)
				fleet.lease(1, 0.5, now, time.Minute)
				now += 50 * time.Second
				if known {
					fleet.request(1, now)
				}
				for range 20 {
					fleet.request(0, now)
				}
				fleet.lease(0, 0, now, 0)
				fleet.lease(1, 1, now, time.Minute)
				got := 0
				for range 40 {
					if fleet.request(1, now+time.Millisecond) {
						got++
					}
				}
				if fleet.maxOverdraft > 1e-6 || known && got != 9 || !known && got != 0 {
					t.Fatalf("%d units admitted at once, %.1f over the ceiling", got, fleet.maxOverdraft)
				}
			})
		})
	}
}

// TestSharesEndWithLease verifies that an expired lease is worth nothing at the next decision, however long the gateway
// was stopped before it.
func TestSharesEndWithLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newSharingFleet(t, 3, quotashare.KeepNone)
		fleet.lease(0, 1, time.Hour, 2*time.Second)
		if !fleet.request(0, time.Hour+1900*time.Millisecond) {
			t.Fatal("request not admitted before the end of the lease")
		}
		if fleet.request(0, time.Hour+2*time.Second) || fleet.request(0, time.Hour+12*time.Second) {
			t.Fatal("request admitted after the end of the lease")
		}
	})
}

// TestSharesKeptWithoutLease verifies what a partitioned gateway serves without a lease, depending on the partition
// policy: its even part of the quota, its even part of the whole ceiling, or nothing.
func TestSharesKeptWithoutLease(t *testing.T) {
	admittedIn30s := map[quotashare.PartitionPolicy]int{
		quotashare.KeepQuota: 50,
		quotashare.KeepAll:   100,
		quotashare.KeepNone:  0,
	}
	for policy, want := range admittedIn30s {
		rapid.Check(t, func(t *rapid.T) {
			fleet := newSharingFleet(t, 3, policy)
			if fleet.request(0, time.Hour+5*time.Second) {
				t.Fatal("admitted before the first share update")
			}
			fleet.gateways[0].Step(time.Hour+5*time.Second, []Event{ShareUpdate{}})
			got := 0
			for now := time.Hour + 10*time.Second; now < time.Hour+40*time.Second; now += 20 * time.Millisecond {
				if fleet.request(0, now) {
					got++
				}
			}
			if want > 0 && got < want || got > want+8 { // the bucket's depth is added once
				t.Fatalf("policy %v: %d requests admitted in 30 s, want %d", policy, got, want)
			}
		})
	}
}

// TestSharesOfLiveGateways verifies that shared amounts without a hard bound are divided among the live gateways, and
// that the fallback tokens of a plan that keeps no share without a lease follow the lease.
func TestSharesOfLiveGateways(t *testing.T) {
	settings := Settings{
		Gateways:       5,
		MaxAttempts:    1,
		LeasedShares:   true,
		UseCounter:     true,
		CounterTimeout: 50 * time.Millisecond,
		Classes:        []Class{{PriorityWeight: 1, ClientTimeout: 3 * time.Second}},
		Plans: []Plan{
			{
				Rate:            5,
				Burst:           10,
				PriorityFactor:  1,
				OverQuotaWeight: 0.2,
				CeilingRate:     10,
				CeilingBurst:    20,
				PartitionPolicy: quotashare.KeepNone,
			},
		},
	}
	b, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	b.Step(now, []Event{ShareUpdate{Fraction: 0.2, Until: 2 * time.Hour}})
	for i := range 200 { // failures that each count
		b.counter.pacer.RecordFailure(now+time.Duration(i)*time.Second, now+time.Duration(i)*time.Second)
	}
	if got := b.counter.pacer.Rate(); got != minFleetCallRate/5 {
		t.Errorf("minimum of %v calls per second with five live gateways", got)
	}
	now += 300 * time.Second
	b.Step(now, []Event{ShareUpdate{Fraction: 0.5, Until: 2 * time.Hour, DeadGateways: []int{1, 2, 3}}})
	if got := b.counter.pacer.Rate(); got != minFleetCallRate/2 {
		t.Errorf("minimum of %v calls per second with two live gateways", got)
	}
	cust := &customer{gateways: 5, quota: quotaState{fallbackFilledAt: now}}
	b.counter.callFraction = 0
	for fraction, want := range map[float64]float64{0.5: 5, 0.2: 2, 0: 0} {
		b.Step(now, []Event{ShareUpdate{Fraction: fraction, Until: now + time.Hour}})
		cust.quota.fallbackFilledAt = b.now
		b.now += time.Minute
		if b.refillFallback(cust, &b.settings.Plans[0]); cust.quota.fallbackTokens != want {
			t.Errorf("%v fallback tokens with a fraction of %v", cust.quota.fallbackTokens, fraction)
		}
		now = b.now
	}
}
