// Package sharedhealth merges what several pools know of an endpoint that is listed in more than one of them. An
// endpoint is identified by its address, whatever each pool calls it:
//
//   - Draining in one pool is draining in all. A removal, or a move to another address, drains it in all other pools;
//     each of them uses it again only once its own source reports it as serving after that.
//   - The latest start that any source reports holds for all: an endpoint that is warming up for one pool does so for
//     all of them.
//   - Each entry that has the endpoint in service gets an even share of its slow-start budget, so that the budget holds
//     for their sum.
//   - A health report of one pool about an endpoint goes to all other pools that list it: see [Registry.Peers].
//
// The registry only says who gets what; internal/service/hosted (endpointinbox.go) delivers it to the pools.
//
// The package does no I/O. One goroutine at a time may use a [Registry].
package sharedhealth
