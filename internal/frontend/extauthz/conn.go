package extauthz

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"gapgap/internal/cpuscheduler"
	"gapgap/internal/proxy"
	"gapgap/internal/socket"
)

// minEvictionIdle is how long a connection must have been idle before it may be evicted. With a shorter time it might
// be closed while a client is still sending a request.
const minEvictionIdle = 200 * time.Millisecond

// conn is a connection from a web proxy. It counts toward the connection limit that all frontends share. Times are on
// the event loops' clock.
type conn struct {
	net.Conn
	front *Frontend
	// trusted is true if the address of the proxy is trusted.
	trusted bool
	// pool is the pool of the last check, or nil before the first.
	pool atomic.Pointer[proxy.Proxy]
	// closeAfterAnswer is true if the connection must be closed with its next answer.
	closeAfterAnswer atomic.Bool
	acceptedAt       time.Duration
	// openRequests is the number of requests in handlers.
	openRequests atomic.Int32
	// writes is the number of writes that the client has not accepted yet.
	writes atomic.Int32
	// lastActivity is when bytes were last read or written.
	lastActivity atomic.Int64
	// requestBegan is when the first bytes were read that no handler has received yet, or 0 if there are none.
	requestBegan atomic.Int64
	// unaccounted is the number of bytes read since the last call of beginRequest.
	unaccounted atomic.Int64
	// http2 is true for HTTP/2, where some frames belong to no request.
	http2 atomic.Bool
	// used is true once a handler has received a request.
	used atomic.Bool

	mu sync.Mutex
	// ending is true while the reading goroutine is to decide whether the connection ends.
	ending bool
	// readDeadline is the read deadline that net/http has set.
	readDeadline time.Time
}

// interruptedDeadline is a read deadline in the past, which ends a read at once.
var interruptedDeadline = time.Unix(1, 0)

// newConn returns an accepted connection and adds it to the connection limit.
func newConn(f *Frontend, netConn net.Conn) *conn {
	c := &conn{
		Conn:       netConn,
		front:      f,
		trusted:    f.config.isTrustedAddress(netConn.RemoteAddr()),
		acceptedAt: f.env.Now(),
	}
	c.lastActivity.Store(int64(c.acceptedAt))
	f.env.Conns.Add(c)
	return c
}

// connKey is the key of the *conn in a request's context.
type connKey struct{}

// unwrapConn returns the conn underlying a connection of net/http, or nil.
func unwrapConn(netConn net.Conn) *conn {
	if tlsConn, ok := netConn.(*tls.Conn); ok {
		netConn = tlsConn.NetConn()
	}
	c, _ := netConn.(*conn)
	return c
}

// Read implements [net.Conn]. When the connection is to end, it decides whether it does: only the reading goroutine
// knows what has been read.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		switch {
		case n > 0:
			c.countRead(n)
			return n, err
		case !errors.Is(err, os.ErrDeadlineExceeded) || !c.readsOn():
			return n, err
		}
	}
}

// countRead records that n bytes were read.
func (c *conn) countRead(n int) {
	now := int64(c.front.env.Coarse())
	c.lastActivity.Store(now)
	c.unaccounted.Add(int64(n))
	if c.openRequests.Load() == 0 {
		c.requestBegan.CompareAndSwap(0, now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		_ = c.endAfterAnswer() // the next read returns the error too
	}
}

// endAfterAnswer makes the connection end after the next answer instead of now. The caller holds mu.
func (c *conn) endAfterAnswer() error {
	c.ending = false
	c.closeAfterAnswer.Store(true)
	return c.Conn.SetReadDeadline(c.readDeadline)
}

// readsOn reports whether reading goes on although a read deadline has passed: it was not that of net/http, and a
// request is being answered or its bytes have arrived. The connection then ends after the answer. Otherwise net/http
// closes it.
func (c *conn) readsOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isOwnDeadline := !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline)
	if !c.ending || isOwnDeadline {
		return false
	}
	if c.openRequests.Load() == 0 && socket.ReceiveQueue(c.Conn) == 0 {
		return false
	}
	return c.endAfterAnswer() == nil
}

// SetReadDeadline implements [net.Conn].
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if c.ending {
		return c.Conn.SetReadDeadline(interruptedDeadline)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements [net.Conn].
func (c *conn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// Write implements [net.Conn].
func (c *conn) Write(b []byte) (int, error) {
	c.lastActivity.Store(int64(c.front.env.Coarse()))
	c.writes.Add(1)
	defer c.writes.Add(-1)
	return c.Conn.Write(b)
}

// Close implements [net.Conn].
func (c *conn) Close() error {
	c.front.env.Conns.Remove(c)
	return c.Conn.Close()
}

// scheduler returns the flow of the last check's pool, or else that for checks whose pool is not known yet. It is nil
// if the processor is not shared between pools.
func (c *conn) scheduler() *cpuscheduler.Flow {
	if p := c.pool.Load(); p != nil && p.Scheduler != nil {
		return p.Scheduler
	}
	return c.front.env.Scheduler
}

// assignTo counts the connection toward the connection limit of its check's pool. It returns false for a connection
// that has no pool yet if the pool's guarantee is used up and nothing can be borrowed: see
// [resourcelimit.ClientLimit.Assign].
func (c *conn) assignTo(p *proxy.Proxy) bool {
	if c.pool.Load() == p {
		return true
	}
	if p.Clients != nil && !c.front.env.Conns.Assign(c, p.Clients) {
		return false
	}
	c.pool.Store(p)
	return true
}

// beginRequest counts a request that a handler has received, and returns the number of bytes that were read for it.
func (c *conn) beginRequest(http2 bool) int64 {
	c.openRequests.Add(1)
	c.requestBegan.Store(0)
	if !c.used.Load() {
		c.used.Store(true)
		c.http2.Store(http2)
	}
	return c.unaccounted.Swap(0)
}

// endRequest ends the counting of a request that its handler has answered.
func (c *conn) endRequest() {
	c.openRequests.Add(-1)
}

// closeIfOverdue closes the connection if it has exceeded a timeout: Config.HeaderTimeout for the first request and for
// any request that has begun, and Config.IdleTimeout between two requests. The timeouts of net/http would do the same,
// but take three timers per request.
func (c *conn) closeIfOverdue() {
	if c.openRequests.Load() > 0 {
		return
	}
	config := &c.front.config
	now := c.front.env.Now()
	requestBegan := time.Duration(c.requestBegan.Load())
	used := c.used.Load()
	switch {
	case requestBegan > 0 && !used && now-c.acceptedAt > config.HeaderTimeout,
		requestBegan > 0 && used && !c.http2.Load() && now-requestBegan > config.HeaderTimeout:
		_ = c.Close() // nothing more is sent on it
	case !used && now-c.acceptedAt > config.HeaderTimeout,
		used && now-time.Duration(c.lastActivity.Load()) > config.IdleTimeout:
		c.CloseWhenIdle()
	}
}

// IdleSince implements [resourcelimit.ClientConnection].
func (c *conn) IdleSince() (since time.Duration, used bool) {
	if c.openRequests.Load() > 0 {
		return 0, true
	}
	return time.Duration(c.lastActivity.Load()), c.used.Load()
}

// CloseWhenIdle implements [resourcelimit.ClientConnection]. It interrupts the read of an idle connection, which then
// ends: see readsOn. A connection whose client accepts nothing is closed, as nothing is read from it meanwhile.
func (c *conn) CloseWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	idleFor := c.front.env.Now() - time.Duration(c.lastActivity.Load())
	if c.openRequests.Load() > 0 || idleFor < minEvictionIdle {
		// net/http closes the connection after the answer, or with HTTP/2 once its streams have ended.
		c.closeAfterAnswer.Store(true)
		return
	}
	if c.writes.Load() > 0 {
		_ = c.Close() // nothing more is sent on it
		return
	}
	c.ending = true
	_ = c.Conn.SetReadDeadline(interruptedDeadline) // fails only if the connection is closed
}
