package quotashare

// PartitionPolicy is what a gateway keeps of a ceiling without a lease.
type PartitionPolicy int

const (
	// KeepQuota keeps its even part of what the quota allows, so that a gateway that is cut off serves that much.
	KeepQuota PartitionPolicy = iota
	// KeepAll keeps its even part of all, so that no gateway ever takes over a dead one's part.
	KeepAll
	// KeepNone keeps nothing: a dead gateway's whole part is taken over, and one that is cut off has none.
	KeepNone
)

// Share is a gateway's part of a ceiling's bucket. The quota's bucket is what KeepQuota keeps. even is the even part
// of each gateway and leased its leased fraction, both from 0 to 1.
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

// FractionAmong is a gateway's fraction for a customer that comes through some of all gateways only. These can't take
// over from one that it does not come through, so none has more than its even part of these.
func FractionAmong(fraction float64, some, all float64) float64 {
	if some >= all {
		return fraction
	}
	return min(1, fraction*all) / some
}
