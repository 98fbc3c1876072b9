package policy

import "time"

// Message is what one gateway sends another. Exactly one field is set.
type Message struct {
	StatusRequest *StatusRequest `cbor:"1,keyasint,omitempty"`
	StatusReply   *StatusReply   `cbor:"2,keyasint,omitempty"`
	// StateChanged is the index up to which the leader has applied the log: the receiver is to send a status request.
	StateChanged uint64      `cbor:"3,keyasint,omitempty"`
	Query        *Query      `cbor:"4,keyasint,omitempty"`
	QueryReply   *QueryReply `cbor:"5,keyasint,omitempty"`
}

// Outgoing is a message to a gateway, which may be the sender's own.
type Outgoing struct {
	// To is the index of the receiver.
	To int
	// Message is what it is sent.
	Message Message
}

// StatusRequest is a participant's vote and heartbeat, and asks how things stand. It goes to all voters; only the
// leader replies.
type StatusRequest struct {
	// Process is the sender.
	Process Process `cbor:"1,keyasint"`
	// SentAt is a reading of the sender's clock. No two requests of a process have the same.
	SentAt time.Duration `cbor:"2,keyasint"`
	// Version is the number of the version that the sender goes by; zero: none yet.
	Version uint64 `cbor:"3,keyasint"`
	// Prepared is the index of the change that the sender could switch to; zero: none.
	Prepared uint64 `cbor:"4,keyasint,omitempty"`
	// Rejected is the index of the change that the sender can't switch to; zero: none.
	Rejected uint64 `cbor:"5,keyasint,omitempty"`
	// Reason says why the change was rejected.
	Reason string `cbor:"6,keyasint,omitempty"`
	// Locked is the index of the change that the sender has locked; zero: none.
	Locked uint64 `cbor:"7,keyasint,omitempty"`
	// Leaving says that the sender decides nothing any more.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// SwitchedAt is when the sender switched to Version, wall time in Unix milliseconds.
	SwitchedAt int64 `cbor:"9,keyasint,omitempty"`
}

// StatusReply says how things stood at some time after the request was sent.
type StatusReply struct {
	// RequestSentAt is SentAt of the request.
	RequestSentAt time.Duration `cbor:"1,keyasint"`
	// Process is the sender of the request.
	Process Process `cbor:"2,keyasint"`
	// Current is the version that holds.
	Current Version `cbor:"3,keyasint"`
	// MayDecide says that Process may decide by Current.
	MayDecide bool `cbor:"4,keyasint"`
	// Pending is the change that is being decided; nil: none.
	Pending *Change `cbor:"5,keyasint,omitempty"`
	// Lock says that all participants have prepared Pending: the receiver is to lock it.
	Lock bool `cbor:"6,keyasint,omitempty"`
	// Mode is that of all gateways.
	Mode Mode `cbor:"7,keyasint,omitempty"`
}

// Query asks the leader how a change stands, and proposes it where its id is not known. With no ChangeID it asks how
// things stand at all.
type Query struct {
	// Number is chosen by the sender and repeated in the reply.
	Number uint64 `cbor:"1,keyasint"`
	// ChangeID is the id of the change.
	ChangeID string `cbor:"2,keyasint,omitempty"`
	// Change is to be proposed if its id is not known; nil: nothing is proposed.
	Change *Change `cbor:"3,keyasint,omitempty"`
	// Forget is one more than the index of a gateway that an operator knows to be off; zero: none.
	Forget uint16 `cbor:"4,keyasint,omitempty"`
	// ReplaceVoter is one more than the index of a voter that has lost its disk for good; zero: none.
	ReplaceVoter uint16 `cbor:"5,keyasint,omitempty"`
}

// QueryReply answers a Query by a confirmed read.
type QueryReply struct {
	// Number is that of the query.
	Number uint64 `cbor:"1,keyasint"`
	// Current is the version that holds.
	Current Version `cbor:"2,keyasint"`
	// Mode is that of all gateways.
	Mode Mode `cbor:"3,keyasint"`
	// Pending is the change that is being decided; nil: none.
	Pending *Change `cbor:"4,keyasint,omitempty"`
	// WaitingFor says for which gateways Pending waits, and why.
	WaitingFor string `cbor:"5,keyasint,omitempty"`
	// Outcome is that of the change with ChangeID, without its lists of processes; nil: it has none yet.
	Outcome *Outcome `cbor:"6,keyasint,omitempty"`
	// Participants are the first processes that may decide, where no change is asked for.
	Participants []Process `cbor:"7,keyasint,omitempty"`
	// Leader is the index of the gateway that answers.
	Leader uint16 `cbor:"8,keyasint"`
	// Reason says why Forget or ReplaceVoter was not done, or not yet; empty: it was.
	Reason string `cbor:"9,keyasint,omitempty"`
}
