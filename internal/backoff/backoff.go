// Package backoff computes randomized exponential retry delays for clients that were rejected at the same time. It
// performs no I/O; the caller supplies the random source.
//
// Delays grow by a constant factor and are jittered around their mean, so that clients which started together do not
// retry together (Brooker, "Exponential Backoff and Jitter", 2015). The initial mean is proportional to the number of
// clients: after a mass restart they all retry at once, while the service they share can answer only a limited number
// per second.
package backoff

import (
	"math/rand/v2"
	"time"
)

// minAnswerRate is the lower bound on an answer rate, per second. It avoids a division by zero.
const minAnswerRate = 1e-3

// Policy holds the backoff parameters shared by all clients of a service.
type Policy struct {
	// Initial is the mean delay after the first failure.
	Initial time.Duration
	// Max is the upper bound on the mean delay.
	Max time.Duration
	// Multiplier is the growth factor of the mean after each further failure. Values below 1 count as 1.
	Multiplier float64
}

// PolicyFor returns the policy for a number of clients sharing a service that answers answersPerSecond requests in
// total. Its delays are never shorter than those of the minimum policy.
func PolicyFor(clients int, answersPerSecond float64, minimum Policy) Policy {
	seconds := float64(max(1, clients)) / max(minAnswerRate, answersPerSecond)
	timeToAnswerAll := time.Duration(seconds * float64(time.Second))
	policy := minimum
	policy.Initial = max(minimum.Initial, timeToAnswerAll/2)
	policy.Max = max(minimum.Max, policy.Initial, 2*timeToAnswerAll)
	return policy
}

// Backoff is the backoff state of one client. Set its Policy before use. It is not safe for concurrent use.
type Backoff struct {
	Policy
	// mean is the last mean delay. 0 means no failure since the last success.
	mean time.Duration
}

// Next returns the delay after another failure, uniformly distributed between half and one and a half times the mean.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	if b.mean == 0 {
		b.mean = b.Initial
	} else {
		b.mean = min(b.Max, time.Duration(float64(b.mean)*max(1, b.Multiplier)))
	}
	return b.mean/2 + time.Duration(rng.Int64N(int64(b.mean)+1))
}

// Reset returns to the initial delay. Call it after a success.
func (b *Backoff) Reset() { b.mean = 0 }
