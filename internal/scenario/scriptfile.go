package scenario

import (
	"errors"
	"fmt"
	"os"

	"gapgap/internal/tomlfile"
)

// scriptFile is a script as it stands in a file. Its fields have the names of the keys, which are in lower case there.
// Times are durations such as "250ms". A key that is left out is 0, empty or false; a key without a field is an error.
// [Load] maps the keys to the terms of [Script]. The files scenarios/*.toml are examples.
type scriptFile struct {
	// Name stands in the report.
	Name string
	// Seed decides all that is random. The flag --seed of cmd/simulate takes its place.
	Seed int64
	// Lasts is how long clients send requests; above 0, up to MaxDuration.
	Lasts tomlfile.Duration
	Doors gatewaysTable
	// Counter is an empty table; nil: there is no counter.
	Counter *struct{}
	Clients clientsTable

	Class    []classTable
	Plan     []planTable
	Servers  []endpointsTable
	Accounts []accountsTable
	Event    []eventTable
}

// gatewaysTable is the table of the gateways, [doors].
type gatewaysTable struct {
	// Count is the number of gateways, from 1 to MaxGateways.
	Count int
	// Lend leases ceilings by demand; false: each gateway has an even share.
	Lend bool
	// Told is the time within which discovery notifies each gateway of a change, drawn evenly from 0 on; 0: at once.
	Told tomlfile.Duration
}

// clientsTable is [clients]: how clients behave.
type clientsTable struct {
	// Retries is how often a client repeats a request that was rejected or failed, or whose gateway was dead, from 0
	// to MaxRetries. It waits for the Retry-After that it was given, and for minRetryDelay at least.
	Retries int
	// SameKey gives the retries of a request its first idempotency key; false: each has a key of its own.
	SameKey bool `toml:"same_key"`
}

// classTable is one class of requests, [[class]].
type classTable struct {
	Name string
	// Effect is safe, keyed or unsafe: idempotent, idempotent with a key or not idempotent.
	Effect string
	// Share is the class's part of the requests, relative to those of the others.
	Share float64
	// Worth is the priority weight of a request.
	Worth float64
	// Aim is the latency objective; above 0, up to GiveUp. A later answer counts as late.
	Aim tomlfile.Duration
	// Window is the time for which endpoints drop repeats of a key; above 0 if Effect is keyed, else unused.
	Window tomlfile.Duration
	// GiveUp is how long a client waits for the answer to one try; above 0.
	GiveUp tomlfile.Duration `toml:"give_up"`
}

// planTable is one plan, [[plan]]. Its quota and ceiling hold for each account and over all gateways.
type planTable struct {
	Name string
	// Rate is the quota in units a second, and Burst the units that its bucket holds. Each request is one unit.
	Rate  float64
	Burst float64
	// Factor is the factor on the priority weight of a request; 0: 1.
	Factor float64
	// OverWorth and OverCost are the parts of its weight that a request beyond the quota gains and costs.
	OverWorth float64 `toml:"over_worth"`
	OverCost  float64 `toml:"over_cost"`
	// CeilingRate is the hard limit in units a second; 0: there is none. CeilingDepth is its burst in units.
	CeilingRate  float64 `toml:"ceiling_rate"`
	CeilingDepth float64 `toml:"ceiling_depth"`
}

// endpointsTable is one group of endpoints, [[servers]]. Most keys are fields of [simulator.EndpointConfig] by another
// name; its documentation has their bounds.
type endpointsTable struct {
	// Group is the name of the group, and the beginning of the names of its endpoints.
	Group string
	Count int
	// Cores is the work done at once, in cores.
	Cores float64
	// Slots is the number of requests in service at once, and Room that of those that may wait.
	Slots int
	Room  int
	// Work is the mean time that a request takes of one core, in all classes.
	Work tomlfile.Duration
	// Kind is the distribution of Work: exponential, fixed or lognormal; empty: exponential.
	Kind string
	// CV is the coefficient of variation, for lognormal only.
	CV float64 `toml:"cv"`
	// HeldFrom is the number of requests held above which each further one costs the part HeldEach of the speed, down
	// to the part LeastSpeed; 0: none does.
	HeldFrom   int     `toml:"held_from"`
	HeldEach   float64 `toml:"held_each"`
	LeastSpeed float64 `toml:"least_speed"`
	// ColdFrom is the part of its capacity that an endpoint has after a start, and WarmWithin the time until it has
	// all. ColdFrom 0 or 1: it has all at once.
	ColdFrom   float64           `toml:"cold_from"`
	WarmWithin tomlfile.Duration `toml:"warm_within"`
	// FallAt is the multiple of its capacity that crashes a warming endpoint if it is sent so much within FallWindow;
	// 0: it never crashes of that.
	FallAt     float64           `toml:"fall_at"`
	FallWindow tomlfile.Duration `toml:"fall_window"`
}

// accountsTable is one group of accounts, [[accounts]].
type accountsTable struct {
	Group string
	// Plan is the name of a plan.
	Plan  string
	Count int
	// Rate is that of each account, in requests a second at random intervals.
	Rate float64
	// Spread is the number of gateways that an account's requests come through; 0: all.
	Spread int
}

// eventTable is one event, [[event]]. [Event] has the meaning of its keys.
type eventTable struct {
	Name string
	// Do is an [EventKind].
	Do string
	// After is the name of an event that stands before this one and has For above 0.
	After string
	Group string
	At    tomlfile.Duration
	// For is [Event.Duration].
	For  tomlfile.Duration
	Ramp tomlfile.Duration
	// Takes is [Event.CounterLatency].
	Takes  tomlfile.Duration
	Count  int
	Share  float64
	Factor float64
}

// keyError is an error at a key of a script.
type keyError struct {
	// key is a path as in [tomlfile.Lines].
	key string
	err error
}

// Error returns the key and the error.
func (e *keyError) Error() string { return e.key + ": " + e.err.Error() }

// Unwrap returns the error without the key.
func (e *keyError) Unwrap() error { return e.err }

// invalidKey makes a keyError.
func invalidKey(key, format string, args ...any) error {
	return &keyError{key: key, err: fmt.Errorf(format, args...)}
}

// Load reads and checks a script. An error is a [*tomlfile.Error], with the line if the file could be read.
func Load(name string) (*Script, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &tomlfile.Error{File: name, Err: err}
	}
	return Parse(name, data)
}

// Parse checks a script that has been read. An error is a [*tomlfile.Error] with the line.
func Parse(name string, data []byte) (*Script, error) {
	var file scriptFile
	if err := tomlfile.Decode(name, data, &file); err != nil {
		return nil, err
	}
	script, err := file.script()
	var invalid *keyError
	if errors.As(err, &invalid) {
		return nil, &tomlfile.Error{
			File: name,
			Line: tomlfile.LineOf(tomlfile.Lines(data), invalid.key),
			Key:  invalid.key,
			Err:  invalid.err,
		}
	}
	return script, err
}
