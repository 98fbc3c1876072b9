package decisioncache

import "time"

// Config bounds a [Cache].
type Config struct {
	// MaxTTL is how long a decision is remembered at most, from when it was made. It must be above 0.
	MaxTTL time.Duration
	// MaxEntries is the number of checks, pending and decided, remembered for all accounts together. It must not be
	// under MaxPerAccount.
	MaxEntries int
	// MaxPerAccount is the number of checks, pending and decided, remembered for one account. It must not be under 1.
	MaxPerAccount int
	// MaxRepeats is how often one check may be asked again while it is remembered. It must not be under 1.
	MaxRepeats int
}

// ConfigError reports a bound of a [Config] that can't be used.
type ConfigError struct {
	// Field is the name of the bound in error texts.
	Field string
	// Problem says what is wrong with it.
	Problem string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return e.Field + " " + e.Problem
}

// Validate returns a [*ConfigError] for the first bound that can't be used.
func (c Config) Validate() error {
	switch {
	case c.MaxTTL <= 0:
		return &ConfigError{Field: "keep", Problem: "is not above 0"}
	case c.MaxPerAccount < 1:
		return &ConfigError{Field: "per-account", Problem: "is under 1"}
	case c.MaxEntries < c.MaxPerAccount:
		return &ConfigError{Field: "most", Problem: "is under per-account"}
	case c.MaxRepeats < 1:
		return &ConfigError{Field: "repeats", Problem: "is under 1"}
	}
	return nil
}
