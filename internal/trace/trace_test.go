package trace

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// TestLinesAreBoundedAndTheRestIsCounted verifies that at most MaxLines are written per second and that the next second
// reports how many were dropped.
func TestLinesAreBoundedAndTheRestIsCounted(t *testing.T) {
	var out bytes.Buffer
	now := 10 * time.Second
	l := New(&out, func() time.Duration { return now })
	for range MaxLines + 7 {
		l.Line("end", "id=%d", 1)
	}
	if n := strings.Count(out.String(), "\n"); n != MaxLines {
		t.Fatalf("%d lines in a second, want %d", n, MaxLines)
	}
	out.Reset()
	now += time.Second
	l.Line("end", "id=%d took=%.1f", 2, MS(1500*time.Microsecond))
	if want := "trace 11000 dropped n=7\ntrace 11000 end id=2 took=1.5\n"; out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

// TestOffWritesNothing verifies that a nil log can be used and is off.
func TestOffWritesNothing(t *testing.T) {
	var l *Log
	if l.Enabled() {
		t.Error("a nil log reports that tracing is on")
	}
	l.Line("end", "id=%d", 1) // must not panic
}

// TestOffAllocatesNothing verifies that a disabled log causes no allocation when callers check Enabled first.
func TestOffAllocatesNothing(t *testing.T) {
	var l *Log
	if n := testing.AllocsPerRun(100, func() {
		if l.Enabled() {
			l.Line("end", "id=%d", 1)
		}
	}); n != 0 {
		t.Errorf("got %.0f allocations, want 0", n)
	}
}
