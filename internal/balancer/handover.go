package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	maxHandoverCustomers = 4096    // customers that are handed on, those seen last; the others are met anew
	handoverRequestIDs   = 1 << 62 // from here on requests are numbered that are open at the door before
)

// HandoverState is what a door hands on. Classes and plans are numbered as in its settings.
type HandoverState struct {
	At        time.Duration      `json:"At"`
	Classes   []ClassHandover    `json:"Classes"`
	Customers []CustomerHandover `json:"Customers"`
	Servers   []EndpointHandover `json:"Servers"`
	Fleet     float64            `json:"Fleet"`
	Rate      float64            `json:"Rate"`
	Short     float64            `json:"Short"`
	CallShare float64            `json:"CallShare"`
}

// ClassHandover is what is known of a class.
type ClassHandover struct {
	Base    float64 `json:"Base"`  // seconds
	Floor   float64 `json:"Floor"` // seconds
	Answers int     `json:"Answers"`
}

// CustomerHandover is how a customer stands.
type CustomerHandover struct {
	Name       string          `json:"Name"`
	Plan       int             `json:"Plan"`
	Doors      float64         `json:"Doors"`
	Demand     float64         `json:"Demand"`
	Leave      float64         `json:"Leave"`
	DemandAt   time.Duration   `json:"DemandAt"`
	UsedAt     time.Duration   `json:"UsedAt"`
	Tokens     float64         `json:"Tokens"`
	Owed       float64         `json:"Owed"`
	Spare      float64         `json:"Spare"`
	Others     float64         `json:"Others"`
	Store      float64         `json:"Store"`
	Seen       float64         `json:"Seen"`
	SpareAt    time.Duration   `json:"SpareAt"`
	GrantAt    time.Duration   `json:"GrantAt"`
	StoreAt    time.Duration   `json:"StoreAt"`
	KnownAt    time.Duration   `json:"KnownAt"`
	TokensAt   time.Duration   `json:"TokensAt"`
	Known      bool            `json:"Known"`
	SeenIn     int64           `json:"SeenIn"`
	Carried    int64           `json:"Carried"`
	Turn       int64           `json:"Turn"`
	CarriedAt  time.Duration   `json:"CarriedAt"`
	EmptyUntil time.Duration   `json:"EmptyUntil"`
	Ceil       float64         `json:"Ceil"`
	Kept       float64         `json:"Kept"`
	CeilAt     time.Duration   `json:"CeilAt"`
	Open       []time.Duration `json:"Open"` // until when those are open at the latest that count against a cap
}

// EndpointHandover is what is known of a backend.
type EndpointHandover struct {
	Name    string          `json:"Name"`
	Started time.Duration   `json:"Started"`
	ColdAt  time.Duration   `json:"ColdAt"`
	Cold    bool            `json:"Cold"`
	Ejected bool            `json:"Ejected"`
	Slow    float64         `json:"Slow"`
	Slots   float64         `json:"Slots"`
	Sends   []SlowStartSend `json:"Sends"` // of the last cold window
}

// SlowStartSend is one send to a cold backend.
type SlowStartSend struct {
	At   time.Duration `json:"At"`
	Size float64       `json:"Size"`
}

// handleBeginHandover writes down and gives away.
func (b *Balancer) handleBeginHandover() {
	m := HandoverState{
		At:        b.now,
		Fleet:     b.latency.fleetSlowdown,
		Rate:      b.warmRate.value,
		Short:     b.shortage,
		CallShare: b.counter.callFraction,
	}
	for _, k := range b.latency.classes {
		m.Classes = append(m.Classes, ClassHandover{k.meanLatency, k.idleLatency, k.answers})
	}
	open := map[*customer][]time.Duration{}
	for _, req := range b.requests {
		if req.inFlight {
			open[req.customer] = append(open[req.customer], max(req.arrivedAt+req.timeLimit, req.holdUntil))
		}
	}
	all := slices.Clone(b.customerOrder)
	slices.SortFunc(all, func(a, b *customer) int {
		return cmp.Or(cmp.Compare(b.lastUsedAt, a.lastUsedAt), cmp.Compare(a.name, b.name))
	})
	for _, cust := range all {
		b.refillCeiling(cust, &b.settings.Plans[cust.plan]) // up to now
		if len(m.Customers) < maxHandoverCustomers {
			keeps := min(cust.ceiling.tokens, cust.ceiling.reserved)
			slices.Sort(open[cust])
			m.Customers = append(
				m.Customers,
				CustomerHandover{
					Name:       cust.name,
					Plan:       cust.plan,
					Doors:      cust.gateways,
					Demand:     cust.demand.rate,
					Leave:      cust.demand.admitOnlyRate,
					DemandAt:   cust.demand.updatedAt,
					UsedAt:     cust.lastUsedAt,
					Tokens:     cust.quota.tokens,
					Owed:       cust.quota.debt,
					Spare:      cust.quota.fallbackTokens,
					Others:     cust.bucket.peerDemand,
					Store:      cust.bucket.level,
					Seen:       cust.bucket.seenTotal,
					SpareAt:    cust.quota.fallbackFilledAt,
					GrantAt:    cust.quota.leasedAt,
					StoreAt:    cust.bucket.levelAt,
					KnownAt:    cust.bucket.knownAt,
					TokensAt:   cust.quota.tokensValidFrom,
					Known:      cust.bucket.known,
					SeenIn:     cust.bucket.seenWindow,
					Carried:    cust.bucket.carriedWindow,
					Turn:       cust.ceiling.lastTurn,
					CarriedAt:  cust.bucket.carriedAt,
					EmptyUntil: cust.bucket.emptyUntil,
					Ceil:       cust.ceiling.tokens - keeps,
					Kept:       cust.ceiling.admitOnlyTokens,
					CeilAt:     cust.ceiling.filledAt,
					Open:       open[cust],
				},
			)
		}
		cust.quota.tokens, cust.quota.debt, cust.quota.fallbackTokens, cust.ceiling.admitOnlyTokens, cust.ceiling.tokens = 0, 0, min(
			0,
			cust.quota.fallbackTokens,
		), 0, min(
			cust.ceiling.tokens,
			cust.ceiling.reserved,
		)
	}
	for _, ep := range b.endpoints.ordered {
		sm := EndpointHandover{
			Name:    ep.name,
			Started: ep.startedAt,
			ColdAt:  ep.slowStart.since,
			Cold:    ep.slowStart.active,
			Ejected: ep.outlier.ejected,
			Slow:    ep.latency.factor,
			Slots:   ep.concurrency.limit,
		}
		for _, e := range ep.slowStart.budget.Dispatches() {
			sm.Sends = append(sm.Sends, SlowStartSend{At: e.At, Size: e.Cost})
		}
		m.Servers = append(m.Servers, sm)
	}
	b.handedOver = true
	b.emit(HandoverReady{m})
}

// handleImportHandover takes over what was handed on. A door that gets its own back adds it to what came in meanwhile.
func (b *Balancer) handleImportHandover(m HandoverState) {
	back := b.handedOver
	b.handedOver = false
	for _, cust := range b.customers { // what would have filled meanwhile was the other's
		cust.quota.fallbackFilledAt, cust.ceiling.filledAt = max(cust.quota.fallbackFilledAt, b.now), max(cust.ceiling.filledAt, b.now)
	}
	if !back {
		b.latency.fleetSlowdown, b.latency.fleetSlowdownAt, b.warmRate.value, b.warmRate.updatedAt, b.shortage = cmp.Or(
			m.Fleet,
			b.latency.fleetSlowdown,
		), b.now, m.Rate, b.now, m.Short
		if b.settings.UseCounter {
			b.counter.callFraction = min(1, max(minCallFraction, cmp.Or(m.CallShare, 1)))
		}
		for i, k := range m.Classes {
			if i < len(b.latency.classes) && k.Answers > 0 && k.Base > 0 {
				l := &b.latency.classes[i]
				l.meanLatency, l.idleLatency, l.answers = k.Base, k.Floor, k.Answers
			}
		}
		for _, sm := range m.Servers {
			b.importEndpoint(sm)
		}
	}
	for i, cm := range m.Customers {
		if cm.Plan >= 0 && cm.Plan < len(b.settings.Plans) && cm.Doors > 0 {
			b.importCustomer(i, cm, back)
		}
	}
}

func (b *Balancer) importEndpoint(sm EndpointHandover) {
	ep := b.endpoints.byName[sm.Name]
	if ep == nil || ep.startedAt != sm.Started {
		return // another process, of which nothing is known
	}
	ep.slowStart.active, ep.slowStart.since = sm.Cold, sm.ColdAt
	ep.concurrency.restore(sm.Slots)
	if sm.Slow > 0 {
		ep.latency.factor = sm.Slow
	}
	for _, e := range sm.Sends {
		ep.slowStart.budget.RecordDispatch(e.At, e.Size)
	}
	if ep.inService && sm.Ejected && !ep.outlier.ejected {
		b.eject(ep)
	}
}

func (b *Balancer) importCustomer(i int, cm CustomerHandover, back bool) {
	plan := &b.settings.Plans[cm.Plan]
	cust := b.customers[cm.Name]
	if back && cust != nil {
		cust.quota.tokens += cm.Tokens
		cust.quota.debt += cm.Owed
		cust.quota.fallbackTokens += max(0, cm.Spare)
		cust.ceiling.admitOnlyTokens += cm.Kept
		cust.ceiling.tokens += cm.Ceil
		return
	}
	if cust == nil {
		cust = b.customerFor(Request{Customer: cm.Name, Plan: cm.Plan, Gateways: int(cm.Doors)})
	}
	cust.demand.rate, cust.demand.admitOnlyRate, cust.demand.updatedAt, cust.lastUsedAt = cm.Demand, cm.Leave, cm.DemandAt, cm.UsedAt
	cust.quota.tokens, cust.quota.debt, cust.quota.fallbackTokens, cust.quota.fallbackFilledAt = cm.Tokens, cm.Owed, min(
		cm.Spare,
		plan.Burst/cm.Doors,
	), cm.SpareAt
	cust.bucket.peerDemand, cust.bucket.level, cust.bucket.seenTotal, cust.bucket.seenWindow = cm.Others, cm.Store, cm.Seen, cm.SeenIn
	cust.quota.leasedAt, cust.bucket.levelAt, cust.bucket.knownAt, cust.quota.tokensValidFrom = cm.GrantAt, cm.StoreAt,
		cm.KnownAt, cm.TokensAt
	cust.bucket.known, cust.bucket.carriedWindow, cust.bucket.carriedAt, cust.bucket.emptyUntil = cm.Known, cm.Carried,
		cm.CarriedAt, cm.EmptyUntil
	cust.ceiling.lastTurn, cust.ceiling.tokens, cust.ceiling.admitOnlyTokens, cust.ceiling.filledAt = cm.Turn, min(
		cm.Ceil,
		plan.CeilingBurst,
	), cm.Kept, cm.CeilAt
	for j, until := range cm.Open[:min(len(cm.Open), max(0, plan.MaxInFlight))] {
		if until <= b.now {
			continue
		}
		req := &request{
			id:        handoverRequestIDs + uint64(i)<<20 + uint64(j),
			customer:  cust,
			plan:      cm.Plan,
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
