package resourcelimit

import (
	"math"
	"sync/atomic"
)

// Group counts the client connections of one pool: those whose last request went to it. Connections within its
// guarantee are never evicted. Those beyond it are borrowed; a borrowed one is evicted, even if it is busy, when
// another group's guarantee needs the capacity. Its methods are safe for concurrent use.
type Group struct {
	// Name is the pool's name.
	Name string
	// guarantee is the number of connections that can't be evicted.
	guarantee atomic.Int64
	// held is the number of connections.
	held atomic.Int64
	// evicted counts the connections evicted for another group's guarantee.
	evicted atomic.Uint64
	// refused counts the new connections that were rejected.
	refused atomic.Uint64
}

// NewGroup returns a group with a guaranteed number of connections.
func NewGroup(name string, guarantee int) *Group {
	g := &Group{Name: name}
	g.SetGuarantee(guarantee)
	return g
}

// SetGuarantee changes the guaranteed number of connections. A negative number means zero.
func (g *Group) SetGuarantee(n int) {
	g.guarantee.Store(int64(max(0, n)))
}

// Held returns the number of connections.
func (g *Group) Held() int {
	return int(g.held.Load())
}

// Evicted returns how many connections were evicted for another group's guarantee.
func (g *Group) Evicted() uint64 {
	return g.evicted.Load()
}

// Refused returns how many connections were rejected with their first request because nothing was left to borrow.
func (g *Group) Refused() uint64 {
	return g.refused.Load()
}

// borrowed returns the number of connections beyond the guarantee; it is negative while the guarantee is not used up.
// Connections without a group (nil) are all borrowed.
func (g *Group) borrowed() int64 {
	if g == nil {
		return math.MaxInt64
	}
	return g.held.Load() - g.guarantee.Load()
}
