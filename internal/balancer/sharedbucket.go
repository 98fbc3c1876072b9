package balancer

import (
	"math"
	"time"
)

// Parameters for using a customer's bucket on the counter.
const (
	// gatewaysPerRefill is the number of gateways that an empty bucket serves in the time in which it gains one unit.
	gatewaysPerRefill = 4.0
	// maxEmptyBucketPause is the maximum pause in calls after a bucket was found empty.
	maxEmptyBucketPause = 8 * time.Second
	// minPauseSpread is the minimum random factor on that pause where gateways spread their calls.
	minPauseSpread = 0.6
	// minLostFraction is the decrease of a total, as a fraction of the burst, from which the total counts as lost.
	minLostFraction = 0.25
	// minCarriedFraction is the deficit, as a fraction of the burst, from which it is carried into a new window.
	minCarriedFraction = 0.05
	// totalTolerance is the tolerance for rounding errors in the counter's totals, in units and as a fraction of an
	// amount.
	totalTolerance = 1e-6
)

// sharedBucket is what this gateway knows of a customer's token bucket on the counter. For each counterWindow the
// counter keeps one total, to which gateways add the units that leave the bucket. The level follows from it: burst +
// rate * time since the start of the window - total.
type sharedBucket struct {
	// known is true once the counter has reported the bucket's total.
	known bool
	// knownAt is when the bucket became known, or when it became known again after the counter lost its totals.
	knownAt time.Duration
	// level is the number of units in the bucket at levelAt, according to the last answer.
	level   float64
	levelAt time.Duration
	// peerDemand is a moving average of what the other gateways take, in units per second.
	peerDemand float64
	// seenWindow and seenTotal are the window and the total of the last answer.
	seenWindow int64
	seenTotal  float64
	// carriedWindow is the last window into which this gateway carried the bucket's deficit, or saw it carried.
	carriedWindow int64
	// carriedAt is the time from which the total of that window includes the deficit.
	carriedAt time.Duration
	// levelCallPending is true while a bucketLevelCall is pending.
	levelCallPending bool
	// emptyUntil is the time before which no call is made, since the bucket was found empty.
	emptyUntil time.Duration
}

// hasLostTotal reports whether the counter has lost the total of a window since this gateway last saw it.
func (bucket *sharedBucket) hasLostTotal(window int64, total float64, plan *Plan) bool {
	return bucket.seenWindow == window &&
		bucket.seenTotal-total > max(minLostFraction*plan.Burst, bucket.seenTotal/2)
}

// markKnown records that the counter has reported the bucket for the first time, or for the first time since it lost
// its totals.
func (bucket *sharedBucket) markKnown(now time.Duration) {
	bucket.known = true
	bucket.knownAt = now
}

// record stores the total of a window and the bucket's level at a given time.
func (bucket *sharedBucket) record(window int64, total float64, at time.Duration, level float64) {
	bucket.seenWindow = window
	bucket.seenTotal = total
	bucket.level = level
	bucket.levelAt = at
}

// pauseCallsUntil records that the bucket was found empty, so that no call is made before the given time.
func (bucket *sharedBucket) pauseCallsUntil(at time.Duration) { bucket.emptyUntil = at }

// recordPeerDemand updates the peers' demand with the number of units that they have taken since the last answer.
func (bucket *sharedBucket) recordPeerDemand(now time.Duration, taken float64) {
	gap := (now - bucket.levelAt).Seconds()
	if gap <= 0 {
		return
	}
	weight := 1 - math.Exp(-gap/demandWindow.Seconds())
	bucket.peerDemand += weight * (max(0, taken)/gap - bucket.peerDemand)
}

// bucketLevel returns the expected number of units in a customer's bucket now.
func (b *Balancer) bucketLevel(cust *customer, plan *Plan) float64 {
	return min(plan.Burst, b.unboundedLevel(cust, plan))
}

// unboundedLevel is bucketLevel without the limit at the burst.
func (b *Balancer) unboundedLevel(cust *customer, plan *Plan) float64 {
	return cust.bucket.level + plan.Rate*(b.now-cust.bucket.levelAt).Seconds()
}

// isBucketReliable reports whether this gateway has known a customer's bucket for as long as the ceiling takes to fill,
// and whether the current window's total is complete. A counter that has lost its totals reports a full bucket, and
// after this time that is true.
func (b *Balancer) isBucketReliable(cust *customer, plan *Plan) bool {
	return cust.bucket.known && (b.now-cust.bucket.knownAt).Seconds() >= plan.CeilingBurst/plan.CeilingRate &&
		b.isBucketCarried(cust, counterWindowAt(b.now))
}

// isBucketCarried reports whether the total of a window includes the deficit of the previous window.
func (b *Balancer) isBucketCarried(cust *customer, window int64) bool {
	return cust.bucket.carriedWindow == window && b.now >= cust.bucket.carriedAt
}

// activeGateways returns the estimated number of gateways that receive a customer's requests: all of the customer's
// gateways or, if its ceiling is leased, the number suggested by the peers' demand.
func (cust *customer) activeGateways(terms callTerms) float64 {
	if !terms.ceilingLeased {
		return cust.gateways
	}
	peerDemand := cust.bucket.peerDemand
	return min(cust.gateways, 1+peerDemand*cust.gateways/max(terms.plan.Rate, peerDemand))
}

// emptyPauseSpread returns the factor on the pause after a bucket was found empty. Gateways that lease a ceiling draw
// it at random; otherwise the same gateway would always get each new unit first.
func (b *Balancer) emptyPauseSpread(terms callTerms) float64 {
	if !terms.ceilingLeased {
		return 1
	}
	return minPauseSpread + 2*(1-minPauseSpread)*b.rng.Float64()
}

// acceptedLevel returns the level of a customer's bucket at a given time, according to the total of an answer. A level
// above the burst means that the bucket has overflowed, and a level that grew faster than the rate means that the
// counter has lost totals. Both are corrected on the counter if that is worth a call, but only based on an answer that
// arrived in time.
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

// carryLevel returns the level of a bucket in a window whose total does not yet include the previous window. The
// gateway whose call started the total adds the bucket's deficit to it.
func (b *Balancer) carryLevel(call *counterCall, level, expected, total float64) float64 {
	burst := call.terms.plan.Burst
	isFirstCall := total <= call.amount+totalTolerance*math.Abs(call.amount)
	if isFirstCall && level > expected+burst*minCarriedFraction {
		b.callCounter(call.customer, call.terms, 0, level-expected)
	}
	return min(level, expected)
}

// acceptedLevelLargeFleet is acceptedLevel for a large fleet. Units returned by peers look like a surplus, so only a
// large surplus is corrected.
func (b *Balancer) acceptedLevelLargeFleet(call *counterCall, level, total float64) float64 {
	cust, plan := call.customer, call.terms.plan
	limit := plan.Burst * (1 + b.surplusSlack(cust, plan))
	if level > limit {
		isFirstCall := total <= call.amount
		b.correctSurplus(call, level-plan.Burst, isFirstCall)
	}
	return min(level, limit)
}

// levelAfterPeers returns the level of a bucket whose total still has to be corrected, based on the level last known to
// this gateway and on what peers have taken since. It is infinite if that is not known.
func (b *Balancer) levelAfterPeers(call *counterCall, total float64) float64 {
	cust := call.customer
	if !call.terms.ceilingLeased || !cust.bucket.known || cust.bucket.seenWindow != call.window {
		return math.Inf(1)
	}
	plan := call.terms.plan
	takenByPeers := max(0, total-call.amount-cust.bucket.seenTotal)
	return max(-plan.Burst/2, b.unboundedLevel(cust, plan)-takenByPeers)
}
