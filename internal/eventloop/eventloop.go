// Package eventloop runs tasks and timers on a single goroutine. The goroutine that repeatedly calls Loop.Wait is the
// loop goroutine. Only it runs tasks and timers and accesses the data they own; other goroutines submit tasks with
// Loop.Post.
package eventloop

import (
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// maxTasks is the capacity of the task queue. Loop.Post blocks while the queue is full.
	maxTasks = 1024
	// noTimerWait bounds a wait when no timer is set.
	noTimerWait = time.Hour
)

// Loop holds the task queue and the timers of one loop goroutine. Create it with New, NewAt or NewWithSameClock.
type Loop struct {
	started time.Time
	// clockAtStart is the reading of the loop clock at the time started.
	clockAtStart time.Duration
	tasks        chan func()
	done         chan struct{}
	// submitting counts the goroutines that are submitting a task.
	submitting atomic.Int64
	wakeTimer  *time.Timer
	timers     timerHeap
	coarseNow  atomic.Int64
}

// New returns a loop whose clock starts at the current Unix time.
func New() *Loop { return NewAt(time.Now()) }

// NewAt returns a loop whose clock started at the given time, so that several loops can share a clock.
func NewAt(started time.Time) *Loop {
	wakeTimer := time.NewTimer(noTimerWait)
	wakeTimer.Stop()
	return &Loop{
		started:      started,
		clockAtStart: time.Duration(started.UnixNano()),
		tasks:        make(chan func(), maxTasks),
		done:         make(chan struct{}),
		wakeTimer:    wakeTimer,
	}
}

// NewWithSameClock returns a new loop with the same clock as l.
func (l *Loop) NewWithSameClock() *Loop {
	other := NewAt(l.started)
	other.clockAtStart = l.clockAtStart
	return other
}

// SkewClock moves the clock ahead of the system clock, for tests of machines whose clock is wrong. Call it before any
// other method.
func (l *Loop) SkewClock(by time.Duration) { l.clockAtStart += by }

// Now returns the Unix time at the start plus the monotonic time elapsed since, so it never decreases. Gateways need
// nearly equal clocks, since they derive the names of shared counter windows from it. It is safe for concurrent use.
func (l *Loop) Now() time.Duration {
	return l.clockAtStart + time.Since(l.started)
}

// Coarse returns the clock reading taken at the start of the current turn of the loop. It is cheaper than Now and
// precise enough for the tasks of the loop itself. For other goroutines it may be some milliseconds old while the loop
// waits. It is safe for concurrent use.
func (l *Loop) Coarse() time.Duration {
	if t := l.coarseNow.Load(); t > 0 {
		return time.Duration(t)
	}
	return l.Now()
}

// Post submits a task to the loop, blocking while the queue is full. It returns false if the loop has ended: the task
// does not run. A task for which it returns true runs, at the latest in Close. Any goroutine except the loop goroutine
// may call it.
func (l *Loop) Post(task func()) bool { return l.PostUntil(task, nil) }

// PostUntil is like Post but gives up when signal is closed. If the queue has capacity, the task is queued even if
// signal is already closed.
func (l *Loop) PostUntil(task func(), signal <-chan struct{}) bool {
	l.submitting.Add(1)
	defer l.submitting.Add(-1)
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.tasks <- task:
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

// Close ends the loop and runs the tasks that were submitted before. Only the loop goroutine may call it.
func (l *Loop) Close() {
	close(l.done)
	for l.submitting.Load() > 0 || len(l.tasks) > 0 {
		if !l.RunTask() {
			runtime.Gosched()
		}
	}
}

// Done returns a channel that is closed when Close begins.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Wait waits for a task, a due timer, the time limit or the signal, then runs all queued tasks and all due timers. It
// reports whether the signal was received.
func (l *Loop) Wait(limit time.Duration, signal <-chan struct{}) bool {
	first, signalled := l.Sleep(limit, signal)
	l.RunPending(first, len(l.tasks))
	return signalled
}

// Sleep waits for a task, a due timer, the time limit or the signal. If it returns a task, the caller must pass it to
// RunPending.
func (l *Loop) Sleep(limit time.Duration, signal <-chan struct{}) (first func(), signalled bool) {
	l.wakeTimer.Reset(min(limit, l.timeToNextTimer(l.Now())))
	select {
	case first = <-l.tasks:
	case <-l.wakeTimer.C:
	case <-signal:
		signalled = true
	}
	return first, signalled
}

// RunPending runs the first task, unless it is nil, then up to more queued tasks and all due timers.
func (l *Loop) RunPending(first func(), more int) {
	l.coarseNow.Store(int64(l.Now()))
	if first != nil {
		first()
	}
	for range min(more, len(l.tasks)) {
		(<-l.tasks)()
	}
	l.RunDue(l.Now())
}

// RunTask runs one task if one is queued, and reports whether it did.
func (l *Loop) RunTask() bool {
	select {
	case task := <-l.tasks:
		task()
		return true
	default:
		return false
	}
}
