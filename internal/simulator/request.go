package simulator

import (
	"time"

	"gapgap/internal/priorityqueue"
)

// Outcome is the final outcome of a request.
type Outcome int

// The outcomes of a request.
const (
	// Served means that an endpoint answered, or that the request was admitted.
	Served Outcome = iota
	// Rejected guarantees that the request had no effect.
	Rejected
	// Failed means that the request may or may not have had an effect.
	Failed
)

// Request is one request of a client to a gateway. The caller of [Gateway.Submit] sets the first group of fields; the
// gateway sets the others.
type Request struct {
	Customer string
	// Name identifies the request. Its random values are drawn from the name.
	Name string
	// Key is the idempotency key, or empty if its class has none.
	Key string
	// Gateways is the number of gateways that receive the customer's requests; 0 means all.
	Gateways int
	// ClientRetry marks a retry by the client.
	ClientRetry bool
	// Class and Plan are indexes into the classes and plans of the settings.
	Class int
	Plan  int
	Units float64
	// AdmitOnly makes the gateway only decide on admission, without forwarding the request.
	AdmitOnly bool
	// TimeLeft is the time until the client gives up.
	TimeLeft time.Duration
	// Owner is arbitrary data of the caller, which the simulator does not use.
	Owner any

	// Gateway is the index of the gateway that received the request.
	Gateway int
	// Incarnation is the incarnation of the gateway when the request arrived.
	Incarnation int
	// At is when the request arrived.
	At time.Duration
	// RetryAfter is how long the client should wait after Rejected; 0 if no time was given.
	RetryAfter time.Duration

	attempts int
	// isSent reports whether an attempt was written.
	isSent   bool
	inFlight map[int]inFlightAttempt
	answered bool
}

// inFlightAttempt is an attempt whose result the gateway has not received.
type inFlightAttempt struct {
	// end is the event that ends the attempt if nothing else does.
	end *priorityqueue.Item[event]
	// abandon cancels the job at the endpoint; nil if the endpoint has no jobs to cancel.
	abandon func()
}
