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
	// recoveryInterval is how often the steps of the recovery are advanced.
	recoveryInterval = 20 * time.Millisecond
	// maxDiskReportLines bounds the report on what was taken from the disk.
	maxDiskReportLines = 16

	// noKeyQuorumText is the reason of keys that are not ready where the replica gives none.
	noKeyQuorumText = "too few voters answer for keys: changes are refused"
)

// startupRecovery takes this process through the steps of its recovery, and rejects clients until the last is done. A
// nil startupRecovery stands for a gateway that stands alone; of such a one only the methods that say so may be called.
type startupRecovery struct {
	service *Service
	// name is this gateway's, which no reload changes.
	name       string
	barrier    *proxy.StartupBarrier
	stopped    chan struct{}
	goroutines sync.WaitGroup

	// mu is held while the fields below are used.
	mu      sync.Mutex
	machine *recovery.Machine
	// hasCounterAnswered tells that all counters have.
	hasCounterAnswered bool
	// diskReport has a line for each thing that was taken from the disk, or was not.
	diskReport []string
}

// RecoveryView is how far a gateway's recovery has come, as operators see it.
type RecoveryView struct {
	// Name is that of the gateway.
	Name string `json:"name"`
	// Open tells whether clients are let in.
	Open bool `json:"open"`
	// Steps are all steps in order.
	Steps []recovery.StepView `json:"steps"`
	// Trusted tells what was taken from the disk, and what was not.
	Trusted []string `json:"trusted"`
}

// newStartupRecovery returns the recovery at its first step. The disk must have been read.
func (s *Service) newStartupRecovery(cfg *Config) *startupRecovery {
	r := &startupRecovery{service: s, name: cfg.GatewayName, stopped: make(chan struct{})}
	identity := fmt.Sprintf("incarnation %d, by the disk", s.cluster.identity.Incarnation())
	r.reportDisk(identity)
	if s.keys != nil && s.keys.View().IsVoter {
		r.reportDisk(s.keys.DiskSummary())
	}
	if s.policy != nil {
		if version := s.policy.replica.StoredVersion().Number; version > 0 {
			r.reportDisk(fmt.Sprintf("policy: the disk has version %d, "+
				"which is gone by only if the voters say that it is present", version))
		}
	}
	r.reportDisk("thrown away by rule: shares, leases, loans, balances, what was known of servers")
	r.machine = recovery.New(s.clock.Now(), s.recoveryConfig(cfg), identity)
	r.barrier = proxy.NewStartupBarrier(r.retryAfter)
	return r
}

// recoveryConfig returns which conditions there are to wait for.
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

// reportDisk adds a line to the report on the disk.
func (r *startupRecovery) reportDisk(line string) {
	if len(r.diskReport) < maxDiskReportLines {
		r.diskReport = append(r.diskReport, line)
	}
}

// retryAfter returns what a client that is rejected now is told.
func (r *startupRecovery) retryAfter() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.RetryAfter(r.service.clock.Now(), rand.Float64)
}

// start starts the recovery. A nil recovery has none.
func (r *startupRecovery) start() {
	if r == nil {
		return
	}
	r.goroutines.Go(r.awaitCounters)
	r.goroutines.Go(r.run)
}

// stop ends the recovery, whatever its step, and waits for that. A nil recovery has none.
func (r *startupRecovery) stop() {
	if r == nil {
		return
	}
	close(r.stopped)
	r.goroutines.Wait()
}

// run advances the recovery until clients are let in.
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

// advance finishes the steps whose conditions are met. After the last it lets clients in and returns true.
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
	log.Info("recovery: clients are let in", "after", r.machine.Current().Since.Round(time.Millisecond))
	return true
}

// observeRecovery returns what the recovery waits for, but for the counters.
func (s *Service) observeRecovery() recovery.Observation {
	view := s.cluster.transport.View()
	observed := recovery.Observation{HasRival: view.HasDuplicate, EndpointsServing: s.Ready()}
	for _, gateway := range view.Gateways {
		if gateway.Name != view.Name && gateway.IsPresent() {
			observed.PeersHeard++
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

// isOpen reports whether clients are let in.
func (r *startupRecovery) isOpen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.IsOpen()
}

// view returns how far the recovery has come.
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

// currentStep describes the current step to operators at other gateways. A nil recovery has none.
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
