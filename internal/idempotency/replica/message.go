package replica

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/idempotency"
)

// maxEntriesPerMessage is the maximum number of requests or responses in a message, so that it fits into a datagram.
const maxEntriesPerMessage = 150

// message is the content of a datagram between gateways.
type message struct {
	// Process is the random number that identifies the sender's process.
	Process uint64 `cbor:"1,keyasint"`
	// Requests are for the receiver's voter. Responses are for the coordinator of the process Receiver.
	Requests  []idempotency.Request  `cbor:"2,keyasint,omitempty"`
	Receiver  uint64                 `cbor:"3,keyasint,omitempty"`
	Responses []idempotency.Response `cbor:"4,keyasint,omitempty"`
	// Status is the status of the sender's voter. IsStatusAnswer reports whether it answers another status; then it is
	// not answered itself.
	Status         *idempotency.VoterStatus `cbor:"5,keyasint,omitempty"`
	IsStatusAnswer bool                     `cbor:"6,keyasint,omitempty"`
	// Ping asks a voter whether it is ready to vote. Pong, which is for the process Receiver, confirms that it is.
	Ping bool `cbor:"7,keyasint,omitempty"`
	Pong bool `cbor:"8,keyasint,omitempty"`
}

// isForVoter reports whether the message has content for the receiver's voter.
func (m *message) isForVoter() bool { return len(m.Requests) > 0 || m.Status != nil || m.Ping }

// isForCoordinator reports whether the message has content for the coordinator of the given process.
func (m *message) isForCoordinator(process uint64) bool {
	return m.Receiver == process && (len(m.Responses) > 0 || m.Pong)
}

// receivedMessage is a message with the index of the gateway that sent it.
type receivedMessage struct {
	from    int
	message *message
}

// outgoingMessage is a message with the index of the gateway to send it to.
type outgoingMessage struct {
	to      int
	message *message
}

// messageDecoder decodes messages and stored records. Its limits bound the memory that a sender can make it allocate.
var messageDecoder = newMessageDecoder()

func newMessageDecoder() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: 512,
		MaxMapPairs:      64,
		MaxNestedLevels:  6,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // unreachable unless the options above are invalid
	}
	return mode
}

// randomID returns a random number that is not zero and whose highest bit is zero.
func randomID() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never returns an error
	return binary.BigEndian.Uint64(b[:])>>1 | 1
}
