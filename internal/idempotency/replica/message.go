package replica

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"gapgap/internal/idempotency"
)

// maxEntriesPerMessage limits the requests or responses of a message, so that it fits into a datagram.
const maxEntriesPerMessage = 150

// message is one datagram between gateways.
type message struct {
	// Process is the random number of the sender's process.
	Process uint64 `cbor:"1,keyasint"`
	// Requests are for the voter, Responses for the coordinator of the process Receiver.
	Requests  []idempotency.Request  `cbor:"2,keyasint,omitempty"`
	Receiver  uint64                 `cbor:"3,keyasint,omitempty"`
	Responses []idempotency.Response `cbor:"4,keyasint,omitempty"`
	// Status is a voter's. IsStatusAnswer tells whether it answers one, and so gets no answer.
	Status         *idempotency.VoterStatus `cbor:"5,keyasint,omitempty"`
	IsStatusAnswer bool                     `cbor:"6,keyasint,omitempty"`
	// Ping asks a voter whether it votes; Pong, to the process Receiver, says that it does.
	Ping bool `cbor:"7,keyasint,omitempty"`
	Pong bool `cbor:"8,keyasint,omitempty"`
}

// isForVoter tells whether a voter has something to do for the message.
func (m *message) isForVoter() bool { return len(m.Requests) > 0 || m.Status != nil || m.Ping }

// isForCoordinator tells whether the coordinator of a process has something to do for the message.
func (m *message) isForCoordinator(process uint64) bool {
	return m.Receiver == process && (len(m.Responses) > 0 || m.Pong)
}

// receivedMessage is a message with the gateway that sent it.
type receivedMessage struct {
	from    int
	message *message
}

// outgoingMessage is a message with the gateway that it is for.
type outgoingMessage struct {
	to      int
	message *message
}

// messageDecoder reads messages and stored records, with limits on what a sender can make it allocate.
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
		panic(err) // the options above are wrong
	}
	return mode
}

// randomID returns a random number that is not zero and leaves out the highest bit.
func randomID() uint64 {
	var b [8]byte
	rand.Read(b[:]) // it never fails
	return binary.BigEndian.Uint64(b[:])>>1 | 1
}
