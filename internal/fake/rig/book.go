package rig

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Served is a request that was admitted, at some time between Asked and At.
type Served struct {
	// Asked is when the client sent the request, since the start of the flood.
	Asked time.Duration
	// At is when the client received the answer to a check, or when an endpoint received the request, since the start
	// of the flood.
	At time.Duration
	// Door is the index of the gateway.
	Door int
}

// Decided is a check whose answer names the policy version of the cluster that decided it.
type Decided struct {
	// Asked is when the client sent the check, since the start of the flood.
	Asked time.Duration
	// Answered is when the client received the answer, since the start of the flood.
	Answered time.Duration
	// Door is the index of the gateway.
	Door int
	// Version is the policy version that decided the check.
	Version uint64
}

// Book holds what the clients of a flood have recorded.
type Book struct {
	// Served are the requests that were admitted. For a check, Served.At is the time of the answer, for a request over
	// RESP2 the time at which an endpoint received it.
	Served []Served
	// Refused is the number of checks that were rejected.
	Refused int
	// Errors is the number of requests that had no valid answer from a gateway that was unreachable at some time
	// meanwhile.
	Errors int
	// Lost describes the requests that had no valid answer, or the answer to another request, from a gateway that was
	// reachable all the time.
	Lost []string
	// Slowest is the longest response time of a gateway that was reachable all the time.
	Slowest time.Duration

	// Decided are the checks whose answer names the policy version that decided them.
	Decided []Decided

	// Calm is the number of checks of the account that stays within its quota, at gateways that had been reachable for
	// long enough to serve every request within a quota.
	Calm int
	// CalmDenied describes the checks counted in Calm that were rejected.
	CalmDenied []string
}

// Window returns the longest time for which an earlier policy version was still in use after a later one: from the
// first answer by the later version to the sending of a check that was decided by the earlier one.
func (b *Book) Window() (worst time.Duration) {
	firstAnswers := map[uint64]time.Duration{}
	for _, decided := range b.Decided {
		if first, isKnown := firstAnswers[decided.Version]; !isKnown || decided.Answered < first {
			firstAnswers[decided.Version] = decided.Answered
		}
	}
	for _, decided := range b.Decided {
		for version, first := range firstAnswers {
			if version > decided.Version {
				worst = max(worst, decided.Asked-first)
			}
		}
	}
	return worst
}

// In returns the number of requests admitted in a time range of the flood, at all gateways or at those with the given
// indexes.
func (b *Book) In(from, to time.Duration, gateways ...int) (n int) {
	for _, served := range b.Served {
		isCounted := len(gateways) == 0 || slices.Contains(gateways, served.Door)
		if isCounted && served.At >= from && served.At < to {
			n++
		}
	}
	return n
}

// Worst returns the largest number of units by which any interval of the flood certainly exceeded rate*length+depth.
// Only requests that were both sent and seen within the interval count, so that delays on a busy machine cannot cause
// an apparent excess.
func (b *Book) Worst(rate, depth float64) (over float64) {
	over, _, _ = b.WorstStretch(rate, depth)
	return over
}

// WorstStretch is like Worst, but also returns the interval, since the start of the flood. Without an excess all
// results are zero.
func (b *Book) WorstStretch(rate, depth float64) (over float64, from, to time.Duration) {
	latestFirst := slices.SortedFunc(slices.Values(b.Served), func(a, b Served) int {
		return cmp.Compare(b.Asked, a.Asked)
	})
	var seenAt []time.Duration // of the requests sent at served.Asked or later, sorted
	for _, served := range latestFirst {
		i, _ := slices.BinarySearch(seenAt, served.At)
		seenAt = slices.Insert(seenAt, i, served.At)
		for n, at := range seenAt {
			excess := float64(n+1) - depth - rate*(at-served.Asked).Seconds()
			if excess > over {
				over, from, to = excess, served.Asked, at
			}
		}
	}
	return over, from, to
}

// recordAnswer records that a gateway's answer was received now, or that the request failed now with an error. beganAt
// is the start of the flood.
func (b *Book) recordAnswer(d *Door, beganAt, askedAt time.Time, err error) {
	now := time.Now()
	switch {
	case d.WasUnreachable(askedAt, now):
		if err != nil {
			b.Errors++
		}
	case err != nil:
		b.Lost = append(b.Lost, fmt.Sprintf("%s: sent %.3f s after the start, failed after %.3f s: %v",
			d.Name, askedAt.Sub(beganAt).Seconds(), now.Sub(askedAt).Seconds(), err))
	default:
		b.Slowest = max(b.Slowest, now.Sub(askedAt))
	}
}
