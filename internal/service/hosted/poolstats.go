package hosted

import (
	"cmp"
	"slices"

	"gapgap/internal/resourcelimit"
)

// PoolStats describes the load of one pool.
type PoolStats struct {
	Name string
	// Requests is the number of requests in progress.
	Requests int
	// Memory and Places are zero if the file has no [[pool]] tables. Places counts connections to endpoints.
	Memory resourcelimit.AllotmentStats
	Places resourcelimit.AllotmentStats
	// Clients is the number of client connections whose last request was for the pool.
	Clients int
	// Evicted counts client connections of the pool that were closed to meet another pool's guarantee.
	Evicted uint64
	// Refused counts client connections that were closed at their first request because the pool's guarantee was used
	// up and nothing could be borrowed.
	Refused uint64
}

// PoolStats returns the stats of all pools, sorted by name.
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

// stats returns the stats of a pool under a name.
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
