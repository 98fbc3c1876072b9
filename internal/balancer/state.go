package balancer

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gapgap/internal/balancer/callpacer"
	"gapgap/internal/balancer/ceilinglease"
	"gapgap/internal/balancer/costmodel"
	"gapgap/internal/balancer/quotashare"
	"gapgap/internal/balancer/slowstart"
	"gapgap/internal/balancer/subsetting"
)

// What a door remembers, and how its queues are kept. Nothing here decides.

type server struct {
	name                string
	zone, cell          int
	weight, slots, slow float64
	share               float64 // of what it bears while cold
	listed              bool    // in service, by the list and by hand
	inList              bool    // ... by the list
	owed                bool    // back by hand and not used since
	member              bool    // this door uses it as a rule
	started, coldAt     time.Duration
	cold, ejected       bool
	restUntil           time.Duration
	trialAt             time.Duration
	trialPause          time.Duration
	trying              bool
	fails, lost         int           // broken connections in a row; time-outs since heard
	heard               time.Duration // last sign of life, or the moment it got work after having none
	outs                []*attempt
	queue               [lowest + 1][]*entry
	count               [lowest + 1]int
	queued              int
	book                slowstart.Book      // while it is cold
	load                float64             // the work of outs, in mean requests
	work                [lowest + 1]float64 // of what is queued, so too
	waits               float64             // the sum of work
}

type entry struct{ r *request }

type attempt struct {
	r     *request
	no    int
	s     *server
	at    time.Duration
	trial bool
	open  bool
	begun bool // its answer has begun to come: the server has done its work
}

type request struct {
	id          uint64
	class, plan int
	most        int // attempts, by the settings that it came under
	c           *customer
	units, size float64       // of the quota; the work, in that of the mean request of its class
	at, tau     time.Duration // arrival; useful time left then
	level       int
	paid, live  bool   // paid by tokens; counted in customer.live
	byLedger    bool   // these tokens came from the counter
	ceilHeld    bool   // holds units of the ceiling's share while queued
	pays        payer  // where its units of the ceiling come from
	lease       int64  // with fromLease: the window that they were leased for; with fromShare: the turn, if there are turns
	askedLease  bool   // has called the counter for that
	spot        *entry // place in a queue of on
	on          *server
	attempts    []*attempt
	out         int
	ran, ended  bool
	ranAt       time.Duration
	ranOn       *server
	stream      bool
	retry       bool // the client's repeat
	unsure      bool // on credit: neither paid by the lease nor looked up
	asked       bool // has called the counter
	askedTwice  bool // ... and may not after another failure

	grant, granted  bool // wants leave only; has got it
	hold, holdUntil time.Duration
}

type customer struct {
	name             string
	plan             int
	doors            float64
	demand           float64 // units a second here
	demandAt, usedAt time.Duration
	tokens           float64       // leased
	tokensFrom       time.Duration // they may be spent from then on
	spare            float64       // fallback share not yet spent
	spareAt          time.Duration
	owed             float64 // spent without a lease, to be added to the counter; below 0: to be given back
	owedIn           int64   // window of the counter's numbers that owed was last looked at in, where doors are many
	known, asking    bool
	unheard          bool    // the last call for it had no answer
	others           float64 // units a second that the other doors add
	grantAt          time.Duration
	store            float64 // what the customer's store holds, by the counter
	storeAt          time.Duration
	ceil             float64
	ceilAt           time.Duration
	ceilQueued       float64
	loans            quotashare.Loans   // of the ceiling, with ByViews
	borrowAt         time.Duration      // not asked for before this
	turn             int64              // the last turn used, where the share is under a unit
	lease            ceilinglease.Lease // what of the ceiling is beyond the quota, where it is lent
	knownAt          time.Duration      // since when the counter's word on the store is known
	looks            bool               // asks what the store holds
	carried          int64              // the window of the store that was last looked at for what is carried into it ...
	carriedAt        time.Duration      // ... and from when on it holds that
	seenIn           int64              // window in which the counter's number was last seen, and that
	seen             float64
	leave, kept      float64 // units a second of what wants leave only; of ceil, what is kept for that
	live             int
	waiting          []*request
	grants           int           // of them, those that want leave only
	listed           bool          // in Balancer.waiters
	emptyUntil       time.Duration // the store was seen empty: not asked before then
	pauseUntil       time.Duration // nor before then, as a call may yet be answered
}

// call is a counter call that is out; with no block it only puts the number right.
type call struct {
	c                   *customer
	block, amount, owed float64 // units asked for; what is added in all; of it, owed from before
	window              int64
	at                  time.Duration
	kind                callKind
	ticket              uint64  // of those whose block is given back after a late answer
	first               float64 // the total that says that this door is the first
	total               float64 // what the number came to when its store was seen to hold too much
	short               bool    // for what goes out past this door's share of the ceiling
}

// callKind says what a counter call is for.
type callKind int

const (
	forTokens callKind = iota // of the quota, or with no block to put its store right
	forLease                  // of the ceiling beyond the quota, in a window of its own
	forFirst                  // to learn whether this door is the first one that asks in a window
	forLast                   // to learn what the window before came to
	forLevel                  // to learn what the store holds
	forTest                   // to learn whether the counter answers
	forFix                    // to learn whether this door is the first that would put the store right
	forFixed                  // ... or another one has just done that
	forRight                  // to put the store right, and to learn whether another door had
)

// experience is what a door has learned of one class.
type experience struct {
	base     float64           // mean latency, seconds
	floor    float64           // ... on an idle fleet
	answers  int               // that these are of
	size     costmodel.Profile // how the work grows with units
	mostLeft time.Duration     // the most time that a client gave
}

// Balancer decides for one front door.
type Balancer struct {
	set        Settings
	learned    []experience         // of each class
	terms      []ceilinglease.Terms // by plan, on which its ceiling is lent; zero: it is not
	fills      time.Duration        // the longest that a ceiling that is lent takes to fill
	failed     int                  // counter calls in a row
	lendFrom   time.Duration        // ceilings are lent from then on
	rng        *rand.Rand
	now, begun time.Duration
	lastAt     time.Duration // the Step before
	running    bool
	acts       []Action
	servers    map[string]*server
	ring       []*server
	byHand     map[string]time.Duration // servers that are taken out by hand, since when
	view       quotashare.View          // with ByViews: what this door has leased of all shares ...
	gone       []int                    // ... and the ranks of doors that do not serve
	out        bool                     // ... and whether it has nothing at all, since when
	keptFrom   time.Duration
	lentUntil  time.Duration // the last loan given is over then
	borrowAt   time.Duration // since when borrows are counted
	borrows    int
	away       bool // another door has taken this one's place
	turn       int
	users      int // doors that use each server
	sized      int // servers by which members were last found
	queued     int // requests in all queues
	reqs       map[uint64]*request
	customers  map[string]*customer
	order      []*customer
	sweep      int
	waiters    []*customer
	stuck      []*request
	lates      lates
	asks       map[uint64][]*call // counter calls out, by name in their order
	callShare  float64            // part of the requests without tokens that call the counter
	fleet      float64            // the last answers of all servers, in their classes' means
	fleetAt    time.Duration
	counterAt  time.Duration
	cutAt      time.Duration   // when callShare last shrank
	calls      *callpacer.Pace // to the counter, where doors are many
	beatAt     time.Duration   // last check of what no event tells
	topWorth   float64
	short      float64 // part of the requests inside their quotas that find no free place
	bestWorth  float64 // of the classes'
	rate       float64 // answers a second of a warm server
	rateAt     time.Duration
	listAt     time.Duration
	listWait   time.Duration
	listAsked  bool
}

// Validate says what of the settings a Balancer can't decide by.
func (set *Settings) Validate() error {
	switch {
	case set.Gateways < 1:
		return errors.New("snowhall: Doors is under 1")
	case len(set.Classes) == 0:
		return errors.New("snowhall: Classes is empty")
	case len(set.Plans) == 0:
		return errors.New("snowhall: Plans is empty")
	case set.MaxAttempts < 1:
		return errors.New("snowhall: MaxAttempts is under 1")
	case set.Resolution < 0 || set.OverloadWindow < 0 || set.SlowStartDuration < 0 || set.PollInterval < 0:
		return errors.New("snowhall: Resolution, FallWindow, WarmWithin or AskEvery is negative")
	case set.OverloadMultiple < 0 || set.SlowStartCapacity < 0:
		return errors.New("snowhall: FallMultiple or ColdFrom is negative")
	}
	for i, c := range set.Classes {
		if c.PriorityWeight < 0 || c.LatencyObjective < 0 || c.ClientTimeout < 0 || c.DedupWindow < 0 {
			return fmt.Errorf("snowhall: Classes[%d] has a negative value", i)
		}
		for j, p := range set.Plans {
			if p.Rate < 0 || p.Burst < 0 || p.MaxInFlight < 0 || p.CeilingRate < 0 || p.CeilingBurst < 0 {
				return fmt.Errorf("snowhall: Plans[%d] has a negative value", j)
			}
		}
	}
	return nil
}

// New makes a door that knows nothing yet. The seed is for its random numbers.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	d := &Balancer{byHand: map[string]time.Duration{}, rng: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*server{},
		reqs: map[uint64]*request{}, customers: map[string]*customer{}, asks: map[uint64][]*call{}}
	d.out = set.LeasedShares // until it is told
	d.tuned(set, nil)
	return d, nil
}

// tuned takes settings, at the start or later. Evidence is kept by class and goes on as told.
func (d *Balancer) tuned(set Settings, from []int) {
	d.set, d.fills, d.bestWorth, d.topWorth = set, 0, 0, 0
	d.terms = make([]ceilinglease.Terms, len(set.Plans))
	for i, p := range set.Plans {
		if set.LeaseCeilings && set.UseCounter && p.CeilingRate > 0 {
			d.terms[i], _ = ceilinglease.TermsOf(p.Rate, p.Burst, p.CeilingRate, p.CeilingBurst, 1)
			d.fills = max(d.fills, time.Duration(p.CeilingBurst/p.CeilingRate*float64(time.Second)))
		}
	}
	old := d.learned
	d.learned = make([]experience, len(set.Classes))
	for i, c := range set.Classes {
		if i < len(from) && from[i] >= 0 && from[i] < len(old) {
			d.learned[i] = old[from[i]]
		} else {
			d.learned[i] = experience{base: max(0.001, cmp.Or(c.LatencyObjective, c.ClientTimeout).Seconds()*priorShare), size: costmodel.New(set.MaxRequestUnits)}
		}
		if c.Removed {
			continue
		}
		d.bestWorth = max(d.bestWorth, c.PriorityWeight)
		for _, p := range set.Plans {
			d.topWorth = max(d.topWorth, c.PriorityWeight*p.PriorityFactor)
		}
	}
}

func (d *Balancer) push(r *request, s *server) {
	r.spot, r.on = &entry{r}, s
	q := s.queue[r.level]
	if len(r.attempts) > 0 { // a further attempt has waited already
		q = append([]*entry{r.spot}, q...)
	} else {
		q = append(q, r.spot)
	}
	s.queue[r.level] = q
	s.count[r.level]++
	s.work[r.level] += r.size
	s.waits += r.size
	s.queued++
	d.queued++
}

// unqueue takes a request out of its queue; the empty place is passed over later.
func (d *Balancer) unqueue(r *request) {
	if r.spot == nil {
		return
	}
	r.spot.r = nil
	r.on.work[r.level] -= r.size
	r.on.waits -= r.size
	if r.on.count[r.level]--; r.on.count[r.level] == 0 {
		r.on.queue[r.level] = nil // only empty places are left, and nobody may come to pick here
		r.on.work[r.level] = 0
	}
	if r.on.queued--; r.on.queued == 0 {
		r.on.waits = 0
	}
	d.queued--
	r.spot, r.on = nil, nil
}

func (s *server) head(l int) *request {
	q := s.queue[l]
	for q[0].r == nil {
		q = q[1:]
	}
	s.queue[l] = q
	return q[0].r
}

// call adds an amount on the counter under the customer and the window.
func (d *Balancer) call(c *customer, block, amount, owed float64) *call {
	window := int64(d.now / windowLen)
	name := counterName(c.name, window)
	k := &call{c: c, block: block, amount: amount, owed: owed, window: window, at: d.now, ticket: d.lates.ticket()}
	d.asks[name] = append(d.asks[name], k)
	d.calls.Take(d.now)
	d.act(CounterAdd{name, amount, keepFor, k.ticket})
	return k
}

// answered finds the call that an answer belongs to: those for one name come in the order of the calls.
func (d *Balancer) answered(name uint64) *call {
	all := d.asks[name]
	if len(all) == 0 {
		return nil
	}
	if d.asks[name] = all[1:]; len(all) == 1 {
		delete(d.asks, name)
	}
	return all[0]
}

// counterName is the counter's name for a customer and a window, within 63 bits.
func counterName(customer string, window int64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", customer, window)
	return h.Sum64() >> 1
}

// Step takes what happened at time now, in order, and returns what to do, in order. The slice is the caller's
// until the next Step.
func (d *Balancer) Step(now time.Duration, events []Event) []Action {
	d.acts = d.acts[:0]
	d.lastAt, d.now = d.now, max(d.now, now)
	if !d.running {
		d.running, d.begun, d.rateAt, d.turn = true, d.now, d.now, d.rng.IntN(1<<16)
		d.calls = callpacer.New(callpacer.Terms{Start: callsStart / d.living(), Least: callsLow / d.living(),
			Most: callsHigh, Depth: callsDepth, Wait: d.set.CounterTimeout / 4, CutEvery: 2 * d.set.CounterTimeout}, d.now)
		d.prime()
	}
	d.expire()
	for _, ev := range events {
		switch ev := ev.(type) {
		case Request:
			d.admit(ev)
		case AttemptResult:
			d.outcome(ev)
		case CounterResult:
			d.counted(ev)
		case LateCounterResult:
			d.late(ev)
		case TimerFired:
			d.timer(ev.Cookie)
		case EndpointUpdate:
			d.list(ev)
		case HealthCheckResult:
			d.probed(ev)
		case HealthReport:
			d.evidence(ev)
		case AdminEject:
			d.detach(ev)
		case AdminRestore:
			d.attach(ev.Endpoint)
		case BeginHandover:
			d.leave()
		case ImportHandover:
			d.recall(ev.State)
		case SettingsUpdate:
			d.settleShares() // by the plans as they were
			d.tuned(ev.Settings, ev.EvidenceFrom)
		case ShareUpdate:
			d.shared(ev)
		case LoanRequest:
			d.wanted(ev)
		case LoanGranted:
			d.loaned(ev)
		case RequestDone:
			if r := d.reqs[ev.ID]; r != nil {
				d.end(r)
			}
		case FirstByte:
			d.began(ev)
		}
	}
	return d.acts
}

func (d *Balancer) act(a Action) { d.acts = append(d.acts, a) }

func (d *Balancer) forget(r *request) {
	if r.ended && r.out == 0 {
		delete(d.reqs, r.id)
	}
}

// askAnew lets each request in a customer's line call the counter once more.
func (c *customer) askAnew() {
	for _, r := range c.waiting {
		r.asked, r.askedTwice = r.asked && r.askedTwice, true
	}
}

// shift takes a request out of the head of its customer's line.
func (c *customer) shift(r *request) {
	c.waiting[0] = nil
	c.waiting = c.waiting[1:]
	if r.grant {
		c.grants--
	}
}

// QuotaStatus is how a customer stands with its quota, by what this door knows.
type QuotaStatus struct {
	Remaining float64       // units that its store holds now
	FullIn    time.Duration // until the store is full again if nothing is taken
	Known     bool          // the counter has told of the store; else only this door's share is
}

// QuotaStatus tells how a customer stands. The second result says whether the door knows the customer.
func (d *Balancer) QuotaStatus(name string) (QuotaStatus, bool) {
	c := d.customers[name]
	if c == nil || d.set.Plans[c.plan].Rate <= 0 {
		return QuotaStatus{}, false
	}
	p := &d.set.Plans[c.plan]
	left := c.spare
	if c.known {
		left = d.level(c, p) + c.tokens
	}
	left = min(p.Burst, max(0, left))
	return QuotaStatus{left, time.Duration((p.Burst - left) / p.Rate * float64(time.Second)), c.known}, true
}

// release gives back what a request holds while it is queued, which goes out now or never.
func (d *Balancer) release(r *request, out bool) {
	if !r.ceilHeld {
		return
	}
	r.ceilHeld = false
	switch {
	case r.pays == fromShare:
		r.c.ceilQueued -= r.units
	case r.pays == fromLease && !out:
		r.c.lease.Give(d.terms[r.plan], d.now, r.lease, r.units, !r.grant)
	}
}

// hold counts a request as open where its plan bounds that, and keeps units of the ceiling for it; release gives these back.
func (d *Balancer) hold(r *request, from payer) {
	if d.set.Plans[r.plan].MaxInFlight > 0 {
		r.live = true
		r.c.live++
	}
	r.ceilHeld, r.pays, r.lease = true, from, 0
	switch from {
	case fromShare:
		r.c.ceilQueued += r.units
		if p := &d.set.Plans[r.plan]; d.many(r.c, p) {
			if t, ok := d.turns(r.c, p); ok {
				r.lease, _ = t.Now(d.now, d.set.Index)
			}
		}
	case fromLease:
		r.lease = r.c.lease.Take(d.terms[r.plan], d.now, r.units, !r.grant)
	}
}

// moveQueue places anew what is queued at a server that is no longer usable. All is taken out first: placing
// one request may release others.
func (d *Balancer) moveQueue(s *server) {
	var all []*request
	for l := range s.queue {
		for _, e := range s.queue[l] {
			if e.r != nil {
				all = append(all, e.r)
			}
		}
	}
	for _, r := range all {
		d.unqueue(r)
	}
	for _, r := range all {
		if !r.ended {
			d.place(r)
		}
	}
}

// detach takes a server out of use by hand.
func (d *Balancer) detach(ev AdminEject) {
	if _, ok := d.byHand[ev.Endpoint]; !ok {
		d.byHand[ev.Endpoint] = cmp.Or(ev.At, d.now)
		d.act(LogLine{"taken out by hand: " + ev.Endpoint})
	}
	if s := d.servers[ev.Endpoint]; s != nil {
		d.retire(s)
		d.members()
	}
}

// retire ends what new work goes to a server.
func (d *Balancer) retire(s *server) {
	if s.listed {
		s.listed = false
		d.moveQueue(s)
	}
}

// retireMissing takes servers that a whole list leaves out as gone.
func (d *Balancer) retireMissing(list []Endpoint) {
	named := map[string]bool{}
	for _, b := range list {
		named[b.Name] = true
	}
	for _, s := range d.ring {
		if !named[s.name] {
			s.inList = false
			d.retire(s)
		}
	}
}

// members finds which servers this door uses as a rule. One that is known keeps its place while the number of servers stays near
// what it was: a release that takes some out must not move the others' connections.
func (d *Balancer) members() {
	n := 0
	for _, s := range d.ring {
		if s.listed {
			n++
		}
	}
	if n > d.sized*5/4 || n < d.sized*3/4 || d.sized == 0 {
		d.sized = n
	}
	using := d.set.Gateways // few doors meet all servers often enough
	if using >= crowdFrom {
		using = subsetting.Doors(using, d.sized, memberOf)
	}
	d.users = using
	for _, s := range d.ring {
		s.member = subsetting.HasAmong(s.name, d.set.Index, d.set.Gateways, using, d.gone)
	}
}

// EndpointCounts tells how many backends the list has, and how many of them this door avoids now.
func (d *Balancer) EndpointCounts() (listed, avoided int) {
	for _, s := range d.ring {
		if s.inList {
			listed++
			if !s.usable() {
				avoided++
			}
		}
	}
	return listed, avoided
}

// prune forgets servers that are gone and owe no outcome.
func (d *Balancer) prune() {
	kept := d.ring[:0:0]
	for _, s := range d.ring {
		if s.inList || len(s.outs) > 0 {
			kept = append(kept, s)
		} else {
			delete(d.servers, s.name)
		}
	}
	d.ring = kept
}

func (d *Balancer) customer(ev Request) *customer {
	c, p := d.customers[ev.Customer], &d.set.Plans[ev.Plan]
	n := float64(cmp.Or(max(0, ev.Gateways), d.set.Gateways))
	if c == nil {
		c = &customer{name: ev.Customer, plan: ev.Plan, doors: n, spare: p.Burst / n, spareAt: d.now,
			demandAt: d.now, ceilAt: d.filledFrom(), store: p.Burst, storeAt: d.now}
		if d.many(c, p) {
			c.ceil = manyFirst
		}
		d.customers[c.name] = c
		d.order = append(d.order, c)
	}
	if c.plan != ev.Plan {
		c.lease = ceilinglease.Lease{} // another plan's windows
	}
	c.plan, c.doors = ev.Plan, n
	return c
}

// level is what the customer's store should hold now.
func (d *Balancer) level(c *customer, p *Plan) float64 {
	return min(p.Burst, c.store+p.Rate*(d.now-c.storeAt).Seconds())
}

// rateAdd keeps the mean rate of what a warm server carries, in mean requests: answers, as under overload more is sent.
func (d *Balancer) rateAdd(size float64) {
	n := 0.0
	for _, s := range d.ring {
		if s.usable() && !s.cold && s.member {
			n++
		}
	}
	gap := (d.now - d.rateAt).Seconds() / rateOver
	d.rate = d.rate*math.Exp(-gap) + size/(rateOver*max(1, n))
	d.rateAt = d.now
}

// refill is the time until the customer's store should hold the units.
func (d *Balancer) refill(c *customer, p *Plan, units float64) time.Duration {
	return time.Duration(max(0.01, (units-d.level(c, p))/max(p.Rate, 0.1)) * float64(time.Second))
}

// ceilingFills is the time in seconds until this door's share of the ceiling has room for a request that would
// join its customer's line.
func (d *Balancer) ceilingFills(r *request) float64 {
	p := &d.set.Plans[r.plan]
	if p.CeilingRate == 0 {
		return 0
	}
	if t := d.lent(r); t != nil {
		wait := r.c.lease.Opens(*t, d.now)
		if wait == 0 || d.quotaMay(r, p) {
			return 0
		}
		for _, o := range r.c.waiting {
			if !o.ended {
				wait += time.Duration(o.units / t.Rate * float64(time.Second))
			}
		}
		return wait.Seconds()
	}
	if d.many(r.c, p) && d.ledgerMay(r, p) {
		return 0
	}
	short := r.units - d.room(r, p)
	d.borrow(r.c, p, short > 0)
	if r.grant && r.c.kept >= r.units {
		return 0
	}
	for _, o := range r.c.waiting {
		if !o.ended {
			short += o.units
		}
	}
	rate := max(leastRate, d.share(r.c, p).Rate)
	if !r.grant {
		rate *= max(0.1, 1-r.c.leaves())
	}
	return max(0, short) / rate
}

// usable says whether new work may go to a server on the ordinary path.
func (s *server) usable() bool { return s.listed && !s.ejected }

// shut says that no server can be chosen since all that are listed are taken out by hand.
func (d *Balancer) shut() bool {
	some := false
	for _, s := range d.ring {
		if s.listed {
			return false
		}
		some = some || s.inList
	}
	return some
}

// done takes an attempt off its server.
func (s *server) done(a *attempt) {
	s.outs = slices.DeleteFunc(s.outs, func(o *attempt) bool { return o == a })
	if s.load -= a.r.size; len(s.outs) == 0 {
		s.load = 0
	}
}

// timer takes the request's own timer, the tick and the list's.
func (d *Balancer) timer(cookie uint64) {
	if cookie == 0 {
		d.beat()
	} else if cookie == 2 {
		d.listAsked = false
		d.act(WatchEndpoints{})
	} else if r := d.reqs[cookie>>1]; r != nil && r.granted {
		if d.now >= r.holdUntil {
			d.end(r)
		}
	} else if r != nil && !r.stream {
		d.refuse(r, 0, DeadlineExceeded)
	}
}

// warmth is the share of its capacity that a server has at least.
func (d *Balancer) warmth(s *server) float64 {
	if !s.cold || d.now-s.coldAt >= d.set.SlowStartDuration {
		s.cold, s.book = false, slowstart.Book{}
		return 1
	}
	return d.warmthAt(s, d.now)
}

// warmthAt is how warm a cold server was at a time.
func (d *Balancer) warmthAt(s *server, at time.Duration) float64 {
	return d.set.SlowStartCapacity + (1-d.set.SlowStartCapacity)*max(0, float64(at-s.coldAt))/float64(d.set.SlowStartDuration)
}

// coldTerms are what a cold server bears, and how many doors use each.
func (d *Balancer) coldTerms() slowstart.Terms {
	return slowstart.Terms{Multiple: d.set.OverloadMultiple, Window: d.set.OverloadWindow, Doors: float64(max(1, d.users))}
}

// What is kept of customers is bounded: a client may name as many as it likes, and each takes some 400 bytes.
const (
	mostCustomers = 16384           // known at once; for one more there is none that could be forgotten
	sweepTicks    = 500             // ticks in which all are looked at ...
	crowdTicks    = 50              // ... or, with half of the places taken, ...
	crowdForget   = 2 * time.Second // ... when those are forgotten too that have been idle for this and whose stores are full again
)

// forgetCustomers looks at some customers and forgets those that are idle.
func (d *Balancer) forgetCustomers() {
	full := len(d.order) > mostCustomers/2
	n := max(8, len(d.order)/sweepTicks)
	if full {
		n = len(d.order) / crowdTicks
	}
	for i := 0; i < n && len(d.order) > 0; i++ {
		d.sweep = (d.sweep + 1) % len(d.order)
		c := d.order[d.sweep]
		if c.asking || c.live > 0 || len(c.waiting) > 0 || d.now-c.usedAt <= d.keeps(c, full) {
			continue
		}
		delete(d.customers, c.name)
		d.order[d.sweep] = d.order[len(d.order)-1]
		d.order[len(d.order)-1] = nil
		d.order = d.order[:len(d.order)-1]
	}
}

// keeps is how long an idle customer is kept. One that is met again has full stores, so none is forgotten before they are.
func (d *Balancer) keeps(c *customer, soon bool) time.Duration {
	p := &d.set.Plans[c.plan]
	if !soon || d.many(c, p) {
		return forgetAfter
	}
	fills := max(crowdForget.Seconds(), d.fills.Seconds())
	if p.Rate > 0 {
		fills = max(fills, p.Burst/p.Rate)
	}
	if p.CeilingRate > 0 {
		fills = max(fills, p.CeilingBurst/p.CeilingRate)
	}
	return min(forgetAfter, time.Duration(fills*float64(time.Second)))
}

// noPlace refuses the request of a customer that is not known where no more can be.
func (d *Balancer) noPlace(ev Request) bool {
	if len(d.customers) < mostCustomers || d.customers[ev.Customer] != nil {
		return false
	}
	pause := time.Duration(0)
	if d.set.SendRetryAfter {
		pause = min(crowdForget, d.set.MaxRetryAfter)
	}
	d.act(Reject{ID: ev.ID, RetryAfter: pause, Reason: TooManyCustomers})
	return true
}

// verdict says how a request stands with its quota.
type verdict int

const (
	paid verdict = iota
	wait
	beyond
)
