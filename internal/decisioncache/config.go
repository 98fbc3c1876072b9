package decisioncache

import "time"

// Config has the limits of a [Cache].
type Config struct {
	// MaxTTL is how long a decision is cached at most, from when it was made. It must be above 0.
	MaxTTL time.Duration
	// MaxEntries is the maximum number of checks of all accounts, pending and decided. It must not be below
	// MaxPerAccount.
	MaxEntries int
	// MaxPerAccount is the maximum number of checks of one account, pending and decided. It must be at least 1.
	MaxPerAccount int
	// MaxRepeats is how often one check may be repeated while it is in the cache. It must be at least 1.
	MaxRepeats int
}

// ConfigError is an invalid limit in a [Config].
type ConfigError struct {
	// Field is the name of the limit in error messages.
	Field string
	// Problem says what is wrong with it.
	Problem string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return e.Field + " " + e.Problem
}

// Validate returns a [*ConfigError] for the first invalid limit.
func (c Config) Validate() error {
	switch {
	case c.MaxTTL <= 0:
		return &ConfigError{Field: "keep", Problem: "must be above 0"}
	case c.MaxPerAccount < 1:
		return &ConfigError{Field: "per-account", Problem: "must be at least 1"}
	case c.MaxEntries < c.MaxPerAccount:
		return &ConfigError{Field: "most", Problem: "must not be below per-account"}
	case c.MaxRepeats < 1:
		return &ConfigError{Field: "repeats", Problem: "must be at least 1"}
	}
	return nil
}
