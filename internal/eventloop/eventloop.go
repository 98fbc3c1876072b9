// Package eventloop runs tasks and timers on one goroutine. The goroutine that calls Loop.Wait again and again is the
// loop goroutine: it alone runs tasks and timers, and it alone may touch what they own. All others hand it tasks by
// Loop.Post.
package eventloop

import (
	"sync/atomic"
	"time"
)

const (
	// maxTasks is how many tasks may wait. A goroutine that posts more blocks until the loop has run one.
	maxTasks = 1024
	// noTimerWait is the longest wait of a loop without timers.
	noTimerWait = time.Hour
)

// Loop holds the tasks and timers of one loop goroutine. It is made by New, NewAt or Like.
type Loop struct {
	started time.Time
	// base is the clock at started.
	base   time.Duration
	tasks  chan func()
	done   chan struct{}
	alarm  *time.Timer
	timers timerHeap
	coarse atomic.Int64
}

// New returns a loop whose clock starts at the present Unix time.
func New() *Loop { return NewAt(time.Now()) }

// NewAt returns a loop whose clock started at a time, so that several loops can have one clock.
func NewAt(started time.Time) *Loop {
	alarm := time.NewTimer(noTimerWait)
	alarm.Stop()
	return &Loop{
		started: started,
		base:    time.Duration(started.UnixNano()),
		tasks:   make(chan func(), maxTasks),
		done:    make(chan struct{}),
		alarm:   alarm,
	}
}

// NewWithSameClock returns a loop with the clock of this one.
func (l *Loop) NewWithSameClock() *Loop {
	other := NewAt(l.started)
	other.base = l.base
	return other
}

// SkewClock puts the clock ahead of the machine's, for tests of machines whose clock is wrong. It is called before all
// else.
func (l *Loop) SkewClock(by time.Duration) { l.base += by }

// Now returns the Unix time at the start and what has passed since, so it never goes back. All gateways read about the
// same, as they name the counter's numbers by it. Any goroutine may call it.
func (l *Loop) Now() time.Duration {
	return l.base + time.Since(l.started)
}

// Coarse returns the clock as the loop read it when its turn began. It is cheap, exact enough for the loop's own tasks,
// and some milliseconds late for other goroutines while the loop waits. Any goroutine may call it.
func (l *Loop) Coarse() time.Duration {
	if t := l.coarse.Load(); t > 0 {
		return time.Duration(t)
	}
	return l.Now()
}

// Post hands the loop a task and blocks while too many wait. After Close it does nothing. Any goroutine but the loop's
// may call it.
func (l *Loop) Post(task func()) {
	select {
	case l.tasks <- task:
	case <-l.done:
	}
}

// PostUntil is Post that gives up when the signal is closed or the loop is. It tells whether the task was posted, and
// posts it whatever the signal where there is capacity.
func (l *Loop) PostUntil(task func(), signal <-chan struct{}) bool {
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

// Close ends the loop: it runs no more tasks.
func (l *Loop) Close() { close(l.done) }

// Done returns a channel that Close closes.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Wait waits for a task, a due timer, the limit or the signal, and runs all tasks that wait and all timers that are
// due. It tells whether it was the signal that came.
func (l *Loop) Wait(limit time.Duration, signal <-chan struct{}) bool {
	first, signalled := l.Sleep(limit, signal)
	l.RunPending(first, len(l.tasks))
	return signalled
}

// Sleep waits for a task, a due timer, the limit or the signal. If a task came it must be handed to RunPending.
func (l *Loop) Sleep(limit time.Duration, signal <-chan struct{}) (first func(), signalled bool) {
	l.alarm.Reset(min(limit, l.untilNextTimer(l.Now())))
	select {
	case first = <-l.tasks:
	case <-l.alarm.C:
	case <-signal:
		signalled = true
	}
	return first, signalled
}

// RunPending runs the first task, unless it is nil, up to a number more that wait, and the timers that are due.
func (l *Loop) RunPending(first func(), more int) {
	l.coarse.Store(int64(l.Now()))
	if first != nil {
		first()
	}
	for range min(more, len(l.tasks)) {
		(<-l.tasks)()
	}
	l.RunDue(l.Now())
}

// RunTask runs one task if one waits, and tells whether it did.
func (l *Loop) RunTask() bool {
	select {
	case task := <-l.tasks:
		task()
		return true
	default:
		return false
	}
}
