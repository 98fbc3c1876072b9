package extauthz

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gapgap/internal/cpuscheduler"
	"gapgap/internal/proxy"
)

// idleLeast is how long nothing may have gone by on a connection before it may be closed for another: less would cross
// a request that is on its way through net/http.
const idleLeast = 200 * time.Millisecond

// conn is a proxy's connection under the budget that all fronts share.
type conn struct {
	net.Conn
	fr      *Front
	trusted bool                        // by its address
	pool    atomic.Pointer[proxy.Proxy] // that it asked last; nil: none yet
	leave   atomic.Bool                 // to be closed with its next answer
	born    time.Duration
	open    atomic.Int32 // requests that a handler has
	last    atomic.Int64 // when bytes last went by, on the loop's clock
	begun   atomic.Int64 // when the first bytes came that no handler has yet; 0: there are none
	came    atomic.Int64 // bytes that came since a handler began last
	multi   atomic.Bool  // it speaks HTTP/2: frames come that belong to no check
	spoken  atomic.Bool

	mu     sync.Mutex
	closed bool
}

// Read implements [net.Conn]. What comes on a connection that has given way is not read any more: it counts as crossing
// the close.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closed {
			return 0, net.ErrClosed
		}
		now := int64(c.fr.env.Coarse())
		c.last.Store(now)
		c.came.Add(int64(n))
		if c.open.Load() == 0 {
			c.begun.CompareAndSwap(0, now)
		}
	}
	return n, err
}

// gate is the way to the processor of the pool that it asked last.
func (c *conn) gate() *cpuscheduler.Flow {
	if p := c.pool.Load(); p != nil && p.Scheduler != nil {
		return p.Scheduler
	}
	return c.fr.env.Scheduler
}

// join takes the connection to a pool, whose part of the connections bears it from here on. false: the pool has no place
// for a newcomer.
func (c *conn) join(p *proxy.Proxy) bool {
	if c.pool.Load() == p {
		return true
	}
	if p.Clients != nil && !c.fr.env.Conns.Assign(c, p.Clients) {
		return false
	}
	c.pool.Store(p)
	return true
}

// handled says that a handler has a request, and how many bytes came for it.
func (c *conn) handled(multi bool) int64 {
	c.open.Add(1)
	c.begun.Store(0)
	if !c.spoken.Load() {
		c.spoken.Store(true)
		c.multi.Store(multi)
	}
	return c.came.Swap(0)
}

// late says that the connection has been given its time: a request that has begun must come whole within that for
// headers, and so must the first one of a connection; between two checks the idle time holds. net/http's own deadlines
// do the same at the cost of three timers a check.
func (c *conn) late(now time.Duration) bool {
	if c.open.Load() > 0 {
		return false
	}
	last, begun := time.Duration(c.last.Load()), time.Duration(c.begun.Load())
	if !c.spoken.Load() {
		return now-c.born > c.fr.cfg.HeaderTimeout
	}
	if begun > 0 && !c.multi.Load() && now-begun > c.fr.cfg.HeaderTimeout {
		return true
	}
	return now-last > c.fr.cfg.IdleTimeout
}

// Write implements [net.Conn].
func (c *conn) Write(b []byte) (int, error) {
	c.last.Store(int64(c.fr.env.Coarse()))
	return c.Conn.Write(b)
}

// Close implements [net.Conn].
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.fr.env.Conns.Remove(c)
	return c.Conn.Close()
}

// IdleSince implements [resourcelimit.ClientConnection].
func (c *conn) IdleSince() (time.Duration, bool) {
	if c.open.Load() > 0 {
		return 0, true
	}
	return time.Duration(c.last.Load()), c.spoken.Load()
}

// CloseWhenIdle implements [resourcelimit.ClientConnection].
func (c *conn) CloseWhenIdle() {
	c.mu.Lock()
	idle := c.open.Load() == 0 && c.fr.env.Now()-time.Duration(c.last.Load()) >= idleLeast
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		c.Close()
	} else {
		c.leave.Store(true) // net/http closes it then: at HTTP/2 once its streams have ended
	}
}

// listener takes connections in under the budget.
type listener struct {
	net.Listener
	fr   *Front
	full []byte // what a connection is told for which there is no room; nil: nothing
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil { // out of descriptors, say: what was taken goes on meanwhile
			l.fr.log.Warn("accept", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !l.fr.env.Conns.HasCapacity() {
			l.fr.s.Figures.NoRoom.Add(1)
			nc.SetWriteDeadline(time.Now().Add(time.Second))
			nc.Write(l.full)
			nc.Close()
			continue
		}
		c := &conn{Conn: nc, fr: l.fr, trusted: l.fr.cfg.trusts(nc.RemoteAddr())}
		c.born = l.fr.env.Now()
		c.last.Store(int64(c.born))
		l.fr.env.Conns.Add(c)
		return c, nil
	}
}
