package flagserver

import (
	"strings"
	"sync"
	"time"
)

// Group is what servers remember together of keyed commands, and the book of what those have done. The book outlives a loss of power, the
// memory does not.
type Group struct {
	window time.Duration

	mu      sync.Mutex
	ran     map[string]time.Time
	effects []Effect
}

// Effect is one that a keyed command had.
type Effect struct {
	At  time.Time
	Key string
}

// NewGroup makes a group that drops repeats of a key for so long.
func NewGroup(window time.Duration) *Group {
	return &Group{window: window, ran: map[string]time.Time{}}
}

// Forget loses the memory.
func (g *Group) Forget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ran = map[string]time.Time{}
}

// Effects is the book so far.
func (g *Group) Effects() []Effect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Effect(nil), g.effects...)
}

// run has the command's effect, unless its key ran a moment ago.
func (g *Group) run(at time.Time, list string) {
	for item := range strings.SplitSeq(list, ",") {
		key, ok := strings.CutPrefix(item, "k=")
		if !ok {
			continue
		}
		g.mu.Lock()
		if last, ran := g.ran[key]; !ran || at.Sub(last) >= g.window {
			g.effects = append(g.effects, Effect{at, key})
		}
		g.ran[key] = at
		g.mu.Unlock()
	}
}
