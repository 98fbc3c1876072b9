package replica

import "sync/atomic"

// Stats counts events since the start. Any goroutine may read it.
type Stats struct {
	// Granted, HeldByOther and NoCapacity count the outcomes of this gateway's reservations.
	Granted, HeldByOther, NoCapacity atomic.Uint64
	// NoQuorum counts reservations that were rejected at once as too few voters answer.
	NoQuorum atomic.Uint64
	// Syncs and Bytes count syncs of the voter's log and the bytes of records in it.
	Syncs, Bytes atomic.Uint64
	// DroppedMessages counts messages that were not understood or found a full queue.
	DroppedMessages atomic.Uint64
}

// View shows operators a gateway's voter.
type View struct {
	// IsVoter tells whether the gateway has a voter. If not, all else is zero.
	IsVoter bool `json:"votes"`
	// Ready tells whether it votes; if not, Reason tells why.
	Ready  bool   `json:"ready"`
	Reason string `json:"why,omitempty"`
	// Keys is how many keys it retains.
	Keys int `json:"keys"`
	// Segments is how many segments its log has.
	Segments int `json:"segments"`
}
