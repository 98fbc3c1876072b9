package hosted

import (
	"gapgap/internal/balancer"
	"gapgap/internal/cpuscheduler"
	"gapgap/internal/endpoint"
	"gapgap/internal/proxy"
	"gapgap/internal/service"
)

// pool is one backend service behind the frontends: a proxy with its own event loop, whose goroutine the pool owns.
type pool struct {
	cfg   *Pool
	proxy *proxy.Proxy
	// limits is nil if the file has no [[pool]] tables.
	limits *poolLimits
	inbox  *endpointInbox
	// isStarted is set once the event loop was started.
	isStarted bool
	stop      chan struct{}
	ended     chan struct{}
}

// newPool creates a pool. It is inactive until start.
func (s *Service) newPool(cfg *Pool) (*pool, error) {
	p := &pool{
		cfg:    cfg,
		limits: s.limits.join(cfg.Node.Name),
		stop:   make(chan struct{}),
		ended:  make(chan struct{}),
	}
	loop := s.clock.NewWithSameClock()
	poolProxy, err := service.NewProxy(loop, cfg.Node, s.poolParts(p), s.log.With("pool", cfg.Node.Name))
	if err != nil {
		p.limits.leave()
		return nil, err
	}
	p.limits.setGuarantee(cfg.Guarantee)
	p.proxy = poolProxy
	s.cluster.addPool(poolProxy, s.clusterPoolName(cfg))
	s.Shared.Add(poolProxy, cfg.Accounts)
	return p, nil
}

// poolParts returns the connections of a pool's proxy to the other components of the process.
func (s *Service) poolParts(p *pool) service.Parts {
	cfg := p.cfg
	clusterName := s.clusterPoolName(cfg)
	parts := service.Parts{
		Space:         cfg.CounterSpace,
		Scheduler:     s.poolFlow(cfg),
		DecisionLease: s.policy.decisionLease(),
		SentIDs:       s.sentIDs,
		UpdateReceiver: func(poolProxy *proxy.Proxy) func(endpoint.Update) {
			p.inbox = s.inboxes.add(poolProxy)
			return p.inbox.applyUpdate
		},
		HealthReportReceiver: func(*proxy.Proxy) func(balancer.HealthReport) { return p.inbox.shareReport },
	}
	if s.recovery != nil {
		parts.StartupBarrier = s.recovery.barrier
	}
	if s.keys != nil {
		parts.KeyReserver = poolKeys{replica: s.keys, poolName: clusterName}
	}
	if s.cluster != nil {
		parts.NoCounter = s.cluster.isClockWrong.Load
		sendLoans := s.cluster.loanSender(clusterName)
		parts.PeerActionReceiver = func(*proxy.Proxy) func(balancer.Action) { return sendLoans }
	}
	if s.metrics != nil {
		parts.OnAnswer = s.metrics.answerObserver(cfg.Node.Name, cfg.Node.Transport.Classes)
	}
	p.limits.setParts(&parts, cfg.MaxServerConnections)
	return parts
}

// clusterPoolName returns the name of a pool in messages to other gateways. It is empty for the only pool, whose own
// name is the name of its gateway.
func (s *Service) clusterPoolName(cfg *Pool) string {
	if s.cfg.HasPools {
		return cfg.Node.Name
	}
	return ""
}

// poolFlow returns a pool's flow in the CPU scheduler, or nil if the pools do not share the CPU by weight.
func (s *Service) poolFlow(cfg *Pool) *cpuscheduler.Flow {
	if s.cpuScheduler == nil {
		return nil
	}
	return s.cpuScheduler.Flow(cfg.Weight)
}

// start starts the event loop.
func (p *pool) start() {
	p.isStarted = true
	go func() {
		defer close(p.ended)
		p.proxy.Serve(p.stop)
	}()
}

// end stops the event loop, if it was started, and waits until it has ended.
func (p *pool) end() {
	if p.isStarted {
		close(p.stop)
		<-p.ended
	}
}

// discardPool releases what newPool registered for a pool that was never started.
func (s *Service) discardPool(p *pool) {
	p.inbox.remove()
	p.limits.leave()
	s.cluster.removePool(p.proxy)
	s.Shared.Remove(p.proxy)
}
