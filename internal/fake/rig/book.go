package rig

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Served is one request that was let through, at some time between Asked and At.
type Served struct {
	// Asked is when its client asked, since the flood began.
	Asked time.Duration
	// At is when the answer, or what was let through, was seen, since the flood began.
	At time.Duration
	// Door is the index of the gateway.
	Door int
}

// Decided is one check that was answered by a version of the cluster's policy.
type Decided struct {
	// Asked is when its client asked, since the flood began.
	Asked time.Duration
	// Answered is when it had the answer, since the flood began.
	Answered time.Duration
	// Door is the index of the gateway.
	Door int
	// Version is the policy version by which the check was decided.
	Version uint64
}

// Book is what the clients of a flood have recorded.
type Book struct {
	// Served are the requests that were let through. Checks stand there with the time of their answer, requests over
	// RESP2 with the time at which an endpoint had them.
	Served []Served
	// Refused is the number of checks that were rejected.
	Refused int
	// Errors is the number of requests without an answer from a gateway that could not be reached meanwhile.
	Errors int
	// Lost describes the requests without an answer, or with one that is not theirs, from a gateway that could be
	// reached all the time.
	Lost []string
	// Slowest is the longest time to an answer from a gateway that could be reached all the time.
	Slowest time.Duration

	// Decided are the checks whose answer names the policy version that decided.
	Decided []Decided

	// Calm is the number of requests of the account that stays inside its quota, at gateways that have been reachable
	// for long enough to serve all that is inside a quota.
	Calm int
	// CalmDenied describes those of them that were rejected.
	CalmDenied []string
}

// Window returns for how long, at worst, a check was still decided by an earlier policy version after another check
// had been answered by a later one: from that answer to when the check was asked.
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

// In returns the number of requests that were let through in a time of the flood, at all gateways or at those with
// the given indexes.
func (b *Book) In(from, to time.Duration, gateways ...int) (n int) {
	for _, served := range b.Served {
		isCounted := len(gateways) == 0 || slices.Contains(gateways, served.Door)
		if isCounted && served.At >= from && served.At < to {
			n++
		}
	}
	return n
}

// Worst returns by how many units some stretch of the flood certainly had more than rate*length+depth. Only what was
// both asked and seen within the stretch counts, so that a busy machine makes no excess.
func (b *Book) Worst(rate, depth float64) (over float64) {
	over, _, _ = b.WorstStretch(rate, depth)
	return over
}

// WorstStretch is Worst, and returns the stretch too, since the flood began. Without an excess all are zero.
func (b *Book) WorstStretch(rate, depth float64) (over float64, from, to time.Duration) {
	latestFirst := slices.SortedFunc(slices.Values(b.Served), func(a, b Served) int {
		return cmp.Compare(b.Asked, a.Asked)
	})
	var seenAt []time.Duration // of those that were asked from served.Asked on, sorted
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

// recordAnswer records that a gateway's answer has come now, or failed to. beganAt is when the flood began.
func (b *Book) recordAnswer(d *Door, beganAt, askedAt time.Time, err error) {
	now := time.Now()
	switch {
	case d.Away(askedAt, now):
		if err != nil {
			b.Errors++
		}
	case err != nil:
		b.Lost = append(b.Lost, fmt.Sprintf("%s, asked %.3f s after the start, for %.3f s: %v",
			d.Name, askedAt.Sub(beganAt).Seconds(), now.Sub(askedAt).Seconds(), err))
	default:
		b.Slowest = max(b.Slowest, now.Sub(askedAt))
	}
}
