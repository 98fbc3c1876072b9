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
	margin       = 0.9                     // f of EQ 3 and EQ 4 (the design page)
	patience     = 0.5                     // share of tau*f that the open levels may be expected to take
	joins        = 0.8                     // ... and that a request of the top level may on joining
	bands        = 6                       // levels by worth ...
	steps        = 2                       // ... and how many of them halve it
	lowest       = 2 * bands               // level of what is beyond a soft quota; promoted bands come first
	priorShare   = 0.1                     // latency before the first answer, as a share of the aim
	baseGain     = 0.03                    // weight of an answer in a class's mean latency: a second's worth
	slowGain     = 0.15                    // weight of an answer in a server's slowness against its peers
	evidence     = 1.0                     // answers a second of each server that make what is known current
	fleetOver    = 2.0                     // else the answers of all servers are averaged over these seconds ...
	fleetMost    = 0.2                     // ... one weighing this at most ...
	fleetWorst   = 4.0                     // ... and counting as this many of its class's means ...
	fleetFull    = 6.0                     // ... a refusal by a server as these
	thinFrom     = 0.4                     // part of tau*f that waiting in servers takes when some are refused
	thinAll      = 0.8                     // ... and at which all are ...
	thinMost     = 0.97                    // ... but for a few, whose answers tell when it is over
	thinSlope    = 1.5                     // what the lowest level adds to that part, as a multiple
	shortGain    = 0.02                    // weight of a request in the part that finds no free place ...
	shortMost    = 2.0                     // ... and over how much of it nothing beyond a quota is sent
	zoneLeast    = 1.05                    // what a server of another zone counts for in the choice ...
	zoneCost     = 30.0                    // ... and by how much more, times the price of a crossing
	slotsStart   = 4.0                     // slots of a server at first, over all doors
	slotsMost    = 32.0                    // slots at most
	slotsLeast   = 0.1                     // and at least: under one, pauses between sends
	growBy       = 0.5                     // slots gained by each answer in time, over the slots
	shrinkAbove  = 0.4                     // slots shrink when latency is over this share of tau*f ...
	shrinkRatio  = 2.2                     // ... or this many times an idle fleet's latency, and grow ...
	growShare    = 0.7                     // ... while it is under this share of both ("well under")
	squeezed     = 3.0                     // slots over all doors at which waiting can't explain latency
	floorAfter   = 30                      // answers from which a mean can be a floor
	floorGain    = 0.015                   // weight of an answer by which the idle latency then rises
	shrinkBy     = 0.93                    // factor for each late answer
	lateBy       = 0.8                     // factor for an attempt out of time: it may still hold its place
	fullBy       = 0.7                     // factor for a refusal or a broken connection
	leaseAhead   = 1500 * time.Millisecond // demand that one lease should cover: few calls
	atOnceRoom   = 0.5                     // attempts that other doors may have out beyond their mean
	leaveLeast   = 0.01                    // part of the demand from which some of the ceiling is kept for leave
	ceilWait     = 0.3                     // part of its time that a request waits for the ceiling's share
	fullFrom     = 0.75                    // part of a store from which a lease may reach further ...
	fullAhead    = 400 * time.Second       // ... by this, times what a call for each request costs ...
	leaseFull    = 8 * time.Second         // ... but by no more than this
	askAhead     = 300 * time.Millisecond  // demand the tokens left must cover, else the next is asked for
	demandOver   = 2 * time.Second         // demand is averaged over this
	leaseLife    = 3 * time.Second         // tokens not spent by then are given back with the next call
	windowLen    = 30 * time.Second        // a counter's name serves this long ...
	keepFor      = 50 * time.Second        // ... and is kept this long (the counter keeps nothing over 60 s)
	mostAsks     = 32                      // counter calls out at once
	standsFor    = 3.0                     // requests that one call of a thin customer stands for at most
	callsLeast   = 0.1                     // part of the requests without tokens that call, at least
	callTakes    = 0.7                     // part of its time-out that a call should take at most ...
	callsGrow    = 0.2                     // ... else fewer call; growth of their part by an instant answer
	callsCut     = 0.8                     // factor for each call failed
	overfull     = 0.5                     // parts of a burst over its most at which a store is put right
	carryLeast   = 0.05                    // ... and part of one from which it is carried into a window's number
	emptyDoors   = 4.0                     // doors that an empty store serves in the time it gains a unit
	emptyMost    = 8 * time.Second         // and no door waits longer than this to ask again
	callsFew     = 0.2                     // part at which the counter is taken to be silent or swamped
	counterTry   = 100 * time.Millisecond  // pause between calls that then test it, at least ...
	counterEach  = 5 * time.Millisecond    // ... and for each door
	aheadLeast   = 2.0                     // requests in a lease's life from which the next lease is asked ahead
	tick         = 20 * time.Millisecond   // pace of the checks that no event brings
	stalled      = 5 * tick                // a check that comes so late says that this door stood still
	failsMost    = 3                       // broken connections in a row at which a server is left out
	quietSum     = 12.0                    // waits of all attempts out, in latencies, that mean silence ...
	quietLeast   = 200 * time.Millisecond  // and no silence is shorter than this
	quietEach    = 5.0                     // ... one attempt adding no more (it may be a costly one)
	trialFirst   = 400 * time.Millisecond  // pause before the first trial of an ejected server
	trialMost    = 2 * time.Second         // and the longest later one
	trialEach    = 50 * time.Millisecond   // ... and for each door
	trialRoom    = 7.0                     // latencies of time that a request must have to serve as a trial ...
	trialWait    = 4.0                     // ... and that the trial may take of it
	restartTime  = 2 * time.Second         // a server silent for longer may have been started anew
	rateOver     = 3.0                     // seconds over which the sends to a warm server are averaged
	attachUse    = 2 * time.Second         // with few doors, a server back by hand is used within this
	evidenceLost = 2                       // answers owed as which another door's word on a silence counts
	forgetAfter  = 60 * time.Second        // an idle customer is forgotten
	repeatWay    = 20 * time.Millisecond   // a repeat is written whole so long before its window ends
)

// prime sets what a door takes for granted before it has seen anything.
func (d *Balancer) prime() {
	d.fleet = 1
	if d.set.UseCounter {
		d.callShare = 1
	}
	d.act(SetTimer{d.now + tick, 0})
	if d.set.PollEndpoints {
		d.act(WatchEndpoints{})
	}
}

// admit takes a request in. Its tau is the time left, bounded by the aim where a late answer earns nothing
// (a departure: the paper knows one limit; here the client waits longer than the answer has worth).
func (d *Balancer) admit(ev Request) {
	if d.reqs[ev.ID] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(d.set.Classes) || ev.Plan < 0 || ev.Plan >= len(d.set.Plans) {
		d.act(Reject{ID: ev.ID, Reason: UnknownClass})
		return
	}
	if d.noPlace(ev) {
		return
	}
	cl := &d.set.Classes[ev.Class]
	r := &request{id: ev.ID, class: ev.Class, plan: ev.Plan, units: max(0, ev.Units), at: d.now, tau: ev.TimeLeft,
		most: d.set.MaxAttempts, retry: ev.ClientRetry, grant: ev.AdmitOnly, hold: ev.HoldFor}
	if cl.LateWeightFraction == 0 && cl.LatencyObjective > 0 {
		r.tau = min(r.tau, cl.LatencyObjective)
	}
	// What a door finds after it stood still has waited: first tries of a class have the same time at first.
	d.learned[ev.Class].mostLeft = max(d.learned[ev.Class].mostLeft, ev.TimeLeft)
	if d.now-d.lastAt > stalled && !ev.ClientRetry {
		r.tau = min(r.tau, cl.LatencyObjective-min(d.now-d.lastAt, d.learned[ev.Class].mostLeft-ev.TimeLeft))
	}
	r.c, r.size = d.customer(ev), d.learned[ev.Class].size.Of(ev.Units)
	d.reqs[r.id] = r
	if r.tau.Seconds() <= d.latency(r, nil)/2 {
		d.refuse(r, 0, InsufficientTime)
		return
	}
	if !r.grant { // a grant is given or refused now, but for the counter's answer
		d.act(SetTimer{d.now + r.tau - d.set.Resolution, r.id<<1 | 1})
	}
	r.c.usedAt = d.now
	gap := (d.now - r.c.demandAt).Seconds() / demandOver.Seconds()
	r.c.demand = r.c.demand*math.Exp(-gap) + r.units/demandOver.Seconds()
	if r.c.leave *= math.Exp(-gap); r.grant {
		r.c.leave += r.units / demandOver.Seconds()
	}
	r.c.demandAt = d.now
	// A line for the ceiling must stay short, or each that still goes out of it is nearly late; and what is
	// worth less leaves the room to what is worth more. What asks for leave only has no line to join.
	line := r.tau.Seconds() * ceilWait * cl.PriorityWeight / d.bestWorth
	if r.grant {
		line = 0
	}
	if fills := d.ceilingFills(r); fills > line {
		d.refuse(r, time.Duration(fills*float64(time.Second)), CeilingExceeded)
		return
	}
	if r.grant {
		if v := d.pay(r); v != wait {
			d.settle(r, v)
			return
		}
	}
	r.c.waiting = append(r.c.waiting, r)
	if r.grant {
		r.c.grants++
		d.act(SetTimer{d.now + r.tau - d.set.Resolution, r.id<<1 | 1})
	}
	d.serve(r.c)
}

// settle carries a verdict out. The request must have left its customer's line: this may serve others of it.
func (d *Balancer) settle(r *request, v verdict) {
	if v == beyond {
		d.beyond(r)
	} else {
		d.place(r)
	}
}

// serve decides for a customer's requests in the order they came, until one has to wait: for the counter's
// answer, for one of the customer's attempts to end, or for the ceiling's share to fill.
func (d *Balancer) serve(c *customer) {
	for len(c.waiting) > 0 {
		r := c.waiting[0]
		if r.ended {
			c.shift(r)
			continue
		}
		v := d.pay(r)
		if v == wait {
			break
		}
		c.shift(r)
		d.settle(r, v)
	}
	d.serveGrants(c)
	if len(c.waiting) > 0 && !c.listed {
		c.listed = true
		d.waiters = append(d.waiters, c)
	}
}

// serveGrants decides for what asks for leave only, past those that wait for the ceiling's share or for an
// attempt to end: it waits for nothing but the counter (ours: a proxy's own client is held up by it).
func (d *Balancer) serveGrants(c *customer) {
	for i := 0; i < len(c.waiting) && c.grants > 0; i++ {
		r := c.waiting[i]
		if !r.grant {
			continue
		}
		v := wait
		if !r.ended {
			if v = d.pay(r); v == wait {
				continue
			}
		}
		c.waiting = slices.Delete(c.waiting, i, i+1)
		c.grants--
		if i = -1; !r.ended { // this may serve others, so the line is looked at anew
			d.settle(r, v)
		}
	}
}

// pay promotes a request whose units are in the local tokens (stage 2 of the paper). A request without quota
// keeps its level by worth.
func (d *Balancer) pay(r *request) verdict {
	c, p := r.c, &d.set.Plans[r.plan]
	late := (d.now-r.at).Seconds()+d.latency(r, nil) >= r.tau.Seconds()*margin
	full := p.MaxInFlight > 0 && c.live >= d.atOnce(r, p)
	from, lent := fromShare, d.lent(r)
	short := r.units - d.room(r, p)
	if d.many(c, p) {
		return d.payMany(r, p, short > 0, late)
	}
	if full || short > 0 && lent == nil {
		fills := short / d.share(c, p).Rate // seconds
		if late || r.grant || !full && p.OverQuotaWeight > p.OverQuotaCost && fills > r.tau.Seconds()*ceilWait {
			return beyond
		}
		return wait
	}
	worth := max(1e-9, d.set.Classes[r.class].PriorityWeight*p.PriorityFactor*d.learned[r.class].size.Density(r.units))
	band := min(bands-1, max(0, int(steps*math.Log2(d.topWorth/worth))))
	r.level = band
	if p.Rate > 0 {
		switch v := d.spend(r, p, short > 0); {
		case v == beyond && lent != nil && d.leased(r, lent, late) == wait:
			return wait
		case v != paid:
			return v
		case r.unsure:
			r.level += bands
		case lent != nil && r.byLedger && d.seasoned(c, p):
			from = fromQuota
		}
	} else {
		if p.MaxInFlight == 0 {
			r.level += bands
		}
		if lent != nil {
			if v := d.leased(r, lent, late); v != paid {
				return v
			}
			from = fromLease
		}
	}
	r.paid = r.level < bands
	d.hold(r, from)
	return paid
}

// atOnce is how many of a customer's requests may be under way here: this door's share of the cap, or, where
// the counter tells that the others have less, what their demand leaves (a departure: traffic is uneven).
func (d *Balancer) atOnce(r *request, p *Plan) int {
	share := d.openShare(r.c, p)
	if r.c.known && d.callShare > callsFew {
		share = max(share, float64(p.MaxInFlight)-r.c.others/max(r.units, 1)*d.latency(r, nil)-atOnceRoom-p.OverQuotaCost)
	}
	return max(1, int(share))
}

// beyond decides for a request that no tokens pay.
func (d *Balancer) beyond(r *request) {
	p := &d.set.Plans[r.plan]
	full := p.MaxInFlight > 0 && r.c.live >= d.atOnce(r, p)
	from, room := fromShare, 0.0
	if t := d.lent(r); t != nil {
		from, room = fromLease, r.c.lease.Has(*t, d.now, !r.grant, r.c.leaves())
	} else {
		room = d.room(r, p)
	}
	if p.OverQuotaWeight <= p.OverQuotaCost || full || room < r.units {
		d.refuse(r, d.refill(r.c, p, r.units), QuotaExceeded)
		return
	}
	r.level = lowest
	d.hold(r, from)
	d.place(r)
}

// spend takes units from the lease, else from this door's own share, and calls the counter for more. The
// store itself lies on the counter: all that leaves it, spent or overflowed, is added, so one call tells its
// level to a door that has never seen the customer. Only a part of the requests calls, as large as the
// counter can serve; each such call stands for the others too, and these go by the door's share, into debt by
// one request (a departure: at many doors a share is less than one). What was just seen empty is not asked
// again until the customer's doors, taken together, would find it filled.
// Where this door's share of the ceiling is short, only what the ledger gave counts, and only if the door has
// known that for a while.
func (d *Balancer) spend(r *request, p *Plan, short bool) verdict {
	c := r.c
	r.byLedger = false
	if d.crowded() {
		return d.spendFew(r, p)
	}
	lent := d.terms[r.plan].Rate > 0
	life := leaseLife
	if c.known {
		life += d.further(c, p)
	}
	if lent && short {
		life = shortLife
	}
	if c.tokens > 0 && !c.asking && d.now-c.grantAt > life {
		if !lent { // else it is lost: the ceiling hangs on no full store being given more
			c.owed -= c.tokens // what the store holds now may differ from what it held then
		}
		c.tokens = 0
	}
	d.fillSpare(c, p)
	calls := d.set.UseCounter && !r.asked && d.now >= max(c.emptyUntil, c.pauseUntil) && d.mayCall()
	switch {
	case short && !d.seasoned(c, p):
		d.look(c)
		return beyond
	case c.tokens >= r.units:
		c.tokens -= r.units
		r.byLedger = true
		if use := c.demand * leaseLife.Seconds(); calls && !c.asking && c.tokens < c.demand*askAhead.Seconds() &&
			use >= aheadLeast*r.units {
			d.ask(c, p, r.units, short)
		}
		return paid
	case !short && c.spare+max(0, c.tokens) >= r.units:
		c.spare -= r.units - max(0, c.tokens)
		c.owed += r.units - max(0, c.tokens)
		c.tokens = min(0, c.tokens)
		return paid
	case c.asking:
		return wait
	case calls && (d.rng.Float64() < d.callShare || c.spare <= 0 && !r.retry && d.callShare > callsFew):
		r.asked = true
		d.ask(c, p, r.units, short)
		return wait
	case !short && d.now >= c.emptyUntil && c.spare > 0 && (!r.retry || !d.set.UseCounter):
		c.spare -= r.units
		r.unsure = true
		return paid
	}
	return beyond
}

// mayCall says that the counter can be asked: it answers, or this door's turn to test it has come.
func (d *Balancer) mayCall() bool {
	pause := max(counterTry, time.Duration(d.living())*counterEach)
	return !d.away && len(d.asks) < mostAsks && (d.callShare > callsFew || d.now-d.counterAt >= pause)
}

// further is by how much a lease reaches further ahead where the customer's store is nearly full: units that
// no other door misses may lie here, the longer the more a call costs.
func (d *Balancer) further(c *customer, p *Plan) time.Duration {
	full := max(0, d.level(c, p)/p.Burst-fullFrom) / (1 - fullFrom)
	return time.Duration(full * min(float64(leaseFull), d.set.CounterCallCost*float64(fullAhead)))
}

// ask adds a block on the counter: the units, or what this door's demand will use. What goes out past this
// door's share of the ceiling must not be kept for long: the ceiling's store fills meanwhile.
func (d *Balancer) ask(c *customer, p *Plan, units float64, short bool) {
	ahead := leaseAhead + d.further(c, p)
	if short {
		ahead = shortLife
	}
	block := max(units, math.Floor(min(c.demand*ahead.Seconds(), d.level(c, p)/c.doors)))
	c.asking, d.counterAt = true, d.now
	if short {
		d.look(c)
	}
	amount := block / max(d.callShare, 1/standsFor)
	if d.crowded() { // a door's requests are so few that each is counted
		block = max(units, math.Floor(min(c.demand*ahead.Seconds(), d.level(c, p)/crowdPart)))
		amount = block
	}
	if c.unheard || !c.known && d.terms[c.plan].Rate > 0 { // it may be lost, or all doors take it at once
		block, amount = units, units
	}
	d.call(c, block, amount+c.owed, c.owed).short = short
	c.owed = 0
}

// counted settles a call. The counter's state shows in its answers alone: each in time lets a larger part of
// the requests call, each late or failed one a smaller.
func (d *Balancer) counted(ev CounterResult) {
	k := d.answered(ev.Name)
	if k == nil {
		return
	}
	if ev.Status == OK {
		d.calls.Answered(d.now, d.now-k.at)
	} else if ev.Status != Failed {
		d.calls.Failed(d.now, k.at)
	}
	if ev.Status == Failed { // the counter lives, and this says nothing of how much it bears
	} else if ev.Status != OK {
		if k.at >= d.cutAt { // the calls of one connection end together, and say no more than one of them
			d.callShare, d.cutAt = max(callsLeast, d.callShare*callsCut), d.now
		}
	} else {
		took := (d.now - k.at).Seconds() / d.set.CounterTimeout.Seconds()
		d.callShare = min(1, max(callsFew, d.callShare*(1+callsGrow*(1-took/callTakes))))
	}
	d.noted(ev.Status == OK)
	if k.kind == forTest {
		return
	}
	if t := d.terms[k.c.plan]; k.kind == forLease {
		if ev.Status == OK {
			k.c.lease.Answered(t, d.now, k.window, k.block, ev.Total)
		} else {
			k.c.lease.Failed(d.now, counterTry)
		}
	} else if k.kind != forTokens {
		d.carry(k, ev)
	} else if k.block > 0 {
		k.c.asking = false
		switch ev.Status {
		case OK:
			d.grant(k, ev.Total, d.now)
		case Failed: // all was added, and no units come of the block: it is given back
			k.c.owed -= k.block
			k.c.askAnew()
		case Timeout:
			d.unanswered(k)
		default:
			k.c.owed += k.owed
		}
	}
	d.serve(k.c)
}

// grant turns a total, as it was at a time, into tokens. What the store held over its burst has overflowed,
// and what it seems to have gained over its rate since the last look the counter has lost: both are added, if
// worth a call and not of long ago. What the store did not hold is given back.
func (d *Balancer) grant(k *call, total float64, at time.Duration) {
	c := k.c
	p := &d.set.Plans[c.plan]
	held := p.Burst + p.Rate*(at-time.Duration(k.window)*windowLen).Seconds() - total + k.amount
	most := p.Burst
	if c.known {
		most = d.level(c, p)
		if gap := (d.now - c.storeAt).Seconds(); gap > 0 && at == d.now {
			c.others += (1 - math.Exp(-gap/demandOver.Seconds())) * (max(0, most-held)/gap - c.others)
		}
	}
	over := p.Burst * overfull
	if k.short {
		over = p.Burst * overfullLent
	}
	switch {
	case at < d.now: // an old total puts nothing right
		held = min(held, most)
	case c.known && c.seenIn != k.window && d.terms[c.plan].Rate == 0: // it knows nothing of the last number
		if total <= k.amount+1e-6*math.Abs(k.amount) && held > most+p.Burst*carryLeast {
			d.call(c, 0, held-most, 0) // it was this door's call that began it
		}
		held = min(held, most)
	case d.crowded(): // asks of other doors that were given back look like a gain: only much of it is put right
		most = p.Burst * (1 + d.slackOf(c, p))
		if held > most {
			d.overfull(c, k, held-p.Burst, total <= k.amount)
		}
		held = min(held, most)
	case held > most+over:
		most = min(most, d.untaken(c, k, total))
		held = d.correct(c, k, held, most, total)
	}
	has := held - k.owed
	if d.many(c, p) {
		has -= manyKeep * p.Burst
	}
	got := d.taken(k, has)
	if got < k.block && d.crowded() {
		d.promise(k, has, got)
	} else if got < k.block {
		if d.thin() == 0 && c.demand*leaseLife.Seconds() >= aheadLeast*k.block { // another call comes soon
			c.owed += got + k.owed - k.amount
		} else {
			d.call(c, 0, got+k.owed-k.amount, 0)
		}
		k.amount = got + k.owed
		pause := max(k.block-held, d.sharers(c)/emptyDoors) / p.Rate * d.apart(c)
		c.emptyUntil = d.now + min(emptyMost, time.Duration(pause*float64(time.Second)))
	}
	if !c.known {
		c.known, c.knownAt, c.spare = true, d.now, min(c.spare, 0)
	}
	c.tokens, c.grantAt, c.unheard = c.tokens+got, d.now, false
	if at < c.storeAt {
		return // a later call has told more
	}
	if c.seenIn == k.window && c.seen-total > max(lostLeast*p.Burst, c.seen/2) {
		c.knownAt = d.now // the counter has lost its numbers: what it tells is to season anew
	}
	c.seenIn, c.seen = k.window, total
	c.store, c.storeAt = max(held-k.amount, -p.Burst/2), at
}

// ceiling fills and tells this door's share of the customer's ceiling: rate and depth divided by the doors. A
// fresh door may have spent its share before it was restarted, so it starts empty.
func (d *Balancer) ceiling(c *customer, p *Plan) float64 {
	if p.CeilingRate == 0 {
		return math.Inf(1)
	}
	d.repay(c, p)
	own := d.share(c, p)
	if d.many(c, p) {
		own.Rate = manyRate * (p.CeilingRate - p.Rate) / c.doors
		own.Depth = (p.CeilingBurst - manyTakes*p.Burst) / c.doors
		if t, ok := d.turns(c, p); ok {
			return d.turnOf(c, t)
		}
	}
	c.ceil += own.Rate * d.since(c.ceilAt)
	c.ceil = min(c.ceil, own.Depth)
	if g := c.leaves(); g > 0 {
		c.kept += g * own.Rate * d.since(c.ceilAt)
		c.kept = max(0, min(c.kept, c.ceil, max(1, g*own.Depth)))
	} else {
		c.kept = 0
	}
	c.ceilAt = d.now
	return c.ceil
}

// leaves is the part of a customer's demand that asks for leave only.
func (c *customer) leaves() float64 {
	if c.leave < leaveLeast*c.demand {
		return 0
	}
	return min(1, c.leave/c.demand)
}

// room is how much of this door's share of the ceiling a request can have now. What asks for leave joins no
// line, those would take all of the share under a flood: by its part of the demand some is kept.
func (d *Balancer) room(r *request, p *Plan) float64 {
	have := d.ceiling(r.c, p)
	if r.grant {
		return max(r.c.kept, have-r.c.ceilQueued)
	}
	return have - r.c.kept - r.c.ceilQueued
}

// latency is the time an answer takes, by recent ones: the class's mean times size and the server's slowness.
func (d *Balancer) latency(r *request, s *server) float64 {
	if r.grant {
		return 0
	}
	if s != nil {
		return d.learned[r.class].base * r.size * s.slow
	}
	return d.learned[r.class].base * r.size
}

// thin says from 0 to 1 how little a door learns of one server by its own sends.
func (d *Balancer) thin() float64 { return 1 - min(1, d.rate/evidence) }

// choose picks a server: round robin, passing over one on which more work waits for its weight and speed, and
// one in its pause. Where a door sends to each so rarely that what it knows is old or luck, chance has a part
// (a departure: then all doors together give each server by its weight and speed; none is found by all).
func (d *Balancer) choose(r *request) *server {
	var best *server
	low, chance := math.Inf(1), d.thin()
	d.turn++
	for i := range d.ring {
		s := d.ring[(d.turn+i)%len(d.ring)]
		if !s.usable() || !d.mayRepeat(r, s) {
			continue
		}
		cost := (s.load + s.waits + 1) * s.slow / (s.weight * d.warmth(s))
		if s.zone != d.set.Zone {
			cost *= zoneLeast + zoneCost*d.set.CrossZoneCost
		}
		if chance > 0 {
			cost *= 1 - chance + chance*d.rng.ExpFloat64()
		}
		if !s.member {
			cost += 500 // before one that is not free
		}
		if s.owed { // else the warm ones might take all for seconds
			cost = 0
		}
		if !d.free(s) {
			cost = cost*10/min(1, s.slots) + 1e3
		}
		if d.coldFull(s) {
			cost += 1e6
		}
		if cost < low-1e-9 {
			best, low = s, cost
		}
	}
	return best
}

// mayRepeat says whether a request that may have run can go to a server (rule 2).
func (d *Balancer) mayRepeat(r *request, s *server) bool {
	if !r.ran {
		return true
	}
	cl := &d.set.Classes[r.class]
	if cl.Idempotency != IdempotentByKey {
		return cl.Idempotency == Idempotent
	}
	return d.now < d.repeatBy(r) && (cl.DedupScope == DedupAll ||
		s.zone == r.ranOn.zone && (cl.DedupScope == DedupZone || s.cell == r.ranOn.cell))
}

// repeatBy is when the window ends in which a repeat of a keyed request is known for one, less its way there.
func (d *Balancer) repeatBy(r *request) time.Duration {
	return r.ranAt + d.set.Classes[r.class].DedupWindow - repeatWay
}

// place queues a request at a server and releases what may go.
func (d *Balancer) place(r *request) {
	if r.grant {
		d.allow(r)
		return
	}
	if t := d.trialServer(r); t != nil {
		d.send(r, t, true)
		return
	}
	s := d.choose(r)
	if s == nil && d.shut() {
		d.refuse(r, d.set.MaxRetryAfter, EndpointsEjected)
		return
	}
	if s == nil && !r.ran {
		d.stuck = append(d.stuck, r)
		return
	}
	if s == nil || d.hopeless(r, s) {
		d.refuse(r, 0, QueueTooLong)
		return
	}
	d.push(r, s)
	d.fill(s)
}

// allow is the one place that grants. It counts as sent on: the ceiling's units are spent here, and the cap
// on what is open at once holds until the work is said to be done, or the hold runs out.
func (d *Balancer) allow(r *request) {
	p := &d.set.Plans[r.plan]
	if d.now >= r.at+r.tau || !d.draw(r, p) {
		d.refuse(r, d.refill(r.c, p, r.units), CeilingExceeded)
		return
	}
	d.release(r, true)
	r.granted, r.holdUntil = true, d.now+r.hold
	d.act(Admit{r.id})
	if !r.live || r.hold <= 0 {
		d.end(r)
		return
	}
	d.act(SetTimer{r.holdUntil, r.id<<1 | 1})
}

// hopeless is EQ 4 seen from the back of the queue: what would come to wait for most of its time is refused
// while the client can still try again in time (a departure: the paper lets it wait until it is stale; under
// overload every answer then comes at the last moment, and each client's next try too late).
func (d *Balancer) hopeless(r *request, s *server) bool {
	free := d.free(s)
	if r.paid && len(r.attempts) == 0 { // what the plan pays for tells how short the servers are
		short := 0.0
		if !free {
			short = 1
		}
		d.short += shortGain * (short - d.short)
	}
	if r.level == lowest && d.rng.Float64() < d.short*shortMost {
		return true // a free place is needed for more than this soon
	}
	if free { // with many doors the queue is inside the servers, and latency tells of it (a departure)
		lat := d.learned[r.class].base * max(1, d.fleet) * r.size
		idle := cmp.Or(d.learned[r.class].floor*r.size, lat)
		part := (lat - idle) / max(1e-3, r.tau.Seconds()*margin-idle) *
			(1 + thinSlope*float64(r.level)/lowest)
		return d.rng.Float64() < min(1, 2*d.thin())*min(thinMost, (part-thinFrom)/(thinAll-thinFrom))
	}
	if len(r.attempts) > 0 {
		return false
	}
	ahead := r.size
	for l := 0; l <= r.level; l++ {
		ahead += s.work[l]
	}
	lat := d.learned[r.class].base * s.slow
	share := joins * math.Pow(1-float64(r.level)/(2*bands), 2) // the lower the level, the sooner
	return (d.now-r.at).Seconds()+ahead*lat/s.slots+d.latency(r, s) >= r.tau.Seconds()*margin*share
}

// free says whether a server has a free slot. Less than one slot means a pause between sends: with many doors
// even one request each can be too much, and what a server turns away costs it work as well.
func (d *Balancer) free(s *server) bool {
	return s.load < math.Floor(max(1, s.slots)) && d.now >= s.restUntil
}

// fill releases requests to a server while it has a slot. With nothing queued it helps the longest queue.
func (d *Balancer) fill(s *server) {
	for s.usable() && d.free(s) && !d.coldFull(s) {
		from := s
		if s.queued == 0 && d.queued == 0 {
			return
		} else if s.queued == 0 {
			for _, o := range d.ring {
				if o.queued > from.queued && !d.free(o) {
					from = o
				}
			}
		}
		r := d.pick(from, s)
		if r == nil {
			return
		}
		d.unqueue(r)
		d.send(r, s, false)
	}
}

// pick chooses from the queues of one server for a slot of another (mostly the same). EQ 3 refuses what is
// stale, in the promoted levels too (a departure: what no longer can be in time only delays the rest). EQ 4
// goes down the levels while their summed counts, times the latency and over the slots, stay under tau*f; the
// first level with a request is always open. The oldest request of the open levels goes.
func (d *Balancer) pick(from, to *server) *request {
	var best *request
	sum := 0.0
	for l := range from.queue {
		for from.count[l] > 0 {
			r := from.head(l)
			if (d.now-r.at).Seconds()+d.latency(r, to) < r.tau.Seconds()*margin {
				break
			}
			d.refuse(r, 0, StaleInQueue)
		}
		if from.count[l] == 0 {
			continue
		}
		r := from.head(l)
		sum += from.work[l]
		ahead := (sum + to.load) * d.learned[r.class].base * to.slow / to.slots
		if best != nil && ahead >= r.tau.Seconds()*margin*patience {
			break
		}
		if (best == nil || r.at < best.at) && d.mayRepeat(r, to) {
			best = r
		}
	}
	return best
}

// coldFull says that a cold server has had its budget: package cold says what that is.
func (d *Balancer) coldFull(s *server) bool {
	w := slowstart.Warmth{Now: d.warmth(s), Then: d.warmthAt(s, d.now-d.set.OverloadWindow)}
	return w.Now < 1 && s.book.Full(d.now, d.coldTerms(), d.rate*s.weight*s.share, w, d.rng.Float64)
}

// send is the one place that sends. The guards come last here, whatever was decided before.
func (d *Balancer) send(r *request, s *server, trial bool) {
	p := &d.set.Plans[r.plan]
	switch {
	case !s.listed: // drain: nothing new from the moment it is told
		d.place(r)
		return
	case r.out > 0 || len(r.attempts) >= r.most || !d.mayRepeat(r, s) || d.now >= r.at+r.tau:
		d.refuse(r, 0, StaleInQueue)
		return
	}
	if len(r.attempts) == 0 {
		if !d.draw(r, p) {
			d.refuse(r, d.refill(r.c, p, r.units), CeilingExceeded)
			return
		}
	}
	d.release(r, true)
	a := &attempt{r: r, no: len(r.attempts), s: s, at: d.now, trial: trial, open: true}
	limit := r.at + r.tau - d.now
	if trial {
		s.trying = true
		limit = min(limit, time.Duration(trialWait*d.latency(r, nil)*float64(time.Second)))
	}
	if len(s.outs) == 0 {
		s.heard = max(s.heard, d.now)
	}
	r.attempts = append(r.attempts, a)
	r.out++
	s.outs = append(s.outs, a)
	s.owed = false
	s.load += r.size
	if s.cold {
		s.book.Sent(d.now, r.size)
	}
	by := time.Duration(0)
	if r.ran && d.set.Classes[r.class].Idempotency == IdempotentByKey {
		by = d.repeatBy(r)
	}
	d.act(Dispatch{r.id, s.name, limit, by})
}

// outcome takes the end of an attempt.
func (d *Balancer) outcome(ev AttemptResult) {
	r := d.reqs[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].open {
		return
	}
	a := r.attempts[ev.Attempt]
	a.open = false
	r.out--
	s := a.s
	if a.begun {
		d.end(r)
		d.forget(r)
		return
	}
	s.done(a)
	if ev.Status == NotSent {
		s.book.Unsent(a.at, r.size)
	}
	if !r.ran && ev.Status != Rejected && ev.Status != ConnectFailed && ev.Status != NotSent {
		r.ran, r.ranAt, r.ranOn = true, a.at, s
	}
	d.learn(s, a, ev)
	if ev.Status == OK && d.set.EstimatedUnits && ev.Units > 0 && r.paid {
		r.c.tokens -= ev.Units - r.units
	}
	if ev.RequestClosed || ev.Status == OK {
		d.end(r)
	}
	if r.ended {
		d.forget(r)
	} else if !r.stream && r.out == 0 {
		d.retry(r)
	}
	d.fill(s)
}

// began takes the first byte of a streamed answer: the server's work is done, and how long it takes to pass
// the rest on says nothing of it.
func (d *Balancer) began(ev FirstByte) {
	r := d.reqs[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].open || r.stream {
		return
	}
	a := r.attempts[ev.Attempt]
	r.stream, a.begun, r.ran, r.ranAt, r.ranOn = true, true, true, a.at, a.s
	a.s.done(a)
	d.learn(a.s, a, AttemptResult{Status: OK, Latency: d.now - a.at})
	d.fill(a.s)
}

// retry sends a request on again where its class allows it and an answer could still be in time.
func (d *Balancer) retry(r *request) {
	if len(r.attempts) >= r.most || (d.now-r.at).Seconds()+d.latency(r, nil) >= r.tau.Seconds() {
		d.refuse(r, 0, RetryNotPossible)
		return
	}
	d.place(r)
}

// learn takes what an outcome tells of a server: latency, slots, signs of life.
func (d *Balancer) learn(s *server, a *attempt, ev AttemptResult) {
	k := &d.learned[a.r.class]
	took := max(1e-3, ev.Latency.Seconds()) // within a tick counts as a millisecond
	ratio := min(took/(k.base*a.r.size), 8) // one costly request says little of its server
	news := min(ratio, fleetWorst)
	if ev.Status == OK || ev.Status == Rejected || ev.Status == Timeout && !s.ejected {
		if ev.Status == Rejected {
			news = fleetFull
		}
		d.fleet += min(fleetMost, (d.now-d.fleetAt).Seconds()/fleetOver) * (news - d.fleet)
		d.fleetAt = d.now
	}
	if ev.Status == Cancelled && a.r.ended && d.now >= a.r.at+a.r.tau-tick {
		ev.Status = Timeout // the request's own end came first
	}
	switch ev.Status {
	case Reset, ConnectFailed:
		if s.fails++; s.fails > 1 { // one broken connection says nothing of its server
			s.slots *= fullBy
		}
		if s.fails >= failsMost && !s.ejected {
			d.eject(s)
		}
	case Timeout:
		if !s.ejected {
			s.lost++
			s.slow += slowGain * (ratio - s.slow)
			s.slots *= lateBy
		}
	case OK, Failed, Rejected:
		s.heard, s.lost, s.fails = d.now, 0, 0
		if s.ejected {
			d.restore(s, a.trial)
		}
	}
	switch ev.Status {
	case Rejected:
		s.slots = min(1, s.slots) * fullBy
	case OK:
		s.slow = max(0.2, s.slow+slowGain*(ratio-s.slow))
		if !s.cold {
			d.rateAdd(a.r.size)
		} else if took <= a.r.tau.Seconds() {
			s.book.Answered(d.now, a.r.size)
		}
		k.answers++
		k.size.Add(a.r.units, took/k.base, true)
		k.base += max(baseGain, 1/float64(k.answers)) * (took/a.r.size - k.base)
		d.pace(s, a.r)
	}
	if !s.ejected && (ev.Status == Timeout || ev.Status == Cancelled && d.now >= a.r.at+a.r.tau-tick) {
		k.size.Add(a.r.units, took/k.base, false)
	}
	if a.trial && s.ejected {
		d.nextTrial(s)
	}
	s.slots = max(slotsLeast, s.slots)
	if s.slots < 1 && d.now >= s.restUntil {
		rest := d.latency(a.r, s) * (1/s.slots - 1)
		s.restUntil = d.now + time.Duration(rest*float64(time.Second))
	}
}

// pace grows the slots while latency is well under tau*f and all are in use, and shrinks them when it is not.
// It also keeps latency near that of an idle fleet (a departure: tau*f alone lets queues form inside the
// servers, where no level counts and where work that nobody waits for any more goes on). That floor follows
// the class's mean down at once, and up only while so few slots are open that waiting can't be the cause: so
// a slowness of everything is told from overload.
func (d *Balancer) pace(s *server, r *request) {
	k := &d.learned[r.class]
	if k.base < k.floor || k.answers <= floorAfter { // the first few may be small or lucky ones
		k.floor = k.base
	} else if s.slots*d.living() <= squeezed {
		k.floor += floorGain * (k.base - k.floor)
	}
	high := min(r.tau.Seconds()*margin*shrinkAbove, shrinkRatio*k.floor)
	switch lat := k.base * s.slow; {
	case lat > high && s.slots*d.living() > 0.7*squeezed:
		s.slots *= shrinkBy
	case lat < high*growShare && s.load+1 >= math.Floor(s.slots):
		s.slots = min(slotsMost, s.slots+growBy/max(1, s.slots))
	}
}

// refuse gives the final answer: a refusal where the rules let it be said, else a failure (rule 2).
func (d *Balancer) refuse(r *request, pause time.Duration, why Reason) {
	if r.ended {
		return
	}
	cl := &d.set.Classes[r.class]
	mayHaveRun := r.ran || r.out > 0
	d.end(r)
	if mayHaveRun && (cl.Idempotency == NonIdempotent || cl.Idempotency == IdempotentByKey && cl.DedupScope != DedupAll) {
		d.act(Fail{r.id, why})
	} else {
		if !d.set.SendRetryAfter {
			pause = 0
		}
		d.act(Reject{r.id, min(pause, d.set.MaxRetryAfter), why})
	}
	d.forget(r)
}

// end marks a request as over and calls off what is still out.
func (d *Balancer) end(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	d.unqueue(r)
	d.release(r, false)
	for _, a := range r.attempts {
		if a.open && d.set.AllowCancel && !r.stream {
			d.act(CancelAttempt{r.id, a.no})
		}
	}
	if len(r.attempts) == 0 && !r.granted && r.paid && d.set.Plans[r.plan].Rate > 0 {
		r.c.tokens += r.units
	}
	if r.live {
		r.live = false
		r.c.live--
		d.serve(r.c)
	}
	d.forget(r)
}

// beat looks for what no event tells: silence, waiting customers, free slots.
func (d *Balancer) beat() {
	d.act(SetTimer{d.now + tick, 0})
	for _, s := range d.ring {
		if d.now-d.beatAt < stalled { // else this door stood still, and what came meanwhile is not yet read
			d.watchServer(s)
		}
	}
	d.beatAt = d.now
	if d.now < d.lendFrom && d.mayCall() { // else doors with few requests go by shares while others lend
		d.counterAt = d.now
		d.askTest()
	}
	stuck := d.stuck
	d.stuck = nil
	for _, r := range stuck {
		if !r.ended {
			d.place(r)
		}
	}
	if d.queued > 0 {
		for _, s := range d.ring {
			d.fill(s)
		}
	}
	list := d.waiters
	d.waiters = nil
	for _, c := range list {
		c.listed = false
		d.serve(c)
	}
	d.forgetCustomers()
	if d.set.PollEndpoints && d.set.PollInterval > 0 && d.now-d.listAt > d.set.PollInterval/2 {
		d.listAt = d.now
		d.act(FetchEndpoints{})
	}
}

// watchServer finds a server silent when the attempts out there have waited, summed up, far longer than
// answers take while nothing was heard. It covers hung, cut off and stopped machines. If fewer than a quarter
// of the servers answer, it is not this server's fault. It could harm a server that got several costly
// requests in a row; the first late answer brings such a one back.
func (d *Balancer) watchServer(s *server) {
	if s.ejected {
		if s.listed && d.set.AllowHealthChecks && d.now >= s.trialAt && !s.trying {
			s.trying = true
			d.act(HealthCheck{s.name})
		}
		return
	}
	sum := quietEach * float64(s.lost)
	for _, a := range s.outs {
		quiet := (d.now - max(a.at, s.heard)).Seconds()
		sum += min(quietEach, quiet/d.latency(a.r, s))
	}
	if sum < quietSum || d.now-s.heard < quietLeast {
		return
	}
	live := 0
	for _, o := range d.ring {
		if o.usable() && d.now-o.heard < d.now-s.heard && d.now-o.heard < 500*time.Millisecond {
			live++
		}
	}
	if 4*live >= len(d.ring) && live > 0 {
		d.eject(s)
	}
}

// eject stops new work to a server, moves its queue on and calls back what could still be served elsewhere.
func (d *Balancer) eject(s *server) {
	s.ejected, s.trying = true, false
	s.trialPause = max(trialFirst, time.Duration(d.rng.Int64N(int64(d.living())*int64(trialEach))))
	s.trialAt = d.now + s.trialPause
	d.act(LogLine{"no longer used: " + s.name})
	health := Unresponsive
	if s.fails >= failsMost {
		health = ConnectionsBroken
	}
	d.act(HealthReport{s.name, health, s.heard})
	d.moveQueue(s)
	if !d.set.AllowCancel {
		return
	}
	for _, a := range s.outs {
		if !a.r.ended && !a.r.stream && (d.now-a.r.at).Seconds()+d.latency(a.r, nil) < a.r.tau.Seconds() {
			d.act(CancelAttempt{a.r.id, a.no})
		}
	}
}

func (d *Balancer) nextTrial(s *server) {
	s.trying = false
	s.trialPause = min(max(trialMost, time.Duration(d.living())*trialEach), s.trialPause*3/2)
	s.trialAt = d.now + s.trialPause
}

// trialServer gives an ejected server one safe request with time for another attempt, without probes.
func (d *Balancer) trialServer(r *request) *server {
	if d.set.AllowHealthChecks || d.set.Classes[r.class].Idempotency != Idempotent || len(r.attempts) > 0 || r.most < 2 ||
		r.tau.Seconds() < trialRoom*d.latency(r, nil) {
		return nil
	}
	for _, s := range d.ring {
		if s.listed && s.ejected && !s.trying && d.now >= s.trialAt && !d.coldFull(s) {
			return s
		}
	}
	return nil
}

func (d *Balancer) probed(ev HealthCheckResult) {
	s := d.servers[ev.Endpoint]
	if s == nil || !s.ejected {
		return
	}
	d.nextTrial(s)
	if ev.Status == OK {
		d.restore(s, true)
	}
}

// restore takes a server back. One that comes back from silence may have started anew: it counts as cold.
func (d *Balancer) restore(s *server, fresh bool) {
	fresh = fresh && d.now-s.heard > restartTime
	s.ejected, s.trying, s.fails, s.lost, s.heard = false, false, 0, 0, d.now
	d.act(LogLine{"used again: " + s.name})
	if fresh {
		s.cold, s.coldAt, s.slow, s.slots = true, d.now, 1, 1
		d.act(HealthReport{s.name, WarmingUp, d.now})
	}
}

// evidence takes what another door of this process has found out about a server (ours). Its word on silence
// counts as two answers owed, and on broken connections as all but one: an own sign of life since outweighs
// it, and one attempt that goes the same way settles it. A server that came back cold is cold for this door
// too, and asked at once if left out.
func (d *Balancer) evidence(f HealthReport) {
	s := d.servers[f.Endpoint]
	switch {
	case s == nil || !s.listed:
	case f.Health == WarmingUp:
		if !s.ejected && d.now-s.heard < restartTime {
			return // it has answered here while it was silent there
		}
		if !s.cold || s.coldAt < f.Since {
			s.cold, s.coldAt, s.slots = true, f.Since, min(1, s.slots)
		}
		s.trialAt = min(s.trialAt, d.now)
	case s.ejected:
	case f.Health == ConnectionsBroken:
		s.fails = max(s.fails, failsMost-1)
	case s.heard <= f.Since || len(s.outs) > 0 && s.heard <= s.outs[0].at: // a send is no sign of life
		s.lost = max(s.lost, evidenceLost)
	}
}

// list takes news of the backends.
func (d *Balancer) list(ev EndpointUpdate) {
	if ev.Kind == UpdateFailed {
		if !d.listAsked {
			d.listAsked = true
			d.listWait = min(8*time.Second, max(500*time.Millisecond, 2*d.listWait))
			d.act(SetTimer{d.now + d.listWait, 2})
		}
		return
	}
	d.listAt, d.listWait = d.now, 0
	for _, b := range ev.Entries {
		d.entry(b)
	}
	if ev.Kind != Delta {
		d.retireMissing(ev.Entries)
	}
	d.prune()
	d.members()
	for _, s := range d.ring {
		d.fill(s)
	}
}

// entry takes what the list says of one backend. One that was started lately is cold.
func (d *Balancer) entry(b Endpoint) {
	s := d.servers[b.Name]
	if s == nil {
		if b.State != Serving {
			return
		}
		s = &server{name: b.Name, started: -1, slots: max(slotsLeast, slotsStart/d.living())}
		d.servers[b.Name] = s
		d.ring = append(d.ring, s)
	}
	if b.StartedAt != s.started {
		s.started, s.heard, s.slow = b.StartedAt, d.now, 1
		s.ejected, s.trying, s.fails, s.lost = false, false, 0, 0
		if b.StartedAt > 0 && d.now-b.StartedAt < d.set.SlowStartDuration {
			s.cold, s.coldAt, s.slots = true, b.StartedAt, 1
		}
	}
	s.zone, s.cell, s.weight, s.share = b.Zone, b.Cell, cmp.Or(max(0, b.Weight), 1), cmp.Or(max(0, b.SlowStartShare), 1)
	_, banned := d.byHand[s.name]
	s.inList = b.State == Serving
	s.listed = (s.listed || s.inList) && !banned
	if !s.inList {
		d.retire(s)
	}
}

// attach lets a server serve again that was taken out by hand. It may have started anew meanwhile: it is
// cold from when the list says that it started, if that was while it was out, else from now.
func (d *Balancer) attach(name string) {
	since, ok := d.byHand[name]
	if !ok {
		return
	}
	delete(d.byHand, name)
	d.act(LogLine{"back by hand: " + name})
	s := d.servers[name]
	if s == nil || !s.inList {
		return
	}
	s.listed, s.ejected, s.trying, s.fails, s.lost, s.heard = true, false, false, 0, 0, d.now
	s.cold, s.coldAt, s.slow, s.slots, s.owed = true, d.now, 1, 1, true
	if s.started > since {
		s.coldAt = s.started
	}
	soon := attachUse * time.Duration(max(1, int(d.living())/crowdFrom))
	s.book.Hold(d.now + 1 + time.Duration(d.rng.Int64N(int64(soon))))
	d.members()
	d.fill(s)
}
