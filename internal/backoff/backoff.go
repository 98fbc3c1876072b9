// Package backoff says how long to wait before asking again what turned one away, when many others were turned away too. It does
// no input or output; the random source is handed in.
//
// Pauses grow by a factor and are drawn from the whole range around their mean, so those who began together do not come back
// together (Brooker, "Exponential Backoff and Jitter", 2015). Their first mean grows with the number of askers, which all come
// at once after a mass restart: what they share can answer so many a second only.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Terms are the same for all askers of a fleet.
type Terms struct {
	First, Most time.Duration // mean pause after the first failure, and the longest mean
	Grow        float64       // factor from one failure to the next; under 1 counts as 1
}

// For are the terms for a number of askers of a service that answers so many a second in all.
func For(askers int, perSecond float64, least Terms) Terms {
	all := time.Duration(float64(max(1, askers)) / max(1e-3, perSecond) * float64(time.Second))
	least.First = max(least.First, all/2)
	least.Most = max(least.Most, least.First, 2*all)
	return least
}

// Backoff is one asker's. The zero value with Terms is ready. One goroutine owns it.
type Backoff struct {
	Terms
	mean time.Duration
}

// Next is the pause after another failure: evenly drawn from half to one and a half times the mean.
func (b *Backoff) Next(rng *rand.Rand) time.Duration {
	if b.mean == 0 {
		b.mean = b.First
	} else {
		b.mean = min(b.Most, time.Duration(float64(b.mean)*max(1, b.Grow)))
	}
	return b.mean/2 + time.Duration(rng.Int64N(int64(b.mean)+1))
}

// Reset is called after a success.
func (b *Backoff) Reset() { b.mean = 0 }
