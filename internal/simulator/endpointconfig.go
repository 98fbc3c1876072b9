package simulator

import (
	"fmt"
	"time"
)

// EndpointConfig describes an [Endpoint].
type EndpointConfig struct {
	// Cores is the processing capacity, in cores; above 0.
	Cores float64
	// MaxInService is the number of requests in service at once, which share the cores; at least 1.
	MaxInService int
	// QueueCapacity is the number of requests that may wait; further ones are rejected at once.
	QueueCapacity int
	// ServiceTimes are the distributions of the service time of a request, by class.
	ServiceTimes []Distribution

	// SlowdownFrom is the number of requests held, in service and waiting, above which the endpoint slows down; 0
	// disables this.
	SlowdownFrom int
	// SlowdownPerRequest is the fraction of its speed lost for each request above SlowdownFrom.
	SlowdownPerRequest float64
	// MinSpeed is the fraction of its speed that this slowdown leaves at least, from 0 to 1.
	MinSpeed float64

	// SlowStartCapacity is the fraction of its capacity right after a start, from 0 to 1. 0 and 1 disable slow start.
	SlowStartCapacity float64
	// SlowStartDuration is the time in which the capacity rises linearly to the full capacity.
	SlowStartDuration time.Duration
	// OverloadMultiple is the multiple of its current capacity that crashes it if it is sent more than that within
	// OverloadWindow during slow start; 0 disables this.
	OverloadMultiple float64
	OverloadWindow   time.Duration

	// DedupWindows are the dedup windows by class. Repeats of a class without one, or with 0, are not dropped.
	DedupWindows []time.Duration
}

// EndpointConfigError reports a value of an [EndpointConfig] that is not valid.
type EndpointConfigError struct {
	// Field is the key of the value in scripts, with an index if there are several values.
	Field string
	Err   error
}

// Error returns the field and the reason.
func (e *EndpointConfigError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the reason without the field.
func (e *EndpointConfigError) Unwrap() error { return e.Err }

// Check returns an [*EndpointConfigError] for the first value that is not valid, or nil.
func (c *EndpointConfig) Check() error {
	invalid := func(field, format string, args ...any) error {
		return &EndpointConfigError{Field: field, Err: fmt.Errorf(format, args...)}
	}
	switch {
	case !(c.Cores > 0):
		return invalid("cores", "%v must be above 0", c.Cores)
	case c.MaxInService < 1:
		return invalid("slots", "%d must be at least 1", c.MaxInService)
	case c.QueueCapacity < 0:
		return invalid("room", "%d must not be negative", c.QueueCapacity)
	case len(c.ServiceTimes) == 0:
		return invalid("work", "no service time is given")
	case c.SlowdownFrom < 0 || c.SlowdownPerRequest < 0 || c.MinSpeed < 0 || c.MinSpeed > 1:
		return invalid("held",
			"held_from, held_each and least_speed must not be negative, and least_speed not above 1")
	case c.SlowStartCapacity < 0 || c.SlowStartCapacity > 1,
		c.SlowStartCapacity > 0 && c.SlowStartCapacity < 1 && c.SlowStartDuration <= 0:
		return invalid("cold_from", "%v must be from 0 to 1, and warm_within is required with it", c.SlowStartCapacity)
	case c.OverloadMultiple < 0 || c.OverloadMultiple > 0 && c.OverloadWindow <= 0:
		return invalid("fall_at", "%v must not be negative, and fall_window is required with it", c.OverloadMultiple)
	}
	for class, distribution := range c.ServiceTimes {
		if err := distribution.Check(); err != nil {
			return &EndpointConfigError{Field: fmt.Sprintf("work[%d]", class), Err: err}
		}
	}
	return nil
}

// hasSlowStart reports whether the endpoint has a slow start.
func (c *EndpointConfig) hasSlowStart() bool {
	return c.SlowStartCapacity != 0 && c.SlowStartCapacity != 1
}

// dedupWindow returns the dedup window of a class; 0 if repeats are not dropped.
func (c *EndpointConfig) dedupWindow(class int) time.Duration {
	if class < len(c.DedupWindows) {
		return c.DedupWindows[class]
	}
	return 0
}
