package balancer

import (
	"cmp"
	"time"
)

// Limits of the table of customers.
const (
	// maxCustomers is the number of customers known at once. Requests of one more are rejected.
	maxCustomers = 16384
	// customerTTL is the time after which an idle customer is forgotten.
	customerTTL = 60 * time.Second
	// sweepTicks is the number of ticks in which the whole table is checked for idle customers.
	sweepTicks = 500
	// minSweep is the number of customers checked in a tick at least.
	minSweep = 8
	// fullTableSweepTicks takes the place of sweepTicks when over half of the table is in use.
	fullTableSweepTicks = 50
	// fullTableTTL is then the idle time after which a customer with full buckets is forgotten.
	fullTableTTL = 2 * time.Second
)

// customer is what this gateway knows of one customer.
type customer struct {
	name string
	// plan is the index of its plan in Settings.Plans.
	plan int
	// gateways is the number of gateways through which its requests come, 1 at least.
	gateways float64
	// lastUsedAt is when it last had a request here or was granted a part of its ceiling for a peer.
	lastUsedAt time.Duration
	demand     demandRate
	waiting    waitingRequests
	// inFlight counts its requests under way here, where its plan limits them.
	inFlight int
	quota    quotaState
	bucket   sharedBucket
	ceiling  ceilingState
}

// customerTable holds the customers that are known. The zero value is not ready; see newCustomerTable.
type customerTable struct {
	byName map[string]*customer
	// order lists the customers in the order in which they were met, but for those moved by remove.
	order []*customer
	// sweepIndex is the position in order that the sweep has reached.
	sweepIndex int
}

// newCustomerTable makes an empty table.
func newCustomerTable() customerTable {
	return customerTable{byName: map[string]*customer{}}
}

// find returns the customer of a name, or nil.
func (table *customerTable) find(name string) *customer { return table.byName[name] }

// isFull reports whether no further customer can be added.
func (table *customerTable) isFull() bool { return len(table.byName) >= maxCustomers }

// add puts a customer into the table.
func (table *customerTable) add(cust *customer) {
	table.byName[cust.name] = cust
	table.order = append(table.order, cust)
}

// removeSwept forgets the customer that the sweep has reached. The last one takes its position.
func (table *customerTable) removeSwept() {
	last := len(table.order) - 1
	delete(table.byName, table.order[table.sweepIndex].name)
	table.order[table.sweepIndex] = table.order[last]
	table.order[last] = nil
	table.order = table.order[:last]
}

// nextSwept moves the sweep on by one and returns the customer that it has reached.
func (table *customerTable) nextSwept() *customer {
	table.sweepIndex = (table.sweepIndex + 1) % len(table.order)
	return table.order[table.sweepIndex]
}

// customerFor returns the customer of a request, which it adds to the table when it is new.
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
		// These are of the former plan's ceiling. What was lent of it stays out until it ends.
		cust.ceiling.lease = nil
		cust.ceiling.loans.DropBorrowed()
	}
	cust.plan = ev.Plan
	cust.gateways = gateways
	return cust
}

// rejectIfTableFull rejects the request of an unknown customer when no further one can be added. It reports whether
// it did.
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

// sweepCustomers checks the next part of the table and forgets idle customers. It runs once a tick.
func (b *Balancer) sweepCustomers() {
	crowded := len(b.customers.order) > maxCustomers/2
	count := max(minSweep, len(b.customers.order)/sweepTicks)
	if crowded {
		count = len(b.customers.order) / fullTableSweepTicks
	}
	for i := 0; i < count && len(b.customers.order) > 0; i++ {
		cust := b.customers.nextSwept()
		if b.isInUse(cust) || b.now-cust.lastUsedAt <= b.customerRetention(cust, crowded) {
			continue
		}
		b.customers.removeSwept()
	}
}

// isInUse reports whether a customer has requests here or awaits tokens from the counter.
func (b *Balancer) isInUse(cust *customer) bool {
	return cust.quota.callPending || cust.inFlight > 0 || len(cust.waiting.requests) > 0
}

// customerRetention is how long an idle customer is kept. A customer that is met again starts with full buckets, so
// none is forgotten before its buckets are full.
func (b *Balancer) customerRetention(cust *customer, crowded bool) time.Duration {
	plan := &b.settings.Plans[cust.plan]
	if !crowded || b.hasSparseShares(cust, plan) {
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
