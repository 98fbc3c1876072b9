// Package policyreplica runs the policy commit protocol on one gateway. It drives a [policy.Node], the replicated log
// if the gateway is a voter, and the transfer and storage of policy documents. A [Host] decides requests by the version
// that the replica gives it, until the deadline that the replica sets.
//
// One goroutine owns the node and the log and does not wait for writes to the disk: other goroutines, at most one per
// file at a time, write the log, the documents and the version file. [Replica.Close] stops all of them.
package policyreplica
