package authz

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// idleLeast is how long nothing may have gone by on a connection before it may be closed for another: less would cross
// a request that is on its way through net/http.
const idleLeast = 200 * time.Millisecond

// conn is a proxy's connection under the budget that all fronts share.
type conn struct {
	net.Conn
	fr      *Front
	trusted bool         // by its address
	open    atomic.Int32 // requests that a handler has
	last    atomic.Int64 // when bytes last went by, on the loop's clock
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
		c.last.Store(int64(c.fr.core.Now()))
	}
	return n, err
}

// Write implements [net.Conn].
func (c *conn) Write(b []byte) (int, error) {
	c.last.Store(int64(c.fr.core.Now()))
	return c.Conn.Write(b)
}

// Close implements [net.Conn].
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.fr.core.Conns.Remove(c)
	return c.Conn.Close()
}

// Idle implements [budget.Holder].
func (c *conn) Idle() (time.Duration, bool) {
	if c.open.Load() > 0 {
		return 0, true
	}
	return time.Duration(c.last.Load()), c.spoken.Load()
}

// GiveWay implements [budget.Holder].
func (c *conn) GiveWay() {
	c.mu.Lock()
	idle := c.open.Load() == 0 && c.fr.core.Now()-time.Duration(c.last.Load()) >= idleLeast
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		c.Close()
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
		if !l.fr.core.Conns.Room() {
			l.fr.s.Figures.NoRoom.Add(1)
			nc.SetWriteDeadline(time.Now().Add(time.Second))
			nc.Write(l.full)
			nc.Close()
			continue
		}
		c := &conn{Conn: nc, fr: l.fr, trusted: l.fr.cfg.trusts(nc.RemoteAddr())}
		c.last.Store(int64(l.fr.core.Now()))
		l.fr.core.Conns.Add(c)
		return c, nil
	}
}
