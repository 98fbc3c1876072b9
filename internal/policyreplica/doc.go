// Package policyreplica runs a gateway's part in the agreement on policy versions. It drives one [policy.Node], the
// replicated log where the gateway is a voter, and the transfer and storage of policy documents. A [Host] decides
// requests by the version that the replica gives it, for as long as the replica lets it.
//
// One goroutine owns the node and the log and never waits for the disk: other goroutines, one for each file at a time,
// write the log, documents and the file of the version. [Replica.Close] ends them all.
package policyreplica
