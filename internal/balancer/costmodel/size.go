// Package costmodel learns how much work a request is from the units that it declares: a quota may count a request's
// size, and then one of four units holds a server several times as long as one of one unit. Whoever takes all requests
// of a class for alike
// expects the small ones late and the large ones soon, and counts places instead of work.
//
// Nothing is told of how work grows with units, so it is measured: units are cut into ranges, and for each the mean of
// the answers' times is kept, in the mean time of the class at that moment (so a day that turns slow changes no size).
// A deployment
// where all requests count one unit has one range, and every size there is exactly 1.
//
// Nothing here does input or output or reads a clock.
package costmodel

import "math"

const (
	ranges = 8    // of units, at most
	gain   = 0.01 // weight of an answer in a range's mean, once it has had a hundred
	doubt  = 2.0  // answers as which the guess counts that a range is like the mean
	most   = 16.0 // times of one answer at most: a single one says little
	least  = 0.05 // of a size: nothing is for nothing
)

// Profile is how the work of one class's requests grows with their units. The zero value takes all for alike.
type Profile struct {
	top  float64 // the most units
	n    int     // ranges in use
	each [ranges]mean
	fine [ranges]mean // part of them that was answered
	all  mean         // of all answers
	unit mean         // units of all answers
}

type mean struct {
	is    float64
	count int
}

func (m *mean) add(v float64) {
	m.count++
	m.is += max(gain, 1/float64(m.count)) * (v - m.is)
}

// New makes the profile of a class whose requests declare up to top units; under 1, or no number, counts as 1.
func New(top float64) Profile {
	if !(top >= 1) || math.IsInf(top, 0) {
		top = 1
	}
	return Profile{top: top, n: int(min(ranges, math.Ceil(top)))}
}

// rangeOf is the range that units fall into.
func (p *Profile) rangeOf(units float64) int {
	if p.n <= 1 || !(units > 0) {
		return 0
	}
	return int(max(1, min(float64(p.n), math.Ceil(units*float64(p.n)/p.top)))) - 1 // units over top count as top
}

// Of is the work of a request of so many units, in that of the mean request of its class: 1 as long as nothing else is
// known.
func (p *Profile) Of(units float64) float64 {
	m := &p.each[p.rangeOf(units)]
	if p.n <= 1 || m.count == 0 || p.all.is <= 0 {
		return 1
	}
	n := float64(m.count)
	return max(least, (n*m.is/p.all.is+doubt)/(n+doubt))
}

// Add takes the end of an attempt for a request of so many units: its time, in the mean time of the class now, and
// whether it
// was answered in it. One that was not took that time at least, for nothing.
func (p *Profile) Add(units, took float64, answered bool) {
	if !(took >= 0) {
		return
	}
	took = min(took, most)
	k := p.rangeOf(units)
	p.each[k].add(took)
	if answered {
		p.fine[k].add(1)
	} else {
		p.fine[k].add(0)
	}
	p.all.add(took)
	p.unit.add(max(0, units))
}

// Density is how many units a request of so many brings for its work, in those of the mean request: what a unit is
// worth is worth so much the more where it takes less work, and so much the less where it is often in vain. With one
// range it is the units alone.
func (p *Profile) Density(units float64) float64 {
	if p.n <= 1 || p.unit.is <= 0 {
		return units
	}
	k := p.rangeOf(units)
	n := float64(p.fine[k].count)
	return units / p.unit.is / p.Of(units) * (n*p.fine[k].is + doubt) / (n + doubt)
}
