package balancer

import (
	"math/rand/v2"
	"time"

	"gapgap/internal/balancer/ceilinglease"
)

const (
	// tickInterval is the interval of the checks that no event triggers.
	tickInterval = 20 * time.Millisecond
	// stallThreshold is the time between two steps from which this gateway is taken to have stood still.
	stallThreshold = 5 * tickInterval
	// roundRobinStartRange is the range of the random start of the round robin.
	roundRobinStartRange = 1 << 16
)

// Timer cookies. Those of requests are odd.
const (
	tickCookie       uint64 = 0
	watchRetryCookie uint64 = 2
)

// requestCookie is the cookie of a request's timers.
func requestCookie(id uint64) uint64 { return id<<1 | 1 }

// requestOfCookie is the ID of the request that a timer cookie belongs to.
func requestOfCookie(cookie uint64) uint64 { return cookie >> 1 }

// Balancer decides for one gateway. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	// actions are those of the current Step.
	actions []Action

	// now is the time of the current Step, startedAt that of the first one.
	now       time.Duration
	startedAt time.Duration
	// previousStepAt is the time of the Step before.
	previousStepAt time.Duration
	// tickedAt is the time of the last tick.
	tickedAt time.Duration
	// running is set by the first Step.
	running bool
	// handedOver is set while another process has taken this one's place.
	handedOver bool

	// requests has the requests without a final answer or with attempts in flight, by ID.
	requests map[uint64]*request
	// unplaced are requests for which there was no endpoint; the next tick tries again.
	unplaced []*request
	// shortage is the part of the requests within their quota that find no free slot.
	shortage float64
	// maxClassWeight is the largest priority weight of a class, maxPriority that of a class and a plan together.
	maxClassWeight float64
	maxPriority    float64

	endpoints     endpointSet
	endpointWatch endpointWatch
	latency       latencyEstimator
	warmRate      warmRateEstimate

	customers customerTable
	// waitingCustomers are those with waiting requests that the next tick looks at.
	waitingCustomers []*customer

	// leaseTerms has the terms of the ceiling leases by plan; the zero value: its ceiling is not leased.
	leaseTerms []ceilinglease.Terms
	// longestCeilingFill is the longest time that a leased ceiling takes to fill.
	longestCeilingFill time.Duration
	// share is this gateway's part of what all gateways have in common.
	share shareState
	// counter holds the calls to the shared counter.
	counter counterCalls
}

// New returns a Balancer that knows nothing yet. The seed is for its random numbers. Its error tells which setting is
// not valid; see Settings.Validate.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		endpoints: newEndpointSet(),
		rng:       rand.New(rand.NewPCG(seed, 1)),
		requests:  map[uint64]*request{},
		customers: newCustomerTable(),
		counter:   counterCalls{out: map[uint64][]*counterCall{}},
	}
	b.share.excluded = settings.LeasedShares // until the first ShareUpdate
	b.applySettings(settings, nil)
	return b, nil
}

// Step handles what happened up to time now, in order, and returns what to do, in order. now must not go back; if it
// does, the last time counts. The returned slice is valid until the next Step.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.actions = b.actions[:0]
	b.previousStepAt = b.now
	b.now = max(b.now, now)
	if !b.running {
		b.start()
	}
	b.expireShareLease()
	for _, ev := range events {
		b.handle(ev)
	}
	return b.actions
}

// start sets the state that depends on the time of the first Step, and requests the first timer and the endpoint
// list.
func (b *Balancer) start() {
	b.running = true
	b.startedAt = b.now
	b.warmRate.restart(b.now, 0)
	b.endpoints.startRoundRobin(b.rng.IntN(roundRobinStartRange))
	b.counter.pacer = b.newCallPacer()
	b.latency.start()
	if b.settings.UseCounter {
		b.counter.callFraction = 1
	}
	b.setTickTimer()
	if b.settings.PollEndpoints {
		b.emit(WatchEndpoints{})
	}
}

// handle passes an event to the rule that it is for.
func (b *Balancer) handle(ev Event) {
	switch ev := ev.(type) {
	case Request:
		b.admit(ev)
	case RequestDone:
		b.handleRequestDone(ev)
	case AttemptResult:
		b.handleAttemptResult(ev)
	case FirstByte:
		b.handleFirstByte(ev)
	case CounterResult:
		b.handleCounterResult(ev)
	case LateCounterResult:
		b.handleLateCounterResult(ev)
	case TimerFired:
		b.handleTimer(ev)
	case EndpointUpdate:
		b.handleEndpointUpdate(ev)
	case HealthCheckResult:
		b.handleHealthCheckResult(ev)
	case HealthReport:
		b.handleHealthReport(ev)
	case AdminEject:
		b.handleAdminEject(ev)
	case AdminRestore:
		b.handleAdminRestore(ev)
	case SettingsUpdate:
		b.handleSettingsUpdate(ev)
	case ShareUpdate:
		b.handleShareUpdate(ev)
	case LoanRequest:
		b.handleLoanRequest(ev)
	case LoanGranted:
		b.handleLoanGranted(ev)
	case BeginHandover:
		b.handleBeginHandover()
	case ImportHandover:
		b.handleImportHandover(ev.State)
	}
}

// emit adds an action to those of the current Step.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// handleTimer handles a timer: the tick, the retry of the endpoint watch, or a request's.
func (b *Balancer) handleTimer(ev TimerFired) {
	switch ev.Cookie {
	case tickCookie:
		b.tick()
	case watchRetryCookie:
		b.retryWatch()
	default:
		if req := b.requests[requestOfCookie(ev.Cookie)]; req != nil {
			b.handleRequestTimer(req)
		}
	}
}

// setTickTimer requests the next tick.
func (b *Balancer) setTickTimer() {
	b.emit(SetTimer{At: b.now + tickInterval, Cookie: tickCookie})
}

// tick does the checks that no event triggers.
func (b *Balancer) tick() {
	b.setTickTimer()
	// After a stall, what came meanwhile is not read yet, so silence says nothing.
	if b.now-b.tickedAt < stallThreshold {
		for _, ep := range b.endpoints.ordered {
			b.checkEndpointHealth(ep)
		}
	}
	b.tickedAt = b.now
	b.testSilentCounter()
	b.assignUnplaced()
	b.dispatchAllQueued()
	b.serveWaitingCustomers()
	b.sweepCustomers()
	b.fetchIfStale()
}

// testSilentCounter calls the counter while no ceiling is leased because it was silent. Otherwise gateways with few
// requests would go by their even shares while the others lease again.
func (b *Balancer) testSilentCounter() {
	if b.now < b.counter.leasingFrom && b.canCallCounter() {
		b.counter.recordCall(b.now)
		b.probeCounter()
	}
}

// dispatchAllQueued dispatches queued requests to all endpoints that have free slots.
func (b *Balancer) dispatchAllQueued() {
	if b.endpoints.queuedRequests == 0 {
		return
	}
	for _, ep := range b.endpoints.ordered {
		b.dispatchQueued(ep)
	}
}

// serveWaitingCustomers serves the customers whose requests wait for quota or ceiling.
func (b *Balancer) serveWaitingCustomers() {
	list := b.waitingCustomers
	b.waitingCustomers = nil
	for _, cust := range list {
		cust.waiting.listed = false
		b.serveWaiting(cust)
	}
}

// handleSettingsUpdate replaces the settings. Shares fill up to now by the plans as they were.
func (b *Balancer) handleSettingsUpdate(ev SettingsUpdate) {
	b.refillAllShares()
	b.applySettings(ev.Settings, ev.EvidenceFrom)
}
