package balancer

import (
	"cmp"
	"math"
	"time"

	"gapgap/internal/balancer/ceilinglease"
)

// Tuned values, ours.
const (
	manyDepth   = 4.0 // units: where a door's even share of a ceiling holds fewer, the doors are many
	crowdFrom   = 12  // doors
	crowdWait   = 0.2 // of its time that a request waits for the counter
	crowdLife   = 12 * time.Second
	crowdPart   = 4.0    // of a store that one lease may take
	callsStart  = 260.0  // calls a second of all doors at first ...
	callsLow    = 40.0   // ... and at least
	callsHigh   = 1000.0 // and of one at most
	callsDepth  = 4.0
	callsRetry  = 1.0
	callsSoft   = 1.5
	manyFirst   = 1.0  // units of a share that a door has at its start: what it had before may be spent
	manyRate    = 0.97 // part of the rate beyond the quota that shares give: the rest is for what a new window's number gives twice
	manyOver    = 0.25 // bursts over its burst at which the ledger is put right
	manyTakes   = 1.0  // bursts that the ledger may let out at once: (1+manyOver-manyKeep), and again with a new number
	manyKeep    = 0.75 // part of a burst that the ledger keeps back for the loss of the counter's numbers
	promiseMost = time.Second
	pauseDoors  = 2.0
	memberOf    = 16  // servers that a door uses as a rule, in the mean, where there are more
	creditMost  = 0.9 // chance ...
	creditSoon  = 4.0 // ... and in which part of the time it has that in which a door's share fills by a unit
	crowdOver   = 0.5 // bursts over its burst at which a store is put right
	crowdFix    = 0.1 // of the doors that see it and are not the first
	pauseMost   = 12 * time.Second
)

// hasSparseShares says that the doors of a customer are so many that each one's even share of the ceiling is a request or two. A plan that
// caps what is open at once too keeps its even shares: payMany counts nothing that is open.
func (d *Balancer) hasSparseShares(c *customer, p *Plan) bool {
	return d.isLargeFleet() && p.CeilingRate > p.Rate && p.Rate > 0 && p.MaxInFlight == 0 && p.CeilingBurst > manyTakes*p.Burst && d.leaseTerms[c.plan].Rate == 0 &&
		p.CeilingBurst/c.gateways < manyDepth && p.OverQuotaWeight > p.OverQuotaCost
}

// isLargeFleet says that the doors are so many that the counter can't serve a call for each request that a door can't pay, and a
// door meets most customers so seldom that a lease for them would lie unused.
func (d *Balancer) isLargeFleet() bool {
	return d.settings.UseCounter && !d.settings.LeaseCeilings && d.settings.Gateways >= crowdFrom // what is lent hangs on a ledger without reservations
}

// canCallFor says whether the counter may be called for a request. The calls that there are go first to those for which they
// decide most: a client's repeat was refused before, mostly for good reason, and a promotion only helps while servers are short.
func (d *Balancer) canCallFor(r *request, leaves float64) bool {
	c := r.customer
	if d.handedOver || r.counterCalled || d.now < max(c.storeEmptyUntil, c.callsPausedUntil) || len(d.callsOut) >= maxCallsOut {
		return false
	}
	if r.clientRetry {
		leaves += callsRetry
	}
	return d.callPacer.May(d.now, leaves)
}

// counterMayCover says whether the ledger may pay a request: a token is here, is asked for, or can be.
func (d *Balancer) counterMayCover(r *request, p *Plan) bool {
	c := r.customer
	return c.tokens >= r.units && (c.tokensValidFrom-d.now).Seconds() <= r.timeLimit.Seconds()*maxCeilingWaitFraction || c.callPending ||
		d.now >= max(c.storeEmptyUntil, c.callsPausedUntil)
}

// ceilingTurns are a customer's at the doors, where each one's share of what is beyond the quota is less than a unit.
func (d *Balancer) ceilingTurns(c *customer, p *Plan) (ceilinglease.Turns, bool) {
	return ceilinglease.TurnsOf(manyRate*(p.CeilingRate-p.Rate), p.CeilingBurst-manyTakes*p.Burst, c.gateways)
}

// refillTurn tells the share of a customer at a door that has turns. A door that has just begun may have used its turn before.
func (d *Balancer) refillTurn(c *customer, t ceilinglease.Turns) float64 {
	c.ceilingTokens, c.ceilingAt, c.ceilingKept = 0, d.now, 0
	turn, open := t.Now(d.now, d.settings.Index)
	if began, _ := t.Now(d.startedAt, d.settings.Index); open && turn > c.lastTurn && turn > began {
		c.ceilingTokens = 1
	}
	return c.ceilingTokens
}

// hasWaitedForCounter says that a request has waited for as long as it may for the counter, or for a turn to call it.
func (d *Balancer) hasWaitedForCounter(r *request) bool {
	return (d.now - r.arrivedAt).Seconds() > r.timeLimit.Seconds()*crowdWait
}

// returnUnusedTokens gives back what a customer's lease has not used, with the next call, and fills its credit.
func (d *Balancer) returnUnusedTokens(c *customer, p *Plan, least float64) {
	if w := int64(d.now / counterWindow); c.debtWindow != w { // what was taken of an older number can't be given back to this one
		c.debtWindow, c.debt = w, max(0, c.debt)
	}
	if c.tokens > 0 && !c.callPending && d.now-max(c.leasedAt, c.tokensValidFrom) > crowdLife {
		c.debt -= c.tokens
		c.tokens = 0
	}
	c.fallbackTokens, c.fallbackAt = min(max(c.fallbackTokens, least, p.Burst/c.gateways), c.fallbackTokens+p.Rate/c.gateways*d.refillSeconds(c.fallbackAt)), d.now
}

// spendTokensLargeFleet is spend where doors are many.
func (d *Balancer) spendTokensLargeFleet(r *request, p *Plan) quotaDecision {
	c := r.customer
	d.returnUnusedTokens(c, p, 0)
	switch {
	case c.tokens >= r.units && d.now >= c.tokensValidFrom:
		c.tokens -= r.units
		r.paidByCounter = true
		return quotaCovered
	case c.tokens >= r.units && (c.tokensValidFrom-d.now).Seconds() <= r.timeLimit.Seconds()*maxCeilingWaitFraction, c.callPending:
		return quotaPending
	case r.counterCalled && d.now < c.callsPausedUntil && !d.hasWaitedForCounter(r): // the answer may come yet
		return quotaPending
	case d.canCallFor(r, 0):
		r.counterCalled = true
		d.leaseTokens(c, p, r.units, false)
		return quotaPending
	case r.clientRetry || d.now < c.storeEmptyUntil:
		return quotaExceeded
	case !r.counterCalled && !d.hasWaitedForCounter(r):
		return quotaPending
	case d.rng.Float64()*r.units < d.creditProbability(c, p):
		c.fallbackTokens -= r.units
		c.debt += r.units
		r.onCredit = true
		return quotaCovered
	}
	return quotaExceeded
}

// creditProbability is the chance that a request for which there is no call goes out unasked. A share of less than a unit is a unit by
// chance; and the longer a door has run, the more likely is a customer that it has not met, or not found empty, one of the
// many that stay well inside their quotas. Once for each customer, and again when its share has filled.
func (d *Balancer) creditProbability(c *customer, p *Plan) float64 {
	if c.fallbackTokens <= 0 {
		return 0
	}
	return max(c.fallbackTokens, min(creditMost, (d.now-d.startedAt).Seconds()*p.Rate/c.gateways*creditSoon))
}

// correctOverfull puts a store right that holds more than its burst. Where it is much, as when all doors have just started, many see it at
// once: the one whose call began the number does it; should that fail, one of those who ask leave of the counter.
func (d *Balancer) correctOverfull(c *customer, k *counterCall, amount float64, began bool) {
	switch {
	case began || amount <= d.settings.Plans[c.plan].Burst:
		d.callCounter(c, 0, amount, 0)
	case d.hasSparseShares(c, &d.settings.Plans[c.plan]) || d.rng.Float64() < crowdFix:
		d.callCorrectionLock(c, k.window, amount, 0)
	}
}

// overfullSlack is by how many bursts a store may be over its burst before a call is spent on it. Where a ceiling hangs on it, little.
func (d *Balancer) overfullSlack(c *customer, p *Plan) float64 {
	if d.hasSparseShares(c, p) {
		return manyOver
	}
	return crowdOver
}

// checkQuotaSparse decides for a request of a soft plan whose doors are many.
func (d *Balancer) checkQuotaSparse(r *request, p *Plan, short, late bool) quotaDecision {
	c := r.customer
	r.paidByCounter = false
	worth := max(1e-9, d.settings.Classes[r.class].PriorityWeight*p.PriorityFactor*d.classes[r.class].costProfile.Density(r.units))
	r.level = min(priorityBands-1, max(0, int(bandsPerHalving*math.Log2(d.maxPriority/worth))))
	d.returnUnusedTokens(c, p, 1)
	pressed := d.fleetSlowdown > 1.5
	switch {
	case !short && c.fallbackTokens >= r.units:
		c.fallbackTokens -= r.units
		c.debt += r.units
		d.reserveCeiling(r, fromEvenShare)
	case c.tokens >= r.units && d.now >= c.tokensValidFrom:
		c.tokens -= r.units
		d.reserveCeiling(r, fromQuota)
	case c.callPending:
		return quotaPending
	case short && c.tokens >= r.units && (c.tokensValidFrom-d.now).Seconds() <= r.timeLimit.Seconds()*maxCeilingWaitFraction:
		return quotaPending
	case short && r.counterCalled && d.now < c.callsPausedUntil && !d.hasWaitedForCounter(r):
		return quotaPending
	case c.tokens < r.units && (short && d.canCallFor(r, 0) || !short && pressed && d.canCallFor(r, callsSoft)):
		r.counterCalled = true
		d.leaseTokens(c, p, r.units, false)
		return quotaPending
	case short && !r.counterCalled && !late && d.now >= max(c.storeEmptyUntil, c.callsPausedUntil) && !d.hasWaitedForCounter(r): // for a turn to call
		return quotaPending
	case !short:
		c.debt += r.units
		return quotaExceeded
	case late || r.admitOnly || (r.units-d.ceilingRoom(r, p))*c.gateways/(manyRate*(p.CeilingRate-p.Rate)) > r.timeLimit.Seconds()*maxCeilingWaitFraction:
		return quotaExceeded
	default:
		return quotaPending
	}
	r.withinQuota = true
	return quotaCovered
}

// reservationHorizon is how far ahead units are reserved. Of a hard plan it is as long as a request of any class may wait: what comes later would
// mostly lie unused, as the door may not meet the customer again for long.
func (d *Balancer) reservationHorizon(c *customer, p *Plan) time.Duration {
	least := promiseMost
	if d.hasSparseShares(c, p) {
		return least
	}
	for i := range d.settings.Classes {
		least = min(least, time.Duration(float64(cmp.Or(d.settings.Classes[i].LatencyObjective, d.settings.Classes[i].ClientTimeout))*maxCeilingWaitFraction))
	}
	return least
}

// reserveAhead keeps what a call took of a store that did not hold it, where a door meets a customer so seldom that giving it back
// would cost a call each time: it may be spent when the store has gained it. What would take too long is given back, and the
// customer's doors, each pausing for a time of its own, ask a few times as often as there is a unit.
func (d *Balancer) reserveAhead(k *counterCall, has, got float64) {
	c, p := k.customer, &d.settings.Plans[k.customer.plan]
	lacks := k.block - has
	fills := time.Duration(lacks / p.Rate * float64(time.Second))
	if fills <= d.reservationHorizon(c, p) && k.kind == forTokens && got < k.block {
		c.tokens += k.block - got // the rest is added by grant
		c.tokensValidFrom = d.now + fills
		c.debt += k.block + k.debt - k.amount
		k.amount = k.block + k.debt
		c.storeEmptyUntil = d.now + fills
		return
	}
	d.callCounter(c, 0, got+k.debt-k.amount, 0)
	k.amount = got + k.debt
	pause := min(pauseMost.Seconds(), max(lacks, c.gateways/pauseDoors)/p.Rate) * (0.5 + d.rng.Float64())
	c.storeEmptyUntil = d.now + time.Duration(pause*float64(time.Second))
}
