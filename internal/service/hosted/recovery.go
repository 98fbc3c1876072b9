package hosted

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gapgap/internal/proxy"
	"gapgap/internal/recovery"
)

const (
	// recoveryInterval is how often the recovery checks the conditions of its current step.
	recoveryInterval = 20 * time.Millisecond
	// maxDiskReportLines bounds the report on the state read from disk.
	maxDiskReportLines = 16

	// noKeyQuorumText is reported when keys are not ready and the replica gives no reason.
	noKeyQuorumText = "too few voters answer for keys: changes are refused"
)

// startupRecovery runs the steps of the recovery after a start and rejects clients until the last one is done. It is
// nil for a gateway that is not part of a cluster; only methods that document it may be called on nil.
type startupRecovery struct {
	service *Service
	// name is the name of this gateway, which no reload changes.
	name       string
	barrier    *proxy.StartupBarrier
	stopped    chan struct{}
	goroutines sync.WaitGroup

	// mu guards the fields below.
	mu      sync.Mutex
	machine *recovery.Machine
	// hasCounterAnswered is set once all counters have answered.
	hasCounterAnswered bool
	// diskReport has one line for each kind of state that was or was not restored from disk.
	diskReport []string
}

// RecoveryView is the progress of a gateway's recovery as operators see it.
type RecoveryView struct {
	// Name is the name of the gateway.
	Name string `json:"name"`
	// Open reports whether clients are admitted.
	Open bool `json:"open"`
	// Steps has all steps in order.
	Steps []recovery.StepView `json:"steps"`
	// Trusted describes what was restored from disk and what was not.
	Trusted []string `json:"trusted"`
}

// newStartupRecovery returns the recovery at its first step. The state on disk must have been read.
func (s *Service) newStartupRecovery(cfg *Config) *startupRecovery {
	r := &startupRecovery{service: s, name: cfg.GatewayName, stopped: make(chan struct{})}
	identity := fmt.Sprintf("incarnation %d, read from disk", s.cluster.identity.Incarnation())
	r.reportDisk(identity)
	if s.keys != nil && s.keys.View().IsVoter {
		r.reportDisk(s.keys.DiskSummary())
	}
	if s.policy != nil {
		if version := s.policy.replica.StoredVersion().Number; version > 0 {
			r.reportDisk(fmt.Sprintf("policy: version %d is stored on disk; "+
				"it is used only if the voters confirm that it is current", version))
		}
	}
	r.reportDisk("not restored, by design: shares, leases, loans, balances, the state of endpoints")
	r.machine = recovery.New(s.clock.Now(), s.recoveryConfig(cfg), identity)
	r.barrier = proxy.NewStartupBarrier(r.retryAfter)
	return r
}

// recoveryConfig returns the conditions that the recovery waits for.
func (s *Service) recoveryConfig(cfg *Config) recovery.Config {
	config := recovery.Config{
		Gateways:       len(cfg.Fleet.Gateways),
		HasPolicy:      s.policy != nil,
		PolicyRequired: s.policy != nil && !cfg.Fleet.Policy.UseLastKnown,
		HasKeys:        s.keys != nil,
	}
	for i := range cfg.Pools {
		config.HasCounter = config.HasCounter || cfg.Pools[i].Node.Counter != ""
	}
	return config
}

// reportDisk adds a line to diskReport.
func (r *startupRecovery) reportDisk(line string) {
	if len(r.diskReport) < maxDiskReportLines {
		r.diskReport = append(r.diskReport, line)
	}
}

// retryAfter returns the Retry-After of a client that is rejected now.
func (r *startupRecovery) retryAfter() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.RetryAfter(r.service.clock.Now(), rand.Float64)
}

// start starts the recovery. It does nothing on a nil receiver.
func (r *startupRecovery) start() {
	if r == nil {
		return
	}
	r.goroutines.Go(r.awaitCounters)
	r.goroutines.Go(r.run)
}

// stop ends the recovery at whatever step it is and waits for its goroutines. It does nothing on a nil receiver.
func (r *startupRecovery) stop() {
	if r == nil {
		return
	}
	close(r.stopped)
	r.goroutines.Wait()
}

// run advances the recovery until clients are admitted.
func (r *startupRecovery) run() {
	tick := time.NewTicker(recoveryInterval)
	defer tick.Stop()
	for !r.advance() {
		select {
		case <-tick.C:
		case <-r.stopped:
			return
		}
	}
}

// advance finishes the steps whose conditions are met. After the last one it admits clients and returns true.
func (r *startupRecovery) advance() (isOpen bool) {
	observed := r.service.observeRecovery()
	log, now := r.service.log, r.service.clock.Now
	r.mu.Lock()
	defer r.mu.Unlock()
	observed.CounterAnswered = r.hasCounterAnswered
	for _, step := range r.machine.Advance(now(), observed) {
		log.Info("recovery",
			"step", step.Step,
			"is", step.State,
			"after", step.Since.Round(time.Millisecond),
			"what", step.Detail)
	}
	if !r.machine.IsOpen() {
		return false
	}
	r.barrier.Open()
	log.Info("recovery: clients are admitted", "after", r.machine.Current().Since.Round(time.Millisecond))
	return true
}

// observeRecovery returns the state of the conditions that the recovery waits for, except for the counters.
func (s *Service) observeRecovery() recovery.Observation {
	view := s.cluster.transport.View()
	observed := recovery.Observation{HasDuplicate: view.HasDuplicate, EndpointsServing: s.Ready()}
	for _, gateway := range view.Gateways {
		if gateway.Name != view.Name && gateway.IsPresent() {
			observed.PeersPresent++
		}
	}
	if s.policy != nil {
		policy := s.policy.replica.View()
		observed.PolicyVersion = policy.Version.Number
		observed.MayDecide = policy.DecidesUntil > s.clock.Now()
	}
	if s.keys != nil {
		keys := s.keys.View()
		observed.KeysReady = s.keys.HasQuorum() && (keys.Ready || !keys.IsVoter)
		observed.KeysReason = keys.Reason
		if observed.KeysReason == "" {
			observed.KeysReason = noKeyQuorumText
		}
	}
	return observed
}

// isOpen reports whether clients are admitted.
func (r *startupRecovery) isOpen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.IsOpen()
}

// view returns the progress of the recovery.
func (r *startupRecovery) view() RecoveryView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RecoveryView{
		Name:    r.name,
		Open:    r.machine.IsOpen(),
		Steps:   r.machine.Steps(),
		Trusted: r.diskReport,
	}
}

// currentStep describes the current step to operators at other gateways. It is empty on a nil receiver.
func (r *startupRecovery) currentStep() string {
	if r == nil {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.machine.IsOpen() {
		return "open"
	}
	step := r.machine.Current()
	return fmt.Sprintf("%s: %s", step.Step, step.Detail)
}
