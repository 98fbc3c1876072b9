package recovery

import "time"

// Step is one of the steps, in their order.
type Step int

const (
	// StepDisk reads the state directory. A gateway that can't does not start at all.
	StepDisk Step = iota
	// StepIdentity waits until this process owns the gateway's name: its incarnation is stored, no later one is known.
	StepIdentity
	// StepPeers waits for the other gateways.
	StepPeers
	// StepPolicy waits until the gateway may decide by a version of the cluster's policy.
	StepPolicy
	// StepKeys waits until idempotency keys can be reserved.
	StepKeys
	// StepCounter waits for the counter's first answer.
	StepCounter
	// StepEndpoints waits for serving endpoints.
	StepEndpoints
	// StepClients admits clients. It is the last step.
	StepClients

	stepCount = iota
)

// String returns the step's name as operators see it.
func (s Step) String() string {
	return [...]string{"disk", "identity", "peers", "policy", "keys", "counter", "backends", "clients"}[s]
}

// State is how far a step is.
type State string

// States, in the words that operators see.
const (
	// StatePending waits for the steps before.
	StatePending State = "ahead"
	// StateWaiting is the current step's.
	StateWaiting State = "waiting"
	StateDone    State = "done"
	// StateTimedOut means that the step's condition was not met in time and startup goes on without.
	StateTimedOut State = "passed"
	// StateNotApplicable means that the gateway has nothing of the kind.
	StateNotApplicable State = "absent"
)

// StepView shows a step to operators.
type StepView struct {
	Step  string `json:"step"`
	State State  `json:"state"`
	// Since is when the step got into its state, from the start of the machine on.
	Since time.Duration `json:"since_ns"`
	// Detail tells what the step waits for or has found.
	Detail string `json:"what,omitempty"`
}

// Config tells which conditions there are to wait for.
type Config struct {
	// Gateways is the number of gateways of the cluster, this one among them.
	Gateways int
	// HasPolicy tells whether the cluster has a policy.
	HasPolicy bool
	// PolicyRequired tells whether nothing may be decided before the policy is known.
	PolicyRequired bool
	// HasKeys tells whether idempotency keys are reserved by the cluster.
	HasKeys    bool
	HasCounter bool
}

// Observation is what the gateway sees at a moment.
type Observation struct {
	// HasRival tells whether another process of this gateway's name takes precedence.
	HasRival bool
	// PeersHeard is how many other gateways are alive.
	PeersHeard int
	// PolicyVersion is the version that the gateway has; zero if none.
	PolicyVersion uint64
	// MayDecide tells whether the gateway may decide by that version.
	MayDecide bool
	// KeysReady tells whether enough voters answer for idempotency keys; if not, KeysReason tells why.
	KeysReady  bool
	KeysReason string
	// CounterAnswered tells whether the counter has answered yet.
	CounterAnswered bool
	// EndpointsServing tells whether each pool has serving endpoints.
	EndpointsServing bool
}
