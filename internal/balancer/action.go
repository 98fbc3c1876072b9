package balancer

import "time"

// Action is something that the caller must do: one of the types of this file, or a HealthReport.
type Action interface{ action() }

// Dispatch sends an attempt of a request to an endpoint. Attempts of a request are numbered 0, 1, 2 in the order of
// their Dispatch actions. An AttemptResult answers each.
type Dispatch struct {
	ID       uint64
	Endpoint string
	// Timeout is the time after which the attempt ends as Timeout.
	Timeout time.Duration
	// WriteBy is when the last byte must be written, on the gateway's clock, or the attempt ends as NotSent: after
	// that a repeat could have a second effect. 0: there is no such time.
	WriteBy time.Duration
}

// CancelAttempt stops waiting for an attempt, whose AttemptResult still comes.
type CancelAttempt struct {
	ID      uint64
	Attempt int
}

// Reject is a final answer: the request had no effect or may have it twice, so the client may repeat it.
type Reject struct {
	ID uint64
	// RetryAfter is how long the client should wait; 0: no advice.
	RetryAfter time.Duration
	Reason     Reason
}

// Fail is a final answer that promises nothing about the request's effect.
type Fail struct {
	ID     uint64
	Reason Reason
}

// Admit is the final answer to a request with AdmitOnly: its work may be done.
type Admit struct{ ID uint64 }

// Reason says why a request got no answer of an endpoint, for operators.
type Reason int

// The reasons of Reject and Fail.
const (
	// UnknownClass is a class or plan that the settings lack.
	UnknownClass Reason = iota
	// InsufficientTime is a request that arrived with too little time left.
	InsufficientTime
	// CeilingExceeded is a request that its customer's ceiling has no capacity for.
	CeilingExceeded
	// QuotaExceeded is a request that no tokens cover.
	QuotaExceeded
	// QueueTooLong is a request that would have to wait too long for an endpoint.
	QueueTooLong
	// StaleInQueue is a request that has waited too long for an endpoint.
	StaleInQueue
	// RetryNotPossible is a request whose attempt failed, and that may have no other or has no time for one.
	RetryNotPossible
	// DeadlineExceeded is a request whose deadline has come.
	DeadlineExceeded
	// EndpointsEjected is a request that came while an administrator had ejected all endpoints.
	EndpointsEjected
	// TooManyCustomers is a request of a new customer that came while as many were known as may be.
	TooManyCustomers
	// NumReasons is the number of reasons.
	NumReasons = iota
)

// reasonNames are the names that metrics and logs have.
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

// String returns the name that metrics and logs have for the reason; "other" if there is none.
func (r Reason) String() string {
	if r < 0 || r >= NumReasons {
		return "other"
	}
	return reasonNames[r]
}

// HealthCheck probes an endpoint; a HealthCheckResult answers it.
type HealthCheck struct{ Endpoint string }

// CounterAdd adds to a counter that all gateways share; a CounterResult answers it.
type CounterAdd struct {
	// Name is that of the counter.
	Name uint64
	// Amount is what is added.
	Amount float64
	// TTL is the time after which a new counter is forgotten.
	TTL time.Duration
	// Ticket identifies the call in a LateCounterResult; 0: none is wanted.
	Ticket uint64
}

// SetTimer asks for a TimerFired at or after a time.
type SetTimer struct {
	At     time.Duration
	Cookie uint64
}

// WatchEndpoints asks for changes of the endpoint list from now on.
type WatchEndpoints struct{}

// FetchEndpoints asks for the complete endpoint list once.
type FetchEndpoints struct{}

// RequestLoan asks all other gateways for what they don't need of a customer's ceiling: each gets a LoanRequest.
type RequestLoan struct {
	Customer string
	Plan     int
	// At is the time of the request, on this gateway's clock. A loan counts from then on.
	At time.Duration
}

// GrantLoan answers a LoanRequest: the gateway that asked gets a LoanGranted. If there is nothing to grant there is
// no answer.
type GrantLoan struct {
	// To is the index of the gateway that asked.
	To       int
	Customer string
	Plan     int
	// At is that of the LoanRequest.
	At time.Duration
	// Rate is what is granted, in units a second.
	Rate float64
	// Depth is what is granted of the burst, in units.
	Depth float64
}

// HandoverReady answers a BeginHandover.
type HandoverReady struct{ State HandoverState }

// LogLine is a line for the log.
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
