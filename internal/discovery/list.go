package discovery

import (
	"slices"

	"gapgap/internal/balancer"
)

// EndpointList is the endpoint list or a change of it, in discovery's JSON form. A handover carries it, too.
type EndpointList struct {
	// Index grows with each change.
	Index int64
	// Snapshot says that Endpoints are all there are.
	Snapshot  bool
	Endpoints []Endpoint
}

// Endpoint is one endpoint in discovery's JSON form.
type Endpoint struct {
	Name    string
	Address string
	Zone    string
	// Type is the kind of machine, Group the cell.
	Type   string
	Group  int
	Status string
	Weight float64
	// SinceMS is when it started, in Unix milliseconds; 0: not told.
	SinceMS int64 `json:"since_ms"`
}

// states maps discovery's words.
var states = map[string]balancer.EndpointState{
	"SERVING":  balancer.Serving,
	"DRAINING": balancer.Draining,
	"DELETED":  balancer.Removed,
}

// numberOf returns the index of a name, or 0 if it is not among them.
func numberOf(names []string, name string) int { return max(0, slices.Index(names, name)) }
