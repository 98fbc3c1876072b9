package balancer

import (
	"time"

	"gapgap/internal/balancer/quotashare"
)

// refillFallback fills the tokens that this gateway holds of a customer's quota for the time in which the counter
// does not answer: its even share, or the leased share where the plan gives up shares without a lease.
func (b *Balancer) refillFallback(cust *customer, plan *Plan) {
	b.refillFallbackUntil(cust, plan, b.now)
}

// refillFallbackUntil is refillFallback up to a time, which is before now where a lease has ended then.
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

// leasedFraction is the leased part, at a time, of what a customer's gateways have in common; 0 for a gateway that is
// excluded.
func (b *Balancer) leasedFraction(cust *customer, now time.Duration) float64 {
	if b.share.excluded {
		return 0
	}
	return quotashare.FractionAmong(b.share.lease.Fraction(now), cust.gateways, float64(b.settings.Gateways))
}
