package balancer

import (
	"math"
	"time"
)

// Bounds and initial values of concurrency limits, in mean requests in flight.
const (
	// initialConcurrency is the limit of a new endpoint, divided among the live gateways.
	initialConcurrency = 4.0
	// slowStartConcurrency is the limit of an endpoint that begins slow start.
	slowStartConcurrency = 1.0
	maxConcurrency       = 32.0
	// minConcurrency is below 1, where each attempt is followed by a pause.
	minConcurrency = 0.1
	// idleFleetLimit is the limit, summed over all gateways, up to which queueing inside the endpoint cannot explain
	// its latency.
	idleFleetLimit = 3.0
	// decreaseFloorFraction is the fraction of idleFleetLimit below which high latency no longer shrinks the limit.
	decreaseFloorFraction = 0.7
)

// Adjustment steps: additive increase, multiplicative decrease.
const (
	// concurrencyIncrease divided by the limit is the increase per answer.
	concurrencyIncrease = 0.5
	// highLatencyDecrease is the factor applied for an answer while latency is high.
	highLatencyDecrease = 0.93
	// timeoutDecrease is the factor for an attempt that was not answered in time. The endpoint may still be working on
	// it.
	timeoutDecrease = 0.8
	// rejectedDecrease is the factor for a rejected attempt or a broken connection.
	rejectedDecrease = 0.7
)

// Latency bounds for growing and shrinking the limit.
const (
	// shrinkDeadlineFraction is the fraction of the usable time limit above which latency shrinks the limit.
	shrinkDeadlineFraction = 0.4
	// shrinkLatencyRatio is the multiple of the idle latency above which latency shrinks the limit.
	shrinkLatencyRatio = 2.2
	// growLatencyFraction is the fraction of the lower of both bounds below which the limit may grow.
	growLatencyFraction = 0.7
)

// concurrencyLimit is the adaptive limit on the work in flight to one endpoint.
type concurrencyLimit struct {
	// limit is in mean requests in flight. Below 1 it means one attempt at a time with pauses in between.
	limit float64
	// pausedUntil is the earliest time of the next attempt. It is set while the limit is below 1.
	pausedUntil time.Duration
}

// hasFreeSlot reports whether another attempt may be dispatched in addition to the work in flight. A limit below 1 also
// requires that the pause has passed: with many gateways, one attempt from each can already be too much, and rejecting
// attempts costs the endpoint work.
func (c *concurrencyLimit) hasFreeSlot(now time.Duration, inFlightWork float64) bool {
	return inFlightWork < c.slots() && now >= c.pausedUntil
}

// slots returns the limit rounded down to whole requests, but at least 1.
func (c *concurrencyLimit) slots() float64 { return math.Floor(max(1, c.limit)) }

// decrease multiplies the limit by a factor below 1.
func (c *concurrencyLimit) decrease(factor float64) { c.limit *= factor }

// decreaseRejected shrinks the limit, to below 1 at once, after the endpoint rejected an attempt.
func (c *concurrencyLimit) decreaseRejected() { c.limit = min(1, c.limit) * rejectedDecrease }

// increase adds one step to the limit.
func (c *concurrencyLimit) increase() {
	c.limit = min(maxConcurrency, c.limit+concurrencyIncrease/max(1, c.limit))
}

// reset sets the limit for an endpoint that begins slow start.
func (c *concurrencyLimit) reset() { c.limit = slowStartConcurrency }

// limitTo caps the limit at a value.
func (c *concurrencyLimit) limitTo(limit float64) { c.limit = min(limit, c.limit) }

// restore sets the limit that the previous process handed over, within the valid range.
func (c *concurrencyLimit) restore(limit float64) {
	c.limit = min(maxConcurrency, max(minConcurrency, limit))
}

// finishAttempt applies the lower bound of the limit, and starts the pause that follows an attempt while the limit is
// below 1. latency is the expected latency of the finished attempt, in seconds.
func (c *concurrencyLimit) finishAttempt(now time.Duration, latency float64) {
	c.limit = max(minConcurrency, c.limit)
	if c.limit < 1 && now >= c.pausedUntil {
		pause := latency * (1/c.limit - 1)
		c.pausedUntil = now + time.Duration(pause*float64(time.Second))
	}
}

// adjustConcurrency adapts an endpoint's limit after an answer. The limit grows while latency is low and all slots are
// in use, and shrinks while latency is high. Latency counts as high above a fraction of the time limit or a multiple of
// the idle latency, whichever is lower. This keeps queues out of endpoints, where they ignore priority levels and hold
// work that no client waits for any more.
func (b *Balancer) adjustConcurrency(ep *endpoint, req *request) {
	class := &b.latency.classes[req.class]
	fleetLimit := ep.concurrency.limit * b.liveGateways()
	class.updateIdleLatency(fleetLimit <= idleFleetLimit)
	high := min(
		req.usefulFor.Seconds()*latencyHeadroomFraction*shrinkDeadlineFraction,
		shrinkLatencyRatio*class.idleLatency,
	)
	latency := class.meanLatency * ep.latency.factor
	switch {
	case latency > high && fleetLimit > decreaseFloorFraction*idleFleetLimit:
		ep.concurrency.decrease(highLatencyDecrease)
	case latency < high*growLatencyFraction && ep.inFlightWork+1 >= math.Floor(ep.concurrency.limit):
		ep.concurrency.increase()
	}
}
