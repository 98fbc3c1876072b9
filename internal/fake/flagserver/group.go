package flagserver

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Group is a deduplication scope: what several servers remember together of keyed commands, and a record of the
// effects that those had. The record outlives a power cut, the memory does not. It is safe for concurrent use.
type Group struct {
	// window is the time for which repeats of a key are dropped.
	window time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// lastRun is when a command of a key came last.
	lastRun map[string]time.Time
	effects []Effect
}

// Effect is one effect that a keyed command had.
type Effect struct {
	// At is when the command came.
	At time.Time
	// Key is its idempotency key.
	Key string
}

// NewGroup returns a group that drops repeats of a key within a window after the command that came last.
func NewGroup(window time.Duration) *Group {
	return &Group{window: window, lastRun: map[string]time.Time{}}
}

// Forget drops the memory of keys, as a power cut does.
func (g *Group) Forget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastRun = map[string]time.Time{}
}

// Effects returns the record of effects so far, in their order.
func (g *Group) Effects() []Effect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.effects)
}

// run has the effect of a command that came at a time, unless its key ran within the window. list is the command's
// list of parameters; without a key it has no effect.
func (g *Group) run(at time.Time, list string) {
	for parameter := range strings.SplitSeq(list, ",") {
		if key, isKey := strings.CutPrefix(parameter, "k="); isKey {
			g.runKey(at, key)
		}
	}
}

func (g *Group) runKey(at time.Time, key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if last, ran := g.lastRun[key]; !ran || at.Sub(last) >= g.window {
		g.effects = append(g.effects, Effect{At: at, Key: key})
	}
	g.lastRun[key] = at
}
