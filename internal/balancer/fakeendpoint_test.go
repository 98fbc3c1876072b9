package balancer

import (
	"slices"
	"testing"
	"time"
)

// endpointFleet plays the endpoints of one gateway. All answer within 50 ms but the silent one, on which attempts
// time out.
type endpointFleet struct {
	balancer *Balancer
	// silent is the name of the endpoint that answers nothing.
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

// limitedEndpoint is an endpoint that works on its requests in order, within a capacity, whichever gateway they come
// from.
type limitedEndpoint struct {
	// capacity is in mean requests a second.
	capacity  func(now time.Duration) float64
	steppedAt time.Duration
	// workDone is the work done for the next attempt, in mean requests.
	workDone float64
	queue    []queuedWork
}

// queuedWork is an attempt that waits for a limitedEndpoint.
type queuedWork struct {
	gateway   *Balancer
	dispatch  Dispatch
	cost      float64
	arrivedAt time.Duration
}

// enqueue adds an attempt to the queue.
func (limited *limitedEndpoint) enqueue(now time.Duration, b *Balancer, dispatch Dispatch, size float64) {
	limited.queue = append(limited.queue, queuedWork{b, dispatch, size, now})
}

// step answers the attempts that are done by now, and returns the actions of their gateways.
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

// warmingCapacity is the capacity of an endpoint that started at a time and serves rate requests a second once it is
// warm.
func warmingCapacity(settings Settings, start time.Duration, rate float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		elapsed := min(1, (now-start).Seconds()/settings.SlowStartDuration.Seconds())
		return rate * (settings.SlowStartCapacity + (1-settings.SlowStartCapacity)*elapsed)
	}
}

// step goes on by 10 ms with a number of new requests, and returns what the gateway reports of its endpoints.
func (fleet *endpointFleet) step(requests int, more ...Event) []HealthReport {
	fleet.now += 10 * ms
	events := append(more, TimerFired{tickCookie})
	var left []openAttempt
	for _, attempt := range fleet.attempts {
		if fleet.now < attempt.answeredAt {
			left = append(left, attempt)
			continue
		}
		result := succeeded(attempt.Dispatch, 0, 50*ms)
		if attempt.Endpoint == fleet.silent {
			result.Status = Timeout
			result.Latency = attempt.Timeout
		}
		events = append(events, result)
	}
	fleet.attempts = left
	for range requests {
		fleet.lastID++
		events = append(events, testRequest(fleet.lastID, 0, 2))
	}
	actions := fleet.balancer.Step(fleet.now, events)
	fleet.record(actions)
	return actionsOf[HealthReport](actions)
}

// record keeps the attempts that the gateway dispatches.
func (fleet *endpointFleet) record(actions []Action) {
	for _, dispatch := range actionsOf[Dispatch](actions) {
		until := fleet.now + 50*ms
		if dispatch.Endpoint == fleet.silent {
			until = fleet.now + dispatch.Timeout
		}
		fleet.attempts = append(fleet.attempts, openAttempt{dispatch, until})
	}
}

// moveTo moves the attempts that were just dispatched to b0 to a limitedEndpoint.
func (fleet *endpointFleet) moveTo(limited *limitedEndpoint, sent *[]time.Duration) {
	fleet.attempts = slices.DeleteFunc(fleet.attempts, func(s openAttempt) bool {
		if s.Endpoint != "b0" || s.answeredAt != fleet.now+50*ms {
			return false
		}
		limited.enqueue(fleet.now, fleet.balancer, s.Dispatch, 1)
		*sent = append(*sent, fleet.now)
		return true
	})
}

// stepUntilEjected goes on until the gateway ejects the silent endpoint. It returns the report, and the time since
// the first attempt there.
func (fleet *endpointFleet) stepUntilEjected(t *testing.T, requests int) (HealthReport, time.Duration) {
	t.Helper()
	first := time.Duration(0)
	for range 2000 {
		found := fleet.step(requests)
		if first == 0 && len(fleet.balancer.endpoints.byName[fleet.silent].inFlight) > 0 {
			first = fleet.now
		}
		if len(found) > 0 {
			return found[0], fleet.now - first
		}
	}
	t.Fatal("a silent endpoint is never ejected")
	return HealthReport{}, 0
}
