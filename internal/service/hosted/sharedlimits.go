package hosted

import (
	"sync/atomic"

	"gapgap/internal/proxy"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/service"
)

// maxGuaranteeSum bounds the sum of the pools' guarantees: the rest is for commands and connections whose pool is not
// known yet.
const maxGuaranteeSum = 1 - resourcelimit.UnassignedFraction

// sharedLimits bound what the pools of a process hold in common: clients' bytes, clients' connections and connections
// to endpoints. Each pool has a guaranteed part and borrows beyond it. Package resourcelimit decides who gets what: for
// clients' connections see [resourcelimit.ClientLimit.Assign], for the others [resourcelimit.SharedLimit] and
// [resourcelimit.EndpointLimits]. A nil sharedLimits stands for a process with one pool.
type sharedLimits struct {
	memory  *resourcelimit.SharedLimit
	sockets *resourcelimit.SharedLimit
	// unassigned has the bytes of commands whose pool is not known yet.
	unassigned *resourcelimit.Allotment
	endpoints  *resourcelimit.EndpointLimits
	// maxClients bounds the clients' connections of all pools together. Only the pools' guarantees are reckoned from it
	// here; Env.Conns holds the limit.
	maxClients int
}

// newSharedLimits returns the limits of a process, or nil if it has one pool.
func newSharedLimits(cfg *Config, maxClients int) *sharedLimits {
	if !cfg.HasPools {
		return nil
	}
	sockets := max(1, service.BackendSockets(cfg.Node.Sockets))
	limits := &sharedLimits{
		memory:     resourcelimit.NewSharedLimit(service.ClientMemory(cfg.Node.MemoryMB)),
		sockets:    resourcelimit.NewSharedLimit(int64(sockets)),
		endpoints:  resourcelimit.NewEndpointLimits(),
		maxClients: maxClients,
	}
	unassigned := int64(float64(limits.memory.Total()) * resourcelimit.UnassignedFraction)
	limits.unassigned = limits.memory.Join("", unassigned, nil)
	return limits
}

// poolLimits are one pool's part of the shared limits. A nil poolLimits, of the only pool, bounds nothing.
type poolLimits struct {
	shared  *sharedLimits
	memory  *resourcelimit.Bytes
	clients *resourcelimit.Group
	// sockets is nil until the pool's proxy is made.
	sockets *resourcelimit.Allotment
	// isReclaiming tells that the pool was asked to release sockets and has not done so yet.
	isReclaiming atomic.Bool
}

// join adds the part of a pool, without guarantees.
func (s *sharedLimits) join(name string) *poolLimits {
	if s == nil {
		return nil
	}
	return &poolLimits{
		shared:  s,
		memory:  resourcelimit.NewSharedBytes(s.memory.Join(name, 0, nil)),
		clients: resourcelimit.NewGroup(name, 0),
	}
}

// setGuarantee sets the guaranteed part of each shared limit, from 0 to 1.
func (l *poolLimits) setGuarantee(part float64) {
	if l == nil {
		return
	}
	l.memory.Allotment().SetGuarantee(int64(part * float64(l.shared.memory.Total())))
	l.clients.SetGuarantee(int(part * float64(l.shared.maxClients)))
	if l.sockets != nil {
		l.sockets.SetGuarantee(int64(part * float64(l.shared.sockets.Total())))
	}
}

// leave removes the part of a pool. What the pool still holds counts until it is released.
func (l *poolLimits) leave() {
	if l == nil {
		return
	}
	l.memory.Allotment().Leave()
	l.clients.SetGuarantee(0)
	if l.sockets != nil {
		l.sockets.Leave()
	}
}

// setParts sets the limits among the parts that a pool's proxy is made of. maxServerConnections bounds the connections
// to one endpoint, over all pools; 0 means no bound.
func (l *poolLimits) setParts(parts *service.Parts, maxServerConnections int) {
	if l == nil {
		return
	}
	parts.Memory = l.memory
	parts.Clients = l.clients
	parts.Places = func(p *proxy.Proxy) *resourcelimit.Allotment {
		l.sockets = l.shared.sockets.Join(p.Name, 0, l.reclaimer(p, ""))
		return l.sockets
	}
	if maxServerConnections > 0 {
		parts.Cap = func(p *proxy.Proxy, address string) *resourcelimit.EndpointLimit {
			return l.shared.endpoints.Join(address, p.Name, maxServerConnections, l.reclaimer(p, address))
		}
	}
}

// reclaimer returns what has a pool close n idle connections for another pool; to one address only, unless that is
// empty. A pool has one such request at a time, whatever its address; others are dropped meanwhile.
func (l *poolLimits) reclaimer(p *proxy.Proxy, address string) func(n int64) {
	return func(n int64) {
		if !l.isReclaiming.CompareAndSwap(false, true) {
			return
		}
		go func() { // posting may wait, and the caller must not
			p.CloseIdle(n, address)
			l.isReclaiming.Store(false)
		}()
	}
}
