package balancer

import (
	"cmp"
	"time"

	"gapgap/internal/balancer/costmodel"
)

// Parameters of the latency estimates of classes and endpoints.
const (
	// initialLatencyFraction times the latency objective is the assumed latency of a class before its first answer.
	initialLatencyFraction = 0.1
	// meanLatencyGain is the weight of one answer in the mean latency of its class.
	meanLatencyGain = 0.03
	// latencyFactorGain is the weight of one answer in the latency factor of its endpoint.
	latencyFactorGain = 0.15
	minLatencyFactor  = 0.2
	// maxLatencyRatio caps the influence of one answer on its endpoint's estimates, in expected latencies, because a
	// single slow answer may be due to an expensive request.
	maxLatencyRatio = 8.0
	// minMeasuredLatency, in seconds, replaces latencies below the clock resolution of the caller.
	minMeasuredLatency = 1e-3
	// idleLatencyMinAnswers is the number of answers after which the idle latency no longer follows the mean upwards at
	// once.
	idleLatencyMinAnswers = 30
	// idleLatencyGain is the weight of one answer when the idle latency rises after that.
	idleLatencyGain = 0.015
)

// Parameters of the fleet slowdown.
const (
	// fleetSlowdownSeconds is the averaging time.
	fleetSlowdownSeconds = 2.0
	// fleetSlowdownMaxGain is the maximum weight of one result.
	fleetSlowdownMaxGain = 0.2
	// fleetSlowdownMax caps the value of one answer, in expected latencies.
	fleetSlowdownMax = 4.0
	// fleetSlowdownRejected is the value of an attempt that its endpoint rejected, in expected latencies.
	fleetSlowdownRejected = 6.0
)

// latencyEstimator estimates the latency of each class, and how much slower than usual the whole fleet of endpoints is.
type latencyEstimator struct {
	// classes holds one estimate for each class of the settings.
	classes []classEstimate
	// fleetSlowdown is the moving average of recent results of all endpoints, in expected latencies.
	fleetSlowdown float64
	// fleetSlowdownAt is when fleetSlowdown was last updated.
	fleetSlowdownAt time.Duration
}

// classEstimate holds the estimates for one class.
type classEstimate struct {
	// meanLatency is the latency of a mean request of the class, in seconds.
	meanLatency float64
	// idleLatency is the value of meanLatency while the endpoints are idle, in seconds.
	idleLatency float64
	// answers is the number of answers that both latencies are based on.
	answers int
	// costProfile models how the cost of a request depends on its units.
	costProfile costmodel.Profile
	// maxTimeLeft is the longest time that any request had left on arrival.
	maxTimeLeft time.Duration
}

// endpointLatency compares the latency of one endpoint with that of the others.
type endpointLatency struct {
	// factor is the endpoint's latency divided by the mean latency of the classes of its requests; 1 is average.
	factor float64
}

// reset sets the latency of the endpoint to that of an average endpoint.
func (l *endpointLatency) reset() { l.factor = 1 }

// restore applies the factor that the previous process handed over; 0 means that there is none.
func (l *endpointLatency) restore(factor float64) {
	if factor > 0 {
		l.factor = factor
	}
}

// recordAnswer adds the latency of an answer, as a ratio to the expected latency of its class.
func (l *endpointLatency) recordAnswer(ratio float64) {
	l.factor = max(minLatencyFactor, l.factor+latencyFactorGain*(ratio-l.factor))
}

// recordTimeout adds the duration of an unanswered attempt, as a ratio to the expected latency of its class.
func (l *endpointLatency) recordTimeout(ratio float64) {
	l.factor += latencyFactorGain * (ratio - l.factor)
}

// start sets the slowdown of a fleet of which nothing is known yet.
func (l *latencyEstimator) start() { l.fleetSlowdown = 1 }

// restoreFleet applies the slowdown that the previous process handed over; 0 means that there is none.
func (l *latencyEstimator) restoreFleet(now time.Duration, slowdown float64) {
	l.fleetSlowdown = cmp.Or(slowdown, l.fleetSlowdown)
	l.fleetSlowdownAt = now
}

// recordFleet adds a result of any endpoint to the fleet slowdown, as a ratio to the expected latency.
func (l *latencyEstimator) recordFleet(now time.Duration, ratio float64) {
	gain := min(fleetSlowdownMaxGain, (now-l.fleetSlowdownAt).Seconds()/fleetSlowdownSeconds)
	l.fleetSlowdown += gain * (ratio - l.fleetSlowdown)
	l.fleetSlowdownAt = now
}

// recordAnswer adds the latency, in seconds, of a successful attempt.
func (c *classEstimate) recordAnswer(latency float64, req *request) {
	c.answers++
	c.costProfile.Add(req.units, latency/c.meanLatency, true)
	c.meanLatency += max(meanLatencyGain, 1/float64(c.answers)) * (latency/req.cost - c.meanLatency)
}

// recordUnanswered adds the duration, in seconds, of an attempt that was not answered in time.
func (c *classEstimate) recordUnanswered(latency float64, req *request) {
	c.costProfile.Add(req.units, latency/c.meanLatency, false)
}

// updateIdleLatency adapts the idle latency to the mean latency. It falls at once, but rises only while so little is in
// flight that queueing cannot be the cause. This distinguishes endpoints that have become slow from overloaded ones.
func (c *classEstimate) updateIdleLatency(isLoadMinimal bool) {
	switch {
	// The first few answers may all belong to cheap requests.
	case c.meanLatency < c.idleLatency || c.answers <= idleLatencyMinAnswers:
		c.idleLatency = c.meanLatency
	case isLoadMinimal:
		c.idleLatency += idleLatencyGain * (c.meanLatency - c.idleLatency)
	}
}

// expectedLatency returns the expected latency, in seconds, of an attempt of a request at an endpoint, or at an average
// endpoint if ep is nil. It is 0 for a request for admission only.
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
