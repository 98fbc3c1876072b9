package recovery

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gapgap/internal/golden"
)

// hashRecovery runs a machine on random observations and returns the hash of its views, states and Retry-After values.
func hashRecovery(seed uint64, config Config) string {
	rng := rand.New(rand.NewPCG(seed, 92))
	trace := golden.NewTrace()
	hashView := func(v StepView) {
		trace.String(v.Step)
		trace.String(string(v.State))
		trace.Duration(v.Since)
		trace.String(v.Detail)
	}
	now := time.Hour
	m := New(now, config, "3 files")
	slowness := 1 + rng.IntN(30)
	for range 80 {
		now += time.Duration(rng.IntN(250)) * time.Millisecond
		observed := Observation{
			HasDuplicate:  rng.IntN(4*slowness) < slowness,
			PeersPresent:  rng.IntN(max(1, config.Gateways)),
			PolicyVersion: uint64(rng.IntN(3)),
			MayDecide:     rng.IntN(slowness) == 0,
			KeysReason:    "its disk is empty",
		}
		rng.IntN(2) // was drawn for a field that has been removed; keeps the recorded sequence of random numbers
		observed.KeysReady = rng.IntN(slowness) == 0
		observed.CounterAnswered = rng.IntN(slowness) == 0
		observed.EndpointsServing = rng.IntN(slowness) == 0
		finished := m.Advance(now, observed)
		trace.Int(int64(len(finished)))
		for _, view := range finished {
			hashView(view)
		}
		hashView(m.Current())
		for _, view := range m.Steps() {
			hashView(view)
		}
		trace.Bool(m.IsOpen())
		trace.Duration(m.RetryAfter(now, rng.Float64))
	}
	return trace.Sum()
}

// TestGoldenTraces verifies that steps, their texts and Retry-After values match the recorded hashes.
func TestGoldenTraces(t *testing.T) {
	recorded := golden.LoadHashes(t, "testdata/golden/recovery.txt")
	for gateways := 1; gateways <= 5; gateways += 2 {
		for bits := range 16 {
			config := Config{
				Gateways:       gateways,
				HasPolicy:      bits&1 > 0,
				PolicyRequired: bits&2 > 0,
				HasKeys:        bits&4 > 0,
				HasCounter:     bits&8 > 0,
			}
			for seed := range uint64(4) {
				name := fmt.Sprintf("%d/%04b/%d", gateways, bits, seed)
				playSeed := uint64(1000*gateways+100*bits) + seed
				recorded.CheckRun(t, name, func() string { return hashRecovery(playSeed, config) })
			}
		}
	}
	recorded.CheckDistinct(t)
	recorded.CheckAllRun(t)
}
