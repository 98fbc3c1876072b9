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
	errEnding          = errors.New("the service is ending")
	errFleetChanged    = errors.New("what [fleet] says changes with a restart only")
	errHasPoolsChanged = errors.New("whether there are pools changes with a restart only")
	errPolicyChanges   = errors.New("the fleet's policy changes all the time: say it again")
)

// policyRetryInterval is the pause until a reload looks again at the policy that has just changed.
const policyRetryInterval = 10 * time.Millisecond

// Reload takes the pools, routes, accounts and rules of another configuration, whole or not at all. Its error says why
// it takes nothing: the shutdown has begun, the configuration changes what takes a restart, or a new pool can't be
// made. Changes of listeners and of what the process has (memory, sockets, the decision cache) are not looked at before
// a restart. A pool whose shape has changed (see Pool) is replaced by a new one, and the old one answers what it took.
// Where all gateways have one policy, only the node's part of the configuration is taken.
func (s *Service) Reload(cfg *Config) error {
	if s.policy == nil || !hasFleetPolicy(cfg.Fleet) {
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
		select { // another version takes hold just now
		case <-ctx.Done():
			return errPolicyChanges
		case <-time.After(policyRetryInterval):
		}
	}
}

// applyNodePart takes the node's part of a configuration that was read with a version of the policy. It reports false,
// and takes nothing, if this process goes by another version by now.
func (s *Service) applyNodePart(cfg *Config, version uint64) (isApplied bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.policyVersion != version {
		return false, nil
	}
	if err := s.applyLocked(cfg); err != nil {
		return false, err
	}
	s.log.Info("the node's part of the file is read again; the policy is the fleet's, and the file's is not looked at",
		"policy", version)
	return true, nil
}

// applyPolicy takes a version of the policy with the node's part of the present configuration, which may be a later one
// than that with which the policy was built.
func (s *Service) applyPolicy(version uint64, built *builtPolicy) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !bytes.Equal(s.cfg.text, built.own.text) {
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

// applyConfig takes another configuration, whole or not at all.
func (s *Service) applyConfig(cfg *Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyLocked(cfg)
}

// applyLocked takes another configuration, whole or not at all. The caller holds mu.
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

// checkReload checks that a configuration changes nothing that takes a restart. The caller holds mu.
func (s *Service) checkReload(cfg *Config) error {
	switch {
	case s.isEnding:
		return errEnding
	case !cfg.Fleet.Same(s.cfg.Fleet):
		return errFleetChanged
	case cfg.HasPools != (s.limits != nil):
		return errHasPoolsChanged
	}
	return nil
}

// nextPools returns the pools of a configuration by name, and those of them that are new. A pool that has not changed
// in shape goes on. The caller holds mu.
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

// moveGuarantees sets the guarantees of a configuration. Pools that are to be removed lose theirs first, so that there
// is capacity for those of new pools. The caller holds mu.
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

// updatePool applies a configuration of the same shape to a pool: its plans and classes have the same numbers. The
// caller holds mu.
func (s *Service) updatePool(p *pool, cfg *Pool) {
	if p.cfg.plans != cfg.plans {
		if err := p.proxy.UpdateSettings(cfg.Node.Rules()); err != nil { // a bug: the settings were checked
			s.log.Error("a pool goes on with its plans as they were", "pool", cfg.Node.Name, "error", err)
		}
	}
	p.cfg = cfg
	s.Shared.Add(p.proxy, cfg.Accounts)
	p.proxy.SetAddresses(cfg.Node.Discovery, cfg.Node.Counter)
}

// removePool ends a pool to which no route leads any more, once what it took is answered, or after the longest client
// timeout and proxy.AnswerMargin at the latest.
func (s *Service) removePool(p *pool) {
	defer s.removals.Done()
	p.proxy.Retire()
	p.proxy.RejectHeld()
	giveUpAt := s.Now() + p.proxy.LongestTimeout() + proxy.AnswerMargin
	for p.proxy.Busy() > 0 && s.Now() < giveUpAt {
		time.Sleep(drainInterval)
	}
	p.end()
	s.cluster.removePool(p.proxy)
	p.inbox.remove()
	p.limits.leave()
	s.Shared.Remove(p.proxy)
	s.forgetMetrics(p.cfg.Node.Name)
	s.log.Info("pool removed", "pool", p.cfg.Node.Name, "unanswered", p.proxy.Unanswered())
}

// forgetMetrics removes the series of a pool that was removed, unless there is a new one of its name, which goes on
// with them.
func (s *Service) forgetMetrics(pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.metrics != nil && s.pools[pool] == nil {
		s.metrics.forget(pool)
	}
}
