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

// Service is a gapgapd that listens. Any goroutine may call its methods.
type Service struct {
	*proxy.Env
	// Shared is what all listeners for authorization checks have in common.
	Shared *extauthz.Shared

	log *slog.Logger
	// clock is the event loop whose time all loops share.
	clock *eventloop.Loop
	// coarseTime is that of Env.Coarse, as a time.Duration.
	coarseTime atomic.Int64
	frontends  []proxy.Frontend
	// authzFrontends are those of the frontends that take authorization checks.
	authzFrontends []*extauthz.Front
	// addresses are those of the listeners by name.
	addresses map[string]net.Addr
	done      chan struct{}
	router    router
	inboxes   endpointInboxes
	// cpuScheduler is nil if the pools do not share the processor by weights.
	cpuScheduler *cpuscheduler.Scheduler
	// limits is nil if there is one pool.
	limits *sharedLimits
	// metrics is nil if no listener shows them.
	metrics *metrics
	// cluster and recovery are nil if the gateway stands alone.
	cluster  *clusterMember
	recovery *startupRecovery
	// policy is nil if the policy is that of the file.
	policy *policyHost
	// keys is nil if no keys are reserved over all gateways.
	keys *replica.Replica
	// disk is the file system of the state directory.
	disk vfs.FS

	// mu is held while the fields below are used, and while pools are changed.
	mu    sync.Mutex
	cfg   *Config
	pools map[string]*pool
	// policyVersion is the version of the policy in cfg; 0: it is that of the file.
	policyVersion uint64
	// isEnding tells that the shutdown has begun: pools are changed no more.
	isEnding bool
	// removals are the goroutines that remove pools.
	removals sync.WaitGroup
}

// New makes the service and opens its listeners; it takes no connection before Serve.
func New(cfg *Config, log *slog.Logger) (*Service, error) {
	s := newService(cfg, log)
	if err := s.open(cfg); err != nil {
		s.abandon()
		return nil, err
	}
	return s, nil
}

// newService returns a service that has opened nothing yet.
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

// open opens all parts of the service in the order in which they need each other.
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

// openCluster opens what a gateway of a cluster has beside one that stands alone.
func (s *Service) openCluster(cfg *Config) (err error) {
	if s.cluster, err = s.newClusterMember(cfg.Fleet, cfg.GatewayName); err != nil {
		return err
	}
	if cfg.Fleet.KeyRetention != nil {
		if s.keys, err = s.openKeyReplica(cfg.Fleet); err != nil {
			return err
		}
	}
	if hasFleetPolicy(cfg.Fleet) {
		if s.policy, err = s.openPolicy(cfg); err != nil {
			return err
		}
	}
	s.recovery = s.newStartupRecovery(cfg)
	s.cluster.recovery = s.recovery
	return nil
}

// abandon closes what open has opened before it failed.
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

// updateCoarseTime sets the time of Env.Coarse.
func (s *Service) updateCoarseTime() { s.coarseTime.Store(int64(s.Now())) }

// Addr returns the address of a listener, or nil if there is none of this name.
func (s *Service) Addr(listener string) net.Addr { return s.addresses[listener] }

// Done is closed when the service has ended.
func (s *Service) Done() <-chan struct{} { return s.done }

// Ready reports whether every pool has known an endpoint in service.
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

// Pools returns for each pool's name the number of requests that hold it.
func (s *Service) Pools() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := map[string]int{}
	for name, p := range s.pools {
		requests[name] = p.proxy.Busy()
	}
	return requests
}
