// Package cluster is one gateway's part in a cluster. A [Node] knows the other gateways (package membership), requests,
// holds and grants leases of quota slots (package quotalease), and says which share of the quotas this gateway may use.
//
// Messages and the time come in, messages and a [ShareLease] go out; the package does no input or output. A Node
// belongs to one goroutine, which calls [Node.Tick] every [TickInterval] and [Node.Receive] for each message.
package cluster
