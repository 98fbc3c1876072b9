package scenario

import (
	"slices"
	"time"
)

// EventKind is what an event does. Scripts use the same words.
type EventKind string

// The kinds of events. Those of endpoints, accounts and gateways have targets: see Group, Count and Share of [Event].
// Those of the counter ignore Count and Share, and need a counter. fault.go injects each kind.
const (
	// SlowEndpoints makes work take Factor times as long. It gets there in rampSteps equal steps within Ramp, and back
	// in as many after its end.
	SlowEndpoints EventKind = "slow"
	// SilenceEndpoints stops answers and leaves connections open; the work goes on. At the end the endpoints start
	// anew, with a slow start.
	SilenceEndpoints EventKind = "silent"
	// PauseEndpoints stops all work, as a garbage collection does. Requests still arrive and wait. Duration must be
	// above 0.
	PauseEndpoints EventKind = "pause"
	// CrashEndpoints ends the processes: connections break, and new ones are refused. At the end the endpoints start
	// anew, with a slow start.
	CrashEndpoints EventKind = "die"
	// DrainEndpoints has discovery list endpoints as draining, and as serving again at the end.
	DrainEndpoints EventKind = "drain"
	// FloodAccounts makes accounts send Factor times as many requests.
	FloodAccounts EventKind = "flood"
	// KillGateways ends gateways as SIGKILL does. At the end they start anew. It takes no Group.
	KillGateways EventKind = "kill-doors"
	// CounterUnreachable makes the counter refuse connections; nothing is added.
	CounterUnreachable EventKind = "counter-gone"
	// CounterSilent makes the counter add what it is sent and never answer, so that calls time out.
	CounterSilent EventKind = "counter-mute"
	// CounterSlow makes a counter call take CounterLatency, there and back. A call beyond the gateways' time-out is
	// added all the same, and its result comes late.
	CounterSlow EventKind = "counter-late"
	// CounterCleared makes the counter forget all numbers, once.
	CounterCleared EventKind = "counter-empty"
)

// eventKinds are all kinds, in the order in which errors list them.
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

// isOfEndpoints says that the targets of the kind are endpoints.
func (k EventKind) isOfEndpoints() bool {
	return slices.Contains([]EventKind{
		SlowEndpoints,
		SilenceEndpoints,
		PauseEndpoints,
		CrashEndpoints,
		DrainEndpoints,
	}, k)
}

// isOfCounter says that the kind needs a counter.
func (k EventKind) isOfCounter() bool {
	return slices.Contains([]EventKind{
		CounterUnreachable,
		CounterSilent,
		CounterSlow,
		CounterCleared,
	}, k)
}

// Event is one thing that happens in a script.
type Event struct {
	// Name identifies the event in its script.
	Name string
	Kind EventKind
	// At is the time from the start of the run, or from the end of the event After.
	At time.Duration
	// After is the name of the event that must end before; empty: there is none. SlowEndpoints ends when its way back
	// begins.
	After string
	// Duration is how long the event lasts; 0: to the end of the run.
	Duration time.Duration

	// Group is the group of endpoints or accounts that the targets are chosen from; empty: all.
	Group string
	// Count is the number of targets, and Share their part of the group. At most one of them is above 0; if none is,
	// all of the group are targets.
	Count int
	Share float64

	// Factor is that of SlowEndpoints and FloodAccounts; above 0 for these, else unused.
	Factor float64
	// Ramp is the time in which SlowEndpoints reaches its factor, and goes back; 0: at once.
	Ramp time.Duration
	// CounterLatency is that of CounterSlow; above 0 for it, else unused.
	CounterLatency time.Duration
}
