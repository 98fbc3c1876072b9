// Package peer carries messages between the gateways of a cluster in UDP datagrams, encrypted and authenticated with a
// shared key: messages from processes without the key are rejected, and such processes cannot read any. The package
// drives one [cluster.Node] and passes the node's share lease to the users of the shared quotas.
//
// One goroutine, the event loop, owns the node; another one reads the socket and decrypts datagrams. Messages to a
// gateway go to its configured address, whatever address its own messages came from.
package peer
