// Package handover carries what an old process of a gateway gives to the new one that takes its place: a state, the
// listening socket and clients' connections, over a Unix socket of sequenced packets in a directory that both have. It
// knows nothing of what the state says.
//
// The new process calls Take, serves, and calls Link.Confirm, then Link.Next for each connection. The old process
// listens by Listen, takes the other's hello by Hello, and calls Link.Offer, then Link.Hand for each connection and
// Link.Ended. Each side has one goroutine that receives; many may send.
package handover
