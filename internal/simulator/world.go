package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gapgap/internal/priorityqueue"
)

// Start is the virtual time at which worlds begin. Like a Unix clock it is long after 0, and at no round instant.
const Start = 1000*time.Hour + 17*time.Second

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// World is one simulation: its clock, its pending events and everything that they act on.
type World struct {
	// Seed decides all that is random.
	Seed uint64
	// Now is the virtual time.
	Now time.Duration
	// Events is the number of events so far.
	Events  int
	Counter *Counter
	// Gateways are the gateways, by their index.
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
	// sequence orders the events of one instant: the one scheduled first goes first.
	sequence uint64
	do       func()
}

// isBefore orders events by time, then by the order in which they were scheduled.
func isBefore(a, b event) bool {
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

// New makes a world with a number of endpoints of a fixed latency, which may be 0, and no gateway.
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

// At calls a function at a time, or at once in virtual time if that lies in the past.
func (w *World) At(at time.Duration, do func()) { w.schedule(at, do) }

// After calls a function after a delay.
func (w *World) After(delay time.Duration, do func()) { w.schedule(w.Now+delay, do) }

// schedule is At; the event that it returns can be removed from the queue.
func (w *World) schedule(at time.Duration, do func()) *priorityqueue.Item[event] {
	w.lastSequence++
	return w.queue.Push(event{
		at:       max(at, w.Now),
		sequence: w.lastSequence,
		do:       do,
	})
}

// Run plays all events up to and including a time, and sets the clock to it.
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

// Rand returns a random source for the thing that the parts identify. The same seed and parts give the same source,
// whatever else happens in the world.
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
