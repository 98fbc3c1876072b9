package quotashare

import "time"

// ShareLease is the fraction of all shares that a gateway has leased. The zero value has no lease.
type ShareLease struct {
	fraction float64
	until    time.Duration
	// increasedAt is when the fraction last grew.
	increasedAt time.Duration
	// inFlightFraction replaces a larger fraction for limits on requests in flight until inFlightCatchUpAt.
	inFlightFraction  float64
	inFlightCatchUpAt time.Duration
}

// Fraction returns the leased fraction at a time, from 0 to 1. It is 0 after the lease has expired.
func (lease *ShareLease) Fraction(now time.Duration) float64 {
	if now >= lease.until {
		return 0
	}
	return lease.fraction
}

// Until returns when the lease expires.
func (lease *ShareLease) Until() time.Duration { return lease.until }

// IncreasedAt returns when the fraction last grew. A bucket that has not been used yet has been filling with the
// current fraction since then.
func (lease *ShareLease) IncreasedAt() time.Duration { return lease.increasedAt }

// HasExpired reports whether the lease has expired since the last Update. The caller must fill its buckets as of Until
// before the next Update.
func (lease *ShareLease) HasExpired(now time.Duration) bool {
	return lease.fraction > 0 && now >= lease.until
}

// Update sets the fraction from now on. maxInFlight is the longest time that a request may be in flight.
func (lease *ShareLease) Update(now time.Duration, fraction float64, until, maxInFlight time.Duration) {
	fraction = max(0, min(1, fraction))
	if now >= until {
		fraction = 0
	}
	previous := lease.Fraction(now)
	if lease.HasExpired(now) {
		lease.inFlightFraction = 0
	}
	switch {
	case fraction > previous:
		lease.inFlightFraction = min(lease.InFlightFraction(now), previous)
		lease.increasedAt = now
		lease.inFlightCatchUpAt = now + maxInFlight
	case fraction < previous:
		lease.inFlightFraction = min(lease.inFlightFraction, fraction)
		if now >= lease.inFlightCatchUpAt {
			lease.inFlightFraction = fraction
		}
	}
	lease.fraction = fraction
	lease.until = until
}

// InFlightFraction returns the fraction to use for limits on requests in flight.
func (lease *ShareLease) InFlightFraction(now time.Duration) float64 {
	fraction := lease.Fraction(now)
	if now >= lease.inFlightCatchUpAt || fraction < lease.inFlightFraction {
		return fraction
	}
	return lease.inFlightFraction
}
