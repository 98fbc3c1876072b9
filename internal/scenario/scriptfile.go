package scenario

import (
	"errors"
	"fmt"
	"os"

	"gapgap/internal/tomlfile"
)

// scriptFile is the content of a script file. Its fields have the names of the keys, which are in lower case in the
// file. Times are durations such as "250ms". A missing key means 0, empty or false; an unknown key is an error. [Load]
// maps the keys to the fields of [Script]. The files scenarios/*.toml are examples.
type scriptFile struct {
	// Name is the name of the script in the report.
	Name string
	// Seed is the seed of all random values. The flag --seed of cmd/simulate overrides it.
	Seed int64
	// Lasts is how long clients send requests; above 0, up to MaxDuration.
	Lasts tomlfile.Duration
	Doors gatewaysTable
	// Counter is an empty table that adds a counter; nil means that there is none.
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
	// Lend makes gateways lease ceilings by demand; if false, each gateway has an even share.
	Lend bool
	// Told is the time within which discovery notifies each gateway of a change. The delay is uniformly distributed
	// from 0 to Told.
	Told tomlfile.Duration
}

// clientsTable is the table of the client behaviour, [clients].
type clientsTable struct {
	// Retries is how often a client retries a request that was rejected or failed, or whose gateway was not running,
	// from 0 to MaxRetries. It waits for the Retry-After that it received, and for at least minRetryDelay.
	Retries int
	// SameKey makes retries reuse the idempotency key of the first try; if false, each try has its own key.
	SameKey bool `toml:"same_key"`
}

// classTable is one class of requests, [[class]].
type classTable struct {
	Name string
	// Effect is safe (idempotent), keyed (idempotent by key) or unsafe (not idempotent).
	Effect string
	// Share is the weight of the class among the requests, relative to the shares of the other classes.
	Share float64
	// Worth is the priority weight of a request.
	Worth float64
	// Aim is the latency objective; above 0, at most GiveUp. A later answer counts as late.
	Aim tomlfile.Duration
	// Window is the dedup window; above 0 if Effect is keyed, otherwise unused.
	Window tomlfile.Duration
	// GiveUp is the client timeout of one try; above 0.
	GiveUp tomlfile.Duration `toml:"give_up"`
}

// planTable is one plan, [[plan]]. Its quota and ceiling apply to each account, over all gateways together.
type planTable struct {
	Name string
	// Rate is the quota in units per second, and Burst the size of its token bucket. Each request is one unit.
	Rate  float64
	Burst float64
	// Factor multiplies the priority weight of a request; 0 means 1.
	Factor float64
	// OverWorth and OverCost are the fractions of its weight that a request beyond the quota gains and costs.
	OverWorth float64 `toml:"over_worth"`
	OverCost  float64 `toml:"over_cost"`
	// CeilingRate is the ceiling in units per second; 0 means that there is none. CeilingDepth is its burst in units.
	CeilingRate  float64 `toml:"ceiling_rate"`
	CeilingDepth float64 `toml:"ceiling_depth"`
}

// endpointsTable is one group of endpoints, [[servers]]. Most keys correspond to a field of [simulator.EndpointConfig],
// which documents their bounds.
type endpointsTable struct {
	// Group is the name of the group, and the prefix of the names of its endpoints.
	Group string
	Count int
	// Cores is the processing capacity, in cores.
	Cores float64
	// Slots is the maximum number of requests in service, and Room that of waiting requests.
	Slots int
	Room  int
	// Work is the mean service time of a request on one core, for all classes.
	Work tomlfile.Duration
	// Kind is the distribution of the service time: exponential (the default), fixed or lognormal.
	Kind string
	// CV is the coefficient of variation, for lognormal only.
	CV float64 `toml:"cv"`
	// HeldFrom is the number of requests held above which each further one reduces the speed by the fraction HeldEach,
	// down to the fraction LeastSpeed; 0 disables this.
	HeldFrom   int     `toml:"held_from"`
	HeldEach   float64 `toml:"held_each"`
	LeastSpeed float64 `toml:"least_speed"`
	// ColdFrom is the fraction of its capacity that an endpoint has after a start, and WarmWithin the duration of the
	// slow start. ColdFrom 0 or 1 disables the slow start.
	ColdFrom   float64           `toml:"cold_from"`
	WarmWithin tomlfile.Duration `toml:"warm_within"`
	// FallAt is the multiple of its capacity that crashes an endpoint that is warming up if it is sent more than that
	// within FallWindow; 0 disables this.
	FallAt     float64           `toml:"fall_at"`
	FallWindow tomlfile.Duration `toml:"fall_window"`
}

// accountsTable is one group of accounts, [[accounts]].
type accountsTable struct {
	Group string
	// Plan is the name of a plan.
	Plan  string
	Count int
	// Rate is the mean rate of each account, in requests per second. The intervals are exponentially distributed.
	Rate float64
	// Spread is the number of gateways that receive an account's requests; 0 means all.
	Spread int
}

// eventTable is one event, [[event]]. [Event] documents its keys.
type eventTable struct {
	Name string
	// Do is an [EventKind].
	Do string
	// After is the name of an earlier event in the file whose For is above 0.
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

// keyError reports an invalid key of a script.
type keyError struct {
	// key is a path as in [tomlfile.Lines].
	key string
	err error
}

// Error returns the key and the reason.
func (e *keyError) Error() string { return e.key + ": " + e.err.Error() }

// Unwrap returns the reason without the key.
func (e *keyError) Unwrap() error { return e.err }

// invalidKey returns a keyError with a formatted reason.
func invalidKey(key, format string, args ...any) error {
	return &keyError{key: key, err: fmt.Errorf(format, args...)}
}

// Load reads and checks a script file. Errors are of type [*tomlfile.Error], with a line if the file could be read.
func Load(name string) (*Script, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &tomlfile.Error{File: name, Err: err}
	}
	return Parse(name, data)
}

// Parse checks the content of a script file. Errors are of type [*tomlfile.Error], with a line.
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
