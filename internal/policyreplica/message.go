package policyreplica

import (
	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/policy"
)

const (
	// historyReport is the name of the report with the outcomes of the most recent changes, as JSON.
	historyReport = "history"
)

// message is one datagram between gateways. Exactly one field is set.
type message struct {
	// Node is for the receiver's policy.Node.
	Node *policy.Message `cbor:"1,keyasint,omitempty"`
	// Raft is for the receiver's replicated log.
	Raft []byte `cbor:"2,keyasint,omitempty"`
	// ChunkRequest requests a part of a document, and Chunk contains it.
	ChunkRequest *chunkRequest `cbor:"3,keyasint,omitempty"`
	Chunk        *chunk        `cbor:"4,keyasint,omitempty"`
	// Fragment is a part of a message that is too long for a datagram.
	Fragment *fragment `cbor:"5,keyasint,omitempty"`
	// ReportRequest is the name of a report. The leader replies with a ReportLocation, by whose hash the report is
	// downloaded like a document.
	ReportRequest  string          `cbor:"6,keyasint,omitempty"`
	ReportLocation *reportLocation `cbor:"7,keyasint,omitempty"`
}

// reportLocation contains the hash by which a report can be downloaded from the sender.
type reportLocation struct {
	// Report is the name of the report.
	Report string      `cbor:"1,keyasint"`
	Hash   policy.Hash `cbor:"2,keyasint"`
}

// chunkRequest requests a part of a document.
type chunkRequest struct {
	// Hash is the document's hash.
	Hash policy.Hash `cbor:"1,keyasint"`
	// Offset is the chunk's offset in bytes, a multiple of chunkBytes.
	Offset int64 `cbor:"2,keyasint"`
}

// chunk is a part of a document.
type chunk struct {
	// Hash and Offset are those of the request.
	Hash   policy.Hash `cbor:"1,keyasint"`
	Offset int64       `cbor:"2,keyasint"`
	// DocumentSize is the length of the document in bytes; zero: the sender does not have the document.
	DocumentSize int64  `cbor:"3,keyasint"`
	Data         []byte `cbor:"4,keyasint"`
}

// receivedDatagram is a datagram with the index of the gateway that sent it.
type receivedDatagram struct {
	from     int
	datagram []byte
}

// messageDecoder decodes messages. Its limits bound what a sender can make the receiver allocate.
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
		panic(err) // the options above are invalid
	}
	return mode
}
