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
func (d *Balancer) start() {
	d.fleetSlowdown = 1
	if d.settings.UseCounter {
		d.callFraction = 1
	}
	d.emit(SetTimer{d.now + tickInterval, 0})
	if d.settings.PollEndpoints {
		d.emit(WatchEndpoints{})
	}
}

// admit takes a request in. Its tau is the time left, bounded by the aim where a late answer earns nothing
// (a departure: the paper knows one limit; here the client waits longer than the answer has worth).
func (d *Balancer) admit(ev Request) {
	if d.requests[ev.ID] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(d.settings.Classes) || ev.Plan < 0 || ev.Plan >= len(d.settings.Plans) {
		d.emit(Reject{ID: ev.ID, Reason: UnknownClass})
		return
	}
	if d.rejectIfTableFull(ev) {
		return
	}
	cl := &d.settings.Classes[ev.Class]
	r := &request{id: ev.ID, class: ev.Class, plan: ev.Plan, units: max(0, ev.Units), arrivedAt: d.now, timeLimit: ev.TimeLeft,
		maxAttempts: d.settings.MaxAttempts, clientRetry: ev.ClientRetry, admitOnly: ev.AdmitOnly, holdFor: ev.HoldFor}
	if cl.LateWeightFraction == 0 && cl.LatencyObjective > 0 {
		r.timeLimit = min(r.timeLimit, cl.LatencyObjective)
	}
	// What a door finds after it stood still has waited: first tries of a class have the same time at first.
	d.classes[ev.Class].maxTimeLeft = max(d.classes[ev.Class].maxTimeLeft, ev.TimeLeft)
	if d.now-d.previousStepAt > stallThreshold && !ev.ClientRetry {
		r.timeLimit = min(r.timeLimit, cl.LatencyObjective-min(d.now-d.previousStepAt, d.classes[ev.Class].maxTimeLeft-ev.TimeLeft))
	}
	r.customer, r.cost = d.customerFor(ev), d.classes[ev.Class].costProfile.Of(ev.Units)
	d.requests[r.id] = r
	if r.timeLimit.Seconds() <= d.expectedLatency(r, nil)/2 {
		d.reject(r, 0, InsufficientTime)
		return
	}
	if !r.admitOnly { // a grant is given or refused now, but for the counter's answer
		d.emit(SetTimer{d.now + r.timeLimit - d.settings.Resolution, r.id<<1 | 1})
	}
	r.customer.lastUsedAt = d.now
	gap := (d.now - r.customer.demandAt).Seconds() / demandWindow.Seconds()
	r.customer.demand = r.customer.demand*math.Exp(-gap) + r.units/demandWindow.Seconds()
	if r.customer.admitOnlyDemand *= math.Exp(-gap); r.admitOnly {
		r.customer.admitOnlyDemand += r.units / demandWindow.Seconds()
	}
	r.customer.demandAt = d.now
	// A line for the ceiling must stay short, or each that still goes out of it is nearly late; and what is
	// worth less leaves the room to what is worth more. What asks for leave only has no line to join.
	line := r.timeLimit.Seconds() * maxCeilingWaitFraction * cl.PriorityWeight / d.maxClassWeight
	if r.admitOnly {
		line = 0
	}
	if fills := d.ceilingWait(r); fills > line {
		d.reject(r, time.Duration(fills*float64(time.Second)), CeilingExceeded)
		return
	}
	if r.admitOnly {
		if v := d.checkQuota(r); v != quotaPending {
			d.applyQuotaDecision(r, v)
			return
		}
	}
	r.customer.waiting = append(r.customer.waiting, r)
	if r.admitOnly {
		r.customer.admitOnlyWaiting++
		d.emit(SetTimer{d.now + r.timeLimit - d.settings.Resolution, r.id<<1 | 1})
	}
	d.serveWaiting(r.customer)
}

// applyQuotaDecision carries a verdict out. The request must have left its customer's line: this may serve others of it.
func (d *Balancer) applyQuotaDecision(r *request, v quotaDecision) {
	if v == quotaExceeded {
		d.handleOverQuota(r)
	} else {
		d.assign(r)
	}
}

// serveWaiting decides for a customer's requests in the order they came, until one has to wait: for the counter's
// answer, for one of the customer's attempts to end, or for the ceiling's share to fill.
func (d *Balancer) serveWaiting(c *customer) {
	for len(c.waiting) > 0 {
		r := c.waiting[0]
		if r.ended {
			c.popWaiting(r)
			continue
		}
		v := d.checkQuota(r)
		if v == quotaPending {
			break
		}
		c.popWaiting(r)
		d.applyQuotaDecision(r, v)
	}
	d.serveAdmitOnly(c)
	if len(c.waiting) > 0 && !c.inWaitingList {
		c.inWaitingList = true
		d.waitingCustomers = append(d.waitingCustomers, c)
	}
}

// serveAdmitOnly decides for what asks for leave only, past those that wait for the ceiling's share or for an
// attempt to end: it waits for nothing but the counter (ours: a proxy's own client is held up by it).
func (d *Balancer) serveAdmitOnly(c *customer) {
	for i := 0; i < len(c.waiting) && c.admitOnlyWaiting > 0; i++ {
		r := c.waiting[i]
		if !r.admitOnly {
			continue
		}
		v := quotaPending
		if !r.ended {
			if v = d.checkQuota(r); v == quotaPending {
				continue
			}
		}
		c.waiting = slices.Delete(c.waiting, i, i+1)
		c.admitOnlyWaiting--
		if i = -1; !r.ended { // this may serve others, so the line is looked at anew
			d.applyQuotaDecision(r, v)
		}
	}
}

// checkQuota promotes a request whose units are in the local tokens (stage 2 of the paper). A request without quota
// keeps its level by worth.
func (d *Balancer) checkQuota(r *request) quotaDecision {
	c, p := r.customer, &d.settings.Plans[r.plan]
	late := (d.now-r.arrivedAt).Seconds()+d.expectedLatency(r, nil) >= r.timeLimit.Seconds()*latencyHeadroomFraction
	full := p.MaxInFlight > 0 && c.inFlight >= d.inFlightLimit(r, p)
	from, lent := fromEvenShare, d.ceilingLeaseTerms(r)
	short := r.units - d.ceilingRoom(r, p)
	if d.hasSparseShares(c, p) {
		return d.checkQuotaSparse(r, p, short > 0, late)
	}
	if full || short > 0 && lent == nil {
		fills := short / d.ceilingShare(c, p).Rate // seconds
		if late || r.admitOnly || !full && p.OverQuotaWeight > p.OverQuotaCost && fills > r.timeLimit.Seconds()*maxCeilingWaitFraction {
			return quotaExceeded
		}
		return quotaPending
	}
	worth := max(1e-9, d.settings.Classes[r.class].PriorityWeight*p.PriorityFactor*d.classes[r.class].costProfile.Density(r.units))
	band := min(priorityBands-1, max(0, int(bandsPerHalving*math.Log2(d.maxPriority/worth))))
	r.level = band
	if p.Rate > 0 {
		switch v := d.spendTokens(r, p, short > 0); {
		case v == quotaExceeded && lent != nil && d.leaseCeiling(r, lent, late) == quotaPending:
			return quotaPending
		case v != quotaCovered:
			return v
		case r.onCredit:
			r.level += priorityBands
		case lent != nil && r.paidByCounter && d.isStoreSettled(c, p):
			from = fromQuota
		}
	} else {
		if p.MaxInFlight == 0 {
			r.level += priorityBands
		}
		if lent != nil {
			if v := d.leaseCeiling(r, lent, late); v != quotaCovered {
				return v
			}
			from = fromLease
		}
	}
	r.withinQuota = r.level < priorityBands
	d.reserveCeiling(r, from)
	return quotaCovered
}

// inFlightLimit is how many of a customer's requests may be under way here: this door's share of the cap, or, where
// the counter tells that the others have less, what their demand leaves (a departure: traffic is uneven).
func (d *Balancer) inFlightLimit(r *request, p *Plan) int {
	share := d.inFlightShare(r.customer, p)
	if r.customer.storeKnown && d.callFraction > degradedCallFraction {
		share = max(share, float64(p.MaxInFlight)-r.customer.peerDemand/max(r.units, 1)*d.expectedLatency(r, nil)-inFlightSlack-p.OverQuotaCost)
	}
	return max(1, int(share))
}

// handleOverQuota decides for a request that no tokens pay.
func (d *Balancer) handleOverQuota(r *request) {
	p := &d.settings.Plans[r.plan]
	full := p.MaxInFlight > 0 && r.customer.inFlight >= d.inFlightLimit(r, p)
	from, room := fromEvenShare, 0.0
	if t := d.ceilingLeaseTerms(r); t != nil {
		from, room = fromLease, r.customer.ceilingLease.Has(*t, d.now, !r.admitOnly, r.customer.admitOnlyFraction())
	} else {
		room = d.ceilingRoom(r, p)
	}
	if p.OverQuotaWeight <= p.OverQuotaCost || full || room < r.units {
		d.reject(r, d.refillTime(r.customer, p, r.units), QuotaExceeded)
		return
	}
	r.level = lowestLevel
	d.reserveCeiling(r, from)
	d.assign(r)
}

// spendTokens takes units from the lease, else from this door's own share, and calls the counter for more. The
// store itself lies on the counter: all that leaves it, spent or overflowed, is added, so one call tells its
// level to a door that has never seen the customer. Only a part of the requests calls, as large as the
// counter can serve; each such call stands for the others too, and these go by the door's share, into debt by
// one request (a departure: at many doors a share is less than one). What was just seen empty is not asked
// again until the customer's doors, taken together, would find it filled.
// Where this door's share of the ceiling is short, only what the ledger gave counts, and only if the door has
// known that for a while.
func (d *Balancer) spendTokens(r *request, p *Plan, short bool) quotaDecision {
	c := r.customer
	r.paidByCounter = false
	if d.isLargeFleet() {
		return d.spendTokensLargeFleet(r, p)
	}
	lent := d.leaseTerms[r.plan].Rate > 0
	life := tokenLeaseTTL
	if c.storeKnown {
		life += d.extraLeaseTime(c, p)
	}
	if lent && short {
		life = shortLife
	}
	if c.tokens > 0 && !c.callPending && d.now-c.leasedAt > life {
		if !lent { // else it is lost: the ceiling hangs on no full store being given more
			c.debt -= c.tokens // what the store holds now may differ from what it held then
		}
		c.tokens = 0
	}
	d.refillFallback(c, p)
	calls := d.settings.UseCounter && !r.counterCalled && d.now >= max(c.storeEmptyUntil, c.callsPausedUntil) && d.canCallCounter()
	switch {
	case short && !d.isStoreSettled(c, p):
		d.learnStore(c)
		return quotaExceeded
	case c.tokens >= r.units:
		c.tokens -= r.units
		r.paidByCounter = true
		if use := c.demand * tokenLeaseTTL.Seconds(); calls && !c.callPending && c.tokens < c.demand*renewAhead.Seconds() &&
			use >= minRenewRequests*r.units {
			d.leaseTokens(c, p, r.units, short)
		}
		return quotaCovered
	case !short && c.fallbackTokens+max(0, c.tokens) >= r.units:
		c.fallbackTokens -= r.units - max(0, c.tokens)
		c.debt += r.units - max(0, c.tokens)
		c.tokens = min(0, c.tokens)
		return quotaCovered
	case c.callPending:
		return quotaPending
	case calls && (d.rng.Float64() < d.callFraction || c.fallbackTokens <= 0 && !r.clientRetry && d.callFraction > degradedCallFraction):
		r.counterCalled = true
		d.leaseTokens(c, p, r.units, short)
		return quotaPending
	case !short && d.now >= c.storeEmptyUntil && c.fallbackTokens > 0 && (!r.clientRetry || !d.settings.UseCounter):
		c.fallbackTokens -= r.units
		r.onCredit = true
		return quotaCovered
	}
	return quotaExceeded
}

// canCallCounter says that the counter can be asked: it answers, or this door's turn to test it has come.
func (d *Balancer) canCallCounter() bool {
	pause := max(counterProbePause, time.Duration(d.liveGateways())*counterProbePausePerGateway)
	return !d.handedOver && len(d.callsOut) < maxCallsOut && (d.callFraction > degradedCallFraction || d.now-d.lastCounterCallAt >= pause)
}

// extraLeaseTime is by how much a lease reaches further ahead where the customer's store is nearly full: units that
// no other door misses may lie here, the longer the more a call costs.
func (d *Balancer) extraLeaseTime(c *customer, p *Plan) time.Duration {
	full := max(0, d.currentStoreLevel(c, p)/p.Burst-extraLeaseFromLevel) / (1 - extraLeaseFromLevel)
	return time.Duration(full * min(float64(maxExtraLease), d.settings.CounterCallCost*float64(extraLeasePerCost)))
}

// leaseTokens adds a block on the counter: the units, or what this door's demand will use. What goes out past this
// door's share of the ceiling must not be kept for long: the ceiling's store fills meanwhile.
func (d *Balancer) leaseTokens(c *customer, p *Plan, units float64, short bool) {
	ahead := leaseHorizon + d.extraLeaseTime(c, p)
	if short {
		ahead = shortLife
	}
	block := max(units, math.Floor(min(c.demand*ahead.Seconds(), d.currentStoreLevel(c, p)/c.gateways)))
	c.callPending, d.lastCounterCallAt = true, d.now
	if short {
		d.learnStore(c)
	}
	amount := block / max(d.callFraction, 1/maxRequestsPerCall)
	if d.isLargeFleet() { // a door's requests are so few that each is counted
		block = max(units, math.Floor(min(c.demand*ahead.Seconds(), d.currentStoreLevel(c, p)/crowdPart)))
		amount = block
	}
	if c.lastCallLost || !c.storeKnown && d.leaseTerms[c.plan].Rate > 0 { // it may be lost, or all doors take it at once
		block, amount = units, units
	}
	d.callCounter(c, block, amount+c.debt, c.debt).short = short
	c.debt = 0
}

// handleCounterResult settles a call. The counter's state shows in its answers alone: each in time lets a larger part of
// the requests call, each late or failed one a smaller.
func (d *Balancer) handleCounterResult(ev CounterResult) {
	k := d.takeCall(ev.Name)
	if k == nil {
		return
	}
	if ev.Status == OK {
		d.callPacer.Answered(d.now, d.now-k.sentAt)
	} else if ev.Status != Failed {
		d.callPacer.Failed(d.now, k.sentAt)
	}
	if ev.Status == Failed { // the counter lives, and this says nothing of how much it bears
	} else if ev.Status != OK {
		if k.sentAt >= d.callFractionCutAt { // the calls of one connection end together, and say no more than one of them
			d.callFraction, d.callFractionCutAt = max(minCallFraction, d.callFraction*callFractionDecrease), d.now
		}
	} else {
		took := (d.now - k.sentAt).Seconds() / d.settings.CounterTimeout.Seconds()
		d.callFraction = min(1, max(degradedCallFraction, d.callFraction*(1+callFractionGrowth*(1-took/callLatencyTarget))))
	}
	d.recordCallOutcome(ev.Status == OK)
	if k.kind == forTest {
		return
	}
	if t := d.leaseTerms[k.customer.plan]; k.kind == forLease {
		if ev.Status == OK {
			k.customer.ceilingLease.Answered(t, d.now, k.window, k.block, ev.Total)
		} else {
			k.customer.ceilingLease.Failed(d.now, counterProbePause)
		}
	} else if k.kind != forTokens {
		d.handleStoreCall(k, ev)
	} else if k.block > 0 {
		k.customer.callPending = false
		switch ev.Status {
		case OK:
			d.creditLease(k, ev.Total, d.now)
		case Failed: // all was added, and no units come of the block: it is given back
			k.customer.debt -= k.block
			k.customer.allowAnotherCall()
		case Timeout:
			d.handleCallTimeout(k)
		default:
			k.customer.debt += k.debt
		}
	}
	d.serveWaiting(k.customer)
}

// creditLease turns a total, as it was at a time, into tokens. What the store held over its burst has overflowed,
// and what it seems to have gained over its rate since the last look the counter has lost: both are added, if
// worth a call and not of long ago. What the store did not hold is given back.
func (d *Balancer) creditLease(k *counterCall, total float64, at time.Duration) {
	c := k.customer
	p := &d.settings.Plans[c.plan]
	held := p.Burst + p.Rate*(at-time.Duration(k.window)*counterWindow).Seconds() - total + k.amount
	most := p.Burst
	if c.storeKnown {
		most = d.currentStoreLevel(c, p)
		if gap := (d.now - c.storeLevelAt).Seconds(); gap > 0 && at == d.now {
			c.peerDemand += (1 - math.Exp(-gap/demandWindow.Seconds())) * (max(0, most-held)/gap - c.peerDemand)
		}
	}
	over := p.Burst * overfullFraction
	if k.short {
		over = p.Burst * overfullLent
	}
	switch {
	case at < d.now: // an old total puts nothing right
		held = min(held, most)
	case c.storeKnown && c.seenWindow != k.window && d.leaseTerms[c.plan].Rate == 0: // it knows nothing of the last number
		if total <= k.amount+1e-6*math.Abs(k.amount) && held > most+p.Burst*minCarryFraction {
			d.callCounter(c, 0, held-most, 0) // it was this door's call that began it
		}
		held = min(held, most)
	case d.isLargeFleet(): // asks of other doors that were given back look like a gain: only much of it is put right
		most = p.Burst * (1 + d.overfullSlack(c, p))
		if held > most {
			d.correctOverfull(c, k, held-p.Burst, total <= k.amount)
		}
		held = min(held, most)
	case held > most+over:
		most = min(most, d.storeAfterPeers(c, k, total))
		held = d.correctStore(c, k, held, most, total)
	}
	has := held - k.debt
	if d.hasSparseShares(c, p) {
		has -= manyKeep * p.Burst
	}
	got := d.acceptedTokens(k, has)
	if got < k.block && d.isLargeFleet() {
		d.reserveAhead(k, has, got)
	} else if got < k.block {
		if d.evidenceScarcity() == 0 && c.demand*tokenLeaseTTL.Seconds() >= minRenewRequests*k.block { // another call comes soon
			c.debt += got + k.debt - k.amount
		} else {
			d.callCounter(c, 0, got+k.debt-k.amount, 0)
		}
		k.amount = got + k.debt
		pause := max(k.block-held, d.activeGateways(c)/gatewaysPerRefill) / p.Rate * d.pauseSpread(c)
		c.storeEmptyUntil = d.now + min(maxEmptyPause, time.Duration(pause*float64(time.Second)))
	}
	if !c.storeKnown {
		c.storeKnown, c.storeKnownAt, c.fallbackTokens = true, d.now, min(c.fallbackTokens, 0)
	}
	c.tokens, c.leasedAt, c.lastCallLost = c.tokens+got, d.now, false
	if at < c.storeLevelAt {
		return // a later call has told more
	}
	if c.seenWindow == k.window && c.seenTotal-total > max(lostLeast*p.Burst, c.seenTotal/2) {
		c.storeKnownAt = d.now // the counter has lost its numbers: what it tells is to season anew
	}
	c.seenWindow, c.seenTotal = k.window, total
	c.storeLevel, c.storeLevelAt = max(held-k.amount, -p.Burst/2), at
}

// refillCeiling fills and tells this door's share of the customer's ceiling: rate and depth divided by the doors. A
// fresh door may have spent its share before it was restarted, so it starts empty.
func (d *Balancer) refillCeiling(c *customer, p *Plan) float64 {
	if p.CeilingRate == 0 {
		return math.Inf(1)
	}
	d.expireLoans(c, p)
	own := d.ceilingShare(c, p)
	if d.hasSparseShares(c, p) {
		own.Rate = manyRate * (p.CeilingRate - p.Rate) / c.gateways
		own.Depth = (p.CeilingBurst - manyTakes*p.Burst) / c.gateways
		if t, ok := d.ceilingTurns(c, p); ok {
			return d.refillTurn(c, t)
		}
	}
	c.ceilingTokens += own.Rate * d.refillSeconds(c.ceilingAt)
	c.ceilingTokens = min(c.ceilingTokens, own.Depth)
	if g := c.admitOnlyFraction(); g > 0 {
		c.ceilingKept += g * own.Rate * d.refillSeconds(c.ceilingAt)
		c.ceilingKept = max(0, min(c.ceilingKept, c.ceilingTokens, max(1, g*own.Depth)))
	} else {
		c.ceilingKept = 0
	}
	c.ceilingAt = d.now
	return c.ceilingTokens
}

// admitOnlyFraction is the part of a customer's demand that asks for leave only.
func (c *customer) admitOnlyFraction() float64 {
	if c.admitOnlyDemand < minAdmitOnlyFraction*c.demand {
		return 0
	}
	return min(1, c.admitOnlyDemand/c.demand)
}

// ceilingRoom is how much of this door's share of the ceiling a request can have now. What asks for leave joins no
// line, those would take all of the share under a flood: by its part of the demand some is kept.
func (d *Balancer) ceilingRoom(r *request, p *Plan) float64 {
	have := d.refillCeiling(r.customer, p)
	if r.admitOnly {
		return max(r.customer.ceilingKept, have-r.customer.ceilingQueued)
	}
	return have - r.customer.ceilingKept - r.customer.ceilingQueued
}

// expectedLatency is the time an answer takes, by recent ones: the class's mean times size and the server's slowness.
func (d *Balancer) expectedLatency(r *request, s *endpoint) float64 {
	if r.admitOnly {
		return 0
	}
	if s != nil {
		return d.classes[r.class].meanLatency * r.cost * s.latencyFactor
	}
	return d.classes[r.class].meanLatency * r.cost
}

// evidenceScarcity says from 0 to 1 how little a door learns of one server by its own sends.
func (d *Balancer) evidenceScarcity() float64 {
	return 1 - min(1, d.warmEndpointRate/currentEvidenceRate)
}

// selectEndpoint picks a server: round robin, passing over one on which more work waits for its weight and speed, and
// one in its pause. Where a door sends to each so rarely that what it knows is old or luck, chance has a part
// (a departure: then all doors together give each server by its weight and speed; none is found by all).
func (d *Balancer) selectEndpoint(r *request) *endpoint {
	var best *endpoint
	low, chance := math.Inf(1), d.evidenceScarcity()
	d.roundRobin++
	for i := range d.endpointOrder {
		s := d.endpointOrder[(d.roundRobin+i)%len(d.endpointOrder)]
		if !s.isUsable() || !d.canRetryOn(r, s) {
			continue
		}
		cost := (s.inFlightWork + s.queuedWork + 1) * s.latencyFactor / (s.weight * d.capacityFraction(s))
		if s.zone != d.settings.Zone {
			cost *= zonePenaltyMin + zonePenaltyPerCost*d.settings.CrossZoneCost
		}
		if chance > 0 {
			cost *= 1 - chance + chance*d.rng.ExpFloat64()
		}
		if !s.inSubset {
			cost += 500 // before one that is not free
		}
		if s.overdue { // else the warm ones might take all for seconds
			cost = 0
		}
		if !d.hasFreeSlot(s) {
			cost = cost*10/min(1, s.concurrencyLimit) + 1e3
		}
		if d.slowStartExhausted(s) {
			cost += 1e6
		}
		if cost < low-1e-9 {
			best, low = s, cost
		}
	}
	return best
}

// canRetryOn says whether a request that may have run can go to a server (rule 2).
func (d *Balancer) canRetryOn(r *request, s *endpoint) bool {
	if !r.mayHaveRun {
		return true
	}
	cl := &d.settings.Classes[r.class]
	if cl.Idempotency != IdempotentByKey {
		return cl.Idempotency == Idempotent
	}
	return d.now < d.retryDeadline(r) && (cl.DedupScope == DedupAll ||
		s.zone == r.firstRunOn.zone && (cl.DedupScope == DedupZone || s.cell == r.firstRunOn.cell))
}

// retryDeadline is when the window ends in which a repeat of a keyed request is known for one, less its way there.
func (d *Balancer) retryDeadline(r *request) time.Duration {
	return r.firstRunAt + d.settings.Classes[r.class].DedupWindow - retryWriteMargin
}

// assign queues a request at a server and releases what may go.
func (d *Balancer) assign(r *request) {
	if r.admitOnly {
		d.grantAdmission(r)
		return
	}
	if t := d.probeCandidate(r); t != nil {
		d.dispatch(r, t, true)
		return
	}
	s := d.selectEndpoint(r)
	if s == nil && d.allAdminEjected() {
		d.reject(r, d.settings.MaxRetryAfter, EndpointsEjected)
		return
	}
	if s == nil && !r.mayHaveRun {
		d.unplaced = append(d.unplaced, r)
		return
	}
	if s == nil || d.shouldShed(r, s) {
		d.reject(r, 0, QueueTooLong)
		return
	}
	d.enqueue(r, s)
	d.dispatchQueued(s)
}

// grantAdmission is the one place that grants. It counts as sent on: the ceiling's units are spent here, and the cap
// on what is open at once holds until the work is said to be done, or the hold runs out.
func (d *Balancer) grantAdmission(r *request) {
	p := &d.settings.Plans[r.plan]
	if d.now >= r.arrivedAt+r.timeLimit || !d.drawCeiling(r, p) {
		d.reject(r, d.refillTime(r.customer, p, r.units), CeilingExceeded)
		return
	}
	d.releaseCeiling(r, true)
	r.admitted, r.holdUntil = true, d.now+r.holdFor
	d.emit(Admit{r.id})
	if !r.inFlight || r.holdFor <= 0 {
		d.finish(r)
		return
	}
	d.emit(SetTimer{r.holdUntil, r.id<<1 | 1})
}

// shouldShed is EQ 4 seen from the back of the queue: what would come to wait for most of its time is refused
// while the client can still try again in time (a departure: the paper lets it wait until it is stale; under
// overload every answer then comes at the last moment, and each client's next try too late).
func (d *Balancer) shouldShed(r *request, s *endpoint) bool {
	free := d.hasFreeSlot(s)
	if r.withinQuota && len(r.attempts) == 0 { // what the plan pays for tells how short the servers are
		short := 0.0
		if !free {
			short = 1
		}
		d.shortage += shortageGain * (short - d.shortage)
	}
	if r.level == lowestLevel && d.rng.Float64() < d.shortage*shortageShedFactor {
		return true // a free place is needed for more than this soon
	}
	if free { // with many doors the queue is inside the servers, and latency tells of it (a departure)
		lat := d.classes[r.class].meanLatency * max(1, d.fleetSlowdown) * r.cost
		idle := cmp.Or(d.classes[r.class].idleLatency*r.cost, lat)
		part := (lat - idle) / max(1e-3, r.timeLimit.Seconds()*latencyHeadroomFraction-idle) *
			(1 + shedLevelSlope*float64(r.level)/lowestLevel)
		return d.rng.Float64() < min(1, 2*d.evidenceScarcity())*min(shedMaxProbability, (part-shedFromFraction)/(shedAllFraction-shedFromFraction))
	}
	if len(r.attempts) > 0 {
		return false
	}
	ahead := r.cost
	for l := 0; l <= r.level; l++ {
		ahead += s.levelWork[l]
	}
	lat := d.classes[r.class].meanLatency * s.latencyFactor
	share := joinShareOfDeadline * math.Pow(1-float64(r.level)/(2*priorityBands), 2) // the lower the level, the sooner
	return (d.now-r.arrivedAt).Seconds()+ahead*lat/s.concurrencyLimit+d.expectedLatency(r, s) >= r.timeLimit.Seconds()*latencyHeadroomFraction*share
}

// hasFreeSlot says whether a server has a free slot. Less than one slot means a pause between sends: with many doors
// even one request each can be too much, and what a server turns away costs it work as well.
func (d *Balancer) hasFreeSlot(s *endpoint) bool {
	return s.inFlightWork < math.Floor(max(1, s.concurrencyLimit)) && d.now >= s.pausedUntil
}

// dispatchQueued releases requests to a server while it has a slot. With nothing queued it helps the longest queue.
func (d *Balancer) dispatchQueued(s *endpoint) {
	for s.isUsable() && d.hasFreeSlot(s) && !d.slowStartExhausted(s) {
		from := s
		if s.queued == 0 && d.queuedRequests == 0 {
			return
		} else if s.queued == 0 {
			for _, o := range d.endpointOrder {
				if o.queued > from.queued && !d.hasFreeSlot(o) {
					from = o
				}
			}
		}
		r := d.nextRequest(from, s)
		if r == nil {
			return
		}
		d.dequeue(r)
		d.dispatch(r, s, false)
	}
}

// nextRequest chooses from the queues of one server for a slot of another (mostly the same). EQ 3 refuses what is
// stale, in the promoted levels too (a departure: what no longer can be in time only delays the rest). EQ 4
// goes down the levels while their summed counts, times the latency and over the slots, stay under tau*f; the
// first level with a request is always open. The oldest request of the open levels goes.
func (d *Balancer) nextRequest(from, to *endpoint) *request {
	var best *request
	sum := 0.0
	for l := range from.queue {
		for from.levelCount[l] > 0 {
			r := from.head(l)
			if (d.now-r.arrivedAt).Seconds()+d.expectedLatency(r, to) < r.timeLimit.Seconds()*latencyHeadroomFraction {
				break
			}
			d.reject(r, 0, StaleInQueue)
		}
		if from.levelCount[l] == 0 {
			continue
		}
		r := from.head(l)
		sum += from.levelWork[l]
		ahead := (sum + to.inFlightWork) * d.classes[r.class].meanLatency * to.latencyFactor / to.concurrencyLimit
		if best != nil && ahead >= r.timeLimit.Seconds()*latencyHeadroomFraction*queueShareOfDeadline {
			break
		}
		if (best == nil || r.arrivedAt < best.arrivedAt) && d.canRetryOn(r, to) {
			best = r
		}
	}
	return best
}

// slowStartExhausted says that a cold server has had its budget: package cold says what that is.
func (d *Balancer) slowStartExhausted(s *endpoint) bool {
	w := slowstart.Warmth{Now: d.capacityFraction(s), Then: d.capacityFractionAt(s, d.now-d.settings.OverloadWindow)}
	return w.Now < 1 && s.slowStart.Full(d.now, d.slowStartTerms(), d.warmEndpointRate*s.weight*s.slowStartShare, w, d.rng.Float64)
}

// dispatch is the one place that sends. The guards come last here, whatever was decided before.
func (d *Balancer) dispatch(r *request, s *endpoint, trial bool) {
	p := &d.settings.Plans[r.plan]
	switch {
	case !s.inService: // drain: nothing new from the moment it is told
		d.assign(r)
		return
	case r.attemptsOut > 0 || len(r.attempts) >= r.maxAttempts || !d.canRetryOn(r, s) || d.now >= r.arrivedAt+r.timeLimit:
		d.reject(r, 0, StaleInQueue)
		return
	}
	if len(r.attempts) == 0 {
		if !d.drawCeiling(r, p) {
			d.reject(r, d.refillTime(r.customer, p, r.units), CeilingExceeded)
			return
		}
	}
	d.releaseCeiling(r, true)
	a := &attempt{request: r, number: len(r.attempts), endpoint: s, sentAt: d.now, probe: trial, open: true}
	limit := r.arrivedAt + r.timeLimit - d.now
	if trial {
		s.probing = true
		limit = min(limit, time.Duration(probeTimeoutLatencies*d.expectedLatency(r, nil)*float64(time.Second)))
	}
	if len(s.inFlight) == 0 {
		s.lastResponseAt = max(s.lastResponseAt, d.now)
	}
	r.attempts = append(r.attempts, a)
	r.attemptsOut++
	s.inFlight = append(s.inFlight, a)
	s.overdue = false
	s.inFlightWork += r.cost
	if s.warmingUp {
		s.slowStart.Sent(d.now, r.cost)
	}
	by := time.Duration(0)
	if r.mayHaveRun && d.settings.Classes[r.class].Idempotency == IdempotentByKey {
		by = d.retryDeadline(r)
	}
	d.emit(Dispatch{r.id, s.name, limit, by})
}

// handleAttemptResult takes the end of an attempt.
func (d *Balancer) handleAttemptResult(ev AttemptResult) {
	r := d.requests[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].open {
		return
	}
	a := r.attempts[ev.Attempt]
	a.open = false
	r.attemptsOut--
	s := a.endpoint
	if a.responseStarted {
		d.finish(r)
		d.forgetIfDone(r)
		return
	}
	s.completeAttempt(a)
	if ev.Status == NotSent {
		s.slowStart.Unsent(a.sentAt, r.cost)
	}
	if !r.mayHaveRun && ev.Status != Rejected && ev.Status != ConnectFailed && ev.Status != NotSent {
		r.mayHaveRun, r.firstRunAt, r.firstRunOn = true, a.sentAt, s
	}
	d.recordResult(s, a, ev)
	if ev.Status == OK && d.settings.EstimatedUnits && ev.Units > 0 && r.withinQuota {
		r.customer.tokens -= ev.Units - r.units
	}
	if ev.RequestClosed || ev.Status == OK {
		d.finish(r)
	}
	if r.ended {
		d.forgetIfDone(r)
	} else if !r.streaming && r.attemptsOut == 0 {
		d.retry(r)
	}
	d.dispatchQueued(s)
}

// handleFirstByte takes the first byte of a streamed answer: the server's work is done, and how long it takes to pass
// the rest on says nothing of it.
func (d *Balancer) handleFirstByte(ev FirstByte) {
	r := d.requests[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].open || r.streaming {
		return
	}
	a := r.attempts[ev.Attempt]
	r.streaming, a.responseStarted, r.mayHaveRun, r.firstRunAt, r.firstRunOn = true, true, true, a.sentAt, a.endpoint
	a.endpoint.completeAttempt(a)
	d.recordResult(a.endpoint, a, AttemptResult{Status: OK, Latency: d.now - a.sentAt})
	d.dispatchQueued(a.endpoint)
}

// retry sends a request on again where its class allows it and an answer could still be in time.
func (d *Balancer) retry(r *request) {
	if len(r.attempts) >= r.maxAttempts || (d.now-r.arrivedAt).Seconds()+d.expectedLatency(r, nil) >= r.timeLimit.Seconds() {
		d.reject(r, 0, RetryNotPossible)
		return
	}
	d.assign(r)
}

// recordResult takes what an outcome tells of a server: latency, slots, signs of life.
func (d *Balancer) recordResult(s *endpoint, a *attempt, ev AttemptResult) {
	k := &d.classes[a.request.class]
	took := max(1e-3, ev.Latency.Seconds())              // within a tick counts as a millisecond
	ratio := min(took/(k.meanLatency*a.request.cost), 8) // one costly request says little of its server
	news := min(ratio, fleetSlowdownMax)
	if ev.Status == OK || ev.Status == Rejected || ev.Status == Timeout && !s.ejected {
		if ev.Status == Rejected {
			news = fleetSlowdownRejected
		}
		d.fleetSlowdown += min(fleetSlowdownMaxGain, (d.now-d.fleetSlowdownAt).Seconds()/fleetSlowdownSeconds) * (news - d.fleetSlowdown)
		d.fleetSlowdownAt = d.now
	}
	if ev.Status == Cancelled && a.request.ended && d.now >= a.request.arrivedAt+a.request.timeLimit-tickInterval {
		ev.Status = Timeout // the request's own end came first
	}
	switch ev.Status {
	case Reset, ConnectFailed:
		if s.connectionFailures++; s.connectionFailures > 1 { // one broken connection says nothing of its server
			s.concurrencyLimit *= rejectedDecrease
		}
		if s.connectionFailures >= maxConnectionFailures && !s.ejected {
			d.eject(s)
		}
	case Timeout:
		if !s.ejected {
			s.timeouts++
			s.latencyFactor += latencyFactorGain * (ratio - s.latencyFactor)
			s.concurrencyLimit *= timeoutDecrease
		}
	case OK, Failed, Rejected:
		s.lastResponseAt, s.timeouts, s.connectionFailures = d.now, 0, 0
		if s.ejected {
			d.reinstate(s, a.probe)
		}
	}
	switch ev.Status {
	case Rejected:
		s.concurrencyLimit = min(1, s.concurrencyLimit) * rejectedDecrease
	case OK:
		s.latencyFactor = max(0.2, s.latencyFactor+latencyFactorGain*(ratio-s.latencyFactor))
		if !s.warmingUp {
			d.recordWarmRate(a.request.cost)
		} else if took <= a.request.timeLimit.Seconds() {
			s.slowStart.Answered(d.now, a.request.cost)
		}
		k.answers++
		k.costProfile.Add(a.request.units, took/k.meanLatency, true)
		k.meanLatency += max(meanLatencyGain, 1/float64(k.answers)) * (took/a.request.cost - k.meanLatency)
		d.adjustConcurrency(s, a.request)
	}
	if !s.ejected && (ev.Status == Timeout || ev.Status == Cancelled && d.now >= a.request.arrivedAt+a.request.timeLimit-tickInterval) {
		k.costProfile.Add(a.request.units, took/k.meanLatency, false)
	}
	if a.probe && s.ejected {
		d.scheduleProbe(s)
	}
	s.concurrencyLimit = max(minConcurrency, s.concurrencyLimit)
	if s.concurrencyLimit < 1 && d.now >= s.pausedUntil {
		rest := d.expectedLatency(a.request, s) * (1/s.concurrencyLimit - 1)
		s.pausedUntil = d.now + time.Duration(rest*float64(time.Second))
	}
}

// adjustConcurrency grows the slots while latency is well under tau*f and all are in use, and shrinks them when it is not.
// It also keeps latency near that of an idle fleet (a departure: tau*f alone lets queues form inside the
// servers, where no level counts and where work that nobody waits for any more goes on). That floor follows
// the class's mean down at once, and up only while so few slots are open that waiting can't be the cause: so
// a slowness of everything is told from overload.
func (d *Balancer) adjustConcurrency(s *endpoint, r *request) {
	k := &d.classes[r.class]
	if k.meanLatency < k.idleLatency || k.answers <= idleLatencyMinAnswers { // the first few may be small or lucky ones
		k.idleLatency = k.meanLatency
	} else if s.concurrencyLimit*d.liveGateways() <= minimalConcurrency {
		k.idleLatency += idleLatencyGain * (k.meanLatency - k.idleLatency)
	}
	high := min(r.timeLimit.Seconds()*latencyHeadroomFraction*shrinkDeadlineFraction, shrinkLatencyRatio*k.idleLatency)
	switch lat := k.meanLatency * s.latencyFactor; {
	case lat > high && s.concurrencyLimit*d.liveGateways() > 0.7*minimalConcurrency:
		s.concurrencyLimit *= lateDecrease
	case lat < high*growLatencyFraction && s.inFlightWork+1 >= math.Floor(s.concurrencyLimit):
		s.concurrencyLimit = min(maxConcurrency, s.concurrencyLimit+concurrencyIncrease/max(1, s.concurrencyLimit))
	}
}

// reject gives the final answer: a refusal where the rules let it be said, else a failure (rule 2).
func (d *Balancer) reject(r *request, pause time.Duration, why Reason) {
	if r.ended {
		return
	}
	cl := &d.settings.Classes[r.class]
	mayHaveRun := r.mayHaveRun || r.attemptsOut > 0
	d.finish(r)
	if mayHaveRun && (cl.Idempotency == NonIdempotent || cl.Idempotency == IdempotentByKey && cl.DedupScope != DedupAll) {
		d.emit(Fail{r.id, why})
	} else {
		if !d.settings.SendRetryAfter {
			pause = 0
		}
		d.emit(Reject{r.id, min(pause, d.settings.MaxRetryAfter), why})
	}
	d.forgetIfDone(r)
}

// finish marks a request as over and calls off what is still out.
func (d *Balancer) finish(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	d.dequeue(r)
	d.releaseCeiling(r, false)
	for _, a := range r.attempts {
		if a.open && d.settings.AllowCancel && !r.streaming {
			d.emit(CancelAttempt{r.id, a.number})
		}
	}
	if len(r.attempts) == 0 && !r.admitted && r.withinQuota && d.settings.Plans[r.plan].Rate > 0 {
		r.customer.tokens += r.units
	}
	if r.inFlight {
		r.inFlight = false
		r.customer.inFlight--
		d.serveWaiting(r.customer)
	}
	d.forgetIfDone(r)
}

// tick looks for what no event tells: silence, waiting customers, free slots.
func (d *Balancer) tick() {
	d.emit(SetTimer{d.now + tickInterval, 0})
	for _, s := range d.endpointOrder {
		if d.now-d.tickedAt < stallThreshold { // else this door stood still, and what came meanwhile is not yet read
			d.checkSilence(s)
		}
	}
	d.tickedAt = d.now
	if d.now < d.leasingFrom && d.canCallCounter() { // else doors with few requests go by shares while others lend
		d.lastCounterCallAt = d.now
		d.callTest()
	}
	stuck := d.unplaced
	d.unplaced = nil
	for _, r := range stuck {
		if !r.ended {
			d.assign(r)
		}
	}
	if d.queuedRequests > 0 {
		for _, s := range d.endpointOrder {
			d.dispatchQueued(s)
		}
	}
	list := d.waitingCustomers
	d.waitingCustomers = nil
	for _, c := range list {
		c.inWaitingList = false
		d.serveWaiting(c)
	}
	d.sweepCustomers()
	if d.settings.PollEndpoints && d.settings.PollInterval > 0 && d.now-d.endpointsUpdatedAt > d.settings.PollInterval/2 {
		d.endpointsUpdatedAt = d.now
		d.emit(FetchEndpoints{})
	}
}

// checkSilence finds a server silent when the attempts out there have waited, summed up, far longer than
// answers take while nothing was heard. It covers hung, cut off and stopped machines. If fewer than a quarter
// of the servers answer, it is not this server's fault. It could harm a server that got several costly
// requests in a row; the first late answer brings such a one back.
func (d *Balancer) checkSilence(s *endpoint) {
	if s.ejected {
		if s.inService && d.settings.AllowHealthChecks && d.now >= s.nextProbeAt && !s.probing {
			s.probing = true
			d.emit(HealthCheck{s.name})
		}
		return
	}
	sum := maxSilencePerAttempt * float64(s.timeouts)
	for _, a := range s.inFlight {
		quiet := (d.now - max(a.sentAt, s.lastResponseAt)).Seconds()
		sum += min(maxSilencePerAttempt, quiet/d.expectedLatency(a.request, s))
	}
	if sum < silenceLatencies || d.now-s.lastResponseAt < minSilence {
		return
	}
	live := 0
	for _, o := range d.endpointOrder {
		if o.isUsable() && d.now-o.lastResponseAt < d.now-s.lastResponseAt && d.now-o.lastResponseAt < 500*time.Millisecond {
			live++
		}
	}
	if 4*live >= len(d.endpointOrder) && live > 0 {
		d.eject(s)
	}
}

// eject stops new work to a server, moves its queue on and calls back what could still be served elsewhere.
func (d *Balancer) eject(s *endpoint) {
	s.ejected, s.probing = true, false
	s.probePause = max(firstProbePause, time.Duration(d.rng.Int64N(int64(d.liveGateways())*int64(probePausePerGateway))))
	s.nextProbeAt = d.now + s.probePause
	d.emit(LogLine{"no longer used: " + s.name})
	health := Unresponsive
	if s.connectionFailures >= maxConnectionFailures {
		health = ConnectionsBroken
	}
	d.emit(HealthReport{s.name, health, s.lastResponseAt})
	d.reassignQueue(s)
	if !d.settings.AllowCancel {
		return
	}
	for _, a := range s.inFlight {
		if !a.request.ended && !a.request.streaming && (d.now-a.request.arrivedAt).Seconds()+d.expectedLatency(a.request, nil) < a.request.timeLimit.Seconds() {
			d.emit(CancelAttempt{a.request.id, a.number})
		}
	}
}

func (d *Balancer) scheduleProbe(s *endpoint) {
	s.probing = false
	s.probePause = min(max(maxProbePause, time.Duration(d.liveGateways())*probePausePerGateway), s.probePause*3/2)
	s.nextProbeAt = d.now + s.probePause
}

// probeCandidate gives an ejected server one safe request with time for another attempt, without probes.
func (d *Balancer) probeCandidate(r *request) *endpoint {
	if d.settings.AllowHealthChecks || d.settings.Classes[r.class].Idempotency != Idempotent || len(r.attempts) > 0 || r.maxAttempts < 2 ||
		r.timeLimit.Seconds() < probeTimeLatencies*d.expectedLatency(r, nil) {
		return nil
	}
	for _, s := range d.endpointOrder {
		if s.inService && s.ejected && !s.probing && d.now >= s.nextProbeAt && !d.slowStartExhausted(s) {
			return s
		}
	}
	return nil
}

func (d *Balancer) handleHealthCheckResult(ev HealthCheckResult) {
	s := d.endpoints[ev.Endpoint]
	if s == nil || !s.ejected {
		return
	}
	d.scheduleProbe(s)
	if ev.Status == OK {
		d.reinstate(s, true)
	}
}

// reinstate takes a server back. One that comes back from silence may have started anew: it counts as cold.
func (d *Balancer) reinstate(s *endpoint, fresh bool) {
	fresh = fresh && d.now-s.lastResponseAt > restartSilence
	s.ejected, s.probing, s.connectionFailures, s.timeouts, s.lastResponseAt = false, false, 0, 0, d.now
	d.emit(LogLine{"used again: " + s.name})
	if fresh {
		s.warmingUp, s.warmUpFrom, s.latencyFactor, s.concurrencyLimit = true, d.now, 1, 1
		d.emit(HealthReport{s.name, WarmingUp, d.now})
	}
}

// handleHealthReport takes what another door of this process has found out about a server (ours). Its word on silence
// counts as two answers owed, and on broken connections as all but one: an own sign of life since outweighs
// it, and one attempt that goes the same way settles it. A server that came back cold is cold for this door
// too, and asked at once if left out.
func (d *Balancer) handleHealthReport(f HealthReport) {
	s := d.endpoints[f.Endpoint]
	switch {
	case s == nil || !s.inService:
	case f.Health == WarmingUp:
		if !s.ejected && d.now-s.lastResponseAt < restartSilence {
			return // it has answered here while it was silent there
		}
		if !s.warmingUp || s.warmUpFrom < f.Since {
			s.warmingUp, s.warmUpFrom, s.concurrencyLimit = true, f.Since, min(1, s.concurrencyLimit)
		}
		s.nextProbeAt = min(s.nextProbeAt, d.now)
	case s.ejected:
	case f.Health == ConnectionsBroken:
		s.connectionFailures = max(s.connectionFailures, maxConnectionFailures-1)
	case s.lastResponseAt <= f.Since || len(s.inFlight) > 0 && s.lastResponseAt <= s.inFlight[0].sentAt: // a send is no sign of life
		s.timeouts = max(s.timeouts, reportedTimeouts)
	}
}

// handleEndpointUpdate takes news of the backends.
func (d *Balancer) handleEndpointUpdate(ev EndpointUpdate) {
	if ev.Kind == UpdateFailed {
		if !d.watchRetryPending {
			d.watchRetryPending = true
			d.watchBackoff = min(8*time.Second, max(500*time.Millisecond, 2*d.watchBackoff))
			d.emit(SetTimer{d.now + d.watchBackoff, 2})
		}
		return
	}
	d.endpointsUpdatedAt, d.watchBackoff = d.now, 0
	for _, b := range ev.Entries {
		d.applyEntry(b)
	}
	if ev.Kind != Delta {
		d.removeUnlisted(ev.Entries)
	}
	d.removeGoneEndpoints()
	d.updateSubset()
	for _, s := range d.endpointOrder {
		d.dispatchQueued(s)
	}
}

// applyEntry takes what the list says of one backend. One that was started lately is cold.
func (d *Balancer) applyEntry(b Endpoint) {
	s := d.endpoints[b.Name]
	if s == nil {
		if b.State != Serving {
			return
		}
		s = &endpoint{name: b.Name, startedAt: -1, concurrencyLimit: max(minConcurrency, initialConcurrency/d.liveGateways())}
		d.endpoints[b.Name] = s
		d.endpointOrder = append(d.endpointOrder, s)
	}
	if b.StartedAt != s.startedAt {
		s.startedAt, s.lastResponseAt, s.latencyFactor = b.StartedAt, d.now, 1
		s.ejected, s.probing, s.connectionFailures, s.timeouts = false, false, 0, 0
		if b.StartedAt > 0 && d.now-b.StartedAt < d.settings.SlowStartDuration {
			s.warmingUp, s.warmUpFrom, s.concurrencyLimit = true, b.StartedAt, 1
		}
	}
	s.zone, s.cell, s.weight, s.slowStartShare = b.Zone, b.Cell, cmp.Or(max(0, b.Weight), 1), cmp.Or(max(0, b.SlowStartShare), 1)
	_, banned := d.adminEjected[s.name]
	s.listed = b.State == Serving
	s.inService = (s.inService || s.listed) && !banned
	if !s.listed {
		d.stopSending(s)
	}
}

// handleAdminRestore lets a server serve again that was taken out by hand. It may have started anew meanwhile: it is
// cold from when the list says that it started, if that was while it was out, else from now.
func (d *Balancer) handleAdminRestore(name string) {
	since, ok := d.adminEjected[name]
	if !ok {
		return
	}
	delete(d.adminEjected, name)
	d.emit(LogLine{"back by hand: " + name})
	s := d.endpoints[name]
	if s == nil || !s.listed {
		return
	}
	s.inService, s.ejected, s.probing, s.connectionFailures, s.timeouts, s.lastResponseAt = true, false, false, 0, 0, d.now
	s.warmingUp, s.warmUpFrom, s.latencyFactor, s.concurrencyLimit, s.overdue = true, d.now, 1, 1, true
	if s.startedAt > since {
		s.warmUpFrom = s.startedAt
	}
	soon := adminRestoreSpread * time.Duration(max(1, int(d.liveGateways())/crowdFrom))
	s.slowStart.Hold(d.now + 1 + time.Duration(d.rng.Int64N(int64(soon))))
	d.updateSubset()
	d.dispatchQueued(s)
}
