package balancer

import "time"

// Parameters for correcting the counter's total when it implies a higher level than the bucket can have.
const (
	// surplusTolerance is how far, in bursts, a level may exceed the expected level before it is corrected.
	surplusTolerance = 0.5
	// leasedSurplusTolerance replaces surplusTolerance where a leased ceiling relies on the bucket.
	leasedSurplusTolerance = 0.1
	// correctionLockInterval is the period in which only one gateway may correct a bucket.
	correctionLockInterval = time.Second
	// correctionLockOverlap is the time after the start of such an interval, in counter timeouts, during which a
	// gateway also checks that no peer holds the lock of the previous interval.
	correctionLockOverlap = 3
	// doubleCorrectionFraction is the additional growth of the total, as a fraction of a correction, that shows that a
	// peer has made the same correction.
	doubleCorrectionFraction = 0.75
	// maxRecentLevelAge is the age up to which a known bucket level is recent enough for low local demand to mean that
	// the customer's demand as a whole is low.
	maxRecentLevelAge = 4 * time.Second
)

// surplus describes a counter result that implies a higher bucket level than is possible.
type surplus struct {
	call *counterCall
	// level is the level implied by the result and expected the highest plausible level, both in units.
	level    float64
	expected float64
	// total is the total that the counter returned.
	total float64
}

// bucketCorrection is the correction that a call applies (surplusCall), or for which it requests the lock
// (correctionLockCall, previousLockCall).
type bucketCorrection struct {
	// surplus is the number of units to add to the bucket's total.
	surplus float64
	// totalBefore is the bucket's total before the correction.
	totalBefore float64
}

// correctionPlan is how a gateway handles a surplus of a bucket on which a leased ceiling relies.
type correctionPlan int

const (
	// correctToExpected removes the whole surplus at once.
	correctToExpected correctionPlan = iota
	// correctToBurst removes what exceeds the burst at once, and carries the bucket's deficit into the window.
	correctToBurst
	// deferCorrection uses the expected level and makes no call.
	deferCorrection
	// correctUnderLock requests the correction lock, and uses the lowest possible level in the meantime.
	correctUnderLock
	// carryIntoWindow carries the bucket's deficit into the window, and uses the lowest possible level in the meantime.
	carryIntoWindow
)

// correctBucket corrects the total of a bucket that has a surplus, and returns the level that this gateway uses. Where
// no leased ceiling relies on the bucket, the correction is made at once.
func (b *Balancer) correctBucket(found *surplus) float64 {
	call, cust := found.call, found.call.customer
	if !call.terms.ceilingLeased {
		b.callCounter(cust, call.terms, 0, found.level-found.expected)
		return found.expected
	}
	leastLevel := b.leastSurplusLevel(found)
	switch b.planCorrection(found) {
	case correctToExpected:
		b.addSurplus(call, found.level-found.expected, found.total)
	case correctToBurst:
		b.addSurplus(call, found.level-call.terms.plan.Burst, found.total)
		b.syncBucket(cust) // carries the deficit of the previous window
	case correctUnderLock:
		b.callCorrectionLock(call, found.level-leastLevel, found.total)
		return leastLevel
	case carryIntoWindow:
		b.syncBucket(cust)
		return leastLevel
	case deferCorrection:
	}
	return found.expected
}

// planCorrection chooses how to correct a surplus of a bucket on which a leased ceiling relies. All gateways may see
// the surplus within one round trip, but only one of them may correct it.
func (b *Balancer) planCorrection(found *surplus) correctionPlan {
	call, cust := found.call, found.call.customer
	burst := call.terms.plan.Burst
	newWindow := cust.bucket.seenWindow != call.window
	lowDemand := cust.isDemandBelowRate(call.terms.plan)
	seenRecently := cust.bucket.known && b.now-cust.bucket.levelAt < maxRecentLevelAge && call.kind != bucketLevelCall
	onlyUser := b.isOnlyUser(call, found.total)
	switch {
	case onlyUser && !newWindow, lowDemand && seenRecently:
		// The only user of a bucket knows its level. At low demand, an immediate correction saves calls.
		return correctToExpected
	case onlyUser && found.level > burst*(1+leasedSurplusTolerance):
		// The window is new to this gateway: the deficit of the previous one still has to be carried.
		return correctToBurst
	case lowDemand && !seenRecently:
		// A flood that starts at all gateways at once initially looks the same, and this gateway knows what it may
		// take without a correction.
		return deferCorrection
	case b.isBucketCarried(cust, call.window) && (!newWindow || lowDemand):
		// Peers may see the same surplus: the first one to get the lock corrects it.
		return correctUnderLock
	default:
		// In a new window, the first gateway that calls corrects the bucket using the previous window's total.
		return carryIntoWindow
	}
}

// isDemandBelowRate reports whether the customer's total demand is below a plan's rate, assuming equal demand at all of
// its gateways.
func (cust *customer) isDemandBelowRate(plan *Plan) bool {
	return cust.demand.rate*cust.gateways < plan.Rate
}

// leastSurplusLevel returns the lowest level, in units, that a bucket may have until its surplus is corrected.
func (b *Balancer) leastSurplusLevel(found *surplus) float64 {
	cust := found.call.customer
	if cust.bucket.known && !cust.isDemandBelowRate(found.call.terms.plan) {
		return min(found.expected, b.minimumLevel(found.call, found.total))
	}
	return found.expected
}

// isOnlyUser reports whether no other gateway has taken units from a bucket since this gateway last knew its level:
// either this gateway's call started the total, or the total has not otherwise grown since it was last seen.
func (b *Balancer) isOnlyUser(call *counterCall, total float64) bool {
	bucket := &call.customer.bucket
	return call.kind == tokenLeaseCall &&
		(total <= call.amount+totalTolerance || bucket.known && bucket.seenWindow == call.window &&
			total-call.amount <= bucket.seenTotal+totalTolerance)
}

// minimumLevel returns the lowest possible level of a bucket whose total still has to be corrected, based on the level
// last known to this gateway. It assumes that peers took their units only just now, after the bucket had long been
// full.
func (b *Balancer) minimumLevel(call *counterCall, total float64) float64 {
	cust, plan := call.customer, call.terms.plan
	if cust.bucket.seenWindow == call.window {
		total -= cust.bucket.seenTotal
	}
	return max(-plan.Burst/2, b.bucketLevel(cust, plan)-max(0, total-call.amount))
}

// addSurplus adds a surplus to the total of a call's window, which was total before the correction.
func (b *Balancer) addSurplus(call *counterCall, amount, total float64) {
	name := counterName(call.customer.name, call.window)
	correctionCall := b.sendCall(call.customer, call.terms, surplusCall, call.window, name, amount)
	correctionCall.correction = bucketCorrection{surplus: amount, totalBefore: total}
}

// callCorrectionLock requests the lock under which a surplus may be added to a bucket's total. If every gateway
// that sees the surplus at the same moment added it, the bucket would then be empty for that much longer.
func (b *Balancer) callCorrectionLock(found *counterCall, amount, total float64) {
	name := correctionLockName(found.customer, int64(b.now/correctionLockInterval))
	call := b.sendCall(found.customer, found.terms, correctionLockCall, found.window, name, 1)
	call.correction = bucketCorrection{surplus: amount, totalBefore: total}
}

// callPreviousCorrectionLock asks the counter whether any gateway holds the lock of the previous interval. Otherwise
// two gateways that see the same bucket just before and just after the end of an interval would each get a lock.
func (b *Balancer) callPreviousCorrectionLock(lock *counterCall) {
	name := correctionLockName(lock.customer, int64(lock.sentAt/correctionLockInterval)-1)
	call := b.sendCall(lock.customer, lock.terms, previousLockCall, lock.window, name, 0)
	call.correction = lock.correction
}

// correctionLockName returns the counter's name for a customer's correction lock in an interval.
func correctionLockName(cust *customer, interval int64) uint64 {
	return counterName(cust.name+" fix", interval)
}

// maxFreeLockTotal returns the highest total of a lock that no peer has requested: a correctionLockCall itself adds 1,
// a previousLockCall adds nothing.
func maxFreeLockTotal(kind callKind) float64 {
	if kind == correctionLockCall {
		return 1
	}
	return 0
}

// handleCorrectionLock corrects a bucket if this gateway was the first to request the lock in its interval and, near
// the start of an interval, no gateway holds the lock of the previous one.
func (b *Balancer) handleCorrectionLock(call *counterCall, ev CounterResult) {
	if ev.Status != OK || ev.Total > maxFreeLockTotal(call.kind) || call.window != counterWindowAt(b.now) {
		return
	}
	leased := call.terms.ceilingLeased
	atStart := call.sentAt%correctionLockInterval < correctionLockOverlap*b.settings.CounterTimeout
	switch {
	case leased && call.kind == correctionLockCall && atStart:
		b.callPreviousCorrectionLock(call)
	case leased:
		b.addSurplus(call, call.correction.surplus, call.correction.totalBefore)
	default:
		b.callCounter(call.customer, call.terms, 0, call.correction.surplus)
	}
}

// handleSurplus reverts a correction if the total has also grown by about the same amount, which means that a peer has
// made the same correction.
func (b *Balancer) handleSurplus(call *counterCall, ev CounterResult) {
	if ev.Status != OK || call.window != counterWindowAt(b.now) {
		return
	}
	surplus := call.correction.surplus
	if ev.Total-call.correction.totalBefore-surplus > doubleCorrectionFraction*surplus {
		b.callCounter(call.customer, call.terms, 0, -surplus)
	}
}
