package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gapgap/internal/priorityqueue"
)

// Start is the virtual time at which a simulation begins. Like Unix time it is far from 0, and not a round value.
const Start = 1000*time.Hour + 17*time.Second

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// World is one simulation: its clock, its event queue and all simulated components.
type World struct {
	// Seed is the seed of all random sources.
	Seed uint64
	// Now is the virtual time.
	Now time.Duration
	// Events counts the processed events.
	Events  int
	Counter *Counter
	// Gateways are the gateways, indexed by [Gateway.Index].
	Gateways []*Gateway
	// FixedLatencyEndpoints are the endpoints without a queue.
	FixedLatencyEndpoints []*FixedLatencyEndpoint
	// Endpoints are the endpoints with a queue, by name.
	Endpoints map[string]*Endpoint

	queue        *priorityqueue.Queue[event]
	lastSequence uint64
}

// event is a function to be called at a time.
type event struct {
	at time.Duration
	// sequence orders events with the same time by when they were scheduled.
	sequence uint64
	do       func()
}

// isBefore orders events by time, then by the order in which they were scheduled.
func isBefore(a, b event) bool {
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

// New returns a world with the given number of fixed-latency endpoints, which may be 0, and no gateways.
func New(seed uint64, fixedLatencyEndpoints int) *World {
	w := &World{
		Seed:  seed,
		Now:   Start,
		queue: priorityqueue.New(isBefore),
	}
	w.Counter = newCounter(w)
	for i := range fixedLatencyEndpoints {
		w.FixedLatencyEndpoints = append(w.FixedLatencyEndpoints, &FixedLatencyEndpoint{
			Name:    fmt.Sprint("s-", i),
			Latency: defaultFixedLatency,
		})
	}
	return w
}

// At schedules a function at a virtual time, or at the current time if that is in the past.
func (w *World) At(at time.Duration, do func()) { w.schedule(at, do) }

// After schedules a function after a delay.
func (w *World) After(delay time.Duration, do func()) { w.schedule(w.Now+delay, do) }

// schedule is like At, and returns the queued event so that it can be removed.
func (w *World) schedule(at time.Duration, do func()) *priorityqueue.Item[event] {
	w.lastSequence++
	return w.queue.Push(event{
		at:       max(at, w.Now),
		sequence: w.lastSequence,
		do:       do,
	})
}

// Run processes all events up to and including a time, and sets the clock to that time.
func (w *World) Run(until time.Duration) {
	for {
		next := w.queue.First()
		if next == nil || next.Value.at > until {
			break
		}
		w.queue.Pop()
		w.Now = next.Value.at
		w.Events++
		next.Value.do()
	}
	w.Now = until
}

// Rand returns a random source that depends only on the seed and the parts, which identify what is drawn. It does not
// depend on the order of events.
func (w *World) Rand(parts ...any) *rand.Rand {
	hash := fnvOffset ^ w.Seed
	for _, char := range fmt.Append(nil, parts...) {
		hash = (hash ^ uint64(char)) * fnvPrime
	}
	return rand.New(rand.NewPCG(hash, w.Seed))
}

// Time implements [Clock].
func (w *World) Time() time.Duration { return w.Now }

// Schedule implements [Clock].
func (w *World) Schedule(delay time.Duration, do func()) (cancel func()) {
	scheduled := w.schedule(w.Now+delay, do)
	return func() { w.queue.Remove(scheduled) }
}
