package ceilinglease

import (
	"math"
	"testing"
	"time"
)

// TestTermsOf verifies the terms of a plan with an excess over its quota.
func TestTermsOf(t *testing.T) {
	terms, ok := NewTerms(5, 10, 10, 20, 1)
	if !ok || terms.Rate != 5 || terms.UnitsPerWindow != 3 || terms.Window != 600*time.Millisecond {
		t.Errorf("got terms %+v, ok %v", terms, ok)
	}
}

// TestTermsOfPlansThatLeaseNothing verifies that plans with no usable excess have no terms.
func TestTermsOfPlansThatLeaseNothing(t *testing.T) {
	cases := []struct {
		name                                             string
		rate, burst, ceilingRate, ceilingDepth, minUnits float64
	}{
		{"ceiling rate equals the quota rate", 5, 10, 5, 20, 1},
		{"ceiling depth equals the quota burst", 5, 10, 10, 10, 1},
		{"ceiling is below the quota", 5, 10, 4, 8, 1},
		{"less than one unit per window", 5, 10, 10, 11, 1},
		{"fewer units per window than required", 5, 10, 10, 20, 4},
		{"window is too short", 1, 1, 1000, 3, 0.5},
		{"infinite rate", 0, 0, math.Inf(1), 1, 1},
		{"rate is not a number", 0, 0, math.NaN(), 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, ok := NewTerms(c.rate, c.burst, c.ceilingRate, c.ceilingDepth, c.minUnits)
			if ok || got != (Terms{}) {
				t.Errorf("got terms %+v, want none", got)
			}
		})
	}
}
