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
	capacity  func(now time.Duration) float64 // mean requests a second
	steppedAt time.Duration
	workDone  float64
	queue     []queuedWork
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
	for limited.steppedAt = now; len(limited.queue) > 0 && limited.workDone >= limited.queue[0].cost; limited.queue = limited.queue[1:] {
		r := limited.queue[0]
		limited.workDone -= r.cost
		actions[r.gateway] = append(actions[r.gateway], r.gateway.Step(now, []Event{succeeded(r.dispatch, 0, now-r.arrivedAt)})...)
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
		return rate * (settings.SlowStartCapacity + (1-settings.SlowStartCapacity)*min(1, (now-start).Seconds()/settings.SlowStartDuration.Seconds()))
	}
}

// step goes on by 10 ms with a number of new requests, and returns what the gateway reports of its endpoints.
func (fleet *endpointFleet) step(asks int, more ...Event) []HealthReport {
	fleet.now += 10 * ms
	events := append(more, TimerFired{tickCookie})
	var left []openAttempt
	for _, s := range fleet.attempts {
		if fleet.now < s.answeredAt {
			left = append(left, s)
			continue
		}
		o := succeeded(s.Dispatch, 0, 50*ms)
		if s.Endpoint == fleet.silent {
			o.Status, o.Latency, o.RequestClosed = Timeout, s.Timeout, true
		}
		events = append(events, o)
	}
	fleet.attempts = left
	for range asks {
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
func (fleet *endpointFleet) stepUntilEjected(t *testing.T, asks int) (HealthReport, time.Duration) {
	t.Helper()
	first := time.Duration(0)
	for range 2000 {
		found := fleet.step(asks)
		if first == 0 && len(fleet.balancer.endpoints.byName[fleet.silent].inFlight) > 0 {
			first = fleet.now
		}
		if len(found) > 0 {
			return found[0], fleet.now - first
		}
	}
	t.Fatal("an endpoint that says nothing is never ejected")
	return HealthReport{}, 0
}
