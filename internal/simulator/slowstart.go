package simulator

import "time"

// overloadTolerance is the work in core-seconds by which the overload bound may be exceeded, to allow for rounding
// errors.
const overloadTolerance = 1e-9

// arrival is the work of a job that arrived during slow start.
type arrival struct {
	at time.Duration
	// work is in core-seconds.
	work float64
}

// CapacityFraction returns the current capacity as a fraction of the full capacity; 1 after slow start.
func (e *Endpoint) CapacityFraction() float64 {
	age := e.clock.Time() - e.startedAt
	if !e.config.hasSlowStart() || age >= e.config.SlowStartDuration {
		return 1
	}
	initial := e.config.SlowStartCapacity
	return initial + (1-initial)*age.Seconds()/e.config.SlowStartDuration.Seconds()
}

// isOverloadedBy records the work of an arrival, which counts even if it is rejected later, and reports whether it
// exceeds the overload bound of the slow start.
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
