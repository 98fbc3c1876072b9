package scenario

import (
	"fmt"
	"time"

	"gapgap/internal/balancer"
)

// rampSteps is the number of equal steps in which a slowdown reaches its factor.
const rampSteps = 10

// appliedEvent describes an event that has been applied.
type appliedEvent struct {
	// targets lists the targets for the trace.
	targets string
	// undo reverts the event; nil if there is nothing to revert.
	undo func()
}

// beginEvent applies an event, and schedules its end and the events that follow it.
func (r *run) beginEvent(event Event) {
	done := r.apply(event)
	r.traceEvent("%s begins: %s %s", event.Name, event.Kind, done.targets)
	if event.Duration == 0 {
		return
	}
	r.world.After(event.Duration, func() {
		if done.undo != nil {
			done.undo()
		}
		r.traceEvent("%s ends", event.Name)
		for _, follower := range r.eventsAfter[event.Name] {
			r.world.After(follower.At, func() { r.beginEvent(follower) })
		}
	})
}

// apply applies an event to its targets.
func (r *run) apply(event Event) appliedEvent {
	switch {
	case event.Kind.isOfCounter():
		return r.applyToCounter(event)
	case event.Kind == FloodAccounts:
		return r.floodAccounts(event)
	case event.Kind == KillGateways:
		return r.killGateways(event)
	}
	return r.applyToEndpoints(event)
}

// applyToCounter applies an event of the counter.
func (r *run) applyToCounter(event Event) appliedEvent {
	counter := r.world.Counter
	switch event.Kind {
	case CounterUnreachable:
		counter.IsUnreachable = true
		return appliedEvent{undo: func() { counter.IsUnreachable = false }}
	case CounterSilent:
		counter.IsSilent = true
		return appliedEvent{undo: func() { counter.IsSilent = false }}
	case CounterSlow:
		latencyBefore := counter.Latency
		counter.Latency = event.CounterLatency
		return appliedEvent{
			targets: fmt.Sprint(event.CounterLatency),
			undo:    func() { counter.Latency = latencyBefore },
		}
	}
	counter.Clear()
	return appliedEvent{}
}

// floodAccounts multiplies the request rate of accounts.
func (r *run) floodAccounts(event Event) appliedEvent {
	targets := chooseTargets(r, event, r.accounts, func(a *account) (name, group string) {
		return a.name, a.group.Group
	})
	setFactor := func(factor float64) {
		for _, target := range targets {
			target.rateFactor = factor
		}
	}
	setFactor(event.Factor)
	return appliedEvent{
		targets: listTargets(targets, func(a *account) string { return a.name }),
		undo:    func() { setFactor(1) },
	}
}

// killGateways kills gateways. At the end it restarts those that no other event keeps down.
func (r *run) killGateways(event Event) appliedEvent {
	indexes := make([]int, len(r.world.Gateways))
	for i := range indexes {
		indexes[i] = i
	}
	targets := chooseTargets(r, event, indexes, func(index int) (name, group string) {
		return fmt.Sprint("door-", index), "" // another name would change the targets of existing seeds
	})
	for _, index := range targets {
		r.activeKills[index]++
		r.world.Gateways[index].Kill()
	}
	return appliedEvent{
		targets: listTargets(targets, func(index int) string { return fmt.Sprint(index) }),
		undo: func() {
			for _, index := range targets {
				if r.activeKills[index]--; r.activeKills[index] > 0 {
					continue
				}
				if err := r.world.Gateways[index].Start(); err != nil {
					panic(err) // impossible: the same settings were valid at the first start
				}
			}
		},
	}
}

// applyToEndpoints applies an event of endpoints.
func (r *run) applyToEndpoints(event Event) appliedEvent {
	targets := chooseTargets(r, event, r.endpoints, func(e *endpoint) (name, group string) {
		return e.Name, e.group
	})
	forEach := func(do func(*endpoint)) {
		for _, target := range targets {
			do(target)
		}
	}
	done := appliedEvent{targets: listTargets(targets, func(e *endpoint) string { return e.Name })}
	switch event.Kind {
	case SlowEndpoints:
		r.rampSlowdown(targets, 1, event.Factor, event.Ramp)
		done.undo = func() { r.rampSlowdown(targets, event.Factor, 1, event.Ramp) }
	case SilenceEndpoints:
		forEach(func(e *endpoint) { e.SetSilent(true) })
		done.undo = func() { forEach(r.restartEndpoint) }
	case PauseEndpoints:
		forEach(func(e *endpoint) { e.Pause(event.Duration) })
	case CrashEndpoints:
		forEach(func(e *endpoint) { e.Crash() })
		done.undo = func() { forEach(r.restartEndpoint) }
	case DrainEndpoints:
		forEach(func(e *endpoint) { r.announce(e, balancer.Draining) })
		done.undo = func() { forEach(func(e *endpoint) { r.announce(e, balancer.Serving) }) }
	}
	return done
}

// rampSlowdown changes the slowdown of endpoints linearly, in rampSteps steps. A duration of 0 means at once.
func (r *run) rampSlowdown(targets []*endpoint, from, to float64, duration time.Duration) {
	for step := 1; step <= rampSteps; step++ {
		if duration == 0 && step < rampSteps {
			continue
		}
		factor := from + (to-from)*float64(step)/rampSteps
		r.world.After(duration*time.Duration(step)/rampSteps, func() {
			for _, target := range targets {
				target.SetSlowdown(factor)
			}
		})
	}
}

// restartEndpoint restarts an endpoint at its configured speed, and makes discovery list it as serving.
func (r *run) restartEndpoint(restarted *endpoint) {
	restarted.Restart()
	r.announce(restarted, balancer.Serving)
}

// announce makes discovery notify each gateway of an endpoint's state, after a random delay for each gateway.
func (r *run) announce(announced *endpoint, state balancer.EndpointState) {
	now := r.world.Now
	startedAt := time.Duration(0)
	if state == balancer.Serving {
		startedAt = announced.StartedAt()
	}
	for i, gateway := range r.world.Gateways {
		// Another label would change the runs of existing seeds.
		rng := r.world.Rand("told", announced.Name, now, i)
		delay := time.Duration(rng.Float64() * float64(r.script.DiscoveryDelay))
		r.world.After(delay, func() {
			announced.drainKnownAt[i] = 0
			if state != balancer.Serving {
				announced.drainKnownAt[i] = r.world.Now
			}
			gateway.UpdateEndpoints(balancer.Endpoint{
				Name:      announced.Name,
				Weight:    1,
				State:     state,
				StartedAt: startedAt,
			})
		})
	}
}
