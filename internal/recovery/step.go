package recovery

import "time"

// Step is a step of the startup. The values are in the order of the steps.
type Step int

const (
	// StepDisk reads the state directory. A gateway that cannot read it does not start.
	StepDisk Step = iota
	// StepIdentity waits until this process owns the gateway's name: its incarnation is stored and no process with a
	// later one is known.
	StepIdentity
	// StepPeers waits for the other gateways.
	StepPeers
	// StepPolicy waits until the gateway may decide by a version of the cluster's policy.
	StepPolicy
	// StepKeys waits until idempotency keys can be reserved.
	StepKeys
	// StepCounter waits for the counter's first answer.
	StepCounter
	// StepEndpoints waits until each pool has serving endpoints.
	StepEndpoints
	// StepClients admits clients. It is the last step.
	StepClients

	stepCount = iota
)

// String returns the step's name as shown to operators.
func (s Step) String() string {
	return [...]string{"disk", "identity", "peers", "policy", "keys", "counter", "backends", "clients"}[s]
}

// State is the progress of a step.
type State string

// States of a step. Their texts are shown to operators.
const (
	// StatePending is the state of a step whose predecessors have not finished.
	StatePending State = "ahead"
	// StateWaiting is the state of the current step while its condition is not met.
	StateWaiting State = "waiting"
	StateDone    State = "done"
	// StateTimedOut means that the condition was not met in time and the startup continued without it.
	StateTimedOut State = "passed"
	// StateNotApplicable means that the gateway's configuration has nothing to wait for.
	StateNotApplicable State = "absent"
)

// StepView is a step as shown to operators.
type StepView struct {
	Step  string `json:"step"`
	State State  `json:"state"`
	// Since is when the step entered its state, as time since the machine was created.
	Since time.Duration `json:"since_ns"`
	// Detail says what the step waits for or what it found.
	Detail string `json:"what,omitempty"`
}

// Config says which conditions the gateway has to wait for.
type Config struct {
	// Gateways is the number of gateways of the cluster, including this one.
	Gateways int
	// HasPolicy is whether the cluster has a policy.
	HasPolicy bool
	// PolicyRequired is whether the gateway must not decide before it knows the cluster's current policy.
	PolicyRequired bool
	// HasKeys is whether idempotency keys are reserved in the cluster.
	HasKeys    bool
	HasCounter bool
}

// Observation is what the gateway knows of the startup conditions at one moment.
type Observation struct {
	// HasDuplicate is whether a duplicate of this gateway, another process of its name, takes precedence.
	HasDuplicate bool
	// PeersPresent is the number of other gateways that are alive.
	PeersPresent int
	// PolicyVersion is the policy version that the gateway has, or 0 if it has none.
	PolicyVersion uint64
	// MayDecide is whether the gateway may decide by that version.
	MayDecide bool
	// KeysReady is whether enough voters answer for idempotency keys; if not, KeysReason says why.
	KeysReady  bool
	KeysReason string
	// CounterAnswered is whether the counter has answered yet.
	CounterAnswered bool
	// EndpointsServing is whether each pool has serving endpoints.
	EndpointsServing bool
}
