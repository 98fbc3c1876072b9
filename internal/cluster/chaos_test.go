package cluster

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gapgap/internal/fake/race"
)

// chaosRun is a run of a simulated cluster under a random schedule of faults: gateways are killed, restarted, suspended
// and resumed, and lose their disks; the network drops, delays and reorders messages; the cluster is partitioned into
// two sides, in one or both directions, or into a star; pools apply share leases late.
type chaosRun struct {
	cluster *simulatedCluster
	rng     *rand.Rand
	// log has one line per action.
	log []string
	// side is the side of each gateway in a partition.
	side []int
	// isOneWay reports whether the partition blocks messages in one direction only.
	isOneWay bool
	// hub is the only gateway that all others can reach in a star partition; negative means none.
	hub      int
	loss     float64
	maxDelay time.Duration
}

// runChaos runs a cluster under the random schedule of a seed.
func runChaos(seed uint64, length time.Duration, injected flaws) *chaosRun {
	rng := rand.New(rand.NewPCG(seed, 1))
	gateways := 2 + rng.IntN(8)
	if seed%10 == 0 {
		gateways = 2 + rng.IntN(40)
	}
	c := newSimulatedCluster(seed, gateways)
	c.flaws = injected
	c.maxApplyDelay = time.Duration(1+rng.IntN(400)) * time.Millisecond
	if injected.slowClocks {
		for i := 0; i < gateways; i += 2 {
			c.gateways[i].drift = 0.5
		}
	}
	run := &chaosRun{cluster: c, rng: rng, side: make([]int, gateways), hub: -1, maxDelay: time.Millisecond}
	run.logf("%d gateways, share leases are applied within %v", gateways, c.maxApplyDelay)
	c.network = run.network
	c.startAll()
	for end := c.now + length; c.now < end; {
		c.run(time.Duration(rng.IntN(3000))*time.Millisecond, 20*time.Millisecond)
		run.act(c.gateways[rng.IntN(gateways)])
	}
	return run
}

func (r *chaosRun) logf(format string, args ...any) {
	elapsed := (r.cluster.now - time.Hour).Seconds()
	r.log = append(r.log, fmt.Sprintf("%7.2f ", elapsed)+fmt.Sprintf(format, args...))
}

// network implements simulatedCluster.network.
func (r *chaosRun) network(from, to int) (isLost bool, delay time.Duration) {
	isCut := r.side[from] != r.side[to] && (!r.isOneWay || r.side[from] > r.side[to])
	isCut = isCut || r.hub >= 0 && from != r.hub && to != r.hub
	isLost = isCut || r.cluster.rng.Float64() < r.loss
	return isLost, r.cluster.randomDuration(r.maxDelay)
}

// act performs one random action, some of which affect the given gateway.
func (r *chaosRun) act(gateway *simulatedGateway) {
	switch r.rng.IntN(11) {
	case 0, 1:
		r.killOrStart(gateway)
	case 2:
		r.suspendOrResume(gateway)
	case 3:
		if gateway.isActive() {
			r.logf("gateway %d restarts with an empty disk", gateway.index)
			gateway.incarnation = 0
			gateway.start()
		}
	case 4:
		for i := range r.side {
			r.side[i] = r.rng.IntN(2)
		}
		r.isOneWay, r.hub = r.rng.IntN(2) == 0, -1
		r.logf("partition into sides %v, one way: %v", r.side, r.isOneWay)
	case 5:
		r.hub = r.rng.IntN(len(r.side))
		r.logf("star partition around gateway %d", r.hub)
	case 6:
		r.loss = r.rng.Float64() * 0.6
		r.maxDelay = time.Duration(1+r.rng.IntN(1500)) * time.Millisecond
		r.logf("loss %.2f, delay up to %v", r.loss, r.maxDelay)
	case 7:
		gateway.extraTickDelay = time.Duration(r.rng.IntN(600)) * time.Millisecond
		r.logf("gateway %d ticks %v late", gateway.index, gateway.extraTickDelay)
	default:
		clear(r.side)
		r.loss, r.maxDelay, r.hub, gateway.extraTickDelay = 0, time.Millisecond, -1, 0
		r.logf("network and gateway back to normal")
	}
}

func (r *chaosRun) killOrStart(gateway *simulatedGateway) {
	if gateway.isRunning {
		r.logf("gateway %d is killed", gateway.index)
		gateway.kill()
		return
	}
	r.logf("gateway %d starts", gateway.index)
	gateway.start()
}

func (r *chaosRun) suspendOrResume(gateway *simulatedGateway) {
	switch {
	case gateway.isActive():
		r.logf("gateway %d is suspended", gateway.index)
		gateway.suspend()
	case gateway.isRunning:
		r.logf("gateway %d is resumed", gateway.index)
		gateway.resume()
	}
}

// TestNoSlotIsUsedTwice verifies that no two gateways use the same slot at the same time under random schedules of
// faults. GAPGAP_SEED runs a single schedule and prints it.
func TestNoSlotIsUsedTwice(t *testing.T) {
	skipUnderRaceDetector(t)
	if text := os.Getenv("GAPGAP_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		run := runChaos(seed, 2*time.Minute, flaws{})
		for _, line := range run.log {
			t.Log(line)
		}
		t.Log(run.cluster.violation)
		return
	}
	for seed := uint64(1); seed <= 60; seed++ {
		if violation := runChaos(seed, time.Minute, flaws{}).cluster.violation; violation != "" {
			t.Errorf("GAPGAP_SEED=%d: %s", seed, violation)
		}
	}
}

// TestSlotCheckFindsFlaws verifies that the slot check detects each injected flaw: two gateways then use the same slot
// at the same time.
func TestSlotCheckFindsFlaws(t *testing.T) {
	skipUnderRaceDetector(t)
	const schedules = 150
	cases := []struct {
		name     string
		injected flaws
	}{
		{"voters forget", flaws{votersForget: true}},
		{"slow clocks", flaws{slowClocks: true}},
		{"keeps old grants", flaws{keepsOldGrants: true}},
		{"accepts old requests", flaws{acceptsOldRequests: true}},
		{"releases at once", flaws{releasesAtOnce: true}},
		{"ignores expiry", flaws{ignoresExpiry: true}},
		{"one grant suffices", flaws{oneGrantSuffices: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := uint64(1); seed <= schedules; seed++ {
				if runChaos(seed, 2*time.Minute, c.injected).cluster.violation != "" {
					return
				}
			}
			t.Errorf("not found in %d schedules", schedules)
		})
	}
}

// skipUnderRaceDetector skips a single-goroutine test that is slow under the race detector.
func skipUnderRaceDetector(t *testing.T) {
	t.Helper()
	if race.On {
		t.Skip("single goroutine: nothing for the race detector to find")
	}
}
