package balancer

// A limit is charged where its effect is: the units of a request are taken from its ceiling, and its attempt from the
// slow-start budget of its endpoint, when the command is written. For most attempts that is when they are dispatched.
// The others wait with their units reserved, so that what arrives late has not been refilled meanwhile.

// handleWriteDelayed puts the ceiling units of an attempt that has not been written back into reserve.
func (b *Balancer) handleWriteDelayed(ev WriteDelayed) {
	req := b.requests[ev.ID]
	if req == nil {
		return
	}
	att := req.attempts.find(ev.Attempt)
	if att == nil || att.unwritten {
		return
	}
	att.unwritten = true
	if b.canDeferCharge(req, att) {
		b.deferCeilingCharge(req)
	}
}

// handleWritten charges an attempt whose command has been written after all.
func (b *Balancer) handleWritten(ev Written) {
	req := b.requests[ev.ID]
	if req == nil {
		return
	}
	if att := req.attempts.find(ev.Attempt); att != nil && att.unwritten {
		b.chargeWrite(att)
	}
}

// chargeWrite charges the ceiling and the slow-start budget for an attempt whose command is written now.
func (b *Balancer) chargeWrite(att *attempt) {
	att.unwritten = false
	budget := &att.endpoint.slowStart.budget
	budget.CancelDispatch(att.chargedAt, att.request.cost)
	att.chargedAt = b.now
	att.endpoint.slowStart.recordDispatch(b.now, att.request.cost)
	if !att.request.ceiling.drawn {
		b.chargeDeferred(att.request)
	}
}

// canDeferCharge reports whether the ceiling units of a request can go back into reserve. They must come from this
// gateway's own share of the ceiling that applies now, no earlier attempt may have reached an endpoint, and shares that
// are used in turns keep no units.
func (b *Balancer) canDeferCharge(req *request, att *attempt) bool {
	plan := &b.settings.Plans[req.plan]
	if !req.ceiling.drawn || req.ended || plan.CeilingRate == 0 || req.plan != req.customer.plan {
		return false
	}
	for _, earlier := range req.attempts.all[:att.number] {
		if !earlier.unwritten {
			return false
		}
	}
	_, hasTurns := b.sparseTurns(req.customer, plan)
	return req.ceiling.source == fromOwnShare && !hasTurns
}

// deferCeilingCharge undoes the draw of a request's units and reserves them instead.
func (b *Balancer) deferCeilingCharge(req *request) {
	plan := &b.settings.Plans[req.plan]
	b.refillCeiling(req.customer, plan)
	ceiling := &req.customer.ceiling
	ceiling.tokens += req.units
	ceiling.reserved += req.units
	req.ceiling.drawn = false
	req.ceiling.reserved = true
}

// chargeDeferred draws the units of a request that is written now, which it has reserved unless it has ended. If the
// share has shrunk meanwhile, what is missing is taken from the units to come.
func (b *Balancer) chargeDeferred(req *request) {
	plan := &b.settings.Plans[req.plan]
	b.refillCeiling(req.customer, plan)
	req.customer.ceiling.tokens -= req.units
	b.releaseCeiling(req, true)
	req.ceiling.drawn = true
}
