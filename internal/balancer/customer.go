package balancer

import (
	"cmp"
	"time"

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

type customer struct {
	name                 string
	plan                 int
	gateways             float64
	demand               float64 // units a second here
	demandAt, lastUsedAt time.Duration
	tokens               float64       // leased
	tokensValidFrom      time.Duration // they may be spent from then on
	fallbackTokens       float64       // fallback share not yet spent
	fallbackAt           time.Duration
	debt                 float64 // spent without a lease, to be added to the counter; below 0: to be given back
	// window of the counter's numbers that owed was last looked at in, where doors are many
	debtWindow              int64
	storeKnown, callPending bool
	lastCallLost            bool    // the last call for it had no answer
	peerDemand              float64 // units a second that the other doors add
	leasedAt                time.Duration
	storeLevel              float64 // what the customer's store holds, by the counter
	storeLevelAt            time.Duration
	ceilingTokens           float64
	ceilingAt               time.Duration
	ceilingQueued           float64
	loans                   quotashare.Loans   // of the ceiling, with ByViews
	nextLoanRequestAt       time.Duration      // not asked for before this
	lastTurn                int64              // the last turn used, where the share is under a unit
	ceilingLease            ceilinglease.Lease // what of the ceiling is beyond the quota, where it is lent
	storeKnownAt            time.Duration      // since when the counter's word on the store is known
	levelCallPending        bool               // asks what the store holds
	// the window of the store that was last looked at for what is carried into it ...
	carriedWindow                int64
	carriedAt                    time.Duration // ... and from when on it holds that
	seenWindow                   int64         // window in which the counter's number was last seen, and that
	seenTotal                    float64
	admitOnlyDemand, ceilingKept float64 // units a second of what wants leave only; of ceil, what is kept for that
	inFlight                     int
	waiting                      []*request
	admitOnlyWaiting             int           // of them, those that want leave only
	inWaitingList                bool          // in Balancer.waiters
	storeEmptyUntil              time.Duration // the store was seen empty: not asked before then
	callsPausedUntil             time.Duration // nor before then, as a call may yet be answered
}

func (b *Balancer) customerFor(ev Request) *customer {
	cust, plan := b.customers[ev.Customer], &b.settings.Plans[ev.Plan]
	n := float64(cmp.Or(max(0, ev.Gateways), b.settings.Gateways))
	if cust == nil {
		cust = &customer{
			name:           ev.Customer,
			plan:           ev.Plan,
			gateways:       n,
			fallbackTokens: plan.Burst / n,
			fallbackAt:     b.now,
			demandAt:       b.now,
			ceilingAt:      b.storeFilledSince(),
			storeLevel:     plan.Burst,
			storeLevelAt:   b.now,
		}
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
		if cust.callPending || cust.inFlight > 0 || len(cust.waiting) > 0 ||
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
	cust.waiting[0] = nil
	cust.waiting = cust.waiting[1:]
	if req.admitOnly {
		cust.admitOnlyWaiting--
	}
}

// admitOnlyFraction is the part of a customer's demand that asks for leave only.
func (cust *customer) admitOnlyFraction() float64 {
	if cust.admitOnlyDemand < minAdmitOnlyFraction*cust.demand {
		return 0
	}
	return min(1, cust.admitOnlyDemand/cust.demand)
}
