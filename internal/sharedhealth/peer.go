package sharedhealth

import (
	"cmp"
	"slices"
)

// Peer identifies the entry of an endpoint in another pool.
type Peer struct {
	// Pool is the name of the other pool.
	Pool string
	// Name is the endpoint's name there.
	Name string
}

// Peers returns the entries that other pools have for an endpoint of a pool, ordered by pool and name. These entries
// also get the pool's health reports about the endpoint.
func (r *Registry) Peers(pool, name string) []Peer {
	e := r.pools[pool][name]
	if e == nil {
		return nil
	}
	var peers []Peer
	for other := range r.byAddress[e.reported.Address] {
		if other.pool != pool {
			peers = append(peers, Peer{Pool: other.pool, Name: other.reported.Name})
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Name, b.Name))
	})
	return peers
}
