// Package policy decides how a policy version takes effect on all gateways of a tier or on none. It is a commit
// protocol in three steps over a replicated log (docs/design/policy.md has the guarantees and the argument):
//
//   - prepare: each [Participant] fetches the new document, stores it and reports that it could switch to it;
//   - lock: once all have prepared, each stops renewing its right to decide by the old version for longer than
//     [LockDuration];
//   - commit: once all have locked, or were fenced because their leases have expired, the [Coordinator] proposes to
//     commit. A gateway that rejects the document, or that can't be reached in time, makes it propose to abort.
//
// [State] is what the entries of the log amount to, [Coordinator] is run by the leader of the log, [Participant] is
// run by each gateway, and [Node] ties them together for one process.
//
// Nothing here does input or output: time, messages and committed entries are handed in. Times are readings of the
// gateway's own monotonic clock, which runs on while a process is stopped; wall times are for people to read. A value
// belongs to one goroutine.
package policy
