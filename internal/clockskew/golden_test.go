package clockskew_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gapgap/internal/clockskew"
	"gapgap/internal/golden"
)

// traceClockSkew feeds a detector with random clock reports and returns the hash of all its results.
func traceClockSkew(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 23))
	trace := golden.NewTrace()
	gateways := 1 + rng.IntN(9)
	detector := clockskew.New(gateways)
	now := 1_000_000 * time.Hour
	offsets := make([]time.Duration, gateways)
	ownOffset := time.Duration(0)
	scales := []time.Duration{100 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, time.Hour}
	for range 3000 {
		now += time.Duration(rng.IntN(100)) * time.Millisecond
		switch rng.IntN(300) {
		case 0: // set another gateway's clock
			scale := int64(scales[rng.IntN(len(scales))])
			offsets[rng.IntN(gateways)] = time.Duration(rng.Int64N(2*scale) - scale)
		case 1: // set this gateway's clock
			scale := int64(scales[rng.IntN(len(scales))])
			ownOffset = time.Duration(rng.Int64N(2*scale) - scale)
		case 2: // receive no reports for a while
			now += time.Duration(rng.IntN(12000)) * time.Millisecond
		case 3:
			clear(offsets)
		case 4:
			ownOffset = 0
		}
		from := rng.IntN(gateways+2) - 1
		if from >= 0 && from < gateways {
			delay := time.Duration(rng.IntN(300)) * time.Millisecond
			detector.Observe(now+ownOffset, from, now+offsets[from]-delay)
		} else {
			detector.Observe(now+ownOffset, from, now)
		}
		if rng.IntN(4) == 0 {
			behind, isWrong := detector.Skew(now + ownOffset)
			trace.Duration(behind)
			trace.Bool(isWrong)
		}
	}
	return trace.Sum()
}

// TestGoldenClockSkew verifies that the detector produces the same traces as the version that the hashes were recorded
// from.
func TestGoldenClockSkew(t *testing.T) {
	recorded := golden.LoadHashes(t, "testdata/golden/clockskew.txt")
	const scenarios = 40
	for seed := range uint64(scenarios) {
		name := fmt.Sprint("play-", seed)
		recorded.CheckRun(t, name, func() string { return traceClockSkew(seed) })
	}
	recorded.CheckAllRun(t)
}
