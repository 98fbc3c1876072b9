package balancer

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the moving average of a customer's demand.
	demandWindow = 2 * time.Second
	// minAdmitOnlyFraction is the part of the demand below which admission-only requests are ignored: no part of the
	// ceiling is kept for them.
	minAdmitOnlyFraction = 0.01
)

// demandRate is an exponential moving average of the units that a customer's requests ask for at this gateway.
type demandRate struct {
	// rate is the demand of all its requests, units a second.
	rate float64
	// admitOnlyRate is the part of rate that asks for admission only, units a second.
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

// admitOnlyFraction is the part of the demand that asks for admission only, from 0 to 1.
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
