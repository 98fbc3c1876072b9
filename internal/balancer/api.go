// Package balancer makes the decisions of one front door ("door") that meters many customers' use of one
// shared service: which requests go on, to which backend, when, how often, and which are refused.
//
// A [Door] does no input or output and starts no goroutine. The caller hands it what happened as [Event]
// values and carries out the [Action] values that come back, in their order. All times are time.Duration
// values on the caller's clock, which may start anywhere and must not go back. The same settings, seed and
// events give the same actions. A Door is not safe for concurrent use; different Doors share nothing.
package balancer

import (
	"time"

	"gapgap/internal/balancer/quotashare"
)

// Effect says what repeating a request of a class may do.
type Effect int

const (
	Safe   Effect = iota // may be repeated and refused freely
	Keyed                // backends of one group drop repeats for a while
	Unsafe               // may run once at most
)

// Group names the backends that drop repeats of a keyed request.
type Group int

const (
	GroupAll  Group = iota // every backend
	GroupZone              // those of one zone
	GroupCell              // those of one cell
)

// Class describes a class of requests.
type Class struct {
	Worth     float64       // worth of one unit answered within Aim
	LateWorth float64       // share of Worth for an answer after Aim
	Aim       time.Duration // an answer within this time earns the full worth
	GiveUp    time.Duration // how long a client waits in all
	Effect    Effect
	Group     Group         // for Keyed
	Window    time.Duration // for Keyed: how long repeats are dropped, from the first send that may have run
	Stream    bool          // the answer is a stream; see FirstByte
	Dropped   bool          // offered no more; see Retune

	// Remembered says that a request's key is claimed over all doors before its first attempt goes out: the caller sees to that. Such a class is Unsafe
	// here, as what backends remember of keys may be lost with their power.
	Remembered bool
}

// Plan describes the quota of each customer on it, over all doors together.
type Plan struct {
	Rate         float64         // units a second by which the customer's store fills; 0: no such quota
	Burst        float64         // units the store holds; it starts full
	AtOnce       int             // attempts out at once; 0: no such quota
	Factor       float64         // factor on the worth
	OverWorth    float64         // share of its worth that a request beyond the quota earns
	OverCost     float64         // share of its worth that a request beyond the quota costs
	CeilingRate  float64         // units a second by which the hard ceiling's store fills; 0: no ceiling
	CeilingDepth float64         // units the ceiling's store holds; it starts full
	CutOff       quotashare.Rule // with ByViews: what of it a door keeps that no lease stands behind
}

// Settings is what a Door is told at its start. The slices belong to the Door from then on.
type Settings struct {
	Doors      int           // doors of this tier, this one included; 1 at least
	Rank       int           // this door's number among them, from 0
	Zone       int           // this door's zone
	Resolution time.Duration // events come at most this often
	Classes    []Class       // at least one
	CrossZone  float64       // part of all service that a send of each request to another zone costs; 0: none
	Plans      []Plan        // at least one

	MaxAttempts   int           // most attempts for one request; 1 at least
	SecondCopies  bool          // a request may have two attempts out at once
	MayCancel     bool          // Cancel is allowed
	MayProbe      bool          // Probe is allowed
	RetryAfter    bool          // clients are given Refuse.Pause
	MaxRetryAfter time.Duration // the longest pause that a client heeds
	OnRequest     bool          // the list of backends must be asked for (Watch, Fetch)
	AskEvery      time.Duration // with OnRequest: how old the list may get

	AnswerSlack       time.Duration // time past the deadline in which a final answer still counts
	StopSendingWithin time.Duration // grace for sends to a draining or gone backend
	FallMultiple      float64       // a cold backend falls over when sent this many times its capacity ...
	FallWindow        time.Duration // ... for this long
	ColdFrom          float64       // a started backend has this share of its capacity or more
	WarmWithin        time.Duration // and is warm after this

	Counter        bool          // Count is allowed
	CounterTimeout time.Duration // a Count with no answer by then ends as Timeout
	CounterFee     float64       // part of all service that one call for each request would cost; 0: none
	MaxUnits       float64       // the most units one request counts
	ByViews        bool          // what doors share goes by Sharing, and is none until one has come; else each has its even part
	LendCeilings   bool          // with Counter: a ceiling is there for whichever door has the demand; all doors alike
	TruedUp        bool          // Request.Units is a guess; Outcome.Units tells the true ones
}

// Status says how an attempt, a probe or a counter call ended.
type Status int

const (
	Failed        Status = iota // the backend answered with an error; it may have run
	OK                          // served
	Full                        // turned away unseen
	Timeout                     // no answer in time; it may have run
	ConnectFailed               // no connection; it never ran
	Reset                       // the connection broke; it may have run
	Cancelled                   // called off; it may have run
	Moot                        // not sent
)

// State is what discovery says of a backend.
type State int

const (
	InService State = iota
	Terminating
	Terminated
)

// Backend is an entry of the list of backends.
type Backend struct {
	Name    string
	Zone    int
	Kind    int
	Cell    int
	State   State
	Weight  float64       // to compare with other backends'; 0 counts as 1
	Started time.Duration // when it last started, on the caller's clock; 0: long ago
	Share   float64       // part of what it bears while cold that is this door's own; 0 counts as 1
}

// Scope says what a List holds.
type Scope int

const (
	Delta      Scope = iota // changed entries only
	Whole                   // the whole list
	Cached                  // the whole list as last had, maybe old
	ListFailed              // a Watch or Fetch failed; no entries
)

// Event is something that happened: one of the types below that name it.
type Event interface{ event() }

// Request has reached this door, which now owes one final answer. IDs never come twice.
type Request struct {
	ID       uint64
	Class    int
	Plan     int
	Customer string
	Left     time.Duration // until the client gives up on this try
	Units    float64       // units it takes from the quota
	Doors    int           // doors through which this customer's requests come; 0: all
	Retry    bool          // a client's repeat, where clients mark it

	// Grant says that only leave is asked for: the work is done elsewhere, by no backend of this door. The final
	// answer is a Grant or a Refuse; a Grant counts as sent on.
	Grant bool
	// Hold is how long a granted request then counts as under way, where the plan has AtOnce, unless a Gone ends
	// it sooner.
	Hold time.Duration
}

// Outcome ends one attempt. Every Send gets exactly one.
type Outcome struct {
	ID      uint64
	Attempt int
	Backend string
	Status  Status
	Latency time.Duration // since it was sent
	Closed  bool          // the request is over
	Used    int           // 1 + percent of the customer's quota used of late by all doors; 0: not told
	Units   float64       // with Settings.TruedUp: the true units, on the first OK
}

// FirstByte says that a streamed answer has begun; its deadline no longer runs.
type FirstByte struct {
	ID      uint64
	Attempt int
}

// Gone ends a request whose client has left, or a granted one whose work is done.
type Gone struct{ ID uint64 }

// Counted answers one Count.
type Counted struct {
	Name   uint64
	Status Status // OK; Failed: added, the total is not known; Full, ConnectFailed: not added; Timeout: it may be
	Total  float64
}

// Late tells of a Count that has ended as Timeout that it was added after all. Who drives a Door need not know that ever.
type Late struct {
	Ticket uint64
	Status Status  // OK, or Failed: added, the total is not known
	Total  float64 // with OK
}

// Timer is due.
type Timer struct{ Cookie uint64 }

// List brings news of the backends.
type List struct {
	Scope   Scope
	Entries []Backend
}

// Probed is the result of one Probe.
type Probed struct {
	Backend string
	Status  Status
}

// Retune brings other settings. Classes and plans are numbered on: there are as many as before or more, and a number stands for
// another class only if no request of the old one is open or may still come. The settings must hold by Check.
type Retune struct {
	Settings Settings
	From     []int // by class, the number of the one whose evidence it goes on with: mostly its own; negative: none
}

// Detach takes a backend out of use by hand, whatever the list says, until Attach. It holds for one that is not listed now, too.
type Detach struct {
	Backend string
	At      time.Duration // when that was said; 0: now
}

// Attach ends a ban by Detach. What came of the backend meanwhile is not known, so it counts as cold.
type Attach struct{ Backend string }

// Message is a message from another door. The module passes it over.
type Message struct{ From int }

func (Request) event()   {}
func (Outcome) event()   {}
func (FirstByte) event() {}
func (Gone) event()      {}
func (Counted) event()   {}
func (Late) event()      {}
func (Timer) event()     {}
func (List) event()      {}
func (Probed) event()    {}
func (Message) event()   {}
func (Retune) event()    {}
func (Detach) event()    {}
func (Attach) event()    {}

// Action is something the caller must do: one of the types below that name it.
type Action interface{ action() }

// Send starts an attempt. Attempts of a request are numbered 0, 1, 2 in the order of their Sends.
type Send struct {
	ID      uint64
	Backend string
	Timeout time.Duration // the attempt ends as Timeout after this

	// By is when its last byte is to be written, on the door's clock, or the attempt ends unsent: after that a repeat could have a second effect. 0: there
	// is no such time.
	By time.Duration
}

// Refuse is the final answer: turned away, trying again is harmless.
type Refuse struct {
	ID    uint64
	Pause time.Duration // how long the client should stay away; 0: no advice
	Why   Reason
}

// Fail is the final answer: failed, with no promise about its effect.
type Fail struct {
	ID  uint64
	Why Reason
}

// Reason says why a request was given up, for operators.
type Reason int

const (
	Unknown     Reason = iota // the class or plan is none of the settings
	TooLate                   // it came with too little time left
	OverCeiling               // its customer's ceiling has no room
	OverQuota                 // no tokens pay it
	Hopeless                  // it would have to wait too long for a backend
	Stale                     // it has waited too long for one
	NoRetry                   // an attempt failed, and no other could be in time
	TimeUp                    // its time is up
	ByHand                    // all backends are taken out by hand
	NoPlace                   // its customer is not known, and as many are as may be
	Reasons     = iota
)

func (r Reason) String() string {
	names := [Reasons]string{"unknown", "too-late", "over-ceiling", "over-quota", "hopeless", "stale", "no-retry", "time-up", "by-hand", "no-place"}
	if r < 0 || r >= Reasons {
		return "other"
	}
	return names[r]
}

// Grant is the final answer to a Request with Grant set: its work may be done.
type Grant struct{ ID uint64 }

// Cancel stops waiting for an attempt, whose Outcome still comes.
type Cancel struct {
	ID      uint64
	Attempt int
}

// Probe checks a backend; a Probed answers it.
type Probe struct{ Backend string }

// Count adds Amount to a number shared by all doors; a Counted answers it.
type Count struct {
	Name   uint64
	Amount float64
	Keep   time.Duration // a new name is forgotten after this
	Ticket uint64        // names this call in a Late
}

// SetTimer asks for a Timer event at or after At.
type SetTimer struct {
	At     time.Duration
	Cookie uint64
}

// Watch asks for changes of the list from now on.
type Watch struct{}

// Fetch asks for the whole list once.
type Fetch struct{}

// Health is what a door has found out about a backend.
type Health int

const (
	Silent Health = iota // left out: it owes answers and says nothing
	Broken               // left out: connections to it break, or never come up
	Cold                 // back after a silence: it may have started anew
)

// Finding tells of a backend that this door has left out or taken back. As an event it is what another door of the same
// process found out about the same server: evidence, which this door's own newer experience outweighs.
type Finding struct {
	Backend string
	Health  Health
	Since   time.Duration // of the last sign of life; with Cold: when it came back
}

func (Finding) event()  {}
func (Finding) action() {}

// Log is a line for people.
type Log struct{ Text string }

func (Send) action()     {}
func (Refuse) action()   {}
func (Fail) action()     {}
func (Grant) action()    {}
func (Cancel) action()   {}
func (Probe) action()    {}
func (Count) action()    {}
func (SetTimer) action() {}
func (Watch) action()    {}
func (Fetch) action()    {}
func (Log) action()      {}
