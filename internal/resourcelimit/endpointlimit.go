package resourcelimit

import "sync"

const (
	// minCleanupSize is the number of addresses from which on unused ones are removed.
	minCleanupSize = 64
	// cleanupGrowth is the growth of the address table, as a factor, between two removals of unused addresses.
	cleanupGrowth = 2
	// guaranteeDivisor sets aside one part in that many of an endpoint's connections as guarantees.
	guaranteeDivisor = 2
)

// EndpointLimits bounds the connections to each endpoint, by address, over all pools that use it. It is safe for
// concurrent use.
type EndpointLimits struct {
	mu        sync.Mutex
	endpoints map[string]*sharedEndpoint
	// cleanupSize is the number of addresses at which unused ones are removed next.
	cleanupSize int
}

// sharedEndpoint is one address with the pools that use it.
type sharedEndpoint struct {
	limit   *SharedLimit
	members map[*EndpointLimit]struct{}
}

// EndpointLimit is one pool's part of an endpoint's connections. Half of the connections are guaranteed to the pools in
// equal parts, so that no pool can lock another out; the rest goes to the pool that asks first.
type EndpointLimit struct {
	*Allotment
	limits   *EndpointLimits
	endpoint *sharedEndpoint
	// maxConnections is the pool's own bound on the endpoint's connections.
	maxConnections int
}

// NewEndpointLimits returns limits without any address.
func NewEndpointLimits() *EndpointLimits {
	return &EndpointLimits{
		endpoints:   map[string]*sharedEndpoint{},
		cleanupSize: minCleanupSize,
	}
}

// Join returns a pool's part of the connections to an address. The endpoint's limit is the lowest maxConnections of its
// pools. For reclaim see [SharedLimit.Join].
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

// removeUnused removes the addresses that no pool uses and that have no open connection. The caller holds mu.
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

// Leave gives up the pool's part. Connections that are still open count until each is released.
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

// redistribute sets the endpoint's total and the pools' guarantees after a pool joined or left. Without pools the total
// stays. The caller holds the mutex of the EndpointLimits.
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

// lowestMaximum returns the lowest bound that a pool sets, or 0 if no pool uses the endpoint.
func (e *sharedEndpoint) lowestMaximum() int {
	lowest := 0
	for member := range e.members {
		if lowest == 0 || member.maxConnections < lowest {
			lowest = member.maxConnections
		}
	}
	return lowest
}
