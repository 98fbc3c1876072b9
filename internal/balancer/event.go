package balancer

import "time"

// Event is an input to Balancer.Step. The implementations are the types in this file.
type Event interface{ event() }

// Status is the outcome of an attempt, a health check or a counter call.
type Status int

// Outcomes of attempts, health checks and counter calls.
const (
	// Failed is an error response. The request may have run.
	Failed Status = iota
	// OK is a successful response.
	OK
	// Rejected is a response which guarantees that the request had no effect.
	Rejected
	// Timeout means that no response arrived in time. The request may have run.
	Timeout
	// ConnectFailed means that no connection could be made. The request never ran.
	ConnectFailed
	// Reset means that the connection broke. The request may have run.
	Reset
	// Cancelled means that a CancelAttempt ended the attempt. The request may have run.
	Cancelled
	// NotSent means that the attempt was never sent.
	NotSent
)

// Request reports a new request. It gets exactly one final answer: Reject, Fail, Admit or the response to an attempt.
type Request struct {
	// ID identifies the request. IDs must not be reused.
	ID uint64
	// Class and Plan are indexes into Settings.Classes and Settings.Plans.
	Class int
	Plan  int
	// Customer names the customer whose quota applies.
	Customer string
	// TimeLeft is the time until the client gives up on this request.
	TimeLeft time.Duration
	// Units is the number of quota units that the request uses.
	Units float64
	// Gateways is the number of gateways that receive this customer's requests; 0 means all.
	Gateways int
	// ClientRetry is set if the client marked the request as a retry of an earlier one.
	ClientRetry bool

	// AdmitOnly is set if the work is performed elsewhere and only admission is decided. The final answer is then Admit
	// or Reject. Admit counts as a dispatch.
	AdmitOnly bool
	// HoldFor is how long an admitted AdmitOnly request counts as in flight if its plan has MaxInFlight and no
	// RequestDone arrives earlier.
	HoldFor time.Duration
}

// RequestDone ends a request whose client has disconnected, or an admitted request whose work has finished.
type RequestDone struct{ ID uint64 }

// AttemptResult reports the end of an attempt. Every Dispatch gets exactly one.
type AttemptResult struct {
	// ID identifies the request.
	ID uint64
	// Attempt is the number of the attempt, starting at 0.
	Attempt  int
	Endpoint string
	Status   Status
	// Latency is the time since the attempt was dispatched.
	Latency time.Duration
	// RequestClosed is set if the request has ended, regardless of Status.
	RequestClosed bool
	// QuotaUsed is 1 plus the percentage of the customer's quota recently used across all gateways; 0 means unknown.
	// The balancer does not read it.
	QuotaUsed int
	// Units is the number of units actually used, reported with Settings.EstimatedUnits and the first OK; 0 means
	// unknown.
	Units float64
}

// FirstByte reports that an attempt has started to stream its response. The request's deadline no longer applies.
type FirstByte struct {
	ID      uint64
	Attempt int
}

// WriteDelayed reports that the command of an attempt was not written when it was dispatched: it waits for its
// connection, or its endpoint does not read, or it will never be written. Attempts of which this is not reported were
// written when they were dispatched.
type WriteDelayed struct {
	ID      uint64
	Attempt int
}

// Written reports that the last byte of a command was written after a WriteDelayed.
type Written struct {
	ID      uint64
	Attempt int
}

// ResponseBegun reports that the first bytes of the response to an attempt have arrived. The latency objective no
// longer ends the request, only its client's deadline does.
type ResponseBegun struct {
	ID      uint64
	Attempt int
}

// CounterResult is the response to a CounterAdd.
type CounterResult struct {
	// Name identifies the counter.
	Name uint64
	// Status is OK; Failed if the amount was added but the total is unknown; Rejected or ConnectFailed if it was not
	// added; or Timeout if it may have been added.
	Status Status
	// Total is the counter's total after the call. It is set only with OK.
	Total float64
}

// LateCounterResult reports that a CounterAdd whose CounterResult was Timeout was applied after all. The caller is not
// required to send it.
type LateCounterResult struct {
	// Ticket is CounterAdd.Ticket of that call.
	Ticket uint64
	// Status is OK, or Failed if the total is unknown.
	Status Status
	// Total is the counter's total after the call. It is set only with OK.
	Total float64
}

// TimerFired reports that a timer requested with SetTimer has expired.
type TimerFired struct{ Cookie uint64 }

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState int

// States of an endpoint in the endpoint list.
const (
	// Serving endpoints accept requests.
	Serving EndpointState = iota
	// Draining endpoints accept no new attempts.
	Draining
	// Removed endpoints no longer exist.
	Removed
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	// Name identifies the endpoint.
	Name string
	// Zone is the zone in which the endpoint runs.
	Zone int
	// Kind is the endpoint's kind from the list. The balancer does not read it.
	Kind int
	// Cell is the cell to which the endpoint belongs; see DedupCell.
	Cell  int
	State EndpointState
	// Weight is the endpoint's capacity relative to other endpoints; 0 is treated as 1.
	Weight float64
	// StartedAt is when the endpoint last started, on the caller's clock; 0 means long ago.
	StartedAt time.Duration
	// SlowStartShare is the fraction of a warming-up endpoint's capacity that this gateway's pool may use; 0 is treated
	// as 1.
	SlowStartShare float64
	// PlaceUncertain tells that an endpoint in another zone or cell is listed at the same address. It is not known
	// which of the two processes is there, and so which idempotency keys it has.
	PlaceUncertain bool
}

// UpdateKind is the kind of an EndpointUpdate.
type UpdateKind int

// Kinds of EndpointUpdate.
const (
	// Delta contains only the changed entries.
	Delta UpdateKind = iota
	// Snapshot contains the complete list.
	Snapshot
	// CachedSnapshot contains the last known complete list, which may be out of date.
	CachedSnapshot
	// UpdateFailed reports that WatchEndpoints or FetchEndpoints failed. It has no entries.
	UpdateFailed
)

// EndpointUpdate delivers entries of the endpoint list.
type EndpointUpdate struct {
	Kind    UpdateKind
	Entries []Endpoint
}

// HealthCheckResult is the response to a HealthCheck.
type HealthCheckResult struct {
	Endpoint string
	Status   Status
}

// Health is a change in the health of an endpoint.
type Health int

// Changes in endpoint health.
const (
	// Unresponsive means that the endpoint was ejected because outstanding requests to it get no response.
	Unresponsive Health = iota
	// ConnectionsBroken means that the endpoint was ejected because connections to it break or cannot be made.
	ConnectionsBroken
	// WarmingUp means that the endpoint was reinstated after a period without responses. It may have restarted.
	WarmingUp
)

// HealthReport is both an action and an event. As an action it reports that this gateway has ejected or reinstated an
// endpoint. As an event it carries such a report from another pool of the same process that uses the same endpoint.
// More recent observations of this pool take precedence over it.
type HealthReport struct {
	Endpoint string
	Health   Health
	// Since is the time of the last response or, for WarmingUp, the time at which the endpoint recovered.
	Since time.Duration
}

// AdminEject takes an endpoint out of service until AdminRestore, regardless of the endpoint list. It also applies to
// an endpoint that is not listed yet.
type AdminEject struct {
	Endpoint string
	// At is when an administrator ejected the endpoint; 0 means now.
	At time.Duration
}

// AdminRestore reverts AdminEject. The endpoint goes through slow start because it may have restarted in the meantime.
type AdminRestore struct{ Endpoint string }

// SettingsUpdate replaces the settings, which must pass Settings.Validate. The number of classes and of plans must not
// decrease. An index may be reused for another class or plan only if no request of the old one is open or can still
// arrive.
type SettingsUpdate struct {
	Settings Settings
	// EvidenceFrom maps each class to the index of the previous class whose estimates it inherits, which is usually its
	// own index. A negative value means that it inherits none.
	EvidenceFrom []int
}

// Message is a message from another gateway. The balancer does not read it.
type Message struct{ From int }

// ShareUpdate reports which fraction of the common limits this gateway has leased and which other gateways are not
// serving.
type ShareUpdate struct {
	// Fraction is this gateway's fraction of every ceiling, from 0 to 1. The fractions of all gateways never add up to
	// more than 1.
	Fraction float64
	// Until is when the lease ends. From then on Fraction is 0.
	Until time.Duration
	// Excluded is set if this gateway has no share at all, not even the part that its plans keep without a lease.
	Excluded bool
	// DeadGateways holds the indexes of the gateways that are not serving. The remaining gateways use their endpoints.
	DeadGateways []int
}

// LoanRequest reports that another gateway asks for a part of a customer's ceiling.
type LoanRequest struct {
	// From is the index of the requesting gateway.
	From     int
	Customer string
	Plan     int
	// At is the time of the request on the requesting gateway's clock.
	At time.Duration
}

// LoanGranted reports that another gateway has granted a part of a customer's ceiling.
type LoanGranted struct {
	// From is the index of the lending gateway.
	From     int
	Customer string
	Plan     int
	// At is the time of the RequestLoan.
	At time.Duration
	// Rate is the rate granted, in units per second.
	Rate float64
	// Depth is the part of the burst granted, in units.
	Depth float64
}

// BeginHandover requests the state for the process that replaces this one; the response is HandoverReady. From then on
// this gateway only finishes its existing requests and spends only the units that they have reserved, until an
// ImportHandover returns the state to it.
type BeginHandover struct{}

// ImportHandover loads the state of another gateway before the first request, or returns a gateway's own state to it.
type ImportHandover struct{ State HandoverState }

func (Request) event()           {}
func (RequestDone) event()       {}
func (AttemptResult) event()     {}
func (FirstByte) event()         {}
func (ResponseBegun) event()     {}
func (WriteDelayed) event()      {}
func (Written) event()           {}
func (CounterResult) event()     {}
func (LateCounterResult) event() {}
func (TimerFired) event()        {}
func (EndpointUpdate) event()    {}
func (HealthCheckResult) event() {}
func (HealthReport) event()      {}
func (AdminEject) event()        {}
func (AdminRestore) event()      {}
func (SettingsUpdate) event()    {}
func (Message) event()           {}
func (ShareUpdate) event()       {}
func (LoanRequest) event()       {}
func (LoanGranted) event()       {}
func (BeginHandover) event()     {}
func (ImportHandover) event()    {}
