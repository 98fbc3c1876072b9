package balancer

import (
	"slices"
	"time"

	"gapgap/internal/balancer/quotashare"
)

// shareState is this gateway's part of what all gateways share. With Settings.LeasedShares this part is a lease that
// changes while the gateway runs; otherwise it is a fixed even part. Package quotashare contains the arithmetic and the
// proof.
type shareState struct {
	// lease is the leased fraction of all shares.
	lease quotashare.ShareLease
	// deadGateways are the indexes of the gateways that are not serving.
	deadGateways []int
	// excluded is true while this gateway has no share at all, and excludedChangedAt is when that last changed.
	excluded          bool
	excludedChangedAt time.Duration
	// loansEndAt is when the last loan granted by this gateway ends.
	loansEndAt time.Duration
	// loanRequests is the number of loan requests since loanRequestsSince.
	loanRequests      int
	loanRequestsSince time.Duration
}

// setExcluded records whether this gateway has no share at all.
func (share *shareState) setExcluded(now time.Duration, excluded bool) {
	if share.excluded == excluded {
		return
	}
	share.excluded = excluded
	share.excludedChangedAt = now
}

// countLoanRequest counts a loan request and reports whether it is within the rate limit.
func (share *shareState) countLoanRequest(now time.Duration) bool {
	if now >= share.loanRequestsSince+loanRequestInterval {
		share.loanRequestsSince = now
		share.loanRequests = 0
	}
	share.loanRequests++
	return share.loanRequests <= maxLoanRequests
}

// handleShareUpdate applies this gateway's new share and the list of gateways that are not serving.
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

// longestRequest returns the longest time for which a request of any class may be in flight.
func (b *Balancer) longestRequest() time.Duration {
	longest := time.Duration(0)
	for i := range b.settings.Classes {
		longest = max(longest, b.settings.Classes[i].ClientTimeout+b.settings.DeadlineSlack)
	}
	return longest
}

// liveGateways returns the number of gateways that are serving, as far as this one knows. It divides shared amounts
// that are not subject to a hard bound: the minimum call rate and the probe rate of the counter, the initial
// concurrency limit of an endpoint, and the rate of probe requests.
func (b *Balancer) liveGateways() float64 {
	return float64(max(1, b.settings.Gateways-len(b.share.deadGateways)))
}

// expireShareLease ends an expired lease. Shares are refilled at the leased rate only until the end of the lease.
func (b *Balancer) expireShareLease() {
	if !b.share.lease.HasExpired(b.now) {
		return
	}
	b.refillAllSharesUntil(b.share.lease.Until() - 1)
	b.share.lease.Update(b.now, 0, b.now, 0)
	b.refillAllShares()
}

// refillAllShares refills the shares and fallback tokens of all customers up to now.
func (b *Balancer) refillAllShares() { b.refillAllSharesUntil(b.now) }

// refillAllSharesUntil is refillAllShares up to a given time. Shares that are already filled up to that time or later
// are left unchanged.
func (b *Balancer) refillAllSharesUntil(until time.Duration) {
	for _, cust := range b.customers.order {
		if cust.plan < len(b.settings.Plans) && cust.ceiling.filledAt < until {
			b.refillCeilingUntil(cust, &b.settings.Plans[cust.plan], until)
			b.refillFallbackUntil(cust, &b.settings.Plans[cust.plan], until)
		}
	}
}
