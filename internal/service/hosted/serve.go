package hosted

import (
	"context"
	"time"

	"gapgap/internal/proxy"
)

const (
	// statsInterval is how often the stats are logged.
	statsInterval = time.Minute
	// coarseInterval is how often the time of Env.Coarse is set.
	coarseInterval = 20 * time.Millisecond
	// drainInterval is how often a shutdown, or a pool's removal, looks whether all is done.
	drainInterval = 10 * time.Millisecond
)

// Serve serves until the context ends, then shuts down and returns: see shutdown. It may be called once.
func (s *Service) Serve(ctx context.Context) {
	defer close(s.done)
	s.start()
	s.serveUntil(ctx)
	s.shutdown()
}

// start starts all parts of the service, the frontends last.
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

// shutdown answers the requests that were taken and ends all parts of the service:
//
//  1. Reloads are refused from now on.
//  2. For proxy.AcceptAfterTerm connections and requests are still accepted.
//  3. Listeners and idle connections are closed until no client waits for an answer, for the longest client timeout and
//     proxy.AnswerMargin at most. Requests without an answer after that are logged as unanswered.
//  4. The pools' event loops end, then the recovery, the policy replica and the key replica.
//  5. The other gateways are told that this one leaves, so that its share is free for them at once.
func (s *Service) shutdown() {
	s.log.Info("ending")
	longestTimeout := s.stopReloads()
	closeListenersAt := s.Now() + proxy.AcceptAfterTerm
	s.drainFrontends(closeListenersAt, closeListenersAt+longestTimeout+proxy.AnswerMargin)
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

// stopReloads ends reloads for good, and returns the longest time that a request of any pool may take.
func (s *Service) stopReloads() (longestTimeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isEnding = true
	for _, p := range s.pools {
		longestTimeout = max(longestTimeout, p.proxy.LongestTimeout())
	}
	return longestTimeout
}

// drainFrontends waits until closeListenersAt, then closes all listeners and returns when no client waits for an
// answer, at giveUpAt at the latest. Both are times of the event loops' clock.
func (s *Service) drainFrontends(closeListenersAt, giveUpAt time.Duration) {
	for {
		now := s.Now()
		s.coarseTime.Store(int64(now))
		if now >= closeListenersAt && (s.drainOnce() || now >= giveUpAt) {
			return
		}
		time.Sleep(drainInterval)
	}
}

// drainOnce closes all listeners, and connections that are between two requests. It reports whether none is left.
func (s *Service) drainOnce() bool {
	isDrained := true
	for _, frontend := range s.frontends {
		frontend.CloseListeners()
	}
	for _, frontend := range s.frontends {
		isDrained = frontend.Drain() && isDrained
	}
	return isDrained
}

// endPools ends all pools and returns the number of requests that they have not answered. Nobody changes the pools any
// more.
func (s *Service) endPools() (unanswered int) {
	for _, p := range s.pools {
		p.end()
		unanswered += p.proxy.Unanswered()
		s.cluster.removePool(p.proxy)
	}
	return unanswered
}
