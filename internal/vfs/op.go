package vfs

// Kind is what an [Op] does.
type Kind uint8

// Kinds.
const (
	Make     Kind = iota + 1 // the file ID comes to be, under the name Path
	Open                     // the file at Path, which was there before, is called ID from now on
	Write                    // of Data at Off of the file ID
	Truncate                 // of the file ID to Off bytes
	Sync                     // of the file ID has returned nil
	Rename                   // of Path to To
	Remove                   // of Path
	Mkdir                    // of Path
	SyncDir                  // of Path has returned nil
)

// Op is one thing that a program did to its disk, as a recorder writes it down. Paths are relative to what is recorded.
type Op struct {
	Kind Kind   `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint,omitempty"`
	Path string `cbor:"3,keyasint,omitempty"`
	To   string `cbor:"4,keyasint,omitempty"`
	Off  int64  `cbor:"5,keyasint,omitempty"`
	Data []byte `cbor:"6,keyasint,omitempty"`
}
