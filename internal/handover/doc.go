// Package handover transfers the state, the listening socket and the client connections of a gateway's old process to
// the new process that replaces it. It uses a Unix socket of sequenced packets in a directory that both processes can
// access. The state is opaque to it.
//
// The new process calls Take, begins to serve, and calls Link.Confirm, then Link.Next for each connection. The old
// process listens with Listen, receives the greeting of the new one with Hello, and calls Link.Offer, then Link.Hand
// for each connection, Link.SendUpdate for each change of the state, and Link.Ended. Each side has one goroutine that
// receives; several may send.
package handover
