package balancer

import (
	"errors"
	"fmt"
	"time"

	"gapgap/internal/balancer/quotashare"
)

// ErrInvalidSettings is wrapped by the errors that Settings.Validate returns.
var ErrInvalidSettings = errors.New("invalid balancer settings")

// Idempotency states whether a request of a class may run more than once.
type Idempotency int

const (
	// Idempotent requests may run more than once and may be rejected at any time.
	Idempotent Idempotency = iota
	// IdempotentByKey requests carry an idempotency key. The endpoints of a DedupScope drop repeats for
	// Class.DedupWindow.
	IdempotentByKey
	// NonIdempotent requests may run at most once.
	NonIdempotent
)

// DedupScope is the set of endpoints that drop repeats of a request with an idempotency key.
type DedupScope int

const (
	// DedupAll covers all endpoints.
	DedupAll DedupScope = iota
	// DedupZone covers the endpoints of one zone.
	DedupZone
	// DedupCell covers the endpoints of one cell.
	DedupCell
)

// Class describes a class of requests.
type Class struct {
	// PriorityWeight is the weight of one unit that is answered within LatencyObjective.
	PriorityWeight float64
	// LateWeightFraction is the fraction of PriorityWeight, from 0 to 1, that an answer after LatencyObjective retains.
	LateWeightFraction float64
	// LatencyObjective is the latency within which an answer has its full weight; 0 means no objective.
	LatencyObjective time.Duration
	// ClientTimeout is the total time that a client waits for an answer.
	ClientTimeout time.Duration
	Idempotency   Idempotency
	// DedupScope applies to IdempotentByKey only.
	DedupScope DedupScope
	// DedupWindow is how long repeats are dropped, measured from the first attempt that may have run. It applies to
	// IdempotentByKey only.
	DedupWindow time.Duration
	// Streaming is true if responses are streamed; see FirstByte.
	Streaming bool
	// Removed is true for a class that a reload has removed; see SettingsUpdate.
	Removed bool
	// KeyReserved is true if the caller reserves a request's key at a majority of gateways before the first attempt.
	// Such a class is NonIdempotent, because endpoints may lose the keys they remember in a power failure.
	KeyReserved bool
}

// Plan describes the quota of each customer on the plan, across all gateways.
type Plan struct {
	// Rate is the fill rate of the customer's token bucket, in units per second; 0 means no such quota.
	Rate float64
	// Burst is the capacity of the bucket in units. The bucket starts full.
	Burst float64
	// MaxInFlight limits the requests in flight; 0 means no limit.
	MaxInFlight int
	// PriorityFactor multiplies a request's priority weight.
	PriorityFactor float64
	// OverQuotaWeight is the fraction of its weight that a request beyond the quota gains.
	OverQuotaWeight float64
	// OverQuotaCost is the fraction of its weight that a request beyond the quota costs.
	OverQuotaCost float64
	// CeilingRate is the fill rate of the hard ceiling's token bucket, in units per second; 0 means no ceiling.
	CeilingRate float64
	// CeilingBurst is the capacity of the ceiling's bucket in units. The bucket starts full.
	CeilingBurst float64
	// PartitionPolicy defines, with LeasedShares, which part of the ceiling a gateway keeps without a lease.
	PartitionPolicy quotashare.PartitionPolicy
}

// isSoft reports whether the quota is soft: requests beyond it gain more than they cost and are let through.
func (plan *Plan) isSoft() bool { return plan.OverQuotaWeight > plan.OverQuotaCost }

// Settings configures a Balancer, which takes ownership of the slices.
type Settings struct {
	// Gateways is the number of gateways in this tier, including this one. It is at least 1.
	Gateways int
	// Index is this gateway's index among them, starting at 0.
	Index int
	// Zone is the zone of this gateway.
	Zone int
	// Resolution is the longest delay between an event and the Step call that receives it.
	Resolution time.Duration
	// Classes has at least one element.
	Classes []Class
	// CrossZoneCost is the fraction of the total service lost if every request goes to another zone; 0 means no loss.
	CrossZoneCost float64
	// Plans has at least one element.
	Plans []Plan

	// MaxAttempts limits the attempts of one request. It is at least 1.
	MaxAttempts int
	// AllowHedging is true if a request may have two attempts in flight at once. The balancer does not read it.
	AllowHedging bool
	// AllowCancel is true if CancelAttempt actions are allowed.
	AllowCancel bool
	// AllowHealthChecks is true if HealthCheck actions are allowed.
	AllowHealthChecks bool
	// SendRetryAfter is true if rejected clients are sent Reject.RetryAfter.
	SendRetryAfter bool
	// MaxRetryAfter is the longest Retry-After that clients respect.
	MaxRetryAfter time.Duration
	// PollEndpoints is true if the endpoint list must be requested (WatchEndpoints, FetchEndpoints).
	PollEndpoints bool
	// PollInterval is the maximum age of the list with PollEndpoints; 0 means no maximum.
	PollInterval time.Duration

	// DeadlineSlack is the time after the deadline during which a final answer still counts.
	DeadlineSlack time.Duration
	// DrainGrace is the time during which attempts may still reach a draining or removed endpoint.
	DrainGrace time.Duration
	// OverloadMultiple is the multiple of its capacity at which a warming-up endpoint fails after OverloadWindow.
	OverloadMultiple float64
	OverloadWindow   time.Duration
	// SlowStartCapacity is the smallest fraction of its capacity that a newly started endpoint has, and
	// SlowStartDuration is the time until it has its full capacity.
	SlowStartCapacity float64
	SlowStartDuration time.Duration

	// UseCounter is true if the shared counter may be called (CounterAdd).
	UseCounter bool
	// CounterTimeout is the time after which a call without an answer ends with status Timeout.
	CounterTimeout time.Duration
	// CounterCallCost is the fraction of the total service that one call per request would cost; 0 means no cost.
	CounterCallCost float64
	// MaxRequestUnits is the largest number of units of one request.
	MaxRequestUnits float64
	// LeasedShares is true if shares are leased through ShareUpdate, with no share before the first update. Otherwise
	// each gateway has an even share.
	LeasedShares bool
	// LeaseCeilings is true if ceilings are leased to the gateways with demand. It requires UseCounter and must be the
	// same on all gateways.
	LeaseCeilings bool
	// EstimatedUnits is true if Request.Units is an estimate and AttemptResult.Units reports the units used.
	EstimatedUnits bool
}

// Validate returns an error that wraps ErrInvalidSettings if the settings cannot be used by a Balancer.
func (settings *Settings) Validate() error {
	switch {
	case settings.Gateways < 1:
		return invalidSettings("the number of gateways is less than 1")
	case len(settings.Classes) == 0:
		return invalidSettings("no classes are defined")
	case len(settings.Plans) == 0:
		return invalidSettings("no plans are defined")
	case settings.MaxAttempts < 1:
		return invalidSettings("the maximum number of attempts is less than 1")
	case settings.Resolution < 0:
		return invalidSettings("the resolution is negative")
	case settings.PollInterval < 0:
		return invalidSettings("the poll interval is negative")
	case settings.OverloadWindow < 0 || settings.OverloadMultiple < 0:
		return invalidSettings("the overload window or overload multiple is negative")
	case settings.SlowStartDuration < 0 || settings.SlowStartCapacity < 0:
		return invalidSettings("the slow-start duration or slow-start capacity is negative")
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

// hasNegative reports whether a value that must not be negative is negative.
func (class *Class) hasNegative() bool {
	return class.PriorityWeight < 0 || class.LatencyObjective < 0 || class.ClientTimeout < 0 || class.DedupWindow < 0
}

// hasNegative reports whether a value that must not be negative is negative.
func (plan *Plan) hasNegative() bool {
	return plan.Rate < 0 || plan.Burst < 0 || plan.MaxInFlight < 0 || plan.CeilingRate < 0 || plan.CeilingBurst < 0
}

// invalidSettings returns an error for Settings.Validate.
func invalidSettings(format string, arguments ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalidSettings, fmt.Sprintf(format, arguments...))
}
