// Package stats counts what operators read: requests taken and how they ended, attempts written, files read. Counts run
// from the start of the process. One goroutine or many may count; anyone may read at any time, without waiting for who
// counts.
package stats

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"sync/atomic"
)

// Outcome is how a request ended, by what its client saw.
type Outcome int

const (
	Fulfilled Outcome = iota // served
	Throttled                // refused: trying again is harmless
	Faulted                  // anything else
	outcomes
)

var outcomeNames = [outcomes]string{"fulfilled", "throttled", "faulted"}

// Class counts the requests of one class.
type Class struct{ ended [outcomes]atomic.Uint64 }

// Ended counts a request of the class by its outcome.
func (c *Class) Ended(o Outcome) { c.ended[o].Add(1) }

// Count is how many requests ended so.
func (c *Class) Count(o Outcome) uint64 { return c.ended[o].Load() }

// MostClasses is how many names of classes are told apart. A class that is dropped keeps its figures, so that a count never
// goes back; what comes after so many is counted together, under Others.
const MostClasses = 256

// Others is the name under which classes are counted for which there was no place.
const Others = "others"

// Counters are those of one process. The zero value is not ready; see New.
type Counters struct {
	Taken    atomic.Int64  // requests taken so far
	Gone     atomic.Int64  // requests that ended without an answer, their clients having left
	Relayed  atomic.Uint64 // attempts written whole to backends
	Listed   atomic.Int64  // backends in the list
	Avoided  atomic.Int64  // of them, those that the front door avoids now
	Accepted atomic.Uint64 // files taken at a signal
	Invalid  atomic.Uint64 // files turned down
	mu       sync.Mutex
	classes  map[string]*Class
}

// New makes figures at nought.
func New() *Counters { return &Counters{classes: map[string]*Class{}} }

// Class is where requests of a class are counted. One name always has the same place.
func (f *Counters) Class(name string) *Class {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.classes) >= MostClasses && f.classes[name] == nil {
		name = Others
	}
	c := f.classes[name]
	if c == nil {
		c = &Class{}
		f.classes[name] = c
	}
	return c
}

// Open is how many requests are taken and not ended.
func (f *Counters) Open() int64 {
	f.mu.Lock()
	ended := f.Gone.Load()
	for _, c := range f.classes {
		for o := range c.ended {
			ended += int64(c.ended[o].Load())
		}
	}
	f.mu.Unlock()
	return max(0, f.Taken.Load()-ended) // Taken last: what ended was taken before
}

// Write writes all figures, a line each.
func (f *Counters) Write(w io.Writer) error {
	f.mu.Lock()
	names := make([]string, 0, len(f.classes))
	for name := range f.classes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		for o, text := range outcomeNames {
			fmt.Fprintf(w, "svc.operations.%s.%s=%d\n", name, text, f.classes[name].Count(Outcome(o)))
		}
	}
	f.mu.Unlock()
	_, err := fmt.Fprintf(w, "svc.relayed=%d\nsvc.open_requests=%d\nsvc.registry_entries=%d\nsvc.out_of_rotation=%d\n"+
		"svc.cfg_accepted=%d\nsvc.cfg_invalid=%d\n", f.Relayed.Load(), f.Open(), f.Listed.Load(), f.Avoided.Load(),
		f.Accepted.Load(), f.Invalid.Load())
	return err
}
