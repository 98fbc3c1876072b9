package balancer

import "time"

// Action is an instruction to the caller. The implementations are the types in this file and HealthReport.
type Action interface{ action() }

// Dispatch sends an attempt of a request to an endpoint. The attempts of a request are numbered from 0 in the order of
// their Dispatch actions. Each is answered by an AttemptResult.
type Dispatch struct {
	ID       uint64
	Endpoint string
	// Timeout is the time after which the attempt ends with status Timeout.
	Timeout time.Duration
	// WriteBy is when the last byte must have been written, on the gateway's clock. An attempt not written by then ends
	// with status NotSent, because a later copy could take effect a second time. 0 means no limit.
	WriteBy time.Duration
}

// CancelAttempt stops waiting for an attempt. Its AttemptResult is still required.
type CancelAttempt struct {
	ID      uint64
	Attempt int
}

// Reject is a final answer. The request had no effect or may safely run twice, so the client may retry it.
type Reject struct {
	ID uint64
	// RetryAfter is how long the client should wait before a retry; 0 means no advice.
	RetryAfter time.Duration
	Reason     Reason
}

// Fail is a final answer that guarantees nothing about the request's effect.
type Fail struct {
	ID     uint64
	Reason Reason
}

// Admit is the final answer to a request with AdmitOnly. Its work may be performed.
type Admit struct{ ID uint64 }

// Reason tells operators why a request got no response from an endpoint.
type Reason int

// Reasons of Reject and Fail.
const (
	// UnknownClass means that the settings have no such class or plan.
	UnknownClass Reason = iota
	// InsufficientTime means that the request arrived with too little time left.
	InsufficientTime
	// CeilingExceeded means that the customer's ceiling has no capacity for the request.
	CeilingExceeded
	// QuotaExceeded means that no tokens cover the request.
	QuotaExceeded
	// QueueTooLong means that the request would have to wait too long for an endpoint.
	QueueTooLong
	// StaleInQueue means that the request has waited too long for an endpoint.
	StaleInQueue
	// RetryNotPossible means that an attempt failed and a retry is not allowed or cannot finish in time.
	RetryNotPossible
	// DeadlineExceeded means that the request's deadline has passed.
	DeadlineExceeded
	// EndpointsEjected means that the request arrived while an administrator had ejected all endpoints.
	EndpointsEjected
	// TooManyCustomers means that a request of a new customer arrived while the customer table was full.
	TooManyCustomers
	// NumReasons is the number of reasons.
	NumReasons = iota
)

// reasonNames holds the names used in metrics and logs.
var reasonNames = [NumReasons]string{
	UnknownClass:     "unknown",
	InsufficientTime: "too-late",
	CeilingExceeded:  "over-ceiling",
	QuotaExceeded:    "over-quota",
	QueueTooLong:     "hopeless",
	StaleInQueue:     "stale",
	RetryNotPossible: "no-retry",
	DeadlineExceeded: "time-up",
	EndpointsEjected: "by-hand",
	TooManyCustomers: "no-place",
}

// String returns the reason's name in metrics and logs, or "other" if the reason is unknown.
func (r Reason) String() string {
	if r < 0 || r >= NumReasons {
		return "other"
	}
	return reasonNames[r]
}

// HealthCheck probes an endpoint. The response is a HealthCheckResult.
type HealthCheck struct{ Endpoint string }

// CounterAdd adds to a counter that all gateways share. The response is a CounterResult.
type CounterAdd struct {
	// Name identifies the counter.
	Name uint64
	// Amount is the number to add.
	Amount float64
	// TTL is the time after which a newly created counter expires.
	TTL time.Duration
	// Ticket identifies the call in a LateCounterResult; 0 means that none is needed.
	Ticket uint64
}

// SetTimer requests a TimerFired at or after a time.
type SetTimer struct {
	At     time.Duration
	Cookie uint64
}

// WatchEndpoints subscribes to changes of the endpoint list.
type WatchEndpoints struct{}

// FetchEndpoints requests the complete endpoint list once.
type FetchEndpoints struct{}

// RequestLoan asks all other gateways for the part of a customer's ceiling that they do not need. Each of them gets a
// LoanRequest.
type RequestLoan struct {
	Customer string
	Plan     int
	// At is the time of the request on this gateway's clock. The loan's duration is measured from then.
	At time.Duration
}

// GrantLoan answers a LoanRequest. The requesting gateway gets a LoanGranted. A gateway that has nothing to lend sends
// no answer.
type GrantLoan struct {
	// To is the index of the requesting gateway.
	To       int
	Customer string
	Plan     int
	// At is LoanRequest.At.
	At time.Duration
	// Rate is the rate granted, in units per second.
	Rate float64
	// Depth is the part of the burst granted, in units.
	Depth float64
}

// HandoverReady is the response to BeginHandover.
type HandoverReady struct{ State HandoverState }

// LogLine is a line to write to the log.
type LogLine struct{ Text string }

func (Dispatch) action()       {}
func (CancelAttempt) action()  {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Admit) action()          {}
func (HealthCheck) action()    {}
func (CounterAdd) action()     {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}
func (FetchEndpoints) action() {}
func (HealthReport) action()   {}
func (RequestLoan) action()    {}
func (GrantLoan) action()      {}
func (HandoverReady) action()  {}
func (LogLine) action()        {}
