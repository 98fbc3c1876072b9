package flagserver

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// DedupScope is a dedup scope: the keys that several servers remember together, and a record of the effects that keyed
// commands had. The record survives a power cut, the keys do not. It is safe for concurrent use.
type DedupScope struct {
	// window is the dedup window: how long repeats of a key have no effect.
	window time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// lastRun is when the latest command with each key was received.
	lastRun map[string]time.Time
	effects []Effect
}

// Effect is one effect that a keyed command had.
type Effect struct {
	// At is when the command was received.
	At time.Time
	// Key is the command's idempotency key.
	Key string
}

// NewDedupScope returns a scope that ignores a command if the latest one with the same key was received less than a
// window before.
func NewDedupScope(window time.Duration) *DedupScope {
	return &DedupScope{window: window, lastRun: map[string]time.Time{}}
}

// ForgetKeys removes all remembered keys, as a power cut does.
func (s *DedupScope) ForgetKeys() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRun = map[string]time.Time{}
}

// Effects returns the effects so far, in order.
func (s *DedupScope) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.effects)
}

// run records the effect of a command received at a time, unless the window of its key is still open. list is the
// command's parameter list. A command without a key has no effect.
func (s *DedupScope) run(at time.Time, list string) {
	for parameter := range strings.SplitSeq(list, ",") {
		if key, isKey := strings.CutPrefix(parameter, "k="); isKey {
			s.runKey(at, key)
		}
	}
}

func (s *DedupScope) runKey(at time.Time, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ran := s.lastRun[key]; !ran || at.Sub(last) >= s.window {
		s.effects = append(s.effects, Effect{At: at, Key: key})
	}
	s.lastRun[key] = at
}
