package policyreplica

import (
	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/policy"
)

const (
	// historyReport names the report of the outcomes of the last changes, as JSON.
	historyReport = "history"
)

// message is one datagram between gateways. Exactly one field is set.
type message struct {
	// Node is for the receiver's policy.Node.
	Node *policy.Message `cbor:"1,keyasint,omitempty"`
	// Raft is for the receiver's replicated log.
	Raft []byte `cbor:"2,keyasint,omitempty"`
	// ChunkRequest asks for a part of a document, and Chunk has it.
	ChunkRequest *chunkRequest `cbor:"3,keyasint,omitempty"`
	Chunk        *chunk        `cbor:"4,keyasint,omitempty"`
	// Fragment is a part of a message that is too long for a datagram.
	Fragment *fragment `cbor:"5,keyasint,omitempty"`
	// ReportRequest names a report of the leader, which is fetched like a document by the hash in ReportLocation.
	ReportRequest  string          `cbor:"6,keyasint,omitempty"`
	ReportLocation *reportLocation `cbor:"7,keyasint,omitempty"`
}

// reportLocation tells by which hash a report can be fetched from its sender.
type reportLocation struct {
	// Report is the name of the report.
	Report string      `cbor:"1,keyasint"`
	Hash   policy.Hash `cbor:"2,keyasint"`
}

// chunkRequest asks for a part of a document.
type chunkRequest struct {
	// Hash is that of the document.
	Hash policy.Hash `cbor:"1,keyasint"`
	// Offset is the number of bytes before the chunk, a multiple of chunkBytes.
	Offset int64 `cbor:"2,keyasint"`
}

// chunk is a part of a document.
type chunk struct {
	// Hash and Offset are those of the request.
	Hash   policy.Hash `cbor:"1,keyasint"`
	Offset int64       `cbor:"2,keyasint"`
	// DocumentSize is the length of the document in bytes; zero: the sender does not have it.
	DocumentSize int64  `cbor:"3,keyasint"`
	Data         []byte `cbor:"4,keyasint"`
}

// receivedDatagram is a datagram with the gateway that sent it.
type receivedDatagram struct {
	from     int
	datagram []byte
}

// messageDecoder reads messages, with limits on what a sender can make it allocate.
var messageDecoder = newMessageDecoder()

func newMessageDecoder() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: 4096,
		MaxMapPairs:      4096,
		MaxNestedLevels:  12,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // the options above are wrong
	}
	return mode
}
