package balancer

// What a door hands to the one that takes its place while both still run. Nothing here decides: it writes down what the rules
// need to hold over the pair, and what would take the other seconds to learn. What is handed on is no longer this door's.

import (
	"cmp"
	"slices"
	"time"
)

const (
	handedMost = 4096    // customers that are handed on, those seen last; the others are met anew
	ghosts     = 1 << 62 // from here on requests are numbered that are open at the door before
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

// since is the seconds in which this door's shares have filled.
func (d *Balancer) since(at time.Duration) float64 {
	if d.away {
		return 0
	}
	return (d.now - at).Seconds()
}

// leave writes down and gives away.
func (d *Balancer) leave() {
	m := HandoverState{At: d.now, Fleet: d.fleet, Rate: d.rate, Short: d.short, CallShare: d.callShare}
	for _, k := range d.learned {
		m.Classes = append(m.Classes, ClassHandover{k.base, k.floor, k.answers})
	}
	open := map[*customer][]time.Duration{}
	for _, r := range d.reqs {
		if r.live {
			open[r.c] = append(open[r.c], max(r.at+r.tau, r.holdUntil))
		}
	}
	all := slices.Clone(d.order)
	slices.SortFunc(all, func(a, b *customer) int {
		return cmp.Or(cmp.Compare(b.usedAt, a.usedAt), cmp.Compare(a.name, b.name))
	})
	for _, c := range all {
		d.ceiling(c, &d.set.Plans[c.plan]) // up to now
		if len(m.Customers) < handedMost {
			keeps := min(c.ceil, c.ceilQueued)
			slices.Sort(open[c])
			m.Customers = append(m.Customers, CustomerHandover{Name: c.name, Plan: c.plan, Doors: c.doors, Demand: c.demand,
				Leave: c.leave, DemandAt: c.demandAt, UsedAt: c.usedAt, Tokens: c.tokens, Owed: c.owed, Spare: c.spare,
				Others: c.others, Store: c.store, Seen: c.seen, SpareAt: c.spareAt, GrantAt: c.grantAt, StoreAt: c.storeAt,
				KnownAt: c.knownAt, TokensAt: c.tokensFrom, Known: c.known, SeenIn: c.seenIn, Carried: c.carried,
				Turn: c.turn, CarriedAt: c.carriedAt, EmptyUntil: c.emptyUntil, Ceil: c.ceil - keeps, Kept: c.kept,
				CeilAt: c.ceilAt, Open: open[c]})
		}
		c.tokens, c.owed, c.spare, c.kept, c.ceil = 0, 0, min(0, c.spare), 0, min(c.ceil, c.ceilQueued)
	}
	for _, s := range d.ring {
		sm := EndpointHandover{Name: s.name, Started: s.started, ColdAt: s.coldAt, Cold: s.cold, Ejected: s.ejected, Slow: s.slow,
			Slots: s.slots}
		for _, e := range s.book.Sends() {
			sm.Sends = append(sm.Sends, SlowStartSend(e))
		}
		m.Servers = append(m.Servers, sm)
	}
	d.away = true
	d.act(HandoverReady{m})
}

// recall takes over what was handed on. A door that gets its own back adds it to what came in meanwhile.
func (d *Balancer) recall(m HandoverState) {
	back := d.away
	d.away = false
	for _, c := range d.customers { // what would have filled meanwhile was the other's
		c.spareAt, c.ceilAt = max(c.spareAt, d.now), max(c.ceilAt, d.now)
	}
	if !back {
		d.fleet, d.fleetAt, d.rate, d.rateAt, d.short = cmp.Or(m.Fleet, d.fleet), d.now, m.Rate, d.now, m.Short
		if d.set.UseCounter {
			d.callShare = min(1, max(callsLeast, cmp.Or(m.CallShare, 1)))
		}
		for i, k := range m.Classes {
			if i < len(d.learned) && k.Answers > 0 && k.Base > 0 {
				l := &d.learned[i]
				l.base, l.floor, l.answers = k.Base, k.Floor, k.Answers
			}
		}
		for _, sm := range m.Servers {
			d.recallServer(sm)
		}
	}
	for i, cm := range m.Customers {
		if cm.Plan >= 0 && cm.Plan < len(d.set.Plans) && cm.Doors > 0 {
			d.recallCustomer(i, cm, back)
		}
	}
}

func (d *Balancer) recallServer(sm EndpointHandover) {
	s := d.servers[sm.Name]
	if s == nil || s.started != sm.Started {
		return // another process, of which nothing is known
	}
	s.cold, s.coldAt, s.slots = sm.Cold, sm.ColdAt, min(slotsMost, max(slotsLeast, sm.Slots))
	if sm.Slow > 0 {
		s.slow = sm.Slow
	}
	for _, e := range sm.Sends {
		s.book.Sent(e.At, e.Size)
	}
	if s.listed && sm.Ejected && !s.ejected {
		d.eject(s)
	}
}

func (d *Balancer) recallCustomer(i int, cm CustomerHandover, back bool) {
	p := &d.set.Plans[cm.Plan]
	c := d.customers[cm.Name]
	if back && c != nil {
		c.tokens += cm.Tokens
		c.owed += cm.Owed
		c.spare += max(0, cm.Spare)
		c.kept += cm.Kept
		c.ceil += cm.Ceil
		return
	}
	if c == nil {
		c = d.customer(Request{Customer: cm.Name, Plan: cm.Plan, Gateways: int(cm.Doors)})
	}
	c.demand, c.leave, c.demandAt, c.usedAt = cm.Demand, cm.Leave, cm.DemandAt, cm.UsedAt
	c.tokens, c.owed, c.spare, c.spareAt = cm.Tokens, cm.Owed, min(cm.Spare, p.Burst/cm.Doors), cm.SpareAt
	c.others, c.store, c.seen, c.seenIn = cm.Others, cm.Store, cm.Seen, cm.SeenIn
	c.grantAt, c.storeAt, c.knownAt, c.tokensFrom = cm.GrantAt, cm.StoreAt, cm.KnownAt, cm.TokensAt
	c.known, c.carried, c.carriedAt, c.emptyUntil = cm.Known, cm.Carried, cm.CarriedAt, cm.EmptyUntil
	c.turn, c.ceil, c.kept, c.ceilAt = cm.Turn, min(cm.Ceil, p.CeilingBurst), cm.Kept, cm.CeilAt
	for j, until := range cm.Open[:min(len(cm.Open), max(0, p.MaxInFlight))] {
		if until <= d.now {
			continue
		}
		r := &request{id: ghosts + uint64(i)<<20 + uint64(j), c: c, plan: cm.Plan, at: d.now, granted: true, live: true, holdUntil: until}
		d.reqs[r.id] = r
		c.live++
		d.act(SetTimer{until, r.id<<1 | 1})
	}
}
