// Package stats counts what operators read: requests taken and how they ended, attempts written, configuration files
// read. Counts run from the start of the process. Any goroutine may count or read at any time without waiting.
package stats

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"sync"
	"sync/atomic"
)

// Outcome is how a request ended, by what its client saw.
type Outcome int

// Outcomes.
const (
	// Fulfilled is served.
	Fulfilled Outcome = iota
	// Throttled is rejected with no effect: it may be sent again.
	Throttled
	// Faulted is anything else.
	Faulted

	outcomes
)

// outcomeNames are those of the figures that operators read.
var outcomeNames = [outcomes]string{"fulfilled", "throttled", "faulted"}

// Class counts the requests of one class.
type Class struct{ ended [outcomes]atomic.Uint64 }

// Ended counts a request of the class by its outcome.
func (c *Class) Ended(outcome Outcome) { c.ended[outcome].Add(1) }

// Count returns how many requests ended with an outcome.
func (c *Class) Count(outcome Outcome) uint64 { return c.ended[outcome].Load() }

// MaxClasses is how many names of classes are told apart; those that come later are counted together under Others. A
// class that is removed keeps its counters, so that a count never goes back.
const MaxClasses = 256

// Others is the name under which classes beyond MaxClasses are counted.
const Others = "others"

// Counters are those of one process. They are made by New.
type Counters struct {
	// Taken counts requests taken so far.
	Taken atomic.Int64
	// Gone counts requests that ended without an answer since their clients had disconnected.
	Gone atomic.Int64
	// Relayed counts attempts written in full to endpoints.
	Relayed atomic.Uint64
	// Listed is the number of endpoints in the list.
	Listed atomic.Int64
	// Avoided is the number of these that get no requests now.
	Avoided atomic.Int64
	// Accepted counts configuration files taken at a signal.
	Accepted atomic.Uint64
	// Invalid counts configuration files refused at a signal.
	Invalid atomic.Uint64

	mu      sync.Mutex
	classes map[string]*Class
}

// New returns counters at zero.
func New() *Counters { return &Counters{classes: map[string]*Class{}} }

// Class returns the counters of a class. The same name always has the same ones.
func (c *Counters) Class(name string) *Class {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.classes) >= MaxClasses && c.classes[name] == nil {
		name = Others
	}
	class := c.classes[name]
	if class == nil {
		class = &Class{}
		c.classes[name] = class
	}
	return class
}

// Open returns how many requests are taken and have not ended.
func (c *Counters) Open() int64 {
	ended := c.ended()
	// Taken is read last: what has ended was taken before.
	return max(0, c.Taken.Load()-ended)
}

// ended returns how many requests have ended, with or without an answer.
func (c *Counters) ended() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := c.Gone.Load()
	for _, class := range c.classes {
		for outcome := range class.ended {
			ended += int64(class.ended[outcome].Load())
		}
	}
	return ended
}

// Write writes all figures, one "name=value" a line, sorted by class.
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

// appendClasses appends the figures of all classes.
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
