package hosted

import (
	"slices"
	"sync/atomic"

	"gapgap/internal/balancer"
	"gapgap/internal/proxy"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/service"
)

// shares are the parts that the pools of a process have of what they hold in common: bytes of clients, connections of
// clients, connections to servers. Each part has a guaranteed minimum (Pool.Guarantee) and borrows beyond it.
type shares struct {
	memory, sockets *resourcelimit.SharedLimit
	unread          *resourcelimit.Allotment // bytes of commands whose pool is not known yet
	caps            *resourcelimit.EndpointLimits
	clients         int // places for clients' connections
}

// maxGuaranteeSum is what all guarantees may cover together: the rest is for commands and connections whose pool is not known.
const maxGuaranteeSum = 1 - resourcelimit.UnassignedFraction

// newShares makes the parts of a process; nil: it has one pool, and nothing is to be shared.
func newShares(cfg *Config, clients int) *shares {
	if !cfg.HasPools {
		return nil
	}
	s := &shares{memory: resourcelimit.NewSharedLimit(service.ClientMemory(cfg.Node.MemoryMB)),
		sockets: resourcelimit.NewSharedLimit(int64(max(1, service.BackendSockets(cfg.Node.Sockets)))), caps: resourcelimit.NewEndpointLimits(), clients: clients}
	s.unread = s.memory.Join("", int64(float64(s.memory.Total())*resourcelimit.UnassignedFraction), nil)
	return s
}

// share is what one pool has.
type share struct {
	of      *shares
	memory  *resourcelimit.Bytes
	clients *resourcelimit.Group
	places  *resourcelimit.Allotment
	asked   atomic.Bool // to give sockets back, and has not yet
}

// join makes a pool's parts. Its guarantees begin with set.
func (s *shares) join(name string) *share {
	if s == nil {
		return nil
	}
	return &share{of: s, memory: resourcelimit.NewSharedBytes(s.memory.Join(name, 0, nil)), clients: resourcelimit.NewGroup(name, 0)}
}

// set sets the guaranteed part, from 0 to 1.
func (p *share) set(part float64) {
	if p == nil {
		return
	}
	p.memory.Allotment().SetGuarantee(int64(part * float64(p.of.memory.Total())))
	p.clients.SetGuarantee(int(part * float64(p.of.clients)))
	if p.places != nil {
		p.places.SetGuarantee(int64(part * float64(p.of.sockets.Total())))
	}
}

// leave gives the parts back; what a pool still holds of them counts until it is given.
func (p *share) leave() {
	if p == nil {
		return
	}
	p.memory.Allotment().Leave()
	p.clients.SetGuarantee(0)
	if p.places != nil {
		p.places.Leave()
	}
}

// parts puts a pool's parts into what its core is made of.
func (p *share) parts(to *service.Parts, most int) {
	if p == nil {
		return
	}
	to.Memory, to.Clients = p.memory, p.clients
	to.Places = func(c *proxy.Proxy) *resourcelimit.Allotment {
		p.places = p.of.sockets.Join(c.Name, 0, p.yield(c, ""))
		return p.places
	}
	if most > 0 {
		to.Cap = func(c *proxy.Proxy, addr string) *resourcelimit.EndpointLimit {
			return p.of.caps.Join(addr, c.Name, most, p.yield(c, addr))
		}
	}
}

// yield asks a pool's loop to close idle connections for another pool. One such task waits at a time, so that a pool which
// is asked at each request of a flood is not flooded by that.
func (p *share) yield(c *proxy.Proxy, addr string) func(int64) {
	return func(n int64) {
		if p.asked.CompareAndSwap(false, true) {
			go func() { // it may wait for a place in the queue; who asks must not
				c.CloseIdle(n, addr)
				p.asked.Store(false)
			}()
		}
	}
}

// found takes what a pool has found out about a server to the other pools that have it. Only the pool's loop goroutine may
// call it.
func (b *box) found(f balancer.HealthReport) {
	b.m.mu.Lock()
	defer b.m.mu.Unlock()
	for _, p := range b.m.fleet.Peers(b.key, f.Endpoint) {
		f.Endpoint = p.Name
		b.m.put(p.Pool, news{finding: f, found: true}, nil)
	}
}

// PoolFigures tell of a pool.
type PoolFigures struct {
	Name           string
	Requests       int // that hold the pool now
	Memory, Places resourcelimit.AllotmentStats
	Clients        int    // connections that asked it last
	Evicted        uint64 // connections that had to go for another pool's guarantee
	Refused        uint64 // newcomers sent away, the pool having borrowed what there was
}

// Figures tells of all pools, by name.
func (s *Service) Figures() []PoolFigures {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []PoolFigures
	for name, p := range s.pools {
		f := PoolFigures{Name: name, Requests: p.core.Busy()}
		if p.share != nil {
			f.Memory, f.Places = p.share.memory.Allotment().Stats(), p.share.places.Stats()
			f.Clients, f.Evicted, f.Refused = p.share.clients.Held(), p.share.clients.Evicted(), p.share.clients.Refused()
		}
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b PoolFigures) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}
