package costmodel

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestCostFollowsWork verifies that the profile learns the work of requests by their units while the latency of the
// class changes. Four units take seven times as long as one.
func TestCostFollowsWork(t *testing.T) {
	profile := New(4)
	latencies := []float64{0.5, 1.5, 2.5, 3.5}
	mean := 2.0
	for i := range 4000 {
		index := i % 4
		wave := 1 + 0.3*math.Sin(float64(i)/50) // the same for all units
		profile.Add(float64(index+1), latencies[index]/mean*wave, true)
	}
	for index, latency := range latencies {
		got := profile.Cost(float64(index + 1))
		want := latency / mean
		if math.Abs(got-want) > 0.12*want {
			t.Errorf("%d units: cost %.2f, want %.2f", index+1, got, want)
		}
	}
	if one, four := profile.Density(1), profile.Density(4); one < 1.5*four {
		t.Errorf("density %.2f of one unit and %.2f of four; want at least 1.5 times as much of one", one, four)
	}
}

// TestCostWithOneRange verifies that the cost is 1, whatever the latencies, if all requests have one unit.
func TestCostWithOneRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		profile := New(rapid.Float64Range(-2, 1).Draw(t, "maxUnits"))
		for _, latency := range rapid.SliceOf(rapid.Float64()).Draw(t, "latencies") {
			profile.Add(1, latency, true)
		}
		if profile.Cost(1) != 1 || profile.Density(1) != 1 {
			t.Fatalf("cost %v, density %v; want exactly 1", profile.Cost(1), profile.Density(1))
		}
	})
}

// TestCostOfInvalidValues verifies that costs are positive and finite whatever units and latencies are recorded, and
// that a single unusual latency does not change a cost much that is based on many.
func TestCostOfInvalidValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxUnits := rapid.OneOf(
			rapid.Float64(),
			rapid.Just(math.Inf(1)),
			rapid.Just(math.NaN()),
			rapid.Float64Range(1, 64),
		)
		profile := New(maxUnits.Draw(t, "maxUnits"))
		value := rapid.OneOf(
			rapid.Float64(),
			rapid.Float64Range(0, 64),
			rapid.Just(math.NaN()),
			rapid.Just(math.Inf(1)),
		)
		for range rapid.IntRange(0, 200).Draw(t, "attempts") {
			profile.Add(value.Draw(t, "units"), value.Draw(t, "latency"), rapid.Bool().Draw(t, "answered"))
		}
		units := value.Draw(t, "units asked for")
		if cost := profile.Cost(units); !(cost >= minCost) || math.IsInf(cost, 0) {
			t.Fatalf("cost %v of %v units is not finite or is below the minimum", cost, units)
		}
		for range 500 {
			profile.Add(2, 1, true)
		}
		before := profile.Cost(2)
		profile.Add(2, 1e9, true)
		if after := profile.Cost(2); after > before*1.4 {
			t.Fatalf("one attempt changed a cost from %v to %v", before, after)
		}
	})
}
