package balancer

import "time"

// QuotaStatus is how a customer stands with its quota, as far as this gateway knows.
type QuotaStatus struct {
	// Remaining is the number of units that its token bucket has now.
	Remaining float64
	// FullIn is the time until the bucket is full if nothing is taken.
	FullIn time.Duration
	// Known is false while the counter has not told of the bucket: Remaining is then this gateway's share only.
	Known bool
}

// QuotaStatus returns how a customer stands. The second result is false for a customer that the gateway does not know
// or whose plan has no quota.
func (b *Balancer) QuotaStatus(name string) (QuotaStatus, bool) {
	cust := b.customers.find(name)
	if cust == nil || b.settings.Plans[cust.plan].Rate <= 0 {
		return QuotaStatus{}, false
	}
	plan := &b.settings.Plans[cust.plan]
	remaining := cust.quota.fallbackTokens
	if cust.bucket.known {
		remaining = b.bucketLevel(cust, plan) + cust.quota.tokens
	}
	remaining = min(plan.Burst, max(0, remaining))
	return QuotaStatus{
		Remaining: remaining,
		FullIn:    time.Duration((plan.Burst - remaining) / plan.Rate * float64(time.Second)),
		Known:     cust.bucket.known,
	}, true
}
