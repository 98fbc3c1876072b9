// Package eventloop is the one goroutine's ground: a queue of tasks, timers, and the clock that both go by. Whoever
// calls [Loop.Wait] again and again is the loop goroutine; it alone runs tasks and timers, and it alone may
// touch what they own. All other goroutines only [Loop.Post].
package eventloop

import (
	"container/heap"
	"sync/atomic"
	"time"
)

// tasksMost is how many tasks may wait; a goroutine that posts more waits for the loop.
const tasksMost = 1024

// Loop holds the tasks and timers of one loop goroutine.
type Loop struct {
	begun  time.Time
	base   time.Duration // the clock at begun
	tasks  chan func()
	done   chan struct{}
	alarm  *time.Timer
	timers timerHeap
	coarse atomic.Int64
}

// New makes a loop whose clock starts at the present Unix time.
func New() *Loop { return NewAt(time.Now()) }

// NewAt makes a loop whose clock starts at a time, so that several loops have one clock.
func NewAt(begun time.Time) *Loop {
	alarm := time.NewTimer(time.Hour)
	alarm.Stop()
	return &Loop{begun: begun, base: time.Duration(begun.UnixNano()), tasks: make(chan func(), tasksMost), done: make(chan struct{}), alarm: alarm}
}

// Now is the Unix time at the start and what has passed since, in nanoseconds. All front doors must read about the
// same, as they name the counter's numbers by it; and it must not go back. Any goroutine may call it.
func (l *Loop) Now() time.Duration {
	return l.base + time.Since(l.begun)
}

// Coarse is the clock as the loop read it when its turn began: exact enough for the loop's own tasks, up to some
// milliseconds old for other goroutines while the loop waits, and cheap.
func (l *Loop) Coarse() time.Duration {
	if t := l.coarse.Load(); t > 0 {
		return time.Duration(t)
	}
	return l.Now()
}

// Like makes a loop with the clock of this one.
func (l *Loop) Like() *Loop {
	o := NewAt(l.begun)
	o.base = l.base
	return o
}

// Ahead puts the clock ahead of the machine's by something, for tests of machines whose clock is wrong. It goes before all else.
func (l *Loop) Ahead(by time.Duration) { l.base += by }

// Post hands the loop a task, from any other goroutine. After Close it is passed over.
func (l *Loop) Post(task func()) {
	select {
	case l.tasks <- task:
	case <-l.done:
	}
}

// PostUntil is Post that gives up, and says so, when the signal comes first or the loop is closed.
func (l *Loop) PostUntil(task func(), signal <-chan struct{}) bool {
	select {
	case l.tasks <- task: // no other case is looked at where there is room
		return true
	default:
	}
	select {
	case l.tasks <- task:
		return true
	case <-signal:
	case <-l.done:
	}
	return false
}

// Close says that the loop runs no more tasks.
func (l *Loop) Close() { close(l.done) }

// Done is closed by Close.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Wait waits for a task, a due timer, the limit or the signal, and runs all tasks that are there and all timers
// that are due. It says whether it was the signal that came.
func (l *Loop) Wait(limit time.Duration, signal <-chan struct{}) bool {
	first, signalled := l.Sleep(limit, signal)
	l.Turn(first, len(l.tasks))
	return signalled
}

// Sleep waits for a task, a due timer, the limit or the signal. The task, if it was one, is to be handed to Turn.
func (l *Loop) Sleep(limit time.Duration, signal <-chan struct{}) (first func(), signalled bool) {
	l.alarm.Reset(min(limit, l.next(l.Now())))
	select {
	case first = <-l.tasks:
	case <-l.alarm.C:
	case <-signal:
		signalled = true
	}
	return first, signalled
}

// Turn runs a first task, if there is one, so many more that wait, and the timers that are due.
func (l *Loop) Turn(first func(), more int) {
	l.coarse.Store(int64(l.Now()))
	if first != nil {
		first()
	}
	for range min(more, len(l.tasks)) {
		(<-l.tasks)()
	}
	l.RunDue(l.Now())
}

// RunTask runs one task if one is there.
func (l *Loop) RunTask() bool {
	select {
	case task := <-l.tasks:
		task()
		return true
	default:
		return false
	}
}

// Timer is a task for later.
type Timer struct {
	at   time.Duration
	do   func()
	spot int // in the heap; -1: no longer there
	l    *Loop
}

// At runs a task at or after a time of the loop's clock. Only the loop goroutine may call it.
func (l *Loop) At(at time.Duration, do func()) *Timer {
	t := &Timer{at: at, do: do, l: l}
	heap.Push(&l.timers, t)
	return t
}

// Stop takes a timer back; nil or one that has run is passed over.
func (t *Timer) Stop() {
	if t != nil && t.spot >= 0 {
		heap.Remove(&t.l.timers, t.spot)
	}
}

// Every runs a task again and again.
func (l *Loop) Every(pause time.Duration, do func()) {
	l.At(l.Now()+pause, func() {
		do()
		l.Every(pause, do)
	})
}

// next is the time until the first timer.
func (l *Loop) next(now time.Duration) time.Duration {
	if len(l.timers) == 0 {
		return time.Hour
	}
	return max(0, l.timers[0].at-now)
}

// RunDue runs the timers that are due at a time.
func (l *Loop) RunDue(now time.Duration) {
	for len(l.timers) > 0 && l.timers[0].at <= now {
		heap.Pop(&l.timers).(*Timer).do()
	}
}

// timerHeap is made here and not of package pq: each request sets and stops a few timers, and there one takes 1.4 times
// as long (BenchmarkTimers).
type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].spot, h[j].spot = i, j
}
func (h *timerHeap) Push(e any) {
	e.(*Timer).spot = len(*h)
	*h = append(*h, e.(*Timer))
}
func (h *timerHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.spot = -1
	return e
}
