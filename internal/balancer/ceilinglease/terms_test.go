package ceilinglease

import (
	"math"
	"testing"
	"time"
)

func TestTermsOf(t *testing.T) {
	terms, ok := TermsOf(5, 10, 10, 20, 1)
	if !ok || terms.Rate != 5 || terms.UnitsPerWindow != 3 || terms.Window != 600*time.Millisecond {
		t.Errorf("%+v %v", terms, ok)
	}
}

func TestTermsOfPlansThatLeaseNothing(t *testing.T) {
	cases := []struct {
		name                                             string
		rate, burst, ceilingRate, ceilingDepth, minUnits float64
	}{
		{"ceiling rate is the quota's", 5, 10, 5, 20, 1},
		{"ceiling depth is the quota's burst", 5, 10, 10, 10, 1},
		{"ceiling is under the quota", 5, 10, 4, 8, 1},
		{"less than a unit in a window", 5, 10, 10, 11, 1},
		{"fewer units in a window than needed", 5, 10, 10, 20, 4},
		{"window is too short", 1, 1, 1000, 3, 0.5},
		{"infinite rate", 0, 0, math.Inf(1), 1, 1},
		{"rate is not a number", 0, 0, math.NaN(), 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, ok := TermsOf(c.rate, c.burst, c.ceilingRate, c.ceilingDepth, c.minUnits)
			if ok || got != (Terms{}) {
				t.Errorf("leases %+v", got)
			}
		})
	}
}
