package proxy

import (
	"slices"

	"gapgap/internal/balancer"
	"gapgap/internal/stats"
)

// Rules are what requests are read and decided by: the settings, with the names that clients use. They are never changed,
// only replaced as a whole, and a request goes by those that it was read under until its end.
type Rules struct {
	Classes     []string // their names, by the module's indices; empty: no class, clients can't name it
	Plans       []string // likewise
	Settings    balancer.Settings
	MaxInFlight int // requests that may be open at once; 0: no bound

	counts []*stats.Class // by the module's indices
}

// counted gives rules the places where their classes are counted. One without a name is counted where it was under the rules
// before, or among the others.
func (r Rules) counted(f *stats.Counters, before *Rules) *Rules {
	r.counts = make([]*stats.Class, len(r.Settings.Classes))
	for i := range r.counts {
		switch {
		case i < len(r.Classes) && r.Classes[i] != "":
			r.counts[i] = f.Class(r.Classes[i])
		case before != nil && i < len(before.counts):
			r.counts[i] = before.counts[i]
		default:
			r.counts[i] = f.Class(stats.Others)
		}
	}
	return &r
}

// Rules are those that hold now. Any goroutine may call it.
func (c *Proxy) Rules() *Rules { return c.rules.Load() }

// spare finds a number that was dropped before and may be used again; negative: there is none.
func (r *Rules) spare(taken []string, free func(int) bool) int {
	for i, name := range r.Classes {
		if name == "" && taken[i] == "" && free(i) {
			return i
		}
	}
	return -1
}

// CountRequest counts a request as taken, before it is handed over by Submit. Whoever read it calls it, so that those that wait for
// the loop count too; Submit does it for those that were not.
func (c *Proxy) CountRequest(r *Request) {
	r.count = c.Rules().counts[r.Class]
	c.Stats.Taken.Add(1)
}

// CountRejected counts a request that is refused unseen. Any goroutine may call it.
func (c *Proxy) CountRejected(r *Request) {
	c.CountRequest(r)
	r.count.Ended(stats.Throttled)
}

// outcome is a verdict as operators count it.
func (v Outcome) outcome() stats.Outcome {
	switch v {
	case Served, Admitted:
		return stats.Fulfilled
	case Rejected:
		return stats.Throttled
	}
	return stats.Faulted
}

// Next makes the rules that follow others: the new settings, whose classes and plans are named as listed, with the numbers
// that requests may still hold. A class that is as it was keeps its number; one that is dropped or changed keeps it too,
// for the requests that came under it, and clients can't name it any more. free says which numbers may be used again.
// from is for [balancer.Retune].
func (r *Rules) Next(now Rules, free func(number int) bool) (next Rules, from []int) {
	next = now
	next.Classes = append([]string(nil), r.Classes...)
	next.Settings.Classes = append([]balancer.Class(nil), r.Settings.Classes...)
	from = make([]int, len(next.Classes))
	for i := range from {
		from[i] = i
		next.Classes[i], next.Settings.Classes[i].Removed = "", true
	}
	for j, name := range now.Classes {
		def := now.Settings.Classes[j]
		old := slices.Index(r.Classes, name) // what it was under this name, if anything
		at := old
		if old < 0 || r.Settings.Classes[old] != def {
			if at = r.spare(next.Classes, free); at < 0 {
				at = len(next.Classes)
				next.Classes, next.Settings.Classes = append(next.Classes, ""), append(next.Settings.Classes, balancer.Class{})
				from = append(from, -1)
			}
			from[at] = old
		}
		next.Classes[at], next.Settings.Classes[at] = name, def
	}
	next.Plans = append([]string(nil), r.Plans...)
	next.Settings.Plans = append([]balancer.Plan(nil), r.Settings.Plans...)
	for i := range next.Plans {
		next.Plans[i] = ""
	}
	for j, name := range now.Plans {
		at := slices.Index(r.Plans, name)
		if at < 0 {
			at = len(next.Plans)
			next.Plans, next.Settings.Plans = append(next.Plans, ""), append(next.Settings.Plans, balancer.Plan{})
		}
		next.Plans[at], next.Settings.Plans[at] = name, now.Settings.Plans[j]
	}
	return next, from
}
