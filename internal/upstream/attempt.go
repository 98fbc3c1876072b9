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
	// SentAt is the time of dispatch, on the loop clock.
	SentAt time.Duration
	// Deadline is the time at which the attempt ends with status Timeout if its answer has not begun.
	Deadline time.Duration
	// AnswerDeadline is the time at which the attempt ends with status Timeout if its answer has begun. Deadline
	// applies if that is later; 0 means that no later time applies.
	AnswerDeadline time.Duration
	// WriteBy is the time by which the last byte must be written; otherwise the attempt ends as not sent. 0 means no
	// limit.
	WriteBy time.Duration
	// Owner supplies the command and receives the result.
	Owner Owner

	timeoutTimer *eventloop.Timer
	writeTimer   *eventloop.Timer
	connection   *connection
	ended        bool
	// answerBegunAt is the time at which an answer that did not come at once began. 0 means that none has.
	answerBegunAt time.Duration
	// valueComplete reports that the owner has the value as a whole. What is left of the answer is awaited for a
	// bounded time, whatever becomes of the request.
	valueComplete bool
}

// Owner is the originator of an attempt. Its methods are called on the event loop.
type Owner interface {
	// Command returns the complete command for the endpoint, which includes how long this side will wait for the
	// answer. nil means that no answer is needed any more and the attempt has been cancelled.
	Command(wait time.Duration) []byte
	// DelayWrite reports that the command is not written yet: the attempt waits for its connection, or the endpoint
	// does not read. It may be called more than once.
	DelayWrite()
	// CompleteWrite reports that the last byte of the command has been written.
	CompleteWrite()
	// StartLongValue announces a long value of size bytes, which is forwarded in pieces. It returns nil if the value is
	// not wanted.
	StartLongValue(size int) Sink
	// BeginAnswer reports that the first bytes of an answer have come that is not complete yet. It is called once at
	// most. AnswerDeadline applies from then on.
	BeginAnswer()
	// CompleteValue reports that the value is complete and the rest of the answer is not. value is a RESP2 bulk string;
	// it is nil if the value was written to its sink. HandleResult follows with status OK once the rest of the answer
	// has arrived or is given up.
	CompleteValue(value []byte)
	// HandleResult receives the result of the attempt. It is called exactly once.
	HandleResult(Result)
}

// Sink receives a long value encoded as a bulk string, including its header and final line end. Write blocks until the
// piece has been accepted. It is called by a single goroutine other than the loop goroutine.
type Sink interface{ Write([]byte) error }

// Result is the result of an attempt.
type Result struct {
	Status balancer.Status
	// Value is the value as a RESP2 bulk string if Status is OK. It is nil if the value was written to a Sink.
	Value []byte
	// QuotaUsed is the percentage of the quota used plus one. 0 means that the endpoint did not report it.
	QuotaUsed int
}

// End ends an attempt that was never passed to Pool.Send.
func (a *Attempt) End(status balancer.Status) { a.end(Result{Status: status}) }

// end delivers the result to the owner, at most once.
func (a *Attempt) end(result Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.timeoutTimer.Stop()
	a.writeTimer.Stop()
	a.Owner.HandleResult(result)
}

// Latency returns the time from dispatch to the first bytes of the answer.
func (a *Attempt) Latency(now time.Duration) time.Duration {
	if a.answerBegunAt > 0 {
		return a.answerBegunAt - a.SentAt
	}
	return now - a.SentAt
}

// Send starts an attempt. It uses the most recently used idle connection if there is one, since a new connection costs
// the endpoint work. The attempt ends as not sent if the endpoint is not in use or no connection is available.
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
	if c.netConn == nil {
		a.Owner.DelayWrite()
		return
	}
	c.writeCommand()
}

// handleTimeout ends an attempt that was not answered in time. If its connection is still being dialled, the command
// never ran.
func (p *Pool) handleTimeout(c *connection, a *Attempt) {
	status := balancer.Timeout
	if c.writeState.Load() == writeNone {
		status = balancer.ConnectFailed
	}
	p.closeIdleIfUnresponsive(c.endpoint, a.SentAt)
	p.drop(c, status)
}

// handleWriteDeadline withdraws an attempt that was not written in full by WriteBy. If it was written in part, the rest
// may reach the endpoint too, so its outcome is unknown.
func (p *Pool) handleWriteDeadline(c *connection) {
	switch c.writeState.Load() {
	case writeNone:
		p.drop(c, balancer.NotSent)
	case writeStarted:
		p.drop(c, balancer.Reset)
	}
}

// closeIdleIfUnresponsive closes the idle connections to an endpoint that has not answered anything since the given
// time. If its machine is down, these connections stay open without ever answering, so the next attempts must use new
// ones.
func (p *Pool) closeIdleIfUnresponsive(ep *endpointPool, since time.Duration) {
	if ep.lastAnswerAt < since {
		p.closeIdle(ep, since)
	}
}

// Cancel ends an attempt. It does nothing if the attempt has ended, was never sent, or only waits for the rest of its
// answer after the value.
func (p *Pool) Cancel(a *Attempt) {
	if a.ended || a.connection == nil || a.valueComplete {
		return
	}
	status := balancer.Cancelled
	if a.connection.writeState.Load() == writeNone {
		status = balancer.NotSent
	}
	p.drop(a.connection, status)
}
