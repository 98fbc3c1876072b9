package balancer

import (
	"math"
	"slices"
	"time"

	"gapgap/internal/balancer/quotashare"
)

const (
	demandWindow        = 2 * time.Second         // demand is averaged over this
	leaseHorizon        = 1500 * time.Millisecond // demand that one lease should cover: few calls
	tokenLeaseTTL       = 3 * time.Second         // tokens not spent by then are given back with the next call
	renewAhead          = 300 * time.Millisecond  // demand the tokens left must cover, else the next is asked for
	minRenewRequests    = 2.0                     // requests in a lease's life from which the next lease is asked ahead
	extraLeaseFromLevel = 0.75                    // part of a store from which a lease may reach further ...
	extraLeasePerCost   = 400 * time.Second       // ... by this, times what a call for each request costs ...
	maxExtraLease       = 8 * time.Second         // ... but by no more than this
	inFlightSlack       = 0.5                     // attempts that other doors may have out beyond their mean
	overfullFraction    = 0.5                     // parts of a burst over its most at which a store is put right
	overfullLent        = 0.1                     // ... where the ceiling hangs on it
	minCarryFraction    = 0.05                    // ... and part of one from which it is carried into a window's number
	gatewaysPerRefill   = 4.0                     // doors that an empty store serves in the time it gains a unit
	maxEmptyPause       = 8 * time.Second         // and no door waits longer than this to ask again
	maxRequestsPerCall  = 3.0                     // requests that one call of a thin customer stands for at most
	pauseApart          = 0.6                     // of a pause, at least
)

// quotaDecision says how a request stands with its quota.
type quotaDecision int

const (
	quotaCovered quotaDecision = iota
	quotaPending
	quotaExceeded
)

// QuotaStatus is how a customer stands with its quota, by what this door knows.
type QuotaStatus struct {
	Remaining float64       // units that its store holds now
	FullIn    time.Duration // until the store is full again if nothing is taken
	Known     bool          // the counter has told of the store; else only this door's share is
}

// QuotaStatus tells how a customer stands. The second result says whether the door knows the customer.
func (b *Balancer) QuotaStatus(name string) (QuotaStatus, bool) {
	cust := b.customers[name]
	if cust == nil || b.settings.Plans[cust.plan].Rate <= 0 {
		return QuotaStatus{}, false
	}
	plan := &b.settings.Plans[cust.plan]
	left := cust.quota.fallbackTokens
	if cust.bucket.known {
		left = b.currentStoreLevel(cust, plan) + cust.quota.tokens
	}
	left = min(plan.Burst, max(0, left))
	return QuotaStatus{
		left,
		time.Duration((plan.Burst - left) / plan.Rate * float64(time.Second)),
		cust.bucket.known,
	}, true
}

// applyQuotaDecision carries a verdict out. The request must have left its customer's line: this may serve others of
// it.
func (b *Balancer) applyQuotaDecision(req *request, v quotaDecision) {
	if v == quotaExceeded {
		b.handleOverQuota(req)
	} else {
		b.assign(req)
	}
}

// serveWaiting decides for a customer's requests in the order they came, until one has to wait: for the counter's
// answer, for one of the customer's attempts to end, or for the ceiling's share to fill.
func (b *Balancer) serveWaiting(cust *customer) {
	for len(cust.waiting.requests) > 0 {
		req := cust.waiting.requests[0]
		if req.ended {
			cust.popWaiting(req)
			continue
		}
		v := b.checkQuota(req)
		if v == quotaPending {
			break
		}
		cust.popWaiting(req)
		b.applyQuotaDecision(req, v)
	}
	b.serveAdmitOnly(cust)
	if len(cust.waiting.requests) > 0 && !cust.waiting.listed {
		cust.waiting.listed = true
		b.waitingCustomers = append(b.waitingCustomers, cust)
	}
}

// serveAdmitOnly decides for what asks for leave only, past those that wait for the ceiling's share or for an
// attempt to end: it waits for nothing but the counter (ours: a proxy's own client is held up by it).
func (b *Balancer) serveAdmitOnly(cust *customer) {
	for i := 0; i < len(cust.waiting.requests) && cust.waiting.admitOnly > 0; i++ {
		req := cust.waiting.requests[i]
		if !req.admitOnly {
			continue
		}
		v := quotaPending
		if !req.ended {
			if v = b.checkQuota(req); v == quotaPending {
				continue
			}
		}
		cust.waiting.requests = slices.Delete(cust.waiting.requests, i, i+1)
		cust.waiting.admitOnly--
		if i = -1; !req.ended { // this may serve others, so the line is looked at anew
			b.applyQuotaDecision(req, v)
		}
	}
}

// checkQuota promotes a request whose units are in the local tokens (stage 2 of the paper). A request without quota
// keeps its level by worth.
func (b *Balancer) checkQuota(req *request) quotaDecision {
	cust, plan := req.customer, &b.settings.Plans[req.plan]
	late := (b.now-req.arrivedAt).Seconds()+b.expectedLatency(
		req,
		nil,
	) >= req.timeLimit.Seconds()*latencyHeadroomFraction
	full := plan.MaxInFlight > 0 && cust.inFlight >= b.inFlightLimit(req, plan)
	from, lent := fromEvenShare, b.ceilingLeaseTerms(req)
	short := req.units - b.ceilingRoom(req, plan)
	if b.hasSparseShares(cust, plan) {
		return b.checkQuotaSparse(req, plan, short > 0, late)
	}
	if full || short > 0 && lent == nil {
		fills := short / b.ceilingShare(cust, plan).Rate // seconds
		if late || req.admitOnly ||
			!full && plan.OverQuotaWeight > plan.OverQuotaCost &&
				fills > req.timeLimit.Seconds()*maxCeilingWaitFraction {
			return quotaExceeded
		}
		return quotaPending
	}
	worth := max(
		1e-9,
		b.settings.Classes[req.class].PriorityWeight*plan.PriorityFactor*b.latency.classes[req.class].costProfile.Density(
			req.units,
		),
	)
	band := min(priorityBands-1, max(0, int(bandsPerHalving*math.Log2(b.maxPriority/worth))))
	req.level = band
	if plan.Rate > 0 {
		switch v := b.spendTokens(req, plan, short > 0); {
		case v == quotaExceeded && lent != nil && b.leaseCeiling(req, lent, late) == quotaPending:
			return quotaPending
		case v != quotaCovered:
			return v
		case req.onCredit:
			req.level += priorityBands
		case lent != nil && req.paidByCounter && b.isStoreSettled(cust, plan):
			from = fromQuota
		}
	} else {
		if plan.MaxInFlight == 0 {
			req.level += priorityBands
		}
		if lent != nil {
			if v := b.leaseCeiling(req, lent, late); v != quotaCovered {
				return v
			}
			from = fromLease
		}
	}
	req.withinQuota = req.level < priorityBands
	b.reserveCeiling(req, from)
	return quotaCovered
}

// inFlightLimit is how many of a customer's requests may be under way here: this door's share of the cap, or, where
// the counter tells that the others have less, what their demand leaves (a departure: traffic is uneven).
func (b *Balancer) inFlightLimit(req *request, plan *Plan) int {
	share := b.inFlightShare(req.customer, plan)
	if req.customer.bucket.known && b.counter.callFraction > degradedCallFraction {
		share = max(
			share,
			float64(
				plan.MaxInFlight,
			)-req.customer.bucket.peerDemand/max(
				req.units,
				1,
			)*b.expectedLatency(
				req,
				nil,
			)-inFlightSlack-plan.OverQuotaCost,
		)
	}
	return max(1, int(share))
}

// inFlightShare is this door's part of a cap on what is open at once.
func (b *Balancer) inFlightShare(cust *customer, plan *Plan) float64 {
	if b.settings.LeasedShares && b.share.excluded {
		return 0
	}
	if !b.settings.LeasedShares || plan.PartitionPolicy != quotashare.KeepNone {
		return float64(plan.MaxInFlight) / cust.gateways
	}
	return float64(
		plan.MaxInFlight,
	) * quotashare.Among(
		b.share.lease.Open(b.now),
		cust.gateways,
		float64(b.settings.Gateways),
	)
}

// handleOverQuota decides for a request that no tokens pay.
func (b *Balancer) handleOverQuota(req *request) {
	plan := &b.settings.Plans[req.plan]
	full := plan.MaxInFlight > 0 && req.customer.inFlight >= b.inFlightLimit(req, plan)
	from, room := fromEvenShare, 0.0
	if t := b.ceilingLeaseTerms(req); t != nil {
		from, room = fromLease, req.customer.ceiling.lease.Has(
			*t,
			b.now,
			!req.admitOnly,
			req.customer.admitOnlyFraction(),
		)
	} else {
		room = b.ceilingRoom(req, plan)
	}
	if plan.OverQuotaWeight <= plan.OverQuotaCost || full || room < req.units {
		b.reject(req, b.refillTime(req.customer, plan, req.units), QuotaExceeded)
		return
	}
	req.level = lowestLevel
	b.reserveCeiling(req, from)
	b.assign(req)
}

// spendTokens takes units from the lease, else from this door's own share, and calls the counter for more. The
// store itself lies on the counter: all that leaves it, spent or overflowed, is added, so one call tells its
// level to a door that has never seen the customer. Only a part of the requests calls, as large as the
// counter can serve; each such call stands for the others too, and these go by the door's share, into debt by
// one request (a departure: at many doors a share is less than one). What was just seen empty is not asked
// again until the customer's doors, taken together, would find it filled.
// Where this door's share of the ceiling is short, only what the ledger gave counts, and only if the door has
// known that for a while.
func (b *Balancer) spendTokens(req *request, plan *Plan, short bool) quotaDecision {
	cust := req.customer
	req.paidByCounter = false
	if b.isLargeFleet() {
		return b.spendTokensLargeFleet(req, plan)
	}
	lent := b.leaseTerms[req.plan].Rate > 0
	life := tokenLeaseTTL
	if cust.bucket.known {
		life += b.extraLeaseTime(cust, plan)
	}
	if lent && short {
		life = shortLife
	}
	if cust.quota.tokens > 0 && !cust.quota.callPending && b.now-cust.quota.leasedAt > life {
		if !lent { // else it is lost: the ceiling hangs on no full store being given more
			cust.quota.debt -= cust.quota.tokens // what the store holds now may differ from what it held then
		}
		cust.quota.tokens = 0
	}
	b.refillFallback(cust, plan)
	calls := b.settings.UseCounter && !req.counterCalled && b.now >= max(cust.bucket.emptyUntil, cust.quota.callsPausedUntil) &&
		b.canCallCounter()
	switch {
	case short && !b.isStoreSettled(cust, plan):
		b.learnStore(cust)
		return quotaExceeded
	case cust.quota.tokens >= req.units:
		cust.quota.tokens -= req.units
		req.paidByCounter = true
		if use := cust.demand.rate * tokenLeaseTTL.Seconds(); calls && !cust.quota.callPending &&
			cust.quota.tokens < cust.demand.rate*renewAhead.Seconds() &&
			use >= minRenewRequests*req.units {
			b.leaseTokens(cust, plan, req.units, short)
		}
		return quotaCovered
	case !short && cust.quota.fallbackTokens+max(0, cust.quota.tokens) >= req.units:
		cust.quota.fallbackTokens -= req.units - max(0, cust.quota.tokens)
		cust.quota.debt += req.units - max(0, cust.quota.tokens)
		cust.quota.tokens = min(0, cust.quota.tokens)
		return quotaCovered
	case cust.quota.callPending:
		return quotaPending
	case calls && (b.rng.Float64() < b.counter.callFraction || cust.quota.fallbackTokens <= 0 && !req.clientRetry &&
		b.counter.callFraction > degradedCallFraction):
		req.counterCalled = true
		b.leaseTokens(cust, plan, req.units, short)
		return quotaPending
	case !short && b.now >= cust.bucket.emptyUntil && cust.quota.fallbackTokens > 0 && (!req.clientRetry ||
		!b.settings.UseCounter):
		cust.quota.fallbackTokens -= req.units
		req.onCredit = true
		return quotaCovered
	}
	return quotaExceeded
}

// extraLeaseTime is by how much a lease reaches further ahead where the customer's store is nearly full: units that
// no other door misses may lie here, the longer the more a call costs.
func (b *Balancer) extraLeaseTime(cust *customer, plan *Plan) time.Duration {
	full := max(0, b.currentStoreLevel(cust, plan)/plan.Burst-extraLeaseFromLevel) / (1 - extraLeaseFromLevel)
	return time.Duration(full * min(float64(maxExtraLease), b.settings.CounterCallCost*float64(extraLeasePerCost)))
}

// leaseTokens adds a block on the counter: the units, or what this door's demand will use. What goes out past this
// door's share of the ceiling must not be kept for long: the ceiling's store fills meanwhile.
func (b *Balancer) leaseTokens(cust *customer, plan *Plan, units float64, short bool) {
	ahead := leaseHorizon + b.extraLeaseTime(cust, plan)
	if short {
		ahead = shortLife
	}
	block := max(units, math.Floor(min(cust.demand.rate*ahead.Seconds(), b.currentStoreLevel(cust, plan)/cust.gateways)))
	cust.quota.callPending, b.counter.lastCallAt = true, b.now
	if short {
		b.learnStore(cust)
	}
	amount := block / max(b.counter.callFraction, 1/maxRequestsPerCall)
	if b.isLargeFleet() { // a door's requests are so few that each is counted
		block = max(units, math.Floor(min(cust.demand.rate*ahead.Seconds(), b.currentStoreLevel(cust, plan)/crowdPart)))
		amount = block
	}
	if cust.quota.lastCallLost ||
		!cust.bucket.known && b.leaseTerms[cust.plan].Rate > 0 { // it may be lost, or all doors take it at once
		block, amount = units, units
	}
	b.callCounter(cust, block, amount+cust.quota.debt, cust.quota.debt).short = short
	cust.quota.debt = 0
}

// creditLease turns a total, as it was at a time, into tokens. What the store held over its burst has overflowed,
// and what it seems to have gained over its rate since the last look the counter has lost: both are added, if
// worth a call and not of long ago. What the store did not hold is given back.
func (b *Balancer) creditLease(call *counterCall, total float64, at time.Duration) {
	cust := call.customer
	plan := &b.settings.Plans[cust.plan]
	held := plan.Burst + plan.Rate*(at-time.Duration(call.window)*counterWindow).Seconds() - total + call.amount
	most := plan.Burst
	if cust.bucket.known {
		most = b.currentStoreLevel(cust, plan)
		if gap := (b.now - cust.bucket.levelAt).Seconds(); gap > 0 && at == b.now {
			cust.bucket.peerDemand += (1 - math.Exp(-gap/demandWindow.Seconds())) * (max(0, most-held)/gap - cust.bucket.peerDemand)
		}
	}
	over := plan.Burst * overfullFraction
	if call.short {
		over = plan.Burst * overfullLent
	}
	switch {
	case at < b.now: // an old total puts nothing right
		held = min(held, most)
	// it knows nothing of the last number
	case cust.bucket.known && cust.bucket.seenWindow != call.window && b.leaseTerms[cust.plan].Rate == 0:
		if total <= call.amount+1e-6*math.Abs(call.amount) && held > most+plan.Burst*minCarryFraction {
			b.callCounter(cust, 0, held-most, 0) // it was this door's call that began it
		}
		held = min(held, most)
	case b.isLargeFleet(): // asks of other doors that were given back look like a gain: only much of it is put right
		most = plan.Burst * (1 + b.overfullSlack(cust, plan))
		if held > most {
			b.correctOverfull(cust, call, held-plan.Burst, total <= call.amount)
		}
		held = min(held, most)
	case held > most+over:
		most = min(most, b.storeAfterPeers(cust, call, total))
		held = b.correctStore(cust, call, held, most, total)
	}
	has := held - call.debt
	if b.hasSparseShares(cust, plan) {
		has -= manyKeep * plan.Burst
	}
	got := b.acceptedTokens(call, has)
	if got < call.block && b.isLargeFleet() {
		b.reserveAhead(call, has, got)
	} else if got < call.block {
		if b.evidenceScarcity() == 0 &&
			cust.demand.rate*tokenLeaseTTL.Seconds() >= minRenewRequests*call.block { // another call comes soon
			cust.quota.debt += got + call.debt - call.amount
		} else {
			b.callCounter(cust, 0, got+call.debt-call.amount, 0)
		}
		call.amount = got + call.debt
		pause := max(call.block-held, b.activeGateways(cust)/gatewaysPerRefill) / plan.Rate * b.pauseSpread(cust)
		cust.bucket.emptyUntil = b.now + min(maxEmptyPause, time.Duration(pause*float64(time.Second)))
	}
	if !cust.bucket.known {
		cust.bucket.known, cust.bucket.knownAt, cust.quota.fallbackTokens = true, b.now, min(cust.quota.fallbackTokens, 0)
	}
	cust.quota.tokens, cust.quota.leasedAt, cust.quota.lastCallLost = cust.quota.tokens+got, b.now, false
	if at < cust.bucket.levelAt {
		return // a later call has told more
	}
	if cust.bucket.seenWindow == call.window && cust.bucket.seenTotal-total > max(lostLeast*plan.Burst, cust.bucket.seenTotal/2) {
		cust.bucket.knownAt = b.now // the counter has lost its numbers: what it tells is to season anew
	}
	cust.bucket.seenWindow, cust.bucket.seenTotal = call.window, total
	cust.bucket.level, cust.bucket.levelAt = max(held-call.amount, -plan.Burst/2), at
}

// acceptedTokens is what a door takes of a block, of which the store has so much. Where the ceiling is lent tokens are
// not given back, so a part of a
// unit stays in the store: here it would mostly lie until it is lost.
func (b *Balancer) acceptedTokens(call *counterCall, has float64) float64 {
	got := max(0, min(call.block, has))
	if got < call.block && b.leaseTerms[call.customer.plan].Rate > 0 {
		got = min(got, max(0, math.Floor(got+call.customer.quota.tokens)-call.customer.quota.tokens))
	}
	return got
}

// refillFallback fills what this door holds of a customer's quota for when the counter does not say: its even part, for
// good, or what is leased
// where the plan yields.
func (b *Balancer) refillFallback(cust *customer, plan *Plan) {
	part := 1 / cust.gateways
	if b.settings.LeasedShares && plan.PartitionPolicy == quotashare.KeepNone && plan.CeilingRate > 0 {
		if part = quotashare.Among(b.share.lease.Part(b.now), cust.gateways, float64(b.settings.Gateways)); b.share.excluded {
			part = 0
		}
		cust.quota.fallbackTokens = min(cust.quota.fallbackTokens, plan.Burst*part)
	}
	fill := plan.Rate * part * (1 - b.counter.callFraction) * b.refillSeconds(cust.quota.fallbackFilledAt)
	cust.quota.fallbackTokens, cust.quota.fallbackFilledAt = min(
		max(cust.quota.fallbackTokens, plan.Burst*part),
		cust.quota.fallbackTokens+fill,
	), b.now
}

// refillTime is the time until the customer's store should hold the units.
func (b *Balancer) refillTime(cust *customer, plan *Plan, units float64) time.Duration {
	return time.Duration(max(0.01, (units-b.currentStoreLevel(cust, plan))/max(plan.Rate, 0.1)) * float64(time.Second))
}

// quotaMayCover says whether a request may be inside the quota, by what this door knows.
func (b *Balancer) quotaMayCover(req *request, plan *Plan) bool {
	return plan.Rate > 0 &&
		(req.customer.quota.tokens >= req.units || req.customer.quota.callPending || b.now >= req.customer.bucket.emptyUntil)
}

// currentStoreLevel is what the customer's store should hold now.
func (b *Balancer) currentStoreLevel(cust *customer, plan *Plan) float64 {
	return min(plan.Burst, cust.bucket.level+plan.Rate*(b.now-cust.bucket.levelAt).Seconds())
}

// activeGateways is how many doors a customer's demand is taken to come through: all that it names, or, where its
// ceiling is lent,
// as many as what the others were seen to add speaks for.
func (b *Balancer) activeGateways(cust *customer) float64 {
	if b.leaseTerms[cust.plan].Rate == 0 {
		return cust.gateways
	}
	return min(cust.gateways, 1+cust.bucket.peerDemand*cust.gateways/max(b.settings.Plans[cust.plan].Rate, cust.bucket.peerDemand))
}

// pauseSpread is by what a pause is longer after which an empty store is looked at again. Doors that lend look each at
// its own time: else the same one
// would find each unit first, for as long as all keep to their pace.
func (b *Balancer) pauseSpread(cust *customer) float64 {
	if b.leaseTerms[cust.plan].Rate == 0 {
		return 1
	}
	return pauseApart + 2*(1-pauseApart)*b.rng.Float64()
}
