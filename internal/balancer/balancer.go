package balancer

import (
	"math/rand/v2"
	"time"

	"gapgap/internal/balancer/ceilinglease"
)

const (
	tickInterval   = 20 * time.Millisecond // pace of the checks that no event brings
	stallThreshold = 5 * tickInterval      // a check that comes so late says that this door stood still
)

// Balancer decides for one front door.
type Balancer struct {
	settings            Settings
	classes             []classEstimate      // of each class
	leaseTerms          []ceilinglease.Terms // by plan, on which its ceiling is lent; zero: it is not
	longestCeilingFill  time.Duration        // the longest that a ceiling that is lent takes to fill
	rng                 *rand.Rand
	now, startedAt      time.Duration
	previousStepAt      time.Duration // the Step before
	running             bool
	actions             []Action
	endpoints           map[string]*endpoint
	endpointOrder       []*endpoint
	adminEjected        map[string]time.Duration // servers that are taken out by hand, since when
	handedOver          bool                     // another door has taken this one's place
	roundRobin          int
	gatewaysPerEndpoint int // doors that use each server
	subsetSizedFor      int // servers by which members were last found
	queuedRequests      int // requests in all queues
	counter             counterCalls
	share               shareState
	requests            map[uint64]*request
	customers           customerTable
	waitingCustomers    []*customer
	unplaced            []*request
	fleetSlowdown       float64 // the last answers of all servers, in their classes' means
	fleetSlowdownAt     time.Duration
	tickedAt            time.Duration // last check of what no event tells
	maxPriority         float64
	shortage            float64 // part of the requests inside their quotas that find no free place
	maxClassWeight      float64 // of the classes'
	warmEndpointRate    float64 // answers a second of a warm server
	warmEndpointRateAt  time.Duration
	endpointsUpdatedAt  time.Duration
	watchBackoff        time.Duration
	watchRetryPending   bool
}

// New makes a door that knows nothing yet. The seed is for its random numbers.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		adminEjected: map[string]time.Duration{},
		rng:          rand.New(rand.NewPCG(seed, 1)),
		endpoints:    map[string]*endpoint{},
		requests:     map[uint64]*request{},
		customers:    newCustomerTable(),
		counter:      counterCalls{out: map[uint64][]*counterCall{}},
	}
	b.share.excluded = settings.LeasedShares // until it is told
	b.applySettings(settings, nil)
	return b, nil
}

// start sets what a door takes for granted before it has seen anything.
func (b *Balancer) start() {
	b.fleetSlowdown = 1
	if b.settings.UseCounter {
		b.counter.callFraction = 1
	}
	b.emit(SetTimer{b.now + tickInterval, 0})
	if b.settings.PollEndpoints {
		b.emit(WatchEndpoints{})
	}
}

// Step takes what happened at time now, in order, and returns what to do, in order. The slice is the caller's
// until the next Step.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.actions = b.actions[:0]
	b.previousStepAt, b.now = b.now, max(b.now, now)
	if !b.running {
		b.running, b.startedAt, b.warmEndpointRateAt, b.roundRobin = true, b.now, b.now, b.rng.IntN(1<<16)
		b.counter.pacer = b.newCallPacer()
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

// tick looks for what no event tells: silence, waiting customers, free slots.
func (b *Balancer) tick() {
	b.emit(SetTimer{b.now + tickInterval, 0})
	for _, ep := range b.endpointOrder {
		if b.now-b.tickedAt < stallThreshold { // else this door stood still, and what came meanwhile is not yet read
			b.checkSilence(ep)
		}
	}
	b.tickedAt = b.now
	if b.now < b.counter.leasingFrom && b.canCallCounter() { // else doors with few requests go by shares while others lend
		b.counter.lastCallAt = b.now
		b.probeCounter()
	}
	stuck := b.unplaced
	b.unplaced = nil
	for _, req := range stuck {
		if !req.ended {
			b.assign(req)
		}
	}
	if b.queuedRequests > 0 {
		for _, ep := range b.endpointOrder {
			b.dispatchQueued(ep)
		}
	}
	list := b.waitingCustomers
	b.waitingCustomers = nil
	for _, cust := range list {
		cust.waiting.listed = false
		b.serveWaiting(cust)
	}
	b.sweepCustomers()
	if b.settings.PollEndpoints && b.settings.PollInterval > 0 &&
		b.now-b.endpointsUpdatedAt > b.settings.PollInterval/2 {
		b.endpointsUpdatedAt = b.now
		b.emit(FetchEndpoints{})
	}
}
