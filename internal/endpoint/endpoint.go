// Package endpoint is the form in which a proxy is told of the endpoint list, whatever system discovers it.
package endpoint

import "gapgap/internal/balancer"

// Update is the endpoint list or a change of it.
type Update struct {
	// Kind says whether Entries are all endpoints or the changed ones only.
	Kind balancer.UpdateKind
	// Entries has no meaning if Kind is balancer.UpdateFailed.
	Entries []Entry
}

// Entry is one endpoint and where it listens.
type Entry struct {
	balancer.Endpoint
	// Address is host:port.
	Address string
}
