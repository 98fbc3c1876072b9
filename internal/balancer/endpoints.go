package balancer

import (
	"cmp"
	"time"
)

const (
	// adminRestoreSpread is the range of the random pause before a restored endpoint is used again. It grows with the
	// number of gateways in large fleets.
	adminRestoreSpread = 2 * time.Second
	// minWatchBackoff is the backoff after the first failed watch of the endpoint list. It doubles with each further
	// failure.
	minWatchBackoff = 500 * time.Millisecond
	maxWatchBackoff = 8 * time.Second
)

// startedAtUnknown is the start time of an endpoint whose first entry has not been applied yet.
const startedAtUnknown = time.Duration(-1)

// endpointSet holds the endpoints that are listed or still have attempts in flight.
type endpointSet struct {
	byName map[string]*endpoint
	// ordered holds the same endpoints in the order in which they were added.
	ordered []*endpoint
	// adminEjected maps the name of each administratively ejected endpoint, listed or not, to the time of its ejection.
	adminEjected map[string]time.Duration
	// roundRobin counts the selections from a random start. It determines the endpoint at which the next selection
	// begins.
	roundRobin int
	// queuedRequests is the number of requests in the queues of all endpoints.
	queuedRequests int
	// subsetSizedFor is the number of endpoints in service that the subset size was last computed for.
	subsetSizedFor int
	// gatewaysPerEndpoint is the number of gateways whose subset includes a given endpoint.
	gatewaysPerEndpoint int
}

// newEndpointSet returns an empty set.
func newEndpointSet() endpointSet {
	return endpointSet{
		byName:       map[string]*endpoint{},
		adminEjected: map[string]time.Duration{},
	}
}

// add adds a new endpoint.
func (s *endpointSet) add(ep *endpoint) {
	s.byName[ep.name] = ep
	s.ordered = append(s.ordered, ep)
}

// startRoundRobin sets the position at which the first selection begins.
func (s *endpointSet) startRoundRobin(position int) { s.roundRobin = position }

// beginRound starts the next selection, one position further.
func (s *endpointSet) beginRound() { s.roundRobin++ }

// inRound returns the endpoint at a position of the current selection, counted from 0.
func (s *endpointSet) inRound(position int) *endpoint {
	return s.ordered[(s.roundRobin+position)%len(s.ordered)]
}

// resizeSubset adopts the current number of endpoints in service if it has changed by more than a quarter.
func (s *endpointSet) resizeSubset() {
	count := s.inServiceCount()
	if count > s.subsetSizedFor*5/4 || count < s.subsetSizedFor*3/4 || s.subsetSizedFor == 0 {
		s.subsetSizedFor = count
	}
}

// removeGone deletes endpoints that are neither listed nor have attempts in flight.
func (s *endpointSet) removeGone() {
	kept := make([]*endpoint, 0, len(s.ordered))
	for _, ep := range s.ordered {
		if ep.listed || len(ep.inFlight) > 0 {
			kept = append(kept, ep)
		} else {
			delete(s.byName, ep.name)
		}
	}
	s.ordered = kept
}

// inServiceCount returns the number of endpoints in service.
func (s *endpointSet) inServiceCount() int {
	count := 0
	for _, ep := range s.ordered {
		if ep.inService {
			count++
		}
	}
	return count
}

// areAllAdminEjected reports whether there are listed endpoints and all of them are administratively ejected.
func (s *endpointSet) areAllAdminEjected() bool {
	hasListed := false
	for _, ep := range s.ordered {
		if ep.inService {
			return false
		}
		hasListed = hasListed || ep.listed
	}
	return hasListed
}

// endpointWatch is the state of the watch on the endpoint list.
type endpointWatch struct {
	// updatedAt is when the list was last updated or its last fetch was requested.
	updatedAt time.Duration
	// backoff is the delay before the watch is restarted. It is 0 if the watch has not failed since the last update.
	backoff time.Duration
	// retryPending is set during the backoff.
	retryPending bool
}

// recordUpdate records that an update was received, and resets the backoff.
func (w *endpointWatch) recordUpdate(now time.Duration) {
	w.updatedAt = now
	w.backoff = 0
}

// beginBackoff starts the backoff after a failure and returns its duration.
func (w *endpointWatch) beginBackoff() time.Duration {
	w.retryPending = true
	w.backoff = min(maxWatchBackoff, max(minWatchBackoff, 2*w.backoff))
	return w.backoff
}

// endBackoff ends the backoff.
func (w *endpointWatch) endBackoff() { w.retryPending = false }

// recordFetch records that the complete list was requested.
func (w *endpointWatch) recordFetch(now time.Duration) { w.updatedAt = now }

// handleEndpointUpdate applies an update of the endpoint list. If the watch failed, it schedules a retry.
func (b *Balancer) handleEndpointUpdate(ev EndpointUpdate) {
	if ev.Kind == UpdateFailed {
		b.scheduleWatchRetry()
		return
	}
	b.endpointWatch.recordUpdate(b.now)
	for _, entry := range ev.Entries {
		b.applyEntry(entry)
	}
	if ev.Kind != Delta {
		b.removeUnlisted(ev.Entries)
	}
	b.endpoints.removeGone()
	b.updateSubset()
	for _, ep := range b.endpoints.ordered {
		b.dispatchQueued(ep)
	}
}

// scheduleWatchRetry sets the timer for restarting the watch, unless it is already set.
func (b *Balancer) scheduleWatchRetry() {
	if b.endpointWatch.retryPending {
		return
	}
	b.emit(SetTimer{At: b.now + b.endpointWatch.beginBackoff(), Cookie: watchRetryCookie})
}

// retryWatch restarts the watch.
func (b *Balancer) retryWatch() {
	b.endpointWatch.endBackoff()
	b.emit(WatchEndpoints{})
}

// fetchIfStale requests the complete list if polling is enabled and half the poll interval has passed without an
// update.
func (b *Balancer) fetchIfStale() {
	if !b.settings.PollEndpoints || b.settings.PollInterval <= 0 {
		return
	}
	if b.now-b.endpointWatch.updatedAt > b.settings.PollInterval/2 {
		b.endpointWatch.recordFetch(b.now)
		b.emit(FetchEndpoints{})
	}
}

// applyEntry applies one entry of the endpoint list. A recently started endpoint begins slow start.
func (b *Balancer) applyEntry(entry Endpoint) {
	ep := b.endpoints.byName[entry.Name]
	if ep == nil {
		if entry.State != Serving {
			return
		}
		ep = b.newEndpoint(entry.Name)
		b.endpoints.add(ep)
	}
	if entry.StartedAt != ep.startedAt {
		ep.restart(b.now, entry.StartedAt)
		if entry.StartedAt > 0 && b.now-entry.StartedAt < b.settings.SlowStartDuration {
			ep.beginSlowStart(entry.StartedAt)
		}
	}
	ep.place = place{zone: entry.Zone, cell: entry.Cell, uncertain: entry.PlaceUncertain}
	ep.weight = cmp.Or(max(0, entry.Weight), 1)
	ep.slowStart.share = cmp.Or(max(0, entry.SlowStartShare), 1)
	_, isAdminEjected := b.endpoints.adminEjected[ep.name]
	ep.listed = entry.State == Serving
	ep.inService = (ep.inService || ep.listed) && !isAdminEjected
	if !ep.listed {
		b.stopDispatching(ep)
	}
}

// newEndpoint creates the state of an endpoint about which nothing but its name is known.
func (b *Balancer) newEndpoint(name string) *endpoint {
	limit := max(minConcurrency, initialConcurrency/b.liveGateways())
	return &endpoint{
		name:        name,
		startedAt:   startedAtUnknown,
		concurrency: concurrencyLimit{limit: limit},
	}
}

// stopDispatching takes an endpoint out of service and reassigns the requests queued for it.
func (b *Balancer) stopDispatching(ep *endpoint) {
	if ep.inService {
		ep.inService = false
		b.reassignQueue(ep)
	}
}

// removeUnlisted takes the endpoints out of service that are missing from a snapshot.
func (b *Balancer) removeUnlisted(snapshot []Endpoint) {
	listed := map[string]bool{}
	for _, entry := range snapshot {
		listed[entry.Name] = true
	}
	for _, ep := range b.endpoints.ordered {
		if !listed[ep.name] {
			ep.listed = false
			b.stopDispatching(ep)
		}
	}
}

// EndpointCounts returns the number of listed endpoints, and how many of them currently get no requests.
func (b *Balancer) EndpointCounts() (listed, avoided int) {
	for _, ep := range b.endpoints.ordered {
		if !ep.listed {
			continue
		}
		listed++
		if !ep.isUsable() {
			avoided++
		}
	}
	return listed, avoided
}

// handleAdminEject takes an endpoint out of service until it is restored.
func (b *Balancer) handleAdminEject(ev AdminEject) {
	if _, ok := b.endpoints.adminEjected[ev.Endpoint]; !ok {
		b.endpoints.adminEjected[ev.Endpoint] = cmp.Or(ev.At, b.now)
		b.emit(LogLine{"taken out by hand: " + ev.Endpoint})
	}
	if ep := b.endpoints.byName[ev.Endpoint]; ep != nil {
		b.stopDispatching(ep)
		b.updateSubset()
	}
}

// handleAdminRestore returns an administratively ejected endpoint to service. The endpoint may have been restarted
// during the ejection, so it begins slow start: as of its start time if the endpoint list shows a start after the
// ejection, else as of now.
func (b *Balancer) handleAdminRestore(ev AdminRestore) {
	ejectedAt, ok := b.endpoints.adminEjected[ev.Endpoint]
	if !ok {
		return
	}
	delete(b.endpoints.adminEjected, ev.Endpoint)
	b.emit(LogLine{"back by hand: " + ev.Endpoint})
	ep := b.endpoints.byName[ev.Endpoint]
	if ep == nil || !ep.listed {
		return
	}
	ep.inService = true
	ep.outlier.reset(b.now)
	ep.latency.reset()
	ep.beginSlowStart(b.now)
	if ep.startedAt > ejectedAt {
		ep.beginSlowStart(ep.startedAt)
	}
	ep.preferNext = true
	ep.slowStart.budget.PauseUntil(b.now + 1 + b.restorePause())
	b.updateSubset()
	b.dispatchQueued(ep)
}

// restorePause returns a random pause before this gateway's first attempt to a restored endpoint, so that many gateways
// do not start using it at the same moment.
func (b *Balancer) restorePause() time.Duration {
	spread := adminRestoreSpread * time.Duration(max(1, int(b.liveGateways())/largeFleetGateways))
	return time.Duration(b.rng.Int64N(int64(spread)))
}
