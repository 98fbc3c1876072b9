package balancer

import (
	"testing"
	"time"
)

// A door of many keeps to its servers while they serve, and goes past them rather than refuse when they don't.
func TestGatewayKeepsToItsSubset(t *testing.T) {
	settings := largeFleetSettings(80)
	settings.Index = 5
	b := newTestBalancer(t, settings, testEndpoints(60)...)
	used := map[string]int{}
	now := time.Second
	for id := uint64(1); id < 400; id++ {
		now += 200 * ms
		for _, s := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(id, 0, 2), TimerFired{0}})) {
			used[s.Endpoint]++
			b.Step(now+40*ms, []Event{succeeded(s, 0, 40*ms)})
		}
	}
	if len(used) < 6 || len(used) > 28 {
		t.Errorf("%d of 60 servers used, one at a time", len(used))
	}
	var drained []Endpoint
	for name := range used {
		drained = append(drained, Endpoint{Name: name, State: Draining})
	}
	now += time.Second
	acts := b.Step(now, []Event{EndpointUpdate{Kind: Delta, Entries: drained}, testRequest(1000, 0, 2)})
	if s := actionsOf[Dispatch](acts); len(s) != 1 || used[s[0].Endpoint] != 0 {
		t.Errorf("with all its servers draining: %v", acts)
	}
}

// Few doors use all servers, as they did.
func TestSmallFleetUsesAllEndpoints(t *testing.T) {
	settings := testSettings()
	settings.Gateways = 4
	b := newTestBalancer(t, settings, testEndpoints(60)...)
	used := map[string]bool{}
	for id := uint64(1); id <= 60; id++ {
		for _, s := range actionsOf[Dispatch](b.Step(time.Second, []Event{testRequest(id, 0, 2)})) {
			used[s.Endpoint] = true
		}
	}
	if len(used) != 60 {
		t.Errorf("60 requests at once used %d of 60 servers", len(used))
	}
}

// Where a crossing has a price, a server of the own zone is taken until it has clearly more to do.
func TestZoneCrossingHasCost(t *testing.T) {
	crossed := func(price float64) int {
		settings := testSettings()
		settings.UseCounter, settings.CrossZoneCost, settings.Gateways = false, price, 1
		list := testEndpoints(2)
		list[1].Zone = 1
		b := newTestBalancer(t, settings, list...)
		n := 0
		for i := range uint64(200) {
			now := time.Duration(i) * 20 * ms
			for _, s := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(i, 0, 2)})) {
				if s.Endpoint == list[1].Name {
					n++
				}
				b.Step(now+19*ms, []Event{succeeded(s, 0, 19*ms)})
			}
		}
		return n
	}
	if free, dear := crossed(0), crossed(0.05); dear >= free/2 {
		t.Errorf("%d of 200 crossed without a price, %d with one; want less than half", free, dear)
	}
}
