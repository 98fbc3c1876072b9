package balancer

import (
	"testing"
	"time"
)

func TestWarmingEndpointGetsLess(t *testing.T) {
	list := testEndpoints(4)
	list[0].StartedAt = 99 * time.Second
	b, _ := New(testSettings(), 7)
	b.Step(100*time.Second, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: list}})
	got, now := map[string]int{}, 100*time.Second
	for i := range 150 {
		now += 10 * ms
		for _, s := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(uint64(i), 0, 2)})) {
			got[s.Endpoint]++
			now += ms
			b.Step(now, []Event{succeeded(s, 0, ms)})
		}
	}
	if got["b0"]*2 > got["b1"] {
		t.Errorf("cold backend got %d, a warm one %d", got["b0"], got["b1"])
	}
}

// A cold server bears so much work, not so many requests.
func TestWarmingEndpointIsLimitedByWork(t *testing.T) {
	sent := func(units float64) int {
		b := newTrainedBalancer(t, testEndpoints(2)...)
		now := 121 * time.Second
		cold := Endpoint{Name: "cold", Weight: 1, StartedAt: now}
		left := testEndpoints(2)
		left[0].State, left[1].State = Draining, Draining
		b.Step(now, []Event{EndpointUpdate{Kind: Delta, Entries: append(left, cold)}})
		n := 0
		backend := &limitedEndpoint{capacity: func(time.Duration) float64 { return 50 }, at: now}
		send := func(at time.Duration, acts []Action) {
			for _, s := range actionsOf[Dispatch](acts) {
				n++
				backend.take(at, b, s, units)
			}
		}
		for i := range uint64(300) {
			request := testRequest(5000+i, 0, 2)
			request.Units = units
			at := now + time.Duration(i)*5*ms
			send(at, b.Step(at, []Event{request}))
			send(at+ms, backend.step(at + ms)[b])
		}
		return n
	}
	if small, large := sent(1), sent(4); large == 0 || small < 2*large {
		t.Errorf(
			"a cold server is sent %d small and %d large requests in its first seconds; want far more small ones",
			small,
			large,
		)
	}
}

// Two pools that share a server send it, while it is cold and both are flooded, no more together than it bears in any
// window.
func TestPoolsShareSlowStartBudget(t *testing.T) {
	settings := singleGatewaySettings()
	settings.OverloadWindow = 2 * time.Second
	pools := []*endpointFleet{{balancer: newTestBalancer(t, settings, testEndpoints(4)...)}, {balancer: newTestBalancer(t, settings, testEndpoints(4)...)}}
	warm := 0
	for range 3000 { // 30 s: what a warm server carries
		for _, p := range pools {
			p.step(2)
			warm += 2
		}
	}
	capacity := float64(warm) / 30 / 4 // answers a second of one server, of both pools
	start := pools[0].now
	cold := Endpoint{Name: "b0", Weight: 1, StartedAt: start, SlowStartShare: 0.5}
	backend := &limitedEndpoint{capacity: warmingCapacity(settings, start, capacity), at: start}
	var sent []time.Duration
	for i := range 1700 { // longer than it takes to be warm
		for _, p := range pools {
			var more []Event
			switch i {
			case 0:
				more = []Event{EndpointUpdate{Entries: []Endpoint{cold}}}
			case 100: // the worst case: it is all that is left
				gone := testEndpoints(4)[1:]
				for j := range gone {
					gone[j].State = Draining
				}
				more = []Event{EndpointUpdate{Entries: gone}}
			}
			p.step(6, more...)
			p.moveTo(backend, &sent)
		}
		for b, acts := range backend.step(pools[0].now) {
			for _, p := range pools {
				if p.balancer == b {
					p.record(acts)
					p.moveTo(backend, &sent)
				}
			}
		}
	}
	if len(sent) < 100 {
		t.Fatalf("only %d were sent to the cold server", len(sent))
	}
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at-from < settings.OverloadWindow {
				n++
			}
		}
		age := (from - start).Seconds()
		if age > settings.SlowStartDuration.Seconds()-settings.OverloadWindow.Seconds() {
			break
		}
		has := settings.SlowStartCapacity + (1-settings.SlowStartCapacity)*age/settings.SlowStartDuration.Seconds()
		if most := settings.OverloadMultiple * has * capacity * settings.OverloadWindow.Seconds(); float64(n) > most {
			t.Fatalf("%d sends within %v at the age of %.1f s; it bears %.0f", n, settings.OverloadWindow, age, most)
		}
	}
}

// Many doors hear at once of a cold backend: together they stay within its budget in every window.
func TestLargeFleetKeepsSlowStartBudget(t *testing.T) {
	const doors, warm = 100, 9
	settings := largeFleetSettings(doors)
	settings.UseCounter = false
	list := testEndpoints(warm + 1)
	all := make([]*Balancer, doors)
	for i := range all {
		settings.Index = i
		all[i], _ = New(settings, uint64(i))
		all[i].Step(0, []Event{EndpointUpdate{Kind: CachedSnapshot, Entries: list[:warm]}})
	}
	start, carried := 60*time.Second, 0
	var cold []time.Duration
	var backend *limitedEndpoint
	send := func(b *Balancer, now time.Duration, acts []Action) {
		for _, s := range actionsOf[Dispatch](acts) {
			if s.Endpoint == list[warm].Name {
				if backend.take(now, b, s, 1); now < start+settings.SlowStartDuration {
					cold = append(cold, now)
				}
				continue
			} else if now < start {
				carried++
			}
			b.Step(now+50*ms, []Event{succeeded(s, 0, 50*ms)})
		}
	}
	for tick := range 220 { // each door gets two requests a second
		now := time.Duration(tick) * 500 * ms
		for i, b := range all {
			evs := []Event{}
			switch now {
			case start:
				if backend == nil { // it can do no more than a warm one is seen to carry
					backend = &limitedEndpoint{capacity: warmingCapacity(settings, start, float64(carried)/warm/start.Seconds()), at: start}
				}
				list[warm].StartedAt = start
				evs = append(evs, EndpointUpdate{Kind: Delta, Entries: list[warm:]})
			case start + 2*time.Second: // the worst case: it is all that is left
				for j := range list[:warm] {
					list[j].State = Draining
				}
				evs = append(evs, EndpointUpdate{Kind: Delta, Entries: list[:warm]})
			}
			id := uint64(tick*doors + i)
			send(b, now, b.Step(now, append(evs, testRequest(id, 0, 2), TimerFired{0})))
		}
		if backend != nil {
			for b, acts := range backend.step(now + 50*ms) {
				send(b, now+50*ms, acts)
			}
		}
	}
	rate := float64(carried) / warm / start.Seconds() // what a warm backend carries: its capacity is no less
	for i, from := range cold {
		share := settings.SlowStartCapacity + (1-settings.SlowStartCapacity)*float64(
			from-start,
		)/float64(
			settings.SlowStartDuration,
		)
		n := 0
		for _, at := range cold[i:] {
			if at < from+settings.OverloadWindow {
				n++
			}
		}
		if most := settings.OverloadMultiple * share * rate * settings.OverloadWindow.Seconds(); float64(n) > most {
			t.Fatalf("%d sends within a window %v after the start; its budget is %.0f", n, from-start, most)
		}
	}
}
