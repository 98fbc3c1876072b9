// Package peer carries messages between the gateways of one cluster, in datagrams that are sealed with a shared key:
// nothing is taken from, or revealed to, a process without it. It drives one [cluster.Node] and hands the node's
// share lease to the users of the common quotas.
//
// One goroutine, the event loop, owns the node; another one reads the socket and opens datagrams. A gateway is sent to
// at its address in the list, wherever its own messages came from.
package peer
