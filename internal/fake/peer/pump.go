package peer

import (
	"testing"
	"time"

	"gapgap/internal/eventloop"
)

// pumpPause is the pause of Pump while the loop has no task.
const pumpPause = 100 * time.Microsecond

// Pump runs an event loop's tasks on the test's goroutine until a condition holds, for Patient at most.
func Pump(t testing.TB, l *eventloop.Loop, until func() bool) {
	t.Helper()
	for end := time.Now().Add(Patient); !until(); {
		if !l.RunTask() {
			time.Sleep(pumpPause)
		}
		if time.Now().After(end) {
			t.Fatal("it never came to that")
		}
	}
}
