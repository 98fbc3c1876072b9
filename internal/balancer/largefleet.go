package balancer

import (
	"cmp"
	"math"
	"time"

	"gapgap/internal/balancer/ceilinglease"
)

const (
	manyDepth = 4.0 // units: where a door's even share of a ceiling holds fewer, the doors are many
	crowdFrom = 12  // doors
	crowdWait = 0.2 // of its time that a request waits for the counter
	crowdLife = 12 * time.Second
	crowdPart = 4.0 // of a store that one lease may take
	manyFirst = 1.0 // units of a share that a door has at its start: what it had before may be spent
	// part of the rate beyond the quota that shares give: the rest is for what a new window's number gives twice
	manyRate    = 0.97
	manyOver    = 0.25 // bursts over its burst at which the ledger is put right
	manyTakes   = 1.0  // bursts that the ledger may let out at once: (1+manyOver-manyKeep), and again with a new number
	manyKeep    = 0.75 // part of a burst that the ledger keeps back for the loss of the counter's numbers
	promiseMost = time.Second
	pauseDoors  = 2.0
	creditMost  = 0.9 // chance ...
	creditSoon  = 4.0 // ... and in which part of the time it has that in which a door's share fills by a unit
	crowdOver   = 0.5 // bursts over its burst at which a store is put right
	crowdFix    = 0.1 // of the doors that see it and are not the first
	pauseMost   = 12 * time.Second
	callsRetry  = 1.0
	callsSoft   = 1.5
)

// hasSparseShares says that the doors of a customer are so many that each one's even share of the ceiling is a request
// or two. A plan that
// caps what is open at once too keeps its even shares: payMany counts nothing that is open.
func (b *Balancer) hasSparseShares(cust *customer, plan *Plan) bool {
	return b.isLargeFleet() && plan.CeilingRate > plan.Rate && plan.Rate > 0 && plan.MaxInFlight == 0 &&
		plan.CeilingBurst > manyTakes*plan.Burst &&
		b.leaseTerms[cust.plan].Rate == 0 &&
		plan.CeilingBurst/cust.gateways < manyDepth &&
		plan.OverQuotaWeight > plan.OverQuotaCost
}

// isLargeFleet says that the doors are so many that the counter can't serve a call for each request that a door can't
// pay, and a
// door meets most customers so seldom that a lease for them would lie unused.
func (b *Balancer) isLargeFleet() bool {
	return b.settings.UseCounter && !b.settings.LeaseCeilings &&
		b.settings.Gateways >= crowdFrom // what is lent hangs on a ledger without reservations
}

// canCallFor says whether the counter may be called for a request. The calls that there are go first to those for which
// they decide most: a client's repeat was refused before, mostly for good reason, and a promotion only helps while
// servers are short.
func (b *Balancer) canCallFor(req *request, leaves float64) bool {
	cust := req.customer
	if b.handedOver || req.counterCalled || b.now < max(cust.bucket.emptyUntil, cust.quota.callsPausedUntil) ||
		len(b.counter.callsOut) >= maxCallsOut {
		return false
	}
	if req.clientRetry {
		leaves += callsRetry
	}
	return b.counter.pacer.May(b.now, leaves)
}

// counterMayCover says whether the ledger may pay a request: a token is here, is asked for, or can be.
func (b *Balancer) counterMayCover(req *request, plan *Plan) bool {
	cust := req.customer
	return cust.quota.tokens >= req.units &&
		(cust.quota.tokensValidFrom-b.now).Seconds() <= req.timeLimit.Seconds()*maxCeilingWaitFraction ||
		cust.quota.callPending ||
		b.now >= max(cust.bucket.emptyUntil, cust.quota.callsPausedUntil)
}

// ceilingTurns are a customer's at the doors, where each one's share of what is beyond the quota is less than a unit.
func (b *Balancer) ceilingTurns(cust *customer, plan *Plan) (ceilinglease.Turns, bool) {
	return ceilinglease.TurnsOf(
		manyRate*(plan.CeilingRate-plan.Rate),
		plan.CeilingBurst-manyTakes*plan.Burst,
		cust.gateways,
	)
}

// refillTurn tells the share of a customer at a door that has turns. A door that has just begun may have used its turn
// before.
func (b *Balancer) refillTurn(cust *customer, t ceilinglease.Turns) float64 {
	cust.ceiling.tokens, cust.ceiling.filledAt, cust.ceiling.admitOnlyTokens = 0, b.now, 0
	turn, open := t.Now(b.now, b.settings.Index)
	if began, _ := t.Now(b.startedAt, b.settings.Index); open && turn > cust.ceiling.lastTurn && turn > began {
		cust.ceiling.tokens = 1
	}
	return cust.ceiling.tokens
}

// hasWaitedForCounter says that a request has waited for as long as it may for the counter, or for a turn to call it.
func (b *Balancer) hasWaitedForCounter(req *request) bool {
	return (b.now - req.arrivedAt).Seconds() > req.timeLimit.Seconds()*crowdWait
}

// returnUnusedTokens gives back what a customer's lease has not used, with the next call, and fills its credit.
func (b *Balancer) returnUnusedTokens(cust *customer, plan *Plan, least float64) {
	if w := int64(
		b.now / counterWindow,
	); cust.quota.debtWindow != w { // what was taken of an older number can't be given back to this one
		cust.quota.debtWindow, cust.quota.debt = w, max(0, cust.quota.debt)
	}
	if cust.quota.tokens > 0 && !cust.quota.callPending && b.now-max(cust.quota.leasedAt, cust.quota.tokensValidFrom) > crowdLife {
		cust.quota.debt -= cust.quota.tokens
		cust.quota.tokens = 0
	}
	cust.quota.fallbackTokens, cust.quota.fallbackFilledAt = min(
		max(cust.quota.fallbackTokens, least, plan.Burst/cust.gateways),
		cust.quota.fallbackTokens+plan.Rate/cust.gateways*b.refillSeconds(cust.quota.fallbackFilledAt),
	), b.now
}

// spendTokensLargeFleet is spend where doors are many.
func (b *Balancer) spendTokensLargeFleet(req *request, plan *Plan) quotaDecision {
	cust := req.customer
	b.returnUnusedTokens(cust, plan, 0)
	switch {
	case cust.quota.tokens >= req.units && b.now >= cust.quota.tokensValidFrom:
		cust.quota.tokens -= req.units
		req.paidByCounter = true
		return quotaCovered
	case cust.quota.tokens >= req.units &&
		(cust.quota.tokensValidFrom-b.now).Seconds() <= req.timeLimit.Seconds()*maxCeilingWaitFraction,
		cust.quota.callPending:
		return quotaPending
	case req.counterCalled && b.now < cust.quota.callsPausedUntil && !b.hasWaitedForCounter(req): // the answer may come yet
		return quotaPending
	case b.canCallFor(req, 0):
		req.counterCalled = true
		b.leaseTokens(cust, plan, req.units, false)
		return quotaPending
	case req.clientRetry || b.now < cust.bucket.emptyUntil:
		return quotaExceeded
	case !req.counterCalled && !b.hasWaitedForCounter(req):
		return quotaPending
	case b.rng.Float64()*req.units < b.creditProbability(cust, plan):
		cust.quota.fallbackTokens -= req.units
		cust.quota.debt += req.units
		req.onCredit = true
		return quotaCovered
	}
	return quotaExceeded
}

// creditProbability is the chance that a request for which there is no call goes out unasked. A share of less than a
// unit is a unit by chance; and the longer a door has run, the more likely is a customer that it has not met, or not
// found empty, one of the
// many that stay well inside their quotas. Once for each customer, and again when its share has filled.
func (b *Balancer) creditProbability(cust *customer, plan *Plan) float64 {
	if cust.quota.fallbackTokens <= 0 {
		return 0
	}
	return max(cust.quota.fallbackTokens, min(creditMost, (b.now-b.startedAt).Seconds()*plan.Rate/cust.gateways*creditSoon))
}

// correctOverfull puts a store right that holds more than its burst. Where it is much, as when all doors have just
// started, many see it at
// once: the one whose call began the number does it; should that fail, one of those who ask leave of the counter.
func (b *Balancer) correctOverfull(cust *customer, call *counterCall, amount float64, began bool) {
	switch {
	case began || amount <= b.settings.Plans[cust.plan].Burst:
		b.callCounter(cust, 0, amount, 0)
	case b.hasSparseShares(cust, &b.settings.Plans[cust.plan]) || b.rng.Float64() < crowdFix:
		b.callCorrectionLock(cust, call.window, amount, 0)
	}
}

// overfullSlack is by how many bursts a store may be over its burst before a call is spent on it. Where a ceiling hangs
// on it, little.
func (b *Balancer) overfullSlack(cust *customer, plan *Plan) float64 {
	if b.hasSparseShares(cust, plan) {
		return manyOver
	}
	return crowdOver
}

// checkQuotaSparse decides for a request of a soft plan whose doors are many.
func (b *Balancer) checkQuotaSparse(req *request, plan *Plan, short, late bool) quotaDecision {
	cust := req.customer
	req.paidByCounter = false
	worth := max(
		1e-9,
		b.settings.Classes[req.class].PriorityWeight*plan.PriorityFactor*b.latency.classes[req.class].costProfile.Density(
			req.units,
		),
	)
	req.level = min(priorityBands-1, max(0, int(bandsPerHalving*math.Log2(b.maxPriority/worth))))
	b.returnUnusedTokens(cust, plan, 1)
	pressed := b.latency.fleetSlowdown > 1.5
	switch {
	case !short && cust.quota.fallbackTokens >= req.units:
		cust.quota.fallbackTokens -= req.units
		cust.quota.debt += req.units
		b.reserveCeiling(req, fromEvenShare)
	case cust.quota.tokens >= req.units && b.now >= cust.quota.tokensValidFrom:
		cust.quota.tokens -= req.units
		b.reserveCeiling(req, fromQuota)
	case cust.quota.callPending:
		return quotaPending
	case short && cust.quota.tokens >= req.units &&
		(cust.quota.tokensValidFrom-b.now).Seconds() <= req.timeLimit.Seconds()*maxCeilingWaitFraction:
		return quotaPending
	case short && req.counterCalled && b.now < cust.quota.callsPausedUntil && !b.hasWaitedForCounter(req):
		return quotaPending
	case cust.quota.tokens < req.units && (short && b.canCallFor(req, 0) || !short && pressed && b.canCallFor(req, callsSoft)):
		req.counterCalled = true
		b.leaseTokens(cust, plan, req.units, false)
		return quotaPending
	// for a turn to call
	case short && !req.counterCalled && !late && b.now >= max(cust.bucket.emptyUntil, cust.quota.callsPausedUntil) &&
		!b.hasWaitedForCounter(req):
		return quotaPending
	case !short:
		cust.quota.debt += req.units
		return quotaExceeded
	case late || req.admitOnly || (req.units-b.ceilingRoom(req,
		plan))*cust.gateways/(manyRate*(plan.CeilingRate-plan.Rate)) > req.timeLimit.Seconds()*maxCeilingWaitFraction:
		return quotaExceeded
	default:
		return quotaPending
	}
	req.withinQuota = true
	return quotaCovered
}

// reservationHorizon is how far ahead units are reserved. Of a hard plan it is as long as a request of any class may
// wait: what comes later would
// mostly lie unused, as the door may not meet the customer again for long.
func (b *Balancer) reservationHorizon(cust *customer, plan *Plan) time.Duration {
	least := promiseMost
	if b.hasSparseShares(cust, plan) {
		return least
	}
	for i := range b.settings.Classes {
		least = min(
			least,
			time.Duration(
				float64(
					cmp.Or(b.settings.Classes[i].LatencyObjective, b.settings.Classes[i].ClientTimeout),
				)*maxCeilingWaitFraction,
			),
		)
	}
	return least
}

// reserveAhead keeps what a call took of a store that did not hold it, where a door meets a customer so seldom that
// giving it back would cost a call each time: it may be spent when the store has gained it. What would take too long is
// given back, and the
// customer's doors, each pausing for a time of its own, ask a few times as often as there is a unit.
func (b *Balancer) reserveAhead(call *counterCall, has, got float64) {
	cust, plan := call.customer, &b.settings.Plans[call.customer.plan]
	lacks := call.block - has
	fills := time.Duration(lacks / plan.Rate * float64(time.Second))
	if fills <= b.reservationHorizon(cust, plan) && call.kind == forTokens && got < call.block {
		cust.quota.tokens += call.block - got // the rest is added by grant
		cust.quota.tokensValidFrom = b.now + fills
		cust.quota.debt += call.block + call.debt - call.amount
		call.amount = call.block + call.debt
		cust.bucket.emptyUntil = b.now + fills
		return
	}
	b.callCounter(cust, 0, got+call.debt-call.amount, 0)
	call.amount = got + call.debt
	pause := min(pauseMost.Seconds(), max(lacks, cust.gateways/pauseDoors)/plan.Rate) * (0.5 + b.rng.Float64())
	cust.bucket.emptyUntil = b.now + time.Duration(pause*float64(time.Second))
}
