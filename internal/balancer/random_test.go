package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// randomRun drives one Balancer with a random but valid sequence of events and holds the state needed to check its
// actions.
type randomRun struct {
	t         testing.TB
	seed      uint64
	rng       *rand.Rand
	settings  Settings
	balancer  *Balancer
	endpoints []Endpoint
	now       time.Duration
	lastID    uint64
	// attempts, calls and timers hold those without a result.
	attempts []randomAttempt
	calls    []CounterAdd
	timers   []SetTimer
	// totals holds the counter's totals by name.
	totals map[uint64]float64
	// notServing holds the endpoints that the endpoint list does not show as serving.
	notServing map[string]bool
	// deadlines holds the requests without a final answer, by ID.
	deadlines map[uint64]time.Duration
	// classes, attemptCounts and inFlight are indexed by request ID.
	classes       map[uint64]int
	attemptCounts map[uint64]int
	inFlight      map[uint64]int
	// ranOn holds the endpoint on which a request may have run.
	ranOn map[uint64]string
	// actions holds all actions so far.
	actions []Action
}

// randomAttempt is an attempt without a result.
type randomAttempt struct {
	Dispatch
	number int
	sentAt time.Duration
}

// runRandomEvents simulates a few seconds of random events, checks the invariants after each step, and returns all
// actions.
func runRandomEvents(t testing.TB, seed uint64) []Action {
	const steps = 600
	const stepsWithRequests = 400
	t.Helper()
	r := &randomRun{
		t:             t,
		seed:          seed,
		rng:           rand.New(rand.NewPCG(seed, 2)),
		settings:      testSettings(),
		endpoints:     testEndpoints(5),
		totals:        map[uint64]float64{},
		notServing:    map[string]bool{},
		deadlines:     map[uint64]time.Duration{},
		classes:       map[uint64]int{},
		attemptCounts: map[uint64]int{},
		inFlight:      map[uint64]int{},
		ranOn:         map[uint64]string{},
	}
	r.balancer = newTestBalancer(t, r.settings, r.endpoints...)
	for step := range steps {
		r.now += time.Duration(r.rng.IntN(12)) * ms
		var events []Event
		for range r.rng.IntN(4) {
			if step <= stepsWithRequests {
				events = append(events, r.randomRequest())
			}
		}
		events = append(events, r.attemptResults()...)
		events = append(events, r.counterResults()...)
		if r.rng.IntN(40) == 0 {
			events = append([]Event{r.endpointUpdate()}, events...)
		}
		events = append(events, r.dueTimers()...)
		for _, action := range slices.Clone(r.balancer.Step(r.now, events)) {
			r.actions = append(r.actions, action)
			r.handle(action)
		}
		r.checkDeadlines()
	}
	return r.actions
}

// randomRequest returns a request with a random class, plan and customer.
func (r *randomRun) randomRequest() Request {
	r.lastID++
	request := Request{
		ID:       r.lastID,
		Class:    r.rng.IntN(3),
		Plan:     r.rng.IntN(4),
		Customer: fmt.Sprint("c", r.rng.IntN(6)),
		TimeLeft: time.Duration(r.rng.IntN(2000)) * ms,
		Units:    1 + float64(r.rng.IntN(3)),
		Gateways: r.rng.IntN(3),
	}
	r.deadlines[request.ID] = r.now + request.TimeLeft
	r.classes[request.ID] = request.Class
	return request
}

// attemptResults ends some attempts, about half of them with OK.
func (r *randomRun) attemptResults() []Event {
	var events []Event
	for i := 0; i < len(r.attempts); i++ {
		if r.rng.IntN(8) != 0 {
			continue
		}
		attempt := r.attempts[i]
		r.attempts = slices.Delete(r.attempts, i, i+1)
		status := Status(r.rng.IntN(8))
		if r.rng.IntN(2) == 0 {
			status = OK
		}
		r.inFlight[attempt.ID]--
		_, isOpen := r.deadlines[attempt.ID]
		switch status {
		case OK:
			delete(r.deadlines, attempt.ID)
		case Rejected, ConnectFailed, NotSent:
		default:
			r.ranOn[attempt.ID] = attempt.Endpoint
		}
		result := resultOf(attempt.Dispatch, status, r.now-attempt.sentAt)
		result.Attempt = attempt.number
		result.RequestClosed = status == OK || !isOpen
		events = append(events, result)
	}
	return events
}

// counterResults answers some counter calls. Some time out or are rejected, and occasionally the counter loses a total.
func (r *randomRun) counterResults() []Event {
	var events []Event
	for len(r.calls) > 0 && r.rng.IntN(2) == 0 {
		call := r.calls[0]
		r.calls = r.calls[1:]
		status := []Status{OK, OK, OK, Timeout, Rejected}[r.rng.IntN(5)]
		if status != Rejected {
			r.totals[call.Name] += call.Amount
		}
		if r.rng.IntN(50) == 0 {
			r.totals[call.Name] = 0
		}
		events = append(events, CounterResult{call.Name, status, r.totals[call.Name]})
	}
	return events
}

// endpointUpdate changes the state of one endpoint.
func (r *randomRun) endpointUpdate() Event {
	entry := r.endpoints[r.rng.IntN(len(r.endpoints))]
	entry.State = EndpointState(r.rng.IntN(3))
	entry.StartedAt = r.now * time.Duration(r.rng.IntN(2))
	r.notServing[entry.Name] = entry.State != Serving
	return EndpointUpdate{Kind: Delta, Entries: []Endpoint{entry}}
}

// dueTimers fires the timers that are due.
func (r *randomRun) dueTimers() []Event {
	var events []Event
	var later []SetTimer
	for _, timer := range r.timers {
		if timer.At <= r.now {
			events = append(events, TimerFired{timer.Cookie})
		} else {
			later = append(later, timer)
		}
	}
	r.timers = later
	return events
}

// handle checks that an action is allowed and executes it.
func (r *randomRun) handle(action Action) {
	r.t.Helper()
	switch action := action.(type) {
	case Dispatch:
		r.checkDispatch(action)
		r.attempts = append(r.attempts, randomAttempt{action, r.attemptCounts[action.ID], r.now})
		r.attemptCounts[action.ID]++
	case Reject:
		_, mayHaveRun := r.ranOn[action.ID]
		if (mayHaveRun || r.inFlight[action.ID] > 0) && r.classes[action.ID] != 0 {
			r.t.Fatalf("seed %d: rejected a request that may have run: %v", r.seed, action)
		}
		r.answer(action.ID, action)
	case Fail:
		r.answer(action.ID, action)
	case CounterAdd:
		r.calls = append(r.calls, action)
	case SetTimer:
		if action.At <= r.now {
			action.At = r.now + ms
		}
		r.timers = append(r.timers, action)
	}
}

// checkDispatch checks that an attempt is the request's only one in flight, cannot take effect a second time, and goes
// to a serving endpoint.
func (r *randomRun) checkDispatch(dispatch Dispatch) {
	r.t.Helper()
	if _, isOpen := r.deadlines[dispatch.ID]; !isOpen {
		r.t.Fatalf("seed %d: dispatched after the request ended: %v", r.seed, dispatch)
	}
	if r.notServing[dispatch.Endpoint] {
		r.t.Fatalf("seed %d: dispatched to an endpoint that is not serving: %v", r.seed, dispatch)
	}
	if ranOn, mayHaveRun := r.ranOn[dispatch.ID]; mayHaveRun {
		class := r.classes[dispatch.ID]
		sameCell := cellOf(r.endpoints, ranOn) == cellOf(r.endpoints, dispatch.Endpoint)
		if class == 2 || class == 1 && !sameCell {
			r.t.Fatalf("seed %d: may take effect twice: %v", r.seed, dispatch)
		}
	}
	r.inFlight[dispatch.ID]++
	if r.inFlight[dispatch.ID] > 1 || r.attemptCounts[dispatch.ID] >= r.settings.MaxAttempts {
		r.t.Fatalf("seed %d: too many attempts: %v", r.seed, dispatch)
	}
}

// answer records the final answer of a request and checks that it is the only one.
func (r *randomRun) answer(id uint64, action Action) {
	r.t.Helper()
	if _, isOpen := r.deadlines[id]; !isOpen {
		r.t.Fatalf("seed %d: answered after the request ended: %v", r.seed, action)
	}
	delete(r.deadlines, id)
}

// checkDeadlines checks that every request gets a final answer at most 20 ms after its deadline.
func (r *randomRun) checkDeadlines() {
	r.t.Helper()
	for id, deadline := range r.deadlines {
		if r.now > deadline+20*ms {
			r.t.Fatalf("seed %d: request %d has no final answer after its deadline", r.seed, id)
		}
	}
}

// cellOf returns the cell of an endpoint, or -1 if it is not listed.
func cellOf(list []Endpoint, name string) int {
	for _, entry := range list {
		if entry.Name == name {
			return entry.Cell
		}
	}
	return -1
}

// TestDeterminism verifies that equal settings, seeds and events produce equal actions.
func TestDeterminism(t *testing.T) {
	for seed := range uint64(30) {
		if !reflect.DeepEqual(runRandomEvents(t, seed), runRandomEvents(t, seed)) {
			t.Errorf("seed %d: two runs differ", seed)
		}
	}
}

// FuzzRandomEvents verifies the invariants of runRandomEvents for arbitrary seeds.
func FuzzRandomEvents(f *testing.F) {
	for seed := range uint64(100) {
		f.Add(seed + 1000)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { runRandomEvents(t, seed) })
}

// TestUnusualSettingsAndLists verifies that unusual indexes, zones and endpoint lists, which a configuration or
// discovery may contain, cause no panic and leave no request without an answer.
func TestUnusualSettingsAndLists(t *testing.T) {
	for _, gateways := range []int{1, 2, 12, 300} {
		for _, index := range []int{-1, 0, gateways - 1, gateways, 1 << 40} {
			for seed := range uint64(6) {
				r := newUnusualRun(t, gateways, index, seed)
				r.run()
				if len(r.open) > 0 {
					t.Fatalf("gateways %d, index %d, seed %d: %d requests without an answer",
						gateways, index, seed, len(r.open))
				}
			}
		}
	}
}

// unusualRun drives one Balancer with unusual settings, endpoint lists and requests.
type unusualRun struct {
	rng      *rand.Rand
	balancer *Balancer
	now      time.Duration
	lastID   uint64
	// open holds the requests without an answer, by ID.
	open map[uint64]bool
	// attempts holds those without a result.
	attempts []Dispatch
}

// newUnusualRun returns a run at time 0.
func newUnusualRun(t *testing.T, gateways, index int, seed uint64) *unusualRun {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, uint64(gateways)))
	settings := testSettings()
	settings.Gateways = gateways
	settings.Index = index
	settings.Zone = []int{0, -1, 99}[rng.IntN(3)]
	b, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &unusualRun{rng: rng, balancer: b, open: map[uint64]bool{}}
}

// run simulates a few seconds of random events and then fires the requests' timers until all have expired.
func (r *unusualRun) run() {
	for range 300 {
		r.now += tickInterval
		events := append([]Event{TimerFired{tickCookie}}, r.randomEvents()...)
		for len(r.attempts) > 0 && r.rng.IntN(3) > 0 {
			dispatch := r.attempts[0]
			r.attempts = r.attempts[1:]
			events = append(events, succeeded(dispatch, 0, 5*ms))
			delete(r.open, dispatch.ID)
		}
		r.step(events)
	}
	for range 3 * int(time.Second/tickInterval) {
		r.now += tickInterval
		events := []Event{TimerFired{tickCookie}}
		for id := range r.open {
			events = append(events, TimerFired{requestCookie(id)})
		}
		for _, dispatch := range r.attempts {
			events = append(events, resultOf(dispatch, Timeout, time.Second))
		}
		r.attempts = nil
		r.step(events)
	}
}

// randomEvents returns an update of the endpoint list, administrative events, or requests.
func (r *unusualRun) randomEvents() []Event {
	switch r.rng.IntN(4) {
	case 0:
		return []Event{EndpointUpdate{Kind: UpdateKind(r.rng.IntN(4)), Entries: r.randomEndpoints()}}
	case 1:
		name := fmt.Sprint("b", r.rng.IntN(5))
		return []Event{
			AdminEject{Endpoint: name},
			AdminRestore{Endpoint: fmt.Sprint("b", r.rng.IntN(5))},
			HealthCheckResult{Endpoint: name, Status: OK},
		}
	default:
		return r.randomRequests()
	}
}

// randomEndpoints returns endpoint list entries with unusual values.
func (r *unusualRun) randomEndpoints() []Endpoint {
	var entries []Endpoint
	for range r.rng.IntN(8) {
		entries = append(entries, Endpoint{
			Name:           fmt.Sprint("b", r.rng.IntN(4)),
			Zone:           r.rng.IntN(5) - 1,
			Cell:           r.rng.IntN(3) - 1,
			State:          EndpointState(r.rng.IntN(4)),
			Weight:         []float64{0, 1, -3, math.Inf(1), math.NaN(), 1e300}[r.rng.IntN(6)],
			SlowStartShare: []float64{0, 1, -1, math.NaN()}[r.rng.IntN(4)],
			StartedAt:      time.Duration(r.rng.IntN(3)-1) * 10 * time.Second,
		})
	}
	return entries
}

// randomRequests returns requests with unusual values.
func (r *unusualRun) randomRequests() []Event {
	var events []Event
	for range 3 {
		r.lastID++
		request := testRequest(r.lastID, r.rng.IntN(3), r.rng.IntN(4))
		request.Gateways = r.rng.IntN(400) - 50
		request.Units = []float64{1, 0, -1, math.NaN(), 1e12}[r.rng.IntN(5)]
		r.open[request.ID] = true
		events = append(events, request)
	}
	return events
}

// step passes events to the Balancer and records the resulting dispatches and answers.
func (r *unusualRun) step(events []Event) {
	for _, action := range r.balancer.Step(r.now, events) {
		switch action := action.(type) {
		case Dispatch:
			r.attempts = append(r.attempts, action)
		case Reject:
			delete(r.open, action.ID)
		case Fail:
			delete(r.open, action.ID)
		}
	}
}
