package hosted

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"gapgap/internal/proxy"
)

var (
	errShuttingDown    = errors.New("the service is ending")
	errClusterChanged  = errors.New("a change of [fleet] requires a restart")
	errHasPoolsChanged = errors.New("adding the first [[pool]] or removing the last one requires a restart")
	errPolicyChanges   = errors.New("the cluster's policy keeps changing: try again")
)

// policyRetryInterval is the pause before a reload that met a policy change reads the policy again.
const policyRetryInterval = 10 * time.Millisecond

// Reload applies the pools, routes, accounts and rules of another configuration atomically. It fails, and changes
// nothing, if the shutdown has begun, if a change requires a restart or if a new pool can't be created. Changes of
// listeners and of process resources (memory, sockets, the decision cache) are ignored until a restart. A pool whose
// shape has changed (see Pool) is replaced by a new one, and the old one answers the requests that it has accepted. If
// the cluster has one policy for all gateways, only the node's part of the configuration is applied.
func (s *Service) Reload(cfg *Config) error {
	if s.policy == nil || !hasClusterPolicy(cfg.Fleet) {
		return s.applyConfig(cfg)
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	for {
		merged, version, err := s.policy.parseWithPolicy(ctx, cfg)
		if err != nil {
			return err
		}
		if isApplied, err := s.applyNodePart(merged, version); isApplied || err != nil {
			return err
		}
		select { // another policy version was applied in between
		case <-ctx.Done():
			return errPolicyChanges
		case <-time.After(policyRetryInterval):
		}
	}
}

// applyNodePart applies the node's part of a configuration that was parsed with a version of the policy. It reports
// false, and changes nothing, if this process uses another version by now.
func (s *Service) applyNodePart(cfg *Config, version uint64) (isApplied bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.policyVersion != version {
		return false, nil
	}
	if err := s.applyLocked(cfg); err != nil {
		return false, err
	}
	s.log.Info("the node's part of the file is read again; the policy is the cluster's, the file's is ignored",
		"policy", version)
	return true, nil
}

// applyPolicy applies a version of the policy together with the node's part of the current configuration, which may be
// newer than the one that the policy was built with.
func (s *Service) applyPolicy(version uint64, built *builtPolicy) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !bytes.Equal(s.cfg.text, built.nodeConfig.text) {
		again, err := buildPolicy(s.cfg, built.document)
		if err != nil {
			return err
		}
		built = again
	}
	if err := s.applyLocked(built.cfg); err != nil {
		return err
	}
	s.policyVersion = version
	return nil
}

// applyConfig applies another configuration atomically.
func (s *Service) applyConfig(cfg *Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyLocked(cfg)
}

// applyLocked applies another configuration atomically. The caller holds mu.
func (s *Service) applyLocked(cfg *Config) error {
	if err := s.checkReload(cfg); err != nil {
		return err
	}
	pools, added, err := s.nextPools(cfg)
	if err != nil {
		return err
	}
	// From here on nothing can fail.
	s.moveGuarantees(cfg, pools)
	for _, p := range added {
		p.start()
	}
	for i := range cfg.Pools {
		s.updatePool(pools[cfg.Pools[i].Node.Name], &cfg.Pools[i])
	}
	s.Shared.SetIdentities(cfg.Accounts)
	s.router.update(cfg.Routes, pools)
	former := s.pools
	s.pools = pools
	s.cfg = cfg
	for name, p := range former {
		if pools[name] != p {
			s.removals.Add(1)
			go s.removePool(p)
		}
	}
	return nil
}

// checkReload checks that a configuration has no change that requires a restart. The caller holds mu.
func (s *Service) checkReload(cfg *Config) error {
	switch {
	case s.isShuttingDown:
		return errShuttingDown
	case !cfg.Fleet.Same(s.cfg.Fleet):
		return errClusterChanged
	case cfg.HasPools != (s.limits != nil):
		return errHasPoolsChanged
	}
	return nil
}

// nextPools returns the pools of a configuration by name, and which of them are new. A pool whose shape is unchanged is
// kept. The caller holds mu.
func (s *Service) nextPools(cfg *Config) (pools map[string]*pool, added []*pool, err error) {
	pools = map[string]*pool{}
	for i := range cfg.Pools {
		poolConfig := &cfg.Pools[i]
		name := poolConfig.Node.Name
		p := s.pools[name]
		if p == nil || p.cfg.shape != poolConfig.shape {
			if p, err = s.newPool(poolConfig); err != nil {
				for _, p := range added {
					s.discardPool(p)
				}
				return nil, nil, fmt.Errorf("pool %s: %w", name, err)
			}
			added = append(added, p)
		}
		pools[name] = p
	}
	return pools, added, nil
}

// moveGuarantees sets the guarantees of a configuration. Pools that will be removed lose theirs first, to free capacity
// for the guarantees of new pools. The caller holds mu.
func (s *Service) moveGuarantees(cfg *Config, pools map[string]*pool) {
	for name, p := range s.pools {
		if pools[name] != p {
			p.limits.setGuarantee(0)
		}
	}
	for i := range cfg.Pools {
		pools[cfg.Pools[i].Node.Name].limits.setGuarantee(cfg.Pools[i].Guarantee)
	}
}

// updatePool applies a configuration of the same shape to a pool: its plans and classes keep their indices. The caller
// holds mu.
func (s *Service) updatePool(p *pool, cfg *Pool) {
	if p.cfg.plans != cfg.plans {
		if err := p.proxy.UpdateSettings(cfg.Node.Rules()); err != nil { // a bug: the settings were validated
			s.log.Error("the plans of a pool were not updated", "pool", cfg.Node.Name, "error", err)
		}
	}
	p.cfg = cfg
	s.Shared.Add(p.proxy, cfg.Accounts)
	p.proxy.SetAddresses(cfg.Node.Discovery, cfg.Node.Counter)
}

// removePool stops a pool that no route refers to any more, once its accepted requests are answered. After the longest
// client timeout plus proxy.AnswerMargin every request has had its answer, but for long values that are on their way:
// they have no deadline, and are waited for as long as they make progress.
func (s *Service) removePool(p *pool) {
	defer s.removals.Done()
	p.proxy.Retire()
	p.proxy.RejectHeld()
	giveUpAt := s.Now() + p.proxy.LongestTimeout() + proxy.AnswerMargin
	for p.proxy.Busy() > 0 && (s.Now() < giveUpAt || p.proxy.Transfers() > 0) {
		time.Sleep(drainInterval)
	}
	p.end()
	s.cluster.removePool(p.proxy)
	p.inbox.remove()
	p.limits.leave()
	s.Shared.Remove(p.proxy)
	s.deleteMetrics(p.cfg.Node.Name)
	s.log.Info("pool removed", "pool", p.cfg.Node.Name, "unanswered", p.proxy.Unanswered())
}

// deleteMetrics deletes the time series of a removed pool, unless a new pool of the same name continues them.
func (s *Service) deleteMetrics(pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.metrics != nil && s.pools[pool] == nil {
		s.metrics.deletePool(pool)
	}
}
