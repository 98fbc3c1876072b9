package eventloop

import (
	"container/heap"
	"time"
)

// Timer runs a task at a given time of a loop clock.
type Timer struct {
	at   time.Duration
	task func()
	// position is the index in the heap. -1 means that the timer has fired or was stopped.
	position int
	loop     *Loop
}

// At schedules a task to run at or after a given time of the loop clock. Only the loop goroutine may call it.
func (l *Loop) At(at time.Duration, task func()) *Timer {
	timer := &Timer{at: at, task: task, loop: l}
	heap.Push(&l.timers, timer)
	return timer
}

// Every runs a task repeatedly, with the given interval between runs. Only the loop goroutine may call it.
func (l *Loop) Every(interval time.Duration, task func()) {
	l.At(l.Now()+interval, func() {
		task()
		l.Every(interval, task)
	})
}

// Stop cancels the timer. It does nothing if the timer is nil, has fired or was stopped before. Only the loop goroutine
// may call it.
func (t *Timer) Stop() {
	if t != nil && t.position >= 0 {
		heap.Remove(&t.loop.timers, t.position)
	}
}

// RunDue runs all timers that are due at the given time.
func (l *Loop) RunDue(now time.Duration) {
	for len(l.timers) > 0 && l.timers[0].at <= now {
		heap.Pop(&l.timers).(*Timer).task()
	}
}

// timeToNextTimer returns the time until the earliest timer is due.
func (l *Loop) timeToNextTimer(now time.Duration) time.Duration {
	if len(l.timers) == 0 {
		return noTimerWait
	}
	return max(0, l.timers[0].at-now)
}

// timerHeap implements heap.Interface. It is used instead of package priorityqueue, whose items cost more: every
// request sets and stops several timers (see BenchmarkTimers).
type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

func (h *timerHeap) Push(element any) {
	timer := element.(*Timer)
	timer.position = len(*h)
	*h = append(*h, timer)
}

func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	timer := old[last]
	old[last] = nil
	*h = old[:last]
	timer.position = -1
	return timer
}
