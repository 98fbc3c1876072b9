package upstream

import (
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
	// defaultStallTimeout ends a long value that has begun and stops for so long.
	defaultStallTimeout = 5 * time.Second
	// partialAnswerTimeout ends another answer that has begun and stops for so long: its length is wrong.
	partialAnswerTimeout = 250 * time.Millisecond
)

// connection is a connection to an endpoint. It carries one attempt or health check at a time and is closed when that
// is given up, so no answer is owed when it is used again. The event loop owns it but for the atomic fields and the
// reader's.
type connection struct {
	pool     *Pool
	endpoint *endpointPool
	// generation is that of the endpoint when it was dialled.
	generation int
	limit      *resourcelimit.EndpointLimit
	// netConn is nil while the connection is being dialled.
	netConn    net.Conn
	cancelDial context.CancelFunc

	// attempt and healthCheck are what the connection carries; both nil: nothing.
	attempt     *Attempt
	healthCheck *healthCheck
	closed      bool
	idleAt      time.Duration

	// writeState tells how far the last command is written.
	writeState atomic.Int32
	// commandsSent counts the commands given to it.
	commandsSent atomic.Int32
	// readerEnded says that its reader has ended.
	readerEnded atomic.Bool
	// malformed says that this is since what came is no answer.
	malformed atomic.Bool
	// noConsumer says that this is since nobody takes what comes.
	noConsumer atomic.Bool

	// The reader goroutine's.
	reader *resp.Reader
	// answersRead counts the answers read.
	answersRead int32
	// deadlineSet says that a read deadline is set.
	deadlineSet bool
	// longValue says that a long value comes in.
	longValue bool
}

// States of connection.writeState.
const (
	writeNone int32 = iota
	// writeStarted: a part may have gone out.
	writeStarted
	// writeComplete: all bytes are written.
	writeComplete
	// writeFailed: the connection broke before.
	writeFailed
)

// acquire returns an idle connection or starts to dial one; nil where none may be had.
func (p *Pool) acquire(ep *endpointPool) *connection {
	for n := len(ep.idle); n > 0; n = len(ep.idle) {
		c := ep.idle[n-1]
		ep.idle[n-1] = nil
		ep.idle = ep.idle[:n-1]
		// What came since the last answer would be taken for the next one, and a connection that has ended would
		// leave it open whether the command has run.
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
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.DialTimeout)
	c := &connection{pool: p, endpoint: ep, generation: ep.generation, cancelDial: cancel, limit: ep.limit}
	p.connections++
	ep.connections[c] = true
	go c.run(ctx, ep.address)
	return c
}

// close ends a connection that carries nothing, or whose load has been taken off.
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
	c.cancelDial()
}

// closeSocket closes a socket. What it may report was lost with the connection, which nobody uses any more.
func closeSocket(netConn net.Conn) { _ = netConn.Close() }

// drop closes a connection and then ends what it carried: the next attempt must not go out while this one can still be
// answered.
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

// run dials and then reads answers until the connection ends. It is the connection's reader goroutine.
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
	}
	defer c.reader.Release()
	for {
		r, err := c.readAnswer()
		if err != nil {
			c.endReader(netConn, err)
			return
		}
		c.answersRead++
		r.surplus = r.surplus || c.reader.HasPartialMessage()
		c.pool.loop.Post(func() { c.pool.handleReply(c, r) })
	}
}

// dial connects to an address and traces that.
func (c *connection) dial(ctx context.Context, address string) (net.Conn, error) {
	began := c.pool.loop.Now()
	netConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if c.pool.cfg.Trace.On() {
		c.pool.loop.Post(func() {
			took := trace.MS(c.pool.loop.Now() - began)
			c.pool.cfg.Trace.Line("dial", "to=%s ok=%t took=%.1f held=%d closed=%t",
				c.endpoint.name, err == nil, took, c.pool.connections, c.closed)
		})
	}
	return netConn, err
}

// handleDialled takes a connection that has come up. Where it was given up meanwhile nothing may be written any more.
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
	switch {
	case errors.Is(err, resp.ErrLongValue):
		return c.forwardLongValue()
	case err != nil:
		return reply{}, err
	}
	return parseReply(message), nil
}

// endReader notes why the reader ends. While a command is being written its writer posts the end, as it knows how far
// it got.
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

// errUnrequested says that bytes came while no answer was owed.
var errUnrequested = errors.New("an answer to no command")

// answerReader reads from the socket for the resp.Reader. It takes nothing while no answer is owed: that would be
// found in front of the next answer. And an answer that has begun must go on.
type answerReader struct {
	connection *connection
	netConn    net.Conn
}

// Read implements io.Reader.
func (r answerReader) Read(b []byte) (int, error) {
	c := r.connection
	var deadline time.Time
	switch {
	case c.longValue:
		deadline = time.Now().Add(cmp.Or(c.pool.cfg.StallTimeout, defaultStallTimeout))
	case c.reader.HasPartialMessage():
		deadline = time.Now().Add(partialAnswerTimeout)
	}
	if !deadline.IsZero() || c.deadlineSet {
		// Its error is that of a closed connection, which Read reports.
		_ = r.netConn.SetReadDeadline(deadline)
		c.deadlineSet = !deadline.IsZero()
	}
	n, err := r.netConn.Read(b)
	if n > 0 && c.commandsSent.Load() == c.answersRead {
		return 0, errUnrequested
	}
	return n, err
}

// writeCommand writes the command of what the connection carries. What the socket does not take at once is written by a
// goroutine of its own: an endpoint that takes nothing must not block the loop, which closes the connection when the
// time is up.
func (c *connection) writeCommand() {
	command, isAttempt := c.command()
	if command == nil {
		return
	}
	c.commandsSent.Add(1)
	c.writeState.Store(writeStarted)
	n, err := socket.WriteNow(c.netConn, command)
	if n == len(command) || err != nil {
		c.handleWritten(isAttempt, err)
		return
	}
	netConn := c.netConn
	go func() {
		_, err := netConn.Write(command[n:])
		c.handleWritten(isAttempt, err)
	}()
}

// command returns what is to be written; nil: nothing.
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

// handleWritten notes how the writing of a command ended. Any goroutine may call it.
func (c *connection) handleWritten(isAttempt bool, err error) {
	if err == nil && isAttempt && c.pool.cfg.OnWritten != nil {
		c.pool.cfg.OnWritten(1)
	}
	if err != nil {
		c.writeState.Store(writeFailed)
		closeSocket(c.netConn) // so its reader ends, if it has not
	} else {
		c.writeState.Store(writeComplete)
	}
	if c.readerEnded.Load() {
		go c.pool.loop.Post(c.handleEnd)
	}
}

// handleEnd takes the end of a connection. If it broke before the last byte was written, the command never ran; if what
// came is no answer, it has run, and the endpoint lives. Connections that have been idle for longer are no better.
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
