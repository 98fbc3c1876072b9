package quotashare

import "time"

// ShareLease is the fraction of all shares that a gateway has leased. The zero value has nothing.
type ShareLease struct {
	fraction float64
	until    time.Duration
	// increasedAt is when the fraction last grew.
	increasedAt time.Duration
	// inFlightFraction takes the place of a larger fraction for limits on requests in flight until inFlightCatchUpAt.
	inFlightFraction  float64
	inFlightCatchUpAt time.Duration
}

// Fraction is the leased fraction at a time, from 0 to 1. A lease that is over is worth nothing.
func (lease *ShareLease) Fraction(now time.Duration) float64 {
	if now >= lease.until {
		return 0
	}
	return lease.fraction
}

// Until is when the lease ends.
func (lease *ShareLease) Until() time.Duration { return lease.until }

// IncreasedAt is when the fraction last grew: a bucket that was never used has been filling by it since then.
func (lease *ShareLease) IncreasedAt() time.Duration { return lease.increasedAt }

// HasExpired reports whether the lease has ended since the last Update. The caller fills its buckets as of Until
// before the next.
func (lease *ShareLease) HasExpired(now time.Duration) bool {
	return lease.fraction > 0 && now >= lease.until
}

// Update sets the fraction from now on. maxInFlight is how long a request may be in flight.
func (lease *ShareLease) Update(now time.Duration, fraction float64, until, maxInFlight time.Duration) {
	fraction = max(0, min(1, fraction))
	if now >= until {
		fraction = 0
	}
	former := lease.Fraction(now)
	if lease.HasExpired(now) {
		lease.inFlightFraction = 0
	}
	switch {
	case fraction > former:
		lease.inFlightFraction = min(lease.InFlightFraction(now), former)
		lease.increasedAt = now
		lease.inFlightCatchUpAt = now + maxInFlight
	case fraction < former:
		lease.inFlightFraction = min(lease.inFlightFraction, fraction)
		if now >= lease.inFlightCatchUpAt {
			lease.inFlightFraction = fraction
		}
	}
	lease.fraction = fraction
	lease.until = until
}

// InFlightFraction is the fraction for limits on requests in flight.
func (lease *ShareLease) InFlightFraction(now time.Duration) float64 {
	fraction := lease.Fraction(now)
	if now >= lease.inFlightCatchUpAt || fraction < lease.inFlightFraction {
		return fraction
	}
	return lease.inFlightFraction
}
