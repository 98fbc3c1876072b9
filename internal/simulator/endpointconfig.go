package simulator

import (
	"fmt"
	"time"
)

// EndpointConfig describes an [Endpoint].
type EndpointConfig struct {
	// Cores is the work done at once, in cores; above 0.
	Cores float64
	// MaxInService is the number of requests in service at once, which share the cores; at least 1.
	MaxInService int
	// QueueCapacity is the number of requests that may wait; further ones are rejected unseen.
	QueueCapacity int
	// ServiceTimes are the distributions of the work of a request, by class.
	ServiceTimes []Distribution

	// SlowdownFrom is the number of requests held, in service and waiting, above which the endpoint gets slower; 0:
	// it never does.
	SlowdownFrom int
	// SlowdownPerRequest is the part of its speed that each request above SlowdownFrom costs.
	SlowdownPerRequest float64
	// MinSpeed is the part of its speed below which it does not fall, from 0 to 1.
	MinSpeed float64

	// SlowStartCapacity is the part of its capacity right after a start, from 0 to 1. 0 and 1: there is no slow
	// start.
	SlowStartCapacity float64
	// SlowStartDuration is the time in which the capacity rises evenly to the whole.
	SlowStartDuration time.Duration
	// OverloadMultiple is the multiple of its capacity that crashes it when it is sent that much within
	// OverloadWindow during its slow start; 0: it never crashes.
	OverloadMultiple float64
	OverloadWindow   time.Duration

	// DedupWindows are the times for which a repeat of a key is dropped, by class. 0 or none: it is not dropped.
	DedupWindows []time.Duration
}

// EndpointConfigError is a value of an EndpointConfig that is not valid.
type EndpointConfigError struct {
	// Field is the value's name in scripts, with an index if it is one of several.
	Field string
	Err   error
}

// Error returns the field and what is wrong with it.
func (e *EndpointConfigError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the error without the field.
func (e *EndpointConfigError) Unwrap() error { return e.Err }

// Check returns an [*EndpointConfigError] for the first value that is not valid; nil: all are.
func (c *EndpointConfig) Check() error {
	invalid := func(field, format string, args ...any) error {
		return &EndpointConfigError{Field: field, Err: fmt.Errorf(format, args...)}
	}
	switch {
	case !(c.Cores > 0):
		return invalid("cores", "%v is not above 0", c.Cores)
	case c.MaxInService < 1:
		return invalid("slots", "%d is under 1", c.MaxInService)
	case c.QueueCapacity < 0:
		return invalid("room", "%d is negative", c.QueueCapacity)
	case len(c.ServiceTimes) == 0:
		return invalid("work", "there is none")
	case c.SlowdownFrom < 0 || c.SlowdownPerRequest < 0 || c.MinSpeed < 0 || c.MinSpeed > 1:
		return invalid("held", "a figure is negative, or the least speed is over 1")
	case c.SlowStartCapacity < 0 || c.SlowStartCapacity > 1,
		c.SlowStartCapacity > 0 && c.SlowStartCapacity < 1 && c.SlowStartDuration <= 0:
		return invalid("cold_from", "%v is not from 0 to 1, or warm_within is missing", c.SlowStartCapacity)
	case c.OverloadMultiple < 0 || c.OverloadMultiple > 0 && c.OverloadWindow <= 0:
		return invalid("fall_at", "%v is negative, or fall_window is missing", c.OverloadMultiple)
	}
	for class, distribution := range c.ServiceTimes {
		if err := distribution.Check(); err != nil {
			return &EndpointConfigError{Field: fmt.Sprintf("work[%d]", class), Err: err}
		}
	}
	return nil
}

// hasSlowStart says that the endpoint has part of its capacity right after a start.
func (c *EndpointConfig) hasSlowStart() bool {
	return c.SlowStartCapacity != 0 && c.SlowStartCapacity != 1
}

// dedupWindow returns the time for which a repeat of a class is dropped; 0: it is not.
func (c *EndpointConfig) dedupWindow(class int) time.Duration {
	if class < len(c.DedupWindows) {
		return c.DedupWindows[class]
	}
	return 0
}
