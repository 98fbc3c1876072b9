// Package membership holds what the core is told of the list of backends, whoever tells it.
package membership

import "gapgap"

// Update is a list of backends or changes of it.
type Update struct {
	Scope   snowhall.Scope
	Entries []Entry
}

// Entry is one backend and where it listens.
type Entry struct {
	snowhall.Backend
	Addr string // host:port
}
