// Package sharedhealth merges the state of endpoints that are listed in several pools. An endpoint is identified by its
// address, whatever its name in each pool:
//
//   - An endpoint that is draining in one pool drains in all of them. If a source removes it or moves its name to
//     another address, it drains in all other pools, and each of them uses it again only after its own source has
//     reported it as serving.
//   - The latest start time that any source reports applies to all pools: an endpoint that is warming up for one pool
//     is warming up for all.
//   - Each entry by which the endpoint is in service gets an even share of its slow-start budget, so that all of them
//     together stay within the budget.
//   - A health report of one pool about an endpoint is for all other pools that list it: see [Registry.Peers].
//
// The registry returns updates; internal/service/hosted (endpointinbox.go) delivers them to the pools.
//
// The package does no I/O. One goroutine at a time may use a [Registry].
package sharedhealth
