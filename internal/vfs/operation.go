package vfs

// OperationKind is the kind of an operation. Its numbers are stored in records.
type OperationKind uint8

// Kinds of operations.
const (
	// OpCreate creates the file FileID at Path.
	OpCreate OperationKind = iota + 1
	// OpOpen assigns FileID to the existing file at Path.
	OpOpen
	// OpWrite writes Data at Offset of FileID.
	OpWrite
	// OpTruncate truncates FileID to Offset bytes.
	OpTruncate
	// OpSync is recorded after a sync of FileID has succeeded.
	OpSync
	// OpRename renames Path to NewPath.
	OpRename
	// OpRemove removes Path.
	OpRemove
	// OpMkdir creates the directory Path.
	OpMkdir
	// OpSyncDir is recorded after a sync of the directory Path has succeeded.
	OpSyncDir
)

// Operation is a change that a program made to its files. Paths are relative to the recorded directory.
type Operation struct {
	Kind    OperationKind `cbor:"1,keyasint"`
	FileID  uint64        `cbor:"2,keyasint,omitempty"`
	Path    string        `cbor:"3,keyasint,omitempty"`
	NewPath string        `cbor:"4,keyasint,omitempty"`
	Offset  int64         `cbor:"5,keyasint,omitempty"`
	Data    []byte        `cbor:"6,keyasint,omitempty"`
}
