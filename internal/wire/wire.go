// Package wire parses and formats the simulator's line protocol. It only translates between lines and the events,
// actions and settings of package balancer.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"gapgap/internal/balancer"
)

// Item is one line of a batch that concerns an instance: its start, its stop or an event.
type Item struct {
	// Door is the name of the instance.
	Door string
	// Start tells that an instance starts, with Seed and Settings.
	Start bool
	// Stop tells that the instance is killed.
	Stop     bool
	Seed     uint64
	Settings balancer.Settings
	// Event is set if the item is neither a start nor a stop.
	Event balancer.Event
}

// Batch holds the items of one point in time, in order.
type Batch struct {
	Now   time.Duration
	Seq   string
	Items []Item
}

// Reader reads batches.
type Reader struct {
	in *bufio.Reader
	// lists are the complete endpoint lists by their indices.
	lists map[int][]balancer.Endpoint
	// entries are those received of the list at listIndex, of which missing ones are still to come.
	entries   []balancer.Endpoint
	listIndex int
	missing   int
	// line is the number of the last line read.
	line int
}

// NewReader returns a reader of batches from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<20), lists: map[int][]balancer.Endpoint{}}
}

// Next returns the next batch, or io.EOF if the input ends between two batches.
func (r *Reader) Next() (*Batch, error) {
	var b *Batch
	for {
		text, err := r.in.ReadString('\n')
		if errors.Is(err, io.EOF) && text == "" && b == nil {
			return nil, io.EOF
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		r.line++
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", r.line, err)
		}
		text = strings.TrimRight(text, "\r\n")
		if text == "" && b == nil {
			continue
		}
		done, err := r.parseLine(&b, text)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w: %.200q", r.line, err, text)
		}
		if done {
			return b, nil
		}
	}
}

// parseLine adds one line to the batch and reports whether the batch is complete.
func (r *Reader) parseLine(b **Batch, text string) (bool, error) {
	f := &fields{parts: strings.Split(text, " ")}
	name := f.text()
	if (*b == nil) != (name == "CLOCK") {
		return false, fmt.Errorf("unexpected %s", name)
	}
	if r.missing > 0 && name != "BACKEND" || r.missing == 0 && name == "BACKEND" {
		return false, fmt.Errorf("unexpected %s: the list has %d entries to come", name, r.missing)
	}
	switch name {
	case "CLOCK":
		*b = &Batch{Now: f.micros(), Seq: f.text()}
	case "EOF_BATCH":
		return true, f.err
	case "CENSUS":
		r.listIndex, r.missing = f.int(), f.int()
		if r.missing < 0 {
			return false, fmt.Errorf("negative number of entries")
		}
		r.entries = make([]balancer.Endpoint, 0, min(r.missing, 1<<16))
		r.closeList()
	case "BACKEND":
		r.entries = append(r.entries, f.endpoint())
		r.missing--
		r.closeList()
	default:
		it, err := r.parseItem(name, f)
		if err != nil {
			return false, err
		}
		(*b).Items = append((*b).Items, it)
	}
	return false, f.err
}

// closeList stores the current list once it is complete.
func (r *Reader) closeList() {
	if r.missing == 0 {
		r.lists[r.listIndex] = r.entries
	}
}

// parseItem parses a line that concerns an instance.
func (r *Reader) parseItem(name string, f *fields) (Item, error) {
	it := Item{Door: f.text()}
	switch name {
	case "PROVISION":
		it.Start, it.Seed = true, f.uint()
		set, err := parseSettings(f.rest())
		if err != nil {
			return it, err
		}
		it.Settings = set
	case "STOP":
		it.Stop = true
	case "VIEW":
		kind, ok := updateKinds[f.text()]
		if !ok {
			return it, fmt.Errorf("unknown scope")
		}
		ev := balancer.EndpointUpdate{Kind: kind}
		f.text()
		if kind != balancer.UpdateFailed {
			if ev.Entries, ok = r.lists[f.int()]; !ok && f.err == nil {
				return it, fmt.Errorf("unknown list")
			}
		}
		it.Event = ev
	case "ACCEPT":
		ev := balancer.Request{ID: f.uint(), Class: f.int(), Plan: f.int(), Customer: f.text(), TimeLeft: f.micros()}
		ev.Units = f.optFloat(1)
		ev.Gateways = int(f.optUint(0))
		f.optUint(0)
		ev.ClientRetry = f.optUint(0)&2 != 0
		it.Event = ev
	case "VERDICT":
		ev := balancer.AttemptResult{ID: f.uint(), Attempt: f.int(), Endpoint: f.text(), Status: f.status()}
		ev.Latency, ev.RequestClosed = f.micros(), f.bool()
		ev.QuotaUsed, ev.Units = int(f.optUint(0)), f.optFloat(0)
		it.Event = ev
	case "COUNT_RESULT":
		ev := balancer.CounterResult{Name: f.uint(), Status: f.status()}
		if ev.Status == balancer.OK {
			ev.Total = f.float()
		} else {
			f.optFloat(0)
		}
		it.Event = ev
	case "REMINDER":
		it.Event = balancer.TimerFired{Cookie: f.uint()}
	case "ABORTED":
		it.Event = balancer.RequestDone{ID: f.uint()}
	case "FIRST_BYTE":
		id := f.uint()
		f.text()
		it.Event = balancer.FirstByte{ID: id, Attempt: f.int()}
	case "CHECKED":
		f.micros()
		st := f.status()
		it.Event = balancer.HealthCheckResult{Status: st, Endpoint: f.text()}
	case "FROM_PEER":
		it.Event = balancer.Message{From: f.int()}
	default:
		return it, fmt.Errorf("unknown message")
	}
	return it, f.err
}

var updateKinds = map[string]balancer.UpdateKind{"delta": balancer.Delta, "full": balancer.Snapshot,
	"cached": balancer.CachedSnapshot, "failed": balancer.UpdateFailed}

var endpointStates = map[string]balancer.EndpointState{"in_service": balancer.Serving, "terminating": balancer.Draining,
	"terminated": balancer.Removed}

// fields parses the parts of a line in order and keeps the first error.
type fields struct {
	parts []string
	// next is the index of the next part.
	next int
	err  error
}

// fail records that the last part s is not what was expected.
func (f *fields) fail(what string, s string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %d: not %s: %.40q", f.next-1, what, s)
	}
}

// optional returns the next part, or "-" if there are no more.
func (f *fields) optional() string {
	if f.next >= len(f.parts) {
		return "-"
	}
	f.next++
	return f.parts[f.next-1]
}

// text returns the next part, which must be present.
func (f *fields) text() string {
	s := f.optional()
	if s == "-" || s == "" {
		f.fail("present", s)
	}
	return s
}

// rest returns all remaining parts.
func (f *fields) rest() []string { return f.parts[min(f.next, len(f.parts)):] }

func (f *fields) uint() uint64 {
	s := f.text()
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		f.fail("a whole number", s)
	}
	return v
}

func (f *fields) int() int {
	s := f.text()
	v, err := strconv.ParseInt(s, 10, 32)
	if err != nil {
		f.fail("a 32-bit whole number", s)
	}
	return int(v)
}

// micros parses a duration in microseconds. Its limit of 2^53 still fits into a time.Duration.
func (f *fields) micros() time.Duration {
	s := f.text()
	v, err := strconv.ParseInt(s, 10, 54)
	if err != nil || v > 1<<53 {
		f.fail("a time", s)
	}
	return time.Duration(v) * time.Microsecond
}

func (f *fields) float() float64 {
	s := f.text()
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || v != v {
		f.fail("a number", s)
	}
	return v
}

func (f *fields) bool() bool {
	s := f.text()
	if s != "0" && s != "1" {
		f.fail("0 or 1", s)
	}
	return s == "1"
}

// isAbsent reports whether the next part is missing or "-".
func (f *fields) isAbsent() bool { return f.next >= len(f.parts) || f.parts[f.next] == "-" }

func (f *fields) optUint(fallback uint64) uint64 {
	if f.isAbsent() {
		f.optional()
		return fallback
	}
	return f.uint()
}

func (f *fields) optFloat(fallback float64) float64 {
	if f.isAbsent() {
		f.optional()
		return fallback
	}
	return f.float()
}

func (f *fields) status() balancer.Status {
	v := f.int()
	if v < int(balancer.Failed) || v > int(balancer.NotSent) {
		f.fail("a status", strconv.Itoa(v))
	}
	return balancer.Status(v)
}

func (f *fields) endpoint() balancer.Endpoint {
	b := balancer.Endpoint{Name: f.text(), Zone: f.int(), Kind: f.int(), Cell: f.int()}
	s := f.text()
	st, ok := endpointStates[s]
	if !ok {
		f.fail("a state", s)
	}
	b.State, b.Weight = st, f.optFloat(1)
	if !f.isAbsent() {
		b.StartedAt = f.micros()
	}
	return b
}
