package decisioncache

import "time"

// Config bounds a [Cache].
type Config struct {
	// Keep is how long a decision is remembered at most, from when it was made.
	Keep time.Duration
	// Most is the number of checks remembered for all accounts together.
	Most int
	// PerAccount is the number of checks remembered for one account.
	PerAccount int
	// Repeats is how often one check may be asked again.
	Repeats int
}

// ConfigError reports a bound of a [Config] that can't be used.
type ConfigError struct {
	// Field is the name of the bound.
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
	case c.Keep <= 0:
		return &ConfigError{Field: "keep", Problem: "is not above 0"}
	case c.PerAccount < 1:
		return &ConfigError{Field: "per-account", Problem: "is under 1"}
	case c.Most < c.PerAccount:
		return &ConfigError{Field: "most", Problem: "is under per-account"}
	case c.Repeats < 1:
		return &ConfigError{Field: "repeats", Problem: "is under 1"}
	}
	return nil
}
