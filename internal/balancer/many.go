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

// many says that the doors of a customer are so many that each one's even share of the ceiling is a request or two. A plan that
// caps what is open at once too keeps its even shares: payMany counts nothing that is open.
func (d *Balancer) many(c *customer, p *Plan) bool {
	return d.crowded() && p.CeilingRate > p.Rate && p.Rate > 0 && p.MaxInFlight == 0 && p.CeilingBurst > manyTakes*p.Burst && d.terms[c.plan].Rate == 0 &&
		p.CeilingBurst/c.doors < manyDepth && p.OverQuotaWeight > p.OverQuotaCost
}

// crowded says that the doors are so many that the counter can't serve a call for each request that a door can't pay, and a
// door meets most customers so seldom that a lease for them would lie unused.
func (d *Balancer) crowded() bool {
	return d.set.UseCounter && !d.set.LeaseCeilings && d.set.Gateways >= crowdFrom // what is lent hangs on a ledger without reservations
}

// mayAsk says whether the counter may be called for a request. The calls that there are go first to those for which they
// decide most: a client's repeat was refused before, mostly for good reason, and a promotion only helps while servers are short.
func (d *Balancer) mayAsk(r *request, leaves float64) bool {
	c := r.c
	if d.away || r.asked || d.now < max(c.emptyUntil, c.pauseUntil) || len(d.asks) >= mostAsks {
		return false
	}
	if r.retry {
		leaves += callsRetry
	}
	return d.calls.May(d.now, leaves)
}

// ledgerMay says whether the ledger may pay a request: a token is here, is asked for, or can be.
func (d *Balancer) ledgerMay(r *request, p *Plan) bool {
	c := r.c
	return c.tokens >= r.units && (c.tokensFrom-d.now).Seconds() <= r.tau.Seconds()*ceilWait || c.asking ||
		d.now >= max(c.emptyUntil, c.pauseUntil)
}

// turns are a customer's at the doors, where each one's share of what is beyond the quota is less than a unit.
func (d *Balancer) turns(c *customer, p *Plan) (ceilinglease.Turns, bool) {
	return ceilinglease.TurnsOf(manyRate*(p.CeilingRate-p.Rate), p.CeilingBurst-manyTakes*p.Burst, c.doors)
}

// turnOf tells the share of a customer at a door that has turns. A door that has just begun may have used its turn before.
func (d *Balancer) turnOf(c *customer, t ceilinglease.Turns) float64 {
	c.ceil, c.ceilAt, c.kept = 0, d.now, 0
	turn, open := t.Now(d.now, d.set.Index)
	if began, _ := t.Now(d.begun, d.set.Index); open && turn > c.turn && turn > began {
		c.ceil = 1
	}
	return c.ceil
}

// hasWaited says that a request has waited for as long as it may for the counter, or for a turn to call it.
func (d *Balancer) hasWaited(r *request) bool {
	return (d.now - r.at).Seconds() > r.tau.Seconds()*crowdWait
}

// tidy gives back what a customer's lease has not used, with the next call, and fills its credit.
func (d *Balancer) tidy(c *customer, p *Plan, least float64) {
	if w := int64(d.now / windowLen); c.owedIn != w { // what was taken of an older number can't be given back to this one
		c.owedIn, c.owed = w, max(0, c.owed)
	}
	if c.tokens > 0 && !c.asking && d.now-max(c.grantAt, c.tokensFrom) > crowdLife {
		c.owed -= c.tokens
		c.tokens = 0
	}
	c.spare, c.spareAt = min(max(c.spare, least, p.Burst/c.doors), c.spare+p.Rate/c.doors*d.since(c.spareAt)), d.now
}

// spendFew is spend where doors are many.
func (d *Balancer) spendFew(r *request, p *Plan) verdict {
	c := r.c
	d.tidy(c, p, 0)
	switch {
	case c.tokens >= r.units && d.now >= c.tokensFrom:
		c.tokens -= r.units
		r.byLedger = true
		return paid
	case c.tokens >= r.units && (c.tokensFrom-d.now).Seconds() <= r.tau.Seconds()*ceilWait, c.asking:
		return wait
	case r.asked && d.now < c.pauseUntil && !d.hasWaited(r): // the answer may come yet
		return wait
	case d.mayAsk(r, 0):
		r.asked = true
		d.ask(c, p, r.units, false)
		return wait
	case r.retry || d.now < c.emptyUntil:
		return beyond
	case !r.asked && !d.hasWaited(r):
		return wait
	case d.rng.Float64()*r.units < d.credit(c, p):
		c.spare -= r.units
		c.owed += r.units
		r.unsure = true
		return paid
	}
	return beyond
}

// credit is the chance that a request for which there is no call goes out unasked. A share of less than a unit is a unit by
// chance; and the longer a door has run, the more likely is a customer that it has not met, or not found empty, one of the
// many that stay well inside their quotas. Once for each customer, and again when its share has filled.
func (d *Balancer) credit(c *customer, p *Plan) float64 {
	if c.spare <= 0 {
		return 0
	}
	return max(c.spare, min(creditMost, (d.now-d.begun).Seconds()*p.Rate/c.doors*creditSoon))
}

// overfull puts a store right that holds more than its burst. Where it is much, as when all doors have just started, many see it at
// once: the one whose call began the number does it; should that fail, one of those who ask leave of the counter.
func (d *Balancer) overfull(c *customer, k *call, amount float64, began bool) {
	switch {
	case began || amount <= d.set.Plans[c.plan].Burst:
		d.call(c, 0, amount, 0)
	case d.many(c, &d.set.Plans[c.plan]) || d.rng.Float64() < crowdFix:
		d.askFix(c, k.window, amount, 0)
	}
}

// slackOf is by how many bursts a store may be over its burst before a call is spent on it. Where a ceiling hangs on it, little.
func (d *Balancer) slackOf(c *customer, p *Plan) float64 {
	if d.many(c, p) {
		return manyOver
	}
	return crowdOver
}

// payMany decides for a request of a soft plan whose doors are many.
func (d *Balancer) payMany(r *request, p *Plan, short, late bool) verdict {
	c := r.c
	r.byLedger = false
	worth := max(1e-9, d.set.Classes[r.class].PriorityWeight*p.PriorityFactor*d.learned[r.class].size.Density(r.units))
	r.level = min(bands-1, max(0, int(steps*math.Log2(d.topWorth/worth))))
	d.tidy(c, p, 1)
	pressed := d.fleet > 1.5
	switch {
	case !short && c.spare >= r.units:
		c.spare -= r.units
		c.owed += r.units
		d.hold(r, fromShare)
	case c.tokens >= r.units && d.now >= c.tokensFrom:
		c.tokens -= r.units
		d.hold(r, fromQuota)
	case c.asking:
		return wait
	case short && c.tokens >= r.units && (c.tokensFrom-d.now).Seconds() <= r.tau.Seconds()*ceilWait:
		return wait
	case short && r.asked && d.now < c.pauseUntil && !d.hasWaited(r):
		return wait
	case c.tokens < r.units && (short && d.mayAsk(r, 0) || !short && pressed && d.mayAsk(r, callsSoft)):
		r.asked = true
		d.ask(c, p, r.units, false)
		return wait
	case short && !r.asked && !late && d.now >= max(c.emptyUntil, c.pauseUntil) && !d.hasWaited(r): // for a turn to call
		return wait
	case !short:
		c.owed += r.units
		return beyond
	case late || r.grant || (r.units-d.room(r, p))*c.doors/(manyRate*(p.CeilingRate-p.Rate)) > r.tau.Seconds()*ceilWait:
		return beyond
	default:
		return wait
	}
	r.paid = true
	return paid
}

// patience is how far ahead units are reserved. Of a hard plan it is as long as a request of any class may wait: what comes later would
// mostly lie unused, as the door may not meet the customer again for long.
func (d *Balancer) patience(c *customer, p *Plan) time.Duration {
	least := promiseMost
	if d.many(c, p) {
		return least
	}
	for i := range d.set.Classes {
		least = min(least, time.Duration(float64(cmp.Or(d.set.Classes[i].LatencyObjective, d.set.Classes[i].ClientTimeout))*ceilWait))
	}
	return least
}

// promise keeps what a call took of a store that did not hold it, where a door meets a customer so seldom that giving it back
// would cost a call each time: it may be spent when the store has gained it. What would take too long is given back, and the
// customer's doors, each pausing for a time of its own, ask a few times as often as there is a unit.
func (d *Balancer) promise(k *call, has, got float64) {
	c, p := k.c, &d.set.Plans[k.c.plan]
	lacks := k.block - has
	fills := time.Duration(lacks / p.Rate * float64(time.Second))
	if fills <= d.patience(c, p) && k.kind == forTokens && got < k.block {
		c.tokens += k.block - got // the rest is added by grant
		c.tokensFrom = d.now + fills
		c.owed += k.block + k.owed - k.amount
		k.amount = k.block + k.owed
		c.emptyUntil = d.now + fills
		return
	}
	d.call(c, 0, got+k.owed-k.amount, 0)
	k.amount = got + k.owed
	pause := min(pauseMost.Seconds(), max(lacks, c.doors/pauseDoors)/p.Rate) * (0.5 + d.rng.Float64())
	c.emptyUntil = d.now + time.Duration(pause*float64(time.Second))
}
