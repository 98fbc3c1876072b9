// Package trace writes one line per event of a gateway, for diagnosis: the outcome of each request and its reason, each
// attempt, counter call, connection and endpoint update. It is off by default.
//
// The event loop owns a Log. All methods may be called on a nil *Log, which writes nothing.
package trace

import (
	"fmt"
	"io"
	"time"
)

// MaxLines bounds the lines written per second. Further lines are counted and reported in the next second.
const MaxLines = 2000

// Log writes trace lines.
type Log struct {
	out io.Writer
	now func() time.Duration
	// second is the clock second of the last line. lines counts the lines requested in that second, and dropped counts
	// those that were not written.
	second  int64
	lines   int
	dropped int
	buffer  []byte
}

// New returns a log that timestamps its lines with the milliseconds of the given clock.
func New(out io.Writer, now func() time.Duration) *Log { return &Log{out: out, now: now} }

// Enabled reports whether tracing is enabled.
func (l *Log) Enabled() bool { return l != nil }

// Line writes one line: the kind of event followed by key=value fields without spaces. Write errors are ignored, so
// that tracing never affects the gateway it observes.
func (l *Log) Line(kind string, format string, args ...any) {
	if l == nil {
		return
	}
	now := l.now()
	l.beginSecond(now)
	l.lines++
	if l.lines > MaxLines {
		l.dropped++
		return
	}
	l.buffer = fmt.Appendf(l.buffer[:0], "trace %d %s ", now.Milliseconds(), kind)
	l.buffer = append(fmt.Appendf(l.buffer, format, args...), '\n')
	_, _ = l.out.Write(l.buffer)
}

// beginSecond resets the line count when a new second begins and reports the lines dropped in the last one.
func (l *Log) beginSecond(now time.Duration) {
	second := int64(now / time.Second)
	if second == l.second {
		return
	}
	l.second = second
	l.lines = 0
	if l.dropped > 0 {
		_, _ = fmt.Fprintf(l.out, "trace %d dropped n=%d\n", now.Milliseconds(), l.dropped)
		l.dropped = 0
	}
}

// MS converts a duration to milliseconds, the unit used in trace lines.
func MS(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
