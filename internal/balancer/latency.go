package balancer

import (
	"cmp"
	"time"

	"gapgap/internal/balancer/costmodel"
)

// Latency of a class and its endpoints.
const (
	// initialLatencyFraction is the part of the latency objective that a class's latency is before the first answer.
	initialLatencyFraction = 0.1
	// meanLatencyGain is the weight of an answer in its class's mean latency.
	meanLatencyGain = 0.03
	// latencyFactorGain is the weight of an answer in its endpoint's latency factor.
	latencyFactorGain = 0.15
	minLatencyFactor  = 0.2
	// maxLatencyRatio bounds what one answer says of its endpoint, in expected latencies: it may be a costly request.
	maxLatencyRatio = 8.0
	// minMeasuredLatency in seconds stands for an answer within one tick of the caller's clock.
	minMeasuredLatency = 1e-3
	// idleLatencyMinAnswers is the number of answers from which the idle latency no longer follows the mean up.
	idleLatencyMinAnswers = 30
	// idleLatencyGain is the weight of an answer by which the idle latency rises afterwards.
	idleLatencyGain = 0.015
)

// Slowdown of all endpoints together.
const (
	// fleetSlowdownSeconds is the time over which results are averaged.
	fleetSlowdownSeconds = 2.0
	// fleetSlowdownMaxGain is the largest weight of one result.
	fleetSlowdownMaxGain = 0.2
	// fleetSlowdownMax is the most that an answer counts, in expected latencies.
	fleetSlowdownMax = 4.0
	// fleetSlowdownRejected is what an attempt counts that its endpoint rejected, in expected latencies.
	fleetSlowdownRejected = 6.0
)

// latencyEstimator estimates latencies by class, and how much slower than usual all endpoints are now.
type latencyEstimator struct {
	// classes has an estimate for each class of the settings.
	classes []classEstimate
	// fleetSlowdown is the mean latency of the last results of all endpoints, in expected latencies.
	fleetSlowdown float64
	// fleetSlowdownAt is when fleetSlowdown last changed.
	fleetSlowdownAt time.Duration
}

// classEstimate is what this gateway has learned of one class.
type classEstimate struct {
	// meanLatency is the latency of a mean request, in seconds.
	meanLatency float64
	// idleLatency is meanLatency while the endpoints are idle, in seconds.
	idleLatency float64
	// answers is the number of answers that these come from.
	answers int
	// costProfile tells how the cost of a request grows with its units.
	costProfile costmodel.Profile
	// maxTimeLeft is the most time that a client has given a request.
	maxTimeLeft time.Duration
}

// endpointLatency is how one endpoint's latency compares with that of the others.
type endpointLatency struct {
	// factor is the endpoint's latency over the mean latency of its requests' classes; 1: like the others.
	factor float64
}

// reset makes the endpoint like the others.
func (l *endpointLatency) reset() { l.factor = 1 }

// restore takes over the factor that a former process has handed over; 0: none.
func (l *endpointLatency) restore(factor float64) {
	if factor > 0 {
		l.factor = factor
	}
}

// recordAnswer adds an answer's latency, in expected latencies of its class.
func (l *endpointLatency) recordAnswer(ratio float64) {
	l.factor = max(minLatencyFactor, l.factor+latencyFactorGain*(ratio-l.factor))
}

// recordTimeout adds the time of an attempt without an answer, in expected latencies of its class.
func (l *endpointLatency) recordTimeout(ratio float64) {
	l.factor += latencyFactorGain * (ratio - l.factor)
}

// start sets the slowdown of endpoints of which nothing is known.
func (l *latencyEstimator) start() { l.fleetSlowdown = 1 }

// restoreFleet takes over the slowdown that a former process has handed over; 0: none.
func (l *latencyEstimator) restoreFleet(now time.Duration, slowdown float64) {
	l.fleetSlowdown = cmp.Or(slowdown, l.fleetSlowdown)
	l.fleetSlowdownAt = now
}

// recordFleet adds a result of any endpoint to the slowdown of all, in expected latencies.
func (l *latencyEstimator) recordFleet(now time.Duration, ratio float64) {
	gain := min(fleetSlowdownMaxGain, (now-l.fleetSlowdownAt).Seconds()/fleetSlowdownSeconds)
	l.fleetSlowdown += gain * (ratio - l.fleetSlowdown)
	l.fleetSlowdownAt = now
}

// recordAnswer adds the latency of an answered attempt, in seconds.
func (c *classEstimate) recordAnswer(latency float64, req *request) {
	c.answers++
	c.costProfile.Add(req.units, latency/c.meanLatency, true)
	c.meanLatency += max(meanLatencyGain, 1/float64(c.answers)) * (latency/req.cost - c.meanLatency)
}

// recordUnanswered adds the time of an attempt that had no answer in time, in seconds.
func (c *classEstimate) recordUnanswered(latency float64, req *request) {
	c.costProfile.Add(req.units, latency/c.meanLatency, false)
}

// updateIdleLatency follows the mean latency down at once, and up only while so little is in flight that waiting
// can't be the cause. This tells endpoints that have become slow from overloaded ones.
func (c *classEstimate) updateIdleLatency(isLoadMinimal bool) {
	switch {
	// The first few answers may be those of cheap requests.
	case c.meanLatency < c.idleLatency || c.answers <= idleLatencyMinAnswers:
		c.idleLatency = c.meanLatency
	case isLoadMinimal:
		c.idleLatency += idleLatencyGain * (c.meanLatency - c.idleLatency)
	}
}

// expectedLatency is the time in seconds that an attempt of a request takes at an endpoint; nil: at any one. A
// request for admission only has none.
func (b *Balancer) expectedLatency(req *request, ep *endpoint) float64 {
	if req.admitOnly {
		return 0
	}
	latency := b.latency.classes[req.class].meanLatency * req.cost
	if ep != nil {
		latency *= ep.latency.factor
	}
	return latency
}
