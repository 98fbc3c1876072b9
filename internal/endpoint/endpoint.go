// Package endpoint defines the form in which a proxy receives the endpoint list, independent of the discovery system.
package endpoint

import "gapgap/internal/balancer"

// Update is the complete endpoint list or a change of it.
type Update struct {
	// Kind tells whether Entries has all endpoints or only the changed ones.
	Kind balancer.UpdateKind
	// Entries is meaningless if Kind is balancer.UpdateFailed.
	Entries []Entry
}

// Entry is an endpoint and the address where it listens.
type Entry struct {
	balancer.Endpoint
	// Address is host:port.
	Address string
}
