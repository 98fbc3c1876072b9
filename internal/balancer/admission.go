package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	latencyHeadroomFraction = 0.9               // f of EQ 3 and EQ 4 (the design page)
	queueShareOfDeadline    = 0.5               // share of tau*f that the open levels may be expected to take
	joinShareOfDeadline     = 0.8               // ... and that a request of the top level may on joining
	priorityBands           = 6                 // levels by worth ...
	bandsPerHalving         = 2                 // ... and how many of them halve it
	lowestLevel             = 2 * priorityBands // level of what is beyond a soft quota; promoted bands come first
	shedFromFraction        = 0.4               // part of tau*f that waiting in servers takes when some are refused
	shedAllFraction         = 0.8               // ... and at which all are ...
	shedMaxProbability      = 0.97              // ... but for a few, whose answers tell when it is over
	shedLevelSlope          = 1.5               // what the lowest level adds to that part, as a multiple
	shortageGain            = 0.02              // weight of a request in the part that finds no free place ...
	shortageShedFactor      = 2.0               // ... and over how much of it nothing beyond a quota is sent
)

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
	req := &request{
		id:          ev.ID,
		class:       ev.Class,
		plan:        ev.Plan,
		units:       max(0, ev.Units),
		arrivedAt:   b.now,
		timeLimit:   ev.TimeLeft,
		maxAttempts: b.settings.MaxAttempts,
		clientRetry: ev.ClientRetry,
		admitOnly:   ev.AdmitOnly,
		holdFor:     ev.HoldFor,
	}
	if class.LateWeightFraction == 0 && class.LatencyObjective > 0 {
		req.timeLimit = min(req.timeLimit, class.LatencyObjective)
	}
	// What a door finds after it stood still has waited: first tries of a class have the same time at first.
	b.classes[ev.Class].maxTimeLeft = max(b.classes[ev.Class].maxTimeLeft, ev.TimeLeft)
	if b.now-b.previousStepAt > stallThreshold && !ev.ClientRetry {
		req.timeLimit = min(
			req.timeLimit,
			class.LatencyObjective-min(b.now-b.previousStepAt, b.classes[ev.Class].maxTimeLeft-ev.TimeLeft),
		)
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
	req.customer.demand.record(b.now, req)
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
	req.customer.waiting.push(req)
	if req.admitOnly {
		b.emit(SetTimer{b.now + req.timeLimit - b.settings.Resolution, req.id<<1 | 1})
	}
	b.serveWaiting(req.customer)
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
		return b.rng.Float64() < min(
			1,
			2*b.evidenceScarcity(),
		)*min(
			shedMaxProbability,
			(part-shedFromFraction)/(shedAllFraction-shedFromFraction),
		)
	}
	if len(req.attempts) > 0 {
		return false
	}
	ahead := req.cost
	for l := 0; l <= req.level; l++ {
		ahead += ep.levelWork[l]
	}
	lat := b.classes[req.class].meanLatency * ep.latencyFactor
	share := joinShareOfDeadline * math.Pow(
		1-float64(req.level)/(2*priorityBands),
		2,
	) // the lower the level, the sooner
	return (b.now-req.arrivedAt).Seconds()+ahead*lat/ep.concurrencyLimit+b.expectedLatency(
		req,
		ep,
	) >= req.timeLimit.Seconds()*latencyHeadroomFraction*share
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
