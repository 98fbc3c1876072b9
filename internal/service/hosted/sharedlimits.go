package hosted

import (
	"sync/atomic"

	"gapgap/internal/proxy"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/service"
)

// maxGuaranteeSum bounds the sum of the pools' guarantees. The rest is reserved for commands and connections whose pool
// is not yet known.
const maxGuaranteeSum = 1 - resourcelimit.UnassignedFraction

// sharedLimits bounds the resources that the pools of a process share: memory for client data, client connections and
// connections to endpoints. Each pool has a guaranteed part and may borrow beyond it. Package resourcelimit implements
// the allocation: see [resourcelimit.ClientLimit.Assign] for client connections, and [resourcelimit.SharedLimit] and
// [resourcelimit.EndpointLimits] for the others. It is nil if the file has no [[pool]] tables.
type sharedLimits struct {
	memory  *resourcelimit.SharedLimit
	sockets *resourcelimit.SharedLimit
	// unassigned accounts for the bytes of commands whose pool is not yet known.
	unassigned *resourcelimit.Allotment
	endpoints  *resourcelimit.EndpointLimits
	// maxClients is the limit on client connections of all pools together. It is only used to compute the pools'
	// guarantees; Env.Conns enforces the limit.
	maxClients int
}

// newSharedLimits returns the limits of a process, or nil if the file has no [[pool]] tables.
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

// poolLimits is one pool's part of the shared limits. It is nil, and bounds nothing, if the file has no
// [[pool]] tables.
type poolLimits struct {
	shared  *sharedLimits
	memory  *resourcelimit.Bytes
	clients *resourcelimit.Group
	// sockets is nil until the pool's proxy is created.
	sockets *resourcelimit.Allotment
	// isReclaiming is set while the pool has an unfinished request to release sockets.
	isReclaiming atomic.Bool
}

// join adds a pool to the limits, without guarantees.
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

// setGuarantee sets the fraction of each shared limit, from 0 to 1, that the pool is guaranteed.
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

// leave removes the pool from the limits. What it still holds counts until it is released.
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

// setParts sets the limits in the parts that a pool's proxy is built from. maxServerConnections bounds the connections
// to one endpoint over all pools; 0 means no bound.
func (l *poolLimits) setParts(parts *service.Parts, maxServerConnections int) {
	if l == nil {
		return
	}
	parts.Memory = l.memory
	parts.Clients = l.clients
	parts.Allotment = func(p *proxy.Proxy) *resourcelimit.Allotment {
		l.sockets = l.shared.sockets.Join(p.Name, 0, l.reclaimer(p, ""))
		return l.sockets
	}
	if maxServerConnections > 0 {
		parts.EndpointLimit = func(p *proxy.Proxy, address string) *resourcelimit.EndpointLimit {
			return l.shared.endpoints.Join(address, p.Name, maxServerConnections, l.reclaimer(p, address))
		}
	}
}

// reclaimer returns a function that makes the pool close n idle connections for another pool: connections to the
// address, or to any endpoint if the address is empty. A pool handles one such request at a time, whatever its address;
// further ones are dropped meanwhile.
func (l *poolLimits) reclaimer(p *proxy.Proxy, address string) func(n int64) {
	return func(n int64) {
		if !l.isReclaiming.CompareAndSwap(false, true) {
			return
		}
		go func() { // CloseIdle may block, and the caller must not
			p.CloseIdle(n, address)
			l.isReclaiming.Store(false)
		}()
	}
}
