// Package simulator plays gateways, the counter, endpoints and clients in virtual time. A gateway is the decision
// module itself, driven as the proxy drives it; every instant is decided by events in a queue. The package does no
// input or output and reads no clock.
//
// A seed gives the same run each time. Random numbers depend on the identity of what they are drawn for, never on the
// order of events, so one delayed message does not change all that follows.
//
// Faults are injected by the caller: into an endpoint by the methods in fault.go, which make it slow, paused, silent or
// crashed; into the counter by the fields of [Counter]; into a gateway by [Gateway.Kill] and its ClockSkew. The network
// has a fixed latency and no faults. The package internal/scenario injects them as a script says.
//
// One goroutine owns a [World] and all in it.
package simulator
