package resourcelimit

import "sync"

// EndpointLimits bounds connections to servers by address, over all pools that have a server: how many one bears is one number,
// whoever opens them. Any goroutine may use it.
type EndpointLimits struct {
	mu  sync.Mutex
	all map[string]*capped
	due int // addresses at which those that nobody has any more are looked for
}

type capped struct {
	pot     *SharedLimit
	members map[*EndpointLimit]struct{}
}

// EndpointLimit is one pool's part of a server's connections. Half of the whole is guaranteed to the pools evenly, so that one that
// keeps its connections busy can't lock the other out; the rest goes to whom it serves.
type EndpointLimit struct {
	*Allotment
	caps *EndpointLimits
	at   *capped
	most int
}

const capsLeast = 64 // addresses that are kept without looking whether they are used

// NewEndpointLimits makes one that knows no server.
func NewEndpointLimits() *EndpointLimits {
	return &EndpointLimits{all: map[string]*capped{}, due: capsLeast}
}

// Join makes a pool's part of the connections to an address, which are so many at most: the least that any pool says.
// The function is called when another pool wants a connection that this one has borrowed; see [SharedLimit.Join].
func (c *EndpointLimits) Join(addr, pool string, most int, lowered func(n int64)) *EndpointLimit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.all) >= c.due {
		for a, s := range c.all {
			if len(s.members) == 0 && s.pot.Held() == 0 {
				delete(c.all, a)
			}
		}
		c.due = max(capsLeast, 2*len(c.all))
	}
	s := c.all[addr]
	if s == nil {
		s = &capped{pot: NewSharedLimit(0), members: map[*EndpointLimit]struct{}{}}
		c.all[addr] = s
	}
	m := &EndpointLimit{Allotment: s.pot.Join(pool, 0, lowered), caps: c, at: s, most: most}
	s.members[m] = struct{}{}
	s.divide()
	return m
}

// Leave gives the part back. Connections that are still open count until each is given.
func (m *EndpointLimit) Leave() {
	m.caps.mu.Lock()
	defer m.caps.mu.Unlock()
	if _, ok := m.at.members[m]; ok {
		delete(m.at.members, m)
		m.Allotment.Leave()
		m.at.divide()
	}
}

// divide sets the whole and the guarantees anew.
func (s *capped) divide() {
	least := 0
	for m := range s.members {
		if least == 0 || m.most < least {
			least = m.most
		}
	}
	if least == 0 {
		return // nobody is there: what is open still counts
	}
	s.pot.SetTotal(int64(least))
	for m := range s.members {
		m.SetGuarantee(int64(least) / int64(2*len(s.members)))
	}
}

// Len is how many addresses are kept.
func (c *EndpointLimits) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.all)
}
