package budget

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	nearCap     = 0.9                    // of the connections that may be held: from here on idle ones are closed
	idleAfter   = 2 * time.Second        // a connection with no open request may be closed after this ...
	silentAfter = 500 * time.Millisecond // ... and, where there is no such, one on which nothing was ever asked
	crowdAfter  = 250 * time.Millisecond // with no place left at all, any one after this: the newcomer has a request
)

// Holder is a client's connection, of whichever front.
type Holder interface {
	// Idle tells since when no request is open on the connection, on the loop's clock, and whether anything was
	// ever asked on it. 0: a request is open.
	Idle() (since time.Duration, spoken bool)
	// GiveWay closes the connection if it still is idle. One that is not is closed after its last answer.
	GiveWay()
}

// Conns bounds the clients' connections of all fronts together. All of it may be called by any goroutine.
type Conns struct {
	most  int64
	now   func() time.Duration
	count atomic.Int64

	mu  sync.Mutex
	all map[Holder]struct{}
}

// NewConns makes room for so many connections. The clock is the loop's.
func NewConns(most int, now func() time.Duration) *Conns {
	return &Conns{most: int64(most), now: now, all: map[Holder]struct{}{}}
}

// Room says whether a newcomer may be taken in, and closes an idle connection for it where few places are left.
func (c *Conns) Room() bool {
	n := c.count.Load()
	return float64(n) < nearCap*float64(c.most) || c.makeRoom(n >= c.most) || n < c.most
}

// Add takes a connection in.
func (c *Conns) Add(h Holder) {
	c.count.Add(1)
	c.mu.Lock()
	c.all[h] = struct{}{}
	c.mu.Unlock()
}

// Remove takes it out, once.
func (c *Conns) Remove(h Holder) {
	c.mu.Lock()
	if _, ok := c.all[h]; ok {
		delete(c.all, h)
		c.count.Add(-1)
	}
	c.mu.Unlock()
}

// Len is how many connections are held.
func (c *Conns) Len() int { return int(c.count.Load()) }

// Most is how many may be held.
func (c *Conns) Most() int { return int(c.most) }

// Of returns the connections that are of one type, which is one front's.
func Of[T Holder](c *Conns) []T {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]T, 0, len(c.all))
	for h := range c.all {
		if t, ok := h.(T); ok {
			list = append(list, t)
		}
	}
	return list
}

// makeRoom closes the connection that has stood idle longest, if that may be. Clients that ask once, or never, and
// keep their connections would else fill the share, and the usual ones be turned away.
func (c *Conns) makeRoom(full bool) bool {
	now := c.now()
	var best Holder
	var since time.Duration
	c.mu.Lock()
	for h := range c.all {
		at, spoken := h.Idle()
		if at == 0 {
			continue
		}
		switch idle := now - at; {
		case idle >= idleAfter:
		case idle >= silentAfter && !spoken:
			at += idleAfter // after those that have been idle for long
		case full && idle >= crowdAfter:
			at += 2 * idleAfter // and last those that may be asked again soon
		default:
			continue
		}
		if best == nil || at < since {
			best, since = h, at
		}
	}
	c.mu.Unlock()
	if best == nil {
		return false
	}
	best.GiveWay()
	runtime.Gosched() // its reader gives the descriptor back
	return true
}
