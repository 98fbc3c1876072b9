package membership

import (
	"cmp"
	"time"
)

// ID identifies one process of a gateway. It distinguishes the process from earlier ones and from others that are
// misconfigured with the same name.
type ID struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation increases with each start of the gateway and is stored on disk.
	Incarnation uint32
	// Nonce is random. It distinguishes two processes that were started from the same stored state.
	Nonce uint32
}

// Before reports whether process a is older than process b. Entries of the newer process take precedence.
func (a ID) Before(b ID) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Nonce, b.Nonce)) < 0
}

// Phase is what a gateway announces about itself.
type Phase uint8

const (
	// Starting means that the gateway does not yet know whether another process uses its name.
	Starting Phase = iota
	// Serving means that the gateway handles requests.
	Serving
	// Leaving means that the gateway leaves the cluster until it is started again.
	Leaving
	phaseCount
)

// State is the state of a gateway as this gateway sees it.
type State uint8

const (
	// Absent means that nothing was heard of the gateway since this process started.
	Absent State = iota
	// Joining means that the gateway sends heartbeats and does not serve yet.
	Joining
	// Alive means that the gateway serves.
	Alive
	// Returned means that the gateway has recently become alive again after it was dead or had left, or has restarted.
	Returned
	// Suspect means that the gateway's counter has not increased for SuspectTimeout.
	Suspect
	// Dead means that the gateway's counter has not increased for DeadTimeout.
	Dead
	// Left means that the gateway has announced that it leaves, or that an operator has declared it gone.
	Left
	stateCount
)

var stateNames = [stateCount]string{"absent", "joining", "alive", "returned", "suspect", "dead", "left"}

// String returns the name of the state in logs, metrics and the cluster status.
func (s State) String() string {
	if s >= stateCount {
		return "unknown"
	}
	return stateNames[s]
}

// IsPresent reports whether a gateway in this state is considered to be running.
func (s State) IsPresent() bool { return s == Joining || s == Alive || s == Returned || s == Suspect }

// Member is one gateway as this gateway sees it.
type Member struct {
	// Index is the gateway's position in the list, from 0.
	Index int
	// State is the gateway's current state.
	State State
	// Cause is a short explanation of the state for operators.
	Cause string
	// Since is when the gateway entered the state, by this gateway's clock.
	Since time.Duration
	// ID is the newest known process of the gateway.
	ID ID
	// LastHeard is when the gateway's counter last increased, by this gateway's clock; 0 means never.
	LastHeard time.Duration
}

// Transition is a change of a member's state.
type Transition struct {
	// Index is the gateway's position in the list.
	Index int
	// From and To are the states before and after.
	From, To State
	// Cause is a short explanation of the change for operators.
	Cause string
	// ID is the process of the gateway that changed state.
	ID ID
}

// Causes of transitions, as they appear in the cluster status and in the log.
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

// member is the public view of a gateway together with the detector's internal state for it.
type member struct {
	Member
	// counter is the highest known heartbeat counter of the process.
	counter uint32
	phase   Phase
	// firstHeard is when the first entry of the current process arrived.
	firstHeard time.Duration
	// isForgotten is set when an operator has declared the gateway gone, and cleared by an entry of a new process.
	isForgotten bool
}

// isFresh reports whether the member's counter is recent enough to be gossiped.
func (m *member) isFresh(now time.Duration) bool {
	return m.LastHeard > 0 && now-m.LastHeard < DeadTimeout && !m.isForgotten
}
