package balancer

import (
	"errors"
	"fmt"
	"time"

	"gapgap/internal/balancer/quotashare"
)

// ErrInvalidSettings is wrapped by the errors of Settings.Validate.
var ErrInvalidSettings = errors.New("invalid balancer settings")

// Idempotency is what repeating a request of a class may do.
type Idempotency int

const (
	// Idempotent requests may run more than once and be rejected at any time.
	Idempotent Idempotency = iota
	// IdempotentByKey requests carry a key. The endpoints of a DedupScope drop repeats of it for Class.DedupWindow.
	IdempotentByKey
	// NonIdempotent requests may run once at most.
	NonIdempotent
)

// DedupScope is the set of endpoints that drop repeats of a request with a key.
type DedupScope int

const (
	// DedupAll means every endpoint.
	DedupAll DedupScope = iota
	// DedupZone means the endpoints of one zone.
	DedupZone
	// DedupCell means the endpoints of one cell.
	DedupCell
)

// Class describes a class of requests.
type Class struct {
	// PriorityWeight is what one unit counts that is answered within LatencyObjective.
	PriorityWeight float64
	// LateWeightFraction is the part of PriorityWeight that an answer after LatencyObjective counts, from 0 to 1.
	LateWeightFraction float64
	// LatencyObjective is the latency within which an answer has its full weight; 0: none.
	LatencyObjective time.Duration
	// ClientTimeout is how long a client waits in all.
	ClientTimeout time.Duration
	Idempotency   Idempotency
	// DedupScope is used with IdempotentByKey only.
	DedupScope DedupScope
	// DedupWindow is how long repeats are dropped, from the first attempt that may have run. It is used with
	// IdempotentByKey only.
	DedupWindow time.Duration
	// Streaming is true when the answer is a stream; see FirstByte.
	Streaming bool
	// Removed is true for a class that a reload has taken away; see SettingsUpdate.
	Removed bool
	// KeyReserved is true when the caller reserves a request's key at a majority of gateways before its first attempt.
	// The class is NonIdempotent then, as what endpoints remember of keys may be lost with their power.
	KeyReserved bool
}

// Plan describes the quota of each customer on it, over all gateways together.
type Plan struct {
	// Rate is the rate at which the customer's token bucket fills, in units a second; 0: no such quota.
	Rate float64
	// Burst is the number of units that the bucket holds. It starts full.
	Burst float64
	// MaxInFlight is the limit on requests in flight; 0: none.
	MaxInFlight int
	// PriorityFactor is the factor on a request's priority weight.
	PriorityFactor float64
	// OverQuotaWeight is the part of its weight that a request beyond the quota gains.
	OverQuotaWeight float64
	// OverQuotaCost is the part of its weight that a request beyond the quota costs.
	OverQuotaCost float64
	// CeilingRate is the rate at which the hard ceiling's token bucket fills, in units a second; 0: no ceiling.
	CeilingRate float64
	// CeilingBurst is the number of units that the ceiling's bucket holds. It starts full.
	CeilingBurst float64
	// PartitionPolicy is, with LeasedShares, what a gateway keeps of the ceiling without a lease.
	PartitionPolicy quotashare.PartitionPolicy
}

// isSoft reports whether requests beyond the quota gain more than they cost, so that they are let through.
func (plan *Plan) isSoft() bool { return plan.OverQuotaWeight > plan.OverQuotaCost }

// Settings are what a Balancer decides by. The slices belong to the Balancer from then on.
type Settings struct {
	// Gateways is the number of gateways of this tier, this one included; 1 at least.
	Gateways int
	// Index is this gateway's number among them, from 0.
	Index int
	// Zone is this gateway's zone.
	Zone int
	// Resolution is the longest time for which an event waits until it is handed in.
	Resolution time.Duration
	// Classes holds 1 class at least.
	Classes []Class
	// CrossZoneCost is the part of all service that is lost when each request goes to another zone; 0: none.
	CrossZoneCost float64
	// Plans holds 1 plan at least.
	Plans []Plan

	// MaxAttempts is the limit on the attempts of one request; 1 at least.
	MaxAttempts int
	// AllowHedging is true when a request may have two attempts out at once. The balancer does not read it.
	AllowHedging bool
	// AllowCancel is true when the action CancelAttempt is allowed.
	AllowCancel bool
	// AllowHealthChecks is true when health checks are allowed.
	AllowHealthChecks bool
	// SendRetryAfter is true when rejected clients are told Reject.RetryAfter.
	SendRetryAfter bool
	// MaxRetryAfter is the longest Retry-After that a client heeds.
	MaxRetryAfter time.Duration
	// PollEndpoints is true when the endpoint list must be asked for (WatchEndpoints, FetchEndpoints).
	PollEndpoints bool
	// PollInterval is how old the list may get with PollEndpoints; 0: any age.
	PollInterval time.Duration

	// DeadlineSlack is the time after the deadline in which a final answer still counts.
	DeadlineSlack time.Duration
	// DrainGrace is the time in which attempts may still reach an endpoint that drains or is gone.
	DrainGrace time.Duration
	// OverloadMultiple is the multiple of its capacity at which a warming endpoint fails, after OverloadWindow.
	OverloadMultiple float64
	OverloadWindow   time.Duration
	// SlowStartCapacity is the least part of its capacity that a started endpoint has, and SlowStartDuration the time
	// after which it has all.
	SlowStartCapacity float64
	SlowStartDuration time.Duration

	// UseCounter is true when the counter may be called (CounterAdd).
	UseCounter bool
	// CounterTimeout is the time after which a call without an answer ends as Timeout.
	CounterTimeout time.Duration
	// CounterCallCost is the part of all service that one call for each request would cost; 0: none.
	CounterCallCost float64
	// MaxRequestUnits is the largest number of units of one request.
	MaxRequestUnits float64
	// LeasedShares is true when shares come by ShareUpdate, none before the first; else each gateway has its even part.
	LeasedShares bool
	// LeaseCeilings is true when ceilings go to the gateways where the demand is; it needs UseCounter and must be the
	// same at all gateways.
	LeaseCeilings bool
	// EstimatedUnits is true when Request.Units is an estimate, and AttemptResult.Units tells the units used.
	EstimatedUnits bool
}

// Validate returns an error, which wraps ErrInvalidSettings, when a Balancer cannot decide by the settings.
func (settings *Settings) Validate() error {
	switch {
	case settings.Gateways < 1:
		return invalidSettings("the number of gateways is under 1")
	case len(settings.Classes) == 0:
		return invalidSettings("there is no class")
	case len(settings.Plans) == 0:
		return invalidSettings("there is no plan")
	case settings.MaxAttempts < 1:
		return invalidSettings("the number of attempts is under 1")
	case settings.Resolution < 0:
		return invalidSettings("the resolution is negative")
	case settings.PollInterval < 0:
		return invalidSettings("the poll interval is negative")
	case settings.OverloadWindow < 0 || settings.OverloadMultiple < 0:
		return invalidSettings("the overload window or multiple is negative")
	case settings.SlowStartDuration < 0 || settings.SlowStartCapacity < 0:
		return invalidSettings("the slow-start duration or capacity is negative")
	}
	for i := range settings.Classes {
		if settings.Classes[i].hasNegative() {
			return invalidSettings("class %d has a negative value", i)
		}
	}
	for i := range settings.Plans {
		if settings.Plans[i].hasNegative() {
			return invalidSettings("plan %d has a negative value", i)
		}
	}
	return nil
}

// hasNegative reports whether a value is negative that must not be.
func (class *Class) hasNegative() bool {
	return class.PriorityWeight < 0 || class.LatencyObjective < 0 || class.ClientTimeout < 0 || class.DedupWindow < 0
}

// hasNegative reports whether a value is negative that must not be.
func (plan *Plan) hasNegative() bool {
	return plan.Rate < 0 || plan.Burst < 0 || plan.MaxInFlight < 0 || plan.CeilingRate < 0 || plan.CeilingBurst < 0
}

// invalidSettings makes an error of Settings.Validate.
func invalidSettings(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalidSettings, fmt.Sprintf(format, arguments...))
}
