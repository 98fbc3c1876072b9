package idempotency

// RecordKind is the type of a record. It determines which fields of the record are set.
type RecordKind uint8

// Kinds of records. The values are stored on disk and must not change.
const (
	// RecordDisk holds the ID and the RecordCount of the disk. It is the first record of the log.
	RecordDisk RecordKind = iota + 1
	// RecordJoined states that the disk takes part in votes. Disks are the disks with which the voters started
	// voting.
	RecordJoined
	// RecordReserved states that Owner holds Key.
	RecordReserved
	// RecordReleased states that Owner has released Key.
	RecordReleased
	// RecordPeer holds the latest known process of another voter.
	RecordPeer
)

// Record is an entry of a voter's log on disk.
type Record struct {
	Kind  RecordKind `cbor:"1,keyasint"`
	Key   Key        `cbor:"2,keyasint,omitempty"`
	Owner Owner      `cbor:"3,keyasint,omitempty"`
	// ID is the random number that identifies the disk or, in RecordPeer, the peer's process.
	ID uint64 `cbor:"4,keyasint,omitempty"`
	// Disks are the disks with which the voters started voting or, in RecordPeer, the peer's disk.
	Disks []uint64 `cbor:"5,keyasint,omitempty"`
	// Voter is the index of the peer among the gateways.
	Voter int `cbor:"6,keyasint,omitempty"`
	// Incarnation is the highest known incarnation of the peer.
	Incarnation uint32 `cbor:"7,keyasint,omitempty"`
	// RecordCount is the number of records written to the disk so far, including dropped ones. In RecordPeer, it
	// belongs to the peer's disk.
	RecordCount uint64 `cbor:"8,keyasint,omitempty"`
}
