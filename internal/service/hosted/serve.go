package hosted

import (
	"context"
	"time"

	"gapgap/internal/proxy"
)

const (
	// statsInterval is how often the stats are logged.
	statsInterval = time.Minute
	// coarseInterval is how often the time of Env.Coarse is updated.
	coarseInterval = 20 * time.Millisecond
	// drainInterval is how often a shutdown or a pool removal checks whether all requests are done.
	drainInterval = 10 * time.Millisecond
)

// Serve serves until the context ends, then shuts down (see shutdown) and returns. It may be called only once.
func (s *Service) Serve(ctx context.Context) {
	defer close(s.done)
	s.start()
	s.serveUntil(ctx)
	s.shutdown()
}

// start starts all components, the frontends last.
func (s *Service) start() {
	s.mu.Lock()
	for _, p := range s.pools {
		p.start()
	}
	s.mu.Unlock()
	s.Shared.Begin(s.authzFrontends...)
	if s.keys != nil {
		s.keys.Start()
	}
	s.cluster.start(s.policy)
	s.policy.start()
	s.recovery.start()
	if s.cluster != nil {
		s.log.Info("serving", "listener", "fleet", "address", s.cluster.transport.Addr())
	}
	for name, address := range s.addresses {
		s.log.Info("serving", "listener", name, "address", address)
	}
	for _, frontend := range s.frontends {
		frontend.Serve()
	}
}

// serveUntil does the periodic work until the context ends.
func (s *Service) serveUntil(ctx context.Context) {
	coarseTick := time.NewTicker(coarseInterval)
	defer coarseTick.Stop()
	statsTick := time.NewTicker(statsInterval)
	defer statsTick.Stop()
	for {
		select {
		case <-coarseTick.C:
			s.updateCoarseTime()
		case <-statsTick.C:
			s.log.Info("figures", "checks", &s.Shared.Stats, "pools", s.PoolStats())
		case <-ctx.Done():
			return
		}
	}
}

// shutdown answers the accepted requests and stops all components:
//
//  1. Reloads are rejected from now on.
//  2. What the clients are owed is done: see [proxy.Shutdown]. Requests without an answer after that are logged as
//     unanswered.
//  3. The pools' event loops stop, then the recovery, the policy replica and the key replica.
//  4. The gateway announces to the others that it leaves, so that they can use its share at once.
func (s *Service) shutdown() {
	s.log.Info("ending")
	s.drainFrontends(proxy.NewShutdown(s.Now(), s.stopReloads()))
	for _, frontend := range s.authzFrontends {
		frontend.Close()
	}
	unanswered := s.endPools()
	s.removals.Wait()
	s.recovery.stop()
	s.policy.leave()
	if s.keys != nil {
		s.keys.Close()
	}
	s.cluster.leave()
	s.Shared.Close()
	s.log.Info("figures", "checks", &s.Shared.Stats)
	s.log.Info("ended", "unanswered", unanswered)
}

// stopReloads rejects all further reloads and returns the longest time that a request of any pool may take.
func (s *Service) stopReloads() (longestTimeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isShuttingDown = true
	for _, p := range s.pools {
		longestTimeout = max(longestTimeout, p.proxy.LongestTimeout())
	}
	return longestTimeout
}

// drainFrontends returns when the shutdown of the frontends is complete.
func (s *Service) drainFrontends(shutdown *proxy.Shutdown) {
	for !shutdown.Advance(s.Now(), false, s.frontends) {
		s.updateCoarseTime()
		time.Sleep(drainInterval)
	}
}

// endPools stops all pools and returns the number of unanswered requests. The pools must not change any more.
func (s *Service) endPools() (unanswered int) {
	for _, p := range s.pools {
		p.end()
		unanswered += p.proxy.Unanswered()
		s.cluster.removePool(p.proxy)
	}
	return unanswered
}
