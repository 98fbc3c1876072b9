package balancer

import (
	"cmp"
	"time"
)

// Limits of the customer table.
const (
	// maxCustomers is the maximum number of customers known at once. Requests of further customers are rejected.
	maxCustomers = 16384
	// customerTTL is the time after which an idle customer is removed.
	customerTTL = 60 * time.Second
	// sweepTicks is the number of ticks in which the whole table is checked for idle customers.
	sweepTicks = 500
	// minSweep is the minimum number of customers checked per tick.
	minSweep = 8
	// fullTableSweepTicks replaces sweepTicks when over half of the table is in use.
	fullTableSweepTicks = 50
	// fullTableTTL is the idle time after which a customer with full buckets is then removed.
	fullTableTTL = 2 * time.Second
)

// customer is the state that this gateway keeps for one customer.
type customer struct {
	name string
	// plan is the index of the customer's plan in Settings.Plans.
	plan int
	// gateways is the number of gateways that receive the customer's requests, at least 1.
	gateways float64
	// lastUsedAt is when the customer last had a request here, or a part of its ceiling was last lent to a peer.
	lastUsedAt time.Duration
	demand     demandRate
	waiting    waitingRequests
	// inFlight is the number of its requests in flight at this gateway, counted if its plan limits them.
	inFlight int
	quota    quotaState
	bucket   sharedBucket
	ceiling  ceilingState
}

// customerTable holds all known customers. The zero value is not usable; see newCustomerTable.
type customerTable struct {
	byName map[string]*customer
	// order lists the customers in the order in which they were added, except for those moved by removeSwept.
	order []*customer
	// sweepIndex is the current position of the sweep in order.
	sweepIndex int
}

// newCustomerTable returns an empty table.
func newCustomerTable() customerTable {
	return customerTable{byName: map[string]*customer{}}
}

// find returns the customer with the given name, or nil.
func (table *customerTable) find(name string) *customer { return table.byName[name] }

// isFull reports whether no further customer can be added.
func (table *customerTable) isFull() bool { return len(table.byName) >= maxCustomers }

// add adds a customer to the table.
func (table *customerTable) add(cust *customer) {
	table.byName[cust.name] = cust
	table.order = append(table.order, cust)
}

// removeSwept removes the customer at the sweep position and moves the last one into its place.
func (table *customerTable) removeSwept() {
	last := len(table.order) - 1
	delete(table.byName, table.order[table.sweepIndex].name)
	table.order[table.sweepIndex] = table.order[last]
	table.order[last] = nil
	table.order = table.order[:last]
}

// nextSwept advances the sweep by one and returns the customer at the new position.
func (table *customerTable) nextSwept() *customer {
	table.sweepIndex = (table.sweepIndex + 1) % len(table.order)
	return table.order[table.sweepIndex]
}

// customerFor returns the customer of a request, and adds it to the table if it is new.
func (b *Balancer) customerFor(ev Request) *customer {
	cust := b.customers.find(ev.Customer)
	plan := &b.settings.Plans[ev.Plan]
	gateways := float64(cmp.Or(max(0, ev.Gateways), b.settings.Gateways))
	if cust == nil {
		cust = &customer{
			name:     ev.Customer,
			plan:     ev.Plan,
			gateways: gateways,
			demand:   demandRate{updatedAt: b.now},
			quota:    quotaState{fallbackTokens: plan.Burst / gateways, fallbackFilledAt: b.now},
			bucket:   sharedBucket{level: plan.Burst, levelAt: b.now},
			ceiling:  ceilingState{filledAt: b.sharesFilledSince()},
		}
		if b.hasSparseShares(cust, plan) {
			cust.ceiling.tokens = sparseInitialTokens
		}
		b.customers.add(cust)
	}
	if cust.plan != ev.Plan {
		// The lease and the borrowed loans belong to the former plan's ceiling. Loans to peers remain until they
		// expire.
		cust.ceiling.lease = nil
		cust.ceiling.loans.DropBorrowed()
	}
	cust.plan = ev.Plan
	cust.gateways = gateways
	return cust
}

// rejectIfTableFull rejects the request of an unknown customer if the table is full. It reports whether it did.
func (b *Balancer) rejectIfTableFull(ev Request) bool {
	if !b.customers.isFull() || b.customers.find(ev.Customer) != nil {
		return false
	}
	retryAfter := time.Duration(0)
	if b.settings.SendRetryAfter {
		retryAfter = min(fullTableTTL, b.settings.MaxRetryAfter)
	}
	b.emit(Reject{ID: ev.ID, RetryAfter: retryAfter, Reason: TooManyCustomers})
	return true
}

// sweepCustomers checks the next part of the table and removes idle customers. It runs once per tick.
func (b *Balancer) sweepCustomers() {
	overHalfFull := len(b.customers.order) > maxCustomers/2
	count := max(minSweep, len(b.customers.order)/sweepTicks)
	if overHalfFull {
		count = len(b.customers.order) / fullTableSweepTicks
	}
	for i := 0; i < count && len(b.customers.order) > 0; i++ {
		cust := b.customers.nextSwept()
		if b.isInUse(cust) || b.now-cust.lastUsedAt <= b.customerRetention(cust, overHalfFull) {
			continue
		}
		b.customers.removeSwept()
	}
}

// isInUse reports whether a customer has requests here or is waiting for tokens from the counter.
func (b *Balancer) isInUse(cust *customer) bool {
	return cust.quota.callPending || cust.inFlight > 0 || cust.ceiling.reserved > 0 || len(cust.waiting.requests) > 0
}

// customerRetention returns how long an idle customer is kept. A customer that returns after removal starts with full
// buckets, so none is removed before its buckets are full.
func (b *Balancer) customerRetention(cust *customer, overHalfFull bool) time.Duration {
	plan := &b.settings.Plans[cust.plan]
	if !overHalfFull || b.hasSparseShares(cust, plan) {
		return customerTTL
	}
	seconds := max(fullTableTTL.Seconds(), b.longestCeilingFill.Seconds())
	if plan.Rate > 0 {
		seconds = max(seconds, plan.Burst/plan.Rate)
	}
	if plan.CeilingRate > 0 {
		seconds = max(seconds, plan.CeilingBurst/plan.CeilingRate)
	}
	return min(customerTTL, time.Duration(seconds*float64(time.Second)))
}
