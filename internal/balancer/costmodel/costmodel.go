// Package costmodel learns how the work of a request depends on the units that it declares. Where a quota counts the
// size of requests, a request of four units may keep an endpoint busy several times as long as one of one unit. If all
// requests of a class had the same expected latency, small requests would be expected too late and large ones too
// early.
//
// The relation of work to units is not known in advance, so it is measured. Units are divided into ranges, and each
// range keeps the mean latency of its answers relative to the mean latency of the class at the time of the answer. A
// class that becomes slow as a whole therefore changes no cost. If all requests have one unit, there is a single range
// and every cost is exactly 1.
//
// The package does no input or output and reads no clock.
package costmodel

import "math"

const (
	// maxRanges is the maximum number of ranges that units are divided into.
	maxRanges = 8
	// minGain is the weight of a value in the mean of many values.
	minGain = 0.01
	// priorCount is the weight, in answers, of the prior assumption that a range does not differ from the overall mean.
	priorCount = 2.0
	// maxLatency caps the latency of one attempt, in mean latencies of its class, because a single attempt says little.
	maxLatency = 16.0
	// minCost is the lower bound of a request's cost, in mean requests.
	minCost = 0.05
)

// Profile models how the cost of one class's requests depends on their units. The zero value treats all requests alike.
type Profile struct {
	// maxUnits is the maximum number of units of a request.
	maxUnits float64
	// ranges is the number of ranges in use.
	ranges int
	// latency holds the mean latency of the attempts in each range, in mean latencies of the class.
	latency [maxRanges]runningMean
	// answered holds the fraction of the attempts in each range that were answered.
	answered [maxRanges]runningMean
	// overallLatency is the mean latency of all attempts, in mean latencies of the class.
	overallLatency runningMean
	// units is the mean number of units of all attempts.
	units runningMean
}

// runningMean is the mean of a series of values. Once there are many, it becomes an exponential moving average.
type runningMean struct {
	value float64
	count int
}

// add adds a value.
func (m *runningMean) add(v float64) {
	m.count++
	m.value += max(minGain, 1/float64(m.count)) * (v - m.value)
}

// withPrior returns the mean relative to base, combined with the prior assumption that both are equal.
func (m *runningMean) withPrior(base float64) float64 {
	n := float64(m.count)
	return (n*m.value/base + priorCount) / (n + priorCount)
}

// New returns the profile of a class whose requests have up to maxUnits units. A value that is below 1 or not finite
// counts as 1.
func New(maxUnits float64) Profile {
	if !(maxUnits >= 1) || math.IsInf(maxUnits, 0) {
		maxUnits = 1
	}
	return Profile{maxUnits: maxUnits, ranges: int(min(maxRanges, math.Ceil(maxUnits)))}
}

// rangeOf returns the index of the range that a number of units falls into. Values above maxUnits fall into the last
// range.
func (p *Profile) rangeOf(units float64) int {
	if p.ranges <= 1 || !(units > 0) {
		return 0
	}
	position := math.Ceil(units * float64(p.ranges) / p.maxUnits)
	return int(max(1, min(float64(p.ranges), position))) - 1
}

// Cost returns the expected work of a request, in mean requests of its class. It is always above 0, and 1 as long as
// nothing has been measured.
func (p *Profile) Cost(units float64) float64 {
	latency := &p.latency[p.rangeOf(units)]
	if p.ranges <= 1 || latency.count == 0 || p.overallLatency.value <= 0 {
		return 1
	}
	return max(minCost, latency.withPrior(p.overallLatency.value))
}

// Add records a finished attempt: its latency, in current mean latencies of its class, and whether it was answered.
// Latencies that are negative or NaN are ignored.
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

// Density returns the units of a request in relation to its cost, normalized by the mean request. It is higher the less
// work a unit takes, and lower the more often attempts of this size go unanswered. With a single range it equals the
// units.
func (p *Profile) Density(units float64) float64 {
	if p.ranges <= 1 || p.units.value <= 0 {
		return units
	}
	answered := &p.answered[p.rangeOf(units)]
	return units / p.units.value / p.Cost(units) * (float64(answered.count)*answered.value + priorCount) /
		(float64(answered.count) + priorCount)
}
