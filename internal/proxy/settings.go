package proxy

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/stats"
)

// classReuseMargin is added to the longest client timeout before the number of a removed class stands for another one.
const classReuseMargin = 2 * time.Second

// Rules are what requests are read and decided by: the settings, with the names that clients use. They are never
// changed, only replaced as a whole, and a request goes by those that it was read under until its end.
type Rules struct {
	// Classes are their names, numbered as in Settings; empty: clients can't name that class.
	Classes []string
	// Plans are their names likewise.
	Plans    []string
	Settings balancer.Settings
	// MaxInFlight bounds the open requests; 0: unbounded.
	MaxInFlight int

	// counters are those of the classes, numbered likewise.
	counters []*stats.Class
}

// withCounters gives rules the counters of their classes. A class without a name is counted where it was under the
// rules before, or among the others.
func (r Rules) withCounters(all *stats.Counters, previous *Rules) *Rules {
	r.counters = make([]*stats.Class, len(r.Settings.Classes))
	for i := range r.counters {
		switch {
		case i < len(r.Classes) && r.Classes[i] != "":
			r.counters[i] = all.Class(r.Classes[i])
		case previous != nil && i < len(previous.counters):
			r.counters[i] = previous.counters[i]
		default:
			r.counters[i] = all.Class(stats.OtherClasses)
		}
	}
	return &r
}

// Next returns the rules that follow r: those of update, numbered so that requests which came under r keep their
// classes and plans. A class that is the same keeps its number. One that was removed or changed keeps it too, and
// clients can't name it any more. isFree tells which numbers of removed classes may be used again. evidenceFrom is
// that of balancer.SettingsUpdate.
func (r *Rules) Next(update Rules, isFree func(number int) bool) (next Rules, evidenceFrom []int) {
	next = update
	evidenceFrom = r.nextClasses(update, &next, isFree)
	r.nextPlans(update, &next)
	return next, evidenceFrom
}

// nextClasses numbers the classes of an update in next.
func (r *Rules) nextClasses(update Rules, next *Rules, isFree func(number int) bool) (evidenceFrom []int) {
	next.Classes = make([]string, len(r.Classes))
	next.Settings.Classes = slices.Clone(r.Settings.Classes)
	evidenceFrom = make([]int, len(r.Classes))
	for i := range evidenceFrom {
		evidenceFrom[i] = i
		next.Settings.Classes[i].Removed = true
	}
	for j, name := range update.Classes {
		class := update.Settings.Classes[j]
		previous := slices.Index(r.Classes, name)
		number := previous
		if previous < 0 || r.Settings.Classes[previous] != class {
			number = r.freeNumber(next.Classes, isFree)
			if number < 0 {
				number = len(next.Classes)
				next.Classes = append(next.Classes, "")
				next.Settings.Classes = append(next.Settings.Classes, balancer.Class{})
				evidenceFrom = append(evidenceFrom, -1)
			}
			evidenceFrom[number] = previous
		}
		next.Classes[number] = name
		next.Settings.Classes[number] = class
	}
	return evidenceFrom
}

// freeNumber returns the number of a removed class that may be used again and is not taken; negative: there is none.
func (r *Rules) freeNumber(taken []string, isFree func(int) bool) int {
	for i, name := range r.Classes {
		if name == "" && taken[i] == "" && isFree(i) {
			return i
		}
	}
	return -1
}

// nextPlans numbers the plans of an update in next. A plan keeps its number by its name.
func (r *Rules) nextPlans(update Rules, next *Rules) {
	next.Plans = make([]string, len(r.Plans))
	next.Settings.Plans = slices.Clone(r.Settings.Plans)
	for j, name := range update.Plans {
		number := slices.Index(r.Plans, name)
		if number < 0 {
			number = len(next.Plans)
			next.Plans = append(next.Plans, "")
			next.Settings.Plans = append(next.Settings.Plans, balancer.Plan{})
		}
		next.Plans[number] = name
		next.Settings.Plans[number] = update.Settings.Plans[j]
	}
}

// Rules returns the rules that hold now. Any goroutine may call it.
func (p *Proxy) Rules() *Rules { return p.rules.Load() }

// UpdateSettings makes requests that are read from now on go by other rules. It returns an error and changes nothing if
// the decision module can't go by them. Any goroutine may call it.
func (p *Proxy) UpdateSettings(rules Rules) error {
	if err := rules.Settings.Validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	p.Post(func() { p.updateSettings(rules) })
	return nil
}

// updateSettings is UpdateSettings on the loop.
func (p *Proxy) updateSettings(rules Rules) {
	now := p.Now()
	previous := p.Rules()
	next, evidenceFrom := previous.Next(rules, func(number int) bool { return p.isClassFree(number, now) })
	for i, name := range next.Classes {
		_, isRemoved := p.removedClasses[i]
		switch {
		case name != "":
			delete(p.removedClasses, i)
		case !isRemoved:
			p.removedClasses[i] = now
		}
	}
	p.Enqueue(balancer.SettingsUpdate{Settings: next.Settings, EvidenceFrom: evidenceFrom})
	p.rules.Store(next.withCounters(p.Stats, previous))
}

// isClassFree tells whether the number of a removed class may stand for another: no request of it is open or may still
// come.
func (p *Proxy) isClassFree(number int, now time.Duration) bool {
	removedAt, ok := p.removedClasses[number]
	if !ok || now-removedAt <= p.LongestTimeout()+classReuseMargin {
		return false
	}
	requests := slices.Collect(maps.Values(p.requests))
	return !slices.ContainsFunc(requests, func(request *Request) bool { return request.Class == number })
}

// SetAddresses goes on with other addresses of discovery and the counter. Any goroutine may call it.
func (p *Proxy) SetAddresses(discovery, counter string) {
	p.Post(func() {
		if discovery != p.endpointSource.Addr() {
			p.endpointSource.Follow(discovery)
		}
		if counter != p.counter.Addr() {
			p.counter.Move(counter)
		}
		p.log.Info("configuration read again", "discovery", discovery, "counter", counter)
	})
}
