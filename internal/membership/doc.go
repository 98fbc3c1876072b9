// Package membership is a gossip failure detector: it tells which gateways of a cluster are alive, suspect, dead or
// have left. Gateways gossip heartbeat counters (van Renesse, Minsky, Hayden, "A Gossip-Style Failure Detection
// Service", 1998): each gateway increments its own counter, each heartbeat message carries the counters that its sender
// knows, and a gateway is judged by how long its counter has not grown here, whichever way the news came.
//
// The package does no input or output. The caller hands in the time, a random source and received heartbeats, and sends
// the heartbeats that are returned. All times are those of one monotonic clock that runs on while the process is
// suspended; each gateway has a clock of its own. A [Detector] belongs to one goroutine.
package membership
