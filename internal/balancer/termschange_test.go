package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"testing"
	"time"

	"gapgap/internal/balancer/quotashare"
)

// termsRun is a random run in which the terms change while calls are outstanding and units are reserved: customers move
// between plans, reloads add and remove quotas, ceilings and leases, a handover begins and is reverted, and shares and
// loans change.
type termsRun struct {
	*randomRun
	// handover is the state that was handed over and not yet returned, or nil.
	handover *HandoverState
	// timedOut holds the counter calls that ended as Timeout and may still be answered late.
	timedOut []CounterAdd
	// requests holds the requests as they were sent, by ID.
	requests map[uint64]Request
	// buckets holds the ceiling of each customer and plan that this gateway alone must not exceed.
	buckets map[ceilingKey]*ceilingBucket
}

// ceilingKey identifies a customer's ceiling on one plan.
type ceilingKey struct {
	customer string
	plan     int
}

// ceilingBucket is a token bucket that models a ceiling. A reload adds the capacity of the new ceiling to its level.
type ceilingBucket struct {
	rate, depth float64
	level       float64
	filledAt    time.Duration
}

// fill fills the bucket up to now.
func (bucket *ceilingBucket) fill(now time.Duration) {
	if bucket.level < bucket.depth {
		gained := bucket.rate * (now - bucket.filledAt).Seconds()
		bucket.level = min(bucket.depth, bucket.level+gained)
	}
	bucket.filledAt = now
}

// runTermsChange simulates a few seconds of random events and then ends all requests, after which nothing may be
// reserved or in flight.
func runTermsChange(t testing.TB, seed uint64, adjust func(*Settings)) {
	const steps, stepsWithRequests = 700, 400
	t.Helper()
	settings := testSettings()
	adjust(&settings)
	r := &termsRun{
		randomRun: &randomRun{
			t:             t,
			seed:          seed,
			rng:           rand.New(rand.NewPCG(seed, 5)),
			settings:      settings,
			endpoints:     testEndpoints(5),
			now:           time.Hour,
			totals:        map[uint64]float64{},
			notServing:    map[string]bool{},
			deadlines:     map[uint64]time.Duration{},
			classes:       map[uint64]int{},
			attemptCounts: map[uint64]int{},
			inFlight:      map[uint64]int{},
			ranOn:         map[uint64]string{},
		},
		requests: map[uint64]Request{},
		buckets:  map[ceilingKey]*ceilingBucket{},
	}
	r.balancer = newTestBalancer(t, settings, r.endpoints...)
	for step := range steps {
		r.now += time.Duration(r.rng.IntN(12)) * ms
		var events []Event
		if step <= stepsWithRequests {
			events = r.termsEvents()
			for range r.rng.IntN(4) {
				events = append(events, r.termsRequest())
			}
		}
		events = append(events, r.attemptResults()...)
		events = append(events, r.counterResults()...)
		r.step(append(events, r.dueTimers()...))
	}
	r.checkNothingHeld()
}

// step passes events to the Balancer, executes the actions and checks the invariants.
func (r *termsRun) step(events []Event) {
	r.t.Helper()
	defer func() {
		if cause := recover(); cause != nil {
			r.t.Fatalf("seed %d: Balancer panicked: %v\n%s", r.seed, cause, debug.Stack())
		}
	}()
	for _, action := range slices.Clone(r.balancer.Step(r.now, events)) {
		r.checkCeiling(action)
		switch action := action.(type) {
		case Admit:
			r.answer(action.ID, action)
		case HandoverReady:
			r.handover = &action.State
		default:
			r.handle(action)
		}
	}
	r.checkDeadlines()
	r.checkHeld()
}

// termsRequest returns a request; some are admission-only.
func (r *termsRun) termsRequest() Request {
	request := r.randomRequest()
	if r.rng.IntN(3) == 0 {
		request.AdmitOnly = true
		request.HoldFor = time.Duration(r.rng.IntN(300)) * ms
	}
	r.requests[request.ID] = request
	return request
}

// counterResults answers calls as randomRun does, but loses no totals, since a ceiling allows for only one loss. Some
// of the calls that timed out are answered late.
func (r *termsRun) counterResults() []Event {
	var events []Event
	for len(r.timedOut) > 0 && r.rng.IntN(10) == 0 {
		call := r.timedOut[0]
		r.timedOut = r.timedOut[1:]
		events = append(events, LateCounterResult{call.Ticket, OK, r.totals[call.Name]})
	}
	for len(r.calls) > 0 && r.rng.IntN(3) == 0 {
		call := r.calls[0]
		r.calls = r.calls[1:]
		status := []Status{OK, OK, OK, OK, Failed, Timeout, Rejected}[r.rng.IntN(7)]
		if status != Rejected {
			r.totals[call.Name] += call.Amount
		}
		if status == Timeout && call.Ticket != 0 {
			r.timedOut = append(r.timedOut, call)
		}
		events = append(events, CounterResult{call.Name, status, r.totals[call.Name]})
	}
	return events
}

// termsEvents returns events that change the terms, or ends a request.
func (r *termsRun) termsEvents() []Event {
	switch {
	case r.rng.IntN(20) == 0:
		return []Event{r.reload()}
	case r.rng.IntN(25) == 0 && r.handover == nil:
		return []Event{BeginHandover{}}
	case r.rng.IntN(8) == 0 && r.handover != nil:
		state := *r.handover
		r.handover = nil
		return []Event{ImportHandover{State: state}}
	case r.settings.LeasedShares && r.rng.IntN(4) == 0:
		return []Event{r.shareEvent()}
	case r.rng.IntN(30) == 0 && r.lastID > 0:
		id := 1 + uint64(r.rng.IntN(int(r.lastID)))
		delete(r.deadlines, id)
		return []Event{RequestDone{ID: id}}
	}
	return nil
}

// shareEvent changes this gateway's share, or requests or grants a loan. The values are chosen so that this gateway's
// part of a ceiling never exceeds the ceiling.
func (r *termsRun) shareEvent() Event {
	customer, plan := fmt.Sprint("c", r.rng.IntN(6)), r.rng.IntN(4)
	ceiling := quotashare.Bucket{Rate: r.settings.Plans[plan].CeilingRate, Depth: r.settings.Plans[plan].CeilingBurst}
	switch r.rng.IntN(3) {
	case 0:
		return ShareUpdate{
			Fraction: []float64{0, 0.25, 0.5}[r.rng.IntN(3)],
			Until:    r.now + time.Duration(r.rng.IntN(600))*ms,
			Excluded: r.rng.IntN(6) == 0,
		}
	case 1:
		return LoanRequest{From: 1, Customer: customer, Plan: plan, At: r.now}
	default:
		part := ceiling.Scale(0.4)
		at := r.now - time.Duration(r.rng.IntN(1000))*ms
		return LoanGranted{From: 1, Customer: customer, Plan: plan, At: at, Rate: part.Rate, Depth: part.Depth}
	}
}

// reload changes the quota, ceiling or in-flight limit of one plan, or whether ceilings are leased.
func (r *termsRun) reload() Event {
	initial := testSettings()
	next := r.settings
	next.Plans = slices.Clone(next.Plans)
	index := r.rng.IntN(len(next.Plans))
	plan := &next.Plans[index]
	switch r.rng.IntN(5) {
	case 0:
		plan.CeilingRate, plan.CeilingBurst = 0, 0
	case 1:
		plan.CeilingRate = 5 + 40*r.rng.Float64()
		plan.CeilingBurst = plan.CeilingRate * (0.5 + 2*r.rng.Float64())
	case 2:
		plan.Rate, plan.Burst = 0, 0
	case 3:
		plan.Rate, plan.Burst = 1+10*r.rng.Float64(), 2+20*r.rng.Float64()
		plan.MaxInFlight = initial.Plans[index].MaxInFlight * r.rng.IntN(2)
	case 4:
		next.LeaseCeilings = !next.LeaseCeilings && !next.LeasedShares
	}
	r.settings = next
	for key, bucket := range r.buckets {
		if key.plan == index {
			bucket.fill(r.now)
			bucket.rate, bucket.depth = plan.CeilingRate, plan.CeilingBurst
			bucket.level += plan.CeilingBurst
		}
	}
	return SettingsUpdate{Settings: next, EvidenceFrom: []int{0, 1, 2}}
}

// checkCeiling takes the units of a request's first attempt or admission from its ceiling and checks that they are
// available.
func (r *termsRun) checkCeiling(action Action) {
	r.t.Helper()
	var id uint64
	switch action := action.(type) {
	case Dispatch:
		if r.attemptCounts[action.ID] > 0 {
			return
		}
		id = action.ID
	case Admit:
		id = action.ID
	default:
		return
	}
	request := r.requests[id]
	plan := r.settings.Plans[request.Plan]
	if plan.CeilingRate == 0 {
		return
	}
	key := ceilingKey{request.Customer, request.Plan}
	bucket := r.buckets[key]
	if bucket == nil {
		bucket = &ceilingBucket{plan.CeilingRate, plan.CeilingBurst, plan.CeilingBurst, r.now}
		r.buckets[key] = bucket
	}
	bucket.fill(r.now)
	bucket.level -= request.Units
	if bucket.level < -1e-6 {
		r.t.Fatalf("seed %d: %v units over the ceiling of %+v", r.seed, -bucket.level, key)
	}
}

// checkHeld checks that the units and in-flight counts of each customer match its requests.
func (r *termsRun) checkHeld() {
	r.t.Helper()
	reserved := map[*customer]float64{}
	inFlight := map[*customer]int{}
	for _, req := range r.balancer.requests {
		if req.ceiling.reserved && req.ceiling.source == fromOwnShare {
			reserved[req.customer] += req.units
		}
		if req.inFlight {
			inFlight[req.customer]++
		}
	}
	for _, cust := range r.balancer.customers.order {
		if held := cust.ceiling.reserved; held < 0 || math.Abs(held-reserved[cust]) > 1e-9 {
			r.t.Fatalf("seed %d: customer %s has %v units reserved, its requests have %v",
				r.seed, cust.name, held, reserved[cust])
		}
		if cust.inFlight != inFlight[cust] {
			r.t.Fatalf("seed %d: customer %s has %d requests in flight, its requests show %d",
				r.seed, cust.name, cust.inFlight, inFlight[cust])
		}
		for name, value := range map[string]float64{
			"tokens":          cust.quota.tokens,
			"fallback tokens": cust.quota.fallbackTokens,
			"debt":            cust.quota.debt,
			"bucket level":    cust.bucket.level,
			"ceiling tokens":  cust.ceiling.tokens,
		} {
			if math.IsNaN(value) || math.IsInf(value, 0) {
				r.t.Fatalf("seed %d: customer %s has %v %s", r.seed, cust.name, value, name)
			}
		}
		if cust.bucket.emptyUntil < 0 || cust.bucket.carriedAt < 0 || cust.quota.tokensValidFrom < 0 {
			r.t.Fatalf("seed %d: customer %s has a negative time: %+v %+v", r.seed, cust.name, cust.bucket, cust.quota)
		}
	}
}

// checkNothingHeld ends the remaining attempts and holds, and checks that no request is left and no units are reserved.
func (r *termsRun) checkNothingHeld() {
	r.t.Helper()
	for range 400 {
		r.now += tickInterval
		var results []Event
		for _, attempt := range r.attempts {
			result := resultOf(attempt.Dispatch, Timeout, r.now-attempt.sentAt)
			result.Attempt = attempt.number
			r.ranOn[attempt.ID] = attempt.Endpoint
			r.inFlight[attempt.ID]--
			results = append(results, result)
		}
		r.attempts = nil
		r.step(append(results, r.dueTimers()...))
	}
	if len(r.deadlines) > 0 || len(r.balancer.requests) > 0 || r.balancer.endpoints.queuedRequests != 0 {
		r.t.Fatalf("seed %d: %d requests without an answer, %d in the request table, %d queued",
			r.seed, len(r.deadlines), len(r.balancer.requests), r.balancer.endpoints.queuedRequests)
	}
	for _, cust := range r.balancer.customers.order {
		if cust.ceiling.reserved != 0 || cust.inFlight != 0 {
			r.t.Fatalf("seed %d: customer %s has %v units reserved and %d requests in flight",
				r.seed, cust.name, cust.ceiling.reserved, cust.inFlight)
		}
	}
}

// TestTermsChangeBetweenGivenAndTakenBack verifies that a counter call or a reservation is settled on the terms in
// effect when it was made, whatever the customer's plan is when the answer arrives or the units are returned. Otherwise
// the Balancer could panic, lose requests, hold units forever or exceed a ceiling.
func TestTermsChangeBetweenGivenAndTakenBack(t *testing.T) {
	cases := map[string]func(*Settings){
		"even shares":    func(*Settings) {},
		"leased ceiling": func(s *Settings) { s.LeaseCeilings = true },
		"leased shares":  func(s *Settings) { s.LeasedShares = true },
		"large fleet":    func(s *Settings) { s.Gateways = 2 * largeFleetGateways },
		"no counter":     func(s *Settings) { s.UseCounter = false },
	}
	for name, adjust := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				runTermsChange(t, seed, adjust)
			}
		})
	}
}

// TestReloadGivesQuotaWhileRequestIsQueued verifies that a queued request that paid no units refunds none when it ends,
// even if a reload has given its plan a quota in the meantime.
func TestReloadGivesQuotaWhileRequestIsQueued(t *testing.T) {
	settings := testSettings()
	settings.Plans[3].Rate, settings.Plans[3].Burst = 0, 0
	b := newTestBalancer(t, settings) // the request waits because there is no endpoint
	b.Step(time.Second, []Event{testRequest(1, 0, 3)})
	next := settings
	next.Plans = slices.Clone(settings.Plans)
	next.Plans[3].Rate, next.Plans[3].Burst = 100, 100
	b.Step(time.Second, []Event{SettingsUpdate{Settings: next, EvidenceFrom: []int{0, 1, 2}}, RequestDone{ID: 1}})
	if tokens := b.customers.find("c").quota.tokens; tokens != 0 {
		t.Errorf("got %v tokens, want 0 because none were leased", tokens)
	}
}

// TestReloadChangesTurnsOfSparseShares verifies that a reload may change the length of the turns in which gateways with
// sparse shares have a unit. The last turn used is numbered in the previous turns and must not block the new ones.
func TestReloadChangesTurnsOfSparseShares(t *testing.T) {
	settings := largeFleetSettings(300)
	b := newTestBalancer(t, settings, testEndpoints(3)...)
	b.Step(time.Hour, []Event{testRequest(1, 0, 1)})
	cust := b.customers.find("c")
	turns, ok := ceilingTurns(cust, &b.settings.Plans[1])
	if !ok {
		t.Fatal("the plan has no turns")
	}
	cust.ceiling.useTurn(turns, b.settings.Index, time.Hour)
	next := settings
	next.Plans = slices.Clone(settings.Plans)
	next.Plans[1].CeilingRate = 15
	b.Step(time.Hour, []Event{SettingsUpdate{Settings: next, EvidenceFrom: []int{0, 1, 2}}})
	plan := &b.settings.Plans[1]
	newTurns, _ := ceilingTurns(cust, plan)
	reloadTurn, _ := newTurns.At(time.Hour, b.settings.Index)
	units := 0.0
	for now := time.Hour; now < time.Hour+5*time.Minute; now += tickInterval {
		b.Step(now, nil)
		got := b.refillCeiling(cust, plan)
		if turn, _ := newTurns.At(now, b.settings.Index); turn == reloadTurn && got > 0 {
			t.Fatalf("got a second unit in the turn of the reload")
		}
		units = max(units, got)
	}
	if units != 1 {
		t.Errorf("got at most %v units at a time within five minutes, want 1", units)
	}
}

// TestCustomerWithLoanMovesToOtherPlan verifies that a loan of the previous plan's ceiling does not count toward the
// ceiling of the plan to which the customer moves.
func TestCustomerWithLoanMovesToOtherPlan(t *testing.T) {
	settings := testSettings()
	settings.LeasedShares = true
	settings.Plans[2] = Plan{PriorityFactor: 1, OverQuotaWeight: 1, CeilingRate: 1, CeilingBurst: 1}
	b := newTestBalancer(t, settings, testEndpoints(3)...)
	now := time.Hour
	b.Step(now, []Event{ShareUpdate{Fraction: 0.5, Until: now + time.Hour}, testRequest(1, 0, 1)})
	b.Step(now, []Event{LoanGranted{From: 1, Customer: "c", Plan: 1, At: now, Rate: 10, Depth: 20}})
	b.Step(now, []Event{testRequest(2, 0, 2)})
	cust := b.customers.find("c")
	share := b.ceilingShare(cust, &b.settings.Plans[2])
	if share.Rate > 1 || share.Depth > 1 {
		t.Errorf("share is %+v, ceiling is only 1 unit/s with a burst of 1 unit", share)
	}
}
