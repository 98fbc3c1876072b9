package simulator

import (
	"time"

	"gapgap/internal/balancer"
)

const (
	// defaultCounterLatency is the latency of a counter call in a new world.
	defaultCounterLatency = time.Millisecond
	// connectFailureLatency is how long a failed connection attempt to the counter takes.
	connectFailureLatency = time.Millisecond
)

// Counter is the shared counter service of a [World].
type Counter struct {
	// Latency is the round-trip time of a call.
	Latency time.Duration
	// IsUnreachable makes calls fail to connect.
	IsUnreachable bool
	// IsSilent makes calls time out; their amounts are still added.
	IsSilent bool
	// Calls is the number of calls so far.
	Calls int

	world    *World
	counters map[uint64]*counterValue
}

// counterValue is one counter of the service.
type counterValue struct {
	total     float64
	expiresAt time.Duration
}

// newCounter returns a reachable counter service without counters.
func newCounter(w *World) *Counter {
	return &Counter{
		Latency:  defaultCounterLatency,
		world:    w,
		counters: map[uint64]*counterValue{},
	}
}

// Clear removes all counters.
func (c *Counter) Clear() { clear(c.counters) }

// call simulates a counter call and passes its result to answer, and its late result if there is one.
func (c *Counter) call(add balancer.CounterAdd, timeout time.Duration, answer func(balancer.Event)) {
	c.Calls++
	if c.IsUnreachable {
		c.world.After(connectFailureLatency, func() {
			answer(balancer.CounterResult{Name: add.Name, Status: balancer.ConnectFailed})
		})
		return
	}
	outbound := c.Latency / 2
	c.world.After(outbound, func() { c.receive(add, outbound, timeout, answer) })
}

// receive applies a call at the counter, outbound after it was sent, and schedules its result or timeout and its late
// result.
func (c *Counter) receive(
	add balancer.CounterAdd, outbound, timeout time.Duration, answer func(balancer.Event),
) {
	total := c.add(add)
	inbound := c.Latency - outbound
	if !c.IsSilent && c.Latency < timeout {
		c.world.After(inbound, func() {
			answer(balancer.CounterResult{Name: add.Name, Status: balancer.OK, Total: total})
		})
		return
	}
	c.world.After(max(0, timeout-outbound), func() {
		answer(balancer.CounterResult{Name: add.Name, Status: balancer.Timeout})
	})
	if !c.IsSilent && add.Ticket != 0 {
		c.world.After(inbound, func() {
			answer(balancer.LateCounterResult{Ticket: add.Ticket, Status: balancer.OK, Total: total})
		})
	}
}

// add adds to a counter, which starts from 0 if it does not exist or has expired, and returns its total.
func (c *Counter) add(add balancer.CounterAdd) (total float64) {
	value := c.counters[add.Name]
	if value == nil || value.expiresAt <= c.world.Now {
		value = &counterValue{expiresAt: c.world.Now + add.TTL}
		c.counters[add.Name] = value
	}
	value.total += add.Amount
	return value.total
}
