// Package replica runs the parts of a gateway that reserve idempotency keys: an [idempotency.Coordinator] and, if the
// gateway is a voter, an [idempotency.Voter] with its log on disk.
//
// One goroutine owns the coordinator, another one the voter and its log. The voter's goroutine blocks while the log is
// synced, and handles all messages that have arrived in the meantime with a single sync. [Replica.Close] stops both
// goroutines.
package replica
