// Package cluster implements one gateway's part in a cluster. A [Node] tracks the other gateways (package membership),
// requests, holds and grants leases of quota slots (package quotalease), and determines the share of the quotas that
// this gateway may use.
//
// The package performs no I/O: the caller supplies received messages and the time, and gets messages to send and a
// [ShareLease]. A Node is not safe for concurrent use. Its caller calls [Node.Tick] every [TickInterval] and
// [Node.Receive] for each message.
package cluster
