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

// bucketCorrection is the correction that a call makes (surplusCall), or that it asks for the lock of
// (correctionLockCall, previousLockCall).
type bucketCorrection struct {
	// surplus is the number of units that are added to the bucket's total.
	surplus float64
	// totalBefore is the bucket's total without them.
	totalBefore float64
}

// correctionPlan is what a gateway does about a surplus of a bucket that a leased ceiling relies on.
type correctionPlan int

const (
	// correctToExpected takes the whole surplus off at once.
	correctToExpected correctionPlan = iota
	// correctToBurst takes off at once what is beyond the burst, and carries the bucket into the window.
	correctToBurst
	// deferCorrection goes by the expected level and calls nobody.
	deferCorrection
	// correctUnderLock asks for the correction lock, and goes by the least level meanwhile.
	correctUnderLock
	// carryIntoWindow carries the bucket into the window, and goes by the least level meanwhile.
	carryIntoWindow
)

// correctBucket corrects a bucket's total by a surplus, and returns the level that this gateway goes by. Where no
// leased ceiling relies on the bucket, it is corrected at once.
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
		b.learnBucket(cust) // what the bucket lacked before the window is carried
	case correctUnderLock:
		b.callCorrectionLock(call, found.level-leastLevel, found.total)
		return leastLevel
	case carryIntoWindow:
		b.learnBucket(cust)
		return leastLevel
	case deferCorrection:
	}
	return found.expected
}

// planCorrection chooses how a surplus is corrected where a leased ceiling relies on the bucket. All gateways may see
// the surplus within one round trip, and only one may correct it.
func (b *Balancer) planCorrection(found *surplus) correctionPlan {
	call, cust := found.call, found.call.customer
	burst := call.terms.plan.Burst
	firstInWindow := cust.bucket.seenWindow != call.window
	calm := cust.isCalm(call.terms.plan)
	seenLately := cust.bucket.known && b.now-cust.bucket.levelAt < bucketTrustTime && call.kind != bucketLevelCall
	onlyUser := b.isOnlyUser(call, found.total)
	switch {
	case onlyUser && !firstInWindow, calm && seenLately:
		// An only user alone knows the level. For a calm customer a correction at once saves calls.
		return correctToExpected
	case onlyUser && found.level > burst*(1+leasedSurplusTolerance):
		// The window is new to this gateway: what the bucket lacked before it is still to be carried.
		return correctToBurst
	case calm && !seenLately:
		// A flood that begins at all gateways at once looks like this at first, and what this gateway may take is
		// known without a correction.
		return deferCorrection
	case b.isBucketCarried(cust, call.window) && (!firstInWindow || calm):
		// Peers may see the same surplus: the first that gets the lock corrects it.
		return correctUnderLock
	default:
		// In a new window the first gateway that calls corrects the bucket, by the total of the last window.
		return carryIntoWindow
	}
}

// isCalm reports whether the demand for a customer, taken as alike at all of its gateways, is below a plan's rate.
func (cust *customer) isCalm(plan *Plan) bool {
	return cust.demand.rate*cust.gateways < plan.Rate
}

// leastSurplusLevel is the least level, in units, that a bucket may have until its surplus is corrected.
func (b *Balancer) leastSurplusLevel(found *surplus) float64 {
	cust := found.call.customer
	if cust.bucket.known && !cust.isCalm(found.call.terms.plan) {
		return min(found.expected, b.minimumLevel(found.call, found.total))
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
	cust, plan := call.customer, call.terms.plan
	if cust.bucket.seenWindow == call.window {
		total -= cust.bucket.seenTotal
	}
	return max(-plan.Burst/2, b.bucketLevel(cust, plan)-max(0, total-call.amount))
}

// addSurplus adds a surplus to the total of a call's window, which came to total without it.
func (b *Balancer) addSurplus(call *counterCall, amount, total float64) {
	name := counterName(call.customer.name, call.window)
	correctionCall := b.sendCall(call.customer, call.terms, surplusCall, call.window, name, amount)
	correctionCall.correction = bucketCorrection{surplus: amount, totalBefore: total}
}

// callCorrectionLock asks for the lock under which a surplus may be added to a bucket's total. Gateways that see the
// surplus at the same moment must not all add it: the bucket would be empty for as long again.
func (b *Balancer) callCorrectionLock(found *counterCall, amount, total float64) {
	name := correctionLockName(found.customer, int64(b.now/correctionLockInterval))
	call := b.sendCall(found.customer, found.terms, correctionLockCall, found.window, name, 1)
	call.correction = bucketCorrection{surplus: amount, totalBefore: total}
}

// callPreviousCorrectionLock asks whether a gateway was given the lock of the interval before: two that see the same
// bucket on both sides of an interval's end would each be the first in theirs.
func (b *Balancer) callPreviousCorrectionLock(lock *counterCall) {
	name := correctionLockName(lock.customer, int64(lock.sentAt/correctionLockInterval)-1)
	call := b.sendCall(lock.customer, lock.terms, previousLockCall, lock.window, name, 0)
	call.correction = lock.correction
}

// correctionLockName is the counter's name for the correction lock of a customer in an interval.
func correctionLockName(cust *customer, interval int64) uint64 {
	return counterName(cust.name+" fix", interval)
}

// maxFreeLockTotal is the greatest total of a lock by which no peer has asked for it: a correctionLockCall adds 1 of
// its own, a previousLockCall nothing.
func maxFreeLockTotal(kind callKind) float64 {
	if kind == correctionLockCall {
		return 1
	}
	return 0
}

// handleCorrectionLock corrects a bucket when this gateway is the first that asked for the lock in its interval and,
// at an interval's start, none was given that of the interval before.
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

// handleSurplus undoes a correction when the total has grown besides it by about as much: a peer had made it too.
func (b *Balancer) handleSurplus(call *counterCall, ev CounterResult) {
	if ev.Status != OK || call.window != counterWindowAt(b.now) {
		return
	}
	surplus := call.correction.surplus
	if ev.Total-call.correction.totalBefore-surplus > doubleCorrectionFraction*surplus {
		b.callCounter(call.customer, call.terms, 0, -surplus)
	}
}
