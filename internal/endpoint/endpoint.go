// Package endpoint holds what the core is told of the list of backends, whoever tells it.
package endpoint

import "gapgap/internal/balancer"

// Update is a list of backends or changes of it.
type Update struct {
	Kind    balancer.UpdateKind
	Entries []Entry
}

// Entry is one backend and where it listens.
type Entry struct {
	balancer.Endpoint
	Address string // host:port
}
