package replica

import "sync/atomic"

// Stats counts events since the start of the process. It is safe for concurrent use.
type Stats struct {
	// Granted, HeldByOther and NoCapacity count the outcomes of this gateway's reservations.
	Granted, HeldByOther, NoCapacity atomic.Uint64
	// NoQuorum counts reservations that were rejected immediately because too few voters answered.
	NoQuorum atomic.Uint64
	// Syncs counts syncs of the voter's log after messages and timers, not those of a rewrite or a new segment. Bytes
	// counts the bytes of all records appended to the log.
	Syncs, Bytes atomic.Uint64
	// DroppedMessages counts messages that were invalid or dropped because a queue was full.
	DroppedMessages atomic.Uint64
}

// View is the state of a gateway's voter as shown to operators.
type View struct {
	// IsVoter reports whether the gateway is a voter. If not, all other fields are zero.
	IsVoter bool `json:"votes"`
	// Ready reports whether the voter votes. If not, Reason explains why.
	Ready  bool   `json:"ready"`
	Reason string `json:"why,omitempty"`
	// Keys is the number of keys that the voter retains.
	Keys int `json:"keys"`
	// Segments is the number of segments of the voter's log.
	Segments int `json:"segments"`
}
