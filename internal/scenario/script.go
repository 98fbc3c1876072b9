package scenario

import (
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/simulator"
)

// Limits of a script. They turn a typing error into an error of the script instead of an endless run.
const (
	MaxEndpoints = 2000
	MaxGateways  = 500
	MaxAccounts  = 200_000
	MaxEvents    = 1000
	MaxDuration  = 24 * time.Hour
	MaxRetries   = 10
	// MaxAccountRate is in requests per second.
	MaxAccountRate = 1e6
)

// Script is a script that was checked by [Load] or [Parse].
type Script struct {
	Name string
	Seed uint64
	// Duration is how long clients send requests.
	Duration time.Duration
	// Gateways is the number of gateways.
	Gateways int
	// UseCounter makes gateways use a counter.
	UseCounter bool
	// LeaseCeilings makes gateways lease parts of ceilings by demand; if false, each has an even share.
	LeaseCeilings bool
	// DiscoveryDelay is the upper bound of the random delay with which discovery notifies each gateway of a change.
	DiscoveryDelay time.Duration
	// Retries is how often clients retry a request that was rejected or failed.
	Retries int
	// RetryWithSameKey makes retries reuse the idempotency key of the first try.
	RetryWithSameKey bool

	Classes   []Class
	Plans     []Plan
	Endpoints []EndpointGroup
	Accounts  []AccountGroup
	Events    []Event

	// changeSettings, if not nil, changes the settings of each gateway, and intercept its actions. Tests use them to
	// inject gateway faults.
	changeSettings func(*balancer.Settings)
	intercept      func(balancer.Action) []balancer.Action
}

// Class is a class of requests.
type Class struct {
	Name string
	// Share is the weight of the class among the requests, relative to the shares of the other classes.
	Share float64
	balancer.Class
}

// Plan is a plan with its name.
type Plan struct {
	Name string
	balancer.Plan
}

// EndpointGroup is a group of endpoints with the same configuration.
type EndpointGroup struct {
	Group string
	Count int
	simulator.EndpointConfig
}

// AccountGroup is a group of accounts with the same plan and rate.
type AccountGroup struct {
	Group string
	Count int
	// Plan is an index into the script's plans.
	Plan int
	// Rate is the rate of each account, in requests per second.
	Rate float64
	// Spread is the number of gateways that receive an account's requests; 0 means all.
	Spread int
}
