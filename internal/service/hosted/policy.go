package hosted

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"gapgap/internal/policy"
	"gapgap/internal/policyreplica"
	"gapgap/internal/proxy"
)

// switchTimeout is how long the event loops of all pools may take to switch to another policy version.
const switchTimeout = 2 * time.Second

var (
	errNoVersion   = errors.New("this door has not yet learned the fleet's policy")
	errNotBuilt    = errors.New("the policy is not a built policy document")
	errLoopStalled = errors.New("a pool's event loop does not respond")
)

// policyHost applies the cluster's policy to the pools of this process. It is nil for a process that uses the policy of
// its file; only methods that document it may be called on nil.
type policyHost struct {
	service *Service
	replica *policyreplica.Replica
	// name is the name of this gateway, which no reload changes.
	name string
	// gateways has the names of all gateways by index.
	gateways []string
	lease    *proxy.DecisionLease

	// mu guards decidesUntil.
	mu           sync.Mutex
	decidesUntil time.Duration
}

var _ policyreplica.Host = (*policyHost)(nil)

// openPolicy opens the policy replica with its state on disk.
func (s *Service) openPolicy(cfg *Config) (*policyHost, error) {
	host := &policyHost{service: s, name: cfg.GatewayName, lease: proxy.NewDecisionLease()}
	for _, gateway := range cfg.Fleet.Gateways {
		host.gateways = append(host.gateways, gateway.Name)
	}
	replica, err := policyreplica.New(host.replicaConfig(cfg))
	if err != nil {
		return nil, fmt.Errorf("fleet.policy: %w", err)
	}
	host.replica = replica
	return host, nil
}

func (p *policyHost) replicaConfig(cfg *Config) policyreplica.Config {
	s, fleet := p.service, cfg.Fleet
	config := policyreplica.Config{
		Name:     cfg.GatewayName,
		Index:    fleet.Index,
		Gateways: p.gateways,
		FS:       s.disk,
		Dir:      fleet.StateDir,
		Now:      s.clock.Now,
		Log:      s.log.With("of", "policy"),
		Send:     s.cluster.transport.SendPolicy,
		Process: func() policy.Process {
			return policy.Process{Gateway: uint16(fleet.Index), ID: s.cluster.transport.ID()}
		},
		InitialPolicy: func() ([]byte, error) { return policyOf(cfg.text) },
		AbortAfter:    fleet.Policy.GiveUp,
		Fence:         fleet.Policy.Fence,
		Host:          p,
	}
	if fleet.Policy.UseLastKnown {
		config.StoredVersionDelay = fleet.Policy.LastKnownWait
	}
	return config
}

// decisionLease returns the decision lease of the pools. It is nil on a nil host.
func (p *policyHost) decisionLease() *proxy.DecisionLease {
	if p == nil {
		return nil
	}
	return p.lease
}

// start starts the replica. It does nothing on a nil host.
func (p *policyHost) start() {
	if p != nil {
		p.replica.Start()
	}
}

// close stops the replica. It does nothing on a nil host.
func (p *policyHost) close() {
	if p != nil {
		p.replica.Close()
	}
}

// leave notifies the other gateways that this one no longer decides requests, and stops the replica. All pools must
// have ended. It does nothing on a nil host.
func (p *policyHost) leave() {
	if p != nil {
		p.replica.Leave()
		p.replica.Close()
	}
}

// builtPolicy is a policy document merged with the node's part of this gateway's own file.
type builtPolicy struct {
	document []byte
	// nodeConfig is the configuration of that file, and cfg the merged configuration.
	nodeConfig *Config
	cfg        *Config
}

// Build implements [policyreplica.Host].
func (p *policyHost) Build(document []byte) (any, error) {
	p.service.mu.Lock()
	own := p.service.cfg
	p.service.mu.Unlock()
	return buildPolicy(own, document)
}

// buildPolicy merges a policy document with the node's part of a configuration.
func buildPolicy(own *Config, document []byte) (*builtPolicy, error) {
	cfg, err := ParseWithPolicy(own.file, own.text, "policy", document)
	if err != nil {
		return nil, err
	}
	return &builtPolicy{document: document, nodeConfig: own, cfg: cfg}, nil
}

// parseWithPolicy merges the node's part of a configuration with the policy that this gateway uses. It returns the
// result and the version number of that policy.
func (p *policyHost) parseWithPolicy(ctx context.Context, cfg *Config) (*Config, uint64, error) {
	view := p.replica.View()
	if view.Version.Number == 0 {
		return nil, 0, errNoVersion
	}
	document, err := p.replica.Document(ctx, view.Version.Hash)
	if err != nil {
		return nil, 0, err
	}
	merged, err := ParseWithPolicy(cfg.file, cfg.text, "policy", document)
	return merged, view.Version.Number, err
}

// StopDeciding implements [policyreplica.Host].
func (p *policyHost) StopDeciding() { p.SetDecisionDeadline(0) }

// SetDecisionDeadline implements [policyreplica.Host]. If the decision lease had expired, the pools resume the requests
// that were held without it.
func (p *policyHost) SetDecisionDeadline(deadline time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasStopped := p.decidesUntil <= p.service.clock.Now()
	p.decidesUntil = deadline
	p.lease.Extend(deadline)
	if !wasStopped || deadline <= 0 {
		return
	}
	for _, pool := range p.proxies() {
		pool.Resume()
	}
}

// proxies returns the proxies of all pools.
func (p *policyHost) proxies() (all []*proxy.Proxy) {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	for _, pool := range p.service.pools {
		all = append(all, pool.proxy)
	}
	return all
}

// SwitchTo implements [policyreplica.Host]. It returns once all event loops use the version.
func (p *policyHost) SwitchTo(version uint64, built any) error {
	ready, ok := built.(*builtPolicy)
	if !ok {
		return errNotBuilt
	}
	if err := p.service.applyPolicy(version, ready); err != nil {
		return err
	}
	all := p.proxies()
	switched := make(chan struct{}, len(all))
	for _, pool := range all {
		pool.SetPolicyVersion(version, func() { switched <- struct{}{} })
	}
	timeout := time.After(switchTimeout)
	for range all {
		select {
		case <-switched:
		case <-timeout:
			return errLoopStalled
		}
	}
	return nil
}

// gatewayName returns the name of a gateway by its index.
func (p *policyHost) gatewayName(index uint16) string {
	if int(index) < len(p.gateways) {
		return p.gateways[index]
	}
	return fmt.Sprint("door ", index)
}

// withGatewayNames replaces the indices of gateways in a reason by their names.
func (p *policyHost) withGatewayNames(reason string) string {
	return policy.ReplaceGatewayNumbers(reason, p.gateways)
}
