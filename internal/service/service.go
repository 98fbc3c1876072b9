// Package service assembles the parts of one gateway process from a validated configuration.
package service

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/counter"
	"gapgap/internal/cpuscheduler"
	"gapgap/internal/discovery"
	"gapgap/internal/endpoint"
	"gapgap/internal/eventloop"
	"gapgap/internal/frontend/admin"
	"gapgap/internal/frontend/resp2"
	"gapgap/internal/handover"
	"gapgap/internal/proxy"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/stats"
	"gapgap/internal/trace"
	"gapgap/internal/upstream"
)

const (
	clientSocketFraction  = 0.62      // of the socket limit, for client connections
	backendSocketFraction = 0.28      // of the socket limit, for connections to backends
	defaultMaxConnections = 400       // of either kind, when no socket limit is configured
	clientMemoryFraction  = 0.25      // of the memory limit, for what clients have sent and have not yet read
	defaultMemoryBytes    = 128 << 20 // assumed memory limit when none is configured
)

// NewEnv returns the resources that the frontends of a process share. Its clock is the event loop's.
func NewEnv(l *eventloop.Loop, memoryMB, sockets int, r proxy.Router) *proxy.Env {
	return &proxy.Env{Memory: resourcelimit.NewBytes(ClientMemory(memoryMB)),
		Conns: resourcelimit.NewClientLimit(socketFraction(sockets, clientSocketFraction), l.Now),
		Now:   l.Now, Coarse: l.Coarse, Router: r}
}

// Parts connects a proxy to the other parts of its process. A gateway with a single pool needs only the zero value.
type Parts struct {
	// Space separates this pool's counters from those of other pools.
	Space string
	// UpdateReceiver returns the receiver of updates; nil: the proxy.
	UpdateReceiver func(*proxy.Proxy) func(endpoint.Update)
	// PeerActionReceiver returns the receiver of actions for peers; nil: none.
	PeerActionReceiver func(*proxy.Proxy) func(balancer.Action)
	// HealthReportReceiver returns the receiver of health reports; nil: none.
	HealthReportReceiver func(*proxy.Proxy) func(balancer.HealthReport)
	// Scheduler schedules CPU time.
	Scheduler *cpuscheduler.Flow
	// DecisionLease permits deciding on requests; nil: always permitted.
	DecisionLease *proxy.DecisionLease
	// NoCounter makes counter calls fail unsent while it returns true; nil: never.
	NoCounter func() bool
	// StartupBarrier holds requests while the gateway recovers; nil: never.
	StartupBarrier *proxy.StartupBarrier
	// KeyReserver reserves idempotency keys; nil: there are none.
	KeyReserver proxy.KeyReserver
	// SentIDs remembers the IDs of requests that must not run twice; nil: the proxy has its own.
	SentIDs *proxy.SentIDs
	// OnAnswer is called with each answer; nil: not called.
	OnAnswer func(class int, v proxy.Outcome, took time.Duration)
	Figures  *stats.Counters // nil: not collected
	Memory   *resourcelimit.Bytes
	Clients  *resourcelimit.Group
	// Allotment returns the allotment of the sockets for backends.
	Allotment func(*proxy.Proxy) *resourcelimit.Allotment
	// EndpointLimit returns the limit of an endpoint's connections.
	EndpointLimit func(p *proxy.Proxy, addr string) *resourcelimit.EndpointLimit
}

// NewProxy returns the proxy of a gateway, or of one of its pools, connected to its backends, the counter and the
// platform's discovery.
func NewProxy(l *eventloop.Loop, cfg *Config, parts Parts, log *slog.Logger) (*proxy.Proxy, error) {
	p, _, err := newProxy(l, cfg, parts, log)
	return p, err
}

func newProxy(l *eventloop.Loop, cfg *Config, parts Parts, log *slog.Logger) (*proxy.Proxy, *discovery.Watch, error) {
	var tr *trace.Log
	if cfg.Trace != nil {
		tr = trace.New(cfg.Trace, l.Now)
	}
	p, err := proxy.New(l, proxy.Config{Trace: tr, Name: cfg.Name, Scheduler: parts.Scheduler,
		DecisionLease: parts.DecisionLease, StartupBarrier: parts.StartupBarrier, KeyReserver: parts.KeyReserver,
		Memory: parts.Memory, Clients: parts.Clients, OnAnswer: parts.OnAnswer, SentIDs: parts.SentIDs, Start: cfg.Rules(), Seed: cfg.Seed,
		Stats: parts.Figures}, log)
	if err != nil {
		return nil, nil, err
	}
	onUpdate := p.HandleEndpointUpdate
	if parts.UpdateReceiver != nil {
		onUpdate = parts.UpdateReceiver(p)
	}
	if parts.HealthReportReceiver != nil {
		p.OnHealthReport = parts.HealthReportReceiver(p)
	}
	if parts.PeerActionReceiver != nil {
		p.OnPeerAction = parts.PeerActionReceiver(p)
	}
	up := upstream.Config{MaxConnections: max(1, BackendSockets(cfg.Sockets)), DialTimeout: cfg.Transport.DialTimeout,
		IdleTimeout: cfg.Transport.ConnIdle, Trace: tr}
	up.StallTimeout = cfg.StallTimeout
	up.OnWritten = p.Stats.Relayed.Add
	up.ValueMemory = resourcelimit.NewBytes(ClientMemory(cfg.MemoryMB) / 2)
	if parts.Allotment != nil {
		up.Allotment = parts.Allotment(p)
	}
	if parts.EndpointLimit != nil {
		up.EndpointLimit = func(addr string) *resourcelimit.EndpointLimit { return parts.EndpointLimit(p, addr) }
	}
	watch := discovery.New(l, log, discovery.Config{Addr: cfg.Discovery, Known: cfg.KnownEndpoints,
		Zones: cfg.Transport.Zones, Kinds: cfg.Transport.Kinds, Gateways: cfg.Settings.Gateways,
		Pushed: !cfg.Settings.PollEndpoints, Seed: cfg.Seed}, onUpdate)
	p.Connect(
		upstream.New(l, up, p.HandleHealthCheckResult),
		counter.New(l, counter.Config{Addr: cfg.Counter, Namespace: parts.Space, Enabled: cfg.Settings.UseCounter,
			IsBlocked: parts.NoCounter, Timeout: cfg.Settings.CounterTimeout, DialTimeout: cfg.Transport.DialTimeout,
			Trace: tr, OnLateResult: func(ev balancer.LateCounterResult) { p.Enqueue(ev) }}, p.HandleCounterResult),
		watch)
	return p, watch, nil
}

// ClientMemory returns how many bytes of a memory limit may hold clients' data.
func ClientMemory(memoryMB int) int64 {
	memory := memoryMB << 20
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	return int64(float64(memory) * clientMemoryFraction)
}

// BackendSockets returns how many of the sockets are for connections to backends.
func BackendSockets(sockets int) int { return socketFraction(sockets, backendSocketFraction) }

// socketFraction returns a fraction of the socket limit, or defaultMaxConnections if that is not positive.
func socketFraction(sockets int, fraction float64) int {
	if n := int(float64(sockets) * fraction); n > 0 {
		return n
	}
	return defaultMaxConnections
}

// Gateway is the minimal gateway that the platform runs: one proxy with one RESP2 listener.
type Gateway struct {
	*proxy.Proxy
	env       *proxy.Env
	cfg       *Config
	log       *slog.Logger
	ejections *ejectionStore
	watch     *discovery.Watch

	predecessor *handover.Link // the old process of an upgrade, which hands over connections; nil: none

	// OnOverlap is called when a second process of this gateway starts to share its memory, and again when that process
	// has ended. It may be nil. It is set before Serve, and called by one goroutine at a time.
	OnOverlap func(overlapping bool)

	listening atomic.Bool // client connections are accepted
	inUse     *Config     // last applied by Reload, initially cfg; used by Reload only
}

// NewGateway returns a gateway, which accepts no connections before Serve.
func NewGateway(cfg *Config, log *slog.Logger) (*Gateway, error) {
	l := eventloop.New()
	p, watch, err := newProxy(l, cfg, Parts{Figures: stats.New()}, log)
	if err != nil {
		return nil, err
	}
	return &Gateway{Proxy: p, ejections: newEjectionStore(p, cfg.StateDir, log), watch: watch,
		env: NewEnv(l, cfg.MemoryMB, cfg.Sockets, p), cfg: cfg, inUse: cfg, log: log}, nil
}

// Reload applies a new configuration while the gateway serves, as a whole or not at all: the rules, and the addresses
// of discovery and the counter. Its other settings take effect at the next start. Only one goroutine may call it.
func (g *Gateway) Reload(read func() (*Config, error)) error {
	cfg, err := read()
	if err == nil {
		err = cfg.CheckReload(g.inUse)
	}
	if err == nil {
		err = g.UpdateSettings(g.rulesFor(cfg))
	}
	if err != nil {
		g.Stats.Invalid.Add(1)
		return err
	}
	g.SetAddresses(cfg.Discovery, cfg.Counter)
	g.inUse = cfg
	g.Stats.Accepted.Add(1)
	return nil
}

// rulesFor returns the rules of a new configuration. Zones keep the numbers that they had at the start, as the endpoint
// list is numbered by these.
func (g *Gateway) rulesFor(cfg *Config) proxy.Rules {
	rules := cfg.Rules()
	if zones := cfg.Transport.Zones; rules.Settings.Zone < len(zones) {
		rules.Settings.Zone = discovery.ZoneNumber(g.cfg.Transport.Zones, zones[rules.Settings.Zone])
	}
	return rules
}

// Serve serves the clients of a listener until the context ends, then answers the requests that were accepted and
// returns. It takes operators' commands at the admin listener, which may be nil.
func (g *Gateway) Serve(ctx context.Context, ln, adminListener net.Listener) {
	g.log.Info("serving", "listen", ln.Addr(), "backends", len(g.cfg.KnownEndpoints.Endpoints))
	clients := resp2.New(g.env, resp2.Config{WriteTimeout: g.cfg.StallTimeout}, ln, g.log)
	if adminListener != nil {
		background, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { g.ejections.poll(background) })
		wg.Go(func() { g.receiveConnections(background, clients) })
		wg.Go(func() { g.acceptHandovers(background, ctx, ln, clients) })
		defer wg.Wait()
		defer stop()
		commands := admin.New(adminListener, adminService{g}, g.log)
		commands.Serve()
		defer commands.Close()
	}
	g.listening.Store(true)
	g.Run(ctx, clients)
}
