package flagserver

import "time"

// Config sets how a server behaves. The zero value answers each command at once with a value that names the command.
type Config struct {
	// Delay is the time before an answer.
	Delay time.Duration
	// Silent has commands read and never answered.
	Silent bool
	// Value is the value of each answer; empty: one that names the command.
	Value string
	// Keep records what comes, for [Server.Sent].
	Keep bool
	// Group remembers which keyed commands have run; nil: commands have no effect.
	Group *Group

	// Work is the time that one command takes of a server that is not warming up, one after another; 0: any number of
	// commands run at once.
	Work time.Duration
	// Within is the time in which a started server warms up; 0: it is warm at once.
	Within time.Duration
	// From is the fraction of its capacity that a server has when it is started.
	From float64
	// Started is when the server was started; zero: it is warm.
	Started time.Time
}

// Bears returns the fraction of its capacity that the server has at a time: it grows linearly from From to 1.
func (c *Config) Bears(at time.Time) float64 {
	if c.Within <= 0 || c.Started.IsZero() {
		return 1
	}
	return c.From + (1-c.From)*max(0, min(1, at.Sub(c.Started).Seconds()/c.Within.Seconds()))
}
