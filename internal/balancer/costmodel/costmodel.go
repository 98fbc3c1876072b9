// Package costmodel learns how the work of a request grows with the units that it declares. Where a quota counts the
// size of requests, one of four units may keep an endpoint busy several times as long as one of one unit. Taking all
// requests of a class for alike would expect the small ones too late and the large ones too soon.
//
// How work grows with units is not known, so it is measured. Units are cut into ranges, and for each the mean latency
// of its answers is kept, relative to the mean latency of the class at that moment: so a class that turns slow
// changes no cost. Where all requests have one unit there is one range, and each cost is exactly 1.
//
// Nothing here does input or output or reads a clock.
package costmodel

import "math"

const (
	// maxRanges is the largest number of ranges that units are cut into.
	maxRanges = 8
	// minGain is the weight of a value in a mean of many.
	minGain = 0.01
	// priorCount is the number of answers that the assumption counts for that a range is like the mean.
	priorCount = 2.0
	// maxLatency bounds what one attempt counts, in mean latencies of its class: a single one says little.
	maxLatency = 16.0
	// minCost is the least cost of a request, in mean requests.
	minCost = 0.05
)

// Profile is how the cost of one class's requests grows with their units. The zero value takes all for alike.
type Profile struct {
	// maxUnits is the most units of a request.
	maxUnits float64
	// ranges is the number of ranges in use.
	ranges int
	// latency has the mean latency of the attempts by range, in mean latencies of the class.
	latency [maxRanges]mean
	// answered has the part of the attempts that were answered, by range.
	answered [maxRanges]mean
	// overallLatency is the mean latency of all attempts, in mean latencies of the class.
	overallLatency mean
	// units is the mean number of units of all attempts.
	units mean
}

// mean is the mean of values, in which later ones count for more once there are many.
type mean struct {
	value float64
	count int
}

// add adds a value.
func (m *mean) add(v float64) {
	m.count++
	m.value += max(minGain, 1/float64(m.count)) * (v - m.value)
}

// withPrior is the mean relative to a base, taken together with the assumption that it is like the base.
func (m *mean) withPrior(base float64) float64 {
	n := float64(m.count)
	return (n*m.value/base + priorCount) / (n + priorCount)
}

// New returns the profile of a class whose requests have up to maxUnits units. A value under 1 or one that is no
// finite number counts as 1.
func New(maxUnits float64) Profile {
	if !(maxUnits >= 1) || math.IsInf(maxUnits, 0) {
		maxUnits = 1
	}
	return Profile{maxUnits: maxUnits, ranges: int(min(maxRanges, math.Ceil(maxUnits)))}
}

// rangeOf is the index of the range that a number of units falls into. More than the most counts as the most.
func (p *Profile) rangeOf(units float64) int {
	if p.ranges <= 1 || !(units > 0) {
		return 0
	}
	position := math.Ceil(units * float64(p.ranges) / p.maxUnits)
	return int(max(1, min(float64(p.ranges), position))) - 1
}

// Cost is the work of a request of a number of units, in mean requests of its class. It is 1 as long as nothing else
// is known, and above 0 always.
func (p *Profile) Cost(units float64) float64 {
	latency := &p.latency[p.rangeOf(units)]
	if p.ranges <= 1 || latency.count == 0 || p.overallLatency.value <= 0 {
		return 1
	}
	return max(minCost, latency.withPrior(p.overallLatency.value))
}

// Add records the end of an attempt of a request of a number of units: its latency, in mean latencies of its class
// now, and whether it was answered in that time. A latency that is negative or no number is ignored.
func (p *Profile) Add(units, latency float64, answered bool) {
	if !(latency >= 0) {
		return
	}
	latency = min(latency, maxLatency)
	index := p.rangeOf(units)
	p.latency[index].add(latency)
	if answered {
		p.answered[index].add(1)
	} else {
		p.answered[index].add(0)
	}
	p.overallLatency.add(latency)
	p.units.add(max(0, units))
}

// Density is the units of a request for its cost, in those of the mean request. It is larger the less work a unit
// takes, and smaller the more often the work is in vain. With one range it is the units alone.
func (p *Profile) Density(units float64) float64 {
	if p.ranges <= 1 || p.units.value <= 0 {
		return units
	}
	answered := &p.answered[p.rangeOf(units)]
	return units / p.units.value / p.Cost(units) * (float64(answered.count)*answered.value + priorCount) /
		(float64(answered.count) + priorCount)
}
