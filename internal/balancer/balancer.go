package balancer

import (
	"math/rand/v2"
	"time"

	"gapgap/internal/balancer/ceilinglease"
)

const (
	// tickInterval is the interval of the periodic checks.
	tickInterval = 20 * time.Millisecond
	// stallThreshold is the time between two steps from which this gateway counts as stalled.
	stallThreshold = 5 * tickInterval
	// roundRobinStartRange is the range of the random start position of the round robin.
	roundRobinStartRange = 1 << 16
)

// Timer cookies. Odd cookies belong to requests.
const (
	tickCookie       uint64 = 0
	watchRetryCookie uint64 = 2
)

// requestCookie returns the cookie of a request's timers.
func requestCookie(id uint64) uint64 { return id<<1 | 1 }

// requestIDFromCookie returns the ID of the request to which a timer cookie belongs.
func requestIDFromCookie(cookie uint64) uint64 { return cookie >> 1 }

// Balancer makes the decisions of one gateway. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	// actions holds the actions of the current Step.
	actions []Action

	// now is the time of the current Step and startedAt the time of the first one.
	now       time.Duration
	startedAt time.Duration
	// previousStepAt is the time of the previous Step.
	previousStepAt time.Duration
	// tickedAt is the time of the last tick.
	tickedAt time.Duration
	// running is set by the first Step.
	running bool
	// handedOver is set while another process has taken over from this one.
	handedOver bool

	// requests holds the requests that have no final answer or have attempts in flight, by ID.
	requests map[uint64]*request
	// unplaced holds requests for which no endpoint was available. The next tick tries again.
	unplaced []*request
	// shortage is the fraction of requests within their quota that find no free slot.
	shortage float64
	// maxClassWeight is the largest priority weight of a class, and maxPriorityWeight the largest product of a class's
	// priority weight and a plan's priority factor.
	maxClassWeight    float64
	maxPriorityWeight float64

	endpoints     endpointSet
	endpointWatch endpointWatch
	latency       latencyEstimator
	warmRate      warmRateEstimate

	customers customerTable
	// waitingCustomers holds the customers whose waiting requests the next tick serves.
	waitingCustomers []*customer

	// leaseTerms holds the terms of the ceiling leases by plan. The zero value means that the plan's ceiling is not
	// leased.
	leaseTerms []ceilinglease.Terms
	// longestCeilingFill is the longest time that a leased ceiling takes to fill.
	longestCeilingFill time.Duration
	// share is this gateway's share of the limits that all gateways have in common.
	share shareState
	// counter holds the calls to the shared counter.
	counter counterCalls
}

// New returns a Balancer without endpoints or customers. The seed initializes its random numbers. The error names the
// invalid setting; see Settings.Validate.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		endpoints: newEndpointSet(),
		rng:       rand.New(rand.NewPCG(seed, 1)),
		requests:  map[uint64]*request{},
		customers: newCustomerTable(),
		counter:   counterCalls{pending: map[uint64][]*counterCall{}},
	}
	b.share.excluded = settings.LeasedShares // until the first ShareUpdate
	b.applySettings(settings, nil)
	return b, nil
}

// Step processes the events up to time now in order and returns the actions to take in order. now must not go
// backwards; if it does, the latest time so far is used. The returned slice is valid until the next Step.
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

// start initializes the state that depends on the time of the first Step and requests the first timer and the endpoint
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

// handle passes an event to its handler.
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
	case ResponseBegun:
		b.handleResponseBegun(ev)
	case WriteDelayed:
		b.handleWriteDelayed(ev)
	case Written:
		b.handleWritten(ev)
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

// handleTimer handles an expired timer: the tick, the retry of the endpoint watch, or a request's timer.
func (b *Balancer) handleTimer(ev TimerFired) {
	switch ev.Cookie {
	case tickCookie:
		b.tick()
	case watchRetryCookie:
		b.retryWatch()
	default:
		if req := b.requests[requestIDFromCookie(ev.Cookie)]; req != nil {
			b.handleRequestTimer(req)
		}
	}
}

// setTickTimer requests the next tick.
func (b *Balancer) setTickTimer() {
	b.emit(SetTimer{At: b.now + tickInterval, Cookie: tickCookie})
}

// tick performs the periodic checks.
func (b *Balancer) tick() {
	b.setTickTimer()
	// After a stall, responses that arrived in the meantime have not been read yet, so missing responses are no
	// evidence of a failed endpoint.
	if b.now-b.tickedAt < stallThreshold {
		for _, ep := range b.endpoints.ordered {
			b.checkEndpointHealth(ep)
		}
	}
	b.tickedAt = b.now
	b.probeSilentCounter()
	b.assignUnplaced()
	b.dispatchAllQueued()
	b.serveWaitingCustomers()
	b.sweepCustomers()
	b.fetchIfStale()
}

// probeSilentCounter calls the counter while ceilings are not leased because the counter was silent. Without this call,
// gateways with few requests would stay on their even shares while the others lease again.
func (b *Balancer) probeSilentCounter() {
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

// serveWaitingCustomers serves the customers whose requests wait for their quota or ceiling.
func (b *Balancer) serveWaitingCustomers() {
	list := b.waitingCustomers
	b.waitingCustomers = nil
	for _, cust := range list {
		cust.waiting.listed = false
		b.serveWaiting(cust)
	}
}

// handleSettingsUpdate replaces the settings. Shares are first filled up to now under the previous plans.
func (b *Balancer) handleSettingsUpdate(ev SettingsUpdate) {
	b.refillAllShares()
	b.applySettings(ev.Settings, ev.EvidenceFrom)
}
