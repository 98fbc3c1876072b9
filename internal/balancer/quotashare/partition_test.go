package quotashare

import "testing"

// TestShare verifies a gateway's share under each partition policy.
func TestShare(t *testing.T) {
	ceiling := Bucket{Rate: 12, Depth: 24}
	quota := Bucket{Rate: 6, Depth: 8}
	cases := []struct {
		name   string
		policy PartitionPolicy
		leased float64
		want   Bucket
	}{
		{"quota kept without a lease", KeepQuota, 0, Bucket{Rate: 2, Depth: 8.0 / 3}},
		{"all kept without a lease", KeepAll, 0, Bucket{Rate: 4, Depth: 8}},
		{"nothing kept without a lease", KeepNone, 0, Bucket{}},
		{"quota kept with half of the rest", KeepQuota, 0.5, Bucket{Rate: 5, Depth: 8.0/3 + 8}},
		{"all kept regardless of the lease", KeepAll, 0.5, Bucket{Rate: 4, Depth: 8}},
		{"half of all leased", KeepNone, 0.5, Bucket{Rate: 6, Depth: 12}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := c.policy.Share(ceiling, quota, 1.0/3, c.leased)
			if !near(got.Rate, c.want.Rate) || !near(got.Depth, c.want.Depth) {
				t.Errorf("share %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestShareOfQuotaOverCeiling verifies that a quota larger than its ceiling keeps no more than the ceiling.
func TestShareOfQuotaOverCeiling(t *testing.T) {
	got := KeepQuota.Share(Bucket{Rate: 4, Depth: 4}, Bucket{Rate: 8, Depth: 8}, 0.5, 1)
	if want := (Bucket{Rate: 2, Depth: 2}); got != want {
		t.Errorf("share %+v, want %+v", got, want)
	}
}

// TestFractionAmong verifies that a fraction among a subset of the gateways is at most the even share within the
// subset.
func TestFractionAmong(t *testing.T) {
	cases := []struct {
		name                    string
		fraction, subset, total float64
		want                    float64
	}{
		{"all gateways", 0.3, 5, 5, 0.3},
		{"an even fraction among a subset", 0.2, 2, 5, 0.5},
		{"a large fraction among a subset", 0.9, 2, 5, 0.5},
		{"a small fraction among a subset", 0.1, 2, 5, 0.25},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := FractionWithinSubset(c.fraction, c.subset, c.total); !near(got, c.want) {
				t.Errorf("fraction %v, want %v", got, c.want)
			}
		})
	}
}

// near reports whether two numbers differ only by a rounding error.
func near(left, right float64) bool { return left-right < 1e-9 && right-left < 1e-9 }
