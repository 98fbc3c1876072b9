package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Odd ranks, zones and lists, as a configuration or discovery may have them, end no process and leave no request
// unanswered.
func TestOddFleets(t *testing.T) {
	for _, doors := range []int{1, 2, 12, 300} {
		for _, rank := range []int{-1, 0, doors - 1, doors, 1 << 40} {
			for seed := range uint64(6) {
				rng := rand.New(rand.NewPCG(seed, uint64(doors)))
				settings := basic()
				settings.Gateways, settings.Index, settings.Zone = doors, rank, []int{0, -1, 99}[rng.IntN(3)]
				b, err := New(settings, seed)
				if err != nil {
					t.Fatal(err)
				}
				entries := func() (list []Endpoint) {
					for range rng.IntN(8) {
						list = append(
							list,
							Endpoint{
								Name: fmt.Sprint("b", rng.IntN(4)),
								Zone: rng.IntN(5) - 1,
								Cell: rng.IntN(3) - 1,
								State: EndpointState(
									rng.IntN(4),
								),
								Weight:         []float64{0, 1, -3, math.Inf(1), math.NaN(), 1e300}[rng.IntN(6)],
								SlowStartShare: []float64{0, 1, -1, math.NaN()}[rng.IntN(4)],
								StartedAt:      time.Duration(rng.IntN(3)-1) * 10 * time.Second,
							},
						)
					}
					return list
				}
				owed := map[uint64]bool{}
				at, id := time.Duration(0), uint64(0)
				var outs []Dispatch
				take := func(acts []Action) {
					for _, a := range acts {
						switch a := a.(type) {
						case Dispatch:
							outs = append(outs, a)
						case Reject:
							delete(owed, a.ID)
						case Fail:
							delete(owed, a.ID)
						}
					}
				}
				for range 300 {
					at += tickInterval
					evs := []Event{TimerFired{0}}
					switch rng.IntN(4) {
					case 0:
						evs = append(evs, EndpointUpdate{Kind: UpdateKind(rng.IntN(4)), Entries: entries()})
					case 1:
						name := fmt.Sprint("b", rng.IntN(5))
						evs = append(
							evs,
							AdminEject{Endpoint: name},
							AdminRestore{Endpoint: fmt.Sprint("b", rng.IntN(5))},
							HealthCheckResult{Endpoint: name, Status: OK},
						)
					default:
						for range 3 {
							id++
							r := ask(id, rng.IntN(3), rng.IntN(4))
							r.Gateways, r.Units = rng.IntN(400)-50, []float64{1, 0, -1, math.NaN(), 1e12}[rng.IntN(5)]
							owed[id] = true
							evs = append(evs, r)
						}
					}
					for len(outs) > 0 && rng.IntN(3) > 0 {
						s := outs[0]
						outs = outs[1:]
						evs = append(
							evs,
							AttemptResult{
								ID:            s.ID,
								Endpoint:      s.Endpoint,
								Status:        OK,
								Latency:       5 * ms,
								RequestClosed: true,
							},
						)
						delete(owed, s.ID)
					}
					take(b.Step(at, evs))
				}
				for range 3 * int(time.Second/tickInterval) { // every client has given up by then: a request's own timer is due
					at += tickInterval
					evs := []Event{TimerFired{0}}
					for i := range owed {
						evs = append(evs, TimerFired{i<<1 | 1})
					}
					for _, s := range outs {
						evs = append(
							evs,
							AttemptResult{ID: s.ID, Endpoint: s.Endpoint, Status: Timeout, Latency: time.Second},
						)
					}
					outs = nil
					take(b.Step(at, evs))
				}
				if len(owed) > 0 {
					t.Fatalf("doors %d, rank %d, seed %d: %d requests without an answer", doors, rank, seed, len(owed))
				}
			}
		}
	}
}
