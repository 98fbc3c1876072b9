package policy

import "time"

// Message is a message from one gateway to another. Exactly one field is set.
type Message struct {
	StatusRequest *StatusRequest `cbor:"1,keyasint,omitempty"`
	StatusReply   *StatusReply   `cbor:"2,keyasint,omitempty"`
	// StateChanged notifies the receiver that the leader has applied the log up to this index. The receiver sends a
	// status request in response.
	StateChanged uint64      `cbor:"3,keyasint,omitempty"`
	Query        *Query      `cbor:"4,keyasint,omitempty"`
	QueryReply   *QueryReply `cbor:"5,keyasint,omitempty"`
}

// Outgoing is a message to send to a gateway, which may be the sender itself.
type Outgoing struct {
	// To is the index of the receiving gateway.
	To int
	// Message is the message to send.
	Message Message
}

// StatusRequest carries a participant's vote and heartbeat and asks for the current state. It is sent to all voters;
// only the leader replies.
type StatusRequest struct {
	// Process is the sender.
	Process Process `cbor:"1,keyasint"`
	// SentAt is the reading of the sender's clock. It is unique among the requests of a process.
	SentAt time.Duration `cbor:"2,keyasint"`
	// Version is the number of the version that the sender uses; zero if it has none yet.
	Version uint64 `cbor:"3,keyasint"`
	// Prepared is the index of the change that the sender has prepared; zero if none.
	Prepared uint64 `cbor:"4,keyasint,omitempty"`
	// Rejected is the index of the change that the sender has rejected; zero if none.
	Rejected uint64 `cbor:"5,keyasint,omitempty"`
	// Reason explains the rejection.
	Reason string `cbor:"6,keyasint,omitempty"`
	// Locked is the index of the change that the sender has locked; zero if none.
	Locked uint64 `cbor:"7,keyasint,omitempty"`
	// Leaving is true if the sender has stopped deciding for good.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// SwitchedAt is the wall-clock time at which the sender switched to Version, in Unix milliseconds.
	SwitchedAt int64 `cbor:"9,keyasint,omitempty"`
}

// StatusReply reports the state at some time after the request was sent.
type StatusReply struct {
	// RequestSentAt is the SentAt of the request.
	RequestSentAt time.Duration `cbor:"1,keyasint"`
	// Process is the sender of the request.
	Process Process `cbor:"2,keyasint"`
	// Current is the current version.
	Current Version `cbor:"3,keyasint"`
	// MayDecide is true if Process may decide by Current.
	MayDecide bool `cbor:"4,keyasint"`
	// Pending is the change that is being decided; nil if none.
	Pending *Change `cbor:"5,keyasint,omitempty"`
	// Lock tells the receiver to lock Pending, because all participants have prepared it.
	Lock bool `cbor:"6,keyasint,omitempty"`
	// Mode is the mode of the cluster.
	Mode Mode `cbor:"7,keyasint,omitempty"`
}

// Query asks the leader for the status of a change, and proposes the change if its ID is unknown. Without a ChangeID it
// asks for the overall status.
type Query struct {
	// Number is chosen by the sender and echoed in the reply.
	Number uint64 `cbor:"1,keyasint"`
	// ChangeID is the ID of the change.
	ChangeID string `cbor:"2,keyasint,omitempty"`
	// Change is proposed if its ID is unknown; nil to propose nothing.
	Change *Change `cbor:"3,keyasint,omitempty"`
	// Forget is one more than the index of a gateway that, according to an operator, is off for good; zero if none.
	Forget uint16 `cbor:"4,keyasint,omitempty"`
	// ReplaceVoter is one more than the index of a voter that has lost its disk for good; zero if none.
	ReplaceVoter uint16 `cbor:"5,keyasint,omitempty"`
}

// QueryReply answers a Query from a confirmed read of the state.
type QueryReply struct {
	// Number is the number of the query.
	Number uint64 `cbor:"1,keyasint"`
	// Current is the current version.
	Current Version `cbor:"2,keyasint"`
	// Mode is the mode of the cluster.
	Mode Mode `cbor:"3,keyasint"`
	// Pending is the change that is being decided; nil if none.
	Pending *Change `cbor:"4,keyasint,omitempty"`
	// WaitingFor describes which gateways Pending is waiting for, and why.
	WaitingFor string `cbor:"5,keyasint,omitempty"`
	// Outcome is the outcome of the change with ChangeID, without its lists of processes; nil if there is none yet.
	Outcome *Outcome `cbor:"6,keyasint,omitempty"`
	// Participants lists the first processes that may decide. It is set only if the query has no ChangeID.
	Participants []Process `cbor:"7,keyasint,omitempty"`
	// Leader is the index of the gateway that sent the reply.
	Leader uint16 `cbor:"8,keyasint"`
	// Reason explains why Forget or ReplaceVoter has not been done; empty on success.
	Reason string `cbor:"9,keyasint,omitempty"`
}
