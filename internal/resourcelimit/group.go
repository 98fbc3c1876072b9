package resourcelimit

import (
	"math"
	"sync/atomic"
)

// Group counts the client connections of one pool, which are those whose last request went to it. Connections within
// the guarantee are never evicted. Connections beyond it are borrowed: one of them is evicted, even if it is busy, when
// another group's guarantee needs the capacity. A Group is safe for concurrent use.
type Group struct {
	// Name is the pool's name.
	Name string
	// guarantee is the number of connections that cannot be evicted.
	guarantee atomic.Int64
	// held is the number of connections.
	held atomic.Int64
	// evicted is the number of connections that were evicted for another group's guarantee.
	evicted atomic.Uint64
	// refused is the number of connections that were rejected at their first request.
	refused atomic.Uint64
}

// NewGroup returns a group with a guaranteed number of connections.
func NewGroup(name string, guarantee int) *Group {
	g := &Group{Name: name}
	g.SetGuarantee(guarantee)
	return g
}

// SetGuarantee changes the guaranteed number of connections. A negative number means 0.
func (g *Group) SetGuarantee(n int) {
	g.guarantee.Store(int64(max(0, n)))
}

// Held returns the number of connections.
func (g *Group) Held() int {
	return int(g.held.Load())
}

// Evicted returns the number of connections that were evicted for another group's guarantee.
func (g *Group) Evicted() uint64 {
	return g.evicted.Load()
}

// Refused returns the number of connections that were rejected at their first request because no capacity was left to
// borrow.
func (g *Group) Refused() uint64 {
	return g.refused.Load()
}

// borrowed returns the number of connections beyond the guarantee, which is negative while the guarantee is not used
// up. A nil group stands for connections without a group, all of which count as borrowed.
func (g *Group) borrowed() int64 {
	if g == nil {
		return math.MaxInt64
	}
	return g.held.Load() - g.guarantee.Load()
}
