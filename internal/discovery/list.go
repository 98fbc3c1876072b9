package discovery

import (
	"hash/fnv"
	"slices"

	"gapgap/internal/balancer"
)

// EndpointList is the endpoint list or a change of it, in discovery's JSON format. It is also part of the handover
// state.
type EndpointList struct {
	// Index increases with each change.
	Index int64
	// Snapshot reports that Endpoints has all endpoints, not only changed ones.
	Snapshot  bool
	Endpoints []Endpoint
}

// Endpoint is one endpoint in discovery's JSON format.
type Endpoint struct {
	Name    string
	Address string
	Zone    string
	// Type is the kind of machine, Group the cell.
	Type   string
	Group  int
	Status string
	Weight float64
	// SinceMS is when the endpoint started, in Unix milliseconds; 0 means unknown.
	SinceMS int64 `json:"since_ms"`
}

// states maps discovery's status names to endpoint states.
var states = map[string]balancer.EndpointState{
	"SERVING":  balancer.Serving,
	"DRAINING": balancer.Draining,
	"DELETED":  balancer.Removed,
}

// indexOf returns the index of a name, or 0 if it is unknown.
func indexOf(names []string, name string) int { return max(0, slices.Index(names, name)) }

// ZoneNumber returns the number of a zone: the index of its name, or for a name that is not listed one of its own, so
// that endpoints of two zones are never taken for those of one. An endpoint without a zone counts as in the first one.
func ZoneNumber(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 || name == "" {
		return max(0, i)
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return len(names) + int(hash.Sum32())
}
