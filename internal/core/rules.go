package core

import (
	"snowhall"
	"snowhall/internal/figures"
)

// Rules are what requests are read and decided by: the settings, with the names that clients use. They are never changed,
// only replaced as a whole, and a request goes by those that it was read under until its end.
type Rules struct {
	Classes  []string // their names, by the module's indices; empty: no class, clients can't name it
	Plans    []string // likewise
	Settings snowhall.Settings
	MostOpen int // requests that may be open at once; 0: no bound

	counts []*figures.Class // by the module's indices
}

// counted gives rules the places where their classes are counted. One without a name is counted among the others.
func (r Rules) counted(f *figures.Figures) *Rules {
	r.counts = make([]*figures.Class, len(r.Settings.Classes))
	for i := range r.counts {
		name := figures.Others
		if i < len(r.Classes) && r.Classes[i] != "" {
			name = r.Classes[i]
		}
		r.counts[i] = f.Class(name)
	}
	return &r
}

// Rules are those that hold now. Any goroutine may call it.
func (c *Core) Rules() *Rules { return c.rules.Load() }

// Take counts a request as taken, before it is handed over by Submit. Whoever read it calls it, so that those that wait for
// the loop count too; Submit does it for those that were not.
func (c *Core) Take(r *Request) {
	r.count = c.Rules().counts[r.Class]
	c.Figures.Taken.Add(1)
}

// TurnAway counts a request that is refused unseen. Any goroutine may call it.
func (c *Core) TurnAway(r *Request) {
	c.Take(r)
	r.count.Ended(figures.Throttled)
}

// outcome is a verdict as operators count it.
func (v Verdict) outcome() figures.Outcome {
	switch v {
	case Served, Granted:
		return figures.Fulfilled
	case Refused:
		return figures.Throttled
	}
	return figures.Faulted
}
