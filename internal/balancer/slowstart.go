package balancer

import (
	"math"
	"time"

	"gapgap/internal/balancer/slowstart"
)

// warmRateSeconds is the time over which the answers of warm endpoints are averaged.
const warmRateSeconds = 3.0

// slowStartState is the slow start of one endpoint: for a while after its start it has a part of its capacity.
type slowStartState struct {
	// active is set while the endpoint warms up.
	active bool
	// since is when the endpoint began to warm up.
	since time.Duration
	// share is this gateway's part of what the endpoint can take while it warms up; 1: all of a gateway's part.
	share float64
	// budget counts what this gateway sent and got answered.
	budget slowstart.Budget
}

// begin starts to warm up, or goes on warming up since another time.
func (s *slowStartState) begin(since time.Duration) {
	s.active = true
	s.since = since
}

// finish ends the warm-up.
func (s *slowStartState) finish() {
	s.active = false
	s.budget = slowstart.Budget{}
}

// restore takes over the warm-up that a former process has handed over.
func (s *slowStartState) restore(from *EndpointHandover) {
	s.active = from.WarmingUp
	s.since = from.WarmUpFrom
	for _, dispatch := range from.Sends {
		s.budget.RecordDispatch(dispatch.At, dispatch.Cost)
	}
}

// recordDispatch counts an attempt that goes out while the endpoint warms up; cost is in mean requests.
func (s *slowStartState) recordDispatch(now time.Duration, cost float64) {
	if s.active {
		s.budget.RecordDispatch(now, cost)
	}
}

// warmRateEstimate is the mean rate at which a warm endpoint answers this gateway.
type warmRateEstimate struct {
	// value is in mean requests a second.
	value float64
	// updatedAt is when value last changed.
	updatedAt time.Duration
}

// restart sets the rate, as learned by a former process or 0.
func (r *warmRateEstimate) restart(now time.Duration, rate float64) {
	r.value = rate
	r.updatedAt = now
}

// record adds an answer that cost so many mean requests, of one of a number of warm endpoints.
func (r *warmRateEstimate) record(now time.Duration, cost, warmEndpoints float64) {
	decay := (now - r.updatedAt).Seconds() / warmRateSeconds
	r.value = r.value*math.Exp(-decay) + cost/(warmRateSeconds*max(1, warmEndpoints))
	r.updatedAt = now
}

// isSlowStartExhausted reports whether a warming endpoint has had its budget; see package slowstart. It may draw a
// random number.
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

// capacityFraction is the part of its capacity that an endpoint has now at least. It ends a warm-up that is over.
func (b *Balancer) capacityFraction(ep *endpoint) float64 {
	if !ep.slowStart.active || b.now-ep.slowStart.since >= b.settings.SlowStartDuration {
		ep.slowStart.finish()
		return 1
	}
	return b.capacityFractionAt(ep, b.now)
}

// capacityFractionAt is the part of its capacity that a warming endpoint had at a time. It grows evenly.
func (b *Balancer) capacityFractionAt(ep *endpoint, at time.Duration) float64 {
	initial := b.settings.SlowStartCapacity
	elapsed := max(0, float64(at-ep.slowStart.since))
	return initial + (1-initial)*elapsed/float64(b.settings.SlowStartDuration)
}

// slowStartTerms are what a warming endpoint can take, and how many gateways use it.
func (b *Balancer) slowStartTerms() slowstart.Terms {
	return slowstart.Terms{
		OverloadMultiple: b.settings.OverloadMultiple,
		Window:           b.settings.OverloadWindow,
		Gateways:         float64(max(1, b.endpoints.gatewaysPerEndpoint)),
	}
}

// recordWarmAnswer counts an answer of a warm endpoint. Answers are counted, as more than these is dispatched under
// overload.
func (b *Balancer) recordWarmAnswer(cost float64) {
	warm := 0.0
	for _, ep := range b.endpoints.ordered {
		if ep.isUsable() && !ep.slowStart.active && ep.inSubset {
			warm++
		}
	}
	b.warmRate.record(b.now, cost, warm)
}
