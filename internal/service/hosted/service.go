package hosted

import (
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
	"gapgap/internal/idempotency/replica"
	"gapgap/internal/proxy"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/service"
	"gapgap/internal/vfs"
)

// Service is one gapgapd process with its listeners and pools. It is safe for concurrent use.
type Service struct {
	*proxy.Env
	// Shared is the state that all listeners for authorization checks share.
	Shared *extauthz.Shared

	log *slog.Logger
	// clock is the event loop whose clock all event loops share.
	clock *eventloop.Loop
	// coarseTime is the time that Env.Coarse returns, as a time.Duration.
	coarseTime atomic.Int64
	frontends  []proxy.Frontend
	// authzFrontends is the subset of frontends that answers authorization checks.
	authzFrontends []*extauthz.Frontend
	// addresses maps listener names to their addresses.
	addresses map[string]net.Addr
	done      chan struct{}
	router    router
	inboxes   endpointInboxes
	// sentIDs outlives the pools: a request of a pool that was replaced must not run again in the next one.
	sentIDs *proxy.SentIDs
	// cpuScheduler is nil if the pools do not share the CPU by weight.
	cpuScheduler *cpuscheduler.Scheduler
	// limits is nil if the file has no [[pool]] tables.
	limits *sharedLimits
	// metrics is nil if no listener serves them.
	metrics *metrics
	// cluster and recovery are nil if the gateway is not part of a cluster.
	cluster  *clusterMember
	recovery *startupRecovery
	// policy is nil if the policy comes from the configuration file.
	policy *policyHost
	// keys is nil if no idempotency keys are reserved across gateways.
	keys *replica.Replica
	// disk is the file system of the state directory.
	disk vfs.FS

	// mu guards the fields below and is held while pools change.
	mu    sync.Mutex
	cfg   *Config
	pools map[string]*pool
	// policyVersion is the version of the policy in cfg; 0 means that the policy comes from the file.
	policyVersion uint64
	// isShuttingDown is set once the shutdown has begun; pools no longer change after that.
	isShuttingDown bool
	// removals tracks the goroutines that remove pools.
	removals sync.WaitGroup
}

// New creates the service and opens its listeners. It accepts no connection before Serve.
func New(cfg *Config, log *slog.Logger) (*Service, error) {
	s := newService(cfg, log)
	if err := s.open(cfg); err != nil {
		s.abandon()
		return nil, err
	}
	return s, nil
}

// newService returns a service without any open component.
func newService(cfg *Config, log *slog.Logger) *Service {
	s := &Service{
		log:       log,
		clock:     eventloop.New(),
		addresses: map[string]net.Addr{},
		done:      make(chan struct{}),
		cfg:       cfg,
		disk:      vfs.OrOS(cfg.Disk),
		pools:     map[string]*pool{},
		inboxes:   newEndpointInboxes(),
		sentIDs:   proxy.NewSentIDs(),
	}
	s.clock.SkewClock(cfg.Ahead)
	s.Env = service.NewEnv(s.clock, cfg.Node.MemoryMB, cfg.Node.Sockets, &s.router)
	s.router.log = log
	if s.limits = newSharedLimits(cfg, s.Conns.Max()); s.limits != nil {
		s.Memory = resourcelimit.NewSharedBytes(s.limits.unassigned)
	}
	s.updateCoarseTime()
	s.Coarse = func() time.Duration { return time.Duration(s.coarseTime.Load()) }
	return s
}

// open opens all components of the service in the order of their dependencies.
func (s *Service) open(cfg *Config) (err error) {
	if s.Shared, err = extauthz.NewShared(s.Env, cfg.Shared); err != nil {
		return err
	}
	s.Shared.SetIdentities(cfg.Accounts)
	if cfg.SharesCPU {
		s.cpuScheduler = cpuscheduler.New(runtime.GOMAXPROCS(0))
		s.Scheduler = s.cpuScheduler.Flow(1)
	}
	if slices.ContainsFunc(cfg.Listeners, func(listener Listener) bool { return listener.Metrics }) {
		s.metrics = newMetrics(s)
	}
	if cfg.Fleet != nil {
		if err := s.openCluster(cfg); err != nil {
			return err
		}
	}
	for i := range cfg.Pools {
		p, err := s.newPool(&cfg.Pools[i])
		if err != nil {
			return err
		}
		s.pools[p.cfg.Node.Name] = p
	}
	s.router.update(cfg.Routes, s.pools)
	for i := range cfg.Listeners {
		if err := s.listen(&cfg.Listeners[i]); err != nil {
			return err
		}
	}
	return nil
}

// openCluster opens the components that only a gateway in a cluster has.
func (s *Service) openCluster(cfg *Config) (err error) {
	if s.cluster, err = s.newClusterMember(cfg.Fleet, cfg.GatewayName); err != nil {
		return err
	}
	if cfg.Fleet.KeyRetention != nil {
		if s.keys, err = s.openKeyReplica(cfg.Fleet); err != nil {
			return err
		}
	}
	if hasClusterPolicy(cfg.Fleet) {
		if s.policy, err = s.openPolicy(cfg); err != nil {
			return err
		}
	}
	s.recovery = s.newStartupRecovery(cfg)
	s.cluster.recovery = s.recovery
	return nil
}

// abandon closes the components that open had opened before it failed.
func (s *Service) abandon() {
	for _, frontend := range s.frontends {
		frontend.CloseListeners()
	}
	s.policy.close()
	if s.keys != nil {
		s.keys.Close()
	}
	s.cluster.close()
}

// updateCoarseTime sets the time that Env.Coarse returns.
func (s *Service) updateCoarseTime() { s.coarseTime.Store(int64(s.Now())) }

// Addr returns the address of a listener, or nil if no listener has this name.
func (s *Service) Addr(listener string) net.Addr { return s.addresses[listener] }

// Done returns a channel that is closed when the service has ended.
func (s *Service) Done() <-chan struct{} { return s.done }

// Ready reports whether every pool has had a serving endpoint.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		if !p.proxy.Ready() {
			return false
		}
	}
	return true
}

// Pools returns the number of requests in progress by pool name.
func (s *Service) Pools() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := map[string]int{}
	for name, p := range s.pools {
		requests[name] = p.proxy.Busy()
	}
	return requests
}
