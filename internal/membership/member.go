package membership

import (
	"cmp"
	"time"
)

// ID identifies one process of a gateway, among its earlier processes and among others that wrongly use its name.
type ID struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation grows with each start of the gateway and is kept on disk.
	Incarnation uint32
	// Nonce is random. It distinguishes two processes that were started from one disk's state.
	Nonce uint32
}

// Before reports whether the process a is older than b. News of the later process takes precedence.
func (a ID) Before(b ID) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Nonce, b.Nonce)) < 0
}

// Phase is what a gateway announces of itself.
type Phase uint8

const (
	// Starting is a gateway that does not yet know whether it is the only process of its name.
	Starting Phase = iota
	// Serving is a gateway that handles requests.
	Serving
	// Leaving is a gateway that goes until it is started again.
	Leaving
	phaseCount
)

// State is how a gateway is seen from this one.
type State uint8

const (
	// Absent is a gateway that was never heard of since this one has started.
	Absent State = iota
	// Joining is a gateway that is heard of and does not serve yet.
	Joining
	// Alive is a gateway that serves.
	Alive
	// Returned is a gateway that lately became alive again after it was dead or had left.
	Returned
	// Suspect is a gateway that was not heard of for SuspectTimeout.
	Suspect
	// Dead is a gateway that was not heard of for DeadTimeout.
	Dead
	// Left is a gateway that has announced that it leaves, or that an operator has declared gone.
	Left
	stateCount
)

var stateNames = [stateCount]string{"absent", "joining", "alive", "returned", "suspect", "dead", "left"}

// String returns the state's name in logs, metrics and the status of the cluster.
func (s State) String() string {
	if s >= stateCount {
		return "unknown"
	}
	return stateNames[s]
}

// IsPresent reports whether a gateway in the state is taken to be running.
func (s State) IsPresent() bool { return s == Joining || s == Alive || s == Returned || s == Suspect }

// Member is one gateway as seen from this one.
type Member struct {
	// Index is the gateway's position in the list, from 0.
	Index int
	// State is how the gateway is seen.
	State State
	// Cause says in a few words why it has this state, for operators.
	Cause string
	// Since is when it got the state, on this gateway's clock.
	Since time.Duration
	// ID is the latest process of the gateway that was heard of.
	ID ID
	// LastHeard is when its counter last grew here, on this gateway's clock; 0 means never.
	LastHeard time.Duration
}

// Transition is a change of a member's state.
type Transition struct {
	// Index is the gateway's position in the list.
	Index int
	// From and To are the states before and after.
	From, To State
	// Cause says in a few words why the state changed, for operators.
	Cause string
	// ID is the process of the gateway that the transition is about.
	ID ID
}

// The causes of transitions. They are shown in the status of the cluster and in the log.
const (
	causeNeverHeard  = "not heard of yet"
	causeStarted     = "started"
	causeServes      = "serves"
	causeLeaves      = "leaves"
	causeForgotten   = "forgotten by an operator"
	causeAnnounced   = "has said that it leaves"
	causeHeardAgain  = "heard of again"
	causeSilentFor   = "no sign of life for %v"
	causeStartedAs   = "started as incarnation %d"
	causeRestartedAs = "started again as incarnation %d"
)

// member is a gateway with what the detector keeps of it beside its public view.
type member struct {
	Member
	// counter is the highest heartbeat counter that was heard of the process.
	counter uint32
	phase   Phase
	// firstHeard is when the present process was first heard of.
	firstHeard time.Duration
	// isForgotten is whether an operator has declared the gateway gone; a new process of it is heard again.
	isForgotten bool
}

// isFresh reports whether news of the member is recent enough to be gossiped.
func (m *member) isFresh(now time.Duration) bool {
	return m.LastHeard > 0 && now-m.LastHeard < DeadTimeout && !m.isForgotten
}
