package recovery

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gapgap/internal/golden"
)

// hashRecovery plays a recovery with random observations and returns the hash of all that is shown and told.
func hashRecovery(seed uint64, terms Terms) string {
	rng := rand.New(rand.NewPCG(seed, 92))
	trace := golden.NewTrace()
	hashView := func(v View) {
		trace.String(v.Step)
		trace.String(string(v.State))
		trace.Duration(v.Since)
		trace.String(v.What)
	}
	now := time.Hour
	m := New(now, terms, "3 files")
	slowness := 1 + rng.IntN(30)
	for range 80 {
		now += time.Duration(rng.IntN(250)) * time.Millisecond
		seen := Seen{
			Rival:    rng.IntN(4*slowness) < slowness,
			Heard:    rng.IntN(max(1, terms.Doors)),
			Version:  uint64(rng.IntN(3)),
			Decides:  rng.IntN(slowness) == 0,
			Last:     rng.IntN(2) == 0,
			Keys:     rng.IntN(slowness) == 0,
			KeysWhy:  "its disk is empty",
			Counter:  rng.IntN(slowness) == 0,
			Backends: rng.IntN(slowness) == 0,
		}
		ended := m.See(now, seen)
		trace.Int(int64(len(ended)))
		for _, view := range ended {
			hashView(view)
		}
		hashView(m.At())
		for _, view := range m.Steps() {
			hashView(view)
		}
		trace.Bool(m.Open())
		trace.Duration(m.Pause(now, rng.Float64))
	}
	return trace.Sum()
}

// TestGoldenTraces compares steps, their texts and Retry-After pauses with the recorded ones.
func TestGoldenTraces(t *testing.T) {
	recorded := golden.LoadHashes(t, "testdata/golden/recovery.txt")
	seen := map[string]string{}
	for doors := 1; doors <= 5; doors += 2 {
		for bits := range 16 {
			terms := Terms{
				Doors:      doors,
				Policy:     bits&1 > 0,
				PolicyMust: bits&2 > 0,
				Keys:       bits&4 > 0,
				Counter:    bits&8 > 0,
			}
			for seed := range uint64(4) {
				name := fmt.Sprintf("%d/%04b/%d", doors, bits, seed)
				sum := hashRecovery(uint64(1000*doors+100*bits)+seed, terms)
				if again := hashRecovery(uint64(1000*doors+100*bits)+seed, terms); again != sum {
					t.Errorf("%s: two runs differ", name)
				}
				if other, ok := seen[sum]; ok {
					t.Errorf("%s and %s have one trace", name, other)
				}
				seen[sum] = name
				recorded.Check(t, name, sum)
			}
		}
	}
	if recorded.Len() != len(seen) {
		t.Errorf("%d traces are recorded, %d were played", recorded.Len(), len(seen))
	}
}
