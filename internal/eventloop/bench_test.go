package eventloop

import (
	"testing"
	"time"

	"gapgap/internal/priorityqueue"
)

// BenchmarkTimers measures the cost of stopping one timer and setting another while 512 are pending, with the heap of
// the loop and with package priorityqueue.
func BenchmarkTimers(b *testing.B) {
	const pendingTimers = 512
	due := func(i int) time.Duration { return time.Duration(i * 7919 % 100000) }
	b.Run("own", func(b *testing.B) {
		l := New()
		var timers [pendingTimers]*Timer
		for i := range timers {
			timers[i] = l.At(due(i), func() {})
		}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			timers[i%pendingTimers].Stop()
			timers[i%pendingTimers] = l.At(due(i), func() {})
		}
	})
	b.Run("pq", func(b *testing.B) {
		type timer struct {
			at   time.Duration
			do   func()
			item priorityqueue.Item[*timer]
			l    *Loop
		}
		q := priorityqueue.New(func(a, b *timer) bool { return a.at < b.at })
		set := func(i int) *timer {
			t := &timer{at: due(i), do: func() {}, l: nil}
			t.item.Value = t
			q.Put(&t.item)
			return t
		}
		var timers [pendingTimers]*timer
		for i := range timers {
			timers[i] = set(i)
		}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			q.Remove(&timers[i%pendingTimers].item)
			timers[i%pendingTimers] = set(i)
		}
	})
}
