package scenario

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"gapgap/internal/simulator"
)

const powerLossScript = "../../scenarios/power-loss.toml"

// Seconds of the script in which power is lost and in which the first gateways restart.
const (
	powerLost     = 20
	powerReturned = 22
)

// scaledPowerLoss returns the power-loss script for a number of gateways, with endpoints and accounts scaled in
// proportion.
func scaledPowerLoss(t *testing.T, gateways int, seed uint64) *Script {
	t.Helper()
	script, err := Load(powerLossScript)
	if err != nil {
		t.Fatal(err)
	}
	scale := func(n int) int { return int(math.Ceil(float64(n*gateways) / float64(script.Gateways))) }
	for i := range script.Endpoints {
		script.Endpoints[i].Count = scale(script.Endpoints[i].Count)
	}
	for i := range script.Accounts {
		script.Accounts[i].Count = scale(script.Accounts[i].Count)
	}
	script.Gateways = gateways
	script.Seed = seed
	return script
}

// secondsToRecover returns after how many seconds from the return of power the service first reaches a fraction of its
// former level; -1 if it never does.
func secondsToRecover(report *Report, fraction float64) int {
	former := 0.0
	for _, tally := range report.Seconds[10:powerLost] {
		former += tally.Service() / 10
	}
	for i := powerReturned; i < len(report.Seconds); i++ {
		if report.Seconds[i].Service() >= fraction*former {
			return i - powerReturned + 1
		}
	}
	return -1
}

// TestPowerLostEverywhere verifies recovery from a power loss of the whole fleet, in which 3 to 300 gateways restart in
// waves while all endpoints are in slow start. No endpoint may be overloaded, no ceiling exceeded and no effect done
// twice by a gateway, and half of the former service must be back within 3 s, 0.95 of it within 10 s.
func TestPowerLostEverywhere(t *testing.T) {
	t.Parallel()
	type testCase struct {
		gateways int
		seeds    int
	}
	cases := []testCase{{3, 3}, {20, 1}}
	if os.Getenv("GAPGAP_LONG") != "" {
		cases = append(cases, testCase{3, 20}, testCase{20, 5}, testCase{80, 2}, testCase{300, 1})
	}
	for _, c := range cases {
		for seed := range uint64(c.seeds) {
			t.Run(fmt.Sprintf("%d gateways, seed %d", c.gateways, seed), func(t *testing.T) {
				t.Parallel()
				report := mustRun(t, scaledPowerLoss(t, c.gateways, seed))
				half := secondsToRecover(report, 0.5)
				most := secondsToRecover(report, 0.95)
				var services []string
				for _, tally := range report.Seconds[18:36] {
					services = append(services, fmt.Sprintf("%.2f", tally.Service()))
				}
				t.Logf("half after %d s, 0.95 after %d s; "+
					"service by second from 2 s before the loss on: %s; %d requests",
					half, most, strings.Join(services, " "), report.Totals.Requests)
				for _, violation := range report.Violations {
					t.Error(violation)
				}
				if half < 0 || half > 3 || most < 0 || most > 10 {
					t.Errorf("half of the former service after %d s, 0.95 after %d s", half, most)
				}
			})
		}
	}
}

// TestPowerLossScriptPlaysWaves verifies that the gateways of the script restart in waves: the end of one kill must not
// restart a gateway that another kill still keeps down.
func TestPowerLossScriptPlaysWaves(t *testing.T) {
	t.Parallel()
	r := newRun(scaledPowerLoss(t, 5, 0))
	if err := r.addEndpoints(); err != nil {
		t.Fatal(err)
	}
	if err := r.startGateways(); err != nil {
		t.Fatal(err)
	}
	r.scheduleEvents()
	alive := func(at time.Duration) (n int) {
		r.world.Run(simulator.Start + at)
		for _, gateway := range r.world.Gateways {
			if gateway.IsAlive {
				n++
			}
		}
		return n
	}
	before, lost := alive(19*time.Second), alive(21*time.Second)
	first, second, all := alive(22500*time.Millisecond), alive(24*time.Second), alive(27*time.Second)
	if before != 5 || lost != 0 || first < 1 || first >= second || second >= all || all != 5 {
		t.Errorf("alive: %d before, %d during the power loss, then %d, %d, %d; want three waves",
			before, lost, first, second, all)
	}
}
