package balancer

import "time"

// HandoverState is what a gateway's process hands over to the next one: what the rules need to hold over both, and
// what the other would take seconds to learn. Classes and plans are numbered as in its settings, times are those of
// the processes' common clock. The tags are the names of stored data and must not change.
type HandoverState struct {
	// At is when the state was written.
	At        time.Duration      `json:"At"`
	Classes   []ClassHandover    `json:"Classes"`
	Customers []CustomerHandover `json:"Customers"`
	Endpoints []EndpointHandover `json:"Servers"`
	// FleetSlowdown is the latest latency over the mean of its class, of all endpoints.
	FleetSlowdown float64 `json:"Fleet"`
	// WarmEndpointRate is the number of answers a second of a warm endpoint.
	WarmEndpointRate float64 `json:"Rate"`
	// Shortage is the part of the requests within their quotas that find no free place, from 0 to 1.
	Shortage float64 `json:"Short"`
	// CallFraction is the part of the requests without tokens that call the counter, from 0 to 1.
	CallFraction float64 `json:"CallShare"`
}

// ClassHandover is what is known of a class.
type ClassHandover struct {
	// MeanLatency and IdleLatency are in seconds.
	MeanLatency float64 `json:"Base"`
	IdleLatency float64 `json:"Floor"`
	// Answers is the number of answers that the latencies are from.
	Answers int `json:"Answers"`
}

// CustomerHandover is how a customer stands. Its fields are those of customer, quotaState, sharedBucket and
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
	// InFlightUntil holds, for each request in flight that counts against the plan's limit, when it ends at the latest.
	InFlightUntil []time.Duration `json:"Open"`
}

// EndpointHandover is what is known of an endpoint.
type EndpointHandover struct {
	Name string `json:"Name"`
	// StartedAt is when the endpoint's process started; of another process nothing is taken over.
	StartedAt  time.Duration `json:"Started"`
	WarmUpFrom time.Duration `json:"ColdAt"`
	WarmingUp  bool          `json:"Cold"`
	Ejected    bool          `json:"Ejected"`
	// LatencyFactor is the endpoint's latency over the mean of its classes.
	LatencyFactor    float64 `json:"Slow"`
	ConcurrencyLimit float64 `json:"Slots"`
	// Sends are the attempts of the last slow-start window.
	Sends []SlowStartSend `json:"Sends"`
}

// SlowStartSend is one attempt that was sent to a warming endpoint.
type SlowStartSend struct {
	At time.Duration `json:"At"`
	// Cost is its work in mean requests of its class.
	Cost float64 `json:"Size"`
}
