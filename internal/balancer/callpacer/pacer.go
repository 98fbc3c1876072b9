// Package callpacer limits how many calls a second one of many callers makes to a service that they share, when none
// of them knows how many there are or how much the service bears. It does no input or output and reads no clock.
//
// It is in spirit congestion control by delay (TCP Vegas, Brakmo and Peterson 1995): the time that calls take beyond
// what they take at an idle service is the queue there. While that is short the rate grows, as it lengthens the growth
// ends and turns, and a call that is rejected or not answered decreases it. Calls are drawn from a token bucket that
// fills at that rate, so calls of less weight can be held to what is left over.
package callpacer

import (
	"math"
	"time"
)

const (
	// growthFactor is the part of the rate by which a call grows it that met no queue.
	growthFactor = 0.15
	// decreaseFactor is the factor on the rate for a failure.
	decreaseFactor = 0.85
	// baseLatencyDriftWeight is the weight of a call by which the latency of an idle service rises.
	baseLatencyDriftWeight = 0.01
	// tokenTolerance is the rounding error of a sum of tokens.
	tokenTolerance = 1e-9
)

// Limits bound a Pacer. All of them are positive.
type Limits struct {
	// InitialRate is the first rate, in calls a second.
	InitialRate float64
	// MinRate is the rate however badly calls go, in calls a second: it finds out when that is over.
	MinRate float64
	// MaxRate is the greatest rate, in calls a second.
	MaxRate float64
	// Burst is the number of calls that the bucket holds at most, 1 at least.
	Burst float64
	// TargetQueueTime is the longest queue at the service that is aimed at.
	TargetQueueTime time.Duration
	// DecreaseInterval is the time within which failures count once: those of one connection end together.
	DecreaseInterval time.Duration
}

// Pacer is one caller's. The zero value is not ready; see New. One goroutine owns it.
type Pacer struct {
	limits Limits
	// rate is in calls a second.
	rate float64
	// tokens is the number of calls that may be made at once, as of filledAt. It may be below 0.
	tokens   float64
	filledAt time.Duration
	// baseLatency is the time that a call takes at an idle service; 0: not known.
	baseLatency time.Duration
	// decreasedAt is when a failure last decreased the rate.
	decreasedAt time.Duration
	// demanded is true when a call was held back, or the bucket was low, since the rate last grew.
	demanded bool
}

// New makes a Pacer with a full bucket.
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

// Rate is how many calls a second may be made now.
func (pacer *Pacer) Rate() float64 { return pacer.rate }

// SetMinRate changes the least rate, in calls a second, as the number of callers has changed.
func (pacer *Pacer) SetMinRate(now time.Duration, minRate float64) {
	pacer.limits.MinRate = minRate
	pacer.setRate(now, pacer.rate)
}

// CanCall reports whether a call may be made that leaves so many calls to others.
func (pacer *Pacer) CanCall(now time.Duration, reserve float64) bool {
	pacer.refill(now)
	if pacer.tokens >= pacer.needed(reserve)-tokenTolerance {
		return true
	}
	pacer.demanded = true
	return false
}

// RecordCall counts a call.
func (pacer *Pacer) RecordCall(now time.Duration) {
	pacer.refill(now)
	pacer.tokens = max(-pacer.limits.Burst, pacer.tokens-1)
	pacer.demanded = pacer.demanded || pacer.tokens < pacer.limits.Burst/2
}

// WaitTime is how long it takes until CanCall is true.
func (pacer *Pacer) WaitTime(now time.Duration, reserve float64) time.Duration {
	pacer.refill(now)
	missing := pacer.needed(reserve) - pacer.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / pacer.rate * float64(time.Second)))
}

// RecordAnswer takes the latency of a call that was answered. A rate that is not used up tells nothing of the service
// and does not grow.
func (pacer *Pacer) RecordAnswer(now, latency time.Duration) {
	if pacer.baseLatency == 0 || latency < pacer.baseLatency {
		pacer.baseLatency = latency
	} else {
		pacer.baseLatency += time.Duration(baseLatencyDriftWeight * float64(latency-pacer.baseLatency))
	}
	queue := float64(latency-pacer.baseLatency) / float64(pacer.limits.TargetQueueTime)
	growth := growthFactor * (1 - queue)
	if growth < 0 || pacer.demanded {
		pacer.setRate(now, pacer.rate*(1+max(growth, decreaseFactor-1)))
		pacer.demanded = false
	}
}

// RecordFailure takes a call, made at a time, that was rejected or not answered.
func (pacer *Pacer) RecordFailure(now, sentAt time.Duration) {
	if sentAt < pacer.decreasedAt || now-pacer.decreasedAt < pacer.limits.DecreaseInterval {
		return
	}
	pacer.setRate(now, pacer.rate*decreaseFactor)
	pacer.decreasedAt = now
}

// needed is the number of tokens that must be there for a call that leaves so many to others.
func (pacer *Pacer) needed(reserve float64) float64 { return 1 + min(reserve, pacer.limits.Burst-1) }

// refill fills the bucket up to now.
func (pacer *Pacer) refill(now time.Duration) {
	if now <= pacer.filledAt {
		return
	}
	pacer.tokens = min(pacer.limits.Burst, pacer.tokens+pacer.rate*(now-pacer.filledAt).Seconds())
	pacer.filledAt = now
}

// setRate changes the rate within the limits.
func (pacer *Pacer) setRate(now time.Duration, rate float64) {
	pacer.refill(now)
	pacer.rate = min(pacer.limits.MaxRate, max(pacer.limits.MinRate, rate))
}
