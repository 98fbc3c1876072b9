package scenario

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
)

const powerLoss = "../../scenarios/power-loss.toml"

// powered is the loss of power at so many front doors, with servers and accounts in proportion.
func powered(t *testing.T, doors int, seed uint64) *Script {
	t.Helper()
	s, err := Load(powerLoss)
	if err != nil {
		t.Fatal(err)
	}
	scale := func(n int) int { return int(math.Ceil(float64(n*doors) / float64(s.Doors))) }
	for i := range s.Servers {
		s.Servers[i].Count = scale(s.Servers[i].Count)
	}
	for i := range s.Accounts {
		s.Accounts[i].Count = scale(s.Accounts[i].Count)
	}
	s.Doors, s.Seed = doors, seed
	return s
}

// after is how many seconds after the power is back a second first has a part of the former service; -1: none has.
func after(r *Report, part float64) int {
	const cut, back = 20, 22
	former := 0.0
	for _, s := range r.Seconds[10:cut] {
		former += s.Service() / 10
	}
	for i := back; i < len(r.Seconds); i++ {
		if r.Seconds[i].Service() >= part*former {
			return i - back + 1
		}
	}
	return -1
}

// Power lost everywhere, 3 to 300 front doors that come back in waves to cold servers: no server is pushed over, no ceiling broken, no effect done twice by a front door, and
// half of the former service is there again within 3 s, 0.95 of it within 10 s.
func TestPowerLostEverywhere(t *testing.T) {
	t.Parallel()
	plays := []struct{ doors, seeds int }{{3, 3}, {20, 1}}
	if os.Getenv("GAPGAP_LONG") != "" {
		plays = append(plays, []struct{ doors, seeds int }{{3, 20}, {20, 5}, {80, 2}, {300, 1}}...)
	}
	for _, c := range plays {
		for seed := range uint64(c.seeds) {
			t.Run(fmt.Sprintf("%d doors, seed %d", c.doors, seed), func(t *testing.T) {
				t.Parallel()
				r := play(t, powered(t, c.doors, seed))
				half, all := after(r, 0.5), after(r, 0.95)
				var curve []string
				for _, s := range r.Seconds[18:36] {
					curve = append(curve, fmt.Sprintf("%.2f", s.Service()))
				}
				t.Logf("half after %d s, 0.95 after %d s; service by second from 2 s before the loss on: %s; %d asked", half, all, strings.Join(curve, " "), r.Totals.Asked)
				for _, l := range r.Broken {
					t.Error(l)
				}
				if half < 0 || half > 3 || all < 0 || all > 10 {
					t.Errorf("half of the former service after %d s, 0.95 after %d s", half, all)
				}
			})
		}
	}
}
