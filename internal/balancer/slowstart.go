package balancer

import (
	"math"
	"time"

	"gapgap/internal/balancer/slowstart"
)

const (
	warmRateSeconds = 3.0 // seconds over which the sends to a warm server are averaged
)

// slowStartExhausted says that a cold server has had its budget: package cold says what that is.
func (b *Balancer) slowStartExhausted(ep *endpoint) bool {
	w := slowstart.Warmth{Now: b.capacityFraction(ep), Then: b.capacityFractionAt(ep, b.now-b.settings.OverloadWindow)}
	return w.Now < 1 &&
		ep.slowStart.Full(b.now, b.slowStartTerms(), b.warmEndpointRate*ep.weight*ep.slowStartShare, w, b.rng.Float64)
}

// capacityFraction is the share of its capacity that a server has at least.
func (b *Balancer) capacityFraction(ep *endpoint) float64 {
	if !ep.warmingUp || b.now-ep.warmUpFrom >= b.settings.SlowStartDuration {
		ep.warmingUp, ep.slowStart = false, slowstart.Book{}
		return 1
	}
	return b.capacityFractionAt(ep, b.now)
}

// capacityFractionAt is how warm a cold server was at a time.
func (b *Balancer) capacityFractionAt(ep *endpoint, at time.Duration) float64 {
	return b.settings.SlowStartCapacity + (1-b.settings.SlowStartCapacity)*max(
		0,
		float64(at-ep.warmUpFrom),
	)/float64(
		b.settings.SlowStartDuration,
	)
}

// slowStartTerms are what a cold server bears, and how many doors use each.
func (b *Balancer) slowStartTerms() slowstart.Terms {
	return slowstart.Terms{
		Multiple: b.settings.OverloadMultiple,
		Window:   b.settings.OverloadWindow,
		Doors:    float64(max(1, b.gatewaysPerEndpoint)),
	}
}

// recordWarmRate keeps the mean rate of what a warm server carries, in mean requests: answers, as under overload more
// is sent.
func (b *Balancer) recordWarmRate(size float64) {
	n := 0.0
	for _, ep := range b.endpointOrder {
		if ep.isUsable() && !ep.warmingUp && ep.inSubset {
			n++
		}
	}
	gap := (b.now - b.warmEndpointRateAt).Seconds() / warmRateSeconds
	b.warmEndpointRate = b.warmEndpointRate*math.Exp(-gap) + size/(warmRateSeconds*max(1, n))
	b.warmEndpointRateAt = b.now
}
