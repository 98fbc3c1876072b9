package balancer

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the moving average of a customer's demand.
	demandWindow = 2 * time.Second
	// minAdmitOnlyFraction is the fraction of the demand below which admission-only requests are ignored and no part of
	// the ceiling is set aside for them.
	minAdmitOnlyFraction = 0.01
)

// demandRate is an exponential moving average of the units requested by a customer at this gateway.
type demandRate struct {
	// rate is the demand of all requests, in units per second.
	rate float64
	// admitOnlyRate is the part of rate that comes from admission-only requests, in units per second.
	admitOnlyRate float64
	// updatedAt is the time of the last request.
	updatedAt time.Duration
}

// record adds a request that arrives now.
func (demand *demandRate) record(now time.Duration, req *request) {
	gap := (now - demand.updatedAt).Seconds() / demandWindow.Seconds()
	demand.rate = demand.rate*math.Exp(-gap) + req.units/demandWindow.Seconds()
	demand.admitOnlyRate *= math.Exp(-gap)
	if req.admitOnly {
		demand.admitOnlyRate += req.units / demandWindow.Seconds()
	}
	demand.updatedAt = now
}

// admitOnlyFraction returns the fraction of the demand that comes from admission-only requests, from 0 to 1.
func (demand *demandRate) admitOnlyFraction() float64 {
	if demand.admitOnlyRate < minAdmitOnlyFraction*demand.rate {
		return 0
	}
	return min(1, demand.admitOnlyRate/demand.rate)
}

// recordDemand adds a request that arrives now to the customer's demand.
func (cust *customer) recordDemand(now time.Duration, req *request) {
	cust.lastUsedAt = now
	cust.demand.record(now, req)
}
