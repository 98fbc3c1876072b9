package balancer

import (
	"cmp"
	"time"
)

const (
	// adminRestoreSpread is the time within which a restored endpoint is used again, where gateways are few.
	adminRestoreSpread = 2 * time.Second
	// minWatchBackoff is the pause after the first failed watch of the endpoint list; it doubles with each further
	// one.
	minWatchBackoff = 500 * time.Millisecond
	maxWatchBackoff = 8 * time.Second
)

// startedAtUnknown is the start time of an endpoint before its first entry is applied.
const startedAtUnknown = time.Duration(-1)

// endpointSet holds the endpoints that are listed or have attempts in flight.
type endpointSet struct {
	byName map[string]*endpoint
	// ordered holds the same endpoints in the order in which they came.
	ordered []*endpoint
	// adminEjected has the names that an administrator has ejected, listed or not, and since when.
	adminEjected map[string]time.Duration
	// roundRobin is the number of selections so far, from a random start; it sets where the next one begins.
	roundRobin int
	// queuedRequests is the number of requests in all endpoints' queues.
	queuedRequests int
	// subsetSizedFor is the number of endpoints in service that the subset was last computed for.
	subsetSizedFor int
	// gatewaysPerEndpoint is the number of gateways that use each endpoint as a rule.
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

// startRoundRobin sets where the first selection begins.
func (s *endpointSet) startRoundRobin(position int) { s.roundRobin = position }

// beginRound begins another selection.
func (s *endpointSet) beginRound() { s.roundRobin++ }

// inRound returns the endpoint at a position, from 0, of the current selection.
func (s *endpointSet) inRound(position int) *endpoint {
	return s.ordered[(s.roundRobin+position)%len(s.ordered)]
}

// resizeSubset follows the number of endpoints in service, if that has changed by a quarter.
func (s *endpointSet) resizeSubset() {
	count := s.inServiceCount()
	if count > s.subsetSizedFor*5/4 || count < s.subsetSizedFor*3/4 || s.subsetSizedFor == 0 {
		s.subsetSizedFor = count
	}
}

// removeGone forgets endpoints that are not listed and have no attempt in flight.
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

// inServiceCount is the number of endpoints in service.
func (s *endpointSet) inServiceCount() int {
	count := 0
	for _, ep := range s.ordered {
		if ep.inService {
			count++
		}
	}
	return count
}

// areAllAdminEjected reports whether there are listed endpoints and an administrator has ejected all of them.
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
	// updatedAt is when the list was last updated, or a fetch of it last requested.
	updatedAt time.Duration
	// backoff is the pause before the watch is started again; 0: it has not failed since the last update.
	backoff time.Duration
	// retryPending is set while that pause runs.
	retryPending bool
}

// recordUpdate records that an update has come.
func (w *endpointWatch) recordUpdate(now time.Duration) {
	w.updatedAt = now
	w.backoff = 0
}

// beginBackoff starts the pause after a failure and returns it.
func (w *endpointWatch) beginBackoff() time.Duration {
	w.retryPending = true
	w.backoff = min(maxWatchBackoff, max(minWatchBackoff, 2*w.backoff))
	return w.backoff
}

// endBackoff ends the pause.
func (w *endpointWatch) endBackoff() { w.retryPending = false }

// recordFetch records that the whole list has been requested.
func (w *endpointWatch) recordFetch(now time.Duration) { w.updatedAt = now }

// handleEndpointUpdate applies an update of the endpoint list, or plans another watch if it failed.
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

// scheduleWatchRetry sets the timer of another watch, unless it is set already.
func (b *Balancer) scheduleWatchRetry() {
	if b.endpointWatch.retryPending {
		return
	}
	b.emit(SetTimer{At: b.now + b.endpointWatch.beginBackoff(), Cookie: watchRetryCookie})
}

// retryWatch starts the watch again.
func (b *Balancer) retryWatch() {
	b.endpointWatch.endBackoff()
	b.emit(WatchEndpoints{})
}

// fetchIfStale requests the whole list where it must be polled and has had no update for half of its interval.
func (b *Balancer) fetchIfStale() {
	if !b.settings.PollEndpoints || b.settings.PollInterval <= 0 {
		return
	}
	if b.now-b.endpointWatch.updatedAt > b.settings.PollInterval/2 {
		b.endpointWatch.recordFetch(b.now)
		b.emit(FetchEndpoints{})
	}
}

// applyEntry applies one entry of the endpoint list. An endpoint that started lately warms up.
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
	ep.zone = entry.Zone
	ep.cell = entry.Cell
	ep.weight = cmp.Or(max(0, entry.Weight), 1)
	ep.slowStart.share = cmp.Or(max(0, entry.SlowStartShare), 1)
	_, isAdminEjected := b.endpoints.adminEjected[ep.name]
	ep.listed = entry.State == Serving
	ep.inService = (ep.inService || ep.listed) && !isAdminEjected
	if !ep.listed {
		b.stopDispatching(ep)
	}
}

// newEndpoint returns an endpoint of which nothing is known but its name.
func (b *Balancer) newEndpoint(name string) *endpoint {
	limit := max(minConcurrency, initialConcurrency/b.liveGateways())
	return &endpoint{
		name:        name,
		startedAt:   startedAtUnknown,
		concurrency: concurrencyLimit{limit: limit},
	}
}

// stopDispatching takes an endpoint out of service and places the requests queued for it elsewhere.
func (b *Balancer) stopDispatching(ep *endpoint) {
	if ep.inService {
		ep.inService = false
		b.reassignQueue(ep)
	}
}

// removeUnlisted treats endpoints that a snapshot leaves out as removed.
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

// EndpointCounts returns how many endpoints the list has, and how many of them get no requests now.
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

// handleAdminRestore puts an endpoint back into service that an administrator had ejected. It may have been restarted
// meanwhile, so it warms up: since its start if that came after the ejection, else from now on.
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

// restorePause is a random pause before a restored endpoint gets its first attempt of this gateway. It keeps many
// gateways from using the endpoint at once.
func (b *Balancer) restorePause() time.Duration {
	spread := adminRestoreSpread * time.Duration(max(1, int(b.liveGateways())/largeFleetGateways))
	return time.Duration(b.rng.Int64N(int64(spread)))
}
