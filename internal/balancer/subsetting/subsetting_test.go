package subsetting

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestEndpointsHaveEqualNumbersOfGateways verifies that each endpoint is used by exactly the required number of
// gateways, and that each gateway uses a number of endpoints near the mean.
func TestEndpointsHaveEqualNumbersOfGateways(t *testing.T) {
	for _, c := range []struct{ gateways, endpoints, perGateway, least, most int }{
		{80, 60, 16, 6, 28},
		{200, 60, 16, 6, 28},
		{20, 200, 16, 8, 32},
		{80, 20, 16, 10, 20},
	} {
		t.Run(fmt.Sprint(c.gateways, " gateways, ", c.endpoints, " endpoints"), func(t *testing.T) {
			perEndpoint := GatewaysPerEndpoint(c.gateways, c.endpoints, c.perGateway)
			endpointsOf := make([]int, c.gateways)
			for endpoint := range c.endpoints {
				users := 0
				for gateway := range c.gateways {
					if Uses(fmt.Sprint("s-", endpoint), gateway, c.gateways, perEndpoint, nil) {
						users++
						endpointsOf[gateway]++
					}
				}
				if users != perEndpoint {
					t.Fatalf("an endpoint is used by %d gateways, want %d", users, perEndpoint)
				}
			}
			for gateway, count := range endpointsOf {
				if count < c.least || count > c.most {
					t.Errorf("gateway %d uses %d endpoints, which is too far from the mean", gateway, count)
				}
			}
		})
	}
}

// TestSmallFleetsUseAllEndpoints verifies that each gateway uses all endpoints if there are few gateways or few
// endpoints, or if subsetting is disabled.
func TestSmallFleetsUseAllEndpoints(t *testing.T) {
	for _, c := range []struct{ gateways, endpoints, perGateway int }{
		{2, 100, 16}, {3, 14, 16}, {80, 16, 16}, {0, 5, 16}, {1, 1000, 16}, {5, 5, 0},
	} {
		perEndpoint := GatewaysPerEndpoint(c.gateways, c.endpoints, c.perGateway)
		for gateway := range max(1, c.gateways) {
			if !Uses("s", gateway, max(1, c.gateways), perEndpoint, nil) {
				t.Errorf("%+v: gateway %d does not use the endpoint", c, gateway)
			}
		}
	}
}

// TestNewGatewayMovesFewEndpoints verifies that an added gateway moves few endpoints: each endpoint loses at most one
// of its gateways.
func TestNewGatewayMovesFewEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(3, 120).Draw(t, "gateways")
		perEndpoint := rapid.IntRange(1, gateways).Draw(t, "perEndpoint")
		name := rapid.String().Draw(t, "name")
		lost, users := 0, 0
		for gateway := range gateways {
			before := Uses(name, gateway, gateways, perEndpoint, nil)
			after := Uses(name, gateway, gateways+1, perEndpoint, nil)
			if before {
				users++
			}
			if before && !after {
				lost++
			}
			if !before && after {
				t.Fatalf("gateway %d started to use an endpoint because another gateway was added", gateway)
			}
		}
		if users != perEndpoint || lost > 1 {
			t.Fatalf("%d gateways use the endpoint, want %d; %d stopped, want at most 1", users, perEndpoint, lost)
		}
	})
}

// TestIndexOutsideGateways verifies that a gateway index out of range counts modulo the number of gateways.
func TestIndexOutsideGateways(t *testing.T) {
	for outside, inside := range map[int]int{-1: 79, 85: 5} {
		if Uses("s", outside, 80, 20, nil) != Uses("s", inside, 80, 20, nil) {
			t.Errorf("index %d of 80 gateways does not count as index %d", outside, inside)
		}
	}
}
