// Package quotashare computes one gateway's share of a token bucket that all gateways have in common, while the
// gateways' views of the membership change and differ. It performs no I/O. Times are passed in, from a clock that keeps
// running while a process is stopped.
//
// A ceiling's bucket (rate C, depth D) has two parts. The kept part is divided evenly and permanently among the
// gateways on the list. No gateway ever takes over another's kept part, so a gateway that is cut off retains its own.
// The rest is leased: a gateway has the fraction w of it for the duration of its lease, and package quotalease ensures
// that the fractions of all gateways add up to at most 1 at every instant. So at every instant the gateways' rates add
// up to at most C and their depths to at most D, whatever each gateway believes.
//
// The units forwarded in any time t are therefore at most C*t+D, provided that a gateway's bucket (1) never holds more
// than its current depth, (2) fills at its current rate, and (3) gains nothing immediately when its fraction grows. At
// the start of that time all gateways together hold at most D, and they fill at a rate of at most C. [ShareLease]
// records when its fraction last grew, because a bucket used for the first time has been filling only since then.
//
// Requests in flight continue under the fraction with which they arrived. A larger fraction therefore applies to limits
// on requests in flight only after the longest time that a request may be in flight. Until then another gateway may
// have requests in flight under it.
package quotashare

// Bucket is a token bucket or one gateway's share of one.
type Bucket struct {
	// Rate is the fill rate, in units per second.
	Rate float64
	// Depth is the capacity, in units.
	Depth float64
}

// Add returns the sum of both buckets.
func (bucket Bucket) Add(other Bucket) Bucket {
	return Bucket{bucket.Rate + other.Rate, bucket.Depth + other.Depth}
}

// Subtract returns the bucket minus the other. Neither rate nor depth goes below 0.
func (bucket Bucket) Subtract(other Bucket) Bucket {
	return Bucket{max(0, bucket.Rate-other.Rate), max(0, bucket.Depth-other.Depth)}
}

// Scale returns a fraction of the bucket.
func (bucket Bucket) Scale(fraction float64) Bucket {
	return Bucket{bucket.Rate * fraction, bucket.Depth * fraction}
}

// Max returns the larger rate and the larger depth of both buckets.
func (bucket Bucket) Max(other Bucket) Bucket {
	return Bucket{max(bucket.Rate, other.Rate), max(bucket.Depth, other.Depth)}
}

// Min returns the smaller rate and the smaller depth of both buckets.
func (bucket Bucket) Min(other Bucket) Bucket {
	return Bucket{min(bucket.Rate, other.Rate), min(bucket.Depth, other.Depth)}
}
