// Package counter calls the platform's quota counter, a service that adds to named numbers by lines of text.
//
// The calls of one name go by one connection, one behind another, so their answers come in order. Answers belong to
// calls by their order alone: a call that was given up on keeps its place.
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
	// connections is how many connections there are. A name always goes by the same one.
	connections = 4
	// maxIdle closes an idle connection; the counter does so after 10 s or less.
	maxIdle = 3 * time.Second
	// maxSilence ends a connection that has owed an answer for so long.
	maxSilence = 2 * time.Second
	// maxOwed bounds the calls of one connection whose answers are still to come.
	maxOwed = 1024
	// maxMovedWait is how long answers are awaited at an address that was left.
	maxMovedWait = 2 * time.Second
)

// Config says where the counter is and how it is called.
type Config struct {
	// Addr is host:port.
	Addr string
	// Enabled is false where there is no counter: then every call ends at once as ConnectFailed.
	Enabled bool
	// Cut makes calls end likewise for as long as it returns true; nil: never.
	Cut func() bool
	// Space keeps the names of one pool apart from those of others; empty: names are as the balancer makes them.
	Space string
	// Timeout ends a call without an answer as Timeout.
	Timeout time.Duration
	// DialTimeout is how long a connection may take to come up.
	DialTimeout time.Duration
	// Late takes calls that have ended as Timeout and were added after all; nil: nobody is told. The event loop calls
	// it.
	Late func(balancer.LateCounterResult)
	// Trace takes a line for each call and connection; nil: none is written.
	Trace *trace.Log
}

// Counter calls the quota counter. The event loop owns it.
type Counter struct {
	loop    *eventloop.Loop
	cfg     Config
	sink    func(balancer.CounterResult)
	address string
	// space is added to names.
	space       uint64
	connections [connections]*connection
	// unreported has the calls whose results are not reported, by name in the order of the calls.
	unreported map[uint64][]*call
}

// call is one addition.
type call struct {
	name       uint64
	ticket     uint64
	startedAt  time.Duration
	connection *connection
	text       []byte
	// written says that it may have reached the counter.
	written bool
	// ended says that it has a result.
	ended   bool
	result  balancer.CounterResult
	timeout *eventloop.Timer
}

// New returns a counter. The sink takes the one result of each call, by the event loop.
func New(loop *eventloop.Loop, cfg Config, sink func(balancer.CounterResult)) *Counter {
	c := &Counter{loop: loop, cfg: cfg, sink: sink, unreported: map[uint64][]*call{}}
	if cfg.Space != "" {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(cfg.Space)) // a hash never fails
		c.space = hash.Sum64() >> 1          // names have 63 bits
	}
	c.Move(cfg.Addr)
	return c
}

// Addr returns where the calls go.
func (c *Counter) Addr() string { return c.address }

// Close ends all connections.
func (c *Counter) Close() {
	for _, conn := range c.connections {
		conn.abandoned = true
		conn.close()
	}
}

// Move takes further calls, and those not yet written, to another address. Answers owed by the old one may still come.
func (c *Counter) Move(address string) {
	c.address = address
	for i := range c.connections {
		c.moveConnection(i, address)
	}
}

// moveConnection replaces one connection by one to another address.
func (c *Counter) moveConnection(i int, address string) {
	now := c.loop.Now()
	old := c.connections[i]
	moved := &connection{counter: c, address: address, usedAt: now, owedSince: now}
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

// Add makes a call.
func (c *Counter) Add(add balancer.CounterAdd) {
	conn := c.connections[add.Name%connections]
	added := &call{name: add.Name, ticket: add.Ticket, startedAt: c.loop.Now(), connection: conn}
	c.unreported[added.name] = append(c.unreported[added.name], added)
	isCut := c.cfg.Cut != nil && c.cfg.Cut()
	if !c.cfg.Enabled || isCut || len(conn.calls) >= maxOwed {
		c.end(added, balancer.ConnectFailed, 0)
		return
	}
	added.text = c.encode(add)
	now := c.loop.Now()
	if len(conn.calls) == 0 {
		conn.owedSince = now
	}
	conn.calls = append(conn.calls, added)
	conn.usedAt = now
	added.timeout = c.loop.At(now+c.cfg.Timeout, func() { c.giveUp(added) })
	conn.flush()
}

// encode returns the line of a call.
func (c *Counter) encode(add balancer.CounterAdd) []byte {
	amount := strconv.FormatFloat(add.Amount, 'f', -1, 64)
	return fmt.Appendf(nil, "add %d %s %d\r\n", add.Name^c.space, amount, max(1, add.TTL.Milliseconds()))
}

// giveUp ends a call with no answer. One that is not written is taken out, as it must not be written any more; for
// others the place among the answers is kept.
func (c *Counter) giveUp(late *call) {
	if late.written {
		c.end(late, balancer.Timeout, 0)
		return
	}
	conn := late.connection
	conn.calls = slices.DeleteFunc(conn.calls, func(other *call) bool { return other == late })
	c.end(late, balancer.ConnectFailed, 0)
}

// end gives a call its result, which is reported once those of the calls of its name before it are: after a move two
// connections may owe answers for one name.
func (c *Counter) end(ended *call, status balancer.Status, total float64) {
	if ended.ended {
		return
	}
	ended.ended = true
	if c.cfg.Trace.On() {
		took := trace.MS(c.loop.Now() - ended.startedAt)
		c.cfg.Trace.Line("count", "line=%d status=%d took=%.1f written=%t", ended.name%connections, status, took,
			ended.written)
	}
	ended.result = balancer.CounterResult{Name: ended.name, Status: status, Total: total}
	ended.timeout.Stop()
	calls := c.unreported[ended.name]
	for len(calls) > 0 && calls[0].ended {
		c.sink(calls[0].result)
		calls = calls[1:]
	}
	c.unreported[ended.name] = calls
	if len(calls) == 0 {
		delete(c.unreported, ended.name)
	}
}

// Sweep closes connections that are idle, before the counter does, and those that have fallen silent.
func (c *Counter) Sweep() {
	now := c.loop.Now()
	for _, conn := range c.connections {
		switch {
		case conn.netConn == nil:
		case len(conn.calls) == 0 && now-conn.usedAt >= maxIdle:
			conn.close()
		case len(conn.calls) > 0 && conn.calls[0].written && now-conn.owedSince >= maxSilence:
			conn.fail(conn.epoch)
		}
	}
}
