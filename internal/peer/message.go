package peer

import "gapgap/internal/cluster"

// Bounds of what a message carries.
const (
	// MaxPayloadBytes bounds what one datagram carries of policy, or of idempotency keys.
	MaxPayloadBytes = 12 << 10

	// maxLoanNameBytes bounds each name in a LoanRequest.
	maxLoanNameBytes = 64
	// maxRecoveryStepBytes bounds what a gateway says of its recovery.
	maxRecoveryStepBytes = 160
)

// message is the content of a datagram. Beside the addresses one of its fields is set; SentAt goes with a heartbeat.
type message struct {
	// ListHash is a hash of the names: gateways with different lists do not understand each other.
	ListHash uint32 `cbor:"1,keyasint"`
	// From and To are positions in the list.
	From    uint16           `cbor:"2,keyasint"`
	To      uint16           `cbor:"3,keyasint"`
	Cluster *cluster.Message `cbor:"4,keyasint,omitempty"`
	// StatusRequest asks for the receiver's view of the cluster, by a number from 1.
	StatusRequest uint32       `cbor:"5,keyasint,omitempty"`
	StatusReply   *statusReply `cbor:"6,keyasint,omitempty"`
	LoanRequest   *LoanRequest `cbor:"7,keyasint,omitempty"`
	Loan          *Loan        `cbor:"8,keyasint,omitempty"`
	// Policy and Keys are opaque here.
	Policy []byte `cbor:"9,keyasint,omitempty"`
	Keys   []byte `cbor:"10,keyasint,omitempty"`
	// SentAt is the sender's clock, in Unix nanoseconds.
	SentAt int64 `cbor:"11,keyasint,omitempty"`
}

// LoanRequest asks for a loan of a customer's ceiling.
type LoanRequest struct {
	Pool     string `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	// Plan is the index of the customer's plan.
	Plan uint16 `cbor:"3,keyasint"`
	// At is when it was made, in nanoseconds on its sender's clock.
	At int64 `cbor:"4,keyasint"`
}

// isValid reports whether the names are within their bounds.
func (r *LoanRequest) isValid() bool {
	return len(r.Pool) <= maxLoanNameBytes && len(r.Customer) <= maxLoanNameBytes
}

// Loan answers a LoanRequest.
type Loan struct {
	Request LoanRequest `cbor:"1,keyasint"`
	// Rate is in units a second, Depth in units.
	Rate  float64 `cbor:"2,keyasint"`
	Depth float64 `cbor:"3,keyasint"`
}

// statusReply is how a gateway sees the cluster.
type statusReply struct {
	// Number is that of the request.
	Number uint32 `cbor:"1,keyasint"`
	// States and Incarnations are in the order of the list; each state is a membership.State.
	States       []byte   `cbor:"2,keyasint"`
	Incarnations []uint32 `cbor:"3,keyasint"`
	// Fraction is the fraction of the common quotas that the sender has leased.
	Fraction float64 `cbor:"4,keyasint"`
	// RecoveryStep says how far the sender's recovery has come.
	RecoveryStep string `cbor:"5,keyasint,omitempty"`
}

// truncateStep cuts a recovery step to its bound.
func truncateStep(step string) string { return step[:min(len(step), maxRecoveryStepBytes)] }
