package recovery

import (
	"fmt"
	"time"
)

// How long a step waits for its condition. A step that is not listed waits without limit.
const (
	// maxPeersWait is for all other gateways.
	maxPeersWait = 2 * time.Second
	// majorityGracePeriod is how long a majority of gateways waits for the rest.
	majorityGracePeriod = 500 * time.Millisecond
	maxKeysWait         = 2 * time.Second
	maxCounterWait      = time.Second
	maxEndpointsWait    = 3 * time.Second
)

// Retry-After of clients that are rejected meanwhile.
const (
	minRetryAfter = 100 * time.Millisecond
	// retryAfterSpread keeps clients from coming back all at once.
	retryAfterSpread = time.Second
	// defaultRemaining stands for the remaining time of a step whose end is not known.
	defaultRemaining = time.Second
)

// Machine is the state of one gateway's startup. It is not safe for concurrent use.
type Machine struct {
	config        Config
	current       Step
	startedAt     time.Duration
	stepStartedAt time.Duration
	steps         [stepCount]StepView
}

// New returns a machine whose disk step is done; disk tells operators what was read.
func New(now time.Duration, config Config, disk string) *Machine {
	m := &Machine{config: config, startedAt: now, stepStartedAt: now}
	for step := range m.steps {
		m.steps[step] = StepView{Step: Step(step).String(), State: StatePending}
	}
	m.steps[StepDisk].Detail = disk
	m.finishStep(now, StateDone)
	return m
}

// IsOpen tells whether clients are admitted. Once it is true, it remains so.
func (m *Machine) IsOpen() bool { return m.current == StepClients }

// Steps returns all steps in order.
func (m *Machine) Steps() []StepView { return append([]StepView(nil), m.steps[:]...) }

// Current returns the current step.
func (m *Machine) Current() StepView { return m.steps[m.current] }

// finishStep ends the current step in a state and starts the next one.
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

// setState sets the state of the current step.
func (m *Machine) setState(now time.Duration, state State) {
	m.steps[m.current].State = state
	m.steps[m.current].Since = now - m.startedAt
}

// Advance applies an observation and returns the steps that it finished, in order.
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

// evaluate returns the state of the current step by an observation, and its detail.
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
		return waitFor(observed.KeysReady, waited, maxKeysWait, observed.KeysReason)
	case StepCounter:
		if !m.config.HasCounter {
			return StateNotApplicable, ""
		}
		const reason = "the counter has not answered: shares hold without it"
		return waitFor(observed.CounterAnswered, waited, maxCounterWait, reason)
	case StepEndpoints:
		return waitFor(observed.EndpointsServing, waited, maxEndpointsWait, "no backend is in service")
	}
	return StateDone, ""
}

// waitFor returns the state of a step that waits for a condition for a limited time; reason is what is missing.
func waitFor(isMet bool, waited, limit time.Duration, reason string) (state State, detail string) {
	switch {
	case isMet:
		return StateDone, ""
	case waited >= limit:
		return StateTimedOut, reason
	}
	return StateWaiting, reason
}

// evaluateIdentity waits without limit, so that two processes never serve under one name.
func evaluateIdentity(observed Observation) (state State, detail string) {
	if observed.HasRival {
		return StateWaiting, "another process has this door's name and goes before it"
	}
	return StateDone, "no other process of its name is known"
}

// evaluatePeers waits for all gateways, or for a majority once it had time to become complete.
func (m *Machine) evaluatePeers(observed Observation, waited time.Duration) (state State, detail string) {
	others := m.config.Gateways - 1
	heard := observed.PeersHeard
	isMajority := heard+1 > m.config.Gateways/2
	switch {
	case others == 0:
		return StateNotApplicable, ""
	case heard >= others:
		return StateDone, "all other doors are there"
	case isMajority && waited >= majorityGracePeriod:
		return StateDone, fmt.Sprintf("%d of %d other doors are there, a majority with this one", heard, others)
	}
	return waitFor(false, waited, maxPeersWait, fmt.Sprintf("%d of %d other doors are there", heard, others))
}

// evaluatePolicy waits without limit. A gateway whose policy is not required may decide by its stored version after a
// while, which then shows in the observation.
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

// RetryAfter returns what a client that is rejected now is told: half of the current step's remaining time, spread by a
// random number from 0 to 1.
func (m *Machine) RetryAfter(now time.Duration, random func() float64) time.Duration {
	wait := max(minRetryAfter, m.remaining(now)/2)
	return wait + time.Duration(random()*float64(retryAfterSpread))
}

// remaining estimates the rest of the current step.
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
