package balancer

import (
	"time"
)

// Event is something that happened: one of the types below that name it.
type Event interface{ event() }

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

// LateCounterResult tells of a Count that has ended as Timeout that it was added after all. Who drives a Balancer need
// not know that ever.
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

// SettingsUpdate brings other settings. Classes and plans are numbered on: there are as many as before or more, and a
// number stands for
// another class only if no request of the old one is open or may still come. The settings must hold by Check.
type SettingsUpdate struct {
	Settings     Settings
	EvidenceFrom []int // by class, the number of the one whose evidence it goes on with: mostly its own; negative: none
}

// AdminEject takes a backend out of use by hand, whatever the list says, until Attach. It holds for one that is not
// listed now, too.
type AdminEject struct {
	Endpoint string
	At       time.Duration // when that was said; 0: now
}

// AdminRestore ends a ban by Detach. What came of the backend meanwhile is not known, so it counts as cold.
type AdminRestore struct{ Endpoint string }

// Message is a message from another door. The module passes it over.
type Message struct{ From int }

// Health is what a door has found out about a backend.
type Health int

const (
	Unresponsive      Health = iota // left out: it owes answers and says nothing
	ConnectionsBroken               // left out: connections to it break, or never come up
	WarmingUp                       // back after a silence: it may have started anew
)

// HealthReport tells of a backend that this door has left out or taken back. As an event it is what another door of the
// same
// process found out about the same server: evidence, which this door's own newer experience outweighs.
type HealthReport struct {
	Endpoint string
	Health   Health
	Since    time.Duration // of the last sign of life; with Cold: when it came back
}

// ShareUpdate says how this door stands among the others, from now on.
type ShareUpdate struct {
	// of what is leased of all ceilings, from 0 to 1; of all doors together 1 at most at each instant
	Fraction     float64
	Until        time.Duration // the part is nothing from then on
	Excluded     bool          // this door has nothing at all, not even what its plans keep without a lease
	DeadGateways []int         // ranks of the doors that do not serve: the others use the backends that these used
}

// LoanRequest says that another door asks for that.
type LoanRequest struct {
	From     int // its rank
	Customer string
	Plan     int
	At       time.Duration // on its clock
}

// LoanGranted says that another door has lent a part of a customer's ceiling.
type LoanGranted struct {
	From        int
	Customer    string
	Plan        int
	At          time.Duration // of the Borrow
	Rate, Depth float64
}

// BeginHandover asks for what the door that takes this one's place needs; a Handed answers it. From then on this door
// ends what it has
// and spends nothing but what that has reserved, until a Recall gives something back.
type BeginHandover struct{}

// ImportHandover gives a door what another one handed on, before its first request; or gives it back to the one that
// did.
type ImportHandover struct{ State HandoverState }

func (Request) event() {}

func (AttemptResult) event() {}

func (FirstByte) event() {}

func (RequestDone) event() {}

func (CounterResult) event() {}

func (LateCounterResult) event() {}

func (TimerFired) event() {}

func (EndpointUpdate) event() {}

func (HealthCheckResult) event() {}

func (Message) event() {}

func (SettingsUpdate) event() {}

func (AdminEject) event() {}

func (AdminRestore) event() {}

func (HealthReport) event() {}

func (ShareUpdate) event() {}

func (LoanRequest) event() {}

func (LoanGranted) event() {}

func (BeginHandover) event() {}

func (ImportHandover) event() {}
