package resourcelimit

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// assignableFraction is the part of the connections that groups may hold. Beyond it idle connections are evicted.
	assignableFraction = 0.9
	// UnassignedFraction is the part of the connections that no guarantee may cover: it is reserved for connections
	// that have not sent a request yet.
	UnassignedFraction = 1 - assignableFraction
)

// Times after which a connection without an open request may be evicted. They are also the order of eviction.
const (
	// idleTimeout applies to every connection.
	idleTimeout = 2 * time.Second
	// unusedTimeout applies to a connection that has never sent a request.
	unusedTimeout = 500 * time.Millisecond
	// fullIdleTimeout applies to every connection once the limit is reached.
	fullIdleTimeout = 250 * time.Millisecond
)

// ClientConnection is a client's connection to a frontend.
type ClientConnection interface {
	// IdleSince returns the event loop's time since which no request is open, or 0 while one is open, and whether the
	// connection has ever sent a request.
	IdleSince() (since time.Duration, used bool)
	// CloseWhenIdle closes the connection now if it is idle, otherwise after its last answer.
	CloseWhenIdle()
}

// ClientLimit bounds the client connections of all frontends together. It is safe for concurrent use.
type ClientLimit struct {
	// limit is the number of connections that may be held.
	limit int64
	// now is the event loop's clock.
	now func() time.Duration
	// count is the number of connections held.
	count atomic.Int64

	mu          sync.Mutex
	connections map[ClientConnection]*connectionState
	// assigned is the number of connections that belong to a group.
	assigned int64
}

// connectionState is what ClientLimit records about a connection.
type connectionState struct {
	// group is the pool that the connection's last request went to; nil before its first request.
	group *Group
	// evicting is set once the connection was selected for eviction while it may be busy.
	evicting bool
}

// NewClientLimit returns a limit of that many connections. The clock is the event loop's.
func NewClientLimit(limit int, now func() time.Duration) *ClientLimit {
	return &ClientLimit{
		limit:       int64(limit),
		now:         now,
		connections: map[ClientConnection]*connectionState{},
	}
}

// HasCapacity reports whether a new connection may be accepted. Near the limit it evicts an idle one for it.
func (c *ClientLimit) HasCapacity() bool {
	count := c.count.Load()
	if !c.isNearLimit(count) {
		return true
	}
	full := count >= c.limit
	evicted := c.evictIdle(full)
	return evicted || !full
}

// isNearLimit reports whether that many connections leave only the unassigned part of the limit.
func (c *ClientLimit) isNearLimit(count int64) bool {
	return float64(count) >= assignableFraction*float64(c.limit)
}

// Add counts an accepted connection.
func (c *ClientLimit) Add(connection ClientConnection) {
	c.count.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections[connection] = &connectionState{}
}

// Assign moves a connection to the group of the pool that it sends a request to. It returns false if this is the
// connection's first request, the groups hold all they may and the group's guarantee is used up: the caller then
// rejects the request and closes the connection. A connection within the guarantee is always accepted; a borrowed one
// of another group is evicted for it.
func (c *ClientLimit) Assign(connection ClientConnection, to *Group) bool {
	accepted, victim := c.assign(connection, to)
	if victim != nil {
		victim.CloseWhenIdle()
	}
	return accepted
}

// assign does the work of Assign and returns the connection to evict, if any. The caller closes it without the lock.
func (c *ClientLimit) assign(connection ClientConnection, to *Group) (accepted bool, victim ClientConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.connections[connection]
	if state == nil || state.group == to {
		return true, nil
	}
	full := c.isNearLimit(c.assigned)
	if full && state.group == nil && to.borrowed() >= 0 {
		to.refused.Add(1)
		return false, nil
	}
	c.assignLocked(state, to)
	if full {
		victim = c.selectBorrowed()
	}
	return true, victim
}

// assignLocked counts a connection in its new group; nil means none. The caller holds mu.
func (c *ClientLimit) assignLocked(state *connectionState, to *Group) {
	if state.group != nil {
		state.group.held.Add(-1)
		c.assigned--
	}
	state.group = to
	if to != nil {
		to.held.Add(1)
		c.assigned++
	}
}

// Remove stops counting a connection. Further calls for the same connection do nothing.
func (c *ClientLimit) Remove(connection ClientConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.connections[connection]
	if !ok {
		return
	}
	c.assignLocked(state, nil)
	delete(c.connections, connection)
	c.count.Add(-1)
}

// Len returns the number of connections held.
func (c *ClientLimit) Len() int {
	return int(c.count.Load())
}

// Max returns the number of connections that may be held.
func (c *ClientLimit) Max() int {
	return int(c.limit)
}

// ConnectionsOf returns the connections of one type, which are those of one frontend.
func ConnectionsOf[T ClientConnection](c *ClientLimit) []T {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]T, 0, len(c.connections))
	for connection := range c.connections {
		if typed, ok := connection.(T); ok {
			list = append(list, typed)
		}
	}
	return list
}

// evictIdle closes the idle connection that is first in the order of eviction and reports whether there was one.
// Clients that keep connections without using them would otherwise lock others out.
func (c *ClientLimit) evictIdle(full bool) bool {
	victim := c.selectIdle(c.now(), full)
	if victim == nil {
		return false
	}
	victim.CloseWhenIdle()
	// The connection's reader has to run for its descriptor to be closed.
	runtime.Gosched()
	return true
}

// selectIdle returns the connection to evict, or nil. Connections within their group's guarantee are exempt.
func (c *ClientLimit) selectIdle(now time.Duration, full bool) ClientConnection {
	c.mu.Lock()
	defer c.mu.Unlock()
	var victim ClientConnection
	var lowest time.Duration
	for connection, state := range c.connections {
		var idle idleState
		idle.since, idle.used = connection.IdleSince()
		if idle.since == 0 || state.group.borrowed() <= 0 {
			continue
		}
		rank, evictable := idle.evictionRank(now, full)
		if evictable && (victim == nil || rank < lowest) {
			victim = connection
			lowest = rank
		}
	}
	return victim
}

// idleState is what a connection reports by IdleSince.
type idleState struct {
	// since is the event loop's time since which no request is open.
	since time.Duration
	// used is true if the connection has ever sent a request.
	used bool
}

// evictionRank returns the place of an idle connection in the order of eviction, lowest first, and whether it may be
// evicted at all: first those idle for long, then those never used, and at the limit all others.
func (s idleState) evictionRank(now time.Duration, full bool) (rank time.Duration, evictable bool) {
	idle := now - s.since
	switch {
	case idle >= idleTimeout:
		return s.since, true
	case idle >= unusedTimeout && !s.used:
		return s.since + idleTimeout, true
	case idle >= fullIdleTimeout && full:
		return s.since + 2*idleTimeout, true
	default:
		return 0, false
	}
}

// selectBorrowed returns a connection, idle or busy, of the group that has borrowed most, or nil. A pool that keeps all
// its connections busy could otherwise lock the other pools' clients out. The caller holds mu.
func (c *ClientLimit) selectBorrowed() ClientConnection {
	var victim ClientConnection
	var victimState *connectionState
	most := int64(0)
	for connection, state := range c.connections {
		if state.group == nil || state.evicting {
			continue
		}
		if borrowed := state.group.borrowed(); borrowed > most {
			victim = connection
			victimState = state
			most = borrowed
		}
	}
	if victim != nil {
		victimState.evicting = true
		victimState.group.evicted.Add(1)
	}
	return victim
}
