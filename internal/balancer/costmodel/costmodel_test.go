package costmodel

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A server takes seven times as long for four units as for one: the profile finds that, also while the day turns slow.
func TestSizesFollowTheWork(t *testing.T) {
	p := New(4)
	works := []float64{0.5, 1.5, 2.5, 3.5}
	mean := 2.0
	for i := range 4000 {
		u := i % 4
		p.Add(float64(u+1), works[u]/mean*(1+0.3*math.Sin(float64(i)/50)), true) // waves that no size hangs on
	}
	for u, w := range works {
		if got := p.Cost(float64(u + 1)); math.Abs(got-w/mean) > 0.12*w/mean {
			t.Errorf("%d units: size %.2f, want %.2f", u+1, got, w/mean)
		}
	}
	if one, four := p.Density(1), p.Density(4); one < 1.5*four {
		t.Errorf("a unit for little work: %.2f, for much: %.2f; want the first to be worth more", one, four)
	}
}

// Where all requests count one unit nothing is a matter of size, whatever their answers take.
func TestSizesOneRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(rapid.Float64Range(-2, 1).Draw(t, "most"))
		for _, took := range rapid.SliceOf(rapid.Float64()).Draw(t, "answers") {
			p.Add(1, took, true)
		}
		if p.Cost(1) != 1 || p.Density(1) != 1 {
			t.Fatalf("size %v, density %v; want exactly 1", p.Cost(1), p.Density(1))
		}
	})
}

// Whatever units and times come, sizes are usable numbers, and one odd answer moves none far that has many.
func TestSizesOfNonsense(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(
			rapid.OneOf(rapid.Float64(), rapid.Just(math.Inf(1)), rapid.Just(math.NaN()), rapid.Float64Range(1, 64)).
				Draw(t, "most"),
		)
		any := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 64), rapid.Just(math.NaN()), rapid.Just(math.Inf(1)))
		for range rapid.IntRange(0, 200).Draw(t, "answers") {
			p.Add(any.Draw(t, "units"), any.Draw(t, "took"), rapid.Bool().Draw(t, "answered"))
		}
		units := any.Draw(t, "asked")
		if s := p.Cost(units); !(s >= minCost) || math.IsInf(s, 0) {
			t.Fatalf("size %v of %v units", s, units)
		}
		for range 500 {
			p.Add(2, 1, true)
		}
		before := p.Cost(2)
		p.Add(2, 1e9, true)
		if after := p.Cost(2); after > before*1.4 {
			t.Fatalf("one answer moved a size from %v to %v", before, after)
		}
	})
}
