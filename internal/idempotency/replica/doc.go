// Package replica runs a gateway's part in the reservation of idempotency keys: an [idempotency.Coordinator] and, where
// the gateway is a voter, an [idempotency.Voter] with its log on disk.
//
// One goroutine owns the coordinator. Another owns the voter and its log; it waits for the disk, so all messages that
// arrive meanwhile share one sync. [Replica.Close] ends both.
package replica
