package balancer

import (
	"time"
)

// Action is something the caller must do: one of the types below that name it.
type Action interface{ action() }

// Dispatch starts an attempt. Attempts of a request are numbered 0, 1, 2 in the order of their Sends.
type Dispatch struct {
	ID       uint64
	Endpoint string
	Timeout  time.Duration // the attempt ends as Timeout after this

	// WriteBy is when its last byte is to be written, on the door's clock, or the attempt ends unsent: after that a
	// repeat could have a second effect. 0: there
	// is no such time.
	WriteBy time.Duration
}

// Reject is the final answer: turned away, trying again is harmless.
type Reject struct {
	ID         uint64
	RetryAfter time.Duration // how long the client should stay away; 0: no advice
	Reason     Reason
}

// Fail is the final answer: failed, with no promise about its effect.
type Fail struct {
	ID     uint64
	Reason Reason
}

// Reason says why a request was given up, for operators.
type Reason int

const (
	UnknownClass     Reason = iota // the class or plan is none of the settings
	InsufficientTime               // it came with too little time left
	CeilingExceeded                // its customer's ceiling has no room
	QuotaExceeded                  // no tokens pay it
	QueueTooLong                   // it would have to wait too long for a backend
	StaleInQueue                   // it has waited too long for one
	RetryNotPossible               // an attempt failed, and no other could be in time
	DeadlineExceeded               // its time is up
	EndpointsEjected               // all backends are taken out by hand
	TooManyCustomers               // its customer is not known, and as many are as may be
	NumReasons       = iota
)

func (r Reason) String() string {
	names := [NumReasons]string{
		"unknown",
		"too-late",
		"over-ceiling",
		"over-quota",
		"hopeless",
		"stale",
		"no-retry",
		"time-up",
		"by-hand",
		"no-place",
	}
	if r < 0 || r >= NumReasons {
		return "other"
	}
	return names[r]
}

// Admit is the final answer to a Request with Grant set: its work may be done.
type Admit struct{ ID uint64 }

// CancelAttempt stops waiting for an attempt, whose Outcome still comes.
type CancelAttempt struct {
	ID      uint64
	Attempt int
}

// HealthCheck checks a backend; a Probed answers it.
type HealthCheck struct{ Endpoint string }

// CounterAdd adds Amount to a number shared by all doors; a Counted answers it.
type CounterAdd struct {
	Name   uint64
	Amount float64
	TTL    time.Duration // a new name is forgotten after this
	Ticket uint64        // names this call in a Late
}

// SetTimer asks for a Timer event at or after At.
type SetTimer struct {
	At     time.Duration
	Cookie uint64
}

// WatchEndpoints asks for changes of the list from now on.
type WatchEndpoints struct{}

// FetchEndpoints asks for the whole list once.
type FetchEndpoints struct{}

// RequestLoan asks the other doors to lend what they don't need of a customer's ceiling: each is to have a Wanted.
type RequestLoan struct {
	Customer string
	Plan     int
	At       time.Duration // on this door's clock: a loan counts from then
}

// GrantLoan answers a Wanted: the door that asked is to have a Loaned. Nothing answers where there is nothing to lend.
type GrantLoan struct {
	To          int
	Customer    string
	Plan        int
	At          time.Duration // of the Wanted
	Rate, Depth float64
}

// HandoverReady answers a Leave.
type HandoverReady struct{ State HandoverState }

// LogLine is a line for people.
type LogLine struct{ Text string }

func (Dispatch) action() {}

func (Reject) action() {}

func (Fail) action() {}

func (Admit) action() {}

func (CancelAttempt) action() {}

func (HealthCheck) action() {}

func (CounterAdd) action() {}

func (SetTimer) action() {}

func (WatchEndpoints) action() {}

func (FetchEndpoints) action() {}

func (HealthReport) action() {}

func (RequestLoan) action() {}

func (GrantLoan) action() {}

func (HandoverReady) action() {}

func (LogLine) action() {}
