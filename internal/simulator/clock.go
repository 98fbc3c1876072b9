package simulator

import "time"

// Clock is the time source and scheduler of an [Endpoint]: the virtual time of a [World], or real time. It is called by
// the goroutine that owns the endpoint, and runs scheduled functions on that goroutine.
type Clock interface {
	// Time returns the current time.
	Time() time.Duration
	// Schedule calls a function after a delay, unless cancel is called first.
	Schedule(delay time.Duration, do func()) (cancel func())
}
