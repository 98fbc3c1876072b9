package simulator

import (
	"time"

	"gapgap/internal/priorityqueue"
)

// Outcome is how a request ended.
type Outcome int

// The outcomes of a request.
const (
	// Served is an answer of an endpoint, or admission.
	Served Outcome = iota
	// Rejected promises that the request had no effect.
	Rejected
	// Failed promises nothing about the effect.
	Failed
)

// Request is one request of a client to a gateway. The caller of [Gateway.Submit] sets the fields of the first group.
type Request struct {
	Customer string
	// Name identifies the request: what is drawn for it depends on that.
	Name string
	// Key is the idempotency key; empty: its class has none.
	Key string
	// Gateways is the number of gateways that the customer's requests come through; 0: all.
	Gateways int
	// ClientRetry says that the client repeats an earlier request.
	ClientRetry bool
	// Class and Plan are indexes into the settings.
	Class int
	Plan  int
	Units float64
	// AdmitOnly says that only admission is decided.
	AdmitOnly bool
	// TimeLeft is the time until the client gives up.
	TimeLeft time.Duration
	// Owner is what the caller attaches to the request; the simulator does not use it.
	Owner any

	// Gateway is the index of the gateway that the request came to.
	Gateway int
	// Incarnation is that of the gateway when the request came.
	Incarnation int
	// At is when the request came.
	At time.Duration
	// RetryAfter is, with Rejected, how long the client should wait; 0: no advice.
	RetryAfter time.Duration

	attempts int
	inFlight map[int]inFlightAttempt
	answered bool
}

// inFlightAttempt is an attempt whose result the gateway does not know yet.
type inFlightAttempt struct {
	// end is the event that ends the attempt if nothing else does.
	end *priorityqueue.Item[event]
	// abandon tells the endpoint that nobody waits for its reply; nil: the endpoint need not know.
	abandon func()
}
