package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"gapgap/internal/balancer"
)

// begin lets an event happen, and its end and what comes after that.
func (x *run) begin(e Event) {
	targets, end := x.apply(e)
	x.note("%s begins: %s %s", e.Name, e.Do, targets)
	if e.For == 0 {
		return
	}
	x.w.After(e.For, func() {
		end()
		x.note("%s ends", e.Name)
		for _, n := range x.waits[e.Name] {
			x.w.After(n.At, func() { x.begin(n) })
		}
	})
}

// apply carries an event out and returns what it met, and how it ends.
func (x *run) apply(e Event) (targets string, end func()) {
	end = func() {}
	c := x.w.Counter
	switch e.Do {
	case CounterGone:
		c.IsUnreachable = true
		return "", func() { c.IsUnreachable = false }
	case CounterMute:
		c.IsSilent = true
		return "", func() { c.IsSilent = false }
	case CounterEmpty:
		c.Clear()
		return "", end
	case CounterLate:
		before := c.Latency
		c.Latency = e.Takes
		return fmt.Sprint(e.Takes), func() { c.Latency = before }
	case Flood:
		all := pick(x, e, x.accounts, func(a *account) (string, string) { return a.name, a.group })
		for _, a := range all {
			a.factor = e.Factor
		}
		return named(all, func(a *account) string { return a.name }), func() {
			for _, a := range all {
				a.factor = 1
			}
		}
	case KillDoors:
		ranks := make([]int, len(x.w.Doors))
		for i := range ranks {
			ranks[i] = i
		}
		all := pick(x, e, ranks, func(i int) (string, string) { return fmt.Sprint("door-", i), "" })
		for _, i := range all {
			x.w.Doors[i].Kill()
		}
		return named(all, func(i int) string { return fmt.Sprint(i) }), func() {
			for _, i := range all {
				if err := x.w.Doors[i].Start(); err != nil {
					panic(err) // its settings were good before
				}
			}
		}
	}
	all := pick(x, e, x.servers, func(s *server) (string, string) { return s.Name, s.group })
	each := func(do func(*server)) {
		for _, s := range all {
			do(s)
		}
	}
	// Those that come back have started anew; discovery tells that to each door after its time.
	back := func(s *server) {
		s.Restart()
		x.tell(s, balancer.Serving)
	}
	switch e.Do {
	case Slow:
		x.ramp(all, 1, e.Factor, e.Ramp)
		end = func() { x.ramp(all, e.Factor, 1, e.Ramp) }
	case Silent:
		each(func(s *server) { s.SetSilent(true) })
		end = func() { each(back) }
	case Pause:
		each(func(s *server) { s.Pause(e.For) })
	case Die:
		each(func(s *server) { s.Crash() })
		end = func() { each(back) }
	case Drain:
		each(func(s *server) { x.tell(s, balancer.Draining) })
		end = func() { each(func(s *server) { x.tell(s, balancer.Serving) }) }
	}
	return named(all, func(s *server) string { return s.Name }), end
}

// ramp changes the slowness of servers in steps.
func (x *run) ramp(all []*server, from, to float64, over time.Duration) {
	const steps = 10
	for i := 1; i <= steps; i++ {
		if over == 0 && i < steps {
			continue
		}
		factor := from + (to-from)*float64(i)/steps
		x.w.After(over*time.Duration(i)/steps, func() {
			for _, s := range all {
				s.SetSlowdown(factor)
			}
		})
	}
}

// tell lets discovery tell each front door of a server's state, each at a time of its own within what the script says.
func (x *run) tell(s *server, state balancer.EndpointState) {
	now := x.w.Now
	started := time.Duration(0)
	if state == balancer.Serving {
		started = s.StartedAt()
	}
	for i, d := range x.w.Doors {
		late := time.Duration(x.w.Rand("told", s.Name, now, i).Float64() * float64(x.s.Told))
		x.w.After(late, func() {
			if s.told[i] = x.w.Now; state == balancer.Serving {
				s.told[i] = 0
			}
			d.UpdateEndpoints(balancer.Endpoint{Name: s.Name, Weight: 1, State: state, StartedAt: started})
		})
	}
}

// pick chooses the targets of an event. Which of a group they are hangs on the script's seed and the event's name.
func pick[T any](x *run, e Event, from []T, id func(T) (name, group string)) []T {
	type ranked struct {
		t    T
		rank uint64
		at   int
	}
	var all []ranked
	for i, t := range from {
		name, group := id(t)
		if e.Group == "" || e.Group == group {
			all = append(all, ranked{t, x.w.Rand("pick", e.Name, name).Uint64(), i})
		}
	}
	n := len(all)
	switch {
	case e.Count > 0:
		n = min(n, e.Count)
	case e.Share > 0:
		n = int(math.Ceil(e.Share * float64(n)))
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	all = all[:n]
	slices.SortFunc(all, func(a, b ranked) int { return a.at - b.at })
	out := make([]T, n)
	for i := range all {
		out[i] = all[i].t
	}
	return out
}

// named lists what was picked, not all of many.
func named[T any](all []T, name func(T) string) string {
	const most = 12
	var names []string
	for _, t := range all[:min(most, len(all))] {
		names = append(names, name(t))
	}
	s := strings.Join(names, " ")
	if len(all) > most {
		s += fmt.Sprintf(" and %d more", len(all)-most)
	}
	return s
}
