// Package decisioncache remembers what was decided for a check, so that a check that is asked again (by a proxy whose
// own timeout was shorter than the answer's way) joins the pending one or gets the same decision, and is charged once.
//
// The package does no I/O, reads no clock and starts no goroutine. One goroutine at a time may use a [Cache].
//
// How long a decision is remembered is decided by the caller of [Cache.Complete], up to Config.MaxTTL: for
// authorization checks by decisionTTL in internal/frontend/extauthz.
//
// A Cache is bounded by the time a decision is kept, by a number of checks for each account, and by a number in all.
// An account at its own limit evicts its oldest decision; if all of its checks are pending, the new one is not tracked.
// At the limit for all accounts the largest account evicts, so one account's flood can't push out the decisions of
// others. A check may be repeated a bounded number of times and is rejected from then on until it is forgotten, so a
// client that uses one nonce for all its requests gains nothing by it.
package decisioncache
