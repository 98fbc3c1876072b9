package quotashare

import (
	"testing"
	"time"
)

// TestShareLeaseEnds verifies that the fraction is 0 once the lease has expired.
func TestShareLeaseEnds(t *testing.T) {
	var lease ShareLease
	lease.Update(time.Second, 0.4, 3*time.Second, 0)
	if got := lease.Fraction(2 * time.Second); got != 0.4 {
		t.Errorf("fraction %v during the lease, want 0.4", got)
	}
	if lease.HasExpired(2 * time.Second) {
		t.Error("expired before its end")
	}
	if got := lease.Fraction(3 * time.Second); got != 0 {
		t.Errorf("fraction %v at the end, want 0", got)
	}
	if !lease.HasExpired(3 * time.Second) {
		t.Error("not expired at its end")
	}
}

// TestInFlightFractionGrowsLate verifies that a larger fraction applies to requests in flight only after the longest
// time that a request may be in flight.
func TestInFlightFractionGrowsLate(t *testing.T) {
	const maxInFlight = 2 * time.Second
	var lease ShareLease
	lease.Update(0, 0.3, time.Hour, maxInFlight)
	lease.Update(10*time.Second, 0.8, time.Hour, maxInFlight)
	if got := lease.IncreasedAt(); got != 10*time.Second {
		t.Errorf("increased at %v, want 10 s", got)
	}
	cases := []struct {
		name string
		at   time.Duration
		want float64
	}{
		{"just after the increase", 10 * time.Second, 0.3},
		{"before the longest request ends", 12*time.Second - 1, 0.3},
		{"when the longest request ends", 12 * time.Second, 0.8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := lease.InFlightFraction(c.at); got != c.want {
				t.Errorf("fraction %v, want %v", got, c.want)
			}
		})
	}
}

// TestInFlightFractionShrinksAtOnce verifies that a smaller fraction applies to requests in flight immediately.
func TestInFlightFractionShrinksAtOnce(t *testing.T) {
	var lease ShareLease
	lease.Update(0, 0.8, time.Hour, time.Second)
	lease.Update(10*time.Second, 0.2, time.Hour, time.Second)
	if got := lease.InFlightFraction(10 * time.Second); got != 0.2 {
		t.Errorf("fraction %v, want 0.2", got)
	}
}
