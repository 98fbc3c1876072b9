package resourcelimit

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// assignableFraction is the fraction of the connections that groups may hold. Beyond it, idle connections are
	// evicted.
	assignableFraction = 0.9
	// UnassignedFraction is the fraction of the connections that guarantees must leave free: it is reserved for
	// connections that have not sent a request yet.
	UnassignedFraction = 1 - assignableFraction
	// endingFraction is the fraction of the limit by which evicted connections that have not ended yet may exceed it.
	endingFraction = 1.0 / 16
)

// Times after which a connection without an open request may be evicted, in the order of eviction.
const (
	// idleTimeout applies to every connection.
	idleTimeout = 2 * time.Second
	// unusedTimeout applies to a connection that has never sent a request.
	unusedTimeout = 500 * time.Millisecond
	// fullIdleTimeout applies to every connection when the limit is reached.
	fullIdleTimeout = 250 * time.Millisecond
)

// ClientConnection is a client's connection to a frontend.
type ClientConnection interface {
	// IdleSince returns the event loop's time since which no request has been open, or 0 while one is open, and whether
	// the connection has ever sent a request.
	IdleSince() (since time.Duration, used bool)
	// CloseWhenIdle ends the connection: at once if it is idle, otherwise after its last response. A request that was
	// read from it, or has arrived by then, gets a response first. It does not block.
	CloseWhenIdle()
}

// ClientLimit bounds the client connections of all frontends together. It is safe for concurrent use.
type ClientLimit struct {
	// limit is the maximum number of connections.
	limit int64
	// now is the event loop's clock.
	now func() time.Duration
	// count is the number of open connections.
	count atomic.Int64

	mu          sync.Mutex
	connections map[ClientConnection]*connectionState
	// assigned is the number of connections that belong to a group.
	assigned int64
}

// connectionState is the state that ClientLimit keeps for a connection.
type connectionState struct {
	// group is that of the pool that received the connection's last request; nil before the first request.
	group *Group
	// evicting is set when the connection, idle or busy, is selected for eviction. It may stay open until its last
	// response.
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

// HasCapacity reports whether a new connection may be accepted. Near the limit it evicts an idle connection to make
// room.
func (c *ClientLimit) HasCapacity() bool {
	count := c.count.Load()
	if !c.isNearLimit(count) {
		return true
	}
	full := count >= c.limit
	if float64(count) >= (1+endingFraction)*float64(c.limit) {
		return false
	}
	evicted := c.evictIdle(full)
	return evicted || !full
}

// isNearLimit reports whether count connections leave at most the unassigned fraction of the limit free.
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

// Assign moves a connection to the group of the pool that receives its current request. It returns false if this is the
// connection's first request, no more connections are assignable and the group's guarantee is used up; the caller must
// then reject the request and close the connection. A connection within the guarantee is always accepted; if no more
// are assignable, a connection of the group that has borrowed most is evicted.
func (c *ClientLimit) Assign(connection ClientConnection, group *Group) bool {
	accepted, victim := c.assign(connection, group)
	if victim != nil {
		victim.CloseWhenIdle()
	}
	return accepted
}

// assign implements Assign and returns the connection to evict, if any. The caller must close it without holding mu.
func (c *ClientLimit) assign(connection ClientConnection, group *Group) (accepted bool, victim ClientConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.connections[connection]
	if state == nil || state.group == group {
		return true, nil
	}
	full := c.isNearLimit(c.assigned)
	if full && state.group == nil && group.borrowed() >= 0 {
		group.refused.Add(1)
		return false, nil
	}
	c.assignLocked(state, group)
	if full {
		victim = c.selectBorrowed()
	}
	return true, victim
}

// assignLocked moves a connection to a group, or to none if that is nil. The caller holds mu.
func (c *ClientLimit) assignLocked(state *connectionState, group *Group) {
	if state.group != nil {
		state.group.held.Add(-1)
		c.assigned--
	}
	state.group = group
	if group != nil {
		group.held.Add(1)
		c.assigned++
	}
}

// Remove removes a connection that is closed. Further calls for the same connection have no effect.
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

// Len returns the number of open connections.
func (c *ClientLimit) Len() int {
	return int(c.count.Load())
}

// Max returns the maximum number of connections.
func (c *ClientLimit) Max() int {
	return int(c.limit)
}

// ConnectionsOf returns the connections of type T. Each frontend has its own type.
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
// Without it, clients that keep unused connections open could lock out other clients.
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

// selectIdle returns the idle connection to evict, or nil. Connections within their group's guarantee are exempt.
func (c *ClientLimit) selectIdle(now time.Duration, full bool) ClientConnection {
	c.mu.Lock()
	defer c.mu.Unlock()
	var victim ClientConnection
	var victimState *connectionState
	var lowestRank time.Duration
	for connection, state := range c.connections {
		var idle idleState
		idle.since, idle.used = connection.IdleSince()
		if idle.since == 0 || state.evicting || state.group.borrowed() <= 0 {
			continue
		}
		rank, evictable := idle.evictionRank(now, full)
		if evictable && (victim == nil || rank < lowestRank) {
			victim = connection
			victimState = state
			lowestRank = rank
		}
	}
	if victim != nil {
		victimState.evicting = true
	}
	return victim
}

// idleState is the result of a connection's IdleSince.
type idleState struct {
	// since is the event loop's time since which no request has been open.
	since time.Duration
	// used is true if the connection has ever sent a request.
	used bool
}

// evictionRank returns the rank of an idle connection in the order of eviction, lowest first, and whether it may be
// evicted at all. Connections idle for idleTimeout come first, then unused ones, then, at the limit, all others.
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

// selectBorrowed returns a connection, idle or busy, of the group that has borrowed most, or nil. Busy ones are
// included because a pool that keeps all its connections busy could otherwise lock out the other pools' clients. The
// caller holds mu.
func (c *ClientLimit) selectBorrowed() ClientConnection {
	var victim ClientConnection
	var victimState *connectionState
	mostBorrowed := int64(0)
	for connection, state := range c.connections {
		if state.group == nil || state.evicting {
			continue
		}
		if borrowed := state.group.borrowed(); borrowed > mostBorrowed {
			victim = connection
			victimState = state
			mostBorrowed = borrowed
		}
	}
	if victim != nil {
		victimState.evicting = true
		victimState.group.evicted.Add(1)
	}
	return victim
}
