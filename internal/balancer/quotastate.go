package balancer

import "time"

// quotaState is what this gateway holds of a customer's quota. The quota's token bucket itself is on the counter (see
// sharedBucket). All units that leave the bucket are added there, so a single call tells its level even to a gateway
// that has never seen the customer.
type quotaState struct {
	// tokens is the number of units leased from the counter and not yet spent. It is negative if requests cost more
	// than estimated.
	tokens float64
	// tokensValidFrom is the time from which tokens may be spent.
	tokensValidFrom time.Duration
	// leasedAt is when the last lease was received.
	leasedAt time.Duration
	// fallbackTokens is this gateway's own share in units, spent while the counter does not respond. It is negative
	// after spending on credit.
	fallbackTokens float64
	// fallbackFilledAt is when fallbackTokens was last refilled.
	fallbackFilledAt time.Duration
	// debt is the number of units spent without a lease that still have to be added to the counter. A negative debt is
	// units to return.
	debt float64
	// debtWindow is the counter window in which debt was last checked. It is used in a large fleet only.
	debtWindow int64
	// callPending is true while a call for tokens is pending.
	callPending bool
	// lastCallLost is true if the last call for tokens was not answered.
	lastCallLost bool
	// callsPausedUntil is the time before which no call is made, since a timed-out call may still be answered.
	callsPausedUntil time.Duration
}

// hasTokens reports whether the leased tokens cover the given units.
func (quota *quotaState) hasTokens(units float64) bool { return quota.tokens >= units }

// hasValidTokens reports whether the leased tokens cover the given units and may be spent now.
func (quota *quotaState) hasValidTokens(now time.Duration, units float64) bool {
	return quota.hasTokens(units) && now >= quota.tokensValidFrom
}

// spendTokens takes units from the leased tokens.
func (quota *quotaState) spendTokens(units float64) { quota.tokens -= units }

// refund returns the units of a request that was never sent.
func (quota *quotaState) refund(units float64) { quota.tokens += units }

// addDebt changes the number of units that the next call adds to the counter. A negative number returns units.
func (quota *quotaState) addDebt(units float64) { quota.debt += units }

// takeDebt resets the debt and returns it, to be added to the counter by a call.
func (quota *quotaState) takeDebt() float64 {
	debt := quota.debt
	quota.debt = 0
	return debt
}

// spendShare takes units from the fallback share and adds them to the debt.
func (quota *quotaState) spendShare(units float64) {
	quota.fallbackTokens -= units
	quota.debt += units
}

// spendCredit takes units from the fallback share, which may become negative.
func (quota *quotaState) spendCredit(units float64) { quota.fallbackTokens -= units }

// returnTokens returns the leased tokens with the next call.
func (quota *quotaState) returnTokens() {
	quota.debt -= quota.tokens
	quota.tokens = 0
}

// dropTokens discards the leased tokens.
func (quota *quotaState) dropTokens() { quota.tokens = 0 }

// creditTokens adds the tokens leased by a call.
func (quota *quotaState) creditTokens(now time.Duration, units float64) {
	quota.tokens += units
	quota.leasedAt = now
	quota.lastCallLost = false
}

// beginCall records that a call for tokens is sent.
func (quota *quotaState) beginCall() { quota.callPending = true }

// endCall records that the pending call has ended.
func (quota *quotaState) endCall() { quota.callPending = false }

// recordLostCall records that a call ended without an answer, so that its block may be lost.
func (quota *quotaState) recordLostCall() { quota.lastCallLost = true }

// pauseCallsUntil sets the time before which no call is made; 0 allows calls again.
func (quota *quotaState) pauseCallsUntil(at time.Duration) { quota.callsPausedUntil = at }

// reserveTokens adds tokens that may be spent from a given time.
func (quota *quotaState) reserveTokens(units float64, validFrom time.Duration) {
	quota.tokens += units
	quota.tokensValidFrom = validFrom
}

// fillFallback adds units to the fallback share, up to a capacity.
func (quota *quotaState) fillFallback(now time.Duration, units, depth float64) {
	quota.fallbackTokens = min(max(quota.fallbackTokens, depth), quota.fallbackTokens+units)
	quota.fallbackFilledAt = now
}

// limitFallback reduces the fallback share to at most the given units.
func (quota *quotaState) limitFallback(units float64) {
	quota.fallbackTokens = min(quota.fallbackTokens, units)
}

// hasExpiredTokens reports whether there are unspent tokens of a lease that is older than its time to live.
func (quota *quotaState) hasExpiredTokens(age, ttl time.Duration) bool {
	return quota.tokens > 0 && !quota.callPending && age > ttl
}

// hasFallbackTokens reports whether the remaining tokens and the fallback share together cover the given units.
func (quota *quotaState) hasFallbackTokens(units float64) bool {
	return quota.fallbackTokens+max(0, quota.tokens) >= units
}

// spendFallback takes units from the remaining tokens first and then from the fallback share. Units taken from the
// fallback share are added to the debt.
func (quota *quotaState) spendFallback(units float64) {
	quota.fallbackTokens -= units - max(0, quota.tokens)
	quota.debt += units - max(0, quota.tokens)
	quota.tokens = min(0, quota.tokens)
}

// beginDebtWindow drops units that were to be returned to the total of an earlier window, since they cannot be returned
// to the current one.
func (quota *quotaState) beginDebtWindow(window int64) {
	if quota.debtWindow == window {
		return
	}
	quota.debtWindow = window
	quota.debt = max(0, quota.debt)
}
