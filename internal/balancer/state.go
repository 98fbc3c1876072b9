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

type endpoint struct {
	name                                    string
	zone, cell                              int
	weight, concurrencyLimit, latencyFactor float64
	slowStartShare                          float64 // of what it bears while cold
	inService                               bool    // in service, by the list and by hand
	listed                                  bool    // ... by the list
	overdue                                 bool    // back by hand and not used since
	inSubset                                bool    // this door uses it as a rule
	startedAt, warmUpFrom                   time.Duration
	warmingUp, ejected                      bool
	pausedUntil                             time.Duration
	nextProbeAt                             time.Duration
	probePause                              time.Duration
	probing                                 bool
	connectionFailures, timeouts            int           // broken connections in a row; time-outs since heard
	lastResponseAt                          time.Duration // last sign of life, or the moment it got work after having none
	inFlight                                []*attempt
	queue                                   [lowestLevel + 1][]*queueEntry
	levelCount                              [lowestLevel + 1]int
	queued                                  int
	slowStart                               slowstart.Book           // while it is cold
	inFlightWork                            float64                  // the work of outs, in mean requests
	levelWork                               [lowestLevel + 1]float64 // of what is queued, so too
	queuedWork                              float64                  // the sum of work
}

type queueEntry struct{ request *request }

type attempt struct {
	request         *request
	number          int
	endpoint        *endpoint
	sentAt          time.Duration
	probe           bool
	open            bool
	responseStarted bool // its answer has begun to come: the server has done its work
}

type request struct {
	id                    uint64
	class, plan           int
	maxAttempts           int // attempts, by the settings that it came under
	customer              *customer
	units, cost           float64       // of the quota; the work, in that of the mean request of its class
	arrivedAt, timeLimit  time.Duration // arrival; useful time left then
	level                 int
	withinQuota, inFlight bool          // paid by tokens; counted in customer.live
	paidByCounter         bool          // these tokens came from the counter
	ceilingReserved       bool          // holds units of the ceiling's share while queued
	ceilingSource         ceilingSource // where its units of the ceiling come from
	leaseWindow           int64         // with fromLease: the window that they were leased for; with fromShare: the turn, if there are turns
	leaseRequested        bool          // has called the counter for that
	queuePosition         *queueEntry   // place in a queue of on
	queuedOn              *endpoint
	attempts              []*attempt
	attemptsOut           int
	mayHaveRun, ended     bool
	firstRunAt            time.Duration
	firstRunOn            *endpoint
	streaming             bool
	clientRetry           bool // the client's repeat
	onCredit              bool // on credit: neither paid by the lease nor looked up
	counterCalled         bool // has called the counter
	counterCalledTwice    bool // ... and may not after another failure

	admitOnly, admitted bool // wants leave only; has got it
	holdFor, holdUntil  time.Duration
}

type customer struct {
	name                         string
	plan                         int
	gateways                     float64
	demand                       float64 // units a second here
	demandAt, lastUsedAt         time.Duration
	tokens                       float64       // leased
	tokensValidFrom              time.Duration // they may be spent from then on
	fallbackTokens               float64       // fallback share not yet spent
	fallbackAt                   time.Duration
	debt                         float64 // spent without a lease, to be added to the counter; below 0: to be given back
	debtWindow                   int64   // window of the counter's numbers that owed was last looked at in, where doors are many
	storeKnown, callPending      bool
	lastCallLost                 bool    // the last call for it had no answer
	peerDemand                   float64 // units a second that the other doors add
	leasedAt                     time.Duration
	storeLevel                   float64 // what the customer's store holds, by the counter
	storeLevelAt                 time.Duration
	ceilingTokens                float64
	ceilingAt                    time.Duration
	ceilingQueued                float64
	loans                        quotashare.Loans   // of the ceiling, with ByViews
	nextLoanRequestAt            time.Duration      // not asked for before this
	lastTurn                     int64              // the last turn used, where the share is under a unit
	ceilingLease                 ceilinglease.Lease // what of the ceiling is beyond the quota, where it is lent
	storeKnownAt                 time.Duration      // since when the counter's word on the store is known
	levelCallPending             bool               // asks what the store holds
	carriedWindow                int64              // the window of the store that was last looked at for what is carried into it ...
	carriedAt                    time.Duration      // ... and from when on it holds that
	seenWindow                   int64              // window in which the counter's number was last seen, and that
	seenTotal                    float64
	admitOnlyDemand, ceilingKept float64 // units a second of what wants leave only; of ceil, what is kept for that
	inFlight                     int
	waiting                      []*request
	admitOnlyWaiting             int           // of them, those that want leave only
	inWaitingList                bool          // in Balancer.waiters
	storeEmptyUntil              time.Duration // the store was seen empty: not asked before then
	callsPausedUntil             time.Duration // nor before then, as a call may yet be answered
}

// counterCall is a counter call that is out; with no block it only puts the number right.
type counterCall struct {
	customer            *customer
	block, amount, debt float64 // units asked for; what is added in all; of it, owed from before
	window              int64
	sentAt              time.Duration
	kind                callKind
	ticket              uint64  // of those whose block is given back after a late answer
	firstTotal          float64 // the total that says that this door is the first
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

// classEstimate is what a door has learned of one class.
type classEstimate struct {
	meanLatency float64           // mean latency, seconds
	idleLatency float64           // ... on an idle fleet
	answers     int               // that these are of
	costProfile costmodel.Profile // how the work grows with units
	maxTimeLeft time.Duration     // the most time that a client gave
}

// Balancer decides for one front door.
type Balancer struct {
	settings            Settings
	classes             []classEstimate      // of each class
	leaseTerms          []ceilinglease.Terms // by plan, on which its ceiling is lent; zero: it is not
	longestCeilingFill  time.Duration        // the longest that a ceiling that is lent takes to fill
	failedCalls         int                  // counter calls in a row
	leasingFrom         time.Duration        // ceilings are lent from then on
	rng                 *rand.Rand
	now, startedAt      time.Duration
	previousStepAt      time.Duration // the Step before
	running             bool
	actions             []Action
	endpoints           map[string]*endpoint
	endpointOrder       []*endpoint
	adminEjected        map[string]time.Duration // servers that are taken out by hand, since when
	shareLease          quotashare.View          // with ByViews: what this door has leased of all shares ...
	deadGateways        []int                    // ... and the ranks of doors that do not serve
	excluded            bool                     // ... and whether it has nothing at all, since when
	excludedChangedAt   time.Duration
	loansEndAt          time.Duration // the last loan given is over then
	loanRequestsSince   time.Duration // since when borrows are counted
	loanRequests        int
	handedOver          bool // another door has taken this one's place
	roundRobin          int
	gatewaysPerEndpoint int // doors that use each server
	subsetSizedFor      int // servers by which members were last found
	queuedRequests      int // requests in all queues
	requests            map[uint64]*request
	customers           map[string]*customer
	customerOrder       []*customer
	sweepIndex          int
	waitingCustomers    []*customer
	unplaced            []*request
	timedOutCalls       timedOutCalls
	callsOut            map[uint64][]*counterCall // counter calls out, by name in their order
	callFraction        float64                   // part of the requests without tokens that call the counter
	fleetSlowdown       float64                   // the last answers of all servers, in their classes' means
	fleetSlowdownAt     time.Duration
	lastCounterCallAt   time.Duration
	callFractionCutAt   time.Duration   // when callShare last shrank
	callPacer           *callpacer.Pace // to the counter, where doors are many
	tickedAt            time.Duration   // last check of what no event tells
	maxPriority         float64
	shortage            float64 // part of the requests inside their quotas that find no free place
	maxClassWeight      float64 // of the classes'
	warmEndpointRate    float64 // answers a second of a warm server
	warmEndpointRateAt  time.Duration
	endpointsUpdatedAt  time.Duration
	watchBackoff        time.Duration
	watchRetryPending   bool
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
	d := &Balancer{adminEjected: map[string]time.Duration{}, rng: rand.New(rand.NewPCG(seed, 1)), endpoints: map[string]*endpoint{},
		requests: map[uint64]*request{}, customers: map[string]*customer{}, callsOut: map[uint64][]*counterCall{}}
	d.excluded = set.LeasedShares // until it is told
	d.applySettings(set, nil)
	return d, nil
}

// applySettings takes settings, at the start or later. Evidence is kept by class and goes on as told.
func (d *Balancer) applySettings(set Settings, from []int) {
	d.settings, d.longestCeilingFill, d.maxClassWeight, d.maxPriority = set, 0, 0, 0
	d.leaseTerms = make([]ceilinglease.Terms, len(set.Plans))
	for i, p := range set.Plans {
		if set.LeaseCeilings && set.UseCounter && p.CeilingRate > 0 {
			d.leaseTerms[i], _ = ceilinglease.TermsOf(p.Rate, p.Burst, p.CeilingRate, p.CeilingBurst, 1)
			d.longestCeilingFill = max(d.longestCeilingFill, time.Duration(p.CeilingBurst/p.CeilingRate*float64(time.Second)))
		}
	}
	old := d.classes
	d.classes = make([]classEstimate, len(set.Classes))
	for i, c := range set.Classes {
		if i < len(from) && from[i] >= 0 && from[i] < len(old) {
			d.classes[i] = old[from[i]]
		} else {
			d.classes[i] = classEstimate{meanLatency: max(0.001, cmp.Or(c.LatencyObjective, c.ClientTimeout).Seconds()*initialLatencyFraction), costProfile: costmodel.New(set.MaxRequestUnits)}
		}
		if c.Removed {
			continue
		}
		d.maxClassWeight = max(d.maxClassWeight, c.PriorityWeight)
		for _, p := range set.Plans {
			d.maxPriority = max(d.maxPriority, c.PriorityWeight*p.PriorityFactor)
		}
	}
}

func (d *Balancer) enqueue(r *request, s *endpoint) {
	r.queuePosition, r.queuedOn = &queueEntry{r}, s
	q := s.queue[r.level]
	if len(r.attempts) > 0 { // a further attempt has waited already
		q = append([]*queueEntry{r.queuePosition}, q...)
	} else {
		q = append(q, r.queuePosition)
	}
	s.queue[r.level] = q
	s.levelCount[r.level]++
	s.levelWork[r.level] += r.cost
	s.queuedWork += r.cost
	s.queued++
	d.queuedRequests++
}

// dequeue takes a request out of its queue; the empty place is passed over later.
func (d *Balancer) dequeue(r *request) {
	if r.queuePosition == nil {
		return
	}
	r.queuePosition.request = nil
	r.queuedOn.levelWork[r.level] -= r.cost
	r.queuedOn.queuedWork -= r.cost
	if r.queuedOn.levelCount[r.level]--; r.queuedOn.levelCount[r.level] == 0 {
		r.queuedOn.queue[r.level] = nil // only empty places are left, and nobody may come to pick here
		r.queuedOn.levelWork[r.level] = 0
	}
	if r.queuedOn.queued--; r.queuedOn.queued == 0 {
		r.queuedOn.queuedWork = 0
	}
	d.queuedRequests--
	r.queuePosition, r.queuedOn = nil, nil
}

func (s *endpoint) head(l int) *request {
	q := s.queue[l]
	for q[0].request == nil {
		q = q[1:]
	}
	s.queue[l] = q
	return q[0].request
}

// callCounter adds an amount on the counter under the customer and the window.
func (d *Balancer) callCounter(c *customer, block, amount, owed float64) *counterCall {
	window := int64(d.now / counterWindow)
	name := counterName(c.name, window)
	k := &counterCall{customer: c, block: block, amount: amount, debt: owed, window: window, sentAt: d.now, ticket: d.timedOutCalls.nextTicket()}
	d.callsOut[name] = append(d.callsOut[name], k)
	d.callPacer.Take(d.now)
	d.emit(CounterAdd{name, amount, counterTTL, k.ticket})
	return k
}

// takeCall finds the call that an answer belongs to: those for one name come in the order of the calls.
func (d *Balancer) takeCall(name uint64) *counterCall {
	all := d.callsOut[name]
	if len(all) == 0 {
		return nil
	}
	if d.callsOut[name] = all[1:]; len(all) == 1 {
		delete(d.callsOut, name)
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
	d.actions = d.actions[:0]
	d.previousStepAt, d.now = d.now, max(d.now, now)
	if !d.running {
		d.running, d.startedAt, d.warmEndpointRateAt, d.roundRobin = true, d.now, d.now, d.rng.IntN(1<<16)
		d.callPacer = callpacer.New(callpacer.Terms{Start: callsStart / d.liveGateways(), Least: callsLow / d.liveGateways(),
			Most: callsHigh, Depth: callsDepth, Wait: d.settings.CounterTimeout / 4, CutEvery: 2 * d.settings.CounterTimeout}, d.now)
		d.start()
	}
	d.expireShareLease()
	for _, ev := range events {
		switch ev := ev.(type) {
		case Request:
			d.admit(ev)
		case AttemptResult:
			d.handleAttemptResult(ev)
		case CounterResult:
			d.handleCounterResult(ev)
		case LateCounterResult:
			d.handleLateCounterResult(ev)
		case TimerFired:
			d.handleTimer(ev.Cookie)
		case EndpointUpdate:
			d.handleEndpointUpdate(ev)
		case HealthCheckResult:
			d.handleHealthCheckResult(ev)
		case HealthReport:
			d.handleHealthReport(ev)
		case AdminEject:
			d.handleAdminEject(ev)
		case AdminRestore:
			d.handleAdminRestore(ev.Endpoint)
		case BeginHandover:
			d.handleBeginHandover()
		case ImportHandover:
			d.handleImportHandover(ev.State)
		case SettingsUpdate:
			d.refillAllShares() // by the plans as they were
			d.applySettings(ev.Settings, ev.EvidenceFrom)
		case ShareUpdate:
			d.handleShareUpdate(ev)
		case LoanRequest:
			d.handleLoanRequest(ev)
		case LoanGranted:
			d.handleLoanGranted(ev)
		case RequestDone:
			if r := d.requests[ev.ID]; r != nil {
				d.finish(r)
			}
		case FirstByte:
			d.handleFirstByte(ev)
		}
	}
	return d.actions
}

func (d *Balancer) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Balancer) forgetIfDone(r *request) {
	if r.ended && r.attemptsOut == 0 {
		delete(d.requests, r.id)
	}
}

// allowAnotherCall lets each request in a customer's line call the counter once more.
func (c *customer) allowAnotherCall() {
	for _, r := range c.waiting {
		r.counterCalled, r.counterCalledTwice = r.counterCalled && r.counterCalledTwice, true
	}
}

// popWaiting takes a request out of the head of its customer's line.
func (c *customer) popWaiting(r *request) {
	c.waiting[0] = nil
	c.waiting = c.waiting[1:]
	if r.admitOnly {
		c.admitOnlyWaiting--
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
	if c == nil || d.settings.Plans[c.plan].Rate <= 0 {
		return QuotaStatus{}, false
	}
	p := &d.settings.Plans[c.plan]
	left := c.fallbackTokens
	if c.storeKnown {
		left = d.currentStoreLevel(c, p) + c.tokens
	}
	left = min(p.Burst, max(0, left))
	return QuotaStatus{left, time.Duration((p.Burst - left) / p.Rate * float64(time.Second)), c.storeKnown}, true
}

// releaseCeiling gives back what a request holds while it is queued, which goes out now or never.
func (d *Balancer) releaseCeiling(r *request, out bool) {
	if !r.ceilingReserved {
		return
	}
	r.ceilingReserved = false
	switch {
	case r.ceilingSource == fromEvenShare:
		r.customer.ceilingQueued -= r.units
	case r.ceilingSource == fromLease && !out:
		r.customer.ceilingLease.Give(d.leaseTerms[r.plan], d.now, r.leaseWindow, r.units, !r.admitOnly)
	}
}

// reserveCeiling counts a request as open where its plan bounds that, and keeps units of the ceiling for it; release gives these back.
func (d *Balancer) reserveCeiling(r *request, from ceilingSource) {
	if d.settings.Plans[r.plan].MaxInFlight > 0 {
		r.inFlight = true
		r.customer.inFlight++
	}
	r.ceilingReserved, r.ceilingSource, r.leaseWindow = true, from, 0
	switch from {
	case fromEvenShare:
		r.customer.ceilingQueued += r.units
		if p := &d.settings.Plans[r.plan]; d.hasSparseShares(r.customer, p) {
			if t, ok := d.ceilingTurns(r.customer, p); ok {
				r.leaseWindow, _ = t.Now(d.now, d.settings.Index)
			}
		}
	case fromLease:
		r.leaseWindow = r.customer.ceilingLease.Take(d.leaseTerms[r.plan], d.now, r.units, !r.admitOnly)
	}
}

// reassignQueue places anew what is queued at a server that is no longer usable. All is taken out first: placing
// one request may release others.
func (d *Balancer) reassignQueue(s *endpoint) {
	var all []*request
	for l := range s.queue {
		for _, e := range s.queue[l] {
			if e.request != nil {
				all = append(all, e.request)
			}
		}
	}
	for _, r := range all {
		d.dequeue(r)
	}
	for _, r := range all {
		if !r.ended {
			d.assign(r)
		}
	}
}

// handleAdminEject takes a server out of use by hand.
func (d *Balancer) handleAdminEject(ev AdminEject) {
	if _, ok := d.adminEjected[ev.Endpoint]; !ok {
		d.adminEjected[ev.Endpoint] = cmp.Or(ev.At, d.now)
		d.emit(LogLine{"taken out by hand: " + ev.Endpoint})
	}
	if s := d.endpoints[ev.Endpoint]; s != nil {
		d.stopSending(s)
		d.updateSubset()
	}
}

// stopSending ends what new work goes to a server.
func (d *Balancer) stopSending(s *endpoint) {
	if s.inService {
		s.inService = false
		d.reassignQueue(s)
	}
}

// removeUnlisted takes servers that a whole list leaves out as gone.
func (d *Balancer) removeUnlisted(list []Endpoint) {
	named := map[string]bool{}
	for _, b := range list {
		named[b.Name] = true
	}
	for _, s := range d.endpointOrder {
		if !named[s.name] {
			s.listed = false
			d.stopSending(s)
		}
	}
}

// updateSubset finds which servers this door uses as a rule. One that is known keeps its place while the number of servers stays near
// what it was: a release that takes some out must not move the others' connections.
func (d *Balancer) updateSubset() {
	n := 0
	for _, s := range d.endpointOrder {
		if s.inService {
			n++
		}
	}
	if n > d.subsetSizedFor*5/4 || n < d.subsetSizedFor*3/4 || d.subsetSizedFor == 0 {
		d.subsetSizedFor = n
	}
	using := d.settings.Gateways // few doors meet all servers often enough
	if using >= crowdFrom {
		using = subsetting.Doors(using, d.subsetSizedFor, memberOf)
	}
	d.gatewaysPerEndpoint = using
	for _, s := range d.endpointOrder {
		s.inSubset = subsetting.HasAmong(s.name, d.settings.Index, d.settings.Gateways, using, d.deadGateways)
	}
}

// EndpointCounts tells how many backends the list has, and how many of them this door avoids now.
func (d *Balancer) EndpointCounts() (listed, avoided int) {
	for _, s := range d.endpointOrder {
		if s.listed {
			listed++
			if !s.isUsable() {
				avoided++
			}
		}
	}
	return listed, avoided
}

// removeGoneEndpoints forgets servers that are gone and owe no outcome.
func (d *Balancer) removeGoneEndpoints() {
	kept := d.endpointOrder[:0:0]
	for _, s := range d.endpointOrder {
		if s.listed || len(s.inFlight) > 0 {
			kept = append(kept, s)
		} else {
			delete(d.endpoints, s.name)
		}
	}
	d.endpointOrder = kept
}

func (d *Balancer) customerFor(ev Request) *customer {
	c, p := d.customers[ev.Customer], &d.settings.Plans[ev.Plan]
	n := float64(cmp.Or(max(0, ev.Gateways), d.settings.Gateways))
	if c == nil {
		c = &customer{name: ev.Customer, plan: ev.Plan, gateways: n, fallbackTokens: p.Burst / n, fallbackAt: d.now,
			demandAt: d.now, ceilingAt: d.storeFilledSince(), storeLevel: p.Burst, storeLevelAt: d.now}
		if d.hasSparseShares(c, p) {
			c.ceilingTokens = manyFirst
		}
		d.customers[c.name] = c
		d.customerOrder = append(d.customerOrder, c)
	}
	if c.plan != ev.Plan {
		c.ceilingLease = ceilinglease.Lease{} // another plan's windows
	}
	c.plan, c.gateways = ev.Plan, n
	return c
}

// currentStoreLevel is what the customer's store should hold now.
func (d *Balancer) currentStoreLevel(c *customer, p *Plan) float64 {
	return min(p.Burst, c.storeLevel+p.Rate*(d.now-c.storeLevelAt).Seconds())
}

// recordWarmRate keeps the mean rate of what a warm server carries, in mean requests: answers, as under overload more is sent.
func (d *Balancer) recordWarmRate(size float64) {
	n := 0.0
	for _, s := range d.endpointOrder {
		if s.isUsable() && !s.warmingUp && s.inSubset {
			n++
		}
	}
	gap := (d.now - d.warmEndpointRateAt).Seconds() / warmRateSeconds
	d.warmEndpointRate = d.warmEndpointRate*math.Exp(-gap) + size/(warmRateSeconds*max(1, n))
	d.warmEndpointRateAt = d.now
}

// refillTime is the time until the customer's store should hold the units.
func (d *Balancer) refillTime(c *customer, p *Plan, units float64) time.Duration {
	return time.Duration(max(0.01, (units-d.currentStoreLevel(c, p))/max(p.Rate, 0.1)) * float64(time.Second))
}

// ceilingWait is the time in seconds until this door's share of the ceiling has room for a request that would
// join its customer's line.
func (d *Balancer) ceilingWait(r *request) float64 {
	p := &d.settings.Plans[r.plan]
	if p.CeilingRate == 0 {
		return 0
	}
	if t := d.ceilingLeaseTerms(r); t != nil {
		wait := r.customer.ceilingLease.Opens(*t, d.now)
		if wait == 0 || d.quotaMayCover(r, p) {
			return 0
		}
		for _, o := range r.customer.waiting {
			if !o.ended {
				wait += time.Duration(o.units / t.Rate * float64(time.Second))
			}
		}
		return wait.Seconds()
	}
	if d.hasSparseShares(r.customer, p) && d.counterMayCover(r, p) {
		return 0
	}
	short := r.units - d.ceilingRoom(r, p)
	d.requestLoan(r.customer, p, short > 0)
	if r.admitOnly && r.customer.ceilingKept >= r.units {
		return 0
	}
	for _, o := range r.customer.waiting {
		if !o.ended {
			short += o.units
		}
	}
	rate := max(minCeilingRate, d.ceilingShare(r.customer, p).Rate)
	if !r.admitOnly {
		rate *= max(0.1, 1-r.customer.admitOnlyFraction())
	}
	return max(0, short) / rate
}

// isUsable says whether new work may go to a server on the ordinary path.
func (s *endpoint) isUsable() bool { return s.inService && !s.ejected }

// allAdminEjected says that no server can be chosen since all that are listed are taken out by hand.
func (d *Balancer) allAdminEjected() bool {
	some := false
	for _, s := range d.endpointOrder {
		if s.inService {
			return false
		}
		some = some || s.listed
	}
	return some
}

// completeAttempt takes an attempt off its server.
func (s *endpoint) completeAttempt(a *attempt) {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o *attempt) bool { return o == a })
	if s.inFlightWork -= a.request.cost; len(s.inFlight) == 0 {
		s.inFlightWork = 0
	}
}

// handleTimer takes the request's own timer, the tick and the list's.
func (d *Balancer) handleTimer(cookie uint64) {
	if cookie == 0 {
		d.tick()
	} else if cookie == 2 {
		d.watchRetryPending = false
		d.emit(WatchEndpoints{})
	} else if r := d.requests[cookie>>1]; r != nil && r.admitted {
		if d.now >= r.holdUntil {
			d.finish(r)
		}
	} else if r != nil && !r.streaming {
		d.reject(r, 0, DeadlineExceeded)
	}
}

// capacityFraction is the share of its capacity that a server has at least.
func (d *Balancer) capacityFraction(s *endpoint) float64 {
	if !s.warmingUp || d.now-s.warmUpFrom >= d.settings.SlowStartDuration {
		s.warmingUp, s.slowStart = false, slowstart.Book{}
		return 1
	}
	return d.capacityFractionAt(s, d.now)
}

// capacityFractionAt is how warm a cold server was at a time.
func (d *Balancer) capacityFractionAt(s *endpoint, at time.Duration) float64 {
	return d.settings.SlowStartCapacity + (1-d.settings.SlowStartCapacity)*max(0, float64(at-s.warmUpFrom))/float64(d.settings.SlowStartDuration)
}

// slowStartTerms are what a cold server bears, and how many doors use each.
func (d *Balancer) slowStartTerms() slowstart.Terms {
	return slowstart.Terms{Multiple: d.settings.OverloadMultiple, Window: d.settings.OverloadWindow, Doors: float64(max(1, d.gatewaysPerEndpoint))}
}

// What is kept of customers is bounded: a client may name as many as it likes, and each takes some 400 bytes.
const (
	maxCustomers = 16384           // known at once; for one more there is none that could be forgotten
	sweepTicks   = 500             // ticks in which all are looked at ...
	crowdTicks   = 50              // ... or, with half of the places taken, ...
	crowdForget  = 2 * time.Second // ... when those are forgotten too that have been idle for this and whose stores are full again
)

// sweepCustomers looks at some customers and forgets those that are idle.
func (d *Balancer) sweepCustomers() {
	full := len(d.customerOrder) > maxCustomers/2
	n := max(8, len(d.customerOrder)/sweepTicks)
	if full {
		n = len(d.customerOrder) / crowdTicks
	}
	for i := 0; i < n && len(d.customerOrder) > 0; i++ {
		d.sweepIndex = (d.sweepIndex + 1) % len(d.customerOrder)
		c := d.customerOrder[d.sweepIndex]
		if c.callPending || c.inFlight > 0 || len(c.waiting) > 0 || d.now-c.lastUsedAt <= d.retention(c, full) {
			continue
		}
		delete(d.customers, c.name)
		d.customerOrder[d.sweepIndex] = d.customerOrder[len(d.customerOrder)-1]
		d.customerOrder[len(d.customerOrder)-1] = nil
		d.customerOrder = d.customerOrder[:len(d.customerOrder)-1]
	}
}

// retention is how long an idle customer is kept. One that is met again has full stores, so none is forgotten before they are.
func (d *Balancer) retention(c *customer, soon bool) time.Duration {
	p := &d.settings.Plans[c.plan]
	if !soon || d.hasSparseShares(c, p) {
		return customerTTL
	}
	fills := max(crowdForget.Seconds(), d.longestCeilingFill.Seconds())
	if p.Rate > 0 {
		fills = max(fills, p.Burst/p.Rate)
	}
	if p.CeilingRate > 0 {
		fills = max(fills, p.CeilingBurst/p.CeilingRate)
	}
	return min(customerTTL, time.Duration(fills*float64(time.Second)))
}

// rejectIfTableFull refuses the request of a customer that is not known where no more can be.
func (d *Balancer) rejectIfTableFull(ev Request) bool {
	if len(d.customers) < maxCustomers || d.customers[ev.Customer] != nil {
		return false
	}
	pause := time.Duration(0)
	if d.settings.SendRetryAfter {
		pause = min(crowdForget, d.settings.MaxRetryAfter)
	}
	d.emit(Reject{ID: ev.ID, RetryAfter: pause, Reason: TooManyCustomers})
	return true
}

// quotaDecision says how a request stands with its quota.
type quotaDecision int

const (
	quotaCovered quotaDecision = iota
	quotaPending
	quotaExceeded
)
