package simulator

import (
	"slices"
	"time"

	"gapgap/internal/balancer"
)

const (
	// healthCheckTimeout is the time after which a health check without an answer ends.
	healthCheckTimeout = 500 * time.Millisecond
	// minSlowdown is the least factor on the time that work takes.
	minSlowdown = 1e-3
)

// SetSlowdown makes all work take a multiple of its time; 1: as configured.
func (e *Endpoint) SetSlowdown(factor float64) {
	e.applyChange(func() { e.slowdown = max(minSlowdown, factor) })
}

// Pause stops all work for a time, as a garbage collection does.
func (e *Endpoint) Pause(duration time.Duration) {
	e.applyChange(func() { e.pausedUntil = max(e.pausedUntil, e.clock.Time()+duration) })
}

// SetSilent makes the endpoint answer nothing, or answer again. It works on meanwhile and keeps connections open. A
// reply that was due while it was silent never comes.
func (e *Endpoint) SetSilent(isSilent bool) {
	e.applyChange(func() { e.isSilent = isSilent })
}

// applyChange counts the work done at the former speed, calls a function that changes the speed or the state, and updates
// the endpoint.
func (e *Endpoint) applyChange(do func()) {
	e.advanceWork()
	do()
	e.update()
}

// Crash ends the process: the connections of all jobs that it holds break, and new ones fail until Restart. The jobs of
// a silent endpoint stay without a reply.
func (e *Endpoint) Crash() {
	e.advanceWork()
	held := slices.Concat(e.inService, e.waiting)
	e.inService = nil
	e.waiting = nil
	e.isDown = true
	e.update()
	for _, job := range held {
		job.hasEnded = true
		if !e.isSilent {
			job.answer(ReplyBroken)
		}
	}
}

// Restart starts the process anew: in its slow start and without a memory of keys, unless other endpoints share that.
func (e *Endpoint) Restart() {
	now := e.clock.Time()
	e.advancedUntil = now
	e.startedAt = now
	e.isDown = false
	e.isSilent = false
	e.slowdown = 1
	e.pausedUntil = 0
	e.recentArrivals = nil
	if !e.effects.isShared {
		clear(e.effects.doneAt)
	}
}

// checkHealth returns the result of a health check, and after what time it is known.
func (e *Endpoint) checkHealth() (status balancer.Status, latency time.Duration) {
	switch {
	case e.isSilent || e.clock.Time() < e.pausedUntil:
		return balancer.Timeout, healthCheckTimeout
	case e.isDown:
		return balancer.ConnectFailed, healthCheckLatency
	}
	return balancer.OK, healthCheckLatency
}
