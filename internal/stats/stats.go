// Package stats holds the counters reported to operators: requests received and their outcomes, attempts sent, and
// configuration files read. Counters start at zero with the process. Any goroutine may update or read them at any time.
package stats

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"sync"
	"sync/atomic"
)

// Outcome is the result of a request as seen by its client.
type Outcome int

const (
	// Fulfilled means that the request was served.
	Fulfilled Outcome = iota
	// Throttled means that the request was rejected without any effect and may be retried.
	Throttled
	// Faulted covers all other outcomes.
	Faulted

	numOutcomes
)

// outcomeNames are the names of the outcomes in the output of Counters.Write.
var outcomeNames = [numOutcomes]string{"fulfilled", "throttled", "faulted"}

// Class counts the outcomes of the requests of one class.
type Class struct{ counts [numOutcomes]atomic.Uint64 }

// Record counts a completed request of the class.
func (c *Class) Record(outcome Outcome) { c.counts[outcome].Add(1) }

// Count returns the number of requests with the given outcome.
func (c *Class) Count(outcome Outcome) uint64 { return c.counts[outcome].Load() }

// MaxClasses bounds the number of class names with counters of their own. Requests of further classes are counted under
// OtherClasses. A removed class keeps its counters, so that counts never decrease.
const MaxClasses = 256

// OtherClasses is the name under which classes beyond MaxClasses are counted.
const OtherClasses = "others"

// Counters holds the counters of one process. Create it with New.
type Counters struct {
	// Taken counts requests received.
	Taken atomic.Int64
	// ClientsDisconnected counts requests that ended without an answer because the client disconnected.
	ClientsDisconnected atomic.Int64
	// Relayed counts attempts written in full to endpoints.
	Relayed atomic.Uint64
	// Listed is the number of endpoints in the endpoint list.
	Listed atomic.Int64
	// Avoided is the number of listed endpoints that currently receive no requests.
	Avoided atomic.Int64
	// Accepted counts configuration files accepted on a reload signal.
	Accepted atomic.Uint64
	// Invalid counts configuration files refused on a reload signal.
	Invalid atomic.Uint64

	mu      sync.Mutex
	classes map[string]*Class
}

// New returns counters initialized to zero.
func New() *Counters { return &Counters{classes: map[string]*Class{}} }

// Class returns the counters of a class. The same name always returns the same counters.
func (c *Counters) Class(name string) *Class {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.classes) >= MaxClasses && c.classes[name] == nil {
		name = OtherClasses
	}
	class := c.classes[name]
	if class == nil {
		class = &Class{}
		c.classes[name] = class
	}
	return class
}

// Open returns the number of requests received and not yet completed.
func (c *Counters) Open() int64 {
	ended := c.endedRequests()
	// Taken is read last: every request counted as ended was counted in Taken before.
	return max(0, c.Taken.Load()-ended)
}

// endedRequests returns the number of completed requests, with or without an answer.
func (c *Counters) endedRequests() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := c.ClientsDisconnected.Load()
	for _, class := range c.classes {
		for outcome := range class.counts {
			ended += int64(class.counts[outcome].Load())
		}
	}
	return ended
}

// Write writes all counters, one "name=value" per line. Classes are sorted by name.
func (c *Counters) Write(w io.Writer) error {
	var out bytes.Buffer
	c.appendClasses(&out)
	figures := []struct {
		name  string
		value any
	}{
		{"relayed", c.Relayed.Load()},
		{"open_requests", c.Open()},
		{"registry_entries", c.Listed.Load()},
		{"out_of_rotation", c.Avoided.Load()},
		{"cfg_accepted", c.Accepted.Load()},
		{"cfg_invalid", c.Invalid.Load()},
	}
	for _, figure := range figures {
		fmt.Fprintf(&out, "svc.%s=%d\n", figure.name, figure.value)
	}
	_, err := w.Write(out.Bytes())
	return err
}

// appendClasses appends the counters of all classes.
func (c *Counters) appendClasses(out *bytes.Buffer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.classes))
	for name := range c.classes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for outcome, text := range outcomeNames {
			fmt.Fprintf(out, "svc.operations.%s.%s=%d\n", name, text, c.classes[name].Count(Outcome(outcome)))
		}
	}
}
