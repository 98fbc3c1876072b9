package balancer

import (
	"math"
	"time"
)

// Use of a customer's bucket on the counter.
const (
	// gatewaysPerRefill is the number of gateways that an empty bucket serves in the time in which it gains a unit.
	gatewaysPerRefill = 4.0
	// maxEmptyBucketPause is the longest time for which a bucket that was found empty is left alone.
	maxEmptyBucketPause = 8 * time.Second
	// minPauseSpread is the least factor on that time where the gateways spread their calls.
	minPauseSpread = 0.6
	// minLostFraction is the part of a burst by which a total must have fallen to count as lost.
	minLostFraction = 0.25
	// minCarriedFraction is the part of a burst from which a lost level is carried into a new window.
	minCarriedFraction = 0.05
	// totalTolerance is the rounding error of a total that the counter adds up, in units and as a part of an amount.
	totalTolerance = 1e-6
)

// sharedBucket is what this gateway knows of a customer's token bucket on the counter. The counter keeps one total
// for each window of counterWindow, to which gateways add the units that leave the bucket. The level follows from
// that total: burst + rate * time since the window began - total.
type sharedBucket struct {
	// known is true once the counter has told of the bucket.
	known bool
	// knownAt is since when that is so, or since when the counter has not lost its totals.
	knownAt time.Duration
	// level is the number of units in the bucket at levelAt, by the last answer.
	level   float64
	levelAt time.Duration
	// peerDemand is a moving average of what the other gateways take, units a second.
	peerDemand float64
	// seenWindow and seenTotal are the window of the last answer and its total.
	seenWindow int64
	seenTotal  float64
	// carriedWindow is the window into which this gateway last carried what the bucket lacked, or saw it carried.
	carriedWindow int64
	// carriedAt is from when on the total of that window holds it.
	carriedAt time.Duration
	// levelCallPending is true while a call for the level is out.
	levelCallPending bool
	// emptyUntil is the time before which no call is made, as the bucket was found empty.
	emptyUntil time.Duration
}

// hasLostTotal reports whether the counter has lost the total of a window since it was last seen.
func (bucket *sharedBucket) hasLostTotal(window int64, total float64, plan *Plan) bool {
	return bucket.seenWindow == window &&
		bucket.seenTotal-total > max(minLostFraction*plan.Burst, bucket.seenTotal/2)
}

// setKnown takes that the counter has told of the bucket for the first time, or anew after it lost its totals.
func (bucket *sharedBucket) setKnown(now time.Duration) {
	bucket.known = true
	bucket.knownAt = now
}

// record takes the total of a window and the bucket's level as they were at a time.
func (bucket *sharedBucket) record(window int64, total float64, at time.Duration, level float64) {
	bucket.seenWindow = window
	bucket.seenTotal = total
	bucket.level = level
	bucket.levelAt = at
}

// pauseCallsUntil takes that the bucket was found empty, so that no call is made before a time.
func (bucket *sharedBucket) pauseCallsUntil(at time.Duration) { bucket.emptyUntil = at }

// recordPeerDemand takes by how much the bucket has less than it would have without the peers' use.
func (bucket *sharedBucket) recordPeerDemand(now time.Duration, taken float64) {
	gap := (now - bucket.levelAt).Seconds()
	if gap <= 0 {
		return
	}
	weight := 1 - math.Exp(-gap/demandWindow.Seconds())
	bucket.peerDemand += weight * (max(0, taken)/gap - bucket.peerDemand)
}

// bucketLevel is the number of units that a customer's bucket should have now.
func (b *Balancer) bucketLevel(cust *customer, plan *Plan) float64 {
	return min(plan.Burst, b.unboundedLevel(cust, plan))
}

// unboundedLevel is bucketLevel without the bound at the burst.
func (b *Balancer) unboundedLevel(cust *customer, plan *Plan) float64 {
	return cust.bucket.level + plan.Rate*(b.now-cust.bucket.levelAt).Seconds()
}

// isBucketReliable reports whether this gateway has known a customer's bucket for as long as the ceiling takes to
// fill, this window included. A counter that has lost its totals tells that the bucket is full, and by then that is
// true.
func (b *Balancer) isBucketReliable(cust *customer, plan *Plan) bool {
	return cust.bucket.known && (b.now-cust.bucket.knownAt).Seconds() >= plan.CeilingBurst/plan.CeilingRate &&
		b.isBucketCarried(cust, counterWindowAt(b.now))
}

// isBucketCarried reports whether the total of a window holds what the bucket lacked in the window before.
func (b *Balancer) isBucketCarried(cust *customer, window int64) bool {
	return cust.bucket.carriedWindow == window && b.now >= cust.bucket.carriedAt
}

// activeGateways is the number of gateways through which a customer's demand is taken to come: all that it names, or,
// where its ceiling is leased, as many as the peers' demand suggests.
func (cust *customer) activeGateways(terms callTerms) float64 {
	if !terms.ceilingLeased {
		return cust.gateways
	}
	peerDemand := cust.bucket.peerDemand
	return min(cust.gateways, 1+peerDemand*cust.gateways/max(terms.plan.Rate, peerDemand))
}

// emptyPauseSpread is the factor on the time for which an empty bucket is left alone. Gateways that lease a ceiling
// draw it at random, as else the same one would find each new unit first.
func (b *Balancer) emptyPauseSpread(terms callTerms) float64 {
	if !terms.ceilingLeased {
		return 1
	}
	return minPauseSpread + 2*(1-minPauseSpread)*b.rng.Float64()
}

// acceptedLevel is the level of a customer's bucket by the total of an answer, as it was at a time. A level over the
// burst has overflowed, and one that grew faster than the rate tells that the counter has lost totals. Both are
// corrected on the counter where that is worth a call, and by an answer that came in time only.
func (b *Balancer) acceptedLevel(call *counterCall, total float64, at time.Duration) float64 {
	cust, plan := call.customer, call.terms.plan
	level := plan.Burst + plan.Rate*(at-windowStart(call.window)).Seconds() - total + call.amount
	expected := plan.Burst
	if cust.bucket.known {
		expected = b.bucketLevel(cust, plan)
		if at == b.now {
			cust.bucket.recordPeerDemand(b.now, expected-level)
		}
	}
	tolerance := plan.Burst * surplusTolerance
	if call.overShare {
		tolerance = plan.Burst * leasedSurplusTolerance
	}
	switch {
	case at < b.now:
		return min(level, expected)
	case cust.bucket.known && cust.bucket.seenWindow != call.window && !call.terms.ceilingLeased:
		return b.carryLevel(call, level, expected, total)
	case b.isLargeFleet():
		return b.acceptedLevelLargeFleet(call, level, total)
	case level > expected+tolerance:
		expected = min(expected, b.levelAfterPeers(call, total))
		return b.correctBucket(&surplus{call: call, level: level, expected: expected, total: total})
	}
	return level
}

// carryLevel is the level of a bucket in a window whose total knows nothing of the window before. The gateway whose
// call began the total adds to it what the bucket lacked.
func (b *Balancer) carryLevel(call *counterCall, level, expected, total float64) float64 {
	burst := call.terms.plan.Burst
	isFirstCall := total <= call.amount+totalTolerance*math.Abs(call.amount)
	if isFirstCall && level > expected+burst*minCarriedFraction {
		b.callCounter(call.customer, call.terms, 0, level-expected)
	}
	return min(level, expected)
}

// acceptedLevelLargeFleet is acceptedLevel in a large fleet. Units that peers have returned look like a gain, so only
// a large surplus is corrected.
func (b *Balancer) acceptedLevelLargeFleet(call *counterCall, level, total float64) float64 {
	cust, plan := call.customer, call.terms.plan
	limit := plan.Burst * (1 + b.surplusSlack(cust, plan))
	if level > limit {
		isFirstCall := total <= call.amount
		b.correctSurplus(call, level-plan.Burst, isFirstCall)
	}
	return min(level, limit)
}

// levelAfterPeers is the level of a bucket whose total is still to be corrected, by the last level known here and
// what peers have taken since; infinite where that is not known.
func (b *Balancer) levelAfterPeers(call *counterCall, total float64) float64 {
	cust := call.customer
	if !call.terms.ceilingLeased || !cust.bucket.known || cust.bucket.seenWindow != call.window {
		return math.Inf(1)
	}
	plan := call.terms.plan
	takenByPeers := max(0, total-call.amount-cust.bucket.seenTotal)
	return max(-plan.Burst/2, b.unboundedLevel(cust, plan)-takenByPeers)
}
