package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxHandoverCustomers is the number of most recently used customers that are handed over. The next process starts
	// the others anew.
	maxHandoverCustomers = 4096
	// handoverRequestIDs is the first ID of the requests that are in flight at the previous process.
	handoverRequestIDs = 1 << 62
	// handoverIDsPerCustomer is the number of such IDs reserved for each customer.
	handoverIDsPerCustomer = 1 << 20
)

// handleBeginHandover exports the state for the next process. From then on this process has no shares, and no tokens
// except those that its queued requests have reserved.
func (b *Balancer) handleBeginHandover() {
	state := HandoverState{
		At:               b.now,
		FleetSlowdown:    b.latency.fleetSlowdown,
		WarmEndpointRate: b.warmRate.value,
		Shortage:         b.shortage,
		CallFraction:     b.counter.callFraction,
	}
	for i := range b.latency.classes {
		class := &b.latency.classes[i]
		state.Classes = append(state.Classes, ClassHandover{class.meanLatency, class.idleLatency, class.answers})
	}
	inFlight := b.inFlightUntil()
	for _, cust := range b.customersByUse() {
		b.refillCeiling(cust, &b.settings.Plans[cust.plan])
		if len(state.Customers) < maxHandoverCustomers {
			exported := exportCustomer(cust, inFlight[cust])
			exported.LastTurn = b.exportTurn(cust)
			state.Customers = append(state.Customers, exported)
		}
		cust.giveUpTokens()
	}
	for _, ep := range b.endpoints.ordered {
		state.Endpoints = append(state.Endpoints, ep.export())
	}
	b.handedOver = true
	b.emit(HandoverReady{state})
}

// inFlightUntil returns, for each customer, the latest end times of its requests in flight, in ascending order.
func (b *Balancer) inFlightUntil() map[*customer][]time.Duration {
	ends := map[*customer][]time.Duration{}
	for _, req := range b.requests {
		if req.inFlight {
			ends[req.customer] = append(ends[req.customer], max(req.answerDeadline(), req.holdUntil))
		}
	}
	for _, times := range ends {
		slices.Sort(times)
	}
	return ends
}

// customersByUse returns all customers, most recently used first.
func (b *Balancer) customersByUse() []*customer {
	all := slices.Clone(b.customers.order)
	slices.SortFunc(all, func(left, right *customer) int {
		return cmp.Or(cmp.Compare(right.lastUsedAt, left.lastUsedAt), cmp.Compare(left.name, right.name))
	})
	return all
}

// exportCustomer returns the state of a customer that is handed over. Units reserved by its queued requests stay with
// this process.
func exportCustomer(cust *customer, inFlightUntil []time.Duration) CustomerHandover {
	reserved := min(cust.ceiling.tokens, cust.ceiling.reserved)
	return CustomerHandover{
		Name:             cust.name,
		Plan:             cust.plan,
		Gateways:         cust.gateways,
		Demand:           cust.demand.rate,
		AdmitOnlyDemand:  cust.demand.admitOnlyRate,
		DemandAt:         cust.demand.updatedAt,
		LastUsedAt:       cust.lastUsedAt,
		Tokens:           cust.quota.tokens,
		Debt:             cust.quota.debt,
		FallbackTokens:   cust.quota.fallbackTokens,
		PeerDemand:       cust.bucket.peerDemand,
		BucketLevel:      cust.bucket.level,
		SeenTotal:        cust.bucket.seenTotal,
		FallbackFilledAt: cust.quota.fallbackFilledAt,
		LeasedAt:         cust.quota.leasedAt,
		BucketLevelAt:    cust.bucket.levelAt,
		BucketKnownAt:    cust.bucket.knownAt,
		TokensValidFrom:  cust.quota.tokensValidFrom,
		BucketKnown:      cust.bucket.known,
		SeenWindow:       cust.bucket.seenWindow,
		CarriedWindow:    cust.bucket.carriedWindow,
		CarriedAt:        cust.bucket.carriedAt,
		EmptyUntil:       cust.bucket.emptyUntil,
		CeilingTokens:    cust.ceiling.tokens - reserved,
		AdmitOnlyTokens:  cust.ceiling.admitOnlyTokens,
		CeilingFilledAt:  cust.ceiling.filledAt,
		InFlightUntil:    inFlightUntil,
	}
}

// exportTurn returns the number of the last turn that a customer has used. It returns 0 if there is none or if the
// customer's share is not divided into turns.
func (b *Balancer) exportTurn(cust *customer) int64 {
	turns, ok := b.sparseTurns(cust, &b.settings.Plans[cust.plan])
	if !ok {
		return 0
	}
	return cust.ceiling.lastTurn(turns, b.settings.Index)
}

// importTurn restores the last turn that a customer has used. The previous process may have numbered its turns
// differently, but it cannot have used a turn that is still to come.
func (b *Balancer) importTurn(cust *customer, plan *Plan, lastTurn int64) {
	if turns, ok := b.sparseTurns(cust, plan); ok && lastTurn > 0 {
		cust.ceiling.turnUsedAt = min(b.now, turns.StartOf(lastTurn, b.settings.Index))
	}
}

// giveUpTokens drops the tokens and the debt that have been handed over.
func (cust *customer) giveUpTokens() {
	cust.quota.dropTokens()
	cust.quota.takeDebt()
	cust.quota.limitFallback(0)
	cust.ceiling.admitOnlyTokens = 0
	cust.ceiling.tokens = min(cust.ceiling.tokens, cust.ceiling.reserved)
}

// handleImportHandover imports the state that another process handed over. A process whose successor failed gets its
// own state back, and adds it to what it has received meanwhile.
func (b *Balancer) handleImportHandover(state HandoverState) {
	returned := b.handedOver
	b.handedOver = false
	for _, cust := range b.customers.order { // refills until now belonged to the other process
		cust.quota.fallbackFilledAt = max(cust.quota.fallbackFilledAt, b.now)
		cust.ceiling.filledAt = max(cust.ceiling.filledAt, b.now)
	}
	if !returned {
		b.importEstimates(&state)
	}
	for i := range state.Customers {
		from := &state.Customers[i]
		isValid := from.Plan >= 0 && from.Plan < len(b.settings.Plans) && from.Gateways > 0
		if !isValid {
			continue
		}
		if cust := b.customers.find(from.Name); returned && cust != nil {
			cust.takeBackTokens(from)
			continue
		}
		cust := b.importCustomer(from)
		b.importInFlight(cust, from, handoverRequestIDs+uint64(i)*handoverIDsPerCustomer)
	}
}

// importEstimates imports the estimates of the fleet, the classes and the endpoints.
func (b *Balancer) importEstimates(state *HandoverState) {
	b.latency.restoreFleet(b.now, state.FleetSlowdown)
	b.warmRate.restart(b.now, state.WarmEndpointRate)
	b.shortage = state.Shortage
	if b.settings.UseCounter {
		b.counter.callFraction = min(1, max(minCallFraction, cmp.Or(state.CallFraction, 1)))
	}
	for i, from := range state.Classes {
		if i < len(b.latency.classes) && from.Answers > 0 && from.MeanLatency > 0 {
			class := &b.latency.classes[i]
			class.meanLatency = from.MeanLatency
			class.idleLatency = from.IdleLatency
			class.answers = from.Answers
		}
	}
	for i := range state.Endpoints {
		b.importEndpoint(&state.Endpoints[i])
	}
}

// importEndpoint imports the state of an endpoint, unless the endpoint has been restarted since the export.
func (b *Balancer) importEndpoint(from *EndpointHandover) {
	ep := b.endpoints.byName[from.Name]
	if ep == nil || ep.startedAt != from.StartedAt {
		return
	}
	ep.restore(from)
	if ep.inService && from.Ejected && !ep.outlier.ejected {
		b.eject(ep)
	}
}

// takeBackTokens adds the tokens that were handed over and have been returned.
func (cust *customer) takeBackTokens(from *CustomerHandover) {
	cust.quota.tokens += from.Tokens
	cust.quota.debt += from.Debt
	cust.quota.fallbackTokens += max(0, from.FallbackTokens)
	cust.ceiling.admitOnlyTokens += from.AdmitOnlyTokens
	cust.ceiling.tokens += from.CeilingTokens
}

// importCustomer imports the state of a customer.
func (b *Balancer) importCustomer(from *CustomerHandover) *customer {
	plan := &b.settings.Plans[from.Plan]
	cust := b.customers.find(from.Name)
	if cust == nil {
		cust = b.customerFor(Request{Customer: from.Name, Plan: from.Plan, Gateways: int(from.Gateways)})
	}
	cust.lastUsedAt = from.LastUsedAt
	cust.demand = demandRate{rate: from.Demand, admitOnlyRate: from.AdmitOnlyDemand, updatedAt: from.DemandAt}
	cust.quota.restore(from, plan.Burst/from.Gateways)
	cust.bucket.restore(from)
	cust.ceiling.restore(from, plan.CeilingBurst)
	b.importTurn(cust, plan, from.LastTurn)
	return cust
}

// restore imports the state of a quota. The fallback tokens are capped at fallbackDepth.
func (quota *quotaState) restore(from *CustomerHandover, fallbackDepth float64) {
	quota.tokens = from.Tokens
	quota.tokensValidFrom = from.TokensValidFrom
	quota.leasedAt = from.LeasedAt
	quota.debt = from.Debt
	quota.fallbackTokens = min(from.FallbackTokens, fallbackDepth)
	quota.fallbackFilledAt = from.FallbackFilledAt
}

// restore imports what was known about a shared bucket.
func (bucket *sharedBucket) restore(from *CustomerHandover) {
	bucket.known = from.BucketKnown
	bucket.knownAt = from.BucketKnownAt
	bucket.level = from.BucketLevel
	bucket.levelAt = from.BucketLevelAt
	bucket.peerDemand = from.PeerDemand
	bucket.seenWindow = from.SeenWindow
	bucket.seenTotal = from.SeenTotal
	bucket.carriedWindow = from.CarriedWindow
	bucket.carriedAt = from.CarriedAt
	bucket.emptyUntil = from.EmptyUntil
}

// restore imports the state of a ceiling. Its tokens are capped at depth.
func (ceiling *ceilingState) restore(from *CustomerHandover, depth float64) {
	ceiling.tokens = min(from.CeilingTokens, depth)
	ceiling.admitOnlyTokens = from.AdmitOnlyTokens
	ceiling.filledAt = from.CeilingFilledAt
}

// importInFlight counts the requests in flight at the previous process against the plan's limit until they have ended.
// Their IDs start at firstID.
func (b *Balancer) importInFlight(cust *customer, from *CustomerHandover, firstID uint64) {
	limit := max(0, b.settings.Plans[from.Plan].MaxInFlight)
	for i, until := range from.InFlightUntil[:min(len(from.InFlightUntil), limit)] {
		if until <= b.now {
			continue
		}
		req := &request{
			id:        firstID + uint64(i),
			customer:  cust,
			plan:      from.Plan,
			arrivedAt: b.now,
			admitted:  true,
			inFlight:  true,
			holdUntil: until,
		}
		b.requests[req.id] = req
		cust.inFlight++
		b.emit(SetTimer{until, requestCookie(req.id)})
	}
}
