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

// idleCloseFraction is the part of Config.IdleTimeout after which an idle connection is closed here: before the
// endpoint closes it, perhaps under a command on its way.
const idleCloseFraction = 0.6

// Config bounds the connections.
type Config struct {
	// MaxConnections bounds the connections to all endpoints.
	MaxConnections int
	// DialTimeout is how long a connection may take to come up.
	DialTimeout time.Duration
	// IdleTimeout is after how long endpoints close an idle connection; 0: never.
	IdleTimeout time.Duration
	// StallTimeout ends a long value that has begun and stops for so long; 0: 5 s.
	StallTimeout time.Duration
	// ValueMemory bounds what long answers hold while they come in; nil: unbounded.
	ValueMemory *resourcelimit.Bytes
	// Allotment is the pool's part of the connections of a process with several pools; nil: MaxConnections alone bounds
	// them.
	Allotment *resourcelimit.Allotment
	// EndpointLimit joins the bound on the connections to an address that pools share; nil: there is none.
	EndpointLimit func(address string) *resourcelimit.EndpointLimit
	// OnWritten counts attempts whose last byte is written, on any goroutine; nil: nobody asks.
	OnWritten func(uint64) uint64
	// Trace takes a line for each connection dialled; nil: none is written.
	Trace *trace.Log
}

// Pool holds the connections to all endpoints. The event loop owns it.
type Pool struct {
	loop          *eventloop.Loop
	cfg           Config
	onHealthCheck func(balancer.HealthCheckResult)
	endpoints     map[string]*endpointPool
	// blocked are endpoints to which nothing may be sent, whatever the list says.
	blocked map[string]bool
	// connections counts them all, those being dialled too.
	connections int
}

// endpointPool is the connections to one endpoint.
type endpointPool struct {
	name      string
	address   string
	startedAt time.Duration
	// generation grows with each new address or start of the endpoint.
	generation int
	// listed says that the endpoint list has it as serving.
	listed bool
	// usable says that it is listed and not held.
	usable      bool
	connections map[*connection]bool
	// idle has the one used last at the end.
	idle         []*connection
	lastAnswerAt time.Duration
	// limit bounds the connections of all pools to the address; nil: nothing does.
	limit *resourcelimit.EndpointLimit
}

// New returns an empty pool. Results of health checks go to onHealthCheck, by the event loop.
func New(loop *eventloop.Loop, cfg Config, onHealthCheck func(balancer.HealthCheckResult)) *Pool {
	return &Pool{
		loop:          loop,
		cfg:           cfg,
		onHealthCheck: onHealthCheck,
		endpoints:     map[string]*endpointPool{},
		blocked:       map[string]bool{},
	}
}

// Close ends all connections.
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

// UpdateEndpoint takes what the endpoint list says of one endpoint. With another address or start it is another
// process, to which no old connection leads; those in use are closed with their answers.
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

// replace moves an endpoint to another address or start.
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

// SetBlocked keeps all that is not yet written from an endpoint, whatever the list says, or ends that. When it returns
// nothing waits for a connection to a held endpoint.
func (p *Pool) SetBlocked(name string, on bool) {
	ep := p.endpoints[name]
	if !on {
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

// KeepOnly ends the use of the endpoints that a complete list leaves out.
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

// stopUsing keeps anything new from an endpoint that drains or is gone. An attempt that still waits for its
// connection is taken back: it would be written when that comes up, perhaps after the grace of the drain.
func (p *Pool) stopUsing(ep *endpointPool) {
	p.closeIdle(ep, p.loop.Now())
	p.dropDialling(ep)
	p.forgetIfUnused(ep)
}

// dropDialling takes back what waits for a connection.
func (p *Pool) dropDialling(ep *endpointPool) {
	for c := range ep.connections {
		if c.netConn == nil {
			p.drop(c, balancer.NotSent)
		}
	}
}

// forgetIfUnused drops an endpoint that is not listed and has no connections. The name may stand for a newer one.
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

// removeIdle takes a connection out of the idle ones.
func (ep *endpointPool) removeIdle(c *connection) {
	ep.idle = slices.DeleteFunc(ep.idle, func(other *connection) bool { return other == c })
}

// Sweep closes connections that have been idle for most of the time after which endpoints close them.
func (p *Pool) Sweep() {
	if p.cfg.IdleTimeout <= 0 {
		return
	}
	since := p.loop.Now() - time.Duration(float64(p.cfg.IdleTimeout)*idleCloseFraction)
	for _, ep := range p.endpoints {
		p.closeIdle(ep, since)
	}
}

// closeIdle closes the idle connections to an endpoint that have not been used since a time.
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
