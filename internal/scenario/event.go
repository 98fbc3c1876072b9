package scenario

import (
	"slices"
	"time"
)

// EventKind is the kind of an event. The values are the names used in scripts.
type EventKind string

// The kinds of events. Events of endpoints, accounts and gateways have targets, chosen by Group, Count and Share of
// [Event]. Events of the counter require a counter and ignore Count and Share. fault.go injects each kind.
const (
	// SlowEndpoints makes work take Factor times as long. The factor is reached in rampSteps equal steps within Ramp,
	// and removed in as many steps after the end.
	SlowEndpoints EventKind = "slow"
	// SilenceEndpoints stops answers but leaves connections open, and the work goes on. At the end the endpoints
	// restart, with a slow start.
	SilenceEndpoints EventKind = "silent"
	// PauseEndpoints stops all work, like a garbage-collection pause. Requests still arrive and wait. Duration must be
	// above 0.
	PauseEndpoints EventKind = "pause"
	// CrashEndpoints ends the processes: connections break, and new ones are refused. At the end the endpoints restart,
	// with a slow start.
	CrashEndpoints EventKind = "die"
	// DrainEndpoints makes discovery list endpoints as draining, and as serving again at the end.
	DrainEndpoints EventKind = "drain"
	// FloodAccounts makes accounts send Factor times as many requests.
	FloodAccounts EventKind = "flood"
	// KillGateways ends gateways as SIGKILL does, and restarts them at the end. It takes no Group.
	KillGateways EventKind = "kill-doors"
	// CounterUnreachable makes connections to the counter fail; nothing is added.
	CounterUnreachable EventKind = "counter-gone"
	// CounterSilent makes the counter add the amounts it receives but never answer, so that calls time out.
	CounterSilent EventKind = "counter-mute"
	// CounterSlow sets the round-trip time of counter calls to CounterLatency. A call that exceeds the gateways'
	// timeout is still added, and its result arrives late.
	CounterSlow EventKind = "counter-late"
	// CounterCleared removes all counters once.
	CounterCleared EventKind = "counter-empty"
)

// eventKinds lists all kinds in the order in which error messages show them.
var eventKinds = []EventKind{
	FloodAccounts,
	KillGateways,
	CounterUnreachable,
	CounterSilent,
	CounterSlow,
	CounterCleared,
	SlowEndpoints,
	SilenceEndpoints,
	PauseEndpoints,
	CrashEndpoints,
	DrainEndpoints,
}

// isOfEndpoints reports whether the targets of the kind are endpoints.
func (k EventKind) isOfEndpoints() bool {
	return slices.Contains([]EventKind{
		SlowEndpoints,
		SilenceEndpoints,
		PauseEndpoints,
		CrashEndpoints,
		DrainEndpoints,
	}, k)
}

// isOfCounter reports whether the kind affects the counter.
func (k EventKind) isOfCounter() bool {
	return slices.Contains([]EventKind{
		CounterUnreachable,
		CounterSilent,
		CounterSlow,
		CounterCleared,
	}, k)
}

// Event is one event of a script.
type Event struct {
	// Name identifies the event within its script.
	Name string
	Kind EventKind
	// At is the time since the start of the run or, with After, since the end of that event.
	At time.Duration
	// After is the name of the event that must end first, or empty. SlowEndpoints counts as ended when its factor
	// starts to go back.
	After string
	// Duration is how long the event lasts; 0 means to the end of the run.
	Duration time.Duration

	// Group is the group of endpoints or accounts from which the targets are chosen; empty means all.
	Group string
	// Count is the number of targets, and Share the fraction of the group. At most one of them is above 0; if neither
	// is, the whole group is targeted.
	Count int
	Share float64

	// Factor is the factor of SlowEndpoints and FloodAccounts. It must be above 0 for these and is otherwise unused.
	Factor float64
	// Ramp is the time in which SlowEndpoints reaches its factor, and goes back; 0 means at once.
	Ramp time.Duration
	// CounterLatency is the latency of CounterSlow. It must be above 0 for it and is otherwise unused.
	CounterLatency time.Duration
}
