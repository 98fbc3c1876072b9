package peer

import (
	"testing"
	"time"

	"gapgap/internal/eventloop"
)

// pumpPause is how long Pump sleeps when the event loop has no task.
const pumpPause = 100 * time.Microsecond

// Pump runs the tasks of an event loop on the test's goroutine until a condition holds. It fails the test if that takes
// longer than Patient.
func Pump(t testing.TB, l *eventloop.Loop, until func() bool) {
	t.Helper()
	for end := time.Now().Add(Patient); !until(); {
		if !l.RunTask() {
			time.Sleep(pumpPause)
		}
		if time.Now().After(end) {
			t.Fatal("the condition did not hold in time")
		}
	}
}
