package balancer

import (
	"slices"
	"time"
)

// endpoint is what this gateway knows of one endpoint, and the requests that are queued for it or in flight to it.
type endpoint struct {
	// name identifies the endpoint in the endpoint list and in actions.
	name string
	// zone is the zone that the endpoint runs in.
	zone int
	// cell is the cell that the endpoint belongs to; endpoints of a cell may drop each other's repeats.
	cell int
	// weight is the capacity in relation to other endpoints; above 0.
	weight float64
	// startedAt is when the endpoint last started, by the endpoint list; 0: long ago, -1: not known yet.
	startedAt time.Duration

	// listed is set while the endpoint list has the endpoint as serving.
	listed bool
	// inService is set while the endpoint is listed and no administrator has ejected it.
	inService bool
	// inSubset is set if this gateway uses the endpoint as a rule.
	inSubset bool
	// preferNext is set after an administrator restored the endpoint, until the next attempt goes to it.
	preferNext bool

	// inFlight holds the attempts that have no result yet, in the order of dispatch.
	inFlight []*attempt
	// inFlightWork is the cost of inFlight, in mean requests.
	inFlightWork float64

	queue       priorityQueue
	concurrency concurrencyLimit
	latency     endpointLatency
	outlier     outlierState
	slowStart   slowStartState
}

// isUsable reports whether new requests may be placed at the endpoint. A probe request may go to an ejected one too.
func (ep *endpoint) isUsable() bool { return ep.inService && !ep.outlier.ejected }

// hasFreeSlot reports whether the concurrency limit admits another attempt now.
func (ep *endpoint) hasFreeSlot(now time.Duration) bool {
	return ep.concurrency.hasFreeSlot(now, ep.inFlightWork)
}

// addAttempt records an attempt that is about to be dispatched.
func (ep *endpoint) addAttempt(now time.Duration, att *attempt) {
	if len(ep.inFlight) == 0 {
		ep.outlier.becomeBusy(now)
	}
	ep.inFlight = append(ep.inFlight, att)
	ep.inFlightWork += att.request.cost
	ep.preferNext = false
	ep.slowStart.recordDispatch(now, att.request.cost)
}

// removeAttempt records that an attempt holds no slot any more.
func (ep *endpoint) removeAttempt(att *attempt) {
	ep.inFlight = slices.DeleteFunc(ep.inFlight, func(other *attempt) bool { return other == att })
	ep.inFlightWork -= att.request.cost
	if len(ep.inFlight) == 0 {
		ep.inFlightWork = 0
	}
}

// oldestAttempt returns the attempt that has been in flight for longest, nil if there is none.
func (ep *endpoint) oldestAttempt() *attempt {
	if len(ep.inFlight) == 0 {
		return nil
	}
	return ep.inFlight[0]
}

// restart forgets what was known of an earlier process of the endpoint.
func (ep *endpoint) restart(now, startedAt time.Duration) {
	ep.startedAt = startedAt
	ep.latency.reset()
	ep.outlier.reset(now)
}

// beginSlowStart makes the endpoint warming up since a time, with one slot.
func (ep *endpoint) beginSlowStart(since time.Duration) {
	ep.slowStart.begin(since)
	ep.concurrency.reset()
}

// export returns what the next process gets of the endpoint.
func (ep *endpoint) export() EndpointHandover {
	state := EndpointHandover{
		Name:             ep.name,
		StartedAt:        ep.startedAt,
		WarmUpFrom:       ep.slowStart.since,
		WarmingUp:        ep.slowStart.active,
		Ejected:          ep.outlier.ejected,
		LatencyFactor:    ep.latency.factor,
		ConcurrencyLimit: ep.concurrency.limit,
	}
	for _, dispatch := range ep.slowStart.budget.Dispatches() {
		state.Sends = append(state.Sends, SlowStartSend(dispatch))
	}
	return state
}

// restore takes over what a former process has handed over, except for an ejection.
func (ep *endpoint) restore(from *EndpointHandover) {
	ep.slowStart.restore(from)
	ep.concurrency.restore(from.ConcurrencyLimit)
	ep.latency.restore(from.LatencyFactor)
}
