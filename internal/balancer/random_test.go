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

// randomPlay is a random but legal order of events for one Balancer, with what it must not do.
type randomPlay struct {
	t         testing.TB
	seed      uint64
	rng       *rand.Rand
	settings  Settings
	balancer  *Balancer
	endpoints []Endpoint
	now       time.Duration
	lastID    uint64
	// attempts, calls and timers have no result yet.
	attempts []randomAttempt
	calls    []CounterAdd
	timers   []SetTimer
	// totals has the totals of the counter by name.
	totals map[uint64]float64
	// notServing has the endpoints that the list does not have as serving.
	notServing map[string]bool
	// deadlines has the requests without a final answer, by ID.
	deadlines map[uint64]time.Duration
	// classes, attemptCounts and inFlight are by request ID.
	classes       map[uint64]int
	attemptCounts map[uint64]int
	inFlight      map[uint64]int
	// ranOn has the endpoint that may have run a request.
	ranOn map[uint64]string
	// actions has all actions so far.
	actions []Action
}

// randomAttempt is an attempt without a result.
type randomAttempt struct {
	Dispatch
	number int
	sentAt time.Duration
}

// runRandomEvents plays some seconds, checks after each step what must always hold, and returns all actions.
func runRandomEvents(t testing.TB, seed uint64) []Action {
	const steps = 600
	const stepsWithRequests = 400
	t.Helper()
	p := &randomPlay{
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
	p.balancer = newTestBalancer(t, p.settings, p.endpoints...)
	for step := range steps {
		p.now += time.Duration(p.rng.IntN(12)) * ms
		var events []Event
		for range p.rng.IntN(4) {
			if step <= stepsWithRequests {
				events = append(events, p.randomRequest())
			}
		}
		events = append(events, p.attemptResults()...)
		events = append(events, p.counterResults()...)
		if p.rng.IntN(40) == 0 {
			events = append([]Event{p.endpointUpdate()}, events...)
		}
		events = append(events, p.dueTimers()...)
		for _, action := range slices.Clone(p.balancer.Step(p.now, events)) {
			p.actions = append(p.actions, action)
			p.handle(action)
		}
		p.checkDeadlines()
	}
	return p.actions
}

// randomRequest returns a request of any class, plan and customer.
func (p *randomPlay) randomRequest() Request {
	p.lastID++
	request := Request{
		ID:       p.lastID,
		Class:    p.rng.IntN(3),
		Plan:     p.rng.IntN(4),
		Customer: fmt.Sprint("c", p.rng.IntN(6)),
		TimeLeft: time.Duration(p.rng.IntN(2000)) * ms,
		Units:    1 + float64(p.rng.IntN(3)),
		Gateways: p.rng.IntN(3),
	}
	p.deadlines[request.ID] = p.now + request.TimeLeft
	p.classes[request.ID] = request.Class
	return request
}

// attemptResults ends some attempts, half of them well.
func (p *randomPlay) attemptResults() []Event {
	var events []Event
	for i := 0; i < len(p.attempts); i++ {
		if p.rng.IntN(8) != 0 {
			continue
		}
		attempt := p.attempts[i]
		p.attempts = slices.Delete(p.attempts, i, i+1)
		status := Status(p.rng.IntN(8))
		if p.rng.IntN(2) == 0 {
			status = OK
		}
		p.inFlight[attempt.ID]--
		_, isOpen := p.deadlines[attempt.ID]
		switch status {
		case OK:
			delete(p.deadlines, attempt.ID)
		case Rejected, ConnectFailed, NotSent:
		default:
			p.ranOn[attempt.ID] = attempt.Endpoint
		}
		result := resultOf(attempt.Dispatch, status, p.now-attempt.sentAt)
		result.Attempt = attempt.number
		result.RequestClosed = status == OK || !isOpen
		events = append(events, result)
	}
	return events
}

// counterResults answers some calls. Some time out or are rejected, and now and then the counter loses its total.
func (p *randomPlay) counterResults() []Event {
	var events []Event
	for len(p.calls) > 0 && p.rng.IntN(2) == 0 {
		call := p.calls[0]
		p.calls = p.calls[1:]
		status := []Status{OK, OK, OK, Timeout, Rejected}[p.rng.IntN(5)]
		if status != Rejected {
			p.totals[call.Name] += call.Amount
		}
		if p.rng.IntN(50) == 0 {
			p.totals[call.Name] = 0
		}
		events = append(events, CounterResult{call.Name, status, p.totals[call.Name]})
	}
	return events
}

// endpointUpdate changes the state of one endpoint.
func (p *randomPlay) endpointUpdate() Event {
	entry := p.endpoints[p.rng.IntN(len(p.endpoints))]
	entry.State = EndpointState(p.rng.IntN(3))
	entry.StartedAt = p.now * time.Duration(p.rng.IntN(2))
	p.notServing[entry.Name] = entry.State != Serving
	return EndpointUpdate{Kind: Delta, Entries: []Endpoint{entry}}
}

// dueTimers fires the timers that are due.
func (p *randomPlay) dueTimers() []Event {
	var events []Event
	var later []SetTimer
	for _, timer := range p.timers {
		if timer.At <= p.now {
			events = append(events, TimerFired{timer.Cookie})
		} else {
			later = append(later, timer)
		}
	}
	p.timers = later
	return events
}

// handle carries out an action after a check that it is allowed.
func (p *randomPlay) handle(action Action) {
	p.t.Helper()
	switch action := action.(type) {
	case Dispatch:
		p.checkDispatch(action)
		p.attempts = append(p.attempts, randomAttempt{action, p.attemptCounts[action.ID], p.now})
		p.attemptCounts[action.ID]++
	case Reject:
		_, mayHaveRun := p.ranOn[action.ID]
		if (mayHaveRun || p.inFlight[action.ID] > 0) && p.classes[action.ID] != 0 {
			p.t.Fatalf("seed %d: rejected what may have run: %v", p.seed, action)
		}
		p.answer(action.ID, action)
	case Fail:
		p.answer(action.ID, action)
	case CounterAdd:
		p.calls = append(p.calls, action)
	case SetTimer:
		if action.At <= p.now {
			action.At = p.now + ms
		}
		p.timers = append(p.timers, action)
	}
}

// checkDispatch checks that an attempt is the only one in flight, has no second effect and goes to a serving endpoint.
func (p *randomPlay) checkDispatch(dispatch Dispatch) {
	p.t.Helper()
	if _, isOpen := p.deadlines[dispatch.ID]; !isOpen {
		p.t.Fatalf("seed %d: dispatched after the end: %v", p.seed, dispatch)
	}
	if p.notServing[dispatch.Endpoint] {
		p.t.Fatalf("seed %d: dispatched to a draining endpoint: %v", p.seed, dispatch)
	}
	if ranOn, mayHaveRun := p.ranOn[dispatch.ID]; mayHaveRun {
		class := p.classes[dispatch.ID]
		sameCell := cellOf(p.endpoints, ranOn) == cellOf(p.endpoints, dispatch.Endpoint)
		if class == 2 || class == 1 && !sameCell {
			p.t.Fatalf("seed %d: an effect twice: %v", p.seed, dispatch)
		}
	}
	p.inFlight[dispatch.ID]++
	if p.inFlight[dispatch.ID] > 1 || p.attemptCounts[dispatch.ID] >= p.settings.MaxAttempts {
		p.t.Fatalf("seed %d: too many attempts: %v", p.seed, dispatch)
	}
}

// answer records the final answer of a request, which must be its only one.
func (p *randomPlay) answer(id uint64, action Action) {
	p.t.Helper()
	if _, isOpen := p.deadlines[id]; !isOpen {
		p.t.Fatalf("seed %d: answered after the end: %v", p.seed, action)
	}
	delete(p.deadlines, id)
}

// checkDeadlines checks that no request is without a final answer past its deadline.
func (p *randomPlay) checkDeadlines() {
	p.t.Helper()
	for id, deadline := range p.deadlines {
		if p.now > deadline+20*ms {
			p.t.Fatalf("seed %d: request %d is lost", p.seed, id)
		}
	}
}

// cellOf returns the cell of an endpoint, or -1.
func cellOf(list []Endpoint, name string) int {
	for _, entry := range list {
		if entry.Name == name {
			return entry.Cell
		}
	}
	return -1
}

// The same settings, seed and events give the same actions.
func TestDeterminism(t *testing.T) {
	for seed := range uint64(30) {
		if !reflect.DeepEqual(runRandomEvents(t, seed), runRandomEvents(t, seed)) {
			t.Errorf("seed %d: two runs differ", seed)
		}
	}
}

// FuzzRandomEvents checks runRandomEvents for any seed.
func FuzzRandomEvents(f *testing.F) {
	for seed := range uint64(100) {
		f.Add(seed + 1000)
	}
	f.Fuzz(func(t *testing.T, seed uint64) { runRandomEvents(t, seed) })
}

// Unusual indexes, zones and endpoint lists, as a configuration or discovery may have them, cause no panic and leave
// no request without an answer.
func TestUnusualSettingsAndLists(t *testing.T) {
	for _, gateways := range []int{1, 2, 12, 300} {
		for _, index := range []int{-1, 0, gateways - 1, gateways, 1 << 40} {
			for seed := range uint64(6) {
				p := newUnusualPlay(t, gateways, index, seed)
				p.run()
				if len(p.open) > 0 {
					t.Fatalf("gateways %d, index %d, seed %d: %d requests without an answer",
						gateways, index, seed, len(p.open))
				}
			}
		}
	}
}

// unusualPlay is a play of unusual settings, endpoint lists and requests.
type unusualPlay struct {
	rng      *rand.Rand
	balancer *Balancer
	now      time.Duration
	lastID   uint64
	// open has the requests without an answer, by ID.
	open map[uint64]bool
	// attempts are those without a result.
	attempts []Dispatch
}

// newUnusualPlay starts a play.
func newUnusualPlay(t *testing.T, gateways, index int, seed uint64) *unusualPlay {
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
	return &unusualPlay{rng: rng, balancer: b, open: map[uint64]bool{}}
}

// run plays some seconds of random events, and then until each request's own timer is due.
func (p *unusualPlay) run() {
	for range 300 {
		p.now += tickInterval
		events := append([]Event{TimerFired{tickCookie}}, p.randomEvents()...)
		for len(p.attempts) > 0 && p.rng.IntN(3) > 0 {
			dispatch := p.attempts[0]
			p.attempts = p.attempts[1:]
			events = append(events, succeeded(dispatch, 0, 5*ms))
			delete(p.open, dispatch.ID)
		}
		p.step(events)
	}
	for range 3 * int(time.Second/tickInterval) {
		p.now += tickInterval
		events := []Event{TimerFired{tickCookie}}
		for id := range p.open {
			events = append(events, TimerFired{requestCookie(id)})
		}
		for _, dispatch := range p.attempts {
			events = append(events, resultOf(dispatch, Timeout, time.Second))
		}
		p.attempts = nil
		p.step(events)
	}
}

// randomEvents returns an update of the endpoint list, events of an administrator, or requests.
func (p *unusualPlay) randomEvents() []Event {
	switch p.rng.IntN(4) {
	case 0:
		return []Event{EndpointUpdate{Kind: UpdateKind(p.rng.IntN(4)), Entries: p.randomEndpoints()}}
	case 1:
		name := fmt.Sprint("b", p.rng.IntN(5))
		return []Event{
			AdminEject{Endpoint: name},
			AdminRestore{Endpoint: fmt.Sprint("b", p.rng.IntN(5))},
			HealthCheckResult{Endpoint: name, Status: OK},
		}
	default:
		return p.randomRequests()
	}
}

// randomEndpoints returns entries of an endpoint list with unusual values.
func (p *unusualPlay) randomEndpoints() []Endpoint {
	var entries []Endpoint
	for range p.rng.IntN(8) {
		entries = append(entries, Endpoint{
			Name:           fmt.Sprint("b", p.rng.IntN(4)),
			Zone:           p.rng.IntN(5) - 1,
			Cell:           p.rng.IntN(3) - 1,
			State:          EndpointState(p.rng.IntN(4)),
			Weight:         []float64{0, 1, -3, math.Inf(1), math.NaN(), 1e300}[p.rng.IntN(6)],
			SlowStartShare: []float64{0, 1, -1, math.NaN()}[p.rng.IntN(4)],
			StartedAt:      time.Duration(p.rng.IntN(3)-1) * 10 * time.Second,
		})
	}
	return entries
}

// randomRequests returns requests with unusual values.
func (p *unusualPlay) randomRequests() []Event {
	var events []Event
	for range 3 {
		p.lastID++
		request := testRequest(p.lastID, p.rng.IntN(3), p.rng.IntN(4))
		request.Gateways = p.rng.IntN(400) - 50
		request.Units = []float64{1, 0, -1, math.NaN(), 1e12}[p.rng.IntN(5)]
		p.open[request.ID] = true
		events = append(events, request)
	}
	return events
}

// step hands over events and records what comes of them.
func (p *unusualPlay) step(events []Event) {
	for _, action := range p.balancer.Step(p.now, events) {
		switch action := action.(type) {
		case Dispatch:
			p.attempts = append(p.attempts, action)
		case Reject:
			delete(p.open, action.ID)
		case Fail:
			delete(p.open, action.ID)
		}
	}
}
