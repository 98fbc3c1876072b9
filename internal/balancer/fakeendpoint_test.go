package balancer

import (
	"slices"
	"testing"
	"time"
)

// endpointFleet simulates the endpoints of one gateway. All endpoints answer within 50 ms, except the silent one, whose
// attempts time out.
type endpointFleet struct {
	balancer *Balancer
	// silent is the name of the endpoint that never answers.
	silent   string
	now      time.Duration
	lastID   uint64
	attempts []openAttempt
}

// openAttempt is an attempt without a result.
type openAttempt struct {
	Dispatch
	answeredAt time.Duration
}

// limitedEndpoint is a simulated endpoint of limited capacity that processes the requests of all gateways in order.
type limitedEndpoint struct {
	// capacity is in mean requests per second.
	capacity  func(now time.Duration) float64
	steppedAt time.Duration
	// workDone is the work done for the attempt at the head of the queue, in mean requests.
	workDone float64
	queue    []queuedWork
}

// queuedWork is an attempt in the queue of a limitedEndpoint.
type queuedWork struct {
	gateway   *Balancer
	dispatch  Dispatch
	cost      float64
	arrivedAt time.Duration
}

// enqueue adds an attempt to the queue.
func (limited *limitedEndpoint) enqueue(now time.Duration, b *Balancer, dispatch Dispatch, cost float64) {
	limited.queue = append(limited.queue, queuedWork{b, dispatch, cost, now})
}

// step answers the attempts that are finished by now and returns the resulting actions by gateway.
func (limited *limitedEndpoint) step(now time.Duration) (actions map[*Balancer][]Action) {
	actions = map[*Balancer][]Action{}
	limited.workDone += limited.capacity(now) * (now - limited.steppedAt).Seconds()
	limited.steppedAt = now
	for len(limited.queue) > 0 && limited.workDone >= limited.queue[0].cost {
		work := limited.queue[0]
		limited.queue = limited.queue[1:]
		limited.workDone -= work.cost
		answer := succeeded(work.dispatch, 0, now-work.arrivedAt)
		actions[work.gateway] = append(actions[work.gateway], work.gateway.Step(now, []Event{answer})...)
	}
	if len(limited.queue) == 0 {
		limited.workDone = min(limited.workDone, 1)
	}
	return actions
}

// warmingCapacity returns the capacity over time of an endpoint that starts at a given time and serves rate requests
// per second once it has warmed up.
func warmingCapacity(settings Settings, start time.Duration, rate float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		elapsed := min(1, (now-start).Seconds()/settings.SlowStartDuration.Seconds())
		return rate * (settings.SlowStartCapacity + (1-settings.SlowStartCapacity)*elapsed)
	}
}

// step advances the time by 10 ms, sends new requests, and returns the gateway's health reports.
func (fleet *endpointFleet) step(requests int, extra ...Event) []HealthReport {
	fleet.now += 10 * ms
	events := append(extra, TimerFired{tickCookie})
	var remaining []openAttempt
	for _, attempt := range fleet.attempts {
		if fleet.now < attempt.answeredAt {
			remaining = append(remaining, attempt)
			continue
		}
		result := succeeded(attempt.Dispatch, 0, 50*ms)
		if attempt.Endpoint == fleet.silent {
			result.Status = Timeout
			result.Latency = attempt.Timeout
		}
		events = append(events, result)
	}
	fleet.attempts = remaining
	for range requests {
		fleet.lastID++
		events = append(events, testRequest(fleet.lastID, 0, 2))
	}
	actions := fleet.balancer.Step(fleet.now, events)
	fleet.record(actions)
	return actionsOf[HealthReport](actions)
}

// record stores the attempts that the gateway dispatches.
func (fleet *endpointFleet) record(actions []Action) {
	for _, dispatch := range actionsOf[Dispatch](actions) {
		answeredAt := fleet.now + 50*ms
		if dispatch.Endpoint == fleet.silent {
			answeredAt = fleet.now + dispatch.Timeout
		}
		fleet.attempts = append(fleet.attempts, openAttempt{dispatch, answeredAt})
	}
}

// moveTo moves the attempts just dispatched to b0 to a limitedEndpoint and appends their times to sentAt.
func (fleet *endpointFleet) moveTo(limited *limitedEndpoint, sentAt *[]time.Duration) {
	fleet.attempts = slices.DeleteFunc(fleet.attempts, func(attempt openAttempt) bool {
		if attempt.Endpoint != "b0" || attempt.answeredAt != fleet.now+50*ms {
			return false
		}
		limited.enqueue(fleet.now, fleet.balancer, attempt.Dispatch, 1)
		*sentAt = append(*sentAt, fleet.now)
		return true
	})
}

// stepUntilEjected steps until the gateway ejects the silent endpoint. It returns the report and the time since the
// first attempt on that endpoint.
func (fleet *endpointFleet) stepUntilEjected(t *testing.T, requests int) (HealthReport, time.Duration) {
	t.Helper()
	firstSentAt := time.Duration(0)
	for range 2000 {
		reports := fleet.step(requests)
		if firstSentAt == 0 && len(fleet.balancer.endpoints.byName[fleet.silent].inFlight) > 0 {
			firstSentAt = fleet.now
		}
		if len(reports) > 0 {
			return reports[0], fleet.now - firstSentAt
		}
	}
	t.Fatal("silent endpoint was not ejected")
	return HealthReport{}, 0
}
