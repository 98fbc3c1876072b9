// Package trace writes a line for each event of a gateway, for those who look for a cause: what became of each request
// and why, each attempt, counter call, connection and endpoint update. It is off unless asked for.
//
// The event loop owns a Log. All methods may be called on a nil *Log, which writes nothing.
package trace

import (
	"fmt"
	"io"
	"time"
)

// MaxLines is how many lines are written in a second. Further ones are counted and reported in the next second.
const MaxLines = 2000

// Log writes trace lines.
type Log struct {
	out io.Writer
	now func() time.Duration
	// second is that of the last line, lines how many it has had, dropped how many of them were not written.
	second  int64
	lines   int
	dropped int
	buffer  []byte
}

// New returns a log on a clock, whose milliseconds the lines tell.
func New(out io.Writer, now func() time.Duration) *Log { return &Log{out: out, now: now} }

// On tells whether lines are written.
func (l *Log) On() bool { return l != nil }

// Line writes one line: a kind of event, then fields as key=value without spaces in them. Errors of the writer are
// ignored: a trace must not disturb what it shows.
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

// beginSecond starts to count anew with each second and reports what the last one dropped.
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

// MS returns a duration in milliseconds, as lines tell it.
func MS(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
