package balancer

import "time"

// Correction of a bucket that has more units than it can have.
const (
	// surplusTolerance is the number of bursts over the expected level from which a bucket is corrected.
	surplusTolerance = 0.5
	// leasedSurplusTolerance takes its place where the ceiling relies on the bucket.
	leasedSurplusTolerance = 0.1
	// correctionLockInterval is the time in which one gateway may correct a bucket.
	correctionLockInterval = time.Second
	// correctionLockOverlap is the time after the start of such an interval, in counter timeouts, in which a gateway
	// checks that none was given the lock of the interval before.
	correctionLockOverlap = 3
	// doubleCorrectionFraction is the part of a correction by which the total must have grown besides it to tell that
	// a peer has made the same correction.
	doubleCorrectionFraction = 0.75
	// bucketTrustTime is the time since a bucket was seen in which a low demand proves that the customer is calm.
	bucketTrustTime = 4 * time.Second
)

// surplus is an answer of the counter by which a customer's bucket has more units than it can have.
type surplus struct {
	call *counterCall
	// level is what the bucket has by the answer, expected what it can have, in units.
	level    float64
	expected float64
	// total is the total of the answer.
	total float64
}

// correctBucket corrects a bucket's total by a surplus, and returns the level that this gateway goes by. Where the
// ceiling relies on the bucket only one gateway may correct it, though all may see the surplus within one round trip:
// in a new window the first that calls, by the total of the last one (learnBucket), later the first that gets the
// correction lock. A gateway that saw the bucket before anybody took of it corrects at once, as it alone knows the
// level then; so does the gateway of a calm customer, which saves calls. A correction is undone when its answer tells
// that a peer had made it already.
func (b *Balancer) correctBucket(found *surplus) float64 {
	call, cust := found.call, found.call.customer
	plan := &b.settings.Plans[cust.plan]
	if b.leaseTerms[cust.plan].Rate <= 0 {
		b.callCounter(cust, 0, found.level-found.expected)
		return found.expected
	}
	firstInWindow := cust.bucket.seenWindow != call.window
	calm := cust.demand.rate*cust.gateways < plan.Rate
	seenLately := cust.bucket.known && b.now-cust.bucket.levelAt < bucketTrustTime && call.kind != bucketLevelCall
	least := found.expected
	if cust.bucket.known && !calm {
		least = min(found.expected, b.minimumLevel(call, found.total))
	}
	onlyUser := b.isOnlyUser(call, found.total)
	switch {
	case onlyUser && !firstInWindow, calm && seenLately:
		b.addSurplus(call, found.level-found.expected, found.total)
	case onlyUser && found.level > plan.Burst*(1+leasedSurplusTolerance):
		b.addSurplus(call, found.level-plan.Burst, found.total)
		b.learnBucket(cust) // what the bucket lacked before the window is carried
	case calm && !seenLately:
		// A flood that begins at all gateways at once looks like this at first, and what this gateway may take is
		// known without a correction.
	case b.isBucketCarried(cust, call.window) && (!firstInWindow || calm):
		b.callCorrectionLock(call, found.level-least, found.total)
		return least
	default:
		b.learnBucket(cust)
		return least
	}
	return found.expected
}

// isOnlyUser reports whether nobody else has taken of a bucket since this gateway knew its level: its call began the
// total, or the total has gained nothing besides since it was last seen.
func (b *Balancer) isOnlyUser(call *counterCall, total float64) bool {
	bucket := &call.customer.bucket
	return call.kind == tokenLeaseCall &&
		(total <= call.amount+totalTolerance || bucket.known && bucket.seenWindow == call.window &&
			total-call.amount <= bucket.seenTotal+totalTolerance)
}

// minimumLevel is the least level of a bucket whose total is still to be corrected, by the last level known here: what
// peers have taken since may have left it just now, when the bucket had long been full.
func (b *Balancer) minimumLevel(call *counterCall, total float64) float64 {
	cust := call.customer
	plan := &b.settings.Plans[cust.plan]
	if cust.bucket.seenWindow == call.window {
		total -= cust.bucket.seenTotal
	}
	return max(-plan.Burst/2, b.bucketLevel(cust, plan)-max(0, total-call.amount))
}

// addSurplus adds a surplus to the total of a call's window, which came to total without it.
func (b *Balancer) addSurplus(call *counterCall, amount, total float64) {
	cust := call.customer
	correction := b.sendCall(cust, surplusCall, call.window, counterName(cust.name, call.window), amount)
	correction.amount = amount
	correction.firstTotal = total
}

// callCorrectionLock asks for the lock under which a surplus may be added to a bucket's total. Gateways that see the
// surplus at the same moment must not all add it: the bucket would be empty for as long again.
func (b *Balancer) callCorrectionLock(found *counterCall, amount, total float64) {
	name := correctionLockName(found.customer, int64(b.now/correctionLockInterval))
	call := b.sendCall(found.customer, correctionLockCall, found.window, name, 1)
	call.amount = amount
	call.firstTotal = 1
	call.total = total
}

// callPreviousCorrectionLock asks whether a gateway was given the lock of the interval before: two that see the same
// bucket on both sides of an interval's end would each be the first in theirs.
func (b *Balancer) callPreviousCorrectionLock(lock *counterCall) {
	name := correctionLockName(lock.customer, int64(lock.sentAt/correctionLockInterval)-1)
	call := b.sendCall(lock.customer, previousLockCall, lock.window, name, 0)
	call.amount = lock.amount
	call.total = lock.total
}

// correctionLockName is the counter's name for the correction lock of a customer in an interval.
func correctionLockName(cust *customer, interval int64) uint64 {
	return counterName(cust.name+" fix", interval)
}

// handleCorrectionLock corrects a bucket when this gateway is the first that asked for the lock in its interval and,
// at an interval's start, none was given that of the interval before.
func (b *Balancer) handleCorrectionLock(call *counterCall, ev CounterResult) {
	cust := call.customer
	if ev.Status != OK || ev.Total > call.firstTotal || call.window != counterWindowAt(b.now) {
		return
	}
	leased := b.leaseTerms[cust.plan].Rate > 0
	atStart := call.sentAt%correctionLockInterval < correctionLockOverlap*b.settings.CounterTimeout
	switch {
	case leased && call.kind == correctionLockCall && atStart:
		b.callPreviousCorrectionLock(call)
	case leased:
		b.addSurplus(call, call.amount, call.total)
	default:
		b.callCounter(cust, 0, call.amount)
	}
}

// handleSurplus undoes a correction when the total has grown besides it by about as much: a peer had made it too.
func (b *Balancer) handleSurplus(call *counterCall, ev CounterResult) {
	if ev.Status != OK || call.window != counterWindowAt(b.now) {
		return
	}
	if ev.Total-call.firstTotal-call.amount > doubleCorrectionFraction*call.amount {
		b.callCounter(call.customer, 0, -call.amount)
	}
}
