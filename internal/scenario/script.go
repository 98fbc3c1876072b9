package scenario

import (
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/simulator"
)

// Bounds of a script. They make a typing error an error of the script, in place of a run without end.
const (
	MaxEndpoints = 2000
	MaxGateways  = 500
	MaxAccounts  = 200_000
	MaxEvents    = 1000
	MaxDuration  = 24 * time.Hour
	MaxRetries   = 10
	// MaxAccountRate is in requests a second.
	MaxAccountRate = 1e6
)

// Script is a script that [Load] or [Parse] has checked.
type Script struct {
	Name string
	Seed uint64
	// Duration is how long clients send requests.
	Duration time.Duration
	// Gateways is the number of gateways.
	Gateways int
	// UseCounter says that there is a counter.
	UseCounter bool
	// LeaseCeilings makes gateways lease parts of ceilings by demand; false: each has an even share.
	LeaseCeilings bool
	// DiscoveryDelay bounds the random delay with which discovery notifies each gateway of a change; 0: none.
	DiscoveryDelay time.Duration
	// Retries is how often clients repeat a request that was rejected or failed.
	Retries int
	// RetryWithSameKey makes the retries of a request with a key have the key of the first one.
	RetryWithSameKey bool

	Classes   []Class
	Plans     []Plan
	Endpoints []EndpointGroup
	Accounts  []AccountGroup
	Events    []Event

	// changeSettings changes the settings of each gateway, and intercept its actions; nil: they stay. Tests break a
	// gateway by them.
	changeSettings func(*balancer.Settings)
	intercept      func(balancer.Action) []balancer.Action
}

// Class is a class of requests.
type Class struct {
	Name string
	// Share is the class's part of the requests, relative to those of the others.
	Share float64
	balancer.Class
}

// Plan is a plan with its name.
type Plan struct {
	Name string
	balancer.Plan
}

// EndpointGroup is a group of endpoints that are alike.
type EndpointGroup struct {
	Group string
	Count int
	simulator.EndpointConfig
}

// AccountGroup is a group of accounts that are alike.
type AccountGroup struct {
	Group string
	Count int
	// Plan is an index into the script's plans.
	Plan int
	// Rate is that of each account, in requests a second.
	Rate float64
	// Spread is the number of gateways that an account's requests come through; 0: all.
	Spread int
}
