package simulator

import "time"

// overloadTolerance is the work in seconds of one core by which the bound of an overload may be passed, as sums are
// rounded.
const overloadTolerance = 1e-9

// arrival is the work of a job that came.
type arrival struct {
	at time.Duration
	// work is in seconds of one core.
	work float64
}

// CapacityFraction is the part of its capacity that the endpoint has now, up to 1.
func (e *Endpoint) CapacityFraction() float64 {
	age := e.clock.Time() - e.startedAt
	if !e.config.hasSlowStart() || age >= e.config.SlowStartDuration {
		return 1
	}
	initial := e.config.SlowStartCapacity
	return initial + (1-initial)*age.Seconds()/e.config.SlowStartDuration.Seconds()
}

// isOverloadedBy notes the work of an arrival, which counts even if it is rejected later, and says whether it is more
// than the endpoint can bear during its slow start.
func (e *Endpoint) isOverloadedBy(work float64) bool {
	fraction := e.CapacityFraction()
	if e.config.OverloadMultiple == 0 || fraction >= 1 {
		e.recentArrivals = nil
		return false
	}
	now := e.clock.Time()
	e.recentArrivals = append(e.recentArrivals, arrival{at: now, work: work})
	for len(e.recentArrivals) > 0 && now-e.recentArrivals[0].at >= e.config.OverloadWindow {
		e.recentArrivals = e.recentArrivals[1:]
	}
	sum := 0.0
	for _, recent := range e.recentArrivals {
		sum += recent.work
	}
	bound := e.config.OverloadMultiple * fraction * e.config.Cores * e.config.OverloadWindow.Seconds()
	return sum > bound+overloadTolerance
}
