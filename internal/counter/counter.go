// Package counter is a client of the platform's quota counter, a service with a line-based text protocol that adds
// amounts to named counters.
//
// All calls for a name use the same connection and are pipelined, so their answers arrive in order. Answers carry no
// identifier and are matched to calls by order alone, so a call that has timed out keeps its place in the sequence.
package counter

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/eventloop"
	"gapgap/internal/trace"
)

const (
	// connections is the number of connections. Each name is always assigned to the same one.
	connections = 4
	// maxIdle is when an idle connection is closed. The counter itself closes idle connections after 10 s or less.
	maxIdle = 3 * time.Second
	// maxAnswerWait is when a connection fails because an answer is overdue or a write is blocked.
	maxAnswerWait = 2 * time.Second
	// maxPending bounds the calls of one connection that have no answer yet.
	maxPending = 1024
	// maxMovedWait is how long to wait for outstanding answers from the old address after a move.
	maxMovedWait = 2 * time.Second
)

// Config configures a Counter.
type Config struct {
	// Addr is the counter's host:port.
	Addr string
	// Enabled is false if there is no counter. Every call then fails at once with ConnectFailed.
	Enabled bool
	// IsBlocked makes calls fail in the same way while it returns true. Nil means that they never do.
	IsBlocked func() bool
	// Namespace separates the counter names of one pool from those of others. If it is empty, names are sent as the
	// balancer makes them.
	Namespace string
	// Timeout is how long a call may take until it is completed as Timeout.
	Timeout time.Duration
	// DialTimeout is how long connecting may take.
	DialTimeout time.Duration
	// OnLateResult is called on the event loop for each call that was completed as Timeout although the counter did add
	// its amount. It may be nil.
	OnLateResult func(balancer.LateCounterResult)
	// Trace receives a line for each call and each dial. It may be nil.
	Trace *trace.Log
}

// Counter is a client of the quota counter. The event loop owns it.
type Counter struct {
	loop    *eventloop.Loop
	cfg     Config
	sink    func(balancer.CounterResult)
	address string
	// space is XORed with each name.
	space       uint64
	connections [connections]*connection
	// unreported has the calls whose results are not reported yet, by name, in the order of the calls.
	unreported map[uint64][]*call
}

// call is a request to add an amount to a counter.
type call struct {
	name       uint64
	ticket     uint64
	startedAt  time.Duration
	connection *connection
	text       []byte
	// written reports whether the call may have reached the counter.
	written bool
	// completed reports whether the call has a result.
	completed bool
	result    balancer.CounterResult
	timeout   *eventloop.Timer
}

// New returns a client of the counter. The event loop calls the sink exactly once for each call, with its result.
func New(loop *eventloop.Loop, cfg Config, sink func(balancer.CounterResult)) *Counter {
	c := &Counter{loop: loop, cfg: cfg, sink: sink, unreported: map[uint64][]*call{}}
	if cfg.Namespace != "" {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(cfg.Namespace)) // never returns an error
		c.space = hash.Sum64() >> 1              // names have 63 bits
	}
	c.Move(cfg.Addr)
	return c
}

// Addr returns the address of the counter.
func (c *Counter) Addr() string { return c.address }

// Close closes all connections.
func (c *Counter) Close() {
	for _, conn := range c.connections {
		conn.abandoned = true
		conn.close()
	}
}

// Move directs further calls, and those not yet written, to another address. Outstanding answers from the old address
// are still accepted for maxMovedWait.
func (c *Counter) Move(address string) {
	c.address = address
	for i := range c.connections {
		c.moveConnection(i, address)
	}
}

// moveConnection replaces one connection with one to another address.
func (c *Counter) moveConnection(i int, address string) {
	now := c.loop.Now()
	old := c.connections[i]
	moved := &connection{counter: c, address: address, lastUsedAt: now, awaitingSince: now}
	c.connections[i] = moved
	if old == nil {
		return
	}
	written := 0
	for written < len(old.calls) && old.calls[written].written {
		written++
	}
	moved.calls = slices.Clone(old.calls[written:])
	old.calls = old.calls[:written]
	for _, call := range moved.calls {
		call.connection = moved
	}
	old.abandoned = true
	if len(old.calls) == 0 {
		old.close()
	} else {
		c.loop.At(now+maxMovedWait, func() { old.fail(old.epoch) })
	}
	if len(moved.calls) > 0 {
		moved.flush()
	}
}

// Add sends a call to the counter. Its result is passed to the sink.
func (c *Counter) Add(add balancer.CounterAdd) {
	conn := c.connections[add.Name%connections]
	added := &call{name: add.Name, ticket: add.Ticket, startedAt: c.loop.Now(), connection: conn}
	c.unreported[added.name] = append(c.unreported[added.name], added)
	isCut := c.cfg.IsBlocked != nil && c.cfg.IsBlocked()
	if !c.cfg.Enabled || isCut || len(conn.calls) >= maxPending {
		c.complete(added, balancer.ConnectFailed, 0)
		return
	}
	added.text = c.encode(add)
	now := c.loop.Now()
	if len(conn.calls) == 0 {
		conn.awaitingSince = now
	}
	conn.calls = append(conn.calls, added)
	conn.lastUsedAt = now
	added.timeout = c.loop.At(now+c.cfg.Timeout, func() { c.handleTimeout(added) })
	conn.flush()
}

// encode returns the request line of a call.
func (c *Counter) encode(add balancer.CounterAdd) []byte {
	amount := strconv.FormatFloat(add.Amount, 'f', -1, 64)
	return fmt.Appendf(nil, "add %d %s %d\r\n", add.Name^c.space, amount, max(1, add.TTL.Milliseconds()))
}

// handleTimeout completes a call that has timed out. A call that is not written yet is removed, since it must not be
// written after its result was reported. A written call keeps its place in the order of the answers.
func (c *Counter) handleTimeout(timedOut *call) {
	if timedOut.written {
		c.complete(timedOut, balancer.Timeout, 0)
		return
	}
	conn := timedOut.connection
	conn.calls = slices.DeleteFunc(conn.calls, func(other *call) bool { return other == timedOut })
	c.complete(timedOut, balancer.ConnectFailed, 0)
}

// complete sets the result of a call and reports it after those of all earlier calls for the same name. The order must
// be enforced here because after a move the answers for one name may come from two connections.
func (c *Counter) complete(done *call, status balancer.Status, total float64) {
	if done.completed {
		return
	}
	done.completed = true
	if c.cfg.Trace.Enabled() {
		took := trace.MS(c.loop.Now() - done.startedAt)
		c.cfg.Trace.Line("count", "line=%d status=%d took=%.1f written=%t", done.name%connections, status, took,
			done.written)
	}
	done.result = balancer.CounterResult{Name: done.name, Status: status, Total: total}
	done.timeout.Stop()
	calls := c.unreported[done.name]
	for len(calls) > 0 && calls[0].completed {
		c.sink(calls[0].result)
		calls = calls[1:]
	}
	c.unreported[done.name] = calls
	if len(calls) == 0 {
		delete(c.unreported, done.name)
	}
}

// Sweep closes idle connections, before the counter does, and fails those with an overdue answer. It must be called
// regularly.
func (c *Counter) Sweep() {
	now := c.loop.Now()
	for _, conn := range c.connections {
		switch {
		case conn.netConn == nil:
		case len(conn.calls) == 0 && now-conn.lastUsedAt >= maxIdle:
			conn.close()
		case len(conn.calls) > 0 && conn.calls[0].written && now-conn.awaitingSince >= maxAnswerWait:
			conn.fail(conn.epoch)
		}
	}
}
