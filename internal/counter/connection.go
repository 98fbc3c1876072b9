package counter

import (
	"net"
	"time"

	"gapgap/internal/balancer"
)

// maxQueuedWrites bounds the writes that are queued for the writer goroutine.
const maxQueuedWrites = 64

// connection is one of the connections to the counter, with its calls. It dials and redials on demand. The event loop
// owns it; a reader and a writer goroutine post their results to the loop.
type connection struct {
	counter *Counter
	address string
	// netConn is nil while there is no connection.
	netConn net.Conn
	// dialing reports whether a dial is in progress.
	dialing bool
	// abandoned reports that the counter has moved to another address or was closed.
	abandoned bool
	// epoch is incremented with each network connection and each close. Reports from an older epoch are ignored.
	epoch int
	// calls has the calls without an answer, in the order in which the answers will arrive. It includes calls that have
	// timed out.
	calls []*call
	// writes is the queue of the writer goroutine.
	writes chan []byte
	// lastUsedAt is when the last call was made or the last answer arrived.
	lastUsedAt time.Duration
	// awaitingSince is when the wait for the oldest outstanding answer began.
	awaitingSince time.Duration
}

// flush queues all unwritten calls for writing, or dials first. If the write queue is full, because the counter has
// stopped reading, the connection fails.
func (c *connection) flush() {
	if c.netConn == nil {
		if !c.dialing && !c.abandoned {
			c.dialing = true
			go c.dial(c.address)
		}
		return
	}
	var text []byte
	for _, call := range c.calls {
		if !call.written {
			text = append(text, call.text...)
			call.written = true
		}
	}
	if len(text) == 0 {
		return
	}
	select {
	case c.writes <- text:
	default:
		c.fail(c.epoch)
	}
}

// dial connects to the counter. The calls that wait for the connection have their own timeouts.
func (c *connection) dial(address string) {
	netConn, err := net.DialTimeout("tcp", address, c.counter.cfg.DialTimeout)
	c.counter.loop.Post(func() { c.handleDialResult(netConn, err) })
}

// handleDialResult processes the result of a dial.
func (c *connection) handleDialResult(netConn net.Conn, err error) {
	c.dialing = false
	c.counter.cfg.Trace.Line("countdial", "ok=%t", err == nil)
	if c.abandoned {
		if err == nil {
			_ = netConn.Close() // nothing was written, so the error does not matter
		}
		return
	}
	if err != nil {
		c.fail(c.epoch)
		return
	}
	c.epoch++
	c.netConn = netConn
	c.writes = make(chan []byte, maxQueuedWrites)
	go c.write(netConn, c.writes, c.epoch)
	go c.read(netConn, c.epoch)
	c.flush()
}

// write writes calls until the channel is closed or a write fails. It runs in the writer goroutine.
func (c *connection) write(netConn net.Conn, writes <-chan []byte, epoch int) {
	for text := range writes {
		// An error means that the connection has failed, which Write reports.
		_ = netConn.SetWriteDeadline(time.Now().Add(maxAnswerWait))
		if _, err := netConn.Write(text); err != nil {
			c.counter.loop.Post(func() { c.fail(epoch) })
			return
		}
	}
}

// handleAnswer processes the answer to the oldest call.
func (c *connection) handleAnswer(epoch int, status balancer.Status, total float64) {
	if epoch != c.epoch || c.netConn == nil {
		return
	}
	if len(c.calls) == 0 || !c.calls[0].written { // an answer without a call
		c.fail(epoch)
		return
	}
	answered := c.calls[0]
	c.calls[0] = nil
	c.calls = c.calls[1:]
	c.lastUsedAt = c.counter.loop.Now()
	c.awaitingSince = c.lastUsedAt
	c.reportLate(answered, status, total)
	c.counter.complete(answered, status, total)
	if c.abandoned && len(c.calls) == 0 {
		c.close()
	}
}

// reportLate reports a call that was completed as Timeout although the counter did add its amount.
func (c *connection) reportLate(answered *call, status balancer.Status, total float64) {
	reportLate := c.counter.cfg.OnLateResult
	wasAdded := status == balancer.OK || status == balancer.Failed
	if reportLate != nil && answered.completed && answered.ticket != 0 && wasAdded {
		reportLate(balancer.LateCounterResult{Ticket: answered.ticket, Status: status, Total: total})
	}
}

// fail closes a connection after an error, or gives up an attempt to connect, and completes all its calls.
func (c *connection) fail(epoch int) {
	if epoch != c.epoch {
		return
	}
	c.close()
	calls := c.calls
	c.calls = nil
	for _, pending := range calls {
		status := balancer.ConnectFailed
		if pending.written {
			status = balancer.Timeout
		}
		c.counter.complete(pending, status, 0)
	}
}

// close closes the network connection, if there is one, without completing any call.
func (c *connection) close() {
	c.epoch++
	if c.netConn == nil {
		return
	}
	_ = c.netConn.Close() // data lost with the connection is not needed
	close(c.writes)
	c.netConn = nil
	c.writes = nil
}
