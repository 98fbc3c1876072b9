package balancer

import "time"

// HandoverState is the state that a gateway process hands over to its successor: what is needed to enforce limits
// across both processes, and estimates that would take seconds to learn again. Classes and plans are numbered as in the
// settings of the exporting process, and times are on the clock that the processes share. The tags are names of stored
// data and must not change.
type HandoverState struct {
	// At is when the state was exported.
	At        time.Duration      `json:"At"`
	Classes   []ClassHandover    `json:"Classes"`
	Customers []CustomerHandover `json:"Customers"`
	Endpoints []EndpointHandover `json:"Servers"`
	// FleetSlowdown is the recent latency of all endpoints divided by the mean latency of the classes.
	FleetSlowdown float64 `json:"Fleet"`
	// WarmEndpointRate is the rate at which a warm endpoint answers this gateway, in mean requests per second.
	WarmEndpointRate float64 `json:"Rate"`
	// Shortage is the fraction of the requests within their quotas that find no free slot, from 0 to 1.
	Shortage float64 `json:"Short"`
	// CallFraction is the fraction of the requests without tokens that call the counter, from 0 to 1.
	CallFraction float64 `json:"CallShare"`
}

// ClassHandover holds the estimates for a class.
type ClassHandover struct {
	// MeanLatency and IdleLatency are in seconds.
	MeanLatency float64 `json:"Base"`
	IdleLatency float64 `json:"Floor"`
	// Answers is the number of answers that the latencies are based on.
	Answers int `json:"Answers"`
}

// CustomerHandover is the state of a customer. Its fields are those of customer, quotaState, sharedBucket and
// ceilingState.
type CustomerHandover struct {
	Name             string        `json:"Name"`
	Plan             int           `json:"Plan"`
	Gateways         float64       `json:"Doors"`
	Demand           float64       `json:"Demand"`
	AdmitOnlyDemand  float64       `json:"Leave"`
	DemandAt         time.Duration `json:"DemandAt"`
	LastUsedAt       time.Duration `json:"UsedAt"`
	Tokens           float64       `json:"Tokens"`
	Debt             float64       `json:"Owed"`
	FallbackTokens   float64       `json:"Spare"`
	PeerDemand       float64       `json:"Others"`
	BucketLevel      float64       `json:"Store"`
	SeenTotal        float64       `json:"Seen"`
	FallbackFilledAt time.Duration `json:"SpareAt"`
	LeasedAt         time.Duration `json:"GrantAt"`
	BucketLevelAt    time.Duration `json:"StoreAt"`
	BucketKnownAt    time.Duration `json:"KnownAt"`
	TokensValidFrom  time.Duration `json:"TokensAt"`
	BucketKnown      bool          `json:"Known"`
	SeenWindow       int64         `json:"SeenIn"`
	CarriedWindow    int64         `json:"Carried"`
	LastTurn         int64         `json:"Turn"`
	CarriedAt        time.Duration `json:"CarriedAt"`
	EmptyUntil       time.Duration `json:"EmptyUntil"`
	CeilingTokens    float64       `json:"Ceil"`
	AdmitOnlyTokens  float64       `json:"Kept"`
	CeilingFilledAt  time.Duration `json:"CeilAt"`
	// InFlightUntil holds the latest end time of each request in flight that counts against the plan's limit.
	InFlightUntil []time.Duration `json:"Open"`
}

// EndpointHandover is the state of an endpoint.
type EndpointHandover struct {
	Name string `json:"Name"`
	// StartedAt is when the endpoint's process started. The state is discarded if the endpoint has been restarted
	// since.
	StartedAt  time.Duration `json:"Started"`
	WarmUpFrom time.Duration `json:"ColdAt"`
	WarmingUp  bool          `json:"Cold"`
	Ejected    bool          `json:"Ejected"`
	// LatencyFactor is the endpoint's latency divided by the mean latency of its classes.
	LatencyFactor    float64 `json:"Slow"`
	ConcurrencyLimit float64 `json:"Slots"`
	// Dispatches holds the attempts of the last slow-start window.
	Dispatches []SlowStartDispatch `json:"Sends"`
}

// SlowStartDispatch is one attempt dispatched to a warming endpoint.
type SlowStartDispatch struct {
	At time.Duration `json:"At"`
	// Cost is the work of the attempt, in mean requests of its class.
	Cost float64 `json:"Size"`
}
