package idempotency

// Request asks a voter to grant a key or to release it.
type Request struct {
	Key Key `cbor:"1,keyasint"`
	// Sequence is the number of the coordinator's reservation.
	Sequence uint64 `cbor:"2,keyasint"`
	// Release gives the key back.
	Release bool `cbor:"3,keyasint,omitempty"`
}

// OutgoingRequest is a request with the voter that it is for.
type OutgoingRequest struct {
	// Voter is the voter's index among the gateways.
	Voter   int
	Request Request
}

// Vote is a voter's answer to a request. Zero means that it has not answered.
type Vote uint8

// Votes.
const (
	// VoteGranted gives the key to the reservation.
	VoteGranted Vote = iota + 1
	// VoteHeld says that another reservation holds the key, or held it and its request may have run.
	VoteHeld
	// VoteFull says that the voter retains as many keys as it may.
	VoteFull
	// VoteReleased confirms a release.
	VoteReleased
)

// Response is a voter's answer to a request.
type Response struct {
	// Sequence is that of the request.
	Sequence uint64 `cbor:"1,keyasint"`
	Vote     Vote   `cbor:"2,keyasint"`
}

// VoterStatus tells a voter about the process and the disk of another one. Voters exchange it now and then.
type VoterStatus struct {
	// Process is the random number of the sender's process.
	Process uint64 `cbor:"1,keyasint"`
	// Incarnation is the sender's, as stored on its disk.
	Incarnation uint32 `cbor:"2,keyasint"`
	// Disk is the random number of the sender's disk.
	Disk uint64 `cbor:"3,keyasint"`
	// Joined tells whether the sender's disk takes part in votes.
	Joined bool `cbor:"4,keyasint,omitempty"`
	// InitialDisks are the disks with which the voters began, if the sender has joined.
	InitialDisks []uint64 `cbor:"5,keyasint,omitempty"`
	// RecordsAtStart is how many records the disk had when the sender's process started.
	RecordsAtStart uint64 `cbor:"8,keyasint,omitempty"`
	// RecordsSynced is how many records the disk has synced by now.
	RecordsSynced uint64 `cbor:"9,keyasint,omitempty"`

	// ObservedProcess is a process of the receiver that the sender knows; zero if it knows none.
	ObservedProcess uint64 `cbor:"6,keyasint,omitempty"`
	// ObservedIsNewest tells whether the sender knows no later process of the receiver than ObservedProcess.
	ObservedIsNewest bool `cbor:"7,keyasint,omitempty"`
}
