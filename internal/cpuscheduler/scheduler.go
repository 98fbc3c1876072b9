// Package cpuscheduler shares the processor between flows, which are pools, by weight. Work is let in in short turns that never
// block; while more wants in than the processor's cores can do, the flow that has had least for its weight goes next
// (start-time fair queueing: Goyal, Vin and Cheng, SIGCOMM 1996). What waits is not runnable, so a flooded pool's thousand
// connections don't stand before a quiet pool's one in the scheduler's queue. With room for all nobody waits.
package cpuscheduler

import (
	"sync"
	"time"

	"gapgap/internal/priorityqueue"
)

// Scheduler lets so many turns run at once. Any goroutine may use it.
type Scheduler struct {
	mu     sync.Mutex
	slots  int
	busy   int
	v      float64       // virtual time: the start of the turn that was let in last
	worked time.Duration // since a time
	since  time.Time
	queue  *priorityqueue.Queue[*Flow] // those for which somebody waits, by virtual time
}

// New makes a gate for so many cores.
func New(cores int) *Scheduler {
	return &Scheduler{slots: max(1, cores), queue: priorityqueue.New(func(a, b *Flow) bool { return a.v < b.v })}
}

// Flow is one party to a Scheduler. A nil Flow lets everything in at once.
type Flow struct {
	g       *Scheduler
	weight  float64
	v       float64 // where its next turn starts, in seconds over its weight
	waiting []chan struct{}
	place   priorityqueue.Item[*Flow] // in the queue
	turns   uint64
	waited  uint64
	used    time.Duration
}

// Flow makes a party. Its weight, above 0, is to compare with the others'.
func (g *Scheduler) Flow(weight float64) *Flow {
	f := &Flow{g: g, weight: weight}
	f.place.Value = f
	return f
}

// Enter waits for a turn and says when it began. The turn must be short, must not block, and ends with Leave.
func (f *Flow) Enter() time.Time {
	if f == nil {
		return time.Time{}
	}
	if turn := f.enter(); turn != nil {
		<-turn
	}
	return time.Now()
}

// Leave ends a turn that began at a time.
func (f *Flow) Leave(began time.Time) {
	if f == nil {
		return
	}
	took := time.Since(began)
	if f.g.breathes(began.Add(took), took) {
		time.Sleep(breath)
	}
	f.leave(took)
}

// The Go scheduler asks the network for news only when nothing is runnable, or each 10 ms; a flood keeps something
// runnable always. So after each quantum of work the turn that ends is held a little longer while nothing else is let in:
// what has come for a quiet flow then gets to the gate, and goes first. On one core no two turns ever meet at the gate
// otherwise, as a turn does not block.
const (
	quantum  = 100 * time.Microsecond
	breath   = 20 * time.Microsecond // the kernel makes about 70 of it
	idleOver = 4                     // quanta of time for one of work, from which on the processor counts as having room
)

// breathes says whether it is time for that: a quantum of work is done, and in little more time than it took. Otherwise
// the processor has room anyway.
func (g *Scheduler) breathes(now time.Time, took time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.worked += took; g.worked < quantum {
		return false
	}
	busy := now.Sub(g.since) < idleOver*quantum
	g.worked, g.since = 0, now
	return busy
}

// enter asks for a turn; nil: it is given, else it comes by the channel.
func (f *Flow) enter() chan struct{} {
	g := f.g
	g.mu.Lock()
	defer g.mu.Unlock()
	f.turns++
	if !f.place.In() {
		f.v = max(f.v, g.v) // no credit for the time in which nothing was wanted
	}
	if g.busy < g.slots {
		g.busy++
		g.v = max(g.v, f.v)
		return nil
	}
	f.waited++
	turn := make(chan struct{})
	f.waiting = append(f.waiting, turn)
	g.queue.Put(&f.place)
	return turn
}

// leave ends a turn that took so long, and lets the next one in.
func (f *Flow) leave(took time.Duration) {
	g := f.g
	g.mu.Lock()
	defer g.mu.Unlock()
	f.used += took
	f.v += took.Seconds() / f.weight
	g.queue.Moved(&f.place)
	if g.queue.Len() == 0 {
		g.busy--
		return
	}
	next := g.queue.First().Value
	turn := next.waiting[0]
	next.waiting[0] = nil
	if next.waiting = next.waiting[1:]; len(next.waiting) == 0 {
		next.waiting = nil
		g.queue.Pop()
	}
	g.v = max(g.v, next.v)
	close(turn)
}

// Stats tell of a flow: turns, how many of them waited, and the time that they took in all.
type Stats struct {
	Turns, Waited uint64
	Used          time.Duration
}

// Stats tells of the flow so far.
func (f *Flow) Stats() Stats {
	if f == nil {
		return Stats{}
	}
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return Stats{f.turns, f.waited, f.used}
}
