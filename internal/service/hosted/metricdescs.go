package hosted

import "github.com/prometheus/client_golang/prometheus"

// newDesc describes a metric. Names, help texts and labels must not change: dashboards depend on them.
func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("gapgap_"+name, help, labels, nil)
}

// Metrics of pools.
var (
	descRequestsOpen = newDesc("requests_open",
		"Requests that hold the pool now.", "pool")
	descHeld = newDesc("held",
		"What a pool holds: bytes of clients (memory), connections to servers (sockets), "+
			"clients' connections (clients).", "pool", "of")
	descGuarantee = newDesc("guarantee",
		"What of it is guaranteed.", "pool", "of")
	descRefusedTakes = newDesc("refused_takes_total",
		"Takes that got nothing, the pool having borrowed what there was.", "pool", "of")
	descReclaims = newDesc("reclaims_total",
		"Times that the pool was asked to give back what it borrowed.", "pool", "of")
)

// Metrics of clients.
var (
	descChecks = newDesc("checks_total",
		"HTTP authorization checks by what became of them.", "outcome")
	descClientConnections = newDesc("client_connections",
		"Clients' connections of all fronts.")
	descMaxClientConnections = newDesc("client_connections_most",
		"How many may be held.")
	descRouteRules = newDesc("route_rules",
		"Rules of the routing table.")
)

// Metrics of the cluster.
var (
	descGateways = newDesc("fleet_doors",
		"Doors of the fleet by how this one sees them.", "state")
	descShareFraction = newDesc("fleet_part",
		"Part of what the fleet shares by leases that this door holds.")
	descClockWrong = newDesc("fleet_clock_wrong",
		"1 where this door's clock is not the others': it asks the counter for nothing and takes no share of "+
			"ceilings; else 0.")
	descTransitions = newDesc("fleet_transitions_total",
		"Times that a door was seen to change.")
	descDatagrams = newDesc("fleet_datagrams_total",
		"Datagrams between doors; odd ones were not understood or not of the fleet.", "what")
	descDatagramBytes = newDesc("fleet_bytes_total",
		"Their bytes.", "what")
	descRecoveryOpen = newDesc("recovery_open",
		"1 where clients are let in after the start, else 0.")
)

// Metrics of the policy.
var (
	descPolicyVersion = newDesc("policy_version",
		"Version of the fleet's policy that this door goes by; 0: none yet.")
	descPolicyDecides = newDesc("policy_decides",
		"1 where this door may decide requests by it, else 0.")
	descPolicyPending = newDesc("policy_change_pending",
		"1 where a change of the fleet's policy is being decided, as far as this door knows, else 0.")
	descPolicyDropped = newDesc("policy_messages_dropped_total",
		"Messages of policy that were not understood or had no place.")
)

// Metrics of idempotency keys.
var (
	descKeyReservations = newDesc("key_claims_total",
		"Claims of keys of changes by what became of them; away: refused as too few voters answer.", "outcome")
	descKeysReachable = newDesc("keys_reachable",
		"1 where enough voters answer for keys, else 0.")
	descKeysVoterReady = newDesc("keys_voter_speaks",
		"1 where this door votes on keys and may speak of them, else 0.")
	descKeys = newDesc("keys_remembered",
		"Keys that this door's voter remembers.")
	descKeySyncs = newDesc("keys_syncs_total",
		"Syncs of the voter's log of keys.")
	descKeyBytes = newDesc("keys_bytes_total",
		"Bytes of records written to it.")
)

// allDescs has all metrics except for the histogram.
var allDescs = []*prometheus.Desc{
	descRequestsOpen,
	descHeld,
	descGuarantee,
	descRefusedTakes,
	descReclaims,
	descChecks,
	descClientConnections,
	descMaxClientConnections,
	descRouteRules,
	descGateways,
	descShareFraction,
	descClockWrong,
	descTransitions,
	descDatagrams,
	descDatagramBytes,
	descPolicyVersion,
	descPolicyDecides,
	descPolicyPending,
	descPolicyDropped,
	descRecoveryOpen,
	descKeyReservations,
	descKeysReachable,
	descKeysVoterReady,
	descKeys,
	descKeySyncs,
	descKeyBytes,
}

// Describe implements [prometheus.Collector].
func (m *metrics) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range allDescs {
		descs <- desc
	}
}
