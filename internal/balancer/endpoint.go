package balancer

import (
	"slices"
	"time"
)

// place is where an endpoint's process runs. Endpoints in one place may recognize each other's requests as repeats; see
// DedupScope.
type place struct {
	zone int
	cell int
	// uncertain is set while an endpoint in another place is listed at the same address.
	uncertain bool
}

// endpoint is the state of one endpoint at this gateway, with the requests queued for it and in flight to it.
type endpoint struct {
	// name identifies the endpoint in the endpoint list and in actions.
	name  string
	place place
	// weight is the capacity relative to other endpoints; it is above 0.
	weight float64
	// startedAt is when the endpoint last started, according to the endpoint list. 0 means long ago, -1 not known yet.
	startedAt time.Duration

	// listed is set while the endpoint list has the endpoint as serving.
	listed bool
	// inService is set while the endpoint is listed and not administratively ejected.
	inService bool
	// inSubset is set if the endpoint belongs to this gateway's subset.
	inSubset bool
	// preferNext is set when an administrator restores the endpoint, and cleared by its next attempt.
	preferNext bool

	// inFlight holds the attempts whose response has not begun, in order of dispatch.
	inFlight []*attempt
	// inFlightWork is the summed cost of inFlight, in mean requests.
	inFlightWork float64

	queue       priorityQueue
	concurrency concurrencyLimit
	latency     endpointLatency
	outlier     outlierState
	slowStart   slowStartState
}

// isUsable reports whether new requests may be placed at the endpoint. Probe requests may also go to an ejected one.
func (ep *endpoint) isUsable() bool { return ep.inService && !ep.outlier.ejected }

// hasFreeSlot reports whether the concurrency limit allows another attempt now.
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

// removeAttempt frees the slot of an attempt, unless it was freed before.
func (ep *endpoint) removeAttempt(att *attempt) {
	i := slices.Index(ep.inFlight, att)
	if i < 0 {
		return
	}
	ep.inFlight = slices.Delete(ep.inFlight, i, i+1)
	ep.inFlightWork -= att.request.cost
	if len(ep.inFlight) == 0 {
		ep.inFlightWork = 0
	}
}

// oldestAttempt returns the attempt that has been in flight longest, or nil if there is none.
func (ep *endpoint) oldestAttempt() *attempt {
	if len(ep.inFlight) == 0 {
		return nil
	}
	return ep.inFlight[0]
}

// restart discards what was learned about the endpoint's previous process.
func (ep *endpoint) restart(now, startedAt time.Duration) {
	ep.startedAt = startedAt
	ep.latency.reset()
	ep.outlier.reset(now)
}

// beginSlowStart starts the slow start of the endpoint as of the given time, with a concurrency limit of one slot.
func (ep *endpoint) beginSlowStart(since time.Duration) {
	ep.slowStart.begin(since)
	ep.concurrency.reset()
}

// export returns the state of the endpoint that is handed over to the next process.
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
		state.Dispatches = append(state.Dispatches, SlowStartDispatch(dispatch))
	}
	return state
}

// restore applies the state that the previous process handed over, except for an ejection.
func (ep *endpoint) restore(from *EndpointHandover) {
	ep.slowStart.restore(from)
	ep.concurrency.restore(from.ConcurrencyLimit)
	ep.latency.restore(from.LatencyFactor)
}
