package flagserver

import "time"

// Config sets the behavior of a server. With the zero value, the server answers each request immediately with a value
// that contains the command's name and the request's ID.
type Config struct {
	// Delay is the time before each answer to a request.
	Delay time.Duration
	// Silent makes the server read requests without answering them.
	Silent bool
	// Value is the value of each answer. If empty, it is the command's name and the request's ID.
	Value string
	// Keep makes the server record the requests that it reads, for [Server.Sent].
	Keep bool
	// DedupScope remembers which keyed commands have run. If nil, commands have no effect.
	DedupScope *DedupScope

	// ServiceTime is the time that a server that is not warming up takes for one request. Requests are served one after
	// another. 0 means that any number of requests are served concurrently.
	ServiceTime time.Duration
	// WarmUpDuration is how long a server warms up after its start. 0 means no warm-up.
	WarmUpDuration time.Duration
	// InitialCapacity is the fraction of its capacity that a server has at its start.
	InitialCapacity float64
	// StartedAt is when the server was started. Zero means that it is not warming up.
	StartedAt time.Time
}

// CapacityAt returns the fraction of its capacity that the server has at a time. During the warm-up it grows linearly
// from InitialCapacity to 1.
func (c *Config) CapacityAt(at time.Time) float64 {
	if c.WarmUpDuration <= 0 || c.StartedAt.IsZero() {
		return 1
	}
	return c.InitialCapacity +
		(1-c.InitialCapacity)*max(0, min(1, at.Sub(c.StartedAt).Seconds()/c.WarmUpDuration.Seconds()))
}
