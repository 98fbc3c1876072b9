package scenario

import (
	"errors"
	"fmt"
	"os"

	"gapgap/internal/tomlfile"
)

// scriptFile is a script as it stands in a file. Its fields have the names of the keys.
type scriptFile struct {
	Name    string
	Seed    int64
	Lasts   tomlfile.Duration
	Doors   gatewaysTable
	Counter *struct{}
	Clients clientsTable

	Class    []classTable
	Plan     []planTable
	Servers  []endpointsTable
	Accounts []accountsTable
	Event    []eventTable
}

// gatewaysTable is the table of the gateways.
type gatewaysTable struct {
	Count int
	Lend  bool
	Told  tomlfile.Duration
}

// clientsTable says how clients behave.
type clientsTable struct {
	Retries int
	SameKey bool `toml:"same_key"`
}

// classTable is one class of requests.
type classTable struct {
	Name   string
	Effect string
	Share  float64
	Worth  float64
	Aim    tomlfile.Duration
	Window tomlfile.Duration
	GiveUp tomlfile.Duration `toml:"give_up"`
}

// planTable is one plan.
type planTable struct {
	Name         string
	Rate         float64
	Burst        float64
	Factor       float64
	OverWorth    float64 `toml:"over_worth"`
	OverCost     float64 `toml:"over_cost"`
	CeilingRate  float64 `toml:"ceiling_rate"`
	CeilingDepth float64 `toml:"ceiling_depth"`
}

// endpointsTable is one group of endpoints.
type endpointsTable struct {
	Group      string
	Count      int
	Cores      float64
	Slots      int
	Room       int
	Work       tomlfile.Duration
	Kind       string
	CV         float64           `toml:"cv"`
	HeldFrom   int               `toml:"held_from"`
	HeldEach   float64           `toml:"held_each"`
	LeastSpeed float64           `toml:"least_speed"`
	ColdFrom   float64           `toml:"cold_from"`
	WarmWithin tomlfile.Duration `toml:"warm_within"`
	FallAt     float64           `toml:"fall_at"`
	FallWindow tomlfile.Duration `toml:"fall_window"`
}

// accountsTable is one group of accounts.
type accountsTable struct {
	Group  string
	Plan   string
	Count  int
	Rate   float64
	Spread int
}

// eventTable is one event.
type eventTable struct {
	Name   string
	Do     string
	After  string
	Group  string
	At     tomlfile.Duration
	For    tomlfile.Duration
	Ramp   tomlfile.Duration
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
