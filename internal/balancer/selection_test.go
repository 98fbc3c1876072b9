package balancer

import (
	"testing"
	"time"
)

// TestGatewayKeepsToItsSubset verifies that a gateway of a large fleet uses only its subset of endpoints while these
// serve, and uses other endpoints rather than reject requests when they do not.
func TestGatewayKeepsToItsSubset(t *testing.T) {
	settings := largeFleetSettings(80)
	settings.Index = 5
	b := newTestBalancer(t, settings, testEndpoints(60)...)
	used := map[string]int{}
	now := time.Second
	for id := uint64(1); id < 400; id++ {
		now += 200 * ms
		actions := b.Step(now, []Event{testRequest(id, 0, 2), TimerFired{tickCookie}})
		for _, dispatch := range actionsOf[Dispatch](actions) {
			used[dispatch.Endpoint]++
			b.Step(now+40*ms, []Event{succeeded(dispatch, 0, 40*ms)})
		}
	}
	if len(used) < 6 || len(used) > 28 {
		t.Errorf("%d of 60 endpoints used by requests one at a time, want 6 to 28", len(used))
	}
	var drained []Endpoint
	for name := range used {
		drained = append(drained, Endpoint{Name: name, State: Draining})
	}
	now += time.Second
	actions := b.Step(now, []Event{EndpointUpdate{Kind: Delta, Entries: drained}, testRequest(1000, 0, 2)})
	if s := actionsOf[Dispatch](actions); len(s) != 1 || used[s[0].Endpoint] != 0 {
		t.Errorf("no other endpoint was used with the whole subset draining: %v", actions)
	}
}

// TestSmallFleetUsesAllEndpoints verifies that each gateway of a small fleet uses all endpoints.
func TestSmallFleetUsesAllEndpoints(t *testing.T) {
	settings := testSettings()
	settings.Gateways = 4
	b := newTestBalancer(t, settings, testEndpoints(60)...)
	used := map[string]bool{}
	for id := uint64(1); id <= 60; id++ {
		for _, dispatch := range actionsOf[Dispatch](b.Step(time.Second, []Event{testRequest(id, 0, 2)})) {
			used[dispatch.Endpoint] = true
		}
	}
	if len(used) != 60 {
		t.Errorf("60 requests at once used %d of 60 endpoints", len(used))
	}
}

// TestZoneCrossingHasCost verifies that, if crossing zones has a cost, an endpoint of the gateway's own zone is
// preferred until it has clearly more work than one of another zone.
func TestZoneCrossingHasCost(t *testing.T) {
	crossed := func(cost float64) int {
		settings := testSettings()
		settings.UseCounter, settings.CrossZoneCost, settings.Gateways = false, cost, 1
		list := testEndpoints(2)
		list[1].Zone = 1
		b := newTestBalancer(t, settings, list...)
		n := 0
		for i := range uint64(200) {
			now := time.Duration(i) * 20 * ms
			for _, dispatch := range actionsOf[Dispatch](b.Step(now, []Event{testRequest(i, 0, 2)})) {
				if dispatch.Endpoint == list[1].Name {
					n++
				}
				b.Step(now+19*ms, []Event{succeeded(dispatch, 0, 19*ms)})
			}
		}
		return n
	}
	if free, costly := crossed(0), crossed(0.05); costly >= free/2 {
		t.Errorf("%d of 200 requests crossed zones without a cost, %d with one; want less than half", free, costly)
	}
}
