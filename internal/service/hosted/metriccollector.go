package hosted

import (
	"github.com/prometheus/client_golang/prometheus"

	"gapgap/internal/idempotency/replica"
	"gapgap/internal/peer"
)

// The values of the label "of".
const (
	resourceMemory  = "memory"
	resourceSockets = "sockets"
	resourceClients = "clients"
)

// metricSink receives the metrics of one collection.
type metricSink chan<- prometheus.Metric

// gauge sends the value of a gauge.
func (sink metricSink) gauge(desc *prometheus.Desc, value float64, labels ...string) {
	sink <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
}

// flag sends a gauge with the value 1 or 0.
func (sink metricSink) flag(desc *prometheus.Desc, isSet bool) {
	value := 0.0
	if isSet {
		value = 1
	}
	sink.gauge(desc, value)
}

// counter sends the value of a counter.
func (sink metricSink) counter(desc *prometheus.Desc, value uint64, labels ...string) {
	sink <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
}

// Collect implements [prometheus.Collector].
func (m *metrics) Collect(values chan<- prometheus.Metric) {
	s := m.service
	sink := metricSink(values)
	for _, stats := range s.PoolStats() {
		sink.gauge(descRequestsOpen, float64(stats.Requests), stats.Name)
		if s.limits != nil {
			sink.poolLimits(stats)
		}
	}
	s.Shared.Stats.Each(func(outcome string, n uint64) { sink.counter(descChecks, n, outcome) })
	sink.gauge(descClientConnections, float64(s.Conns.Len()))
	sink.gauge(descMaxClientConnections, float64(s.Conns.Max()))
	sink.gauge(descRouteRules, float64(s.router.rules()))
	if s.cluster == nil {
		return
	}
	sink.cluster(s.cluster.transport)
	sink.flag(descRecoveryOpen, s.recovery.isOpen())
	if s.keys != nil {
		sink.keys(s.keys)
	}
	if s.policy != nil {
		sink.policy(s.policy)
	}
}

// poolLimits sends a pool's usage of the limits that pools share.
func (sink metricSink) poolLimits(stats PoolStats) {
	sink.gauge(descHeld, float64(stats.Memory.Held), stats.Name, resourceMemory)
	sink.gauge(descHeld, float64(stats.Places.Held), stats.Name, resourceSockets)
	sink.gauge(descHeld, float64(stats.Clients), stats.Name, resourceClients)
	sink.gauge(descGuarantee, float64(stats.Memory.Guarantee), stats.Name, resourceMemory)
	sink.gauge(descGuarantee, float64(stats.Places.Guarantee), stats.Name, resourceSockets)
	sink.counter(descRefusedTakes, stats.Memory.Refused, stats.Name, resourceMemory)
	sink.counter(descRefusedTakes, stats.Places.Refused, stats.Name, resourceSockets)
	sink.counter(descRefusedTakes, stats.Refused, stats.Name, resourceClients)
	sink.counter(descReclaims, stats.Memory.Reclaims, stats.Name, resourceMemory)
	sink.counter(descReclaims, stats.Places.Reclaims, stats.Name, resourceSockets)
	sink.counter(descReclaims, stats.Evicted, stats.Name, resourceClients)
}

// cluster sends this gateway's view of the cluster.
func (sink metricSink) cluster(transport *peer.Transport) {
	view := transport.View()
	gatewaysByState := map[string]int{}
	for _, gateway := range view.Gateways {
		gatewaysByState[gateway.State]++
	}
	for state, n := range gatewaysByState {
		sink.gauge(descGateways, float64(n), state)
	}
	sink.gauge(descShareFraction, view.Fraction)
	sink.flag(descClockWrong, view.WrongClock)
	stats := &transport.Stats
	sink.counter(descTransitions, stats.Transitions.Load())
	sink.counter(descDatagrams, stats.Sent.Load(), "sent")
	sink.counter(descDatagrams, stats.Received.Load(), "received")
	sink.counter(descDatagrams, stats.Rejected.Load(), "odd")
	sink.counter(descDatagrams, stats.Dropped.Load(), "dropped")
	sink.counter(descDatagramBytes, stats.SentBytes.Load(), "sent")
	sink.counter(descDatagramBytes, stats.ReceivedBytes.Load(), "received")
}

// keys sends the outcomes of reservations of idempotency keys and the state of this gateway's voter.
func (sink metricSink) keys(keys *replica.Replica) {
	stats, view := &keys.Stats, keys.View()
	sink.counter(descKeyReservations, stats.Granted.Load(), "won")
	sink.counter(descKeyReservations, stats.HeldByOther.Load(), "lost")
	sink.counter(descKeyReservations, stats.NoCapacity.Load(), "crowded")
	sink.counter(descKeyReservations, stats.NoQuorum.Load(), "away")
	sink.counter(descKeySyncs, stats.Syncs.Load())
	sink.counter(descKeyBytes, stats.Bytes.Load())
	sink.flag(descKeysReachable, keys.HasQuorum())
	sink.flag(descKeysVoterReady, view.Ready)
	sink.gauge(descKeys, float64(view.Keys))
}

// policy sends the state of the policy at this gateway.
func (sink metricSink) policy(host *policyHost) {
	view := host.replica.View()
	sink.gauge(descPolicyVersion, float64(view.Version.Number))
	sink.flag(descPolicyDecides, view.DecidesUntil > host.service.clock.Now())
	sink.flag(descPolicyPending, view.PendingChange != "")
	sink.counter(descPolicyDropped, host.replica.DroppedMessages())
}
