package counter

import (
	"net"
	"time"

	"gapgap/internal/balancer"
)

// maxQueuedWrites bounds the writes that wait for the writer goroutine.
const maxQueuedWrites = 64

// connection is a place for a connection to the counter, and the calls that go by it. The event loop owns it; a
// reader and a writer goroutine post what they find.
type connection struct {
	counter *Counter
	address string
	// netConn is nil while there is no connection.
	netConn net.Conn
	// dialling says that a connection is being made.
	dialling bool
	// abandoned says that the counter is at another address now.
	abandoned bool
	// epoch counts connections: what an older one still reports is ignored.
	epoch int
	// calls are in the order of their answers, those given up on too.
	calls []*call
	// writes go to the writer goroutine.
	writes chan []byte
	// usedAt is when a call or an answer last went by.
	usedAt time.Duration
	// owedSince is since when an answer is owed.
	owedSince time.Duration
}

// flush writes the calls that are not written yet, or dials first. Where the counter takes nothing any more the
// connection fails.
func (c *connection) flush() {
	if c.netConn == nil {
		if !c.dialling && !c.abandoned {
			c.dialling = true
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

// dial connects. The calls that wait for it have time-outs of their own.
func (c *connection) dial(address string) {
	netConn, err := net.DialTimeout("tcp", address, c.counter.cfg.DialTimeout)
	c.counter.loop.Post(func() { c.handleDialled(netConn, err) })
}

// handleDialled takes the end of a dial.
func (c *connection) handleDialled(netConn net.Conn, err error) {
	c.dialling = false
	c.counter.cfg.Trace.Line("countdial", "ok=%t", err == nil)
	if c.abandoned {
		if err == nil {
			_ = netConn.Close() // nothing was written to it
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

// write writes calls until the channel is closed. It is the writer goroutine.
func (c *connection) write(netConn net.Conn, writes <-chan []byte, epoch int) {
	for text := range writes {
		_ = netConn.SetWriteDeadline(time.Now().Add(maxSilence)) // fails with the connection, as Write does
		if _, err := netConn.Write(text); err != nil {
			c.counter.loop.Post(func() { c.fail(epoch) })
			return
		}
	}
}

// handleAnswer takes the answer to the oldest call.
func (c *connection) handleAnswer(epoch int, status balancer.Status, total float64) {
	if epoch != c.epoch || c.netConn == nil {
		return
	}
	if len(c.calls) == 0 || !c.calls[0].written { // an answer to no call
		c.fail(epoch)
		return
	}
	answered := c.calls[0]
	c.calls[0] = nil
	c.calls = c.calls[1:]
	c.usedAt = c.counter.loop.Now()
	c.owedSince = c.usedAt
	c.reportLate(answered, status, total)
	c.counter.end(answered, status, total)
	if c.abandoned && len(c.calls) == 0 {
		c.close()
	}
}

// reportLate reports a call that has ended as Timeout and was added after all.
func (c *connection) reportLate(answered *call, status balancer.Status, total float64) {
	late := c.counter.cfg.Late
	wasAdded := status == balancer.OK || status == balancer.Failed
	if late != nil && answered.ended && answered.ticket != 0 && wasAdded {
		late(balancer.LateCounterResult{Ticket: answered.ticket, Status: status, Total: total})
	}
}

// fail ends a connection, or the try to get one, and the calls that wait for it.
func (c *connection) fail(epoch int) {
	if epoch != c.epoch {
		return
	}
	c.close()
	calls := c.calls
	c.calls = nil
	for _, waiting := range calls {
		status := balancer.ConnectFailed
		if waiting.written {
			status = balancer.Timeout
		}
		c.counter.end(waiting, status, 0)
	}
}

// close ends the connection.
func (c *connection) close() {
	c.epoch++
	if c.netConn == nil {
		return
	}
	_ = c.netConn.Close() // nobody waits for what is lost with it
	close(c.writes)
	c.netConn = nil
	c.writes = nil
}
