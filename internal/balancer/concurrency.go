package balancer

import (
	"math"
	"time"
)

// Concurrency limits, in mean requests in flight.
const (
	// initialConcurrency is the limit of a new endpoint, divided by the gateways that serve.
	initialConcurrency = 4.0
	// slowStartConcurrency is the limit of an endpoint that starts to warm up.
	slowStartConcurrency = 1.0
	maxConcurrency       = 32.0
	// minConcurrency is below 1: then each attempt is followed by a pause.
	minConcurrency = 0.1
	// minimalConcurrency is the limit over all gateways at which waiting in the endpoint can't explain its latency.
	minimalConcurrency = 3.0
	// decreaseFloorFraction is the part of minimalConcurrency down to which high latency shrinks the limit.
	decreaseFloorFraction = 0.7
)

// Steps of the limit: additive increase, multiplicative decrease.
const (
	// concurrencyIncrease divided by the limit is the growth by one answer.
	concurrencyIncrease = 0.5
	// lateDecrease is the factor for an answer with high latency.
	lateDecrease = 0.93
	// timeoutDecrease is the factor for an attempt without an answer in time; the endpoint may still work on it.
	timeoutDecrease = 0.8
	// rejectedDecrease is the factor for a rejected attempt or a broken connection.
	rejectedDecrease = 0.7
)

// Latencies that grow or shrink the limit.
const (
	// shrinkDeadlineFraction is the part of the usable time limit above which latency shrinks the limit.
	shrinkDeadlineFraction = 0.4
	// shrinkLatencyRatio is the multiple of the idle latency above which latency shrinks the limit.
	shrinkLatencyRatio = 2.2
	// growLatencyFraction is the part of both bounds below which latency lets the limit grow.
	growLatencyFraction = 0.7
)

// concurrencyLimit bounds the work in flight to one endpoint.
type concurrencyLimit struct {
	// limit is in mean requests in flight. A limit below 1 means one attempt at a time with pauses in between.
	limit float64
	// pausedUntil is when the next attempt may go out, with a limit below 1.
	pausedUntil time.Duration
}

// hasFreeSlot reports whether another attempt may go out now beside the work in flight. With a limit below 1 that
// takes a pause too: where gateways are many, one attempt of each can be too much, and rejecting costs the endpoint
// work.
func (c *concurrencyLimit) hasFreeSlot(now time.Duration, inFlightWork float64) bool {
	return inFlightWork < c.slots() && now >= c.pausedUntil
}

// slots is the limit in whole requests, one at least.
func (c *concurrencyLimit) slots() float64 { return math.Floor(max(1, c.limit)) }

// decrease multiplies the limit by a factor below 1.
func (c *concurrencyLimit) decrease(factor float64) { c.limit *= factor }

// decreaseRejected shrinks the limit after the endpoint rejected an attempt, to below 1 at once.
func (c *concurrencyLimit) decreaseRejected() { c.limit = min(1, c.limit) * rejectedDecrease }

// increase adds one step to the limit.
func (c *concurrencyLimit) increase() {
	c.limit = min(maxConcurrency, c.limit+concurrencyIncrease/max(1, c.limit))
}

// reset sets the limit of an endpoint that starts to warm up.
func (c *concurrencyLimit) reset() { c.limit = slowStartConcurrency }

// limitTo lowers the limit to a value, if it is higher.
func (c *concurrencyLimit) limitTo(limit float64) { c.limit = min(limit, c.limit) }

// restore sets the limit that a previous process handed over.
func (c *concurrencyLimit) restore(limit float64) {
	c.limit = min(maxConcurrency, max(minConcurrency, limit))
}

// finishAttempt keeps the limit from falling too far and starts the pause of a limit below 1. latency is the expected
// latency of the attempt that ended, in seconds.
func (c *concurrencyLimit) finishAttempt(now time.Duration, latency float64) {
	c.limit = max(minConcurrency, c.limit)
	if c.limit < 1 && now >= c.pausedUntil {
		pause := latency * (1/c.limit - 1)
		c.pausedUntil = now + time.Duration(pause*float64(time.Second))
	}
}

// adjustConcurrency grows an endpoint's limit after an answer while latency is low and all slots are in use, and
// shrinks it while latency is high. The bound on latency is a part of the time limit, and a multiple of the idle
// latency: queues inside an endpoint know no priority levels, and there work goes on that nobody waits for any more.
func (b *Balancer) adjustConcurrency(ep *endpoint, req *request) {
	class := &b.latency.classes[req.class]
	fleetLimit := ep.concurrency.limit * b.liveGateways()
	class.updateIdleLatency(fleetLimit <= minimalConcurrency)
	high := min(
		req.timeLimit.Seconds()*latencyHeadroomFraction*shrinkDeadlineFraction,
		shrinkLatencyRatio*class.idleLatency,
	)
	latency := class.meanLatency * ep.latency.factor
	switch {
	case latency > high && fleetLimit > decreaseFloorFraction*minimalConcurrency:
		ep.concurrency.decrease(lateDecrease)
	case latency < high*growLatencyFraction && ep.inFlightWork+1 >= math.Floor(ep.concurrency.limit):
		ep.concurrency.increase()
	}
}
