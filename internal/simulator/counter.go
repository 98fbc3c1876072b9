package simulator

import (
	"time"

	"gapgap/internal/balancer"
)

const (
	// defaultCounterLatency is the latency of a counter call in a new world.
	defaultCounterLatency = time.Millisecond
	// connectFailureLatency is the time after which a gateway learns that it can't connect to the counter.
	connectFailureLatency = time.Millisecond
)

// Counter is the shared counter service of a world.
type Counter struct {
	// Latency is that of a call, there and back.
	Latency time.Duration
	// IsUnreachable makes calls fail to connect.
	IsUnreachable bool
	// IsSilent makes calls time out, though they are added.
	IsSilent bool
	// Calls is the number of calls so far.
	Calls int

	world    *World
	counters map[uint64]*counterValue
}

// counterValue is one number that the service keeps.
type counterValue struct {
	total     float64
	expiresAt time.Duration
}

// newCounter makes a reachable counter service without numbers.
func newCounter(w *World) *Counter {
	return &Counter{
		Latency:  defaultCounterLatency,
		world:    w,
		counters: map[uint64]*counterValue{},
	}
}

// Clear forgets all numbers.
func (c *Counter) Clear() { clear(c.counters) }

// call plays a counter call and passes its result, and a late one if there is any, to answer.
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

// receive adds a call that has been under way for a time, and schedules what the caller learns of it.
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

// add adds to a number, which is made if there is none or it has expired, and returns its total.
func (c *Counter) add(add balancer.CounterAdd) (total float64) {
	value := c.counters[add.Name]
	if value == nil || value.expiresAt <= c.world.Now {
		value = &counterValue{expiresAt: c.world.Now + add.TTL}
		c.counters[add.Name] = value
	}
	value.total += add.Amount
	return value.total
}
