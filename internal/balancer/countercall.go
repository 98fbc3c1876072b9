package balancer

import (
	"fmt"
	"hash/fnv"
	"time"

	"gapgap/internal/balancer/callpacer"
)

// Numbers on the counter.
const (
	// counterWindow is the time for which gateways add to the same total of a customer.
	counterWindow = 30 * time.Second
	// counterTTL is how long the counter keeps a total; it keeps none for over 60 s.
	counterTTL = 50 * time.Second
)

// How often the counter is called.
const (
	// maxCallsOut is the number of totals for which calls may be out at once.
	maxCallsOut = 32
	// minCallFraction is the least part of the requests without tokens that call the counter.
	minCallFraction = 0.1
	// callLatencyTarget is the part of its timeout that a call should take at most; calls get fewer beyond.
	callLatencyTarget = 0.7
	// callFractionGrowth is by what part an instant answer lets more requests call.
	callFractionGrowth = 0.2
	// callFractionDecrease is the factor on the part of the requests that call, for a failed call.
	callFractionDecrease = 0.8
	// degradedCallFraction is the part of the requests that call at which the counter counts as silent or overloaded.
	degradedCallFraction = 0.2
	// counterProbePause is the least time between the calls that then test the counter.
	counterProbePause = 100 * time.Millisecond
	// counterProbePausePerGateway is the least such time for each gateway that serves.
	counterProbePausePerGateway = 5 * time.Millisecond
	// maxLeasingFailures is the number of failed calls in a row from which ceilings are not leased.
	maxLeasingFailures = 2
)

// Pace of the calls of a large fleet, which package callpacer sets.
const (
	// initialFleetCallRate is the first rate of all gateways together, calls a second.
	initialFleetCallRate = 260.0
	// minFleetCallRate is the least rate of all gateways together, calls a second.
	minFleetCallRate = 40.0
	// maxCallRate is the greatest rate of one gateway, calls a second.
	maxCallRate = 1000.0
	// callBurst is the number of calls that a gateway may make at once.
	callBurst = 4.0
)

// callKind is what a counter call is for.
type callKind int

const (
	// tokenLeaseCall leases tokens of a quota, or only corrects the total of its bucket when the block is 0.
	tokenLeaseCall callKind = iota
	// ceilingLeaseCall leases units of a ceiling beyond the quota, in windows of their own.
	ceilingLeaseCall
	// windowFirstCall learns whether this gateway is the first that carries a bucket into a window.
	windowFirstCall
	// previousWindowCall learns the total of the window before.
	previousWindowCall
	// bucketLevelCall learns the level of a bucket.
	bucketLevelCall
	// counterProbeCall learns whether the counter answers.
	counterProbeCall
	// correctionLockCall asks for the lock under which a bucket is corrected.
	correctionLockCall
	// previousLockCall learns whether a peer had that lock in the interval before.
	previousLockCall
	// surplusCall corrects a bucket and learns whether a peer has done so too.
	surplusCall
)

// counterCall is a call to the counter that is out or has timed out.
type counterCall struct {
	kind callKind
	// customer is nil for a counterProbeCall.
	customer *customer
	// terms are those under which the call was sent and is settled; zero for a counterProbeCall and a ceilingLeaseCall.
	terms callTerms
	// lease is what a ceilingLeaseCall asks for.
	lease *leasedCeiling
	// block is the number of units asked for.
	block float64
	// amount is the number of units that a tokenLeaseCall adds in all, and debt the part of them that was spent
	// before. Both are 0 for the other kinds.
	amount float64
	debt   float64
	// window is the window of the total.
	window int64
	sentAt time.Duration
	// ticket names a call whose late answer is of use; 0: none.
	ticket uint64
	// correction is set for a correctionLockCall, a previousLockCall and a surplusCall.
	correction bucketCorrection
	// overShare is true for a lease of tokens that go out past this gateway's share of the ceiling.
	overShare bool
}

// callTerms are what a customer's plan had when a call was sent. The answer is settled on them: the customer may have
// another plan by then, or its plan other values.
type callTerms struct {
	// plan is that plan. A reload replaces plans and does not change them.
	plan *Plan
	// ceilingLeased is true where its ceiling was leased from the counter.
	ceilingLeased bool
}

// callTermsOf returns the present terms of the plan of an index.
func (b *Balancer) callTermsOf(plan int) callTerms {
	return callTerms{plan: &b.settings.Plans[plan], ceilingLeased: b.leaseTerms[plan].Rate > 0}
}

// counterCalls are this gateway's calls to the counter. The counter's state shows in its answers alone: each in time
// lets a larger part of the requests call, each late or failed one a smaller.
type counterCalls struct {
	// out holds the calls that are out by the counter's name for their total, in the order in which they were made.
	out map[uint64][]*counterCall
	// timedOut holds calls that may still be answered.
	timedOut timedOutCalls
	// callFraction is the part of the requests without tokens that call the counter, from 0 to 1.
	callFraction float64
	// callFractionCutAt is when callFraction was last decreased.
	callFractionCutAt time.Duration
	// lastCallAt is when tokens were last asked for, or the counter was last tested.
	lastCallAt time.Duration
	// failuresInRow counts the calls that failed since the last one that was answered.
	failuresInRow int
	// leasingFrom is the time from which ceilings may be leased.
	leasingFrom time.Duration
	// pacer limits the calls of a large fleet.
	pacer *callpacer.Pacer
}

// isHealthy reports whether the counter answers well enough to be relied on.
func (calls *counterCalls) isHealthy() bool { return calls.callFraction > degradedCallFraction }

// isFull reports whether no further call may be out.
func (calls *counterCalls) isFull() bool { return len(calls.out) >= maxCallsOut }

// add takes a call that goes out for a total.
func (calls *counterCalls) add(name uint64, call *counterCall) {
	calls.out[name] = append(calls.out[name], call)
}

// take removes and returns the call that an answer belongs to, or nil. Answers for one total come in the order of the
// calls.
func (calls *counterCalls) take(name uint64) *counterCall {
	pending := calls.out[name]
	if len(pending) == 0 {
		return nil
	}
	calls.out[name] = pending[1:]
	if len(pending) == 1 {
		delete(calls.out, name)
	}
	return pending[0]
}

// recordCall takes that tokens are asked for, or the counter is tested, now.
func (calls *counterCalls) recordCall(now time.Duration) { calls.lastCallAt = now }

// recordAnswer lets more requests call the counter for a fast answer and fewer for a slow one. Latency is in parts of
// the call's timeout.
func (calls *counterCalls) recordAnswer(latency float64) {
	factor := 1 + callFractionGrowth*(1-latency/callLatencyTarget)
	calls.callFraction = min(1, max(degradedCallFraction, calls.callFraction*factor))
}

// recordFailure lets fewer requests call the counter after a call without an answer. The calls of one connection end
// together, so those sent before the last decrease do not count.
func (calls *counterCalls) recordFailure(now, sentAt time.Duration) {
	if sentAt < calls.callFractionCutAt {
		return
	}
	calls.callFraction = max(minCallFraction, calls.callFraction*callFractionDecrease)
	calls.callFractionCutAt = now
}

// recordOutcome takes whether a call was answered. After a few failures in a row gateways go by their even shares, and
// lease ceilings again when these have had the time to fill since the last failure.
func (calls *counterCalls) recordOutcome(now time.Duration, answered bool, fillTime time.Duration) {
	if answered {
		calls.failuresInRow = 0
		return
	}
	calls.failuresInRow++
	if calls.failuresInRow >= maxLeasingFailures || now < calls.leasingFrom {
		calls.leasingFrom = now + fillTime
	}
}

// newCallPacer makes the pacer of this gateway's calls.
func (b *Balancer) newCallPacer() *callpacer.Pacer {
	limits := callpacer.Limits{
		InitialRate:      initialFleetCallRate / b.liveGateways(),
		MinRate:          minFleetCallRate / b.liveGateways(),
		MaxRate:          maxCallRate,
		Burst:            callBurst,
		TargetQueueTime:  b.settings.CounterTimeout / 4,
		DecreaseInterval: 2 * b.settings.CounterTimeout,
	}
	return callpacer.New(limits, b.now)
}

// canCallCounter reports whether the counter may be called: it is healthy, or it is time to test it.
func (b *Balancer) canCallCounter() bool {
	pause := max(counterProbePause, time.Duration(b.liveGateways())*counterProbePausePerGateway)
	return !b.handedOver && !b.counter.isFull() &&
		(b.counter.isHealthy() || b.now-b.counter.lastCallAt >= pause)
}

// callCounter adds an amount to a customer's total of this window and asks for a block of tokens, or for none.
func (b *Balancer) callCounter(cust *customer, terms callTerms, block, amount float64) *counterCall {
	window := counterWindowAt(b.now)
	name := counterName(cust.name, window)
	call := &counterCall{
		kind:     tokenLeaseCall,
		customer: cust,
		terms:    terms,
		block:    block,
		amount:   amount,
		window:   window,
		sentAt:   b.now,
		ticket:   b.counter.timedOut.nextTicket(),
	}
	b.counter.add(name, call)
	b.counter.pacer.RecordCall(b.now)
	b.emit(CounterAdd{name, amount, counterTTL, call.ticket})
	return call
}

// sendCall adds an amount under a name on the counter, for another purpose than tokens. The customer may be nil.
func (b *Balancer) sendCall(
	cust *customer, terms callTerms, kind callKind, window int64, name uint64, amount float64,
) *counterCall {
	call := &counterCall{kind: kind, customer: cust, terms: terms, window: window, sentAt: b.now}
	b.counter.add(name, call)
	b.emit(CounterAdd{name, amount, counterTTL, 0})
	return call
}

// probeCounter calls the counter for no customer, to learn whether it answers.
func (b *Balancer) probeCounter() {
	b.sendCall(nil, callTerms{}, counterProbeCall, 0, counterName("test", int64(b.settings.Index)), 0)
}

// counterName is the counter's name for the total of a key in a window, within 63 bits.
func counterName(key string, window int64) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %d", key, window) // a hash never fails
	return hash.Sum64() >> 1
}

// counterWindowAt is the number of the counter's window at a time.
func counterWindowAt(now time.Duration) int64 { return int64(now / counterWindow) }

// windowStart is when a window of the counter begins.
func windowStart(window int64) time.Duration { return time.Duration(window) * counterWindow }

// handleCounterResult takes the end of a call.
func (b *Balancer) handleCounterResult(ev CounterResult) {
	call := b.counter.take(ev.Name)
	if call == nil {
		return
	}
	b.recordCounterResult(call, ev)
	switch {
	case call.kind == counterProbeCall:
		return
	case call.kind == ceilingLeaseCall:
		b.handleCeilingLeaseResult(call, ev)
	case call.kind != tokenLeaseCall:
		b.handleBucketCall(call, ev)
	case call.block > 0:
		b.handleTokenLeaseResult(call, ev)
	}
	b.serveWaiting(call.customer)
}

// recordCounterResult takes what the end of a call tells of the counter. A call that the counter rejected tells that
// it lives, and nothing of its load.
func (b *Balancer) recordCounterResult(call *counterCall, ev CounterResult) {
	switch ev.Status {
	case OK:
		latency := b.now - call.sentAt
		b.counter.pacer.RecordAnswer(b.now, latency)
		b.counter.recordAnswer(latency.Seconds() / b.settings.CounterTimeout.Seconds())
	case Failed:
	default:
		b.counter.pacer.RecordFailure(b.now, call.sentAt)
		b.counter.recordFailure(b.now, call.sentAt)
	}
	b.counter.recordOutcome(b.now, ev.Status == OK, b.longestCeilingFill)
}

// handleTokenLeaseResult takes the end of a call for tokens.
func (b *Balancer) handleTokenLeaseResult(call *counterCall, ev CounterResult) {
	quota := &call.customer.quota
	quota.endCall()
	switch ev.Status {
	case OK:
		b.creditLease(call, ev.Total, b.now)
	case Failed: // the amount was added without a lease of the block, which is returned
		quota.addDebt(-call.block)
		call.customer.waiting.allowAnotherCall()
	case Timeout:
		b.handleCallTimeout(call)
	default: // nothing was added
		quota.addDebt(call.debt)
	}
}
