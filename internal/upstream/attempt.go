package upstream

import (
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/eventloop"
)

// Attempt is one attempt of a request at an endpoint. The event loop owns it.
type Attempt struct {
	// Endpoint is the name of the endpoint.
	Endpoint string
	// SentAt is when it was dispatched, on the loop's clock.
	SentAt time.Duration
	// Deadline is when it ends as Timeout.
	Deadline time.Duration
	// WriteBy is when its last byte is to be written, or it ends as not sent; 0: there is no such time.
	WriteBy time.Duration
	// Owner gives the command and takes the result.
	Owner Owner

	timeoutTimer *eventloop.Timer
	writeTimer   *eventloop.Timer
	connection   *connection
	ended        bool
	// longValueAt is when a long value began to come; 0: none has.
	longValueAt time.Duration
}

// Owner is what an attempt is made for. The event loop calls it.
type Owner interface {
	// Command returns the whole command for the endpoint, which tells it how long this side will wait; nil: nobody
	// waits any more, and the attempt has been cancelled.
	Command(wait time.Duration) []byte
	// StartLongValue says that a long value of a number of bytes comes, which is to be passed on piece by piece; nil: nobody
	// wants it.
	StartLongValue(size int) Sink
	// HandleResult takes the one result of the attempt.
	HandleResult(Result)
}

// Sink takes a long value, as a bulk string with its head and its end of line. Write blocks until the piece is taken.
// One goroutine calls it, which is not the loop's.
type Sink interface{ Write([]byte) error }

// Result is the result of an attempt.
type Result struct {
	Status balancer.Status
	// Value is, with OK, the value as a RESP2 bulk string; nil: the Sink has it.
	Value []byte
	// QuotaUsed is one more than the percentage of the quota used; 0: not told.
	QuotaUsed int
}

// End ends an attempt that Pool.Send has not been given.
func (a *Attempt) End(status balancer.Status) { a.end(Result{Status: status}) }

// end gives the attempt its result, once.
func (a *Attempt) end(result Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.timeoutTimer.Stop()
	a.writeTimer.Stop()
	a.Owner.HandleResult(result)
}

// Latency returns the time until the answer, or until the first byte of a long value.
func (a *Attempt) Latency(now time.Duration) time.Duration {
	if a.longValueAt > 0 {
		return a.longValueAt - a.SentAt
	}
	return now - a.SentAt
}

// Send starts an attempt, on the idle connection used last if there is one: a new connection costs the endpoint work.
// The attempt ends as not sent where the endpoint is not in use, or no connection can be had here.
func (p *Pool) Send(a *Attempt) {
	ep := p.endpoints[a.Endpoint]
	if ep == nil || !ep.usable {
		a.End(balancer.NotSent)
		return
	}
	c := p.acquire(ep)
	if c == nil {
		a.End(balancer.NotSent)
		return
	}
	c.attempt = a
	a.connection = c
	a.timeoutTimer = p.loop.At(a.Deadline, func() { p.handleTimeout(c, a) })
	if a.WriteBy > 0 {
		a.writeTimer = p.loop.At(a.WriteBy, func() { p.handleWriteDeadline(c) })
	}
	if c.netConn != nil {
		c.writeCommand()
	}
}

// handleTimeout ends an attempt that has no answer in time. One whose connection is still being dialled never ran.
func (p *Pool) handleTimeout(c *connection, a *Attempt) {
	status := balancer.Timeout
	if c.writeState.Load() == writeNone {
		status = balancer.ConnectFailed
	}
	p.closeIdleIfUnresponsive(c.endpoint, a.SentAt)
	p.drop(c, status)
}

// handleWriteDeadline takes an attempt back that is not written in full by WriteBy. Where a part of it is out, the rest
// may be too.
func (p *Pool) handleWriteDeadline(c *connection) {
	switch c.writeState.Load() {
	case writeNone:
		p.drop(c, balancer.NotSent)
	case writeStarted:
		p.drop(c, balancer.Reset)
	}
}

// closeIdleIfUnresponsive closes idle connections to an endpoint that has answered nothing since a time. Its machine may be gone,
// and they would stay open and silent, so the next attempts must use new ones.
func (p *Pool) closeIdleIfUnresponsive(ep *endpointPool, since time.Duration) {
	if ep.lastAnswerAt < since {
		p.closeIdle(ep, since)
	}
}

// Cancel ends an attempt. One that has ended, or that was never sent, is ignored.
func (p *Pool) Cancel(a *Attempt) {
	if a.ended || a.connection == nil {
		return
	}
	status := balancer.Cancelled
	if a.connection.writeState.Load() == writeNone {
		status = balancer.NotSent
	}
	p.drop(a.connection, status)
}
