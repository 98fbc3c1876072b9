package idempotency

// RecordKind tells what a record is about, and which of its fields are set.
type RecordKind uint8

// Kinds of records. Their numbers are stored.
const (
	// RecordDisk has the disk's ID and RecordCount. It is the first record.
	RecordDisk RecordKind = iota + 1
	// RecordJoined says that the disk takes part in votes; Disks are those with which the voters began.
	RecordJoined
	// RecordReserved says that Owner holds Key.
	RecordReserved
	// RecordReleased says that Owner has released Key.
	RecordReleased
	// RecordPeer has the newest known process of another voter.
	RecordPeer
)

// Record is an entry of a voter's log on disk.
type Record struct {
	Kind  RecordKind `cbor:"1,keyasint"`
	Key   Key        `cbor:"2,keyasint,omitempty"`
	Owner Owner      `cbor:"3,keyasint,omitempty"`
	// ID is the disk's random number; in RecordPeer, that of the peer's process.
	ID uint64 `cbor:"4,keyasint,omitempty"`
	// Disks are the disks with which the voters began; in RecordPeer, the peer's disk.
	Disks []uint64 `cbor:"5,keyasint,omitempty"`
	// Voter is the index of the peer.
	Voter int `cbor:"6,keyasint,omitempty"`
	// Incarnation is the highest known one of the peer.
	Incarnation uint32 `cbor:"7,keyasint,omitempty"`
	// RecordCount is how many records the disk, or the peer's disk, has had so far, dropped ones among them.
	RecordCount uint64 `cbor:"8,keyasint,omitempty"`
}
