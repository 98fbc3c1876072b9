package simulator

import "time"

// Clock is the time by which an [Endpoint] works: the virtual time of a [World], or a real one. The goroutine that owns
// the endpoint calls it, and is called by it.
type Clock interface {
	// Time is the present time.
	Time() time.Duration
	// Schedule calls a function after a delay, unless cancel is called before.
	Schedule(delay time.Duration, do func()) (cancel func())
}
