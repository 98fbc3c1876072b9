// Package service puts one process together out of a checked configuration.
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
	clientShare   = 0.62      // of the sockets that may be held, for clients
	backendShare  = 0.28      // and for connections to backends
	unknownShare  = 400       // connections of either kind where no number of sockets is told
	memoryShare   = 0.25      // of the memory limit, for what clients have sent and not yet read
	unknownMemory = 128 << 20 // bytes taken for the limit where none is told
)

// NewEnv makes what the fronts of a process share, on a loop's clock.
func NewEnv(l *eventloop.Loop, memoryMB, sockets int, r proxy.Router) *proxy.Env {
	return &proxy.Env{Memory: resourcelimit.NewBytes(ClientMemory(memoryMB)),
		Conns: resourcelimit.NewClientLimit(share(sockets, clientShare), l.Now), Now: l.Now, Coarse: l.Coarse, Router: r}
}

// Parts are what one pool of several has of its process. The zero value is that of a front door with one pool.
type Parts struct {
	Space     string                                         // keeps its numbers on the counter apart from those of other pools
	Tell      func(*proxy.Proxy) func(endpoint.Update)       // makes the way of what discovery tells; nil: to the core itself
	Others    func(*proxy.Proxy) func(balancer.Action)       // makes the way of what the core tells other doors; nil: nowhere
	Found     func(*proxy.Proxy) func(balancer.HealthReport) // makes the way of what the core finds out; nil: nowhere
	Gate      *cpuscheduler.Flow                             // to the processor
	Guard     *proxy.DecisionLease                           // whether requests may be decided; nil: always
	NoCounter func() bool                                    // the counter is not asked, and its calls fail; nil: it always is
	Closed    *proxy.StartupBarrier                          // while the door comes back; nil: it never is
	Keys      proxy.KeyReserver                              // claims keys of classes that are remembered; nil: there are none
	Observe   func(class int, v proxy.Outcome, took time.Duration)
	Figures   *stats.Counters // nil: nobody reads them
	Memory    *resourcelimit.Bytes
	Clients   *resourcelimit.Group
	Places    func(*proxy.Proxy) *resourcelimit.Allotment                    // of the sockets for backends
	Cap       func(c *proxy.Proxy, addr string) *resourcelimit.EndpointLimit // of a server's connections
}

// NewCore makes the core of a front door, or of one pool of it, with its sides: connections to backends, the counter and
// the platform's discovery.
func NewCore(l *eventloop.Loop, cfg *Config, parts Parts, log *slog.Logger) (*proxy.Proxy, error) {
	c, _, err := newCore(l, cfg, parts, log)
	return c, err
}

func newCore(l *eventloop.Loop, cfg *Config, parts Parts, log *slog.Logger) (*proxy.Proxy, *discovery.Watch, error) {
	var tr *trace.Log
	if cfg.Trace != nil {
		tr = trace.New(cfg.Trace, l.Now)
	}
	c, err := proxy.New(l, proxy.Config{Trace: tr, Name: cfg.Name, Scheduler: parts.Gate, DecisionLease: parts.Guard, StartupBarrier: parts.Closed, KeyReserver: parts.Keys, Memory: parts.Memory, Clients: parts.Clients, OnAnswer: parts.Observe,
		Start: cfg.Rules(), Seed: cfg.Seed, Stats: parts.Figures}, log)
	if err != nil {
		return nil, nil, err
	}
	told := c.HandleEndpointUpdate
	if parts.Tell != nil {
		told = parts.Tell(c)
	}
	if parts.Found != nil {
		c.OnHealthReport = parts.Found(c)
	}
	if parts.Others != nil {
		c.OnPeerAction = parts.Others(c)
	}
	up := upstream.Config{MaxConnections: max(1, BackendSockets(cfg.Sockets)), DialTimeout: cfg.Transport.DialTimeout, IdleTimeout: cfg.Transport.ConnIdle, Trace: tr}
	up.StallTimeout = cfg.Stall
	up.OnWritten = c.Stats.Relayed.Add
	up.ValueMemory = resourcelimit.NewBytes(ClientMemory(cfg.MemoryMB) / 2)
	if parts.Places != nil {
		up.Allotment = parts.Places(c)
	}
	if parts.Cap != nil {
		up.EndpointLimit = func(addr string) *resourcelimit.EndpointLimit { return parts.Cap(c, addr) }
	}
	watch := discovery.New(l, log, discovery.Config{Addr: cfg.Discovery, Known: cfg.Known, Zones: cfg.Transport.Zones,
		Kinds: cfg.Transport.Kinds, Gateways: cfg.Settings.Gateways, Pushed: !cfg.Settings.PollEndpoints, Seed: cfg.Seed}, told)
	c.Connect(
		upstream.New(l, up, c.HandleHealthCheckResult),
		counter.New(l, counter.Config{Addr: cfg.Counter, Space: parts.Space, Enabled: cfg.Settings.UseCounter, Cut: parts.NoCounter,
			Timeout: cfg.Settings.CounterTimeout, DialTimeout: cfg.Transport.DialTimeout,
			Trace: tr, Late: func(ev balancer.LateCounterResult) { c.Enqueue(ev) }}, c.HandleCounterResult),
		watch)
	return c, watch, nil
}

// ClientMemory is how many bytes of a memory limit clients may make a process hold.
func ClientMemory(memoryMB int) int64 {
	memory := memoryMB << 20
	if memory <= 0 {
		memory = unknownMemory
	}
	return int64(float64(memory) * memoryShare)
}

// BackendSockets is how many of the sockets are for connections to backends.
func BackendSockets(sockets int) int { return share(sockets, backendShare) }

// share is a part of the sockets.
func share(sockets int, part float64) int {
	if n := int(float64(sockets) * part); n > 0 {
		return n
	}
	return unknownShare
}

// Platform is the lean front door that the platform runs: one core, one RESP2 listener.
type Platform struct {
	*proxy.Proxy
	env   *proxy.Env
	cfg   *Config
	log   *slog.Logger
	bans  *bans
	watch *discovery.Watch

	predecessor *handover.Link // hands over connections; nil: there is none

	// Beside is told when a second process of this front door begins to share its memory, and when it no longer does; nil:
	// nobody asks. It is set before Serve, and called by one goroutine at a time.
	Beside func(on bool)

	listening atomic.Bool // clients' connections are taken
	inUse     *Config     // what was last taken by Reload, or cfg. Reload's
}

// NewPlatform makes one. It takes no connection before Serve.
func NewPlatform(cfg *Config, log *slog.Logger) (*Platform, error) {
	l := eventloop.New()
	c, watch, err := newCore(l, cfg, Parts{Figures: stats.New()}, log)
	if err != nil {
		return nil, err
	}
	return &Platform{Proxy: c, bans: newBans(c, cfg.Dir, log), watch: watch, env: NewEnv(l, cfg.MemoryMB, cfg.Sockets, c), cfg: cfg,
		inUse: cfg, log: log}, nil
}

// Reload takes another configuration while the front door serves, whole or not at all: the rules, and the addresses of
// discovery and the counter. What else it says holds from the next start. One goroutine may call it.
func (p *Platform) Reload(read func() (*Config, error)) error {
	cfg, err := read()
	if err == nil {
		err = cfg.CheckReload(p.inUse)
	}
	if err == nil {
		err = p.UpdateSettings(cfg.Rules())
	}
	if err != nil {
		p.Stats.Invalid.Add(1)
		return err
	}
	p.SetAddresses(cfg.Discovery, cfg.Counter)
	p.inUse = cfg
	p.Stats.Accepted.Add(1)
	return nil
}

// Serve serves what connects to the listener until the context ends, then answers what was taken and returns. Operators call
// at the other listener; nil: nowhere.
func (p *Platform) Serve(ctx context.Context, ln, operators net.Listener) {
	p.log.Info("serving", "listen", ln.Addr(), "backends", len(p.cfg.Known.Endpoints))
	clients := resp2.New(p.env, resp2.Config{Stall: p.cfg.Stall}, ln, p.log)
	if operators != nil {
		beside, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { p.bans.follow(beside) })
		wg.Go(func() { p.adopt(beside, clients) })
		wg.Go(func() { p.offers(beside, ctx, ln, clients) })
		defer wg.Wait()
		defer stop()
		f := admin.New(operators, calls{p}, p.log)
		f.Serve()
		defer f.Close()
	}
	p.listening.Store(true)
	p.Run(ctx, clients)
}
