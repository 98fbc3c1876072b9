package simulator

import (
	"slices"
	"time"

	"gapgap/internal/balancer"
)

const (
	// healthCheckTimeout is the time after which an unanswered health check fails.
	healthCheckTimeout = 500 * time.Millisecond
	// minSlowdown is the lower bound of the slowdown factor.
	minSlowdown = 1e-3
)

// SetSlowdown makes all work take factor times as long; 1 is the configured speed.
func (e *Endpoint) SetSlowdown(factor float64) {
	e.applyChange(func() { e.slowdown = max(minSlowdown, factor) })
}

// Pause stops all work for a time, like a garbage-collection pause.
func (e *Endpoint) Pause(duration time.Duration) {
	e.applyChange(func() { e.pausedUntil = max(e.pausedUntil, e.clock.Time()+duration) })
}

// SetSilent makes the endpoint stop or resume answering. A silent endpoint goes on working and keeps connections open.
// Replies that were due while it was silent are never sent.
func (e *Endpoint) SetSilent(isSilent bool) {
	e.applyChange(func() { e.isSilent = isSilent })
}

// applyChange accounts for the work done at the old speed, calls a function that changes the speed or the state, and
// updates the endpoint.
func (e *Endpoint) applyChange(do func()) {
	e.advanceWork()
	do()
	e.update()
}

// Crash ends the process: the connections of all jobs held break, and new connections fail until Restart. The jobs of a
// silent endpoint get no reply.
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

// Restart starts a new process: in slow start, and without remembered idempotency keys unless the effect log is shared
// with other endpoints.
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

// checkHealth returns the result of a health check and its latency.
func (e *Endpoint) checkHealth() (status balancer.Status, latency time.Duration) {
	switch {
	case e.isSilent || e.clock.Time() < e.pausedUntil:
		return balancer.Timeout, healthCheckTimeout
	case e.isDown:
		return balancer.ConnectFailed, healthCheckLatency
	}
	return balancer.OK, healthCheckLatency
}
