package peer

import "gapgap/internal/cluster"

// Limits of message contents.
const (
	// MaxPayloadBytes is the maximum size of a policy or idempotency key payload.
	MaxPayloadBytes = 12 << 10

	// maxLoanNameBytes is the maximum length of each name in a LoanRequest.
	maxLoanNameBytes = 64
	// maxRecoveryStepBytes is the maximum length of the recovery step in a statusReply.
	maxRecoveryStepBytes = 160
)

// message is the content of a datagram. Apart from ListHash, From and To, one field is set; with a heartbeat, SentAt is
// set as well.
type message struct {
	// ListHash is the hash of the sender's list of names. A receiver with another list rejects the message.
	ListHash uint32 `cbor:"1,keyasint"`
	// From and To are indexes in the list.
	From    uint16           `cbor:"2,keyasint"`
	To      uint16           `cbor:"3,keyasint"`
	Cluster *cluster.Message `cbor:"4,keyasint,omitempty"`
	// StatusRequest is the number, from 1, of a query for the receiver's view of the cluster.
	StatusRequest uint32       `cbor:"5,keyasint,omitempty"`
	StatusReply   *statusReply `cbor:"6,keyasint,omitempty"`
	LoanRequest   *LoanRequest `cbor:"7,keyasint,omitempty"`
	Loan          *Loan        `cbor:"8,keyasint,omitempty"`
	// Policy and Keys are opaque payloads.
	Policy []byte `cbor:"9,keyasint,omitempty"`
	Keys   []byte `cbor:"10,keyasint,omitempty"`
	// SentAt is the time of sending on the sender's clock, in Unix nanoseconds.
	SentAt int64 `cbor:"11,keyasint,omitempty"`
}

// LoanRequest is a request for a loan of a part of a customer's ceiling.
type LoanRequest struct {
	Pool     string `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	// Plan is the index of the customer's plan.
	Plan uint16 `cbor:"3,keyasint"`
	// At is the time of the request on the sender's clock, in nanoseconds.
	At int64 `cbor:"4,keyasint"`
}

// isValid reports whether the lengths of the names are within their limit.
func (r *LoanRequest) isValid() bool {
	return len(r.Pool) <= maxLoanNameBytes && len(r.Customer) <= maxLoanNameBytes
}

// Loan answers a LoanRequest.
type Loan struct {
	Request LoanRequest `cbor:"1,keyasint"`
	// Rate and Depth are those of the lent token bucket, in units per second and in units.
	Rate  float64 `cbor:"2,keyasint"`
	Depth float64 `cbor:"3,keyasint"`
}

// statusReply is a gateway's view of the cluster.
type statusReply struct {
	// Number is the number of the query.
	Number uint32 `cbor:"1,keyasint"`
	// States and Incarnations have an element for each gateway, in the order of the list. Each state is a
	// membership.State.
	States       []byte   `cbor:"2,keyasint"`
	Incarnations []uint32 `cbor:"3,keyasint"`
	// Fraction is the fraction of the shared quotas that the sender has leased.
	Fraction float64 `cbor:"4,keyasint"`
	// RecoveryStep is the step that the sender's startup is at.
	RecoveryStep string `cbor:"5,keyasint,omitempty"`
}

// truncateStep truncates a recovery step to its maximum length.
func truncateStep(step string) string { return step[:min(len(step), maxRecoveryStepBytes)] }
