package resourcelimit

import "sync"

const (
	// minCleanupSize is the lowest table size at which unused addresses are removed.
	minCleanupSize = 64
	// cleanupGrowth is the factor by which the address table grows between two removals of unused addresses.
	cleanupGrowth = 2
	// guaranteeDivisor determines the part of an endpoint's connections that is set aside for guarantees: one in
	// guaranteeDivisor.
	guaranteeDivisor = 2
)

// EndpointLimits bounds the connections to each endpoint address across all pools that use it. It is safe for
// concurrent use.
type EndpointLimits struct {
	mu        sync.Mutex
	endpoints map[string]*sharedEndpoint
	// cleanupSize is the table size at which unused addresses are removed next.
	cleanupSize int
}

// sharedEndpoint is an endpoint address with the limits of the pools that use it.
type sharedEndpoint struct {
	limit   *SharedLimit
	members map[*EndpointLimit]struct{}
}

// EndpointLimit is one pool's allotment of an endpoint's connections. Half of the connections are divided evenly among
// the pools as guarantees, so that no pool can lock out another; the rest is first come, first served.
type EndpointLimit struct {
	*Allotment
	limits   *EndpointLimits
	endpoint *sharedEndpoint
	// maxConnections is the pool's own limit for the endpoint.
	maxConnections int
}

// NewEndpointLimits returns limits without addresses.
func NewEndpointLimits() *EndpointLimits {
	return &EndpointLimits{
		endpoints:   map[string]*sharedEndpoint{},
		cleanupSize: minCleanupSize,
	}
}

// Join adds a pool to an address and returns its allotment of the connections. The endpoint's total is the lowest
// maxConnections of its pools. For reclaim see [SharedLimit.Join].
func (l *EndpointLimits) Join(address, pool string, maxConnections int, reclaim func(n int64)) *EndpointLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.endpoints) >= l.cleanupSize {
		l.removeUnused()
	}
	endpoint := l.endpoints[address]
	if endpoint == nil {
		endpoint = &sharedEndpoint{
			limit:   NewSharedLimit(0),
			members: map[*EndpointLimit]struct{}{},
		}
		l.endpoints[address] = endpoint
	}
	member := &EndpointLimit{
		Allotment:      endpoint.limit.Join(pool, 0, reclaim),
		limits:         l,
		endpoint:       endpoint,
		maxConnections: maxConnections,
	}
	endpoint.members[member] = struct{}{}
	endpoint.redistribute()
	return member
}

// removeUnused removes the addresses that have neither a pool nor an open connection. The caller holds mu.
func (l *EndpointLimits) removeUnused() {
	for address, endpoint := range l.endpoints {
		if len(endpoint.members) == 0 && endpoint.limit.Held() == 0 {
			delete(l.endpoints, address)
		}
	}
	l.cleanupSize = max(minCleanupSize, cleanupGrowth*len(l.endpoints))
}

// Len returns the number of addresses in the table.
func (l *EndpointLimits) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.endpoints)
}

// Leave removes the pool from the endpoint. Connections that are still open count until they are released.
func (m *EndpointLimit) Leave() {
	m.limits.mu.Lock()
	defer m.limits.mu.Unlock()
	if _, ok := m.endpoint.members[m]; !ok {
		return
	}
	delete(m.endpoint.members, m)
	m.Allotment.Leave()
	m.endpoint.redistribute()
}

// redistribute recomputes the endpoint's total and the pools' guarantees after a pool joined or left. Without pools the
// total is unchanged. The caller holds the mutex of the EndpointLimits.
func (e *sharedEndpoint) redistribute() {
	total := e.lowestMaximum()
	if total == 0 {
		return
	}
	e.limit.SetTotal(int64(total))
	guarantee := int64(total) / int64(guaranteeDivisor*len(e.members))
	for member := range e.members {
		member.SetGuarantee(guarantee)
	}
}

// lowestMaximum returns the lowest maxConnections of the pools, or 0 if no pool uses the endpoint.
func (e *sharedEndpoint) lowestMaximum() int {
	lowest := 0
	for member := range e.members {
		if lowest == 0 || member.maxConnections < lowest {
			lowest = member.maxConnections
		}
	}
	return lowest
}
