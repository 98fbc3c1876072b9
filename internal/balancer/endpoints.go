package balancer

import (
	"cmp"
	"time"

	"gapgap/internal/balancer/slowstart"
)

const (
	adminRestoreSpread = 2 * time.Second // with few doors, a server back by hand is used within this
)

type endpoint struct {
	name                                    string
	zone, cell                              int
	weight, concurrencyLimit, latencyFactor float64
	slowStartShare                          float64 // of what it bears while cold
	inService                               bool    // in service, by the list and by hand
	listed                                  bool    // ... by the list
	overdue                                 bool    // back by hand and not used since
	inSubset                                bool    // this door uses it as a rule
	startedAt, warmUpFrom                   time.Duration
	warmingUp, ejected                      bool
	pausedUntil                             time.Duration
	nextProbeAt                             time.Duration
	probePause                              time.Duration
	probing                                 bool
	connectionFailures, timeouts            int           // broken connections in a row; time-outs since heard
	lastResponseAt                          time.Duration // last sign of life, or the moment it got work after having none
	inFlight                                []*attempt
	queue                                   [lowestLevel + 1][]*queueEntry
	levelCount                              [lowestLevel + 1]int
	queued                                  int
	slowStart                               slowstart.Book           // while it is cold
	inFlightWork                            float64                  // the work of outs, in mean requests
	levelWork                               [lowestLevel + 1]float64 // of what is queued, so too
	queuedWork                              float64                  // the sum of work
}

// isUsable says whether new work may go to a server on the ordinary path.
func (ep *endpoint) isUsable() bool { return ep.inService && !ep.ejected }

// handleEndpointUpdate takes news of the backends.
func (b *Balancer) handleEndpointUpdate(ev EndpointUpdate) {
	if ev.Kind == UpdateFailed {
		if !b.watchRetryPending {
			b.watchRetryPending = true
			b.watchBackoff = min(8*time.Second, max(500*time.Millisecond, 2*b.watchBackoff))
			b.emit(SetTimer{b.now + b.watchBackoff, 2})
		}
		return
	}
	b.endpointsUpdatedAt, b.watchBackoff = b.now, 0
	for _, entry := range ev.Entries {
		b.applyEntry(entry)
	}
	if ev.Kind != Delta {
		b.removeUnlisted(ev.Entries)
	}
	b.removeGoneEndpoints()
	b.updateSubset()
	for _, ep := range b.endpointOrder {
		b.dispatchQueued(ep)
	}
}

// applyEntry takes what the list says of one backend. One that was started lately is cold.
func (b *Balancer) applyEntry(entry Endpoint) {
	ep := b.endpoints[entry.Name]
	if ep == nil {
		if entry.State != Serving {
			return
		}
		ep = &endpoint{
			name:             entry.Name,
			startedAt:        -1,
			concurrencyLimit: max(minConcurrency, initialConcurrency/b.liveGateways()),
		}
		b.endpoints[entry.Name] = ep
		b.endpointOrder = append(b.endpointOrder, ep)
	}
	if entry.StartedAt != ep.startedAt {
		ep.startedAt, ep.lastResponseAt, ep.latencyFactor = entry.StartedAt, b.now, 1
		ep.ejected, ep.probing, ep.connectionFailures, ep.timeouts = false, false, 0, 0
		if entry.StartedAt > 0 && b.now-entry.StartedAt < b.settings.SlowStartDuration {
			ep.warmingUp, ep.warmUpFrom, ep.concurrencyLimit = true, entry.StartedAt, 1
		}
	}
	ep.zone, ep.cell, ep.weight, ep.slowStartShare = entry.Zone, entry.Cell, cmp.Or(
		max(0, entry.Weight),
		1,
	), cmp.Or(
		max(0, entry.SlowStartShare),
		1,
	)
	_, banned := b.adminEjected[ep.name]
	ep.listed = entry.State == Serving
	ep.inService = (ep.inService || ep.listed) && !banned
	if !ep.listed {
		b.stopSending(ep)
	}
}

// stopSending ends what new work goes to a server.
func (b *Balancer) stopSending(ep *endpoint) {
	if ep.inService {
		ep.inService = false
		b.reassignQueue(ep)
	}
}

// removeUnlisted takes servers that a whole list leaves out as gone.
func (b *Balancer) removeUnlisted(list []Endpoint) {
	named := map[string]bool{}
	for _, entry := range list {
		named[entry.Name] = true
	}
	for _, ep := range b.endpointOrder {
		if !named[ep.name] {
			ep.listed = false
			b.stopSending(ep)
		}
	}
}

// removeGoneEndpoints forgets servers that are gone and owe no outcome.
func (b *Balancer) removeGoneEndpoints() {
	kept := b.endpointOrder[:0:0]
	for _, ep := range b.endpointOrder {
		if ep.listed || len(ep.inFlight) > 0 {
			kept = append(kept, ep)
		} else {
			delete(b.endpoints, ep.name)
		}
	}
	b.endpointOrder = kept
}

// EndpointCounts tells how many backends the list has, and how many of them this door avoids now.
func (b *Balancer) EndpointCounts() (listed, avoided int) {
	for _, ep := range b.endpointOrder {
		if ep.listed {
			listed++
			if !ep.isUsable() {
				avoided++
			}
		}
	}
	return listed, avoided
}

// allAdminEjected says that no server can be chosen since all that are listed are taken out by hand.
func (b *Balancer) allAdminEjected() bool {
	some := false
	for _, ep := range b.endpointOrder {
		if ep.inService {
			return false
		}
		some = some || ep.listed
	}
	return some
}

// handleAdminEject takes a server out of use by hand.
func (b *Balancer) handleAdminEject(ev AdminEject) {
	if _, ok := b.adminEjected[ev.Endpoint]; !ok {
		b.adminEjected[ev.Endpoint] = cmp.Or(ev.At, b.now)
		b.emit(LogLine{"taken out by hand: " + ev.Endpoint})
	}
	if ep := b.endpoints[ev.Endpoint]; ep != nil {
		b.stopSending(ep)
		b.updateSubset()
	}
}

// handleAdminRestore lets a server serve again that was taken out by hand. It may have started anew meanwhile: it is
// cold from when the list says that it started, if that was while it was out, else from now.
func (b *Balancer) handleAdminRestore(name string) {
	since, ok := b.adminEjected[name]
	if !ok {
		return
	}
	delete(b.adminEjected, name)
	b.emit(LogLine{"back by hand: " + name})
	ep := b.endpoints[name]
	if ep == nil || !ep.listed {
		return
	}
	ep.inService, ep.ejected, ep.probing, ep.connectionFailures, ep.timeouts, ep.lastResponseAt = true, false,
		false, 0, 0, b.now
	ep.warmingUp, ep.warmUpFrom, ep.latencyFactor, ep.concurrencyLimit, ep.overdue = true, b.now, 1, 1, true
	if ep.startedAt > since {
		ep.warmUpFrom = ep.startedAt
	}
	soon := adminRestoreSpread * time.Duration(max(1, int(b.liveGateways())/largeFleetGateways))
	ep.slowStart.Hold(b.now + 1 + time.Duration(b.rng.Int64N(int64(soon))))
	b.updateSubset()
	b.dispatchQueued(ep)
}
