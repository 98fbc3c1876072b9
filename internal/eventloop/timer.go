package eventloop

import (
	"container/heap"
	"time"
)

// Timer runs a task at a time of a loop's clock.
type Timer struct {
	at   time.Duration
	task func()
	// position is the index in the heap; -1: the timer has run or was stopped.
	position int
	loop     *Loop
}

// At runs a task at or after a time of the loop's clock. Only the loop goroutine may call it.
func (l *Loop) At(at time.Duration, task func()) *Timer {
	timer := &Timer{at: at, task: task, loop: l}
	heap.Push(&l.timers, timer)
	return timer
}

// Every runs a task again and again with a pause between. Only the loop goroutine may call it.
func (l *Loop) Every(pause time.Duration, task func()) {
	l.At(l.Now()+pause, func() {
		task()
		l.Every(pause, task)
	})
}

// Stop keeps the timer from running. A nil timer, or one that has run, is ignored. Only the loop goroutine may call it.
func (t *Timer) Stop() {
	if t != nil && t.position >= 0 {
		heap.Remove(&t.loop.timers, t.position)
	}
}

// RunDue runs the timers that are due at a time.
func (l *Loop) RunDue(now time.Duration) {
	for len(l.timers) > 0 && l.timers[0].at <= now {
		heap.Pop(&l.timers).(*Timer).task()
	}
}

// untilNextTimer returns the time until the first timer.
func (l *Loop) untilNextTimer(now time.Duration) time.Duration {
	if len(l.timers) == 0 {
		return noTimerWait
	}
	return max(0, l.timers[0].at-now)
}

// timerHeap implements heap.Interface. It does not use package priorityqueue, whose items cost more: each request sets
// and stops a few timers (BenchmarkTimers).
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
