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

// Seconds of the script in which power is lost, and in which the first gateways are back.
const (
	powerLost     = 20
	powerReturned = 22
)

// scaledPowerLoss is the loss of power at a number of gateways, with endpoints and accounts in proportion.
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

// secondsToRecover is how many seconds after the power is back a second first has a fraction of the former service; -1:
// none has.
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

// Power lost everywhere, 3 to 300 gateways that come back in waves to endpoints that have just started: no endpoint is
// overloaded, no ceiling exceeded, no effect done twice by a gateway, and half of the former service is there again
// within 3 s, 0.95 of it within 10 s.
func TestPowerLostEverywhere(t *testing.T) {
	t.Parallel()
	type play struct {
		gateways int
		seeds    int
	}
	plays := []play{{3, 3}, {20, 1}}
	if os.Getenv("GAPGAP_LONG") != "" {
		plays = append(plays, play{3, 20}, play{20, 5}, play{80, 2}, play{300, 1})
	}
	for _, c := range plays {
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

// The script's gateways come back in waves: the end of one kill does not start a gateway that another one still holds
// down.
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
		t.Errorf("alive: %d before, %d without power, then %d, %d, %d; want three waves",
			before, lost, first, second, all)
	}
}
