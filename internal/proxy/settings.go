package proxy

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/stats"
)

// classReuseMargin is added to the longest client timeout before the number of a removed class is reused.
const classReuseMargin = 2 * time.Second

// Rules are the settings under which requests are read and decided, with the names that clients use. A value is
// immutable and replaced as a whole. A request keeps the Rules under which it was read until it ends.
type Rules struct {
	// Classes are the names of the classes, numbered as in Settings. Clients cannot name a class whose name is empty.
	Classes []string
	// Plans are the names of the plans, numbered likewise.
	Plans    []string
	Settings balancer.Settings
	// MaxInFlight bounds the open requests. 0 means no limit.
	MaxInFlight int

	// counters are the counters of the classes, numbered likewise.
	counters []*stats.Class
}

// withCounters returns the rules with the counters of their classes. A class without a name keeps the counters it had
// under the previous rules. If it had none, it is counted under stats.OtherClasses.
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

// Next returns the rules that replace r: the rules of update, renumbered so that requests read under r keep their
// classes and plans. An unchanged class keeps its number. A removed or changed class also keeps its number, but clients
// can no longer name it. isFree reports whether the number of a removed class may be reused. evidenceFrom is the value
// for balancer.SettingsUpdate.
func (r *Rules) Next(update Rules, isFree func(number int) bool) (next Rules, evidenceFrom []int) {
	next = update
	evidenceFrom = r.nextClasses(update, &next, isFree)
	r.nextPlans(update, &next)
	return next, evidenceFrom
}

// nextClasses adds the classes of an update to next, with their numbers.
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

// freeNumber returns the number of a removed class that may be reused and is not taken, or a negative number if there
// is none.
func (r *Rules) freeNumber(taken []string, isFree func(int) bool) int {
	for i, name := range r.Classes {
		if name == "" && taken[i] == "" && isFree(i) {
			return i
		}
	}
	return -1
}

// nextPlans adds the plans of an update to next. A plan keeps its number if its name is unchanged.
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

// Rules returns the current rules. It is safe for concurrent use.
func (p *Proxy) Rules() *Rules { return p.rules.Load() }

// UpdateSettings replaces the rules for requests read from now on. If the Balancer does not accept the settings, it
// returns an error and changes nothing. It is safe for concurrent use.
func (p *Proxy) UpdateSettings(rules Rules) error {
	if err := rules.Settings.Validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	p.Post(func() { p.updateSettings(rules) })
	return nil
}

// updateSettings is the part of UpdateSettings that runs on the loop.
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

// isClassFree reports whether the number of a removed class may be reused: no request of the class is open or may still
// arrive.
func (p *Proxy) isClassFree(number int, now time.Duration) bool {
	removedAt, ok := p.removedClasses[number]
	if !ok || now-removedAt <= p.LongestTimeout()+classReuseMargin {
		return false
	}
	requests := slices.Collect(maps.Values(p.requests))
	return !slices.ContainsFunc(requests, func(request *Request) bool { return request.Class == number })
}

// SetAddresses switches to other addresses of discovery and the counter. It is safe for concurrent use.
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
