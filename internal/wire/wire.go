// Package wire reads and prints the simulator's line protocol. It makes no choices.
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

// Item is one thing of a batch that concerns an instance.
type Item struct {
	Door     string
	Start    bool // an instance starts, with Seed and Settings
	Stop     bool // the instance is killed
	Seed     uint64
	Settings balancer.Settings
	Event    balancer.Event // otherwise
}

// Batch is what happened at one time, in order.
type Batch struct {
	Now   time.Duration
	Seq   string
	Items []Item
}

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	lists map[int][]balancer.Endpoint
	fill  []balancer.Endpoint // entries still to come belong to slot
	slot  int
	need  int
	line  int
}

// NewReader reads batches from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<20), lists: map[int][]balancer.Endpoint{}}
}

// Next returns the next batch; io.EOF at the end of input between two batches.
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
		done, err := r.take(&b, text)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w: %.200q", r.line, err, text)
		}
		if done {
			return b, nil
		}
	}
}

// take adds one line to the batch and tells whether it closed it.
func (r *Reader) take(b **Batch, text string) (bool, error) {
	f := &fields{parts: strings.Split(text, " ")}
	name := f.text()
	if (*b == nil) != (name == "CLOCK") {
		return false, fmt.Errorf("%s out of place", name)
	}
	if r.need > 0 && name != "BACKEND" || r.need == 0 && name == "BACKEND" {
		return false, fmt.Errorf("%s where the list wants %d more entries", name, r.need)
	}
	switch name {
	case "CLOCK":
		*b = &Batch{Now: f.micros(), Seq: f.text()}
	case "EOF_BATCH":
		return true, f.err
	case "CENSUS":
		r.slot, r.need = f.int(), f.int()
		if r.need < 0 {
			return false, fmt.Errorf("negative number of entries")
		}
		r.fill = make([]balancer.Endpoint, 0, min(r.need, 1<<16))
		r.closeList()
	case "BACKEND":
		r.fill = append(r.fill, f.backend())
		r.need--
		r.closeList()
	default:
		it, err := r.item(name, f)
		if err != nil {
			return false, err
		}
		(*b).Items = append((*b).Items, it)
	}
	return false, f.err
}

func (r *Reader) closeList() {
	if r.need == 0 {
		r.lists[r.slot] = r.fill
	}
}

// item reads a line that concerns an instance.
func (r *Reader) item(name string, f *fields) (Item, error) {
	it := Item{Door: f.text()}
	switch name {
	case "PROVISION":
		it.Start, it.Seed = true, f.uint()
		set, err := settings(f.rest())
		if err != nil {
			return it, err
		}
		it.Settings = set
	case "STOP":
		it.Stop = true
	case "VIEW":
		scope, ok := scopes[f.text()]
		if !ok {
			return it, fmt.Errorf("unknown scope")
		}
		ev := balancer.EndpointUpdate{Kind: scope}
		f.text()
		if scope != balancer.UpdateFailed {
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

var scopes = map[string]balancer.UpdateKind{"delta": balancer.Delta, "full": balancer.Snapshot,
	"cached": balancer.CachedSnapshot, "failed": balancer.UpdateFailed}

var states = map[string]balancer.EndpointState{"in_service": balancer.Serving, "terminating": balancer.Draining,
	"terminated": balancer.Removed}

// fields reads a line's parts in order and keeps the first error.
type fields struct {
	parts []string
	at    int
	err   error
}

func (f *fields) fail(what string, s string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %d: not %s: %.40q", f.at-1, what, s)
	}
}

func (f *fields) opt() string {
	if f.at >= len(f.parts) {
		return "-"
	}
	f.at++
	return f.parts[f.at-1]
}

func (f *fields) text() string {
	s := f.opt()
	if s == "-" || s == "" {
		f.fail("present", s)
	}
	return s
}

func (f *fields) rest() []string { return f.parts[min(f.at, len(f.parts)):] }

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
		f.fail("a small whole number", s)
	}
	return int(v)
}

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

func (f *fields) absent() bool { return f.at >= len(f.parts) || f.parts[f.at] == "-" }

func (f *fields) optUint(d uint64) uint64 {
	if f.absent() {
		f.opt()
		return d
	}
	return f.uint()
}

func (f *fields) optFloat(d float64) float64 {
	if f.absent() {
		f.opt()
		return d
	}
	return f.float()
}

func (f *fields) status() balancer.Status {
	v := f.int()
	if v < int(balancer.Failed) || v > int(balancer.NotSent) {
		f.fail("an outcome", strconv.Itoa(v))
	}
	return balancer.Status(v)
}

func (f *fields) backend() balancer.Endpoint {
	b := balancer.Endpoint{Name: f.text(), Zone: f.int(), Kind: f.int(), Cell: f.int()}
	s := f.text()
	st, ok := states[s]
	if !ok {
		f.fail("a state", s)
	}
	b.State, b.Weight = st, f.optFloat(1)
	if !f.absent() {
		b.StartedAt = f.micros()
	}
	return b
}
