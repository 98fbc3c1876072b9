// Package decisioncache caches the decisions of checks. A check that is repeated, for example by a web proxy that timed
// out before the answer arrived, joins the pending check or gets the same decision, and is charged once.
//
// The package does no I/O, reads no clock and starts no goroutine. One goroutine at a time may use a [Cache].
//
// The caller of [Cache.Complete] sets how long a decision is cached, up to Config.MaxTTL. For authorization checks
// decisionTTL in internal/frontend/extauthz does so.
//
// A Cache limits the TTL of decisions, the number of checks of each account, and the total number of checks. An account
// at its own limit evicts its oldest decision; if all of its checks are pending, the new one is not tracked. At the
// total limit the largest account evicts, so that a flood from one account can't evict the decisions of others. A check
// may be repeated a limited number of times and is rejected from then on until it is removed, so that a client gains
// nothing by using one nonce for all its requests.
package decisioncache
