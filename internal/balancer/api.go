// Package balancer makes the decisions of one front door ("door") that meters many customers' use of one
// shared service: which requests go on, to which backend, when, how often, and which are refused.
//
// A [Balancer] does no input or output and starts no goroutine. The caller hands it what happened as [Event]
// values and carries out the [Action] values that come back, in their order. All times are time.Duration
// values on the caller's clock, which may start anywhere and must not go back. The same settings, seed and
// events give the same actions. A Balancer is not safe for concurrent use; different Doors share nothing.
package balancer

import (
	"time"

	"gapgap/internal/balancer/quotashare"
)

// Idempotency says what repeating a request of a class may do.
type Idempotency int

const (
	Idempotent      Idempotency = iota // may be repeated and refused freely
	IdempotentByKey                    // backends of one group drop repeats for a while
	NonIdempotent                      // may run once at most
)

// DedupScope names the backends that drop repeats of a keyed request.
type DedupScope int

const (
	DedupAll  DedupScope = iota // every backend
	DedupZone                   // those of one zone
	DedupCell                   // those of one cell
)

// Class describes a class of requests.
type Class struct {
	PriorityWeight     float64       // worth of one unit answered within Aim
	LateWeightFraction float64       // share of Worth for an answer after Aim
	LatencyObjective   time.Duration // an answer within this time earns the full worth
	ClientTimeout      time.Duration // how long a client waits in all
	Idempotency        Idempotency
	DedupScope         DedupScope    // for Keyed
	DedupWindow        time.Duration // for Keyed: how long repeats are dropped, from the first send that may have run
	Streaming          bool          // the answer is a stream; see FirstByte
	Removed            bool          // offered no more; see Retune

	// KeyReserved says that a request's key is claimed over all doors before its first attempt goes out: the caller sees to that. Such a class is Unsafe
	// here, as what backends remember of keys may be lost with their power.
	KeyReserved bool
}

// Plan describes the quota of each customer on it, over all doors together.
type Plan struct {
	Rate            float64         // units a second by which the customer's store fills; 0: no such quota
	Burst           float64         // units the store holds; it starts full
	MaxInFlight     int             // attempts out at once; 0: no such quota
	PriorityFactor  float64         // factor on the worth
	OverQuotaWeight float64         // share of its worth that a request beyond the quota earns
	OverQuotaCost   float64         // share of its worth that a request beyond the quota costs
	CeilingRate     float64         // units a second by which the hard ceiling's store fills; 0: no ceiling
	CeilingBurst    float64         // units the ceiling's store holds; it starts full
	PartitionPolicy quotashare.Rule // with ByViews: what of it a door keeps that no lease stands behind
}

// Settings is what a Balancer is told at its start. The slices belong to the Balancer from then on.
type Settings struct {
	Gateways      int           // doors of this tier, this one included; 1 at least
	Index         int           // this door's number among them, from 0
	Zone          int           // this door's zone
	Resolution    time.Duration // events come at most this often
	Classes       []Class       // at least one
	CrossZoneCost float64       // part of all service that a send of each request to another zone costs; 0: none
	Plans         []Plan        // at least one

	MaxAttempts       int           // most attempts for one request; 1 at least
	AllowHedging      bool          // a request may have two attempts out at once
	AllowCancel       bool          // Cancel is allowed
	AllowHealthChecks bool          // Probe is allowed
	SendRetryAfter    bool          // clients are given Refuse.Pause
	MaxRetryAfter     time.Duration // the longest pause that a client heeds
	PollEndpoints     bool          // the list of backends must be asked for (Watch, Fetch)
	PollInterval      time.Duration // with OnRequest: how old the list may get

	DeadlineSlack     time.Duration // time past the deadline in which a final answer still counts
	DrainGrace        time.Duration // grace for sends to a draining or gone backend
	OverloadMultiple  float64       // a cold backend falls over when sent this many times its capacity ...
	OverloadWindow    time.Duration // ... for this long
	SlowStartCapacity float64       // a started backend has this share of its capacity or more
	SlowStartDuration time.Duration // and is warm after this

	UseCounter      bool          // Count is allowed
	CounterTimeout  time.Duration // a Count with no answer by then ends as Timeout
	CounterCallCost float64       // part of all service that one call for each request would cost; 0: none
	MaxRequestUnits float64       // the most units one request counts
	LeasedShares    bool          // what doors share goes by Sharing, and is none until one has come; else each has its even part
	LeaseCeilings   bool          // with Counter: a ceiling is there for whichever door has the demand; all doors alike
	EstimatedUnits  bool          // Request.Units is a guess; Outcome.Units tells the true ones
}

// Status says how an attempt, a probe or a counter call ended.
type Status int

const (
	Failed        Status = iota // the backend answered with an error; it may have run
	OK                          // served
	Rejected                    // turned away unseen
	Timeout                     // no answer in time; it may have run
	ConnectFailed               // no connection; it never ran
	Reset                       // the connection broke; it may have run
	Cancelled                   // called off; it may have run
	NotSent                     // not sent
)

// EndpointState is what discovery says of a backend.
type EndpointState int

const (
	Serving EndpointState = iota
	Draining
	Removed
)

// Endpoint is an entry of the list of backends.
type Endpoint struct {
	Name           string
	Zone           int
	Kind           int
	Cell           int
	State          EndpointState
	Weight         float64       // to compare with other backends'; 0 counts as 1
	StartedAt      time.Duration // when it last started, on the caller's clock; 0: long ago
	SlowStartShare float64       // part of what it bears while cold that is this door's own; 0 counts as 1
}

// UpdateKind says what a List holds.
type UpdateKind int

const (
	Delta          UpdateKind = iota // changed entries only
	Snapshot                         // the whole list
	CachedSnapshot                   // the whole list as last had, maybe old
	UpdateFailed                     // a Watch or Fetch failed; no entries
)

// Event is something that happened: one of the types below that name it.
type Event interface{ event() }

// Request has reached this door, which now owes one final answer. IDs never come twice.
type Request struct {
	ID          uint64
	Class       int
	Plan        int
	Customer    string
	TimeLeft    time.Duration // until the client gives up on this try
	Units       float64       // units it takes from the quota
	Gateways    int           // doors through which this customer's requests come; 0: all
	ClientRetry bool          // a client's repeat, where clients mark it

	// AdmitOnly says that only leave is asked for: the work is done elsewhere, by no backend of this door. The final
	// answer is a Grant or a Refuse; a Grant counts as sent on.
	AdmitOnly bool
	// HoldFor is how long a granted request then counts as under way, where the plan has AtOnce, unless a Gone ends
	// it sooner.
	HoldFor time.Duration
}

// AttemptResult ends one attempt. Every Send gets exactly one.
type AttemptResult struct {
	ID            uint64
	Attempt       int
	Endpoint      string
	Status        Status
	Latency       time.Duration // since it was sent
	RequestClosed bool          // the request is over
	QuotaUsed     int           // 1 + percent of the customer's quota used of late by all doors; 0: not told
	Units         float64       // with Settings.TruedUp: the true units, on the first OK
}

// FirstByte says that a streamed answer has begun; its deadline no longer runs.
type FirstByte struct {
	ID      uint64
	Attempt int
}

// RequestDone ends a request whose client has left, or a granted one whose work is done.
type RequestDone struct{ ID uint64 }

// CounterResult answers one Count.
type CounterResult struct {
	Name   uint64
	Status Status // OK; Failed: added, the total is not known; Full, ConnectFailed: not added; Timeout: it may be
	Total  float64
}

// LateCounterResult tells of a Count that has ended as Timeout that it was added after all. Who drives a Balancer need not know that ever.
type LateCounterResult struct {
	Ticket uint64
	Status Status  // OK, or Failed: added, the total is not known
	Total  float64 // with OK
}

// TimerFired is due.
type TimerFired struct{ Cookie uint64 }

// EndpointUpdate brings news of the backends.
type EndpointUpdate struct {
	Kind    UpdateKind
	Entries []Endpoint
}

// HealthCheckResult is the result of one Probe.
type HealthCheckResult struct {
	Endpoint string
	Status   Status
}

// SettingsUpdate brings other settings. Classes and plans are numbered on: there are as many as before or more, and a number stands for
// another class only if no request of the old one is open or may still come. The settings must hold by Check.
type SettingsUpdate struct {
	Settings     Settings
	EvidenceFrom []int // by class, the number of the one whose evidence it goes on with: mostly its own; negative: none
}

// AdminEject takes a backend out of use by hand, whatever the list says, until Attach. It holds for one that is not listed now, too.
type AdminEject struct {
	Endpoint string
	At       time.Duration // when that was said; 0: now
}

// AdminRestore ends a ban by Detach. What came of the backend meanwhile is not known, so it counts as cold.
type AdminRestore struct{ Endpoint string }

// Message is a message from another door. The module passes it over.
type Message struct{ From int }

func (Request) event()           {}
func (AttemptResult) event()     {}
func (FirstByte) event()         {}
func (RequestDone) event()       {}
func (CounterResult) event()     {}
func (LateCounterResult) event() {}
func (TimerFired) event()        {}
func (EndpointUpdate) event()    {}
func (HealthCheckResult) event() {}
func (Message) event()           {}
func (SettingsUpdate) event()    {}
func (AdminEject) event()        {}
func (AdminRestore) event()      {}

// Action is something the caller must do: one of the types below that name it.
type Action interface{ action() }

// Dispatch starts an attempt. Attempts of a request are numbered 0, 1, 2 in the order of their Sends.
type Dispatch struct {
	ID       uint64
	Endpoint string
	Timeout  time.Duration // the attempt ends as Timeout after this

	// WriteBy is when its last byte is to be written, on the door's clock, or the attempt ends unsent: after that a repeat could have a second effect. 0: there
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
	names := [NumReasons]string{"unknown", "too-late", "over-ceiling", "over-quota", "hopeless", "stale", "no-retry", "time-up", "by-hand", "no-place"}
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

// Health is what a door has found out about a backend.
type Health int

const (
	Unresponsive      Health = iota // left out: it owes answers and says nothing
	ConnectionsBroken               // left out: connections to it break, or never come up
	WarmingUp                       // back after a silence: it may have started anew
)

// HealthReport tells of a backend that this door has left out or taken back. As an event it is what another door of the same
// process found out about the same server: evidence, which this door's own newer experience outweighs.
type HealthReport struct {
	Endpoint string
	Health   Health
	Since    time.Duration // of the last sign of life; with Cold: when it came back
}

func (HealthReport) event()  {}
func (HealthReport) action() {}

// LogLine is a line for people.
type LogLine struct{ Text string }

func (Dispatch) action()       {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Admit) action()          {}
func (CancelAttempt) action()  {}
func (HealthCheck) action()    {}
func (CounterAdd) action()     {}
func (SetTimer) action()       {}
func (WatchEndpoints) action() {}
func (FetchEndpoints) action() {}
func (LogLine) action()        {}
