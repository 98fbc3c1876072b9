package resourcelimit

import "sync"

// EndpointLimits bounds connections to servers by address, over all pools that have a server: how many one bears is one number,
// whoever opens them. Any goroutine may use it.
type EndpointLimits struct {
	mu          sync.Mutex
	endpoints   map[string]*sharedEndpoint
	cleanupSize int // addresses at which those that nobody has any more are looked for
}

type sharedEndpoint struct {
	limit   *SharedLimit
	members map[*EndpointLimit]struct{}
}

// EndpointLimit is one pool's part of a server's connections. Half of the whole is guaranteed to the pools evenly, so that one that
// keeps its connections busy can't lock the other out; the rest goes to whom it serves.
type EndpointLimit struct {
	*Allotment
	limits         *EndpointLimits
	endpoint       *sharedEndpoint
	maxConnections int
}

const minCleanupSize = 64 // addresses that are kept without looking whether they are used

// NewEndpointLimits makes one that knows no server.
func NewEndpointLimits() *EndpointLimits {
	return &EndpointLimits{endpoints: map[string]*sharedEndpoint{}, cleanupSize: minCleanupSize}
}

// Join makes a pool's part of the connections to an address, which are so many at most: the least that any pool says.
// The function is called when another pool wants a connection that this one has borrowed; see [SharedLimit.Join].
func (c *EndpointLimits) Join(addr, pool string, most int, lowered func(n int64)) *EndpointLimit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.endpoints) >= c.cleanupSize {
		for a, s := range c.endpoints {
			if len(s.members) == 0 && s.limit.Held() == 0 {
				delete(c.endpoints, a)
			}
		}
		c.cleanupSize = max(minCleanupSize, 2*len(c.endpoints))
	}
	s := c.endpoints[addr]
	if s == nil {
		s = &sharedEndpoint{limit: NewSharedLimit(0), members: map[*EndpointLimit]struct{}{}}
		c.endpoints[addr] = s
	}
	m := &EndpointLimit{Allotment: s.limit.Join(pool, 0, lowered), limits: c, endpoint: s, maxConnections: most}
	s.members[m] = struct{}{}
	s.redistribute()
	return m
}

// Leave gives the part back. Connections that are still open count until each is given.
func (m *EndpointLimit) Leave() {
	m.limits.mu.Lock()
	defer m.limits.mu.Unlock()
	if _, ok := m.endpoint.members[m]; ok {
		delete(m.endpoint.members, m)
		m.Allotment.Leave()
		m.endpoint.redistribute()
	}
}

// redistribute sets the whole and the guarantees anew.
func (s *sharedEndpoint) redistribute() {
	least := 0
	for m := range s.members {
		if least == 0 || m.maxConnections < least {
			least = m.maxConnections
		}
	}
	if least == 0 {
		return // nobody is there: what is open still counts
	}
	s.limit.SetTotal(int64(least))
	for m := range s.members {
		m.SetGuarantee(int64(least) / int64(2*len(s.members)))
	}
}

// Len is how many addresses are kept.
func (c *EndpointLimits) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.endpoints)
}
