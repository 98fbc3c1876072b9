package balancer

import (
	"math"
	"time"

	"gapgap/internal/balancer/slowstart"
)

// warmRateSeconds is the averaging time of the answer rate of warm endpoints.
const warmRateSeconds = 3.0

// slowStartState is the slow start of one endpoint, which has only part of its capacity for a time after its start.
type slowStartState struct {
	// active is set while the endpoint warms up.
	active bool
	// since is when the slow start began.
	since time.Duration
	// share is the fraction of this gateway's rate-based slow-start budget that this Balancer may use; it is below 1 if
	// several pools share the endpoint.
	share float64
	// budget tracks what this gateway sent and what was answered.
	budget slowstart.Budget
}

// begin starts a slow start, or moves the start of the current one.
func (s *slowStartState) begin(since time.Duration) {
	s.active = true
	s.since = since
}

// finish ends the slow start.
func (s *slowStartState) finish() {
	s.active = false
	s.budget = slowstart.Budget{}
}

// restore applies the slow start that the previous process handed over.
func (s *slowStartState) restore(from *EndpointHandover) {
	s.active = from.WarmingUp
	s.since = from.WarmUpFrom
	for _, dispatch := range from.Dispatches {
		s.budget.RecordDispatch(dispatch.At, dispatch.Cost)
	}
}

// recordDispatch counts an attempt dispatched while the endpoint warms up. cost is in mean requests.
func (s *slowStartState) recordDispatch(now time.Duration, cost float64) {
	if s.active {
		s.budget.RecordDispatch(now, cost)
	}
}

// warmRateEstimate is the mean rate at which a warm endpoint answers this gateway.
type warmRateEstimate struct {
	// value is in mean requests per second.
	value float64
	// updatedAt is when value was last updated.
	updatedAt time.Duration
}

// restart sets the rate to the one learned by the previous process, or 0.
func (r *warmRateEstimate) restart(now time.Duration, rate float64) {
	r.value = rate
	r.updatedAt = now
}

// record adds an answer of one of several warm endpoints. cost is in mean requests.
func (r *warmRateEstimate) record(now time.Duration, cost, warmEndpoints float64) {
	decay := (now - r.updatedAt).Seconds() / warmRateSeconds
	r.value = r.value*math.Exp(-decay) + cost/(warmRateSeconds*max(1, warmEndpoints))
	r.updatedAt = now
}

// isSlowStartExhausted reports whether a warming endpoint has used up its slow-start budget; see package slowstart. It
// may draw a random number.
func (b *Balancer) isSlowStartExhausted(ep *endpoint) bool {
	capacity := slowstart.Capacity{
		Now:  b.capacityFraction(ep),
		Then: b.capacityFractionAt(ep, b.now-b.settings.OverloadWindow),
	}
	if capacity.Now >= 1 {
		return false
	}
	rate := b.warmRate.value * ep.weight * ep.slowStart.share
	return ep.slowStart.budget.IsExhausted(b.now, b.slowStartTerms(), rate, capacity, b.rng.Float64)
}

// capacityFraction returns the fraction of its capacity that an endpoint is expected to have at least now. It ends a
// slow start whose duration has passed.
func (b *Balancer) capacityFraction(ep *endpoint) float64 {
	if !ep.slowStart.active || b.now-ep.slowStart.since >= b.settings.SlowStartDuration {
		ep.slowStart.finish()
		return 1
	}
	return b.capacityFractionAt(ep, b.now)
}

// capacityFractionAt returns the fraction of its capacity that a warming endpoint has at a time. It grows linearly.
func (b *Balancer) capacityFractionAt(ep *endpoint, at time.Duration) float64 {
	initial := b.settings.SlowStartCapacity
	elapsed := max(0, float64(at-ep.slowStart.since))
	return initial + (1-initial)*elapsed/float64(b.settings.SlowStartDuration)
}

// slowStartTerms returns the load that warming endpoints can take, and the number of gateways that use each endpoint.
func (b *Balancer) slowStartTerms() slowstart.Terms {
	return slowstart.Terms{
		OverloadMultiple: b.settings.OverloadMultiple,
		Window:           b.settings.OverloadWindow,
		Gateways:         float64(max(1, b.endpoints.gatewaysPerEndpoint)),
	}
}

// recordWarmAnswer counts an answer of a warm endpoint. Answers are counted rather than dispatches, because under
// overload more is dispatched than answered.
func (b *Balancer) recordWarmAnswer(cost float64) {
	warm := 0.0
	for _, ep := range b.endpoints.ordered {
		if ep.isUsable() && !ep.slowStart.active && ep.inSubset {
			warm++
		}
	}
	b.warmRate.record(b.now, cost, warm)
}
