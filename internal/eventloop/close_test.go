package eventloop

import (
	"sync"
	"sync/atomic"
	"testing"
)

// TestTasksAroundClose guards against a task that is dropped in silence because the loop has ended: whatever Post
// accepts runs, and it tells what it does not accept.
func TestTasksAroundClose(t *testing.T) {
	const goroutines, tasks = 8, 2000
	for range 20 {
		l := New()
		var accepted, ran atomic.Int64
		var wg sync.WaitGroup
		for range goroutines {
			wg.Go(func() {
				for range tasks {
					if l.Post(func() { ran.Add(1) }) {
						accepted.Add(1)
					}
				}
			})
		}
		for range tasks {
			l.RunTask()
		}
		l.Close()
		wg.Wait()
		if accepted.Load() != ran.Load() || accepted.Load() == goroutines*tasks {
			t.Fatalf("%d tasks were accepted and %d ran, of %d", accepted.Load(), ran.Load(), goroutines*tasks)
		}
	}
}
