package balancer

// The decisions of a door. The types are in api.go. The mechanism is that of J. Andersson and M. Kihl, "Load
// Balancing and Admission Control of a Parlay X Application Server", NTS 17, 2004, sections 3.1 and 4: a
// token bucket promotes what the contract guarantees (stage 2), round robin picks a server (stage 3),
// and tests of measured latency against the time limit decide what is released and what is refused (stage 4).
//
// The path of a request: admit -> serve/pay (tokens of a lease promote it) -> place (a server's level queue)
// -> fill/pick (a slot frees: stale test EQ 3, level sum EQ 4) -> send (guards) -> outcome -> retry or end.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gapgap/internal/balancer/slowstart"
)

// Tuned values. Where no source is named, they are ours and were compared on simulated days only.
const (
	latencyHeadroomFraction     = 0.9                     // f of EQ 3 and EQ 4 (the design page)
	queueShareOfDeadline        = 0.5                     // share of tau*f that the open levels may be expected to take
	joinShareOfDeadline         = 0.8                     // ... and that a request of the top level may on joining
	priorityBands               = 6                       // levels by worth ...
	bandsPerHalving             = 2                       // ... and how many of them halve it
	lowestLevel                 = 2 * priorityBands       // level of what is beyond a soft quota; promoted bands come first
	initialLatencyFraction      = 0.1                     // latency before the first answer, as a share of the aim
	meanLatencyGain             = 0.03                    // weight of an answer in a class's mean latency: a second's worth
	latencyFactorGain           = 0.15                    // weight of an answer in a server's slowness against its peers
	currentEvidenceRate         = 1.0                     // answers a second of each server that make what is known current
	fleetSlowdownSeconds        = 2.0                     // else the answers of all servers are averaged over these seconds ...
	fleetSlowdownMaxGain        = 0.2                     // ... one weighing this at most ...
	fleetSlowdownMax            = 4.0                     // ... and counting as this many of its class's means ...
	fleetSlowdownRejected       = 6.0                     // ... a refusal by a server as these
	shedFromFraction            = 0.4                     // part of tau*f that waiting in servers takes when some are refused
	shedAllFraction             = 0.8                     // ... and at which all are ...
	shedMaxProbability          = 0.97                    // ... but for a few, whose answers tell when it is over
	shedLevelSlope              = 1.5                     // what the lowest level adds to that part, as a multiple
	shortageGain                = 0.02                    // weight of a request in the part that finds no free place ...
	shortageShedFactor          = 2.0                     // ... and over how much of it nothing beyond a quota is sent
	zonePenaltyMin              = 1.05                    // what a server of another zone counts for in the choice ...
	zonePenaltyPerCost          = 30.0                    // ... and by how much more, times the price of a crossing
	initialConcurrency          = 4.0                     // slots of a server at first, over all doors
	maxConcurrency              = 32.0                    // slots at most
	minConcurrency              = 0.1                     // and at least: under one, pauses between sends
	concurrencyIncrease         = 0.5                     // slots gained by each answer in time, over the slots
	shrinkDeadlineFraction      = 0.4                     // slots shrink when latency is over this share of tau*f ...
	shrinkLatencyRatio          = 2.2                     // ... or this many times an idle fleet's latency, and grow ...
	growLatencyFraction         = 0.7                     // ... while it is under this share of both ("well under")
	minimalConcurrency          = 3.0                     // slots over all doors at which waiting can't explain latency
	idleLatencyMinAnswers       = 30                      // answers from which a mean can be a floor
	idleLatencyGain             = 0.015                   // weight of an answer by which the idle latency then rises
	lateDecrease                = 0.93                    // factor for each late answer
	timeoutDecrease             = 0.8                     // factor for an attempt out of time: it may still hold its place
	rejectedDecrease            = 0.7                     // factor for a refusal or a broken connection
	leaseHorizon                = 1500 * time.Millisecond // demand that one lease should cover: few calls
	inFlightSlack               = 0.5                     // attempts that other doors may have out beyond their mean
	minAdmitOnlyFraction        = 0.01                    // part of the demand from which some of the ceiling is kept for leave
	maxCeilingWaitFraction      = 0.3                     // part of its time that a request waits for the ceiling's share
	extraLeaseFromLevel         = 0.75                    // part of a store from which a lease may reach further ...
	extraLeasePerCost           = 400 * time.Second       // ... by this, times what a call for each request costs ...
	maxExtraLease               = 8 * time.Second         // ... but by no more than this
	renewAhead                  = 300 * time.Millisecond  // demand the tokens left must cover, else the next is asked for
	demandWindow                = 2 * time.Second         // demand is averaged over this
	tokenLeaseTTL               = 3 * time.Second         // tokens not spent by then are given back with the next call
	counterWindow               = 30 * time.Second        // a counter's name serves this long ...
	counterTTL                  = 50 * time.Second        // ... and is kept this long (the counter keeps nothing over 60 s)
	maxCallsOut                 = 32                      // counter calls out at once
	maxRequestsPerCall          = 3.0                     // requests that one call of a thin customer stands for at most
	minCallFraction             = 0.1                     // part of the requests without tokens that call, at least
	callLatencyTarget           = 0.7                     // part of its time-out that a call should take at most ...
	callFractionGrowth          = 0.2                     // ... else fewer call; growth of their part by an instant answer
	callFractionDecrease        = 0.8                     // factor for each call failed
	overfullFraction            = 0.5                     // parts of a burst over its most at which a store is put right
	minCarryFraction            = 0.05                    // ... and part of one from which it is carried into a window's number
	gatewaysPerRefill           = 4.0                     // doors that an empty store serves in the time it gains a unit
	maxEmptyPause               = 8 * time.Second         // and no door waits longer than this to ask again
	degradedCallFraction        = 0.2                     // part at which the counter is taken to be silent or swamped
	counterProbePause           = 100 * time.Millisecond  // pause between calls that then test it, at least ...
	counterProbePausePerGateway = 5 * time.Millisecond    // ... and for each door
	minRenewRequests            = 2.0                     // requests in a lease's life from which the next lease is asked ahead
	tickInterval                = 20 * time.Millisecond   // pace of the checks that no event brings
	stallThreshold              = 5 * tickInterval        // a check that comes so late says that this door stood still
	maxConnectionFailures       = 3                       // broken connections in a row at which a server is left out
	silenceLatencies            = 12.0                    // waits of all attempts out, in latencies, that mean silence ...
	minSilence                  = 200 * time.Millisecond  // and no silence is shorter than this
	maxSilencePerAttempt        = 5.0                     // ... one attempt adding no more (it may be a costly one)
	firstProbePause             = 400 * time.Millisecond  // pause before the first trial of an ejected server
	maxProbePause               = 2 * time.Second         // and the longest later one
	probePausePerGateway        = 50 * time.Millisecond   // ... and for each door
	probeTimeLatencies          = 7.0                     // latencies of time that a request must have to serve as a trial ...
	probeTimeoutLatencies       = 4.0                     // ... and that the trial may take of it
	restartSilence              = 2 * time.Second         // a server silent for longer may have been started anew
	warmRateSeconds             = 3.0                     // seconds over which the sends to a warm server are averaged
	adminRestoreSpread          = 2 * time.Second         // with few doors, a server back by hand is used within this
	reportedTimeouts            = 2                       // answers owed as which another door's word on a silence counts
	customerTTL                 = 60 * time.Second        // an idle customer is forgotten
	retryWriteMargin            = 20 * time.Millisecond   // a repeat is written whole so long before its window ends
)

// start sets what a door takes for granted before it has seen anything.
func (b *Balancer) start() {
	b.fleetSlowdown = 1
	if b.settings.UseCounter {
		b.callFraction = 1
	}
	b.emit(SetTimer{b.now + tickInterval, 0})
	if b.settings.PollEndpoints {
		b.emit(WatchEndpoints{})
	}
}

// admit takes a request in. Its tau is the time left, bounded by the aim where a late answer earns nothing
// (a departure: the paper knows one limit; here the client waits longer than the answer has worth).
func (b *Balancer) admit(ev Request) {
	if b.requests[ev.ID] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(b.settings.Classes) || ev.Plan < 0 || ev.Plan >= len(b.settings.Plans) {
		b.emit(Reject{ID: ev.ID, Reason: UnknownClass})
		return
	}
	if b.rejectIfTableFull(ev) {
		return
	}
	class := &b.settings.Classes[ev.Class]
	req := &request{id: ev.ID, class: ev.Class, plan: ev.Plan, units: max(0, ev.Units), arrivedAt: b.now, timeLimit: ev.TimeLeft,
		maxAttempts: b.settings.MaxAttempts, clientRetry: ev.ClientRetry, admitOnly: ev.AdmitOnly, holdFor: ev.HoldFor}
	if class.LateWeightFraction == 0 && class.LatencyObjective > 0 {
		req.timeLimit = min(req.timeLimit, class.LatencyObjective)
	}
	// What a door finds after it stood still has waited: first tries of a class have the same time at first.
	b.classes[ev.Class].maxTimeLeft = max(b.classes[ev.Class].maxTimeLeft, ev.TimeLeft)
	if b.now-b.previousStepAt > stallThreshold && !ev.ClientRetry {
		req.timeLimit = min(req.timeLimit, class.LatencyObjective-min(b.now-b.previousStepAt, b.classes[ev.Class].maxTimeLeft-ev.TimeLeft))
	}
	req.customer, req.cost = b.customerFor(ev), b.classes[ev.Class].costProfile.Of(ev.Units)
	b.requests[req.id] = req
	if req.timeLimit.Seconds() <= b.expectedLatency(req, nil)/2 {
		b.reject(req, 0, InsufficientTime)
		return
	}
	if !req.admitOnly { // a grant is given or refused now, but for the counter's answer
		b.emit(SetTimer{b.now + req.timeLimit - b.settings.Resolution, req.id<<1 | 1})
	}
	req.customer.lastUsedAt = b.now
	gap := (b.now - req.customer.demandAt).Seconds() / demandWindow.Seconds()
	req.customer.demand = req.customer.demand*math.Exp(-gap) + req.units/demandWindow.Seconds()
	if req.customer.admitOnlyDemand *= math.Exp(-gap); req.admitOnly {
		req.customer.admitOnlyDemand += req.units / demandWindow.Seconds()
	}
	req.customer.demandAt = b.now
	// A line for the ceiling must stay short, or each that still goes out of it is nearly late; and what is
	// worth less leaves the room to what is worth more. What asks for leave only has no line to join.
	line := req.timeLimit.Seconds() * maxCeilingWaitFraction * class.PriorityWeight / b.maxClassWeight
	if req.admitOnly {
		line = 0
	}
	if fills := b.ceilingWait(req); fills > line {
		b.reject(req, time.Duration(fills*float64(time.Second)), CeilingExceeded)
		return
	}
	if req.admitOnly {
		if v := b.checkQuota(req); v != quotaPending {
			b.applyQuotaDecision(req, v)
			return
		}
	}
	req.customer.waiting = append(req.customer.waiting, req)
	if req.admitOnly {
		req.customer.admitOnlyWaiting++
		b.emit(SetTimer{b.now + req.timeLimit - b.settings.Resolution, req.id<<1 | 1})
	}
	b.serveWaiting(req.customer)
}

// applyQuotaDecision carries a verdict out. The request must have left its customer's line: this may serve others of it.
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
	for len(cust.waiting) > 0 {
		req := cust.waiting[0]
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
	if len(cust.waiting) > 0 && !cust.inWaitingList {
		cust.inWaitingList = true
		b.waitingCustomers = append(b.waitingCustomers, cust)
	}
}

// serveAdmitOnly decides for what asks for leave only, past those that wait for the ceiling's share or for an
// attempt to end: it waits for nothing but the counter (ours: a proxy's own client is held up by it).
func (b *Balancer) serveAdmitOnly(cust *customer) {
	for i := 0; i < len(cust.waiting) && cust.admitOnlyWaiting > 0; i++ {
		req := cust.waiting[i]
		if !req.admitOnly {
			continue
		}
		v := quotaPending
		if !req.ended {
			if v = b.checkQuota(req); v == quotaPending {
				continue
			}
		}
		cust.waiting = slices.Delete(cust.waiting, i, i+1)
		cust.admitOnlyWaiting--
		if i = -1; !req.ended { // this may serve others, so the line is looked at anew
			b.applyQuotaDecision(req, v)
		}
	}
}

// checkQuota promotes a request whose units are in the local tokens (stage 2 of the paper). A request without quota
// keeps its level by worth.
func (b *Balancer) checkQuota(req *request) quotaDecision {
	cust, plan := req.customer, &b.settings.Plans[req.plan]
	late := (b.now-req.arrivedAt).Seconds()+b.expectedLatency(req, nil) >= req.timeLimit.Seconds()*latencyHeadroomFraction
	full := plan.MaxInFlight > 0 && cust.inFlight >= b.inFlightLimit(req, plan)
	from, lent := fromEvenShare, b.ceilingLeaseTerms(req)
	short := req.units - b.ceilingRoom(req, plan)
	if b.hasSparseShares(cust, plan) {
		return b.checkQuotaSparse(req, plan, short > 0, late)
	}
	if full || short > 0 && lent == nil {
		fills := short / b.ceilingShare(cust, plan).Rate // seconds
		if late || req.admitOnly || !full && plan.OverQuotaWeight > plan.OverQuotaCost && fills > req.timeLimit.Seconds()*maxCeilingWaitFraction {
			return quotaExceeded
		}
		return quotaPending
	}
	worth := max(1e-9, b.settings.Classes[req.class].PriorityWeight*plan.PriorityFactor*b.classes[req.class].costProfile.Density(req.units))
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
	if req.customer.storeKnown && b.callFraction > degradedCallFraction {
		share = max(share, float64(plan.MaxInFlight)-req.customer.peerDemand/max(req.units, 1)*b.expectedLatency(req, nil)-inFlightSlack-plan.OverQuotaCost)
	}
	return max(1, int(share))
}

// handleOverQuota decides for a request that no tokens pay.
func (b *Balancer) handleOverQuota(req *request) {
	plan := &b.settings.Plans[req.plan]
	full := plan.MaxInFlight > 0 && req.customer.inFlight >= b.inFlightLimit(req, plan)
	from, room := fromEvenShare, 0.0
	if t := b.ceilingLeaseTerms(req); t != nil {
		from, room = fromLease, req.customer.ceilingLease.Has(*t, b.now, !req.admitOnly, req.customer.admitOnlyFraction())
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
	if cust.storeKnown {
		life += b.extraLeaseTime(cust, plan)
	}
	if lent && short {
		life = shortLife
	}
	if cust.tokens > 0 && !cust.callPending && b.now-cust.leasedAt > life {
		if !lent { // else it is lost: the ceiling hangs on no full store being given more
			cust.debt -= cust.tokens // what the store holds now may differ from what it held then
		}
		cust.tokens = 0
	}
	b.refillFallback(cust, plan)
	calls := b.settings.UseCounter && !req.counterCalled && b.now >= max(cust.storeEmptyUntil, cust.callsPausedUntil) && b.canCallCounter()
	switch {
	case short && !b.isStoreSettled(cust, plan):
		b.learnStore(cust)
		return quotaExceeded
	case cust.tokens >= req.units:
		cust.tokens -= req.units
		req.paidByCounter = true
		if use := cust.demand * tokenLeaseTTL.Seconds(); calls && !cust.callPending && cust.tokens < cust.demand*renewAhead.Seconds() &&
			use >= minRenewRequests*req.units {
			b.leaseTokens(cust, plan, req.units, short)
		}
		return quotaCovered
	case !short && cust.fallbackTokens+max(0, cust.tokens) >= req.units:
		cust.fallbackTokens -= req.units - max(0, cust.tokens)
		cust.debt += req.units - max(0, cust.tokens)
		cust.tokens = min(0, cust.tokens)
		return quotaCovered
	case cust.callPending:
		return quotaPending
	case calls && (b.rng.Float64() < b.callFraction || cust.fallbackTokens <= 0 && !req.clientRetry && b.callFraction > degradedCallFraction):
		req.counterCalled = true
		b.leaseTokens(cust, plan, req.units, short)
		return quotaPending
	case !short && b.now >= cust.storeEmptyUntil && cust.fallbackTokens > 0 && (!req.clientRetry || !b.settings.UseCounter):
		cust.fallbackTokens -= req.units
		req.onCredit = true
		return quotaCovered
	}
	return quotaExceeded
}

// canCallCounter says that the counter can be asked: it answers, or this door's turn to test it has come.
func (b *Balancer) canCallCounter() bool {
	pause := max(counterProbePause, time.Duration(b.liveGateways())*counterProbePausePerGateway)
	return !b.handedOver && len(b.callsOut) < maxCallsOut && (b.callFraction > degradedCallFraction || b.now-b.lastCounterCallAt >= pause)
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
	block := max(units, math.Floor(min(cust.demand*ahead.Seconds(), b.currentStoreLevel(cust, plan)/cust.gateways)))
	cust.callPending, b.lastCounterCallAt = true, b.now
	if short {
		b.learnStore(cust)
	}
	amount := block / max(b.callFraction, 1/maxRequestsPerCall)
	if b.isLargeFleet() { // a door's requests are so few that each is counted
		block = max(units, math.Floor(min(cust.demand*ahead.Seconds(), b.currentStoreLevel(cust, plan)/crowdPart)))
		amount = block
	}
	if cust.lastCallLost || !cust.storeKnown && b.leaseTerms[cust.plan].Rate > 0 { // it may be lost, or all doors take it at once
		block, amount = units, units
	}
	b.callCounter(cust, block, amount+cust.debt, cust.debt).short = short
	cust.debt = 0
}

// handleCounterResult settles a call. The counter's state shows in its answers alone: each in time lets a larger part of
// the requests call, each late or failed one a smaller.
func (b *Balancer) handleCounterResult(ev CounterResult) {
	call := b.takeCall(ev.Name)
	if call == nil {
		return
	}
	if ev.Status == OK {
		b.callPacer.Answered(b.now, b.now-call.sentAt)
	} else if ev.Status != Failed {
		b.callPacer.Failed(b.now, call.sentAt)
	}
	if ev.Status == Failed { // the counter lives, and this says nothing of how much it bears
	} else if ev.Status != OK {
		if call.sentAt >= b.callFractionCutAt { // the calls of one connection end together, and say no more than one of them
			b.callFraction, b.callFractionCutAt = max(minCallFraction, b.callFraction*callFractionDecrease), b.now
		}
	} else {
		took := (b.now - call.sentAt).Seconds() / b.settings.CounterTimeout.Seconds()
		b.callFraction = min(1, max(degradedCallFraction, b.callFraction*(1+callFractionGrowth*(1-took/callLatencyTarget))))
	}
	b.recordCallOutcome(ev.Status == OK)
	if call.kind == forTest {
		return
	}
	if t := b.leaseTerms[call.customer.plan]; call.kind == forLease {
		if ev.Status == OK {
			call.customer.ceilingLease.Answered(t, b.now, call.window, call.block, ev.Total)
		} else {
			call.customer.ceilingLease.Failed(b.now, counterProbePause)
		}
	} else if call.kind != forTokens {
		b.handleStoreCall(call, ev)
	} else if call.block > 0 {
		call.customer.callPending = false
		switch ev.Status {
		case OK:
			b.creditLease(call, ev.Total, b.now)
		case Failed: // all was added, and no units come of the block: it is given back
			call.customer.debt -= call.block
			call.customer.allowAnotherCall()
		case Timeout:
			b.handleCallTimeout(call)
		default:
			call.customer.debt += call.debt
		}
	}
	b.serveWaiting(call.customer)
}

// creditLease turns a total, as it was at a time, into tokens. What the store held over its burst has overflowed,
// and what it seems to have gained over its rate since the last look the counter has lost: both are added, if
// worth a call and not of long ago. What the store did not hold is given back.
func (b *Balancer) creditLease(call *counterCall, total float64, at time.Duration) {
	cust := call.customer
	plan := &b.settings.Plans[cust.plan]
	held := plan.Burst + plan.Rate*(at-time.Duration(call.window)*counterWindow).Seconds() - total + call.amount
	most := plan.Burst
	if cust.storeKnown {
		most = b.currentStoreLevel(cust, plan)
		if gap := (b.now - cust.storeLevelAt).Seconds(); gap > 0 && at == b.now {
			cust.peerDemand += (1 - math.Exp(-gap/demandWindow.Seconds())) * (max(0, most-held)/gap - cust.peerDemand)
		}
	}
	over := plan.Burst * overfullFraction
	if call.short {
		over = plan.Burst * overfullLent
	}
	switch {
	case at < b.now: // an old total puts nothing right
		held = min(held, most)
	case cust.storeKnown && cust.seenWindow != call.window && b.leaseTerms[cust.plan].Rate == 0: // it knows nothing of the last number
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
		if b.evidenceScarcity() == 0 && cust.demand*tokenLeaseTTL.Seconds() >= minRenewRequests*call.block { // another call comes soon
			cust.debt += got + call.debt - call.amount
		} else {
			b.callCounter(cust, 0, got+call.debt-call.amount, 0)
		}
		call.amount = got + call.debt
		pause := max(call.block-held, b.activeGateways(cust)/gatewaysPerRefill) / plan.Rate * b.pauseSpread(cust)
		cust.storeEmptyUntil = b.now + min(maxEmptyPause, time.Duration(pause*float64(time.Second)))
	}
	if !cust.storeKnown {
		cust.storeKnown, cust.storeKnownAt, cust.fallbackTokens = true, b.now, min(cust.fallbackTokens, 0)
	}
	cust.tokens, cust.leasedAt, cust.lastCallLost = cust.tokens+got, b.now, false
	if at < cust.storeLevelAt {
		return // a later call has told more
	}
	if cust.seenWindow == call.window && cust.seenTotal-total > max(lostLeast*plan.Burst, cust.seenTotal/2) {
		cust.storeKnownAt = b.now // the counter has lost its numbers: what it tells is to season anew
	}
	cust.seenWindow, cust.seenTotal = call.window, total
	cust.storeLevel, cust.storeLevelAt = max(held-call.amount, -plan.Burst/2), at
}

// refillCeiling fills and tells this door's share of the customer's ceiling: rate and depth divided by the doors. A
// fresh door may have spent its share before it was restarted, so it starts empty.
func (b *Balancer) refillCeiling(cust *customer, plan *Plan) float64 {
	if plan.CeilingRate == 0 {
		return math.Inf(1)
	}
	b.expireLoans(cust, plan)
	own := b.ceilingShare(cust, plan)
	if b.hasSparseShares(cust, plan) {
		own.Rate = manyRate * (plan.CeilingRate - plan.Rate) / cust.gateways
		own.Depth = (plan.CeilingBurst - manyTakes*plan.Burst) / cust.gateways
		if t, ok := b.ceilingTurns(cust, plan); ok {
			return b.refillTurn(cust, t)
		}
	}
	cust.ceilingTokens += own.Rate * b.refillSeconds(cust.ceilingAt)
	cust.ceilingTokens = min(cust.ceilingTokens, own.Depth)
	if g := cust.admitOnlyFraction(); g > 0 {
		cust.ceilingKept += g * own.Rate * b.refillSeconds(cust.ceilingAt)
		cust.ceilingKept = max(0, min(cust.ceilingKept, cust.ceilingTokens, max(1, g*own.Depth)))
	} else {
		cust.ceilingKept = 0
	}
	cust.ceilingAt = b.now
	return cust.ceilingTokens
}

// admitOnlyFraction is the part of a customer's demand that asks for leave only.
func (cust *customer) admitOnlyFraction() float64 {
	if cust.admitOnlyDemand < minAdmitOnlyFraction*cust.demand {
		return 0
	}
	return min(1, cust.admitOnlyDemand/cust.demand)
}

// ceilingRoom is how much of this door's share of the ceiling a request can have now. What asks for leave joins no
// line, those would take all of the share under a flood: by its part of the demand some is kept.
func (b *Balancer) ceilingRoom(req *request, plan *Plan) float64 {
	have := b.refillCeiling(req.customer, plan)
	if req.admitOnly {
		return max(req.customer.ceilingKept, have-req.customer.ceilingQueued)
	}
	return have - req.customer.ceilingKept - req.customer.ceilingQueued
}

// expectedLatency is the time an answer takes, by recent ones: the class's mean times size and the server's slowness.
func (b *Balancer) expectedLatency(req *request, ep *endpoint) float64 {
	if req.admitOnly {
		return 0
	}
	if ep != nil {
		return b.classes[req.class].meanLatency * req.cost * ep.latencyFactor
	}
	return b.classes[req.class].meanLatency * req.cost
}

// evidenceScarcity says from 0 to 1 how little a door learns of one server by its own sends.
func (b *Balancer) evidenceScarcity() float64 {
	return 1 - min(1, b.warmEndpointRate/currentEvidenceRate)
}

// selectEndpoint picks a server: round robin, passing over one on which more work waits for its weight and speed, and
// one in its pause. Where a door sends to each so rarely that what it knows is old or luck, chance has a part
// (a departure: then all doors together give each server by its weight and speed; none is found by all).
func (b *Balancer) selectEndpoint(req *request) *endpoint {
	var best *endpoint
	low, chance := math.Inf(1), b.evidenceScarcity()
	b.roundRobin++
	for i := range b.endpointOrder {
		ep := b.endpointOrder[(b.roundRobin+i)%len(b.endpointOrder)]
		if !ep.isUsable() || !b.canRetryOn(req, ep) {
			continue
		}
		cost := (ep.inFlightWork + ep.queuedWork + 1) * ep.latencyFactor / (ep.weight * b.capacityFraction(ep))
		if ep.zone != b.settings.Zone {
			cost *= zonePenaltyMin + zonePenaltyPerCost*b.settings.CrossZoneCost
		}
		if chance > 0 {
			cost *= 1 - chance + chance*b.rng.ExpFloat64()
		}
		if !ep.inSubset {
			cost += 500 // before one that is not free
		}
		if ep.overdue { // else the warm ones might take all for seconds
			cost = 0
		}
		if !b.hasFreeSlot(ep) {
			cost = cost*10/min(1, ep.concurrencyLimit) + 1e3
		}
		if b.slowStartExhausted(ep) {
			cost += 1e6
		}
		if cost < low-1e-9 {
			best, low = ep, cost
		}
	}
	return best
}

// canRetryOn says whether a request that may have run can go to a server (rule 2).
func (b *Balancer) canRetryOn(req *request, ep *endpoint) bool {
	if !req.mayHaveRun {
		return true
	}
	class := &b.settings.Classes[req.class]
	if class.Idempotency != IdempotentByKey {
		return class.Idempotency == Idempotent
	}
	return b.now < b.retryDeadline(req) && (class.DedupScope == DedupAll ||
		ep.zone == req.firstRunOn.zone && (class.DedupScope == DedupZone || ep.cell == req.firstRunOn.cell))
}

// retryDeadline is when the window ends in which a repeat of a keyed request is known for one, less its way there.
func (b *Balancer) retryDeadline(req *request) time.Duration {
	return req.firstRunAt + b.settings.Classes[req.class].DedupWindow - retryWriteMargin
}

// assign queues a request at a server and releases what may go.
func (b *Balancer) assign(req *request) {
	if req.admitOnly {
		b.grantAdmission(req)
		return
	}
	if t := b.probeCandidate(req); t != nil {
		b.dispatch(req, t, true)
		return
	}
	ep := b.selectEndpoint(req)
	if ep == nil && b.allAdminEjected() {
		b.reject(req, b.settings.MaxRetryAfter, EndpointsEjected)
		return
	}
	if ep == nil && !req.mayHaveRun {
		b.unplaced = append(b.unplaced, req)
		return
	}
	if ep == nil || b.shouldShed(req, ep) {
		b.reject(req, 0, QueueTooLong)
		return
	}
	b.enqueue(req, ep)
	b.dispatchQueued(ep)
}

// grantAdmission is the one place that grants. It counts as sent on: the ceiling's units are spent here, and the cap
// on what is open at once holds until the work is said to be done, or the hold runs out.
func (b *Balancer) grantAdmission(req *request) {
	plan := &b.settings.Plans[req.plan]
	if b.now >= req.arrivedAt+req.timeLimit || !b.drawCeiling(req, plan) {
		b.reject(req, b.refillTime(req.customer, plan, req.units), CeilingExceeded)
		return
	}
	b.releaseCeiling(req, true)
	req.admitted, req.holdUntil = true, b.now+req.holdFor
	b.emit(Admit{req.id})
	if !req.inFlight || req.holdFor <= 0 {
		b.finish(req)
		return
	}
	b.emit(SetTimer{req.holdUntil, req.id<<1 | 1})
}

// shouldShed is EQ 4 seen from the back of the queue: what would come to wait for most of its time is refused
// while the client can still try again in time (a departure: the paper lets it wait until it is stale; under
// overload every answer then comes at the last moment, and each client's next try too late).
func (b *Balancer) shouldShed(req *request, ep *endpoint) bool {
	free := b.hasFreeSlot(ep)
	if req.withinQuota && len(req.attempts) == 0 { // what the plan pays for tells how short the servers are
		short := 0.0
		if !free {
			short = 1
		}
		b.shortage += shortageGain * (short - b.shortage)
	}
	if req.level == lowestLevel && b.rng.Float64() < b.shortage*shortageShedFactor {
		return true // a free place is needed for more than this soon
	}
	if free { // with many doors the queue is inside the servers, and latency tells of it (a departure)
		lat := b.classes[req.class].meanLatency * max(1, b.fleetSlowdown) * req.cost
		idle := cmp.Or(b.classes[req.class].idleLatency*req.cost, lat)
		part := (lat - idle) / max(1e-3, req.timeLimit.Seconds()*latencyHeadroomFraction-idle) *
			(1 + shedLevelSlope*float64(req.level)/lowestLevel)
		return b.rng.Float64() < min(1, 2*b.evidenceScarcity())*min(shedMaxProbability, (part-shedFromFraction)/(shedAllFraction-shedFromFraction))
	}
	if len(req.attempts) > 0 {
		return false
	}
	ahead := req.cost
	for l := 0; l <= req.level; l++ {
		ahead += ep.levelWork[l]
	}
	lat := b.classes[req.class].meanLatency * ep.latencyFactor
	share := joinShareOfDeadline * math.Pow(1-float64(req.level)/(2*priorityBands), 2) // the lower the level, the sooner
	return (b.now-req.arrivedAt).Seconds()+ahead*lat/ep.concurrencyLimit+b.expectedLatency(req, ep) >= req.timeLimit.Seconds()*latencyHeadroomFraction*share
}

// hasFreeSlot says whether a server has a free slot. Less than one slot means a pause between sends: with many doors
// even one request each can be too much, and what a server turns away costs it work as well.
func (b *Balancer) hasFreeSlot(ep *endpoint) bool {
	return ep.inFlightWork < math.Floor(max(1, ep.concurrencyLimit)) && b.now >= ep.pausedUntil
}

// dispatchQueued releases requests to a server while it has a slot. With nothing queued it helps the longest queue.
func (b *Balancer) dispatchQueued(ep *endpoint) {
	for ep.isUsable() && b.hasFreeSlot(ep) && !b.slowStartExhausted(ep) {
		from := ep
		if ep.queued == 0 && b.queuedRequests == 0 {
			return
		} else if ep.queued == 0 {
			for _, other := range b.endpointOrder {
				if other.queued > from.queued && !b.hasFreeSlot(other) {
					from = other
				}
			}
		}
		req := b.nextRequest(from, ep)
		if req == nil {
			return
		}
		b.dequeue(req)
		b.dispatch(req, ep, false)
	}
}

// nextRequest chooses from the queues of one server for a slot of another (mostly the same). EQ 3 refuses what is
// stale, in the promoted levels too (a departure: what no longer can be in time only delays the rest). EQ 4
// goes down the levels while their summed counts, times the latency and over the slots, stay under tau*f; the
// first level with a request is always open. The oldest request of the open levels goes.
func (b *Balancer) nextRequest(from, to *endpoint) *request {
	var best *request
	sum := 0.0
	for l := range from.queue {
		for from.levelCount[l] > 0 {
			req := from.head(l)
			if (b.now-req.arrivedAt).Seconds()+b.expectedLatency(req, to) < req.timeLimit.Seconds()*latencyHeadroomFraction {
				break
			}
			b.reject(req, 0, StaleInQueue)
		}
		if from.levelCount[l] == 0 {
			continue
		}
		req := from.head(l)
		sum += from.levelWork[l]
		ahead := (sum + to.inFlightWork) * b.classes[req.class].meanLatency * to.latencyFactor / to.concurrencyLimit
		if best != nil && ahead >= req.timeLimit.Seconds()*latencyHeadroomFraction*queueShareOfDeadline {
			break
		}
		if (best == nil || req.arrivedAt < best.arrivedAt) && b.canRetryOn(req, to) {
			best = req
		}
	}
	return best
}

// slowStartExhausted says that a cold server has had its budget: package cold says what that is.
func (b *Balancer) slowStartExhausted(ep *endpoint) bool {
	w := slowstart.Warmth{Now: b.capacityFraction(ep), Then: b.capacityFractionAt(ep, b.now-b.settings.OverloadWindow)}
	return w.Now < 1 && ep.slowStart.Full(b.now, b.slowStartTerms(), b.warmEndpointRate*ep.weight*ep.slowStartShare, w, b.rng.Float64)
}

// dispatch is the one place that sends. The guards come last here, whatever was decided before.
func (b *Balancer) dispatch(req *request, ep *endpoint, trial bool) {
	plan := &b.settings.Plans[req.plan]
	switch {
	case !ep.inService: // drain: nothing new from the moment it is told
		b.assign(req)
		return
	case req.attemptsOut > 0 || len(req.attempts) >= req.maxAttempts || !b.canRetryOn(req, ep) || b.now >= req.arrivedAt+req.timeLimit:
		b.reject(req, 0, StaleInQueue)
		return
	}
	if len(req.attempts) == 0 {
		if !b.drawCeiling(req, plan) {
			b.reject(req, b.refillTime(req.customer, plan, req.units), CeilingExceeded)
			return
		}
	}
	b.releaseCeiling(req, true)
	a := &attempt{request: req, number: len(req.attempts), endpoint: ep, sentAt: b.now, probe: trial, open: true}
	limit := req.arrivedAt + req.timeLimit - b.now
	if trial {
		ep.probing = true
		limit = min(limit, time.Duration(probeTimeoutLatencies*b.expectedLatency(req, nil)*float64(time.Second)))
	}
	if len(ep.inFlight) == 0 {
		ep.lastResponseAt = max(ep.lastResponseAt, b.now)
	}
	req.attempts = append(req.attempts, a)
	req.attemptsOut++
	ep.inFlight = append(ep.inFlight, a)
	ep.overdue = false
	ep.inFlightWork += req.cost
	if ep.warmingUp {
		ep.slowStart.Sent(b.now, req.cost)
	}
	by := time.Duration(0)
	if req.mayHaveRun && b.settings.Classes[req.class].Idempotency == IdempotentByKey {
		by = b.retryDeadline(req)
	}
	b.emit(Dispatch{req.id, ep.name, limit, by})
}

// handleAttemptResult takes the end of an attempt.
func (b *Balancer) handleAttemptResult(ev AttemptResult) {
	req := b.requests[ev.ID]
	if req == nil || ev.Attempt < 0 || ev.Attempt >= len(req.attempts) || !req.attempts[ev.Attempt].open {
		return
	}
	a := req.attempts[ev.Attempt]
	a.open = false
	req.attemptsOut--
	ep := a.endpoint
	if a.responseStarted {
		b.finish(req)
		b.forgetIfDone(req)
		return
	}
	ep.completeAttempt(a)
	if ev.Status == NotSent {
		ep.slowStart.Unsent(a.sentAt, req.cost)
	}
	if !req.mayHaveRun && ev.Status != Rejected && ev.Status != ConnectFailed && ev.Status != NotSent {
		req.mayHaveRun, req.firstRunAt, req.firstRunOn = true, a.sentAt, ep
	}
	b.recordResult(ep, a, ev)
	if ev.Status == OK && b.settings.EstimatedUnits && ev.Units > 0 && req.withinQuota {
		req.customer.tokens -= ev.Units - req.units
	}
	if ev.RequestClosed || ev.Status == OK {
		b.finish(req)
	}
	if req.ended {
		b.forgetIfDone(req)
	} else if !req.streaming && req.attemptsOut == 0 {
		b.retry(req)
	}
	b.dispatchQueued(ep)
}

// handleFirstByte takes the first byte of a streamed answer: the server's work is done, and how long it takes to pass
// the rest on says nothing of it.
func (b *Balancer) handleFirstByte(ev FirstByte) {
	req := b.requests[ev.ID]
	if req == nil || ev.Attempt < 0 || ev.Attempt >= len(req.attempts) || !req.attempts[ev.Attempt].open || req.streaming {
		return
	}
	a := req.attempts[ev.Attempt]
	req.streaming, a.responseStarted, req.mayHaveRun, req.firstRunAt, req.firstRunOn = true, true, true, a.sentAt, a.endpoint
	a.endpoint.completeAttempt(a)
	b.recordResult(a.endpoint, a, AttemptResult{Status: OK, Latency: b.now - a.sentAt})
	b.dispatchQueued(a.endpoint)
}

// retry sends a request on again where its class allows it and an answer could still be in time.
func (b *Balancer) retry(req *request) {
	if len(req.attempts) >= req.maxAttempts || (b.now-req.arrivedAt).Seconds()+b.expectedLatency(req, nil) >= req.timeLimit.Seconds() {
		b.reject(req, 0, RetryNotPossible)
		return
	}
	b.assign(req)
}

// recordResult takes what an outcome tells of a server: latency, slots, signs of life.
func (b *Balancer) recordResult(ep *endpoint, a *attempt, ev AttemptResult) {
	k := &b.classes[a.request.class]
	took := max(1e-3, ev.Latency.Seconds())              // within a tick counts as a millisecond
	ratio := min(took/(k.meanLatency*a.request.cost), 8) // one costly request says little of its server
	news := min(ratio, fleetSlowdownMax)
	if ev.Status == OK || ev.Status == Rejected || ev.Status == Timeout && !ep.ejected {
		if ev.Status == Rejected {
			news = fleetSlowdownRejected
		}
		b.fleetSlowdown += min(fleetSlowdownMaxGain, (b.now-b.fleetSlowdownAt).Seconds()/fleetSlowdownSeconds) * (news - b.fleetSlowdown)
		b.fleetSlowdownAt = b.now
	}
	if ev.Status == Cancelled && a.request.ended && b.now >= a.request.arrivedAt+a.request.timeLimit-tickInterval {
		ev.Status = Timeout // the request's own end came first
	}
	switch ev.Status {
	case Reset, ConnectFailed:
		if ep.connectionFailures++; ep.connectionFailures > 1 { // one broken connection says nothing of its server
			ep.concurrencyLimit *= rejectedDecrease
		}
		if ep.connectionFailures >= maxConnectionFailures && !ep.ejected {
			b.eject(ep)
		}
	case Timeout:
		if !ep.ejected {
			ep.timeouts++
			ep.latencyFactor += latencyFactorGain * (ratio - ep.latencyFactor)
			ep.concurrencyLimit *= timeoutDecrease
		}
	case OK, Failed, Rejected:
		ep.lastResponseAt, ep.timeouts, ep.connectionFailures = b.now, 0, 0
		if ep.ejected {
			b.reinstate(ep, a.probe)
		}
	}
	switch ev.Status {
	case Rejected:
		ep.concurrencyLimit = min(1, ep.concurrencyLimit) * rejectedDecrease
	case OK:
		ep.latencyFactor = max(0.2, ep.latencyFactor+latencyFactorGain*(ratio-ep.latencyFactor))
		if !ep.warmingUp {
			b.recordWarmRate(a.request.cost)
		} else if took <= a.request.timeLimit.Seconds() {
			ep.slowStart.Answered(b.now, a.request.cost)
		}
		k.answers++
		k.costProfile.Add(a.request.units, took/k.meanLatency, true)
		k.meanLatency += max(meanLatencyGain, 1/float64(k.answers)) * (took/a.request.cost - k.meanLatency)
		b.adjustConcurrency(ep, a.request)
	}
	if !ep.ejected && (ev.Status == Timeout || ev.Status == Cancelled && b.now >= a.request.arrivedAt+a.request.timeLimit-tickInterval) {
		k.costProfile.Add(a.request.units, took/k.meanLatency, false)
	}
	if a.probe && ep.ejected {
		b.scheduleProbe(ep)
	}
	ep.concurrencyLimit = max(minConcurrency, ep.concurrencyLimit)
	if ep.concurrencyLimit < 1 && b.now >= ep.pausedUntil {
		rest := b.expectedLatency(a.request, ep) * (1/ep.concurrencyLimit - 1)
		ep.pausedUntil = b.now + time.Duration(rest*float64(time.Second))
	}
}

// adjustConcurrency grows the slots while latency is well under tau*f and all are in use, and shrinks them when it is not.
// It also keeps latency near that of an idle fleet (a departure: tau*f alone lets queues form inside the
// servers, where no level counts and where work that nobody waits for any more goes on). That floor follows
// the class's mean down at once, and up only while so few slots are open that waiting can't be the cause: so
// a slowness of everything is told from overload.
func (b *Balancer) adjustConcurrency(ep *endpoint, req *request) {
	k := &b.classes[req.class]
	if k.meanLatency < k.idleLatency || k.answers <= idleLatencyMinAnswers { // the first few may be small or lucky ones
		k.idleLatency = k.meanLatency
	} else if ep.concurrencyLimit*b.liveGateways() <= minimalConcurrency {
		k.idleLatency += idleLatencyGain * (k.meanLatency - k.idleLatency)
	}
	high := min(req.timeLimit.Seconds()*latencyHeadroomFraction*shrinkDeadlineFraction, shrinkLatencyRatio*k.idleLatency)
	switch lat := k.meanLatency * ep.latencyFactor; {
	case lat > high && ep.concurrencyLimit*b.liveGateways() > 0.7*minimalConcurrency:
		ep.concurrencyLimit *= lateDecrease
	case lat < high*growLatencyFraction && ep.inFlightWork+1 >= math.Floor(ep.concurrencyLimit):
		ep.concurrencyLimit = min(maxConcurrency, ep.concurrencyLimit+concurrencyIncrease/max(1, ep.concurrencyLimit))
	}
}

// reject gives the final answer: a refusal where the rules let it be said, else a failure (rule 2).
func (b *Balancer) reject(req *request, pause time.Duration, why Reason) {
	if req.ended {
		return
	}
	class := &b.settings.Classes[req.class]
	mayHaveRun := req.mayHaveRun || req.attemptsOut > 0
	b.finish(req)
	if mayHaveRun && (class.Idempotency == NonIdempotent || class.Idempotency == IdempotentByKey && class.DedupScope != DedupAll) {
		b.emit(Fail{req.id, why})
	} else {
		if !b.settings.SendRetryAfter {
			pause = 0
		}
		b.emit(Reject{req.id, min(pause, b.settings.MaxRetryAfter), why})
	}
	b.forgetIfDone(req)
}

// finish marks a request as over and calls off what is still out.
func (b *Balancer) finish(req *request) {
	if req.ended {
		return
	}
	req.ended = true
	b.dequeue(req)
	b.releaseCeiling(req, false)
	for _, a := range req.attempts {
		if a.open && b.settings.AllowCancel && !req.streaming {
			b.emit(CancelAttempt{req.id, a.number})
		}
	}
	if len(req.attempts) == 0 && !req.admitted && req.withinQuota && b.settings.Plans[req.plan].Rate > 0 {
		req.customer.tokens += req.units
	}
	if req.inFlight {
		req.inFlight = false
		req.customer.inFlight--
		b.serveWaiting(req.customer)
	}
	b.forgetIfDone(req)
}

// tick looks for what no event tells: silence, waiting customers, free slots.
func (b *Balancer) tick() {
	b.emit(SetTimer{b.now + tickInterval, 0})
	for _, ep := range b.endpointOrder {
		if b.now-b.tickedAt < stallThreshold { // else this door stood still, and what came meanwhile is not yet read
			b.checkSilence(ep)
		}
	}
	b.tickedAt = b.now
	if b.now < b.leasingFrom && b.canCallCounter() { // else doors with few requests go by shares while others lend
		b.lastCounterCallAt = b.now
		b.callTest()
	}
	stuck := b.unplaced
	b.unplaced = nil
	for _, req := range stuck {
		if !req.ended {
			b.assign(req)
		}
	}
	if b.queuedRequests > 0 {
		for _, ep := range b.endpointOrder {
			b.dispatchQueued(ep)
		}
	}
	list := b.waitingCustomers
	b.waitingCustomers = nil
	for _, cust := range list {
		cust.inWaitingList = false
		b.serveWaiting(cust)
	}
	b.sweepCustomers()
	if b.settings.PollEndpoints && b.settings.PollInterval > 0 && b.now-b.endpointsUpdatedAt > b.settings.PollInterval/2 {
		b.endpointsUpdatedAt = b.now
		b.emit(FetchEndpoints{})
	}
}

// checkSilence finds a server silent when the attempts out there have waited, summed up, far longer than
// answers take while nothing was heard. It covers hung, cut off and stopped machines. If fewer than a quarter
// of the servers answer, it is not this server's fault. It could harm a server that got several costly
// requests in a row; the first late answer brings such a one back.
func (b *Balancer) checkSilence(ep *endpoint) {
	if ep.ejected {
		if ep.inService && b.settings.AllowHealthChecks && b.now >= ep.nextProbeAt && !ep.probing {
			ep.probing = true
			b.emit(HealthCheck{ep.name})
		}
		return
	}
	sum := maxSilencePerAttempt * float64(ep.timeouts)
	for _, a := range ep.inFlight {
		quiet := (b.now - max(a.sentAt, ep.lastResponseAt)).Seconds()
		sum += min(maxSilencePerAttempt, quiet/b.expectedLatency(a.request, ep))
	}
	if sum < silenceLatencies || b.now-ep.lastResponseAt < minSilence {
		return
	}
	live := 0
	for _, other := range b.endpointOrder {
		if other.isUsable() && b.now-other.lastResponseAt < b.now-ep.lastResponseAt && b.now-other.lastResponseAt < 500*time.Millisecond {
			live++
		}
	}
	if 4*live >= len(b.endpointOrder) && live > 0 {
		b.eject(ep)
	}
}

// eject stops new work to a server, moves its queue on and calls back what could still be served elsewhere.
func (b *Balancer) eject(ep *endpoint) {
	ep.ejected, ep.probing = true, false
	ep.probePause = max(firstProbePause, time.Duration(b.rng.Int64N(int64(b.liveGateways())*int64(probePausePerGateway))))
	ep.nextProbeAt = b.now + ep.probePause
	b.emit(LogLine{"no longer used: " + ep.name})
	health := Unresponsive
	if ep.connectionFailures >= maxConnectionFailures {
		health = ConnectionsBroken
	}
	b.emit(HealthReport{ep.name, health, ep.lastResponseAt})
	b.reassignQueue(ep)
	if !b.settings.AllowCancel {
		return
	}
	for _, a := range ep.inFlight {
		if !a.request.ended && !a.request.streaming && (b.now-a.request.arrivedAt).Seconds()+b.expectedLatency(a.request, nil) < a.request.timeLimit.Seconds() {
			b.emit(CancelAttempt{a.request.id, a.number})
		}
	}
}

func (b *Balancer) scheduleProbe(ep *endpoint) {
	ep.probing = false
	ep.probePause = min(max(maxProbePause, time.Duration(b.liveGateways())*probePausePerGateway), ep.probePause*3/2)
	ep.nextProbeAt = b.now + ep.probePause
}

// probeCandidate gives an ejected server one safe request with time for another attempt, without probes.
func (b *Balancer) probeCandidate(req *request) *endpoint {
	if b.settings.AllowHealthChecks || b.settings.Classes[req.class].Idempotency != Idempotent || len(req.attempts) > 0 || req.maxAttempts < 2 ||
		req.timeLimit.Seconds() < probeTimeLatencies*b.expectedLatency(req, nil) {
		return nil
	}
	for _, ep := range b.endpointOrder {
		if ep.inService && ep.ejected && !ep.probing && b.now >= ep.nextProbeAt && !b.slowStartExhausted(ep) {
			return ep
		}
	}
	return nil
}

func (b *Balancer) handleHealthCheckResult(ev HealthCheckResult) {
	ep := b.endpoints[ev.Endpoint]
	if ep == nil || !ep.ejected {
		return
	}
	b.scheduleProbe(ep)
	if ev.Status == OK {
		b.reinstate(ep, true)
	}
}

// reinstate takes a server back. One that comes back from silence may have started anew: it counts as cold.
func (b *Balancer) reinstate(ep *endpoint, fresh bool) {
	fresh = fresh && b.now-ep.lastResponseAt > restartSilence
	ep.ejected, ep.probing, ep.connectionFailures, ep.timeouts, ep.lastResponseAt = false, false, 0, 0, b.now
	b.emit(LogLine{"used again: " + ep.name})
	if fresh {
		ep.warmingUp, ep.warmUpFrom, ep.latencyFactor, ep.concurrencyLimit = true, b.now, 1, 1
		b.emit(HealthReport{ep.name, WarmingUp, b.now})
	}
}

// handleHealthReport takes what another door of this process has found out about a server (ours). Its word on silence
// counts as two answers owed, and on broken connections as all but one: an own sign of life since outweighs
// it, and one attempt that goes the same way settles it. A server that came back cold is cold for this door
// too, and asked at once if left out.
func (b *Balancer) handleHealthReport(f HealthReport) {
	ep := b.endpoints[f.Endpoint]
	switch {
	case ep == nil || !ep.inService:
	case f.Health == WarmingUp:
		if !ep.ejected && b.now-ep.lastResponseAt < restartSilence {
			return // it has answered here while it was silent there
		}
		if !ep.warmingUp || ep.warmUpFrom < f.Since {
			ep.warmingUp, ep.warmUpFrom, ep.concurrencyLimit = true, f.Since, min(1, ep.concurrencyLimit)
		}
		ep.nextProbeAt = min(ep.nextProbeAt, b.now)
	case ep.ejected:
	case f.Health == ConnectionsBroken:
		ep.connectionFailures = max(ep.connectionFailures, maxConnectionFailures-1)
	case ep.lastResponseAt <= f.Since || len(ep.inFlight) > 0 && ep.lastResponseAt <= ep.inFlight[0].sentAt: // a send is no sign of life
		ep.timeouts = max(ep.timeouts, reportedTimeouts)
	}
}

// handleEndpointUpdate takes news of the backends.
func (b *Balancer) handleEndpointUpdate(ev EndpointUpdate) {
	if ev.Kind == UpdateFailed {
		if !b.watchRetryPending {
			b.watchRetryPending = true
			b.watchBackoff = min(8*time.Second, max(500*time.Millisecond, 2*b.watchBackoff))
			b.emit(SetTimer{b.now + b.watchBackoff, 2})
		}
		return
	}
	b.endpointsUpdatedAt, b.watchBackoff = b.now, 0
	for _, entry := range ev.Entries {
		b.applyEntry(entry)
	}
	if ev.Kind != Delta {
		b.removeUnlisted(ev.Entries)
	}
	b.removeGoneEndpoints()
	b.updateSubset()
	for _, ep := range b.endpointOrder {
		b.dispatchQueued(ep)
	}
}

// applyEntry takes what the list says of one backend. One that was started lately is cold.
func (b *Balancer) applyEntry(entry Endpoint) {
	ep := b.endpoints[entry.Name]
	if ep == nil {
		if entry.State != Serving {
			return
		}
		ep = &endpoint{name: entry.Name, startedAt: -1, concurrencyLimit: max(minConcurrency, initialConcurrency/b.liveGateways())}
		b.endpoints[entry.Name] = ep
		b.endpointOrder = append(b.endpointOrder, ep)
	}
	if entry.StartedAt != ep.startedAt {
		ep.startedAt, ep.lastResponseAt, ep.latencyFactor = entry.StartedAt, b.now, 1
		ep.ejected, ep.probing, ep.connectionFailures, ep.timeouts = false, false, 0, 0
		if entry.StartedAt > 0 && b.now-entry.StartedAt < b.settings.SlowStartDuration {
			ep.warmingUp, ep.warmUpFrom, ep.concurrencyLimit = true, entry.StartedAt, 1
		}
	}
	ep.zone, ep.cell, ep.weight, ep.slowStartShare = entry.Zone, entry.Cell, cmp.Or(max(0, entry.Weight), 1), cmp.Or(max(0, entry.SlowStartShare), 1)
	_, banned := b.adminEjected[ep.name]
	ep.listed = entry.State == Serving
	ep.inService = (ep.inService || ep.listed) && !banned
	if !ep.listed {
		b.stopSending(ep)
	}
}

// handleAdminRestore lets a server serve again that was taken out by hand. It may have started anew meanwhile: it is
// cold from when the list says that it started, if that was while it was out, else from now.
func (b *Balancer) handleAdminRestore(name string) {
	since, ok := b.adminEjected[name]
	if !ok {
		return
	}
	delete(b.adminEjected, name)
	b.emit(LogLine{"back by hand: " + name})
	ep := b.endpoints[name]
	if ep == nil || !ep.listed {
		return
	}
	ep.inService, ep.ejected, ep.probing, ep.connectionFailures, ep.timeouts, ep.lastResponseAt = true, false, false, 0, 0, b.now
	ep.warmingUp, ep.warmUpFrom, ep.latencyFactor, ep.concurrencyLimit, ep.overdue = true, b.now, 1, 1, true
	if ep.startedAt > since {
		ep.warmUpFrom = ep.startedAt
	}
	soon := adminRestoreSpread * time.Duration(max(1, int(b.liveGateways())/crowdFrom))
	ep.slowStart.Hold(b.now + 1 + time.Duration(b.rng.Int64N(int64(soon))))
	b.updateSubset()
	b.dispatchQueued(ep)
}
