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
func (settings *Settings) Validate() error {
	switch {
	case settings.Gateways < 1:
		return errors.New("snowhall: Doors is under 1")
	case len(settings.Classes) == 0:
		return errors.New("snowhall: Classes is empty")
	case len(settings.Plans) == 0:
		return errors.New("snowhall: Plans is empty")
	case settings.MaxAttempts < 1:
		return errors.New("snowhall: MaxAttempts is under 1")
	case settings.Resolution < 0 || settings.OverloadWindow < 0 || settings.SlowStartDuration < 0 || settings.PollInterval < 0:
		return errors.New("snowhall: Resolution, FallWindow, WarmWithin or AskEvery is negative")
	case settings.OverloadMultiple < 0 || settings.SlowStartCapacity < 0:
		return errors.New("snowhall: FallMultiple or ColdFrom is negative")
	}
	for i, c := range settings.Classes {
		if c.PriorityWeight < 0 || c.LatencyObjective < 0 || c.ClientTimeout < 0 || c.DedupWindow < 0 {
			return fmt.Errorf("snowhall: Classes[%d] has a negative value", i)
		}
		for j, plan := range settings.Plans {
			if plan.Rate < 0 || plan.Burst < 0 || plan.MaxInFlight < 0 || plan.CeilingRate < 0 || plan.CeilingBurst < 0 {
				return fmt.Errorf("snowhall: Plans[%d] has a negative value", j)
			}
		}
	}
	return nil
}

// New makes a door that knows nothing yet. The seed is for its random numbers.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{adminEjected: map[string]time.Duration{}, rng: rand.New(rand.NewPCG(seed, 1)), endpoints: map[string]*endpoint{},
		requests: map[uint64]*request{}, customers: map[string]*customer{}, callsOut: map[uint64][]*counterCall{}}
	b.excluded = settings.LeasedShares // until it is told
	b.applySettings(settings, nil)
	return b, nil
}

// applySettings takes settings, at the start or later. Evidence is kept by class and goes on as told.
func (b *Balancer) applySettings(settings Settings, from []int) {
	b.settings, b.longestCeilingFill, b.maxClassWeight, b.maxPriority = settings, 0, 0, 0
	b.leaseTerms = make([]ceilinglease.Terms, len(settings.Plans))
	for i, plan := range settings.Plans {
		if settings.LeaseCeilings && settings.UseCounter && plan.CeilingRate > 0 {
			b.leaseTerms[i], _ = ceilinglease.TermsOf(plan.Rate, plan.Burst, plan.CeilingRate, plan.CeilingBurst, 1)
			b.longestCeilingFill = max(b.longestCeilingFill, time.Duration(plan.CeilingBurst/plan.CeilingRate*float64(time.Second)))
		}
	}
	old := b.classes
	b.classes = make([]classEstimate, len(settings.Classes))
	for i, c := range settings.Classes {
		if i < len(from) && from[i] >= 0 && from[i] < len(old) {
			b.classes[i] = old[from[i]]
		} else {
			b.classes[i] = classEstimate{meanLatency: max(0.001, cmp.Or(c.LatencyObjective, c.ClientTimeout).Seconds()*initialLatencyFraction), costProfile: costmodel.New(settings.MaxRequestUnits)}
		}
		if c.Removed {
			continue
		}
		b.maxClassWeight = max(b.maxClassWeight, c.PriorityWeight)
		for _, plan := range settings.Plans {
			b.maxPriority = max(b.maxPriority, c.PriorityWeight*plan.PriorityFactor)
		}
	}
}

func (b *Balancer) enqueue(req *request, ep *endpoint) {
	req.queuePosition, req.queuedOn = &queueEntry{req}, ep
	q := ep.queue[req.level]
	if len(req.attempts) > 0 { // a further attempt has waited already
		q = append([]*queueEntry{req.queuePosition}, q...)
	} else {
		q = append(q, req.queuePosition)
	}
	ep.queue[req.level] = q
	ep.levelCount[req.level]++
	ep.levelWork[req.level] += req.cost
	ep.queuedWork += req.cost
	ep.queued++
	b.queuedRequests++
}

// dequeue takes a request out of its queue; the empty place is passed over later.
func (b *Balancer) dequeue(req *request) {
	if req.queuePosition == nil {
		return
	}
	req.queuePosition.request = nil
	req.queuedOn.levelWork[req.level] -= req.cost
	req.queuedOn.queuedWork -= req.cost
	if req.queuedOn.levelCount[req.level]--; req.queuedOn.levelCount[req.level] == 0 {
		req.queuedOn.queue[req.level] = nil // only empty places are left, and nobody may come to pick here
		req.queuedOn.levelWork[req.level] = 0
	}
	if req.queuedOn.queued--; req.queuedOn.queued == 0 {
		req.queuedOn.queuedWork = 0
	}
	b.queuedRequests--
	req.queuePosition, req.queuedOn = nil, nil
}

func (ep *endpoint) head(l int) *request {
	q := ep.queue[l]
	for q[0].request == nil {
		q = q[1:]
	}
	ep.queue[l] = q
	return q[0].request
}

// callCounter adds an amount on the counter under the customer and the window.
func (b *Balancer) callCounter(cust *customer, block, amount, owed float64) *counterCall {
	window := int64(b.now / counterWindow)
	name := counterName(cust.name, window)
	call := &counterCall{customer: cust, block: block, amount: amount, debt: owed, window: window, sentAt: b.now, ticket: b.timedOutCalls.nextTicket()}
	b.callsOut[name] = append(b.callsOut[name], call)
	b.callPacer.Take(b.now)
	b.emit(CounterAdd{name, amount, counterTTL, call.ticket})
	return call
}

// takeCall finds the call that an answer belongs to: those for one name come in the order of the calls.
func (b *Balancer) takeCall(name uint64) *counterCall {
	all := b.callsOut[name]
	if len(all) == 0 {
		return nil
	}
	if b.callsOut[name] = all[1:]; len(all) == 1 {
		delete(b.callsOut, name)
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
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.actions = b.actions[:0]
	b.previousStepAt, b.now = b.now, max(b.now, now)
	if !b.running {
		b.running, b.startedAt, b.warmEndpointRateAt, b.roundRobin = true, b.now, b.now, b.rng.IntN(1<<16)
		b.callPacer = callpacer.New(callpacer.Terms{Start: callsStart / b.liveGateways(), Least: callsLow / b.liveGateways(),
			Most: callsHigh, Depth: callsDepth, Wait: b.settings.CounterTimeout / 4, CutEvery: 2 * b.settings.CounterTimeout}, b.now)
		b.start()
	}
	b.expireShareLease()
	for _, ev := range events {
		switch ev := ev.(type) {
		case Request:
			b.admit(ev)
		case AttemptResult:
			b.handleAttemptResult(ev)
		case CounterResult:
			b.handleCounterResult(ev)
		case LateCounterResult:
			b.handleLateCounterResult(ev)
		case TimerFired:
			b.handleTimer(ev.Cookie)
		case EndpointUpdate:
			b.handleEndpointUpdate(ev)
		case HealthCheckResult:
			b.handleHealthCheckResult(ev)
		case HealthReport:
			b.handleHealthReport(ev)
		case AdminEject:
			b.handleAdminEject(ev)
		case AdminRestore:
			b.handleAdminRestore(ev.Endpoint)
		case BeginHandover:
			b.handleBeginHandover()
		case ImportHandover:
			b.handleImportHandover(ev.State)
		case SettingsUpdate:
			b.refillAllShares() // by the plans as they were
			b.applySettings(ev.Settings, ev.EvidenceFrom)
		case ShareUpdate:
			b.handleShareUpdate(ev)
		case LoanRequest:
			b.handleLoanRequest(ev)
		case LoanGranted:
			b.handleLoanGranted(ev)
		case RequestDone:
			if req := b.requests[ev.ID]; req != nil {
				b.finish(req)
			}
		case FirstByte:
			b.handleFirstByte(ev)
		}
	}
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) forgetIfDone(req *request) {
	if req.ended && req.attemptsOut == 0 {
		delete(b.requests, req.id)
	}
}

// allowAnotherCall lets each request in a customer's line call the counter once more.
func (cust *customer) allowAnotherCall() {
	for _, req := range cust.waiting {
		req.counterCalled, req.counterCalledTwice = req.counterCalled && req.counterCalledTwice, true
	}
}

// popWaiting takes a request out of the head of its customer's line.
func (cust *customer) popWaiting(req *request) {
	cust.waiting[0] = nil
	cust.waiting = cust.waiting[1:]
	if req.admitOnly {
		cust.admitOnlyWaiting--
	}
}

// QuotaStatus is how a customer stands with its quota, by what this door knows.
type QuotaStatus struct {
	Remaining float64       // units that its store holds now
	FullIn    time.Duration // until the store is full again if nothing is taken
	Known     bool          // the counter has told of the store; else only this door's share is
}

// QuotaStatus tells how a customer stands. The second result says whether the door knows the customer.
func (b *Balancer) QuotaStatus(name string) (QuotaStatus, bool) {
	cust := b.customers[name]
	if cust == nil || b.settings.Plans[cust.plan].Rate <= 0 {
		return QuotaStatus{}, false
	}
	plan := &b.settings.Plans[cust.plan]
	left := cust.fallbackTokens
	if cust.storeKnown {
		left = b.currentStoreLevel(cust, plan) + cust.tokens
	}
	left = min(plan.Burst, max(0, left))
	return QuotaStatus{left, time.Duration((plan.Burst - left) / plan.Rate * float64(time.Second)), cust.storeKnown}, true
}

// releaseCeiling gives back what a request holds while it is queued, which goes out now or never.
func (b *Balancer) releaseCeiling(req *request, out bool) {
	if !req.ceilingReserved {
		return
	}
	req.ceilingReserved = false
	switch {
	case req.ceilingSource == fromEvenShare:
		req.customer.ceilingQueued -= req.units
	case req.ceilingSource == fromLease && !out:
		req.customer.ceilingLease.Give(b.leaseTerms[req.plan], b.now, req.leaseWindow, req.units, !req.admitOnly)
	}
}

// reserveCeiling counts a request as open where its plan bounds that, and keeps units of the ceiling for it; release gives these back.
func (b *Balancer) reserveCeiling(req *request, from ceilingSource) {
	if b.settings.Plans[req.plan].MaxInFlight > 0 {
		req.inFlight = true
		req.customer.inFlight++
	}
	req.ceilingReserved, req.ceilingSource, req.leaseWindow = true, from, 0
	switch from {
	case fromEvenShare:
		req.customer.ceilingQueued += req.units
		if plan := &b.settings.Plans[req.plan]; b.hasSparseShares(req.customer, plan) {
			if t, ok := b.ceilingTurns(req.customer, plan); ok {
				req.leaseWindow, _ = t.Now(b.now, b.settings.Index)
			}
		}
	case fromLease:
		req.leaseWindow = req.customer.ceilingLease.Take(b.leaseTerms[req.plan], b.now, req.units, !req.admitOnly)
	}
}

// reassignQueue places anew what is queued at a server that is no longer usable. All is taken out first: placing
// one request may release others.
func (b *Balancer) reassignQueue(ep *endpoint) {
	var all []*request
	for l := range ep.queue {
		for _, e := range ep.queue[l] {
			if e.request != nil {
				all = append(all, e.request)
			}
		}
	}
	for _, req := range all {
		b.dequeue(req)
	}
	for _, req := range all {
		if !req.ended {
			b.assign(req)
		}
	}
}

// handleAdminEject takes a server out of use by hand.
func (b *Balancer) handleAdminEject(ev AdminEject) {
	if _, ok := b.adminEjected[ev.Endpoint]; !ok {
		b.adminEjected[ev.Endpoint] = cmp.Or(ev.At, b.now)
		b.emit(LogLine{"taken out by hand: " + ev.Endpoint})
	}
	if ep := b.endpoints[ev.Endpoint]; ep != nil {
		b.stopSending(ep)
		b.updateSubset()
	}
}

// stopSending ends what new work goes to a server.
func (b *Balancer) stopSending(ep *endpoint) {
	if ep.inService {
		ep.inService = false
		b.reassignQueue(ep)
	}
}

// removeUnlisted takes servers that a whole list leaves out as gone.
func (b *Balancer) removeUnlisted(list []Endpoint) {
	named := map[string]bool{}
	for _, entry := range list {
		named[entry.Name] = true
	}
	for _, ep := range b.endpointOrder {
		if !named[ep.name] {
			ep.listed = false
			b.stopSending(ep)
		}
	}
}

// updateSubset finds which servers this door uses as a rule. One that is known keeps its place while the number of servers stays near
// what it was: a release that takes some out must not move the others' connections.
func (b *Balancer) updateSubset() {
	n := 0
	for _, ep := range b.endpointOrder {
		if ep.inService {
			n++
		}
	}
	if n > b.subsetSizedFor*5/4 || n < b.subsetSizedFor*3/4 || b.subsetSizedFor == 0 {
		b.subsetSizedFor = n
	}
	using := b.settings.Gateways // few doors meet all servers often enough
	if using >= crowdFrom {
		using = subsetting.Doors(using, b.subsetSizedFor, memberOf)
	}
	b.gatewaysPerEndpoint = using
	for _, ep := range b.endpointOrder {
		ep.inSubset = subsetting.HasAmong(ep.name, b.settings.Index, b.settings.Gateways, using, b.deadGateways)
	}
}

// EndpointCounts tells how many backends the list has, and how many of them this door avoids now.
func (b *Balancer) EndpointCounts() (listed, avoided int) {
	for _, ep := range b.endpointOrder {
		if ep.listed {
			listed++
			if !ep.isUsable() {
				avoided++
			}
		}
	}
	return listed, avoided
}

// removeGoneEndpoints forgets servers that are gone and owe no outcome.
func (b *Balancer) removeGoneEndpoints() {
	kept := b.endpointOrder[:0:0]
	for _, ep := range b.endpointOrder {
		if ep.listed || len(ep.inFlight) > 0 {
			kept = append(kept, ep)
		} else {
			delete(b.endpoints, ep.name)
		}
	}
	b.endpointOrder = kept
}

func (b *Balancer) customerFor(ev Request) *customer {
	cust, plan := b.customers[ev.Customer], &b.settings.Plans[ev.Plan]
	n := float64(cmp.Or(max(0, ev.Gateways), b.settings.Gateways))
	if cust == nil {
		cust = &customer{name: ev.Customer, plan: ev.Plan, gateways: n, fallbackTokens: plan.Burst / n, fallbackAt: b.now,
			demandAt: b.now, ceilingAt: b.storeFilledSince(), storeLevel: plan.Burst, storeLevelAt: b.now}
		if b.hasSparseShares(cust, plan) {
			cust.ceilingTokens = manyFirst
		}
		b.customers[cust.name] = cust
		b.customerOrder = append(b.customerOrder, cust)
	}
	if cust.plan != ev.Plan {
		cust.ceilingLease = ceilinglease.Lease{} // another plan's windows
	}
	cust.plan, cust.gateways = ev.Plan, n
	return cust
}

// currentStoreLevel is what the customer's store should hold now.
func (b *Balancer) currentStoreLevel(cust *customer, plan *Plan) float64 {
	return min(plan.Burst, cust.storeLevel+plan.Rate*(b.now-cust.storeLevelAt).Seconds())
}

// recordWarmRate keeps the mean rate of what a warm server carries, in mean requests: answers, as under overload more is sent.
func (b *Balancer) recordWarmRate(size float64) {
	n := 0.0
	for _, ep := range b.endpointOrder {
		if ep.isUsable() && !ep.warmingUp && ep.inSubset {
			n++
		}
	}
	gap := (b.now - b.warmEndpointRateAt).Seconds() / warmRateSeconds
	b.warmEndpointRate = b.warmEndpointRate*math.Exp(-gap) + size/(warmRateSeconds*max(1, n))
	b.warmEndpointRateAt = b.now
}

// refillTime is the time until the customer's store should hold the units.
func (b *Balancer) refillTime(cust *customer, plan *Plan, units float64) time.Duration {
	return time.Duration(max(0.01, (units-b.currentStoreLevel(cust, plan))/max(plan.Rate, 0.1)) * float64(time.Second))
}

// ceilingWait is the time in seconds until this door's share of the ceiling has room for a request that would
// join its customer's line.
func (b *Balancer) ceilingWait(req *request) float64 {
	plan := &b.settings.Plans[req.plan]
	if plan.CeilingRate == 0 {
		return 0
	}
	if t := b.ceilingLeaseTerms(req); t != nil {
		wait := req.customer.ceilingLease.Opens(*t, b.now)
		if wait == 0 || b.quotaMayCover(req, plan) {
			return 0
		}
		for _, o := range req.customer.waiting {
			if !o.ended {
				wait += time.Duration(o.units / t.Rate * float64(time.Second))
			}
		}
		return wait.Seconds()
	}
	if b.hasSparseShares(req.customer, plan) && b.counterMayCover(req, plan) {
		return 0
	}
	short := req.units - b.ceilingRoom(req, plan)
	b.requestLoan(req.customer, plan, short > 0)
	if req.admitOnly && req.customer.ceilingKept >= req.units {
		return 0
	}
	for _, o := range req.customer.waiting {
		if !o.ended {
			short += o.units
		}
	}
	rate := max(minCeilingRate, b.ceilingShare(req.customer, plan).Rate)
	if !req.admitOnly {
		rate *= max(0.1, 1-req.customer.admitOnlyFraction())
	}
	return max(0, short) / rate
}

// isUsable says whether new work may go to a server on the ordinary path.
func (ep *endpoint) isUsable() bool { return ep.inService && !ep.ejected }

// allAdminEjected says that no server can be chosen since all that are listed are taken out by hand.
func (b *Balancer) allAdminEjected() bool {
	some := false
	for _, ep := range b.endpointOrder {
		if ep.inService {
			return false
		}
		some = some || ep.listed
	}
	return some
}

// completeAttempt takes an attempt off its server.
func (ep *endpoint) completeAttempt(a *attempt) {
	ep.inFlight = slices.DeleteFunc(ep.inFlight, func(o *attempt) bool { return o == a })
	if ep.inFlightWork -= a.request.cost; len(ep.inFlight) == 0 {
		ep.inFlightWork = 0
	}
}

// handleTimer takes the request's own timer, the tick and the list's.
func (b *Balancer) handleTimer(cookie uint64) {
	if cookie == 0 {
		b.tick()
	} else if cookie == 2 {
		b.watchRetryPending = false
		b.emit(WatchEndpoints{})
	} else if req := b.requests[cookie>>1]; req != nil && req.admitted {
		if b.now >= req.holdUntil {
			b.finish(req)
		}
	} else if req != nil && !req.streaming {
		b.reject(req, 0, DeadlineExceeded)
	}
}

// capacityFraction is the share of its capacity that a server has at least.
func (b *Balancer) capacityFraction(ep *endpoint) float64 {
	if !ep.warmingUp || b.now-ep.warmUpFrom >= b.settings.SlowStartDuration {
		ep.warmingUp, ep.slowStart = false, slowstart.Book{}
		return 1
	}
	return b.capacityFractionAt(ep, b.now)
}

// capacityFractionAt is how warm a cold server was at a time.
func (b *Balancer) capacityFractionAt(ep *endpoint, at time.Duration) float64 {
	return b.settings.SlowStartCapacity + (1-b.settings.SlowStartCapacity)*max(0, float64(at-ep.warmUpFrom))/float64(b.settings.SlowStartDuration)
}

// slowStartTerms are what a cold server bears, and how many doors use each.
func (b *Balancer) slowStartTerms() slowstart.Terms {
	return slowstart.Terms{Multiple: b.settings.OverloadMultiple, Window: b.settings.OverloadWindow, Doors: float64(max(1, b.gatewaysPerEndpoint))}
}

// What is kept of customers is bounded: a client may name as many as it likes, and each takes some 400 bytes.
const (
	maxCustomers = 16384           // known at once; for one more there is none that could be forgotten
	sweepTicks   = 500             // ticks in which all are looked at ...
	crowdTicks   = 50              // ... or, with half of the places taken, ...
	crowdForget  = 2 * time.Second // ... when those are forgotten too that have been idle for this and whose stores are full again
)

// sweepCustomers looks at some customers and forgets those that are idle.
func (b *Balancer) sweepCustomers() {
	full := len(b.customerOrder) > maxCustomers/2
	n := max(8, len(b.customerOrder)/sweepTicks)
	if full {
		n = len(b.customerOrder) / crowdTicks
	}
	for i := 0; i < n && len(b.customerOrder) > 0; i++ {
		b.sweepIndex = (b.sweepIndex + 1) % len(b.customerOrder)
		cust := b.customerOrder[b.sweepIndex]
		if cust.callPending || cust.inFlight > 0 || len(cust.waiting) > 0 || b.now-cust.lastUsedAt <= b.retention(cust, full) {
			continue
		}
		delete(b.customers, cust.name)
		b.customerOrder[b.sweepIndex] = b.customerOrder[len(b.customerOrder)-1]
		b.customerOrder[len(b.customerOrder)-1] = nil
		b.customerOrder = b.customerOrder[:len(b.customerOrder)-1]
	}
}

// retention is how long an idle customer is kept. One that is met again has full stores, so none is forgotten before they are.
func (b *Balancer) retention(cust *customer, soon bool) time.Duration {
	plan := &b.settings.Plans[cust.plan]
	if !soon || b.hasSparseShares(cust, plan) {
		return customerTTL
	}
	fills := max(crowdForget.Seconds(), b.longestCeilingFill.Seconds())
	if plan.Rate > 0 {
		fills = max(fills, plan.Burst/plan.Rate)
	}
	if plan.CeilingRate > 0 {
		fills = max(fills, plan.CeilingBurst/plan.CeilingRate)
	}
	return min(customerTTL, time.Duration(fills*float64(time.Second)))
}

// rejectIfTableFull refuses the request of a customer that is not known where no more can be.
func (b *Balancer) rejectIfTableFull(ev Request) bool {
	if len(b.customers) < maxCustomers || b.customers[ev.Customer] != nil {
		return false
	}
	pause := time.Duration(0)
	if b.settings.SendRetryAfter {
		pause = min(crowdForget, b.settings.MaxRetryAfter)
	}
	b.emit(Reject{ID: ev.ID, RetryAfter: pause, Reason: TooManyCustomers})
	return true
}

// quotaDecision says how a request stands with its quota.
type quotaDecision int

const (
	quotaCovered quotaDecision = iota
	quotaPending
	quotaExceeded
)
