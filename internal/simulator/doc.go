// Package simulator is a discrete-event simulation of gateways, the counter, endpoints and clients in virtual time. A
// gateway runs the real decision module, driven as the proxy drives it. The package does no I/O and reads no clock.
//
// Runs are reproducible: the same seed gives the same run. Random numbers depend on the identity of what they are drawn
// for, not on the order of events, so one delayed message does not change the rest of the run.
//
// The caller injects faults: into an endpoint with the methods in fault.go, which make it slow, paused, silent or
// crashed; into the counter with the fields of [Counter]; into a gateway with [Gateway.Kill] and ClockSkew. The network
// has a fixed latency and no faults. The package internal/scenario injects faults from a script.
//
// A [World] and everything in it belong to a single goroutine.
package simulator
