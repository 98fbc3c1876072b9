// Package idempotency reserves idempotency keys by majority vote, so that at most one of the requests with the same key
// runs.
//
// A [Coordinator] runs in each gateway. It requests a key from the voters and reports the key as reserved once a
// majority has granted it; only then may the request be dispatched. A [Voter] grants a key to one request and denies it
// to all others for the retention period. Its vote is synced to disk before it is sent. Any two majorities have a voter
// in common, so two requests never hold the same key, even if messages are lost, delayed or duplicated and voters are
// unreachable or lose power.
//
// A voter whose disk is empty or was replaced by an older copy may have lost votes. It does not vote until its peers
// confirm that its disk is the latest one, or until the retention of all keys that it may have lost is over.
//
// The package performs no I/O. Times are readings of a clock that keeps running while a process is stopped.
// Coordinator and Voter are not safe for concurrent use.
package idempotency
