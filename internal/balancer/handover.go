package balancer

// What a door hands to the one that takes its place while both still run. Nothing here decides: it writes down what the rules
// need to hold over the pair, and what would take the other seconds to learn. What is handed on is no longer this door's.

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

// BeginHandover asks for what the door that takes this one's place needs; a Handed answers it. From then on this door ends what it has
// and spends nothing but what that has reserved, until a Recall gives something back.
type BeginHandover struct{}

// HandoverReady answers a Leave.
type HandoverReady struct{ State HandoverState }

// ImportHandover gives a door what another one handed on, before its first request; or gives it back to the one that did.
type ImportHandover struct{ State HandoverState }

func (BeginHandover) event()  {}
func (ImportHandover) event() {}
func (HandoverReady) action() {}

// refillSeconds is the seconds in which this door's shares have filled.
func (d *Balancer) refillSeconds(at time.Duration) float64 {
	if d.handedOver {
		return 0
	}
	return (d.now - at).Seconds()
}

// handleBeginHandover writes down and gives away.
func (d *Balancer) handleBeginHandover() {
	m := HandoverState{At: d.now, Fleet: d.fleetSlowdown, Rate: d.warmEndpointRate, Short: d.shortage, CallShare: d.callFraction}
	for _, k := range d.classes {
		m.Classes = append(m.Classes, ClassHandover{k.meanLatency, k.idleLatency, k.answers})
	}
	open := map[*customer][]time.Duration{}
	for _, r := range d.requests {
		if r.inFlight {
			open[r.customer] = append(open[r.customer], max(r.arrivedAt+r.timeLimit, r.holdUntil))
		}
	}
	all := slices.Clone(d.customerOrder)
	slices.SortFunc(all, func(a, b *customer) int {
		return cmp.Or(cmp.Compare(b.lastUsedAt, a.lastUsedAt), cmp.Compare(a.name, b.name))
	})
	for _, c := range all {
		d.refillCeiling(c, &d.settings.Plans[c.plan]) // up to now
		if len(m.Customers) < maxHandoverCustomers {
			keeps := min(c.ceilingTokens, c.ceilingQueued)
			slices.Sort(open[c])
			m.Customers = append(m.Customers, CustomerHandover{Name: c.name, Plan: c.plan, Doors: c.gateways, Demand: c.demand,
				Leave: c.admitOnlyDemand, DemandAt: c.demandAt, UsedAt: c.lastUsedAt, Tokens: c.tokens, Owed: c.debt, Spare: c.fallbackTokens,
				Others: c.peerDemand, Store: c.storeLevel, Seen: c.seenTotal, SpareAt: c.fallbackAt, GrantAt: c.leasedAt, StoreAt: c.storeLevelAt,
				KnownAt: c.storeKnownAt, TokensAt: c.tokensValidFrom, Known: c.storeKnown, SeenIn: c.seenWindow, Carried: c.carriedWindow,
				Turn: c.lastTurn, CarriedAt: c.carriedAt, EmptyUntil: c.storeEmptyUntil, Ceil: c.ceilingTokens - keeps, Kept: c.ceilingKept,
				CeilAt: c.ceilingAt, Open: open[c]})
		}
		c.tokens, c.debt, c.fallbackTokens, c.ceilingKept, c.ceilingTokens = 0, 0, min(0, c.fallbackTokens), 0, min(c.ceilingTokens, c.ceilingQueued)
	}
	for _, s := range d.endpointOrder {
		sm := EndpointHandover{Name: s.name, Started: s.startedAt, ColdAt: s.warmUpFrom, Cold: s.warmingUp, Ejected: s.ejected, Slow: s.latencyFactor,
			Slots: s.concurrencyLimit}
		for _, e := range s.slowStart.Sends() {
			sm.Sends = append(sm.Sends, SlowStartSend(e))
		}
		m.Servers = append(m.Servers, sm)
	}
	d.handedOver = true
	d.emit(HandoverReady{m})
}

// handleImportHandover takes over what was handed on. A door that gets its own back adds it to what came in meanwhile.
func (d *Balancer) handleImportHandover(m HandoverState) {
	back := d.handedOver
	d.handedOver = false
	for _, c := range d.customers { // what would have filled meanwhile was the other's
		c.fallbackAt, c.ceilingAt = max(c.fallbackAt, d.now), max(c.ceilingAt, d.now)
	}
	if !back {
		d.fleetSlowdown, d.fleetSlowdownAt, d.warmEndpointRate, d.warmEndpointRateAt, d.shortage = cmp.Or(m.Fleet, d.fleetSlowdown), d.now, m.Rate, d.now, m.Short
		if d.settings.UseCounter {
			d.callFraction = min(1, max(minCallFraction, cmp.Or(m.CallShare, 1)))
		}
		for i, k := range m.Classes {
			if i < len(d.classes) && k.Answers > 0 && k.Base > 0 {
				l := &d.classes[i]
				l.meanLatency, l.idleLatency, l.answers = k.Base, k.Floor, k.Answers
			}
		}
		for _, sm := range m.Servers {
			d.importEndpoint(sm)
		}
	}
	for i, cm := range m.Customers {
		if cm.Plan >= 0 && cm.Plan < len(d.settings.Plans) && cm.Doors > 0 {
			d.importCustomer(i, cm, back)
		}
	}
}

func (d *Balancer) importEndpoint(sm EndpointHandover) {
	s := d.endpoints[sm.Name]
	if s == nil || s.startedAt != sm.Started {
		return // another process, of which nothing is known
	}
	s.warmingUp, s.warmUpFrom, s.concurrencyLimit = sm.Cold, sm.ColdAt, min(maxConcurrency, max(minConcurrency, sm.Slots))
	if sm.Slow > 0 {
		s.latencyFactor = sm.Slow
	}
	for _, e := range sm.Sends {
		s.slowStart.Sent(e.At, e.Size)
	}
	if s.inService && sm.Ejected && !s.ejected {
		d.eject(s)
	}
}

func (d *Balancer) importCustomer(i int, cm CustomerHandover, back bool) {
	p := &d.settings.Plans[cm.Plan]
	c := d.customers[cm.Name]
	if back && c != nil {
		c.tokens += cm.Tokens
		c.debt += cm.Owed
		c.fallbackTokens += max(0, cm.Spare)
		c.ceilingKept += cm.Kept
		c.ceilingTokens += cm.Ceil
		return
	}
	if c == nil {
		c = d.customerFor(Request{Customer: cm.Name, Plan: cm.Plan, Gateways: int(cm.Doors)})
	}
	c.demand, c.admitOnlyDemand, c.demandAt, c.lastUsedAt = cm.Demand, cm.Leave, cm.DemandAt, cm.UsedAt
	c.tokens, c.debt, c.fallbackTokens, c.fallbackAt = cm.Tokens, cm.Owed, min(cm.Spare, p.Burst/cm.Doors), cm.SpareAt
	c.peerDemand, c.storeLevel, c.seenTotal, c.seenWindow = cm.Others, cm.Store, cm.Seen, cm.SeenIn
	c.leasedAt, c.storeLevelAt, c.storeKnownAt, c.tokensValidFrom = cm.GrantAt, cm.StoreAt, cm.KnownAt, cm.TokensAt
	c.storeKnown, c.carriedWindow, c.carriedAt, c.storeEmptyUntil = cm.Known, cm.Carried, cm.CarriedAt, cm.EmptyUntil
	c.lastTurn, c.ceilingTokens, c.ceilingKept, c.ceilingAt = cm.Turn, min(cm.Ceil, p.CeilingBurst), cm.Kept, cm.CeilAt
	for j, until := range cm.Open[:min(len(cm.Open), max(0, p.MaxInFlight))] {
		if until <= d.now {
			continue
		}
		r := &request{id: handoverRequestIDs + uint64(i)<<20 + uint64(j), customer: c, plan: cm.Plan, arrivedAt: d.now, admitted: true, inFlight: true, holdUntil: until}
		d.requests[r.id] = r
		c.inFlight++
		d.emit(SetTimer{until, r.id<<1 | 1})
	}
}
