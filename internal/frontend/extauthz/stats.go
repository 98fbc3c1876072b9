package extauthz

import (
	"log/slog"
	"sync/atomic"
)

// Stats are the statistics of all listeners of a process. Any goroutine may read them. Each defines the counters' names
// in metrics and logs.
type Stats struct {
	// Allowed is the number of checks whose requests were admitted.
	Allowed atomic.Uint64
	// Refused is the number of checks that were rejected by the pool's proxy for any reason, or repeated too often.
	Refused atomic.Uint64
	// Unauthenticated is the number of checks without a known credential.
	Unauthenticated atomic.Uint64
	// Forbidden is the number of checks whose account is not entitled to the request, or that no pool serves. It does
	// not include checks of untrusted proxies.
	Forbidden atomic.Uint64
	// UndecidedAllowed is the number of checks that could not be decided and whose requests may pass.
	UndecidedAllowed atomic.Uint64
	// UndecidedDenied is the number of checks that could not be decided and whose requests may not pass.
	UndecidedDenied atomic.Uint64
	// Untrusted is the number of requests that did not come from a trusted proxy.
	Untrusted atomic.Uint64
	// Bad is the number of malformed requests.
	Bad atomic.Uint64
	// TooLarge is the number of requests with too many header fields or an unacceptable body.
	TooLarge atomic.Uint64
	// NoCapacity is the number of requests and connections beyond the limits on memory and connections.
	NoCapacity atomic.Uint64
	// Repeated is the number of repeats that joined a pending check or got a cached decision. They are also counted by
	// their decision, mostly as Allowed or Refused.
	Repeated atomic.Uint64
	// Exhausted is the number of repeats that were rejected because the check was repeated too often. Refused counts
	// them too.
	Exhausted atomic.Uint64
	// Untracked is the number of checks for which the decision cache had no room.
	Untracked atomic.Uint64
	// Ended is the number of admitted requests that were ended by an end call.
	Ended atomic.Uint64
	// InFlightUntracked is the number of admitted requests that an end call can't end, as there was no room to track
	// them.
	InFlightUntracked atomic.Uint64
}

// Each calls visit with each counter and its name in metrics and logs.
func (s *Stats) Each(visit func(name string, n uint64)) {
	for _, counter := range []struct {
		name  string
		value *atomic.Uint64
	}{
		{"allowed", &s.Allowed},
		{"refused", &s.Refused},
		{"unauthenticated", &s.Unauthenticated},
		{"forbidden", &s.Forbidden},
		{"undecided_allowed", &s.UndecidedAllowed},
		{"undecided_denied", &s.UndecidedDenied},
		{"untrusted", &s.Untrusted},
		{"bad", &s.Bad},
		{"too_large", &s.TooLarge},
		{"no_room", &s.NoCapacity},
		{"repeated", &s.Repeated},
		{"worn", &s.Exhausted},
		{"unwatched", &s.Untracked},
		{"ended", &s.Ended},
		{"holds_lost", &s.InFlightUntracked},
	} {
		visit(counter.name, counter.value.Load())
	}
}

// LogValue implements [slog.LogValuer].
func (s *Stats) LogValue() slog.Value {
	var attributes []slog.Attr
	s.Each(func(name string, n uint64) {
		attributes = append(attributes, slog.Uint64(name, n))
	})
	return slog.GroupValue(attributes...)
}
