package balancer

import (
	"slices"
	"time"

	"gapgap/internal/balancer/quotashare"
)

// shareState is this gateway's part of what all gateways have in common. With Settings.LeasedShares the part is a
// lease that comes and goes while the gateway runs; else it is even for good. Package quotashare has the arithmetic
// and the proof.
type shareState struct {
	// lease is the leased fraction of all shares.
	lease quotashare.ShareLease
	// deadGateways are the indexes of the gateways that do not serve.
	deadGateways []int
	// excluded is true while this gateway has no share at all, excludedChangedAt when that last changed.
	excluded          bool
	excludedChangedAt time.Duration
	// loansEndAt is when the last loan is over that this gateway has granted.
	loansEndAt time.Duration
	// loanRequests counts the requests for loans since loanRequestsSince.
	loanRequests      int
	loanRequestsSince time.Duration
}

// setExcluded takes whether this gateway has no share at all.
func (share *shareState) setExcluded(now time.Duration, excluded bool) {
	if share.excluded == excluded {
		return
	}
	share.excluded = excluded
	share.excludedChangedAt = now
}

// countLoanRequest counts a request for a loan and reports whether it may be made.
func (share *shareState) countLoanRequest(now time.Duration) bool {
	if now >= share.loanRequestsSince+loanRequestInterval {
		share.loanRequestsSince = now
		share.loanRequests = 0
	}
	share.loanRequests++
	return share.loanRequests <= maxLoanRequests
}

// handleShareUpdate takes this gateway's new share, and which gateways do not serve.
func (b *Balancer) handleShareUpdate(ev ShareUpdate) {
	b.expireShareLease()
	b.refillAllShares()
	if ev.Excluded {
		ev.Fraction = 0
	}
	b.share.lease.Update(b.now, ev.Fraction, ev.Until, b.longestRequest())
	b.share.setExcluded(b.now, ev.Excluded)
	if slices.Equal(ev.DeadGateways, b.share.deadGateways) {
		return
	}
	b.share.deadGateways = slices.Clone(ev.DeadGateways)
	b.updateSubset()
	b.counter.pacer.SetMinRate(b.now, minFleetCallRate/b.liveGateways())
}

// longestRequest is the longest time for which a request of any class may be in flight.
func (b *Balancer) longestRequest() time.Duration {
	longest := time.Duration(0)
	for i := range b.settings.Classes {
		longest = max(longest, b.settings.Classes[i].ClientTimeout+b.settings.DeadlineSlack)
	}
	return longest
}

// liveGateways is the number of gateways that serve, as far as this one knows. It divides what the gateways share
// without a bound that must hold: the least rate of calls to the counter and of its tests, the first concurrency
// limit of an endpoint, the rate of probe requests.
func (b *Balancer) liveGateways() float64 {
	return float64(max(1, b.settings.Gateways-len(b.share.deadGateways)))
}

// expireShareLease ends a lease that is over. It fills the shares by the lease until its end and not longer.
func (b *Balancer) expireShareLease() {
	if !b.share.lease.HasExpired(b.now) {
		return
	}
	b.refillAllSharesUntil(b.share.lease.Until() - 1)
	b.share.lease.Update(b.now, 0, b.now, 0)
	b.refillAllShares()
}

// refillAllShares fills the shares and the fallback tokens of all customers up to now.
func (b *Balancer) refillAllShares() { b.refillAllSharesUntil(b.now) }

// refillAllSharesUntil is refillAllShares up to a time. Shares that are filled up to it or longer stay as they are.
func (b *Balancer) refillAllSharesUntil(until time.Duration) {
	for _, cust := range b.customers.order {
		if cust.plan < len(b.settings.Plans) && cust.ceiling.filledAt < until {
			b.refillCeilingUntil(cust, &b.settings.Plans[cust.plan], until)
			b.refillFallbackUntil(cust, &b.settings.Plans[cust.plan], until)
		}
	}
}
