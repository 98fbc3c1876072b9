package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gapgap/internal/balancer/quotashare"
)

// TestLateLoans verifies that a loan that arrives late is valid only for its remaining time, since the lender then uses
// its units again. It also verifies that the check detects the overlap if loans are counted from their arrival.
func TestLateLoans(t *testing.T) {
	for _, fromArrival := range []bool{false, true} {
		worst := 0.0
		rapid.Check(t, func(t *rapid.T) {
			fleet := newSharingFleet(t, 3, quotashare.KeepNone)
			fleet.loansFromArrival = fromArrival
			fleet.delay = func() time.Duration {
				return time.Duration(rapid.IntRange(0, 700).Draw(t, "late")) * time.Millisecond
			}
			for i := range fleet.gateways {
				fleet.lease(i, 1.0/3, time.Hour, time.Hour)
			}
			now := time.Hour + 10*time.Second
			for round := range 8 { // the demand alternates between one gateway and all of them
				for end := now + 2*time.Second; now < end; now += 20 * time.Millisecond {
					for i := range 1 + 2*(round%2) {
						fleet.request(i, now)
					}
				}
			}
			worst = max(worst, fleet.maxOverdraft, fleet.maxShareExcess)
		})
		if !fromArrival && worst > 1e-6 || fromArrival && worst < 0.5 {
			t.Errorf("counted from arrival %v: %.1f units over the ceiling, or shared out beyond it",
				fromArrival, worst)
		}
	}
}

// TestLoansFollowDemand verifies that a customer can use its whole ceiling if all of its requests come to one of three
// gateways, as the others lend what they do not need, and that each gateway has its own share if demand is at all of
// them.
func TestLoansFollowDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, policy := range allPolicies {
			fleet := newSharingFleet(t, 3, policy)
			for i := range fleet.gateways {
				fleet.lease(i, 1.0/3, time.Hour, time.Hour)
			}
			one, now := 0, time.Hour
			for ; now < time.Hour+12*time.Second; now += 20 * time.Millisecond {
				if fleet.request(0, now) && now >= time.Hour+2*time.Second {
					one++
				}
			}
			var each [3]int
			for begun := now; now < begun+12*time.Second; now += 20 * time.Millisecond {
				for i := range fleet.gateways {
					if fleet.request(i, now) && now >= begun+4*time.Second {
						each[i]++
					}
				}
			}
			if one < 95 || fleet.maxOverdraft > 1e-6 || fleet.loans == 0 || min(each[0], each[1], each[2]) < 20 {
				t.Fatalf("policy %v: %d of 100 admitted at one gateway, %v at all, %.2f over the ceiling, %d loans",
					policy, one, each, fleet.maxOverdraft, fleet.loans)
			}
		}
	})
}
