// Package callpacer limits the rate at which each of many callers calls a shared service, when no caller knows how many
// callers there are or how much load the service can handle. It performs no I/O and reads no clock.
//
// The algorithm follows delay-based congestion control (TCP Vegas, Brakmo and Peterson 1995). The latency of a call
// beyond its latency at an idle service is the queueing time at the service. While that time is short the rate grows;
// as it increases, growth stops and then reverses. A call that is rejected or not answered decreases the rate. Calls
// draw from a token bucket that fills at this rate, so less important calls can be limited to the spare capacity.
package callpacer

import (
	"math"
	"time"
)

const (
	// growthFactor is the fraction by which a call that met no queue increases the rate.
	growthFactor = 0.15
	// decreaseFactor is the factor applied to the rate after a failure.
	decreaseFactor = 0.85
	// baseLatencyDriftWeight is the weight of one call when the idle latency estimate rises.
	baseLatencyDriftWeight = 0.01
	// tokenTolerance allows for the rounding error of a sum of tokens.
	tokenTolerance = 1e-9
)

// Limits are the bounds of a Pacer. All values are positive.
type Limits struct {
	// InitialRate is the initial rate, in calls per second.
	InitialRate float64
	// MinRate is the lowest rate, in calls per second. It applies however badly calls go, so that the end of an outage
	// is noticed.
	MinRate float64
	// MaxRate is the highest rate, in calls per second.
	MaxRate float64
	// Burst is the capacity of the bucket in calls, at least 1.
	Burst float64
	// TargetQueueTime is the longest queueing time at the service that the pacer aims for.
	TargetQueueTime time.Duration
	// DecreaseInterval is the time within which failures count only once, because the calls of one connection fail
	// together.
	DecreaseInterval time.Duration
}

// Pacer limits the calls of one caller. Use New to create one; the zero value is not usable. It is not safe for
// concurrent use.
type Pacer struct {
	limits Limits
	// rate is in calls per second.
	rate float64
	// tokens is the number of calls that may be made immediately, as of filledAt. It may be negative.
	tokens   float64
	filledAt time.Duration
	// baseLatency is the latency of a call to an idle service; 0 means unknown.
	baseLatency time.Duration
	// decreasedAt is when a failure last decreased the rate.
	decreasedAt time.Duration
	// rateUsed is true if a call was held back, or the bucket fell below half, since the rate last grew.
	rateUsed bool
}

// New returns a Pacer with a full bucket.
func New(limits Limits, now time.Duration) *Pacer {
	limits.Burst = max(1, limits.Burst)
	return &Pacer{
		limits:      limits,
		rate:        limits.InitialRate,
		tokens:      limits.Burst,
		filledAt:    now,
		decreasedAt: now - limits.DecreaseInterval,
	}
}

// Rate returns the current rate, in calls per second.
func (pacer *Pacer) Rate() float64 { return pacer.rate }

// SetMinRate sets the lowest rate, in calls per second, after the number of callers has changed.
func (pacer *Pacer) SetMinRate(now time.Duration, minRate float64) {
	pacer.limits.MinRate = minRate
	pacer.setRate(now, pacer.rate)
}

// CanCall reports whether a call may be made that leaves reserve tokens in the bucket for other calls.
func (pacer *Pacer) CanCall(now time.Duration, reserve float64) bool {
	pacer.refill(now)
	if pacer.tokens >= pacer.requiredTokens(reserve)-tokenTolerance {
		return true
	}
	pacer.rateUsed = true
	return false
}

// RecordCall takes a token for a call.
func (pacer *Pacer) RecordCall(now time.Duration) {
	pacer.refill(now)
	pacer.tokens = max(-pacer.limits.Burst, pacer.tokens-1)
	pacer.rateUsed = pacer.rateUsed || pacer.tokens < pacer.limits.Burst/2
}

// WaitTime returns the time until CanCall returns true.
func (pacer *Pacer) WaitTime(now time.Duration, reserve float64) time.Duration {
	pacer.refill(now)
	missing := pacer.requiredTokens(reserve) - pacer.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / pacer.rate * float64(time.Second)))
}

// RecordAnswer records the latency of an answered call. The rate grows only if calls have made use of it, because an
// unused rate shows nothing about the service's capacity.
func (pacer *Pacer) RecordAnswer(now, latency time.Duration) {
	if pacer.baseLatency == 0 || latency < pacer.baseLatency {
		pacer.baseLatency = latency
	} else {
		pacer.baseLatency += time.Duration(baseLatencyDriftWeight * float64(latency-pacer.baseLatency))
	}
	queueRatio := float64(latency-pacer.baseLatency) / float64(pacer.limits.TargetQueueTime)
	growth := growthFactor * (1 - queueRatio)
	if growth < 0 || pacer.rateUsed {
		pacer.setRate(now, pacer.rate*(1+max(growth, decreaseFactor-1)))
		pacer.rateUsed = false
	}
}

// RecordFailure records a call, made at sentAt, that was rejected or not answered.
func (pacer *Pacer) RecordFailure(now, sentAt time.Duration) {
	if sentAt < pacer.decreasedAt || now-pacer.decreasedAt < pacer.limits.DecreaseInterval {
		return
	}
	pacer.setRate(now, pacer.rate*decreaseFactor)
	pacer.decreasedAt = now
}

// requiredTokens returns the number of tokens that must be available for a call that leaves reserve tokens.
func (pacer *Pacer) requiredTokens(reserve float64) float64 {
	return 1 + min(reserve, pacer.limits.Burst-1)
}

// refill fills the bucket up to now.
func (pacer *Pacer) refill(now time.Duration) {
	if now <= pacer.filledAt {
		return
	}
	pacer.tokens = min(pacer.limits.Burst, pacer.tokens+pacer.rate*(now-pacer.filledAt).Seconds())
	pacer.filledAt = now
}

// setRate sets the rate within the limits.
func (pacer *Pacer) setRate(now time.Duration, rate float64) {
	pacer.refill(now)
	pacer.rate = min(pacer.limits.MaxRate, max(pacer.limits.MinRate, rate))
}
