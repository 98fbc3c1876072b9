// Package backoff tells a client how long to wait before it tries again, when many others were rejected at the same
// time. It does no input or output; the caller hands in the random source.
//
// Pauses grow by a factor and are drawn from the whole range around their mean, so clients that began together do not
// come back together (Brooker, "Exponential Backoff and Jitter", 2015). The first mean grows with the number of
// clients, as all of them come at once after a mass restart, while what they share answers only so many a second.
package backoff

import (
	"math/rand/v2"
	"time"
)

// minRate replaces a rate of answers that is too low to divide by, per second.
const minRate = 1e-3

// Policy is the same for all clients of a service.
type Policy struct {
	// Initial is the mean pause after the first failure.
	Initial time.Duration
	// Max is the longest mean pause.
	Max time.Duration
	// Multiplier is the factor from one mean to the next; under 1 counts as 1.
	Multiplier float64
}

// PolicyFor returns the policy for a number of clients of a service that answers answersPerSecond in all. No pause is
// shorter than by the policy given.
func PolicyFor(clients int, answersPerSecond float64, shortest Policy) Policy {
	seconds := float64(max(1, clients)) / max(minRate, answersPerSecond)
	allAnswered := time.Duration(seconds * float64(time.Second))
	policy := shortest
	policy.Initial = max(shortest.Initial, allAnswered/2)
	policy.Max = max(shortest.Max, policy.Initial, 2*allAnswered)
	return policy
}

// Backoff is the state of one client. It is ready once its Policy is set, and belongs to one goroutine.
type Backoff struct {
	Policy
	// mean is the last mean pause; 0: no failure since the last success.
	mean time.Duration
}

// Next returns the pause after another failure. It is evenly distributed from half to one and a half times the mean.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	if b.mean == 0 {
		b.mean = b.Initial
	} else {
		b.mean = min(b.Max, time.Duration(float64(b.mean)*max(1, b.Multiplier)))
	}
	return b.mean/2 + time.Duration(rng.Int64N(int64(b.mean)+1))
}

// Reset starts again with the first pause, after a success.
func (b *Backoff) Reset() { b.mean = 0 }
