package balancer

import (
	"slices"
	"testing"
	"time"
)

// endpointFleet plays a door's servers: all answer within 50 ms but the silent one, on which attempts end by their time.
type endpointFleet struct {
	balancer *Balancer
	silent   string
	now      time.Duration
	id       uint64
	attempts []openAttempt
}

type openAttempt struct {
	Dispatch
	until time.Duration
}

// limitedEndpoint is a backend that does what it can, in the order in which it comes, whichever door it comes from.
type limitedEndpoint struct {
	capacity func(now time.Duration) float64 // mean requests a second
	at       time.Duration
	done     float64
	queue    []queuedWork
}

type queuedWork struct {
	gateway *Balancer
	s       Dispatch
	size    float64
	at      time.Duration
}

func (backend *limitedEndpoint) take(now time.Duration, b *Balancer, s Dispatch, size float64) {
	backend.queue = append(backend.queue, queuedWork{b, s, size, now})
}

// step answers what is done by now, and returns what the doors want then.
func (backend *limitedEndpoint) step(now time.Duration) (acts map[*Balancer][]Action) {
	acts = map[*Balancer][]Action{}
	backend.done += backend.capacity(now) * (now - backend.at).Seconds()
	for backend.at = now; len(backend.queue) > 0 && backend.done >= backend.queue[0].size; backend.queue = backend.queue[1:] {
		r := backend.queue[0]
		backend.done -= r.size
		acts[r.gateway] = append(acts[r.gateway], r.gateway.Step(now, []Event{succeeded(r.s, 0, now-r.at)})...)
	}
	if len(backend.queue) == 0 {
		backend.done = min(backend.done, 1)
	}
	return acts
}

// warmingCapacity is what a backend can do that has started at a time, and carries so much a second when it is warm.
func warmingCapacity(settings Settings, start time.Duration, rate float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		return rate * (settings.SlowStartCapacity + (1-settings.SlowStartCapacity)*min(1, (now-start).Seconds()/settings.SlowStartDuration.Seconds()))
	}
}

// step goes on by 10 ms with so many new requests, and returns what the door says of its servers.
func (f *endpointFleet) step(asks int, more ...Event) []HealthReport {
	f.now += 10 * ms
	evs := append(more, TimerFired{0})
	var left []openAttempt
	for _, s := range f.attempts {
		if f.now < s.until {
			left = append(left, s)
			continue
		}
		o := succeeded(s.Dispatch, 0, 50*ms)
		if s.Endpoint == f.silent {
			o.Status, o.Latency, o.RequestClosed = Timeout, s.Timeout, true
		}
		evs = append(evs, o)
	}
	f.attempts = left
	for range asks {
		f.id++
		evs = append(evs, testRequest(f.id, 0, 2))
	}
	acts := f.balancer.Step(f.now, evs)
	f.record(acts)
	return actionsOf[HealthReport](acts)
}

// record notes what the door sends.
func (f *endpointFleet) record(acts []Action) {
	for _, s := range actionsOf[Dispatch](acts) {
		until := f.now + 50*ms
		if s.Endpoint == f.silent {
			until = f.now + s.Timeout
		}
		f.attempts = append(f.attempts, openAttempt{s, until})
	}
}

// moveTo leaves what was just sent to b0 to a bearer.
func (f *endpointFleet) moveTo(backend *limitedEndpoint, sent *[]time.Duration) {
	f.attempts = slices.DeleteFunc(f.attempts, func(s openAttempt) bool {
		if s.Endpoint != "b0" || s.until != f.now+50*ms {
			return false
		}
		backend.take(f.now, f.balancer, s.Dispatch, 1)
		*sent = append(*sent, f.now)
		return true
	})
}

// stepUntilEjected goes on until the door leaves the silent server out, and says how long that took from its first attempt there.
func (f *endpointFleet) stepUntilEjected(t *testing.T, asks int) (HealthReport, time.Duration) {
	t.Helper()
	first := time.Duration(0)
	for range 2000 {
		found := f.step(asks)
		if first == 0 && len(f.balancer.endpoints.byName[f.silent].inFlight) > 0 {
			first = f.now
		}
		if len(found) > 0 {
			return found[0], f.now - first
		}
	}
	t.Fatal("a server that says nothing is never left out")
	return HealthReport{}, 0
}
