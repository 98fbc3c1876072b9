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

// chaos is a random schedule: gateways die, restart, are suspended and resumed, lose their disks; networks drop, delay
// and reorder; clusters are partitioned in two, in a star or one way; pools apply share leases late.
type chaos struct {
	cluster *simulatedCluster
	rng     *rand.Rand
	// log says what was done, a line each.
	log []string
	// side is the half of the cluster that each gateway is in, while it is partitioned.
	side []int
	// isOneWay is whether only one half does not reach the other.
	isOneWay bool
	// hub is the one gateway that all others reach in a star; none if negative.
	hub      int
	loss     float64
	maxDelay time.Duration
}

// runChaos plays a schedule.
func runChaos(seed uint64, length time.Duration, broken flaws) *chaos {
	rng := rand.New(rand.NewPCG(seed, 1))
	gateways := 2 + rng.IntN(8)
	if seed%10 == 0 {
		gateways = 2 + rng.IntN(40)
	}
	c := newSimulatedCluster(seed, gateways)
	c.flaws = broken
	c.maxApplyDelay = time.Duration(1+rng.IntN(400)) * time.Millisecond
	if broken.slowClocks {
		for i := 0; i < gateways; i += 2 {
			c.gateways[i].drift = 0.5
		}
	}
	schedule := &chaos{cluster: c, rng: rng, side: make([]int, gateways), hub: -1, maxDelay: time.Millisecond}
	schedule.logf("%d gateways, leases are applied within %v", gateways, c.maxApplyDelay)
	c.network = schedule.network
	c.startAll()
	for end := c.now + length; c.now < end; {
		c.run(time.Duration(rng.IntN(3000))*time.Millisecond, 20*time.Millisecond)
		schedule.act(c.gateways[rng.IntN(gateways)])
	}
	return schedule
}

func (s *chaos) logf(format string, args ...any) {
	elapsed := (s.cluster.now - time.Hour).Seconds()
	s.log = append(s.log, fmt.Sprintf("%7.2f ", elapsed)+fmt.Sprintf(format, args...))
}

// network implements simulatedCluster.network.
func (s *chaos) network(from, to int) (isLost bool, delay time.Duration) {
	isCut := s.side[from] != s.side[to] && (!s.isOneWay || s.side[from] > s.side[to])
	isCut = isCut || s.hub >= 0 && from != s.hub && to != s.hub
	isLost = isCut || s.cluster.rng.Float64() < s.loss
	return isLost, s.cluster.randomDuration(s.maxDelay)
}

// act does one random thing, some of them to a gateway.
func (s *chaos) act(gateway *simulatedGateway) {
	switch s.rng.IntN(11) {
	case 0, 1:
		s.killOrStart(gateway)
	case 2:
		s.suspendOrResume(gateway)
	case 3:
		if gateway.isActive() {
			s.logf("%d restarts with an empty disk", gateway.index)
			gateway.incarnation = 0
			gateway.start()
		}
	case 4:
		for i := range s.side {
			s.side[i] = s.rng.IntN(2)
		}
		s.isOneWay, s.hub = s.rng.IntN(2) == 0, -1
		s.logf("partition %v, one way %v", s.side, s.isOneWay)
	case 5:
		s.hub = s.rng.IntN(len(s.side))
		s.logf("star about %d", s.hub)
	case 6:
		s.loss = s.rng.Float64() * 0.6
		s.maxDelay = time.Duration(1+s.rng.IntN(1500)) * time.Millisecond
		s.logf("loss %.2f, delay up to %v", s.loss, s.maxDelay)
	case 7:
		gateway.extraTickDelay = time.Duration(s.rng.IntN(600)) * time.Millisecond
		s.logf("%d ticks %v late", gateway.index, gateway.extraTickDelay)
	default:
		clear(s.side)
		s.loss, s.maxDelay, s.hub, gateway.extraTickDelay = 0, time.Millisecond, -1, 0
		s.logf("healed")
	}
}

func (s *chaos) killOrStart(gateway *simulatedGateway) {
	if gateway.isRunning {
		s.logf("%d dies", gateway.index)
		gateway.kill()
		return
	}
	s.logf("%d starts", gateway.index)
	gateway.start()
}

func (s *chaos) suspendOrResume(gateway *simulatedGateway) {
	switch {
	case gateway.isActive():
		s.logf("%d is suspended", gateway.index)
		gateway.suspend()
	case gateway.isRunning:
		s.logf("%d is resumed", gateway.index)
		gateway.resume()
	}
}

// TestNoSlotIsUsedTwice holds that under any schedule. GAPGAP_SEED plays one again and prints it.
func TestNoSlotIsUsedTwice(t *testing.T) {
	skipUnderRaceDetector(t)
	if text := os.Getenv("GAPGAP_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		schedule := runChaos(seed, 2*time.Minute, flaws{})
		for _, line := range schedule.log {
			t.Log(line)
		}
		t.Log(schedule.cluster.violation)
		return
	}
	for seed := uint64(1); seed <= 60; seed++ {
		if violation := runChaos(seed, time.Minute, flaws{}).cluster.violation; violation != "" {
			t.Errorf("GAPGAP_SEED=%d: %s", seed, violation)
		}
	}
}

// TestSlotCheckFindsFlaws holds that each way to break the rules leads to a slot that is used twice.
func TestSlotCheckFindsFlaws(t *testing.T) {
	skipUnderRaceDetector(t)
	const schedules = 150
	cases := []struct {
		name   string
		broken flaws
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
				if runChaos(seed, 2*time.Minute, c.broken).cluster.violation != "" {
					return
				}
			}
			t.Errorf("not found in %d schedules", schedules)
		})
	}
}

// skipUnderRaceDetector skips a test that uses one goroutine only and takes long under the race detector.
func skipUnderRaceDetector(t *testing.T) {
	t.Helper()
	if race.On {
		t.Skip("one goroutine")
	}
}
