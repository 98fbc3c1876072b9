package idempotency

// Request asks a voter to grant or release a key.
type Request struct {
	Key Key `cbor:"1,keyasint"`
	// Sequence is the coordinator's number of the reservation.
	Sequence uint64 `cbor:"2,keyasint"`
	// Release asks the voter to release the key instead of granting it.
	Release bool `cbor:"3,keyasint,omitempty"`
}

// OutgoingRequest is a request with its destination.
type OutgoingRequest struct {
	// Voter is the index of the voter among the gateways.
	Voter   int
	Request Request
}

// Vote is the answer of a voter to a request. Zero means that the voter has not answered.
type Vote uint8

// Votes of a voter.
const (
	// VoteGranted grants the key to the reservation.
	VoteGranted Vote = iota + 1
	// VoteHeld denies the key because another reservation holds it or its request may have run, or because this
	// reservation has already been released.
	VoteHeld
	// VoteFull denies the key because the voter has reached its limit of retained keys.
	VoteFull
	// VoteReleased confirms a release.
	VoteReleased
)

// Response is the response of a voter to a request.
type Response struct {
	// Sequence is the sequence number of the request.
	Sequence uint64 `cbor:"1,keyasint"`
	Vote     Vote   `cbor:"2,keyasint"`
}

// VoterStatus describes the process and the disk of a voter. Voters exchange it at regular intervals.
type VoterStatus struct {
	// Process is the random number that identifies the sender's process.
	Process uint64 `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the sender, as stored on its disk.
	Incarnation uint32 `cbor:"2,keyasint"`
	// Disk is the random number that identifies the sender's disk.
	Disk uint64 `cbor:"3,keyasint"`
	// Joined reports whether the sender's disk takes part in votes.
	Joined bool `cbor:"4,keyasint,omitempty"`
	// InitialDisks are the disks with which the voters started voting. It is set only if the sender has joined.
	InitialDisks []uint64 `cbor:"5,keyasint,omitempty"`
	// RecordsAtStart is the number of records on the sender's disk when its process started.
	RecordsAtStart uint64 `cbor:"8,keyasint,omitempty"`
	// RecordsSynced is the number of records that are synced to the sender's disk.
	RecordsSynced uint64 `cbor:"9,keyasint,omitempty"`

	// ObservedProcess is a process of the receiver that the sender knows, or zero if it knows none.
	ObservedProcess uint64 `cbor:"6,keyasint,omitempty"`
	// ObservedIsNewest reports whether ObservedProcess is the latest process of the receiver that the sender knows.
	ObservedIsNewest bool `cbor:"7,keyasint,omitempty"`
}
