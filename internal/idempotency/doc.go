// Package idempotency reserves idempotency keys by majority, so that of all requests with one key at most one runs.
//
// A [Coordinator] runs in each gateway. It asks the voters for a key and lets its request go out once a majority has
// granted it. A [Voter] grants a key to one request, after the vote is on disk, and denies it to others for as long as
// keys are retained. Two majorities share a voter, so two requests never hold one key, whatever messages are lost, late
// or repeated and whichever voters are cut off or lose power.
//
// A voter whose disk is empty or older than one that it had may have forgotten votes. It does not vote until its peers
// confirm that its disk is the newest, or until all keys that it may have forgotten are past their retention.
//
// The package does no input or output. Times are readings of a clock that runs on while a process is stopped. Neither
// type is safe for concurrent use.
package idempotency
