package balancer

import (
	"slices"
	"time"
)

// handleShareUpdate takes news of the doors.
func (b *Balancer) handleShareUpdate(ev ShareUpdate) {
	b.expireShareLease()
	b.refillAllShares()
	longest := time.Duration(0)
	for i := range b.settings.Classes {
		longest = max(longest, b.settings.Classes[i].ClientTimeout+b.settings.DeadlineSlack)
	}
	if ev.Excluded {
		ev.Fraction = 0
	}
	b.share.lease.Take(b.now, ev.Fraction, ev.Until, longest)
	if b.share.excluded != ev.Excluded {
		b.share.excluded, b.share.excludedChangedAt = ev.Excluded, b.now
	}
	if !slices.Equal(ev.DeadGateways, b.share.deadGateways) {
		b.share.deadGateways = slices.Clone(ev.DeadGateways)
		b.updateSubset()
		b.counter.pacer.Floor(b.now, callsLow/b.liveGateways())
	}
}

// liveGateways is how many doors serve as far as this one knows. What they share without a bound that must hold goes by
// it: the least pace of calls to the counter and of its tests, the first places at a server, the pace of trials. What a
// cold server bears goes by what warm ones are
// seen to carry from this door, so by itself.
func (b *Balancer) liveGateways() float64 {
	return float64(max(1, b.settings.Gateways-len(b.share.deadGateways)))
}

// expireShareLease ends a lease that is over: until its end the shares have filled, and not longer.
func (b *Balancer) expireShareLease() {
	if !b.share.lease.Ended(b.now) {
		return
	}
	now := b.now
	b.now = b.share.lease.Until() - 1
	b.refillAllShares()
	b.now = now
	b.share.lease.Take(now, 0, now, 0)
	b.refillAllShares()
}

// refillAllShares fills all shares, and what is held for the counter's silence, up to now, by the parts as they are.
func (b *Balancer) refillAllShares() {
	for _, cust := range b.customerOrder {
		if cust.plan < len(b.settings.Plans) && cust.ceiling.filledAt < b.now {
			b.refillCeiling(cust, &b.settings.Plans[cust.plan])
			b.refillFallback(cust, &b.settings.Plans[cust.plan])
		}
	}
}
