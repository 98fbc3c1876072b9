package hosted

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gapgap/internal/cpuscheduler"
	"gapgap/internal/eventloop"
	"gapgap/internal/frontend/extauthz"
	"gapgap/internal/frontend/resp2"
	"gapgap/internal/idempotency/replica"
	"gapgap/internal/proxy"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/service"
	"gapgap/internal/sharedhealth"
	"gapgap/internal/vfs"
)

const (
	figuresEvery = time.Minute           // how often the figures are logged
	coarseEvery  = 20 * time.Millisecond // how often the fronts' coarse clock is set
	drainEvery   = 10 * time.Millisecond // how often a shutdown and a pool's removal are looked at
)

// Service is a gapgapd that listens.
type Service struct {
	*proxy.Env
	Shared   *extauthz.Shared
	log      *slog.Logger
	clock    *eventloop.Loop // whose time all loops share
	coarse   atomic.Int64
	fronts   []proxy.Frontend
	checks   []*extauthz.Front
	addrs    map[string]net.Addr
	done     chan struct{}
	router   router
	members  members
	gate     *cpuscheduler.Scheduler // nil: the file has no pools
	shares   *shares                 // nil: there is one pool
	metrics  *metrics                // nil: no listener shows them
	fleet    *fleetSide              // nil: it stands alone
	policy   *policyHost             // nil: its policy is its file's
	keys     *replica.Replica        // nil: no class's keys are remembered
	disk     vfs.FS                  // of the state directory
	recovery *comingBack             // nil: it stands alone

	mu     sync.Mutex // held to change pools
	cfg    *Config
	pools  map[string]*pool
	ended  bool
	leaves sync.WaitGroup // pools that are being removed
}

// New makes the service and opens its listeners; it takes no connection before Serve.
func New(cfg *Config, log *slog.Logger) (_ *Service, err error) {
	s := &Service{log: log, clock: eventloop.New(), addrs: map[string]net.Addr{}, done: make(chan struct{}), cfg: cfg, disk: vfs.OrOS(cfg.Disk), pools: map[string]*pool{},
		members: members{fleet: sharedhealth.New(), boxes: map[string]*box{}}}
	s.clock.SkewClock(cfg.Ahead)
	s.Env = service.NewEnv(s.clock, cfg.Node.MemoryMB, cfg.Node.Sockets, &s.router)
	s.router.log = log
	if s.shares = newShares(cfg, s.Conns.Max()); s.shares != nil {
		s.Memory = resourcelimit.NewSharedBytes(s.shares.unread)
	}
	s.coarse.Store(int64(s.clock.Now()))
	s.Coarse = func() time.Duration { return time.Duration(s.coarse.Load()) }
	if s.Shared, err = extauthz.NewShared(s.Env, cfg.Shared); err != nil {
		return nil, err
	}
	s.Shared.SetIdentities(cfg.Accounts)
	if cfg.SharesCPU {
		s.gate = cpuscheduler.New(runtime.GOMAXPROCS(0))
		s.Scheduler = s.gate.Flow(1)
	}
	if slices.ContainsFunc(cfg.Listeners, func(l Listener) bool { return l.Metrics }) {
		s.metrics = newMetrics(s)
	}
	if cfg.Fleet != nil {
		if s.fleet, err = s.newFleet(cfg.Fleet, cfg.Node.Name); err != nil {
			return nil, err
		}
		defer func() {
			if err != nil {
				s.fleet.drop()
			}
		}()
	}
	if cfg.Fleet != nil && cfg.Fleet.KeyRetention != nil {
		if s.keys, err = s.openKeyReplica(cfg.Fleet); err != nil {
			return nil, err
		}
		defer func() {
			if err != nil {
				s.keys.Close()
			}
		}()
	}
	if hasFleetPolicy(cfg.Fleet) {
		if s.policy, err = s.openPolicy(cfg); err != nil {
			return nil, err
		}
		defer func() {
			if err != nil {
				s.policy.close()
			}
		}()
	}
	if cfg.Fleet != nil {
		s.recovery = s.newComingBack(cfg)
		s.fleet.recovery = s.recovery
	}
	for i := range cfg.Pools {
		p, err := s.newPool(&cfg.Pools[i])
		if err != nil {
			return nil, err
		}
		s.pools[p.cfg.Node.Name] = p
	}
	s.router.swap(cfg.Routes, s.pools)
	defer func() {
		if err != nil {
			for _, f := range s.fronts {
				f.CloseListeners()
			}
		}
	}()
	for _, l := range cfg.Listeners {
		var tc *tls.Config
		if l.TLS != nil {
			if tc, err = l.TLS.load(); err != nil {
				return nil, fmt.Errorf("listener %s: %w", l.Name, err)
			}
		}
		ln, err := net.Listen("tcp", l.Address)
		if err != nil {
			return nil, fmt.Errorf("listener %s: %w", l.Name, err)
		}
		s.addrs[l.Name] = ln.Addr()
		if l.Metrics {
			s.fronts = append(s.fronts, newMetricsFront(s.metrics, ln))
		} else if l.RESP2 {
			// An account can't have two plans or two shares of its ceiling by coming through two fronts.
			s.fronts = append(s.fronts, resp2.New(s.Env, resp2.Config{Listener: l.Name, Routes: true, Accounts: s.Shared.Account}, ln, log))
		} else {
			f := extauthz.New(s.Shared, l.Authz, ln, tc, log)
			s.fronts, s.checks = append(s.fronts, f), append(s.checks, f)
		}
	}
	return s, nil
}

// Addr is where a listener listens.
func (s *Service) Addr(listener string) net.Addr { return s.addrs[listener] }

// Done is closed when the service has ended.
func (s *Service) Done() <-chan struct{} { return s.done }

// Ready says whether every pool has known a backend in service.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		if !p.core.Ready() {
			return false
		}
	}
	return true
}

// Pools are the names of the pools, each with the requests that hold it.
func (s *Service) Pools() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]int{}
	for name, p := range s.pools {
		all[name] = p.core.Busy()
	}
	return all
}

// Serve serves until the context ends, then answers what was taken and returns.
func (s *Service) Serve(ctx context.Context) {
	defer close(s.done)
	s.mu.Lock()
	for _, p := range s.pools {
		p.start()
	}
	s.mu.Unlock()
	s.Shared.Begin(s.checks...)
	if s.keys != nil {
		s.keys.Start()
	}
	s.fleet.begin(s.policy)
	s.policy.start()
	s.recovery.begin()
	if s.fleet != nil {
		s.log.Info("serving", "listener", "fleet", "address", s.fleet.peers.Addr())
	}
	for name, a := range s.addrs {
		s.log.Info("serving", "listener", name, "address", a)
	}
	for _, f := range s.fronts {
		f.Serve()
	}
	tick := time.NewTicker(coarseEvery)
	defer tick.Stop()
	figures := time.NewTicker(figuresEvery)
	defer figures.Stop()
	for serving := true; serving; {
		select {
		case <-tick.C:
			s.coarse.Store(int64(s.Now()))
		case <-figures.C:
			s.log.Info("figures", "checks", &s.Shared.Figures, "pools", s.Figures())
		case <-ctx.Done():
			serving = false
		}
	}
	s.end(tick)
}

// end is the shutdown.
func (s *Service) end(tick *time.Ticker) {
	s.log.Info("ending")
	s.mu.Lock()
	s.ended = true
	longest := time.Duration(0)
	for _, p := range s.pools {
		longest = max(longest, p.core.LongestTimeout())
	}
	s.mu.Unlock()
	finish := s.Now() + proxy.AcceptAfterTerm
	give := finish + longest + proxy.AnswerMargin
	for now := s.Now(); ; now = s.Now() {
		s.coarse.Store(int64(now))
		if now >= finish {
			drained := true
			for _, f := range s.fronts {
				f.CloseListeners()
			}
			for _, f := range s.fronts {
				drained = f.Drain() && drained
			}
			if drained || now >= give {
				break
			}
		}
		time.Sleep(drainEvery)
	}
	for _, f := range s.checks {
		f.Close()
	}
	unanswered := 0
	for _, p := range s.pools { // s.ended: nobody changes them any more
		p.end()
		unanswered += p.core.Unanswered()
		s.fleet.part(p.core)
	}
	s.leaves.Wait()
	s.recovery.end()
	s.policy.leave()
	if s.keys != nil {
		s.keys.Close()
	}
	s.fleet.end()
	s.Shared.Close()
	s.log.Info("figures", "checks", &s.Shared.Figures)
	s.log.Info("ended", "unanswered", unanswered)
}

// Reload takes the pools, routes, accounts and rules of another configuration, whole or not at all. Listeners and what the
// process has (memory, sockets, verdicts) stay as they are until a restart. A pool whose classes, limits or names of plans have
// changed is made anew, and the old one answers what it took. Where the fleet has one policy only the node's part is taken.
func (s *Service) Reload(cfg *Config) error {
	if s.policy == nil || !hasFleetPolicy(cfg.Fleet) {
		return s.reload(cfg)
	}
	next, err := s.policy.parseWithPolicy(cfg)
	if err != nil {
		return err
	}
	s.log.Info("the node's part of the file is read again; the policy is the fleet's, and the file's is not looked at", "policy", s.policy.replica.View().Version.Number)
	return s.reload(next)
}

func (s *Service) reload(cfg *Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return errors.New("the service is ending")
	}
	if !cfg.Fleet.Same(s.cfg.Fleet) {
		return errors.New("what [fleet] says changes with a restart only")
	}
	if cfg.HasPools != (s.shares != nil) {
		return errors.New("whether there are pools changes with a restart only")
	}
	next, fresh := map[string]*pool{}, []*pool{}
	for i := range cfg.Pools {
		c := &cfg.Pools[i]
		p := s.pools[c.Node.Name]
		if p == nil || p.cfg.shape != c.shape {
			var err error
			if p, err = s.newPool(c); err != nil {
				for _, p := range fresh {
					p.box.drop()
					p.share.leave()
					s.fleet.part(p.core)
					s.Shared.Remove(p.core)
				}
				return fmt.Errorf("pool %s: %w", c.Node.Name, err)
			}
			fresh = append(fresh, p)
		}
		next[c.Node.Name] = p
	}
	// From here on nothing can fail.
	for name, p := range s.pools { // first, so that the new ones have room
		if next[name] != p {
			p.share.set(0)
		}
	}
	for name, p := range next {
		for i := range cfg.Pools {
			if cfg.Pools[i].Node.Name == name {
				p.share.set(cfg.Pools[i].Guarantee)
			}
		}
	}
	for _, p := range fresh {
		p.start()
	}
	for i := range cfg.Pools {
		c := &cfg.Pools[i]
		p := next[c.Node.Name]
		if p.cfg.plans != c.plans { // of one shape: plans and classes have the same numbers
			if err := p.core.UpdateSettings(c.Node.Rules()); err != nil {
				s.log.Error("a pool goes on with its plans as they were", "pool", c.Node.Name, "error", err) // the settings were checked: a fault of ours
			}
		}
		p.cfg = c
		s.Shared.Add(p.core, c.Accounts)
		p.core.SetAddresses(c.Node.Discovery, c.Node.Counter)
	}
	s.Shared.SetIdentities(cfg.Accounts)
	s.router.swap(cfg.Routes, next)
	old := s.pools
	s.pools, s.cfg = next, cfg
	for name, p := range old {
		if next[name] != p {
			s.leaves.Add(1)
			go s.remove(p)
		}
	}
	return nil
}

// remove ends a pool to which no route leads any more, once what it took is answered.
func (s *Service) remove(p *pool) {
	defer s.leaves.Done()
	p.core.Retire()
	p.core.RejectHeld()
	for end := s.Now() + p.core.LongestTimeout() + proxy.AnswerMargin; p.core.Busy() > 0 && s.Now() < end; {
		time.Sleep(drainEvery)
	}
	p.end()
	s.fleet.part(p.core)
	p.box.drop()
	p.share.leave()
	s.Shared.Remove(p.core)
	s.mu.Lock()
	if s.metrics != nil && s.pools[p.cfg.Node.Name] == nil { // else a new one of that name goes on with them
		s.metrics.forget(p.cfg.Node.Name)
	}
	s.mu.Unlock()
	s.log.Info("pool removed", "pool", p.cfg.Node.Name, "unanswered", p.core.Unanswered())
}
