package balancer

import (
	"time"

	"gapgap/internal/balancer/quotashare"
)

// refillFallback refills the tokens of a customer's quota that this gateway uses while the counter does not respond.
// They come from its even share, or from its leased share if the plan keeps no share without a lease.
func (b *Balancer) refillFallback(cust *customer, plan *Plan) {
	b.refillFallbackUntil(cust, plan, b.now)
}

// refillFallbackUntil is refillFallback up to a given time, which is in the past if a lease ended then.
func (b *Balancer) refillFallbackUntil(cust *customer, plan *Plan, now time.Duration) {
	quota := &cust.quota
	fraction := 1 / cust.gateways
	if b.settings.LeasedShares && plan.PartitionPolicy == quotashare.KeepNone && plan.CeilingRate > 0 {
		fraction = b.leasedFraction(cust, now)
		quota.limitFallback(plan.Burst * fraction)
	}
	filled := plan.Rate * fraction * (1 - b.counter.callFraction) * b.refillSeconds(quota.fallbackFilledAt, now)
	quota.fillFallback(now, filled, plan.Burst*fraction)
}

// leasedFraction returns this gateway's leased fraction, at a given time, of what a customer's gateways share. It is 0
// for an excluded gateway.
func (b *Balancer) leasedFraction(cust *customer, now time.Duration) float64 {
	if b.share.excluded {
		return 0
	}
	return quotashare.FractionWithinSubset(b.share.lease.Fraction(now), cust.gateways, float64(b.settings.Gateways))
}
