package clockskew_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gapgap/internal/clockskew"
	"gapgap/internal/golden"
)

// playClockSkew feeds a judge with random reports of clocks and returns the hash of all that it concludes.
func playClockSkew(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 23))
	trace := golden.NewTrace()
	gateways := 1 + rng.IntN(9)
	judge := clockskew.New(gateways)
	now := 1_000_000 * time.Hour
	offsets := make([]time.Duration, gateways)
	own := time.Duration(0)
	scales := []time.Duration{100 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second, time.Hour}
	for range 3000 {
		now += time.Duration(rng.IntN(100)) * time.Millisecond
		switch rng.IntN(300) {
		case 0: // a clock is set
			scale := int64(scales[rng.IntN(len(scales))])
			offsets[rng.IntN(gateways)] = time.Duration(rng.Int64N(2*scale) - scale)
		case 1: // the own clock is set
			scale := int64(scales[rng.IntN(len(scales))])
			own = time.Duration(rng.Int64N(2*scale) - scale)
		case 2: // nothing is heard for a while
			now += time.Duration(rng.IntN(12000)) * time.Millisecond
		case 3:
			clear(offsets)
		case 4:
			own = 0
		}
		from := rng.IntN(gateways+2) - 1
		if from >= 0 && from < gateways {
			delay := time.Duration(rng.IntN(300)) * time.Millisecond
			judge.Observe(now+own, from, now+offsets[from]-delay)
		} else {
			judge.Observe(now+own, from, now)
		}
		if rng.IntN(4) == 0 {
			behind, wrong := judge.Skew(now + own)
			trace.Duration(behind)
			trace.Bool(wrong)
		}
	}
	return trace.Sum()
}

// TestGoldenClockSkew holds that clocks are judged as in the program that the hashes were recorded from.
func TestGoldenClockSkew(t *testing.T) {
	recorded := golden.LoadHashes(t, "testdata/golden/clockskew.txt")
	const plays = 40
	for seed := range uint64(plays) {
		name := fmt.Sprint("play-", seed)
		recorded.CheckPlay(t, name, func() string { return playClockSkew(seed) })
	}
	recorded.CheckAllPlayed(t)
}
