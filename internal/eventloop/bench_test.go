package eventloop

import (
	"testing"
	"time"

	"gapgap/internal/priorityqueue"
)

// What a timer costs that is stopped while another is set, among 512: by the loop's own heap, and by the queue that
// others use.
func BenchmarkTimers(b *testing.B) {
	const out = 512
	due := func(i int) time.Duration { return time.Duration(i * 7919 % 100000) }
	b.Run("own", func(b *testing.B) {
		l := New()
		var ring [out]*Timer
		for i := range ring {
			ring[i] = l.At(due(i), func() {})
		}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			ring[i%out].Stop()
			ring[i%out] = l.At(due(i), func() {})
		}
	})
	b.Run("pq", func(b *testing.B) {
		type timer struct {
			at    time.Duration
			do    func()
			place priorityqueue.Item[*timer]
			l     *Loop
		}
		q := priorityqueue.New(func(a, b *timer) bool { return a.at < b.at })
		set := func(i int) *timer {
			t := &timer{at: due(i), do: func() {}, l: nil}
			t.place.Value = t
			q.Put(&t.place)
			return t
		}
		var ring [out]*timer
		for i := range ring {
			ring[i] = set(i)
		}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			q.Remove(&ring[i%out].place)
			ring[i%out] = set(i)
		}
	})
}
