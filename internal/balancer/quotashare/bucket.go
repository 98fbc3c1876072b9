// Package quotashare is the arithmetic of one gateway's part of a token bucket that all gateways have in common,
// while the gateways' knowledge of each other changes and differs. It does no input or output. Times are handed in, by
// a clock that runs on while a process is stopped.
//
// A ceiling's bucket (rate C, depth D) is cut into two. The kept part belongs to the gateways of the list for good,
// evenly: none ever takes another's, so a gateway that is cut off keeps its own. The rest is leased: a gateway has the
// fraction w of it for as long as its lease lasts, and package quotalease sees to it that the fractions of all are 1
// together at most at each instant. So at each instant the gateways' rates are C together at most and their depths D,
// whatever each believes.
//
// This bounds what goes out in any time t by C*t+D as long as a gateway's bucket (1) never holds more than its depth
// of the moment, (2) fills by its rate of the moment, and (3) gains nothing at once when its fraction grows: at the
// beginning of that time all gateways together hold D at most, and they fill by C at most. [ShareLease] keeps what
// that needs: when its fraction grew last, as a bucket that is met for the first time has filled only since then.
//
// Requests in flight go on under the fraction that they came with. So a fraction that has grown counts for limits on
// requests in flight only after the longest time that a request may be in flight: until then another gateway may have
// requests in flight under it.
package quotashare

// Bucket is a token bucket, or one gateway's part of one.
type Bucket struct {
	// Rate is the rate at which it fills, in units a second.
	Rate float64
	// Depth is the number of units that it holds.
	Depth float64
}

// Add returns both together.
func (bucket Bucket) Add(other Bucket) Bucket {
	return Bucket{bucket.Rate + other.Rate, bucket.Depth + other.Depth}
}

// Subtract returns what remains without the other; nothing rather than less.
func (bucket Bucket) Subtract(other Bucket) Bucket {
	return Bucket{max(0, bucket.Rate-other.Rate), max(0, bucket.Depth-other.Depth)}
}

// Scale returns a part of it.
func (bucket Bucket) Scale(fraction float64) Bucket {
	return Bucket{bucket.Rate * fraction, bucket.Depth * fraction}
}

// Max returns the larger rate and the larger depth of both.
func (bucket Bucket) Max(other Bucket) Bucket {
	return Bucket{max(bucket.Rate, other.Rate), max(bucket.Depth, other.Depth)}
}

// Min returns the smaller rate and the smaller depth of both.
func (bucket Bucket) Min(other Bucket) Bucket {
	return Bucket{min(bucket.Rate, other.Rate), min(bucket.Depth, other.Depth)}
}
