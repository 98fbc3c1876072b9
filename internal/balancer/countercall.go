package balancer

import (
	"fmt"
	"hash/fnv"
	"time"

	"gapgap/internal/balancer/callpacer"
)

// Parameters of the counter's totals.
const (
	// counterWindow is the time during which gateways add to the same total of a customer.
	counterWindow = 30 * time.Second
	// counterTTL is how long the counter keeps a total. It keeps none for more than 60 s.
	counterTTL = 50 * time.Second
)

// Limits on how often the counter is called.
const (
	// maxPendingCalls is the maximum number of totals with pending calls.
	maxPendingCalls = 32
	// minCallFraction is the minimum fraction of the requests without tokens that call the counter.
	minCallFraction = 0.1
	// callLatencyTarget is the target latency of a call as a fraction of its timeout. Slower answers reduce the call
	// fraction.
	callLatencyTarget = 0.7
	// callFractionGrowth is the relative increase of the call fraction for an answer with no latency.
	callFractionGrowth = 0.2
	// callFractionDecrease is the factor applied to the call fraction for a failed call.
	callFractionDecrease = 0.8
	// degradedCallFraction is the call fraction at or below which the counter is considered unresponsive or overloaded.
	degradedCallFraction = 0.2
	// counterProbePause is the minimum interval between calls to a counter in that state.
	counterProbePause = 100 * time.Millisecond
	// counterProbePausePerGateway is the minimum of that interval per live gateway.
	counterProbePausePerGateway = 5 * time.Millisecond
	// maxLeasingFailures is the number of consecutive failed calls after which ceilings are no longer leased.
	maxLeasingFailures = 2
)

// Limits of the call pacer, which paces the calls of a large fleet (package callpacer).
const (
	// initialFleetCallRate is the initial rate of all gateways together, in calls per second.
	initialFleetCallRate = 260.0
	// minFleetCallRate is the minimum rate of all gateways together, in calls per second.
	minFleetCallRate = 40.0
	// maxCallRate is the maximum rate of one gateway, in calls per second.
	maxCallRate = 1000.0
	// callBurst is the maximum number of calls that a gateway may make at once.
	callBurst = 4.0
)

// callKind is the purpose of a counter call.
type callKind int

const (
	// tokenLeaseCall leases tokens of a quota, or only corrects the total of its bucket if the block is 0.
	tokenLeaseCall callKind = iota
	// ceilingLeaseCall leases units of a ceiling beyond the quota, in windows of its own.
	ceilingLeaseCall
	// windowFirstCall asks whether this gateway is the first to carry a bucket's deficit into a window.
	windowFirstCall
	// previousWindowCall requests the total of the previous window.
	previousWindowCall
	// bucketLevelCall requests the level of a bucket.
	bucketLevelCall
	// counterProbeCall checks whether the counter responds.
	counterProbeCall
	// correctionLockCall requests the lock under which a bucket is corrected.
	correctionLockCall
	// previousLockCall asks whether a gateway held that lock in the previous interval.
	previousLockCall
	// surplusCall corrects a bucket and detects whether a peer has done the same.
	surplusCall
)

// counterCall is a call to the counter that is pending or has timed out.
type counterCall struct {
	kind callKind
	// customer is nil for a counterProbeCall.
	customer *customer
	// terms are the terms on which the call was sent and is settled; zero for a counterProbeCall and a
	// ceilingLeaseCall.
	terms callTerms
	// lease is the lease for which a ceilingLeaseCall requests units.
	lease *leasedCeiling
	// block is the number of units requested.
	block float64
	// amount is the total number of units that a tokenLeaseCall adds, and debt is the part of it that was spent before.
	// Both are 0 for other kinds.
	amount float64
	debt   float64
	// window is the counter window of the total.
	window int64
	sentAt time.Duration
	// ticket identifies a call whose late answer can still be used; 0 if there is none.
	ticket uint64
	// correction is set for a correctionLockCall, a previousLockCall and a surplusCall.
	correction bucketCorrection
	// overShare is true for a lease of tokens that are sent beyond this gateway's share of the ceiling.
	overShare bool
}

// callTerms are the values of a customer's plan when a call was sent. The result is settled on them, since by then the
// customer may have another plan, or its plan other values.
type callTerms struct {
	// plan is that plan. A reload replaces plans instead of modifying them.
	plan *Plan
	// ceilingLeased is true if the plan's ceiling was leased from the counter.
	ceilingLeased bool
}

// callTermsOf returns the current terms of the plan with the given index.
func (b *Balancer) callTermsOf(plan int) callTerms {
	return callTerms{plan: &b.settings.Plans[plan], ceilingLeased: b.leaseTerms[plan].Rate > 0}
}

// counterCalls tracks this gateway's calls to the counter. The counter's state is known only from its answers: each
// timely answer increases the fraction of requests that call it, each late or failed one decreases it.
type counterCalls struct {
	// pending holds the pending calls by the counter's name for their total, in the order in which they were sent.
	pending map[uint64][]*counterCall
	// timedOut holds timed-out calls that may still be answered.
	timedOut timedOutCalls
	// callFraction is the fraction of the requests without tokens that call the counter, from 0 to 1.
	callFraction float64
	// callFractionCutAt is when callFraction was last decreased.
	callFractionCutAt time.Duration
	// lastCallAt is when tokens were last requested or the counter was last probed.
	lastCallAt time.Duration
	// failuresInRow is the number of failed calls since the last answered one.
	failuresInRow int
	// leasingFrom is the time from which ceilings may be leased.
	leasingFrom time.Duration
	// pacer limits the call rate in a large fleet.
	pacer *callpacer.Pacer
}

// isHealthy reports whether the counter responds well enough to be relied on.
func (calls *counterCalls) isHealthy() bool { return calls.callFraction > degradedCallFraction }

// isFull reports whether the limit of pending calls is reached.
func (calls *counterCalls) isFull() bool { return len(calls.pending) >= maxPendingCalls }

// add records a call that is sent for a total.
func (calls *counterCalls) add(name uint64, call *counterCall) {
	calls.pending[name] = append(calls.pending[name], call)
}

// take removes and returns the call to which an answer belongs, or nil. Answers for the same total arrive in the order
// of the calls.
func (calls *counterCalls) take(name uint64) *counterCall {
	pending := calls.pending[name]
	if len(pending) == 0 {
		return nil
	}
	calls.pending[name] = pending[1:]
	if len(pending) == 1 {
		delete(calls.pending, name)
	}
	return pending[0]
}

// recordCall records that tokens are requested or the counter is probed now.
func (calls *counterCalls) recordCall(now time.Duration) { calls.lastCallAt = now }

// recordAnswer increases the call fraction for a fast answer and decreases it for a slow one. Latency is a fraction of
// the call's timeout.
func (calls *counterCalls) recordAnswer(latency float64) {
	factor := 1 + callFractionGrowth*(1-latency/callLatencyTarget)
	calls.callFraction = min(1, max(degradedCallFraction, calls.callFraction*factor))
}

// recordFailure decreases the call fraction after a call without an answer. The calls of one connection end together,
// so calls sent before the last decrease are ignored.
func (calls *counterCalls) recordFailure(now, sentAt time.Duration) {
	if sentAt < calls.callFractionCutAt {
		return
	}
	calls.callFraction = max(minCallFraction, calls.callFraction*callFractionDecrease)
	calls.callFractionCutAt = now
}

// recordOutcome records whether a call was answered. After several consecutive failures, gateways use their even
// shares. They lease ceilings again once these shares have had time to fill since the last failure.
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

// newCallPacer returns the call pacer of this gateway.
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

// canCallCounter reports whether the counter may be called: it is healthy, or it is time to probe it.
func (b *Balancer) canCallCounter() bool {
	pause := max(counterProbePause, time.Duration(b.liveGateways())*counterProbePausePerGateway)
	return !b.handedOver && !b.counter.isFull() &&
		(b.counter.isHealthy() || b.now-b.counter.lastCallAt >= pause)
}

// callCounter adds an amount to a customer's total of the current window and requests a block of tokens, which may be
// 0.
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

// sendCall adds an amount to a named total on the counter, for a purpose other than leasing tokens. The customer may be
// nil.
func (b *Balancer) sendCall(
	cust *customer, terms callTerms, kind callKind, window int64, name uint64, amount float64,
) *counterCall {
	call := &counterCall{kind: kind, customer: cust, terms: terms, window: window, sentAt: b.now}
	b.counter.add(name, call)
	b.emit(CounterAdd{name, amount, counterTTL, 0})
	return call
}

// probeCounter calls the counter without a customer to check whether it responds.
func (b *Balancer) probeCounter() {
	b.sendCall(nil, callTerms{}, counterProbeCall, 0, counterName("test", int64(b.settings.Index)), 0)
}

// counterName returns the counter's 63-bit name for the total of a key in a window.
func counterName(key string, window int64) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %d", key, window) // writing to a hash never fails
	return hash.Sum64() >> 1
}

// counterWindowAt returns the number of the counter window at a given time.
func counterWindowAt(now time.Duration) int64 { return int64(now / counterWindow) }

// windowStart returns when a counter window starts.
func windowStart(window int64) time.Duration { return time.Duration(window) * counterWindow }

// handleCounterResult processes the result of a call.
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

// recordCounterResult updates the estimate of the counter's state from the result of a call. A rejected call shows that
// the counter is alive, but nothing about its load.
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

// handleTokenLeaseResult processes the result of a call for tokens.
func (b *Balancer) handleTokenLeaseResult(call *counterCall, ev CounterResult) {
	quota := &call.customer.quota
	quota.endCall()
	switch ev.Status {
	case OK:
		b.creditLease(call, ev.Total, b.now)
	case Failed: // the amount was added but the block is not leased, so it is returned
		quota.addDebt(-call.block)
		call.customer.waiting.allowAnotherCall()
	case Timeout:
		b.handleCallTimeout(call)
	default: // the counter added nothing
		quota.addDebt(call.debt)
	}
}
