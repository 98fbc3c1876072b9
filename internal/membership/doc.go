// Package membership implements a gossip failure detector. It tracks which gateways of a cluster are alive, suspect or
// dead, or have left. Gateways gossip heartbeat counters (van Renesse, Minsky, Hayden, "A Gossip-Style Failure
// Detection Service", 1998): each gateway increments its own counter, each heartbeat carries the counters that its
// sender knows, and a gateway's state depends on how long its counter has not increased at the observer, whichever
// gateway relayed it.
//
// The package performs no I/O. The caller supplies the time, a random source and received heartbeats, and sends the
// heartbeats that are returned. All times come from one monotonic clock that keeps running while the process is
// suspended; each gateway has its own clock. A [Detector] is not safe for concurrent use.
package membership
