package quotashare

// PartitionPolicy defines which part of a ceiling a gateway keeps without a lease.
type PartitionPolicy int

const (
	// KeepQuota keeps the gateway's even share of the quota, so that a gateway that is cut off can still serve that
	// much.
	KeepQuota PartitionPolicy = iota
	// KeepAll keeps the gateway's even share of the whole ceiling. No gateway takes over the share of a dead one.
	KeepAll
	// KeepNone keeps nothing. The whole share of a dead gateway is taken over, and a gateway that is cut off has none.
	KeepNone
)

// Share returns a gateway's share of a ceiling's bucket. quota is the part that KeepQuota keeps. even is the even
// fraction of each gateway and leased is the fraction that this gateway has leased, both from 0 to 1.
func (policy PartitionPolicy) Share(ceiling, quota Bucket, even, leased float64) Bucket {
	var kept Bucket
	switch policy {
	case KeepQuota:
		kept = quota.Min(ceiling)
	case KeepAll:
		kept = ceiling
	}
	return Bucket{
		Rate:  kept.Rate*even + (ceiling.Rate-kept.Rate)*leased,
		Depth: kept.Depth*even + (ceiling.Depth-kept.Depth)*leased,
	}
}

// FractionWithinSubset returns a gateway's fraction for a customer whose requests arrive at only a subset of the
// gateways. These gateways cannot take over the share of a gateway outside the subset, so the fraction is at most the
// even share within the subset.
func FractionWithinSubset(fraction float64, subset, total float64) float64 {
	if subset >= total {
		return fraction
	}
	return min(1, fraction*total) / subset
}
