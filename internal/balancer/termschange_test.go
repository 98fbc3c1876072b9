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

// termsPlay is a random play in which the terms change while calls are out and units are held: customers move between
// plans, reloads give and take quotas, ceilings and leases, a hand-over is begun and taken back, and shares and loans
// come and go.
type termsPlay struct {
	*randomPlay
	// handover is the state that was handed over and not yet taken back.
	handover *HandoverState
	// timedOut has the calls that ended as Timeout and may be answered late.
	timedOut []CounterAdd
	// requests has what each request came with, by ID.
	requests map[uint64]Request
	// buckets has the ceiling of each customer and plan as it must hold at this gateway alone.
	buckets map[ceilingKey]*ceilingBucket
}

// ceilingKey names a customer's ceiling.
type ceilingKey struct {
	customer string
	plan     int
}

// ceilingBucket is the token bucket that a ceiling stands for. A reload adds the store of the new ceiling.
type ceilingBucket struct {
	rate, depth float64
	level       float64
	filledAt    time.Duration
}

// fill moves the bucket on to a time.
func (bucket *ceilingBucket) fill(now time.Duration) {
	if bucket.level < bucket.depth {
		gained := bucket.rate * (now - bucket.filledAt).Seconds()
		bucket.level = min(bucket.depth, bucket.level+gained)
	}
	bucket.filledAt = now
}

// runTermsChange plays some seconds and ends with all requests answered, so that nothing may be held any more.
func runTermsChange(t testing.TB, seed uint64, adjust func(*Settings)) {
	const steps, stepsWithRequests = 700, 400
	t.Helper()
	settings := testSettings()
	adjust(&settings)
	p := &termsPlay{
		randomPlay: &randomPlay{
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
	p.balancer = newTestBalancer(t, settings, p.endpoints...)
	for step := range steps {
		p.now += time.Duration(p.rng.IntN(12)) * ms
		var events []Event
		if step <= stepsWithRequests {
			events = p.termsEvents()
			for range p.rng.IntN(4) {
				events = append(events, p.termsRequest())
			}
		}
		events = append(events, p.attemptResults()...)
		events = append(events, p.counterResults()...)
		p.step(append(events, p.dueTimers()...))
	}
	p.checkNothingHeld()
}

// step hands over events, carries the actions out and checks what must hold.
func (p *termsPlay) step(events []Event) {
	p.t.Helper()
	defer func() {
		if cause := recover(); cause != nil {
			p.t.Fatalf("seed %d: the module panicked: %v\n%s", p.seed, cause, debug.Stack())
		}
	}()
	for _, action := range slices.Clone(p.balancer.Step(p.now, events)) {
		p.checkCeiling(action)
		switch action := action.(type) {
		case Admit:
			p.answer(action.ID, action)
		case HandoverReady:
			p.handover = &action.State
		default:
			p.handle(action)
		}
	}
	p.checkDeadlines()
	p.checkHeld()
}

// termsRequest returns a request; some are for admission only.
func (p *termsPlay) termsRequest() Request {
	request := p.randomRequest()
	if p.rng.IntN(3) == 0 {
		request.AdmitOnly = true
		request.HoldFor = time.Duration(p.rng.IntN(300)) * ms
	}
	p.requests[request.ID] = request
	return request
}

// counterResults answers calls as randomPlay does, but no total is lost: a ceiling allows for one loss only. Some of
// the calls that timed out are answered late.
func (p *termsPlay) counterResults() []Event {
	var events []Event
	for len(p.timedOut) > 0 && p.rng.IntN(10) == 0 {
		call := p.timedOut[0]
		p.timedOut = p.timedOut[1:]
		events = append(events, LateCounterResult{call.Ticket, OK, p.totals[call.Name]})
	}
	for len(p.calls) > 0 && p.rng.IntN(3) == 0 {
		call := p.calls[0]
		p.calls = p.calls[1:]
		status := []Status{OK, OK, OK, OK, Failed, Timeout, Rejected}[p.rng.IntN(7)]
		if status != Rejected {
			p.totals[call.Name] += call.Amount
		}
		if status == Timeout && call.Ticket != 0 {
			p.timedOut = append(p.timedOut, call)
		}
		events = append(events, CounterResult{call.Name, status, p.totals[call.Name]})
	}
	return events
}

// termsEvents returns events that change the terms.
func (p *termsPlay) termsEvents() []Event {
	switch {
	case p.rng.IntN(20) == 0:
		return []Event{p.reload()}
	case p.rng.IntN(25) == 0 && p.handover == nil:
		return []Event{BeginHandover{}}
	case p.rng.IntN(8) == 0 && p.handover != nil:
		state := *p.handover
		p.handover = nil
		return []Event{ImportHandover{State: state}}
	case p.settings.LeasedShares && p.rng.IntN(4) == 0:
		return []Event{p.shareEvent()}
	case p.rng.IntN(30) == 0 && p.lastID > 0:
		id := 1 + uint64(p.rng.IntN(int(p.lastID)))
		delete(p.deadlines, id)
		return []Event{RequestDone{ID: id}}
	}
	return nil
}

// shareEvent changes this gateway's share, or asks for or grants a loan. The parts of a ceiling that it has so never
// exceed the ceiling.
func (p *termsPlay) shareEvent() Event {
	customer, plan := fmt.Sprint("c", p.rng.IntN(6)), p.rng.IntN(4)
	ceiling := quotashare.Bucket{Rate: p.settings.Plans[plan].CeilingRate, Depth: p.settings.Plans[plan].CeilingBurst}
	switch p.rng.IntN(3) {
	case 0:
		return ShareUpdate{
			Fraction: []float64{0, 0.25, 0.5}[p.rng.IntN(3)],
			Until:    p.now + time.Duration(p.rng.IntN(600))*ms,
			Excluded: p.rng.IntN(6) == 0,
		}
	case 1:
		return LoanRequest{From: 1, Customer: customer, Plan: plan, At: p.now}
	default:
		part := ceiling.Scale(0.4)
		at := p.now - time.Duration(p.rng.IntN(1000))*ms
		return LoanGranted{From: 1, Customer: customer, Plan: plan, At: at, Rate: part.Rate, Depth: part.Depth}
	}
}

// reload changes quota, ceiling or limit of one plan, or whether ceilings are leased.
func (p *termsPlay) reload() Event {
	initial := testSettings()
	next := p.settings
	next.Plans = slices.Clone(next.Plans)
	index := p.rng.IntN(len(next.Plans))
	plan := &next.Plans[index]
	switch p.rng.IntN(5) {
	case 0:
		plan.CeilingRate, plan.CeilingBurst = 0, 0
	case 1:
		plan.CeilingRate = 5 + 40*p.rng.Float64()
		plan.CeilingBurst = plan.CeilingRate * (0.5 + 2*p.rng.Float64())
	case 2:
		plan.Rate, plan.Burst = 0, 0
	case 3:
		plan.Rate, plan.Burst = 1+10*p.rng.Float64(), 2+20*p.rng.Float64()
		plan.MaxInFlight = initial.Plans[index].MaxInFlight * p.rng.IntN(2)
	case 4:
		next.LeaseCeilings = !next.LeaseCeilings && !next.LeasedShares
	}
	p.settings = next
	for key, bucket := range p.buckets {
		if key.plan == index {
			bucket.fill(p.now)
			bucket.rate, bucket.depth = plan.CeilingRate, plan.CeilingBurst
			bucket.level += plan.CeilingBurst
		}
	}
	return SettingsUpdate{Settings: next, EvidenceFrom: []int{0, 1, 2}}
}

// checkCeiling takes the first attempt or the admission of a request out of its ceiling.
func (p *termsPlay) checkCeiling(action Action) {
	p.t.Helper()
	var id uint64
	switch action := action.(type) {
	case Dispatch:
		if p.attemptCounts[action.ID] > 0 {
			return
		}
		id = action.ID
	case Admit:
		id = action.ID
	default:
		return
	}
	request := p.requests[id]
	plan := p.settings.Plans[request.Plan]
	if plan.CeilingRate == 0 {
		return
	}
	key := ceilingKey{request.Customer, request.Plan}
	bucket := p.buckets[key]
	if bucket == nil {
		bucket = &ceilingBucket{plan.CeilingRate, plan.CeilingBurst, plan.CeilingBurst, p.now}
		p.buckets[key] = bucket
	}
	bucket.fill(p.now)
	bucket.level -= request.Units
	if bucket.level < -1e-6 {
		p.t.Fatalf("seed %d: %v over the ceiling of %+v", p.seed, -bucket.level, key)
	}
}

// checkHeld compares what customers hold with the requests that hold it.
func (p *termsPlay) checkHeld() {
	p.t.Helper()
	reserved := map[*customer]float64{}
	inFlight := map[*customer]int{}
	for _, req := range p.balancer.requests {
		if req.ceiling.reserved && req.ceiling.source == fromEvenShare {
			reserved[req.customer] += req.units
		}
		if req.inFlight {
			inFlight[req.customer]++
		}
	}
	for _, cust := range p.balancer.customers.order {
		if held := cust.ceiling.reserved; held < 0 || math.Abs(held-reserved[cust]) > 1e-9 {
			p.t.Fatalf("seed %d: %s has %v units reserved, its requests %v", p.seed, cust.name, held, reserved[cust])
		}
		if cust.inFlight != inFlight[cust] {
			p.t.Fatalf("seed %d: %s has %d in flight, its requests %d",
				p.seed, cust.name, cust.inFlight, inFlight[cust])
		}
		for name, value := range map[string]float64{
			"tokens":          cust.quota.tokens,
			"fallback tokens": cust.quota.fallbackTokens,
			"debt":            cust.quota.debt,
			"bucket level":    cust.bucket.level,
			"ceiling tokens":  cust.ceiling.tokens,
		} {
			if math.IsNaN(value) || math.IsInf(value, 0) {
				p.t.Fatalf("seed %d: %s has %v %s", p.seed, cust.name, value, name)
			}
		}
		if cust.bucket.emptyUntil < 0 || cust.bucket.carriedAt < 0 || cust.quota.tokensValidFrom < 0 {
			p.t.Fatalf("seed %d: %s has a time before the start: %+v %+v", p.seed, cust.name, cust.bucket, cust.quota)
		}
	}
}

// checkNothingHeld ends the attempts and holds that are left and checks that no request and no unit is held.
func (p *termsPlay) checkNothingHeld() {
	p.t.Helper()
	for range 400 {
		p.now += tickInterval
		var results []Event
		for _, attempt := range p.attempts {
			result := resultOf(attempt.Dispatch, Timeout, p.now-attempt.sentAt)
			result.Attempt = attempt.number
			p.ranOn[attempt.ID] = attempt.Endpoint
			p.inFlight[attempt.ID]--
			results = append(results, result)
		}
		p.attempts = nil
		p.step(append(results, p.dueTimers()...))
	}
	if len(p.deadlines) > 0 || len(p.balancer.requests) > 0 || p.balancer.endpoints.queuedRequests != 0 {
		p.t.Fatalf("seed %d: %d requests without an answer, %d kept, %d queued",
			p.seed, len(p.deadlines), len(p.balancer.requests), p.balancer.endpoints.queuedRequests)
	}
	for _, cust := range p.balancer.customers.order {
		if cust.ceiling.reserved != 0 || cust.inFlight != 0 {
			p.t.Fatalf("seed %d: %s holds %v units and %d places",
				p.seed, cust.name, cust.ceiling.reserved, cust.inFlight)
		}
	}
}

// What was agreed when a call was sent or units were reserved is settled on those terms, whatever the customer's plan
// has when the answer or the units come back: no panic, no lost request, no unit held for ever, no ceiling passed.
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

// A reload may give a quota to a plan while a request of it is queued that paid nothing: its end refunds nothing.
func TestReloadGivesQuotaWhileRequestIsQueued(t *testing.T) {
	settings := testSettings()
	settings.Plans[3].Rate, settings.Plans[3].Burst = 0, 0
	b := newTestBalancer(t, settings) // without endpoints the request waits
	b.Step(time.Second, []Event{testRequest(1, 0, 3)})
	next := settings
	next.Plans = slices.Clone(settings.Plans)
	next.Plans[3].Rate, next.Plans[3].Burst = 100, 100
	b.Step(time.Second, []Event{SettingsUpdate{Settings: next, EvidenceFrom: []int{0, 1, 2}}, RequestDone{ID: 1}})
	if tokens := b.customers.find("c").quota.tokens; tokens != 0 {
		t.Errorf("%v tokens that nobody leased", tokens)
	}
}

// A reload may change the length of the turns in which gateways with sparse shares have a unit: the turn that was used
// last is one of the former turns and must not hold the new ones back.
func TestReloadChangesTurnsOfSparseShares(t *testing.T) {
	settings := largeFleetSettings(300)
	b := newTestBalancer(t, settings, testEndpoints(3)...)
	b.Step(time.Hour, []Event{testRequest(1, 0, 1)})
	cust := b.customers.find("c")
	turns, ok := ceilingTurns(cust, &b.settings.Plans[1])
	if !ok {
		t.Fatal("the plan has no turns")
	}
	cust.ceiling.drawTurn(turns, b.settings.Index, time.Hour)
	next := settings
	next.Plans = slices.Clone(settings.Plans)
	next.Plans[1].CeilingRate = 15
	b.Step(time.Hour, []Event{SettingsUpdate{Settings: next, EvidenceFrom: []int{0, 1, 2}}})
	plan := &b.settings.Plans[1]
	longer, _ := ceilingTurns(cust, plan)
	changedIn, _ := longer.At(time.Hour, b.settings.Index)
	units := 0.0
	for now := time.Hour; now < time.Hour+5*time.Minute; now += tickInterval {
		b.Step(now, nil)
		got := b.refillCeiling(cust, plan)
		if turn, _ := longer.At(now, b.settings.Index); turn == changedIn && got > 0 {
			t.Fatalf("a unit in the turn of the reload, in which one was used before")
		}
		units = max(units, got)
	}
	if units != 1 {
		t.Errorf("%v units in five minutes of turns, want one at a time", units)
	}
}

// A loan of a former plan's ceiling is no part of the ceiling of the plan that the customer moves to.
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
		t.Errorf("the share is %+v of a ceiling of 1 unit a second and 1 unit", share)
	}
}
