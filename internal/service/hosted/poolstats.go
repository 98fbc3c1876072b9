package hosted

import (
	"cmp"
	"slices"

	"gapgap/internal/resourcelimit"
)

// PoolStats are the state of one pool.
type PoolStats struct {
	Name string
	// Requests is the number of requests that hold the pool now.
	Requests int
	// Memory and Places are zero if there is one pool. Places are connections to endpoints.
	Memory resourcelimit.AllotmentStats
	Places resourcelimit.AllotmentStats
	// Clients is the number of connections that sent their last request to the pool.
	Clients int
	// Evicted counts clients' connections of the pool that were closed for another pool's guarantee.
	Evicted uint64
	// Refused counts clients' connections that were closed with their first request, since the pool's guarantee was
	// used up and there was nothing to borrow.
	Refused uint64
}

// PoolStats returns the state of all pools, sorted by name.
func (s *Service) PoolStats() []PoolStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []PoolStats
	for name, p := range s.pools {
		all = append(all, p.stats(name))
	}
	slices.SortFunc(all, func(a, b PoolStats) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// stats returns the state of a pool of a name.
func (p *pool) stats(name string) PoolStats {
	stats := PoolStats{Name: name, Requests: p.proxy.Busy()}
	if p.limits != nil {
		stats.Memory = p.limits.memory.Allotment().Stats()
		stats.Places = p.limits.sockets.Stats()
		stats.Clients = p.limits.clients.Held()
		stats.Evicted = p.limits.clients.Evicted()
		stats.Refused = p.limits.clients.Refused()
	}
	return stats
}
