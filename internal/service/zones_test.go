package service

import (
	"fmt"
	"net"
	"sync"
	"testing"

	"gapgap/internal/balancer"
	"gapgap/internal/fake/peer"
)

// zoneRuns records in which zone each request ran.
type zoneRuns struct {
	mu   sync.Mutex
	zone map[string]string
	// twice has the requests that ran in two zones.
	twice []string
}

// record records that a request runs in a zone, and reports whether it is its first run.
func (z *zoneRuns) record(id, zone string) (first bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	before, ran := z.zone[id]
	if ran && before != zone {
		z.twice = append(z.twice, fmt.Sprint(id, " in ", before, " and ", zone))
	}
	z.zone[id] = zone
	return !ran
}

// serve plays an endpoint in a zone that breaks the connection under the first run of each request.
func (z *zoneRuns) serve(t *testing.T, ln net.Listener, zone string) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		p := peer.New(t, conn)
		go func() {
			defer conn.Close()
			for {
				m, err := p.Try()
				if err != nil || len(m) > 2 && z.record(m[2], zone) {
					return
				}
				answer := "+PONG\r\n"
				if len(m) > 2 {
					answer = peer.Answer(zone)
				}
				if _, err := conn.Write([]byte(answer)); err != nil {
					return
				}
			}
		}()
	}
}

// TestZonesThatAreNotListedAreNotOne guards against a request that runs in two zones: its keys are known within one
// zone, it may have run, and the settings do not name the zone of another endpoint. A reload may name it later, or in
// another order.
func TestZonesThatAreNotListedAreNotOne(t *testing.T) {
	const requests = 20
	for name, zones := range map[string][]string{
		"first start":   nil,
		"one zone more": {"dc1", "dc2"},
		"another order": {"dc2", "dc1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := &zoneRuns{zone: map[string]string{}}
			var addrs []string
			for i := range 4 {
				ln := peer.Listen(t)
				addrs = append(addrs, ln.Addr().String())
				go runs.serve(t, ln, fmt.Sprint("dc", 1+i%2))
			}
			list := endpoints(1, addrs...)
			for i := range list.Endpoints {
				list.Endpoints[i].Zone = fmt.Sprint("dc", 1+i%2)
			}
			env := start(t, addrs, func(c *Config, _ *testing.T) {
				c.KnownEndpoints = list
				c.Settings.Classes[1].DedupScope = balancer.DedupZone
			})
			if zones != nil {
				cfg := *env.gateway.cfg
				cfg.Transport.Zones = zones
				if err := env.gateway.Reload(func() (*Config, error) { return &cfg, nil }); err != nil {
					t.Fatal(err)
				}
				list.Index++
				env.updates <- list
				env.gateway.waitForLoop()
			}
			c := env.dial()
			for i := range requests {
				c.Command("Q.DO", peer.Customer, fmt.Sprint("request-", i), peer.Keyed, "body")
				c.Message() // served by a repeat in the zone, or failed
			}
			runs.mu.Lock()
			defer runs.mu.Unlock()
			if len(runs.zone) == 0 || len(runs.twice) > 0 {
				t.Errorf("%d requests ran, in two zones: %v", len(runs.zone), runs.twice)
			}
		})
	}
}

// TestZoneOfTheGatewayOutlastsAReload guards against a gateway that takes another zone for its own after a reload that
// names the zones in another order.
func TestZoneOfTheGatewayOutlastsAReload(t *testing.T) {
	env := start(t, nil)
	for _, test := range []struct {
		zones []string
		own   int
		want  int
	}{
		{[]string{"dc1"}, 0, 0},
		{[]string{"dc2", "dc1"}, 1, 0},
		{[]string{"dc1", "dc2"}, 0, 0},
		{nil, 0, 0},
		{nil, 3, 3},
	} {
		cfg := *env.gateway.cfg
		cfg.Transport.Zones, cfg.Settings.Zone = test.zones, test.own
		if got := env.gateway.rulesFor(&cfg).Settings.Zone; got != test.want {
			t.Errorf("%v, %d: zone %d, want %d", test.zones, test.own, got, test.want)
		}
	}
	cfg := *env.gateway.cfg
	cfg.Transport.Zones, cfg.Settings.Zone = []string{"dc2", "dc1"}, 0
	if got := env.gateway.rulesFor(&cfg).Settings.Zone; got == 0 {
		t.Error("a zone that was not named at the start counts as the first one")
	}
}
