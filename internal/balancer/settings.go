package balancer

import (
	"errors"
	"fmt"
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

	// KeyReserved says that a request's key is claimed over all doors before its first attempt goes out: the caller
	// sees to that. Such a class is Unsafe
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
	// LeasedShares says that shares come by ShareUpdate, none before the first; else each gateway has its even part.
	LeasedShares   bool
	LeaseCeilings  bool // with Counter: a ceiling is there for whichever door has the demand; all doors alike
	EstimatedUnits bool // Request.Units is a guess; Outcome.Units tells the true ones
}

// Validate says what of the settings a Balancer can't decide by.
func (settings *Settings) Validate() error {
	switch {
	case settings.Gateways < 1:
		return errors.New("snowhall: Doors is under 1")
	case len(settings.Classes) == 0:
		return errors.New("snowhall: Classes is empty")
	case len(settings.Plans) == 0:
		return errors.New("snowhall: Plans is empty")
	case settings.MaxAttempts < 1:
		return errors.New("snowhall: MaxAttempts is under 1")
	case settings.Resolution < 0 || settings.OverloadWindow < 0 || settings.SlowStartDuration < 0 ||
		settings.PollInterval < 0:
		return errors.New("snowhall: Resolution, FallWindow, WarmWithin or AskEvery is negative")
	case settings.OverloadMultiple < 0 || settings.SlowStartCapacity < 0:
		return errors.New("snowhall: FallMultiple or ColdFrom is negative")
	}
	for i, c := range settings.Classes {
		if c.PriorityWeight < 0 || c.LatencyObjective < 0 || c.ClientTimeout < 0 || c.DedupWindow < 0 {
			return fmt.Errorf("snowhall: Classes[%d] has a negative value", i)
		}
		for j, plan := range settings.Plans {
			if plan.Rate < 0 || plan.Burst < 0 || plan.MaxInFlight < 0 || plan.CeilingRate < 0 ||
				plan.CeilingBurst < 0 {
				return fmt.Errorf("snowhall: Plans[%d] has a negative value", j)
			}
		}
	}
	return nil
}
