package upstream

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/resp"
	"gapgap/internal/socket"
	"gapgap/internal/trace"
)

const (
	// defaultStallTimeout bounds the time between two pieces of a long value.
	defaultStallTimeout = 5 * time.Second
	// defaultValueTimeout bounds the time spent waiting for the endpoint for each valueProgressBytes of a long value.
	defaultValueTimeout = 60 * time.Second
	// valueProgressBytes is how much of a long value must come within the value timeout.
	valueProgressBytes = 1 << 10
	// defaultUsageTimeout bounds the time from the end of a value to the end of its answer.
	defaultUsageTimeout = time.Second
)

// connection is a connection to an endpoint. It carries one attempt or health check at a time and is closed when that
// is abandoned, so a reused connection never has an answer outstanding. The event loop owns it, except for the atomic
// fields and the fields of the reader goroutine.
type connection struct {
	pool     *Pool
	endpoint *endpointPool
	// generation is the generation of the endpoint at the time of dialling.
	generation int
	limit      *resourcelimit.EndpointLimit
	// netConn is nil while the connection is being dialled.
	netConn net.Conn
	// cancel ends dialling and the wait for memory.
	cancel context.CancelFunc

	// attempt and healthCheck are what the connection carries. Both are nil while it is idle.
	attempt     *Attempt
	healthCheck *healthCheck
	closed      bool
	idleAt      time.Duration
	// writing is closed when the goroutine that writes the rest of the last command ends; nil if there was none.
	writing chan struct{}

	// writeState is the progress of writing the last command.
	writeState atomic.Int32
	// commandsSent counts the commands started on the connection.
	commandsSent atomic.Int32
	// readerEnded reports that the reader goroutine has ended.
	readerEnded atomic.Bool
	// malformed reports that the reader ended because the received bytes were not a valid answer.
	malformed atomic.Bool
	// noConsumer reports that the reader ended because nobody accepts the value.
	noConsumer atomic.Bool

	// The following fields belong to the reader goroutine.
	reader *resp.Reader
	// answersRead counts the answers read.
	answersRead int32
	// deadlineSet reports that a read deadline is set.
	deadlineSet bool
	// answerBegun reports that the loop knows that the current answer has begun.
	answerBegun bool
	// longValue reports that a long value is being read.
	longValue bool
	// valueTimeLeft is how much longer the reader waits for the next valueProgressBytes of the long value.
	valueTimeLeft time.Duration
	// valueProgress is the number of bytes that have come since valueTimeLeft was last set.
	valueProgress int
	// usageDeadline is that of the rest of an answer after its value; zero: no such rest is awaited.
	usageDeadline time.Time
}

// Values of connection.writeState.
const (
	writeNone int32 = iota
	// writeStarted means that part of the command may have been sent.
	writeStarted
	// writeComplete means that all bytes were written.
	writeComplete
	// writeFailed means that the connection failed before all bytes were written.
	writeFailed
)

// acquire returns an idle connection or starts to dial a new one. It returns nil if no connection is allowed.
func (p *Pool) acquire(ep *endpointPool) *connection {
	for n := len(ep.idle); n > 0; n = len(ep.idle) {
		c := ep.idle[n-1]
		ep.idle[n-1] = nil
		ep.idle = ep.idle[:n-1]
		// Bytes that arrived since the last answer would be mistaken for the next one. On a connection that has ended,
		// it would be unknown whether the command ran.
		if c.readerEnded.Load() || !socket.IsQuiet(c.netConn) {
			p.close(c)
			continue
		}
		c.writeState.Store(writeNone)
		return c
	}
	if !p.reserveConnection(ep) {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &connection{pool: p, endpoint: ep, generation: ep.generation, cancel: cancel, limit: ep.limit}
	p.connections++
	ep.connections[c] = true
	go c.run(ctx, ep.address)
	return c
}

// close closes a connection that carries nothing or whose attempt or health check was detached before.
func (p *Pool) close(c *connection) {
	if c.closed {
		return
	}
	c.closed = true
	p.connections--
	if p.cfg.Allotment != nil {
		p.cfg.Allotment.Release(1)
	}
	if c.limit != nil {
		c.limit.Release(1)
	}
	delete(c.endpoint.connections, c)
	if c.netConn != nil {
		closeSocket(c.netConn)
	}
	c.cancel()
}

// closeSocket closes a socket. A close error affects only data of a connection that is no longer used, so it is
// ignored.
func closeSocket(netConn net.Conn) { _ = netConn.Close() }

// drop closes a connection and then ends what it carried. The order matters: the next attempt must not be sent while
// this one can still be answered.
func (p *Pool) drop(c *connection, status balancer.Status) {
	attempt := c.attempt
	check := c.healthCheck
	c.attempt = nil
	c.healthCheck = nil
	p.close(c)
	if attempt != nil {
		attempt.end(Result{Status: status})
	}
	if check != nil {
		p.finishHealthCheck(check, status)
	}
	p.forgetIfUnused(c.endpoint)
}

// run dials and then reads answers until the connection ends or ctx is done. It is the reader goroutine of the
// connection.
func (c *connection) run(ctx context.Context, address string) {
	netConn, err := c.dial(ctx, address)
	if err != nil {
		c.pool.loop.Post(func() { c.pool.drop(c, balancer.ConnectFailed) })
		return
	}
	c.pool.loop.Post(func() { c.handleDialled(netConn) })
	c.reader = &resp.Reader{
		Source:           answerReader{connection: c, netConn: netConn},
		MaxStreamedValue: maxValueBytes,
		Memory:           c.pool.cfg.ValueMemory,
		WaitForMemory:    func(n int64) error { return c.waitForMemory(ctx, n) },
	}
	defer c.reader.Release()
	for {
		r, err := c.readAnswer()
		if err != nil {
			c.endReader(netConn, err)
			return
		}
		c.answersRead++
		c.answerBegun = false
		r.surplus = r.surplus || c.reader.HasPartialMessage()
		c.pool.loop.Post(func() { c.pool.handleReply(c, r) })
	}
}

// waitForMemory reserves memory for an answer. It blocks until there is enough, ctx is done, or what follows a value is
// awaited no longer.
func (c *connection) waitForMemory(ctx context.Context, n int64) error {
	c.reportProgress()
	if !c.usageDeadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.usageDeadline)
		defer cancel()
	}
	return c.pool.cfg.ValueMemory.Reserve(ctx, n)
}

// dial connects to an address and writes a trace line.
func (c *connection) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.pool.cfg.DialTimeout)
	defer cancel()
	began := c.pool.loop.Now()
	netConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if c.pool.cfg.Trace.Enabled() {
		c.pool.loop.Post(func() {
			took := trace.MS(c.pool.loop.Now() - began)
			c.pool.cfg.Trace.Line("dial", "to=%s ok=%t took=%.1f held=%d closed=%t",
				c.endpoint.name, err == nil, took, c.pool.connections, c.closed)
		})
	}
	return netConn, err
}

// handleDialled adopts an established connection. If it was dropped while being dialled, nothing may be written to it.
func (c *connection) handleDialled(netConn net.Conn) {
	if c.closed {
		closeSocket(netConn)
		return
	}
	c.netConn = netConn
	c.writeCommand()
}

// readAnswer reads the next answer.
func (c *connection) readAnswer() (reply, error) {
	message, err := c.reader.Next()
	valueGiven := !c.usageDeadline.IsZero()
	c.usageDeadline = time.Time{}
	switch {
	case errors.Is(err, resp.ErrLongValue):
		return c.forwardLongValue()
	case err != nil && valueGiven:
		return reply{status: balancer.OK, surplus: true}, nil // the connection is not reused
	case err != nil:
		return reply{}, err
	}
	return parseReply(message), nil
}

// reportProgress tells the loop what has come of the current answer if it is not complete: that it has begun, and its
// value. From the value on only the usage figures are awaited, for a bounded time.
func (c *connection) reportProgress() {
	isAnswer := c.reader.HasPartialMessage() && c.commandsSent.Load() != c.answersRead
	if !isAnswer || !c.usageDeadline.IsZero() {
		return
	}
	c.reportBegun()
	value := c.reader.FirstValue()
	if value == nil {
		return
	}
	c.usageDeadline = c.usageTimeoutFromNow()
	given := bytes.Clone(value)
	c.pool.loop.Post(func() { c.pool.handleValueComplete(c, given) })
}

// reportBegun tells the loop that the current answer has begun, once.
func (c *connection) reportBegun() {
	if c.answerBegun {
		return
	}
	c.answerBegun = true
	c.pool.loop.Post(func() { c.pool.handleAnswerBegun(c) })
}

// usageTimeoutFromNow returns the time until which the rest of an answer is awaited whose value is complete now.
func (c *connection) usageTimeoutFromNow() time.Time {
	return time.Now().Add(cmp.Or(c.pool.cfg.UsageTimeout, defaultUsageTimeout))
}

// endReader records why the reader ended. While a command is being written, its writer posts the end of the connection
// instead, since only the writer knows how much was written.
func (c *connection) endReader(netConn net.Conn, err error) {
	malformed := errors.Is(err, resp.ErrMalformed) || errors.Is(err, errUnrequested) ||
		errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, resp.ErrNoMemory)
	c.malformed.Store(malformed)
	closeSocket(netConn)
	c.readerEnded.Store(true)
	if c.writeState.Load() != writeStarted {
		c.pool.loop.Post(c.handleEnd)
	}
}

// errUnrequested reports bytes received while no answer was outstanding.
var errUnrequested = errors.New("received bytes without an outstanding command")

// answerReader reads from the socket for a resp.Reader. It rejects bytes received while no answer is outstanding, since
// they would be mistaken for the start of the next answer, and it times out a long value that stalls and usage figures
// that do not come. Any other part of an answer is bounded by the deadline of its attempt.
type answerReader struct {
	connection *connection
	netConn    net.Conn
}

// Read implements io.Reader.
func (r answerReader) Read(b []byte) (int, error) {
	c := r.connection
	if c.longValue {
		return r.readLongValue(b)
	}
	c.reportProgress()
	r.setDeadline(c.usageDeadline)
	n, err := r.netConn.Read(b)
	if n > 0 && c.commandsSent.Load() == c.answersRead {
		return 0, errUnrequested
	}
	return n, err
}

// readLongValue reads a piece of a long value.
func (r answerReader) readLongValue(b []byte) (int, error) {
	c := r.connection
	began := time.Now()
	r.setDeadline(began.Add(min(cmp.Or(c.pool.cfg.StallTimeout, defaultStallTimeout), c.valueTimeLeft)))
	n, err := r.netConn.Read(b)
	c.valueTimeLeft -= time.Since(began)
	c.valueProgress += n
	if c.valueProgress >= valueProgressBytes {
		c.resetValueTimeout()
	}
	return n, err
}

// resetValueTimeout begins to wait for the next valueProgressBytes of a long value.
func (c *connection) resetValueTimeout() {
	c.valueTimeLeft = cmp.Or(c.pool.cfg.ValueTimeout, defaultValueTimeout)
	c.valueProgress = 0
}

// setDeadline sets the deadline of the next read. The zero time means no deadline.
func (r answerReader) setDeadline(deadline time.Time) {
	if deadline.IsZero() && !r.connection.deadlineSet {
		return
	}
	// SetReadDeadline fails only on a closed connection, which Read reports.
	_ = r.netConn.SetReadDeadline(deadline)
	r.connection.deadlineSet = !deadline.IsZero()
}

// writeCommand writes the command of the attempt or health check that the connection carries. The part that the socket
// does not accept at once is written by a separate goroutine: an endpoint that stops reading must not block the loop,
// which closes the connection at the deadline.
func (c *connection) writeCommand() {
	command, isAttempt := c.command()
	if command == nil {
		return
	}
	c.commandsSent.Add(1)
	c.writeState.Store(writeStarted)
	attempt := c.attempt
	n, err := socket.WriteNow(c.netConn, command)
	if n == len(command) || err != nil {
		c.handleWritten(isAttempt, err)
		c.completeWrite(attempt)
		return
	}
	if attempt != nil {
		attempt.Owner.DelayWrite()
	}
	netConn := c.netConn
	ended := make(chan struct{})
	c.writing = ended
	go func() {
		_, err := netConn.Write(command[n:])
		c.handleWritten(isAttempt, err)
		close(ended)
		c.pool.loop.Post(func() { c.completeWrite(attempt) })
	}()
}

// completeWrite reports the end of a write to the attempt that the connection carried when the write began, if all
// bytes were written and it still carries that.
func (c *connection) completeWrite(attempt *Attempt) {
	if attempt != nil && c.attempt == attempt && c.writeState.Load() == writeComplete {
		attempt.Owner.CompleteWrite()
	}
}

// command returns the bytes to write, or nil if there are none.
func (c *connection) command() (command []byte, isAttempt bool) {
	switch {
	case c.attempt != nil:
		now := c.pool.loop.Now()
		if c.attempt.WriteBy > 0 && now >= c.attempt.WriteBy {
			c.pool.handleWriteDeadline(c)
			return nil, true
		}
		return c.attempt.Owner.Command(c.attempt.Deadline - c.pool.loop.Now()), true
	case c.healthCheck != nil:
		return []byte(pingCommand), false
	}
	return nil, false
}

// handleWritten records how writing a command ended. It is safe for concurrent use.
func (c *connection) handleWritten(isAttempt bool, err error) {
	if err == nil && isAttempt && c.pool.cfg.OnWritten != nil {
		c.pool.cfg.OnWritten(1)
	}
	if err != nil {
		c.writeState.Store(writeFailed)
		closeSocket(c.netConn) // ends the reader
	} else {
		c.writeState.Store(writeComplete)
	}
	if c.readerEnded.Load() {
		go c.pool.loop.Post(c.handleEnd)
	}
}

// handleEnd handles the end of a connection. If it failed before the last byte was written, the command never ran. If
// the received bytes were not a valid answer, the command ran and the endpoint is alive. If a reused connection failed,
// those that have been idle for longer are closed too, as they are likely to have failed as well.
func (c *connection) handleEnd() {
	c.endpoint.removeIdle(c)
	if c.attempt != nil && c.commandsSent.Load() > 1 {
		c.pool.closeIdle(c.endpoint, c.idleAt)
	}
	status := balancer.Reset
	switch {
	case c.noConsumer.Load():
		status = balancer.Cancelled
	case c.malformed.Load():
		status = balancer.Failed
	case c.writeState.Load() != writeComplete:
		status = balancer.ConnectFailed
	}
	c.pool.drop(c, status)
}
