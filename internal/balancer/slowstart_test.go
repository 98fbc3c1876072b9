package balancer

import (
	"slices"
	"testing"
	"time"
)

// TestWarmingEndpointGetsLess verifies that a warming endpoint gets fewer attempts than a warm one.
func TestWarmingEndpointGetsLess(t *testing.T) {
	list := testEndpoints(4)
	list[0].StartedAt = 99 * time.Second
	b, _ := New(testSettings(), 7)
	b.Step(100*time.Second, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: list}})
	got, now := map[string]int{}, 100*time.Second
	for i := range 150 {
		now += 10 * ms
		for _, dispatch := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(uint64(i), 0, 2)})) {
			got[dispatch.Endpoint]++
			now += ms
			b.Step(now, []Event{succeeded(dispatch, 0, ms)})
		}
	}
	if got["b0"]*2 > got["b1"] {
		t.Errorf("%d attempts to the warming endpoint, %d to a warm one; want at most half", got["b0"], got["b1"])
	}
}

// TestWarmingEndpointIsLimitedByWork verifies that the slow-start budget counts work instead of requests.
func TestWarmingEndpointIsLimitedByWork(t *testing.T) {
	sent := func(units float64) int {
		b := newTrainedBalancer(t, testEndpoints(2)...)
		now := 121 * time.Second
		warming := Endpoint{Name: "warming", Weight: 1, StartedAt: now}
		left := testEndpoints(2)
		left[0].State, left[1].State = Draining, Draining
		b.Step(now, []Event{EndpointUpdate{Kind: Delta, Entries: append(left, warming)}})
		n := 0
		limited := &limitedEndpoint{capacity: func(time.Duration) float64 { return 50 }, steppedAt: now}
		send := func(at time.Duration, actions []Action) {
			for _, dispatch := range actionsOf[Dispatch](actions) {
				n++
				limited.enqueue(at, b, dispatch, units)
			}
		}
		for i := range uint64(300) {
			request := testRequest(5000+i, 0, 2)
			request.Units = units
			at := now + time.Duration(i)*5*ms
			send(at, b.Step(at, []Event{request}))
			send(at+ms, limited.step(at + ms)[b])
		}
		return n
	}
	if small, large := sent(1), sent(4); large == 0 || small < 2*large {
		t.Errorf("%d small or %d large attempts in the first seconds; want twice as many small ones", small, large)
	}
}

// checkOverload checks that no window of the attempts sent to an endpoint holds more than the endpoint can take at the
// beginning of the window. Attempts after the slow start do not count. capacity is the capacity of the warm endpoint,
// in mean requests per second.
func checkOverload(t *testing.T, settings Settings, start time.Duration, capacity float64, sent []time.Duration) {
	t.Helper()
	capacityAt := warmingCapacity(settings, start, capacity)
	sent = slices.DeleteFunc(slices.Clone(sent), func(at time.Duration) bool {
		return at >= start+settings.SlowStartDuration
	})
	for i, from := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at < from+settings.OverloadWindow {
				count++
			}
		}
		limit := settings.OverloadMultiple * capacityAt(from) * settings.OverloadWindow.Seconds()
		if float64(count) > limit {
			t.Fatalf("%d attempts in the window that begins %v after the start; it can take %.0f",
				count, from-start, limit)
		}
	}
}

// TestPoolsShareSlowStartBudget verifies that two pools that share a warming endpoint, both under a flood of requests,
// together send it no more than it can take in any window.
func TestPoolsShareSlowStartBudget(t *testing.T) {
	settings := singleGatewaySettings()
	settings.OverloadWindow = 2 * time.Second
	pools := []*endpointFleet{
		{balancer: newTestBalancer(t, settings, testEndpoints(4)...)},
		{balancer: newTestBalancer(t, settings, testEndpoints(4)...)},
	}
	warm := 0
	for range 3000 { // 30 s, to measure what a warm endpoint handles
		for _, pool := range pools {
			pool.step(2)
			warm += 2
		}
	}
	capacity := float64(warm) / 30 / 4 // answers per second of one endpoint to both pools
	start := pools[0].now
	warming := Endpoint{Name: "b0", Weight: 1, StartedAt: start, SlowStartShare: 0.5}
	limited := &limitedEndpoint{capacity: warmingCapacity(settings, start, capacity), steppedAt: start}
	var sent []time.Duration
	for i := range 1700 { // longer than the slow start
		for _, pool := range pools {
			var more []Event
			switch i {
			case 0:
				more = []Event{EndpointUpdate{Entries: []Endpoint{warming}}}
			case 100: // the worst case: all other endpoints drain
				gone := testEndpoints(4)[1:]
				for j := range gone {
					gone[j].State = Draining
				}
				more = []Event{EndpointUpdate{Entries: gone}}
			}
			pool.step(6, more...)
			pool.moveTo(limited, &sent)
		}
		for b, actions := range limited.step(pools[0].now) {
			for _, pool := range pools {
				if pool.balancer == b {
					pool.record(actions)
					pool.moveTo(limited, &sent)
				}
			}
		}
	}
	if len(sent) < 100 {
		t.Fatalf("only %d attempts were sent to the warming endpoint, want at least 100", len(sent))
	}
	checkOverload(t, settings, start, capacity, sent)
}

// TestLargeFleetKeepsSlowStartBudget verifies that many gateways that learn of a warming endpoint at the same time
// together stay within its slow-start budget in each window.
func TestLargeFleetKeepsSlowStartBudget(t *testing.T) {
	const gateways, warm = 100, 9
	settings := largeFleetSettings(gateways)
	settings.UseCounter = false
	list := testEndpoints(warm + 1)
	all := make([]*Balancer, gateways)
	for i := range all {
		settings.Index = i
		all[i], _ = New(settings, uint64(i))
		all[i].Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: list[:warm]}})
	}
	start, served := 60*time.Second, 0
	var sent []time.Duration
	var limited *limitedEndpoint
	send := func(b *Balancer, now time.Duration, actions []Action) {
		for _, dispatch := range actionsOf[Dispatch](actions) {
			if dispatch.Endpoint == list[warm].Name {
				limited.enqueue(now, b, dispatch, 1)
				sent = append(sent, now)
				continue
			}
			if now < start {
				served++
			}
			b.Step(now+50*ms, []Event{succeeded(dispatch, 0, 50*ms)})
		}
	}
	for tick := range 220 { // two requests per second at each gateway
		now := time.Duration(tick) * 500 * ms
		for i, b := range all {
			events := []Event{}
			switch now {
			case start:
				if limited == nil { // its capacity is what a warm endpoint was measured to handle
					rate := float64(served) / warm / start.Seconds()
					limited = &limitedEndpoint{capacity: warmingCapacity(settings, start, rate), steppedAt: start}
				}
				list[warm].StartedAt = start
				events = append(events, EndpointUpdate{Kind: Delta, Entries: list[warm:]})
			case start + 2*time.Second: // the worst case: all other endpoints drain
				for j := range list[:warm] {
					list[j].State = Draining
				}
				events = append(events, EndpointUpdate{Kind: Delta, Entries: list[:warm]})
			}
			id := uint64(tick*gateways + i)
			send(b, now, b.Step(now, append(events, testRequest(id, 0, 2), TimerFired{tickCookie})))
		}
		if limited != nil {
			for b, actions := range limited.step(now + 50*ms) {
				send(b, now+50*ms, actions)
			}
		}
	}
	rate := float64(served) / warm / start.Seconds() // what a warm endpoint handles, a lower bound of its capacity
	checkOverload(t, settings, start, rate, sent)
}
