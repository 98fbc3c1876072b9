// Package cpuscheduler shares the processor between flows, one for each pool, by weight. A flow gets short turns of
// work that never block. While cores are free, turns start at once. While more turns are wanted than there are cores,
// the flow that has had the least processor time for its weight goes next (start-time fair queueing: Goyal, Vin and
// Cheng, SIGCOMM 1996). Goroutines that wait for a turn are not runnable, so the thousand connections of a flooded pool
// don't stand in the Go scheduler's queue ahead of the single one of a quiet pool.
package cpuscheduler

import (
	"sync"
	"time"

	"gapgap/internal/priorityqueue"
)

// Scheduler lets a limited number of turns run at once. Any goroutine may use it.
type Scheduler struct {
	mu           sync.Mutex
	cores        int                         // the number of turns that may run at once
	running      int                         // the number of turns that run
	virtualTime  float64                     // start of the last turn that was started
	quantumWork  time.Duration               // work done in the present quantum
	quantumStart time.Time                   // when the present quantum began
	queue        *priorityqueue.Queue[*Flow] // flows with waiting turns, by their virtualTime
}

// New returns a Scheduler for a number of cores.
func New(cores int) *Scheduler {
	return &Scheduler{cores: max(1, cores), queue: priorityqueue.New(func(a, b *Flow) bool {
		return a.virtualTime < b.virtualTime
	})}
}

// Flow is one of the flows that share a Scheduler. The turns of a nil Flow never wait.
type Flow struct {
	scheduler   *Scheduler
	weight      float64
	virtualTime float64 // start of its next turn: processor time in seconds, divided by the weight
	waiting     []chan struct{}
	rank        priorityqueue.Item[*Flow] // position in Scheduler.queue
	turns       uint64
	waited      uint64
	used        time.Duration
}

// Flow adds a flow. Its weight must be above 0 and is relative to those of the other flows.
func (s *Scheduler) Flow(weight float64) *Flow {
	f := &Flow{scheduler: s, weight: weight}
	f.rank.Value = f
	return f
}

// Enter waits for a turn and returns when it began. The turn must be short, must not block, and ends with Leave.
func (f *Flow) Enter() time.Time {
	if f == nil {
		return time.Time{}
	}
	if turn := f.enter(); turn != nil {
		<-turn
	}
	return time.Now()
}

// Leave ends a turn. began is the result of Enter.
func (f *Flow) Leave(began time.Time) {
	if f == nil {
		return
	}
	took := time.Since(began)
	if f.scheduler.needsPollPause(began.Add(took), took) {
		time.Sleep(pollPause)
	}
	f.leave(took)
}

// The Go scheduler polls the network only when no goroutine is runnable, or every 10 ms, and under a flood some
// goroutine always is. So after each quantum of work the turn that ends is held a little longer while no other turn
// starts: input that has arrived for a quiet flow is then read, and its turn goes next. Without this pause no two turns
// would ever compete on a single core, as a turn does not block.
const (
	quantum   = 100 * time.Microsecond
	pollPause = 20 * time.Microsecond // the kernel sleeps for about 70 microseconds
	idleRatio = 4                     // ratio of a quantum's duration to its work from which the processor is idle
)

// needsPollPause adds the work of a turn that ends now. It reports whether a quantum is complete that took less than
// idleRatio times its work: a processor with idle time polls the network anyway.
func (s *Scheduler) needsPollPause(now time.Time, took time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quantumWork += took; s.quantumWork < quantum {
		return false
	}
	busy := now.Sub(s.quantumStart) < idleRatio*quantum
	s.quantumWork, s.quantumStart = 0, now
	return busy
}

// enter requests a turn. It returns nil if the turn starts at once, or else a channel that is closed when it starts.
func (f *Flow) enter() chan struct{} {
	s := f.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	f.turns++
	if !f.rank.In() {
		f.virtualTime = max(f.virtualTime, s.virtualTime) // an idle flow earns no credit
	}
	if s.running < s.cores {
		s.running++
		s.virtualTime = max(s.virtualTime, f.virtualTime)
		return nil
	}
	f.waited++
	turn := make(chan struct{})
	f.waiting = append(f.waiting, turn)
	s.queue.Put(&f.rank)
	return turn
}

// leave ends a turn that took a time, and starts the next one.
func (f *Flow) leave(took time.Duration) {
	s := f.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	f.used += took
	f.virtualTime += took.Seconds() / f.weight
	s.queue.Moved(&f.rank)
	if s.queue.Len() == 0 {
		s.running--
		return
	}
	next := s.queue.First().Value
	turn := next.waiting[0]
	next.waiting[0] = nil
	if next.waiting = next.waiting[1:]; len(next.waiting) == 0 {
		next.waiting = nil
		s.queue.Pop()
	}
	s.virtualTime = max(s.virtualTime, next.virtualTime)
	close(turn)
}

// Stats are the statistics of a flow.
type Stats struct {
	Turns, Waited uint64        // number of turns, and of those that had to wait
	Used          time.Duration // total time of the turns that have ended
}

// Stats returns the statistics of the flow since it was added.
func (f *Flow) Stats() Stats {
	if f == nil {
		return Stats{}
	}
	f.scheduler.mu.Lock()
	defer f.scheduler.mu.Unlock()
	return Stats{f.turns, f.waited, f.used}
}
