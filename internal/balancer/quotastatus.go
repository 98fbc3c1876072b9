package balancer

import "time"

// QuotaStatus is the state of a customer's quota, as far as this gateway knows.
type QuotaStatus struct {
	// Remaining is the number of units currently in the token bucket.
	Remaining float64
	// FullIn is the time until the bucket is full if no more units are taken.
	FullIn time.Duration
	// Known is false until the counter has reported the bucket's level. Remaining then only covers this gateway's
	// share.
	Known bool
}

// QuotaStatus returns the state of a customer's quota. The second result is false if the gateway does not know the
// customer or if the customer's plan has no quota.
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
