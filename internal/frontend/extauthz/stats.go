package extauthz

import (
	"log/slog"
	"sync/atomic"
)

// Stats counts what the listeners of a process did. Any goroutine may read it. Each has the counters' names in metrics
// and logs.
type Stats struct {
	// Allowed is the number of checks whose requests were admitted.
	Allowed atomic.Uint64
	// Refused is the number of checks rejected by the pool's proxy, for whatever reason, or repeated too often.
	Refused atomic.Uint64
	// Unauthenticated is the number of checks without a known credential.
	Unauthenticated atomic.Uint64
	// Forbidden is the number of checks whose account may not do what they ask for, or that no pool serves. Checks by
	// untrusted proxies are not among them.
	Forbidden atomic.Uint64
	// UndecidedAllowed is the number of checks that could not be decided and may pass.
	UndecidedAllowed atomic.Uint64
	// UndecidedDenied is the number of checks that could not be decided and may not pass.
	UndecidedDenied atomic.Uint64
	// Untrusted is the number of requests that came from no trusted proxy.
	Untrusted atomic.Uint64
	// Bad is the number of malformed requests.
	Bad atomic.Uint64
	// TooLarge is the number of requests with too many header fields or an unacceptable body.
	TooLarge atomic.Uint64
	// NoCapacity is the number of requests and connections for which there was no memory or connection left.
	NoCapacity atomic.Uint64
	// Repeated is the number of repeats that joined a pending check or got a cached decision. They are also
	// counted by what they got, mostly as Allowed or Refused.
	Repeated atomic.Uint64
	// Exhausted is the number of repeats rejected since the check was asked too often. Refused counts them too.
	Exhausted atomic.Uint64
	// Untracked is the number of checks for which the decision cache had no room.
	Untracked atomic.Uint64
	// Ended is the number of admitted requests ended by an end call.
	Ended atomic.Uint64
	// InFlightUntracked is the number of admitted requests that no end call can end for want of room.
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
