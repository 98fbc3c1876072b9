// Package policy makes a new policy version take effect on all gateways of a cluster or on none. It implements a
// three-phase commit protocol over a replicated log; docs/design/policy.md states the guarantees and why they hold:
//
//   - prepare: each [Participant] fetches the new document, stores it and reports that it can switch to it;
//   - lock: once all participants have prepared, each one renews its permission to decide by the old version for at
//     most [LockDuration] at a time;
//   - commit: once all participants have locked, or have been fenced because their leases expired, the [Coordinator]
//     proposes a commit. If a gateway rejects the document, or can't be reached in time, it proposes an abort.
//
// [State] is the result of applying the log's entries. The leader of the log runs a [Coordinator], every gateway runs
// a [Participant], and [Node] combines them in one process.
//
// The package does no I/O: the caller passes in the time, the messages and the committed entries. Times are readings of
// the gateway's own monotonic clock, which keeps running while the process is stopped. Wall-clock times are only
// informational. Values are not safe for concurrent use.
package policy
