package resourcelimit

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	assignableFraction = 0.9                    // of the connections that may be held: from here on idle ones are closed
	idleTimeout        = 2 * time.Second        // a connection with no open request may be closed after this ...
	unusedTimeout      = 500 * time.Millisecond // ... and, where there is no such, one on which nothing was ever asked
	fullIdleTimeout    = 250 * time.Millisecond // with no place left at all, any one after this: the newcomer has a request
)

// UnassignedFraction is the part of the connections that no guarantee may cover: it is for those that have asked nothing yet.
const UnassignedFraction = 1 - assignableFraction

// ClientConnection is a client's connection, of whichever front.
type ClientConnection interface {
	// IdleSince tells since when no request is open on the connection, on the loop's clock, and whether anything was
	// ever asked on it. 0: a request is open.
	IdleSince() (since time.Duration, spoken bool)
	// CloseWhenIdle closes the connection if it still is idle. One that is not is closed after its last answer.
	CloseWhenIdle()
}

// Group is a pool's connections: those that asked it last. They stand under a guaranteed minimum; what a group has beyond
// it is borrowed, and gives way when another's guarantee needs the place, also while it is busy: then with its last answer.
type Group struct {
	Name      string
	guarantee atomic.Int64
	held      atomic.Int64
	evicted   atomic.Uint64
	refused   atomic.Uint64
}

// NewGroup makes one with a guaranteed number of connections.
func NewGroup(name string, guarantee int) *Group {
	g := &Group{Name: name}
	g.SetGuarantee(guarantee)
	return g
}

// SetGuarantee changes the guaranteed number.
func (g *Group) SetGuarantee(n int) { g.guarantee.Store(int64(max(0, n))) }

// Held is how many connections there are.
func (g *Group) Held() int { return int(g.held.Load()) }

// Evicted is how many had to give way while they were busy.
func (g *Group) Evicted() uint64 { return g.evicted.Load() }

// Refused is how many newcomers were sent away with their first request, the group having borrowed what there was.
func (g *Group) Refused() uint64 { return g.refused.Load() }

// borrowed is how many connections the group has borrowed; those that have asked nothing yet (nil) are all borrowed.
func (g *Group) borrowed() int64 {
	if g == nil {
		return 1 << 40
	}
	return g.held.Load() - g.guarantee.Load()
}

// ClientLimit bounds the clients' connections of all fronts together. All of it may be called by any goroutine.
type ClientLimit struct {
	limit int64
	now   func() time.Duration
	count atomic.Int64

	mu          sync.Mutex
	connections map[ClientConnection]*connectionState
	assigned    int64 // those that are of a group
}

// connectionState is what is known of a connection.
type connectionState struct {
	group    *Group // nil: it has asked no pool yet
	evicting bool   // it was told to give way
}

// NewClientLimit makes room for so many connections. The clock is the loop's.
func NewClientLimit(most int, now func() time.Duration) *ClientLimit {
	return &ClientLimit{limit: int64(most), now: now, connections: map[ClientConnection]*connectionState{}}
}

// HasCapacity says whether a newcomer may be taken in, and closes an idle connection for it where few places are left.
func (c *ClientLimit) HasCapacity() bool {
	n := c.count.Load()
	if float64(n) < assignableFraction*float64(c.limit) {
		return true
	}
	return c.evictIdle(n >= c.limit) || n < c.limit
}

// Add takes a connection in.
func (c *ClientLimit) Add(h ClientConnection) {
	c.count.Add(1)
	c.mu.Lock()
	c.connections[h] = &connectionState{}
	c.mu.Unlock()
}

// Assign says that a connection asks a pool's group. Whom a newcomer asks is known with its first request only, so the last
// part of the places is kept for those that have asked nothing yet; false: the group has borrowed all that there is, and the
// newcomer is to be refused and closed. One within the group's guarantee is always taken, and another group's busy
// connection, borrowed, goes for it. A connection that was taken before is never refused.
func (c *ClientLimit) Assign(h ClientConnection, to *Group) bool {
	c.mu.Lock()
	p := c.connections[h]
	if p == nil || p.group == to {
		c.mu.Unlock()
		return true
	}
	full := float64(c.assigned) >= assignableFraction*float64(c.limit)
	if p.group == nil && full && to.borrowed() >= 0 {
		c.mu.Unlock()
		to.refused.Add(1)
		return false
	}
	c.assignLocked(p, to)
	var best ClientConnection
	if full {
		best = c.selectBorrowed()
	}
	c.mu.Unlock()
	if best != nil {
		best.CloseWhenIdle()
	}
	return true
}

// assignLocked counts a connection in its new group. The caller holds mu.
func (c *ClientLimit) assignLocked(p *connectionState, to *Group) {
	if p.group != nil {
		p.group.held.Add(-1)
		c.assigned--
	}
	if p.group = to; to != nil {
		to.held.Add(1)
		c.assigned++
	}
}

// Remove takes it out, once.
func (c *ClientLimit) Remove(h ClientConnection) {
	c.mu.Lock()
	if p, ok := c.connections[h]; ok {
		c.assignLocked(p, nil)
		delete(c.connections, h)
		c.count.Add(-1)
	}
	c.mu.Unlock()
}

// Len is how many connections are held.
func (c *ClientLimit) Len() int { return int(c.count.Load()) }

// Max is how many may be held.
func (c *ClientLimit) Max() int { return int(c.limit) }

// ConnectionsOf returns the connections that are of one type, which is one front's.
func ConnectionsOf[T ClientConnection](c *ClientLimit) []T {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]T, 0, len(c.connections))
	for h := range c.connections {
		if t, ok := h.(T); ok {
			list = append(list, t)
		}
	}
	return list
}

// evictIdle closes the connection that has stood idle longest, if that may be. Clients that ask once, or never, and
// keep their connections would else fill the share, and the usual ones be turned away. Those within their group's
// guarantee stay.
func (c *ClientLimit) evictIdle(full bool) bool {
	now := c.now()
	var best ClientConnection
	var since time.Duration
	c.mu.Lock()
	for h, p := range c.connections {
		at, spoken := h.IdleSince()
		if at == 0 || p.group.borrowed() <= 0 {
			continue
		}
		switch idle := now - at; {
		case idle >= idleTimeout:
		case idle >= unusedTimeout && !spoken:
			at += idleTimeout // after those that have been idle for long
		case full && idle >= fullIdleTimeout:
			at += 2 * idleTimeout // and last those that may be asked again soon
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
	best.CloseWhenIdle()
	runtime.Gosched() // its reader gives the descriptor back
	return true
}

// selectBorrowed finds a connection of the group that has borrowed most, idle or busy: a flood that keeps all of its connections
// busy would else lock the other pools' clients out. The caller holds mu.
func (c *ClientLimit) selectBorrowed() ClientConnection {
	var best ClientConnection
	var from *connectionState
	most := int64(0)
	for h, p := range c.connections {
		if p.group == nil || p.evicting {
			continue
		}
		if over := p.group.borrowed(); over > most {
			best, from, most = h, p, over
		}
	}
	if best != nil {
		from.evicting = true
		from.group.evicted.Add(1)
	}
	return best
}
