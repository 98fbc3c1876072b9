package balancer

import "time"

// quotaState is what this gateway holds of a customer's quota. The quota's token bucket itself is on the counter (see
// sharedBucket): all that leaves it is added there, so one call tells its level to a gateway that has never seen the
// customer.
type quotaState struct {
	// tokens are leased from the counter and not yet spent, in units. Below 0: requests took more than estimated.
	tokens float64
	// tokensValidFrom is the time from which tokens may be spent.
	tokensValidFrom time.Duration
	// leasedAt is when the last lease came.
	leasedAt time.Duration
	// fallbackTokens are this gateway's own share, spent while the counter does not answer, in units. Below 0: credit.
	fallbackTokens float64
	// fallbackFilledAt is when fallbackTokens were filled last.
	fallbackFilledAt time.Duration
	// debt is the number of units spent without a lease, to be added to the counter. Below 0: units to be returned.
	debt float64
	// debtWindow is the counter window in which debt was last checked; used in a large fleet only.
	debtWindow int64
	// callPending is true while a call for tokens is out.
	callPending bool
	// lastCallLost is true when the last call for tokens had no answer.
	lastCallLost bool
	// callsPausedUntil is the time before which no call is made, as one that timed out may still be answered.
	callsPausedUntil time.Duration
}

// hasTokens reports whether the leased tokens cover some units.
func (quota *quotaState) hasTokens(units float64) bool { return quota.tokens >= units }

// hasValidTokens reports whether they do and may be spent now.
func (quota *quotaState) hasValidTokens(now time.Duration, units float64) bool {
	return quota.hasTokens(units) && now >= quota.tokensValidFrom
}

// spendTokens takes units from the leased tokens.
func (quota *quotaState) spendTokens(units float64) { quota.tokens -= units }

// refund gives back the units of a request that was never sent.
func (quota *quotaState) refund(units float64) { quota.tokens += units }

// addDebt adds units to those that the next call adds to the counter. Below 0 it returns units.
func (quota *quotaState) addDebt(units float64) { quota.debt += units }

// takeDebt ends the debt, which a call adds to the counter, and returns it.
func (quota *quotaState) takeDebt() float64 {
	debt := quota.debt
	quota.debt = 0
	return debt
}

// spendShare takes units from the fallback share, to be added to the counter later.
func (quota *quotaState) spendShare(units float64) {
	quota.fallbackTokens -= units
	quota.debt += units
}

// spendCredit takes units from the fallback share, which may fall below 0.
func (quota *quotaState) spendCredit(units float64) { quota.fallbackTokens -= units }

// returnTokens returns the leased tokens with the next call.
func (quota *quotaState) returnTokens() {
	quota.debt -= quota.tokens
	quota.tokens = 0
}

// dropTokens loses the leased tokens.
func (quota *quotaState) dropTokens() { quota.tokens = 0 }

// creditTokens adds the tokens that a call has leased.
func (quota *quotaState) creditTokens(now time.Duration, units float64) {
	quota.tokens += units
	quota.leasedAt = now
	quota.lastCallLost = false
}

// beginCall takes that a call for tokens goes out.
func (quota *quotaState) beginCall() { quota.callPending = true }

// endCall takes that it has ended.
func (quota *quotaState) endCall() { quota.callPending = false }

// loseCall takes that it ended without an answer, so its block may be lost.
func (quota *quotaState) loseCall() { quota.lastCallLost = true }

// pauseCallsUntil sets the time before which no call is made; 0: calls may be made again.
func (quota *quotaState) pauseCallsUntil(at time.Duration) { quota.callsPausedUntil = at }

// reserveTokens adds tokens that may be spent from a time on.
func (quota *quotaState) reserveTokens(units float64, validFrom time.Duration) {
	quota.tokens += units
	quota.tokensValidFrom = validFrom
}

// fillFallback adds units to the fallback share, up to a depth.
func (quota *quotaState) fillFallback(now time.Duration, units, depth float64) {
	quota.fallbackTokens = min(max(quota.fallbackTokens, depth), quota.fallbackTokens+units)
	quota.fallbackFilledAt = now
}

// limitFallback drops what the fallback share has over a number of units.
func (quota *quotaState) limitFallback(units float64) {
	quota.fallbackTokens = min(quota.fallbackTokens, units)
}

// hasExpiredTokens reports whether tokens of a lease are left that is older than its time to live.
func (quota *quotaState) hasExpiredTokens(age, ttl time.Duration) bool {
	return quota.tokens > 0 && !quota.callPending && age > ttl
}

// hasFallbackTokens reports whether the tokens that are left and the fallback share together cover some units.
func (quota *quotaState) hasFallbackTokens(units float64) bool {
	return quota.fallbackTokens+max(0, quota.tokens) >= units
}

// spendFallback pays units from the tokens that are left and for the rest from the fallback share. What the fallback
// share pays is added to the counter later.
func (quota *quotaState) spendFallback(units float64) {
	quota.fallbackTokens -= units - max(0, quota.tokens)
	quota.debt += units - max(0, quota.tokens)
	quota.tokens = min(0, quota.tokens)
}

// beginDebtWindow drops units that were to be returned to the total of an older window: they can't be returned to this
// one.
func (quota *quotaState) beginDebtWindow(window int64) {
	if quota.debtWindow == window {
		return
	}
	quota.debtWindow = window
	quota.debt = max(0, quota.debt)
}
