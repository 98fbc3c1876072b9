package upstream

import (
	"slices"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
	"gapgap/internal/eventloop"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/trace"
)

// idleCloseFraction is the fraction of Config.IdleTimeout after which an idle connection is closed. It is below 1 so
// that the endpoint does not close the connection first, possibly while a command is on its way.
const idleCloseFraction = 0.6

// Config holds the limits and timeouts of a Pool.
type Config struct {
	// MaxConnections bounds the connections to all endpoints together.
	MaxConnections int
	// DialTimeout bounds the time for establishing a connection.
	DialTimeout time.Duration
	// IdleTimeout is the time after which endpoints close an idle connection. 0 means never.
	IdleTimeout time.Duration
	// StallTimeout bounds the time between two pieces of a long value. 0 means 5 s.
	StallTimeout time.Duration
	// ValueTimeout bounds the time for which the reader waits for the endpoint for each KiB of a long value, without
	// the time that the sink takes. 0 means 60 s.
	ValueTimeout time.Duration
	// UsageTimeout bounds the time from the end of a value to the end of its answer. 0 means 1 s.
	UsageTimeout time.Duration
	// ValueMemory bounds the memory for long answers while they are received. nil means no limit.
	ValueMemory *resourcelimit.Bytes
	// Allotment is this pool's allotment of connections in a process with several pools. If it is nil, only
	// MaxConnections applies.
	Allotment *resourcelimit.Allotment
	// EndpointLimit returns the limit on connections to an address, which pools share. If it is nil, there is no such
	// limit.
	EndpointLimit func(address string) *resourcelimit.EndpointLimit
	// OnWritten, if not nil, counts attempts whose last byte has been written. Any goroutine may call it.
	OnWritten func(uint64) uint64
	// Trace receives a line for each connection dialled. It may be nil.
	Trace *trace.Log
}

// Pool manages the connections to all endpoints. The event loop owns it.
type Pool struct {
	loop          *eventloop.Loop
	cfg           Config
	onHealthCheck func(balancer.HealthCheckResult)
	endpoints     map[string]*endpointPool
	// blocked holds the names of endpoints to which nothing may be sent, whatever the endpoint list says.
	blocked map[string]bool
	// connections counts all connections, including those being dialled.
	connections int
}

// endpointPool holds the connections to one endpoint.
type endpointPool struct {
	name      string
	address   string
	startedAt time.Duration
	// generation increases with each new address or start time of the endpoint.
	generation int
	// listed reports that the endpoint is serving according to the endpoint list.
	listed bool
	// usable reports that the endpoint is listed and not blocked.
	usable      bool
	connections map[*connection]bool
	// idle holds the idle connections, the most recently used one last.
	idle         []*connection
	lastAnswerAt time.Duration
	// limit bounds the connections of all pools to the address. nil means no limit.
	limit *resourcelimit.EndpointLimit
}

// New returns an empty pool. The event loop calls onHealthCheck with the results of health checks.
func New(loop *eventloop.Loop, cfg Config, onHealthCheck func(balancer.HealthCheckResult)) *Pool {
	return &Pool{
		loop:          loop,
		cfg:           cfg,
		onHealthCheck: onHealthCheck,
		endpoints:     map[string]*endpointPool{},
		blocked:       map[string]bool{},
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	for _, ep := range p.endpoints {
		for c := range ep.connections {
			p.close(c)
		}
		ep.idle = nil
		if ep.limit != nil {
			ep.limit.Leave()
		}
	}
}

// UpdateEndpoint applies an entry of the endpoint list. An endpoint with another address or start time is another
// process: idle connections to the old one are closed at once, those in use after their answer.
func (p *Pool) UpdateEndpoint(e balancer.Endpoint, address string) {
	ep := p.endpoints[e.Name]
	if ep == nil {
		ep = &endpointPool{name: e.Name, connections: map[*connection]bool{}}
		p.endpoints[e.Name] = ep
	}
	if ep.address != address || ep.startedAt != e.StartedAt {
		p.replace(ep, address, e.StartedAt)
	}
	ep.listed = e.State == balancer.Serving
	ep.usable = ep.listed && !p.blocked[e.Name]
	if !ep.usable {
		p.stopUsing(ep)
	}
}

// replace records another address or start time of an endpoint.
func (p *Pool) replace(ep *endpointPool, address string, startedAt time.Duration) {
	ep.address = address
	ep.startedAt = startedAt
	ep.generation++
	if ep.limit != nil {
		ep.limit.Leave()
	}
	if p.cfg.EndpointLimit != nil {
		ep.limit = p.cfg.EndpointLimit(address)
	}
	p.closeIdle(ep, p.loop.Now())
	p.dropDialling(ep)
}

// SetBlocked blocks or unblocks an endpoint, whatever the endpoint list says. Nothing that has not been written yet is
// sent to a blocked endpoint: when the call returns, no attempt waits for a connection to it.
func (p *Pool) SetBlocked(name string, blocked bool) {
	ep := p.endpoints[name]
	if !blocked {
		delete(p.blocked, name)
		if ep != nil {
			ep.usable = ep.listed
		}
		return
	}
	p.blocked[name] = true
	if ep != nil {
		ep.usable = false
		p.stopUsing(ep)
	}
}

// KeepOnly stops using the endpoints that a complete list does not contain.
func (p *Pool) KeepOnly(entries []endpoint.Entry) {
	named := map[string]bool{}
	for _, entry := range entries {
		named[entry.Name] = true
	}
	for _, ep := range p.endpoints {
		if !named[ep.name] {
			ep.usable = false
			ep.listed = false
			p.stopUsing(ep)
		}
	}
}

// stopUsing prevents new attempts to an endpoint that is draining, removed or blocked. An attempt that still waits for
// its connection is withdrawn: otherwise it would be written once the connection is established, possibly after the
// drain period.
func (p *Pool) stopUsing(ep *endpointPool) {
	p.closeIdle(ep, p.loop.Now())
	p.dropDialling(ep)
	p.forgetIfUnused(ep)
}

// dropDialling withdraws attempts and health checks that wait for a connection.
func (p *Pool) dropDialling(ep *endpointPool) {
	for c := range ep.connections {
		if c.netConn == nil {
			p.drop(c, balancer.NotSent)
		}
	}
}

// forgetIfUnused removes an endpoint that is not listed and has no connections. By then its name may refer to a newer
// endpoint, which is kept.
func (p *Pool) forgetIfUnused(ep *endpointPool) {
	if ep.listed || len(ep.connections) > 0 {
		return
	}
	if p.endpoints[ep.name] == ep {
		delete(p.endpoints, ep.name)
	}
	if ep.limit != nil {
		ep.limit.Leave()
		ep.limit = nil
	}
}

// removeIdle removes a connection from the idle list.
func (ep *endpointPool) removeIdle(c *connection) {
	ep.idle = slices.DeleteFunc(ep.idle, func(other *connection) bool { return other == c })
}

// Sweep closes connections that have been idle for idleCloseFraction of Config.IdleTimeout.
func (p *Pool) Sweep() {
	if p.cfg.IdleTimeout <= 0 {
		return
	}
	since := p.loop.Now() - time.Duration(float64(p.cfg.IdleTimeout)*idleCloseFraction)
	for _, ep := range p.endpoints {
		p.closeIdle(ep, since)
	}
}

// closeIdle closes the idle connections to an endpoint that have not been used since the given time.
func (p *Pool) closeIdle(ep *endpointPool, since time.Duration) {
	kept := ep.idle[:0]
	for _, c := range ep.idle {
		if c.idleAt > since {
			kept = append(kept, c)
			continue
		}
		p.close(c)
	}
	clear(ep.idle[len(kept):])
	ep.idle = kept
}
