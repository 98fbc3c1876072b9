package scenario

import (
	"slices"
	"time"
)

// EventKind is what an event does. Scripts use the same words.
type EventKind string

// The kinds of events. Those of endpoints, accounts and gateways have targets.
const (
	// SlowEndpoints makes work take Factor times as long, reached evenly within Ramp.
	SlowEndpoints EventKind = "slow"
	// SilenceEndpoints stops answers without a reset. After it the endpoints have started anew.
	SilenceEndpoints EventKind = "silent"
	// PauseEndpoints stops all work.
	PauseEndpoints EventKind = "pause"
	// CrashEndpoints breaks connections. After it the endpoints have started anew.
	CrashEndpoints EventKind = "die"
	// DrainEndpoints has discovery list endpoints as draining.
	DrainEndpoints EventKind = "drain"
	// FloodAccounts makes accounts send Factor times as many requests.
	FloodAccounts EventKind = "flood"
	// KillGateways ends gateways as SIGKILL does. After it they have started anew.
	KillGateways EventKind = "kill-doors"
	// CounterUnreachable makes the counter refuse connections.
	CounterUnreachable EventKind = "counter-gone"
	// CounterSilent makes the counter add and not answer.
	CounterSilent EventKind = "counter-mute"
	// CounterSlow makes a counter call take CounterLatency.
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
	// At is the time from the start, or from the end of the event After.
	At time.Duration
	// After is the name of the event that must end before; empty: there is none.
	After string
	// Duration is how long the event lasts; 0: to the end of the run.
	Duration time.Duration

	// Group is the group of endpoints or accounts that the targets are chosen from; empty: all.
	Group string
	// Count is the number of targets, and Share their part of the group. At most one of them is above 0; if none is,
	// all of the group are targets.
	Count int
	Share float64

	// Factor is that of SlowEndpoints and FloodAccounts.
	Factor float64
	// Ramp is the time in which SlowEndpoints reaches its factor, and goes back.
	Ramp time.Duration
	// CounterLatency is that of CounterSlow.
	CounterLatency time.Duration
}
