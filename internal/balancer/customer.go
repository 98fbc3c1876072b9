package balancer

import (
	"cmp"
	"time"

	"gapgap/internal/balancer/callpacer"
	"gapgap/internal/balancer/ceilinglease"
	"gapgap/internal/balancer/quotashare"
)

const (
	maxCustomers = 16384            // known at once; for one more there is none that could be forgotten
	customerTTL  = 60 * time.Second // an idle customer is forgotten
	sweepTicks   = 500              // ticks in which all are looked at ...
	crowdTicks   = 50               // ... or, with half of the places taken, ...
	// ... when those are forgotten too that have been idle for this and whose stores are full again
	crowdForget          = 2 * time.Second
	minAdmitOnlyFraction = 0.01 // part of the demand from which some of the ceiling is kept for leave
)

// customer is what this gateway knows of one customer.
type customer struct {
	name string
	// plan is the index of its plan in Settings.Plans.
	plan int
	// gateways is the number of gateways through which its requests come, 1 at least.
	gateways float64
	// lastUsedAt is when it last had a request here or lent a part of its ceiling.
	lastUsedAt time.Duration
	demand     demandRate
	waiting    waitingRequests
	// inFlight counts its requests under way here, where the plan limits them.
	inFlight int
	quota    quotaState
	bucket   sharedBucket
	ceiling  ceilingState
}

func (b *Balancer) customerFor(ev Request) *customer {
	cust, plan := b.customers[ev.Customer], &b.settings.Plans[ev.Plan]
	n := float64(cmp.Or(max(0, ev.Gateways), b.settings.Gateways))
	if cust == nil {
		cust = &customer{
			name:     ev.Customer,
			plan:     ev.Plan,
			gateways: n,
			demand:   demandRate{updatedAt: b.now},
			quota:    quotaState{fallbackTokens: plan.Burst / n, fallbackFilledAt: b.now},
			bucket:   sharedBucket{level: plan.Burst, levelAt: b.now},
			ceiling:  ceilingState{filledAt: b.storeFilledSince()},
		}
		if b.hasSparseShares(cust, plan) {
			cust.ceiling.tokens = manyFirst
		}
		b.customers[cust.name] = cust
		b.customerOrder = append(b.customerOrder, cust)
	}
	if cust.plan != ev.Plan {
		cust.ceiling.lease = ceilinglease.Lease{} // another plan's windows
	}
	cust.plan, cust.gateways = ev.Plan, n
	return cust
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
		if cust.quota.callPending || cust.inFlight > 0 || len(cust.waiting.requests) > 0 ||
			b.now-cust.lastUsedAt <= b.retention(cust, full) {
			continue
		}
		delete(b.customers, cust.name)
		b.customerOrder[b.sweepIndex] = b.customerOrder[len(b.customerOrder)-1]
		b.customerOrder[len(b.customerOrder)-1] = nil
		b.customerOrder = b.customerOrder[:len(b.customerOrder)-1]
	}
}

// retention is how long an idle customer is kept. One that is met again has full stores, so none is forgotten before
// they are.
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

// popWaiting takes a request out of the head of its customer's line.
func (cust *customer) popWaiting(req *request) {
	cust.waiting.requests[0] = nil
	cust.waiting.requests = cust.waiting.requests[1:]
	if req.admitOnly {
		cust.waiting.admitOnly--
	}
}

// admitOnlyFraction is the part of a customer's demand that asks for leave only.
func (cust *customer) admitOnlyFraction() float64 {
	if cust.demand.admitOnlyRate < minAdmitOnlyFraction*cust.demand.rate {
		return 0
	}
	return min(1, cust.demand.admitOnlyRate/cust.demand.rate)
}

type demandRate struct {
	rate          float64
	admitOnlyRate float64
	updatedAt     time.Duration
}

type waitingRequests struct {
	requests  []*request
	admitOnly int
	listed    bool
}

type quotaState struct {
	tokens           float64
	tokensValidFrom  time.Duration
	leasedAt         time.Duration
	fallbackTokens   float64
	fallbackFilledAt time.Duration
	debt             float64
	debtWindow       int64
	callPending      bool
	lastCallLost     bool
	callsPausedUntil time.Duration
}

type sharedBucket struct {
	known            bool
	knownAt          time.Duration
	level            float64
	levelAt          time.Duration
	peerDemand       float64
	seenWindow       int64
	seenTotal        float64
	carriedWindow    int64
	carriedAt        time.Duration
	levelCallPending bool
	emptyUntil       time.Duration
}

type ceilingState struct {
	tokens            float64
	filledAt          time.Duration
	reserved          float64
	admitOnlyTokens   float64
	loans             quotashare.Loans
	nextLoanRequestAt time.Duration
	lastTurn          int64
	lease             ceilinglease.Lease
}

type counterCalls struct {
	failuresInRow     int
	leasingFrom       time.Duration
	timedOut          timedOutCalls
	callsOut          map[uint64][]*counterCall
	callFraction      float64
	lastCallAt        time.Duration
	callFractionCutAt time.Duration
	pacer             *callpacer.Pace
}

type shareState struct {
	lease             quotashare.View
	deadGateways      []int
	excluded          bool
	excludedChangedAt time.Duration
	loansEndAt        time.Duration
	loanRequestsSince time.Duration
	loanRequests      int
}
