package recovery

import (
	"fmt"
	"time"
)

// Timeouts of the steps. A step that is not listed waits indefinitely.
const (
	// maxPeersWait limits the wait for the other gateways.
	maxPeersWait = 2 * time.Second
	// majorityGracePeriod is the minimum wait before a majority of the gateways is sufficient.
	majorityGracePeriod = 500 * time.Millisecond
	maxKeysWait         = 2 * time.Second
	maxCounterWait      = time.Second
	maxEndpointsWait    = 3 * time.Second
)

// Bounds of the Retry-After of clients that are rejected during startup.
const (
	minRetryAfter = 100 * time.Millisecond
	// retryAfterSpread is the upper bound of the random jitter that keeps clients from retrying all at once.
	retryAfterSpread = time.Second
	// defaultRemaining is the remaining time assumed for a step that has no estimate of its own.
	defaultRemaining = time.Second
)

// Machine is the state machine of one gateway's startup. It is not safe for concurrent use.
type Machine struct {
	config        Config
	current       Step
	startedAt     time.Duration
	stepStartedAt time.Duration
	steps         [stepCount]StepView
}

// New returns a machine whose disk step is done. The text diskDetail tells operators what was read.
func New(now time.Duration, config Config, diskDetail string) *Machine {
	m := &Machine{config: config, startedAt: now, stepStartedAt: now}
	for step := range m.steps {
		m.steps[step] = StepView{Step: Step(step).String(), State: StatePending}
	}
	m.steps[StepDisk].Detail = diskDetail
	m.finishStep(now, StateDone)
	return m
}

// IsOpen reports whether clients are admitted. Once true, it stays true.
func (m *Machine) IsOpen() bool { return m.current == StepClients }

// Steps returns the views of all steps, in order.
func (m *Machine) Steps() []StepView { return append([]StepView(nil), m.steps[:]...) }

// Current returns the view of the current step.
func (m *Machine) Current() StepView { return m.steps[m.current] }

// finishStep ends the current step with a final state and starts the next one.
func (m *Machine) finishStep(now time.Duration, state State) {
	m.setState(now, state)
	m.current++
	m.stepStartedAt = now
	if m.current == StepClients {
		m.setState(now, StateDone)
	} else {
		m.setState(now, StateWaiting)
	}
}

// setState sets the state of the current step and the time of the change.
func (m *Machine) setState(now time.Duration, state State) {
	m.steps[m.current].State = state
	m.steps[m.current].Since = now - m.startedAt
}

// Advance applies an observation and returns the steps that finished by it, in order.
func (m *Machine) Advance(now time.Duration, observed Observation) (finished []StepView) {
	for !m.IsOpen() {
		state, detail := m.evaluate(now, observed)
		m.steps[m.current].Detail = detail
		if state == StateWaiting {
			return finished
		}
		m.finishStep(now, state)
		finished = append(finished, m.steps[m.current-1])
	}
	return finished
}

// evaluate returns the state and the detail of the current step for an observation.
func (m *Machine) evaluate(now time.Duration, observed Observation) (state State, detail string) {
	waited := now - m.stepStartedAt
	switch m.current {
	case StepIdentity:
		return evaluateIdentity(observed)
	case StepPeers:
		return m.evaluatePeers(observed, waited)
	case StepPolicy:
		return m.evaluatePolicy(observed)
	case StepKeys:
		if !m.config.HasKeys {
			return StateNotApplicable, ""
		}
		return evaluateTimed(observed.KeysReady, waited, maxKeysWait, observed.KeysReason)
	case StepCounter:
		if !m.config.HasCounter {
			return StateNotApplicable, ""
		}
		const reason = "the counter has not answered: shares hold without it"
		return evaluateTimed(observed.CounterAnswered, waited, maxCounterWait, reason)
	case StepEndpoints:
		return evaluateTimed(observed.EndpointsServing, waited, maxEndpointsWait, "no backend is in service")
	}
	return StateDone, ""
}

// evaluateTimed returns the state and the detail of a step whose wait for a condition is limited. The reason says
// what is missing.
func evaluateTimed(isMet bool, waited, timeout time.Duration, reason string) (state State, detail string) {
	switch {
	case isMet:
		return StateDone, ""
	case waited >= timeout:
		return StateTimedOut, reason
	}
	return StateWaiting, reason
}

// evaluateIdentity waits indefinitely, so that two processes never serve under the same name.
func evaluateIdentity(observed Observation) (state State, detail string) {
	if observed.HasDuplicate {
		return StateWaiting, "another process has this door's name and goes before it"
	}
	return StateDone, "no other process of its name is known"
}

// evaluatePeers waits for all other gateways. A majority is sufficient once the others had majorityGracePeriod to
// appear.
func (m *Machine) evaluatePeers(observed Observation, waited time.Duration) (state State, detail string) {
	others := m.config.Gateways - 1
	heard := observed.PeersPresent
	isMajority := heard+1 > m.config.Gateways/2
	switch {
	case others == 0:
		return StateNotApplicable, ""
	case heard >= others:
		return StateDone, "all other doors are there"
	case isMajority && waited >= majorityGracePeriod:
		return StateDone, fmt.Sprintf("%d of %d other doors are there, a majority with this one", heard, others)
	}
	return evaluateTimed(false, waited, maxPeersWait, fmt.Sprintf("%d of %d other doors are there", heard, others))
}

// evaluatePolicy waits indefinitely. If the policy is not required, the gateway may decide by its stored version after
// some time; the observation then says so.
func (m *Machine) evaluatePolicy(observed Observation) (state State, detail string) {
	const reason = "no majority of the voters has said which version is present"
	switch {
	case !m.config.HasPolicy:
		return StateNotApplicable, ""
	case observed.PolicyVersion > 0 && observed.MayDecide:
		return StateDone, fmt.Sprintf("version %d", observed.PolicyVersion)
	case m.config.PolicyRequired:
		return StateWaiting, reason
	}
	return StateWaiting, reason + "; the disk's is gone by in a while"
}

// RetryAfter returns the Retry-After for a client that is rejected now: half of the current step's estimated remaining
// time, but at least minRetryAfter, plus a random jitter. The function random returns numbers from 0 to 1.
func (m *Machine) RetryAfter(now time.Duration, random func() float64) time.Duration {
	wait := max(minRetryAfter, m.remaining(now)/2)
	return wait + time.Duration(random()*float64(retryAfterSpread))
}

// remaining estimates the remaining time of the current step.
func (m *Machine) remaining(now time.Duration) time.Duration {
	waited := now - m.stepStartedAt
	switch m.current {
	case StepPeers:
		return maxPeersWait - waited
	case StepCounter:
		return maxCounterWait - waited
	case StepEndpoints:
		return maxEndpointsWait - waited
	case StepIdentity, StepPolicy, StepKeys:
		return defaultRemaining
	}
	return 0
}
