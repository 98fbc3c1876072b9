package policy

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gapgap/internal/fake/race"
)

// maxWindow is how long after the first decision by a version one by an earlier version may come.
const maxWindow = 250 * time.Millisecond

// schedule is a random play of a world, with what was done for a person to read.
type schedule struct {
	*simulation
	rng     *rand.Rand
	voters  int
	changes int
	events  []string
}

// playSchedule plays a random schedule.
func runSchedule(seed uint64, gateways int, length time.Duration) *schedule {
	return runTracedSchedule(seed, gateways, length, nil)
}

// playWith plays a random schedule and records a trace, if there is one.
func runTracedSchedule(seed uint64, gateways int, length time.Duration, trace *simulationTrace) *schedule {
	rng := rand.New(rand.NewPCG(seed, 8))
	s := &schedule{
		simulation: newSimulation(seed, gateways, Mode(rng.IntN(2))),
		rng:        rng,
		voters:     min(3, gateways),
	}
	s.trace = trace
	s.maxDelay = time.Duration(1+rng.IntN(30)) * time.Millisecond
	s.loss = 0.3 * rng.Float64()
	s.duplication = 0.3 * rng.Float64()
	s.decideEvery(7 * time.Millisecond)
	for end := s.now + length; s.now < end; {
		s.run(s.now + s.randomDuration(400*time.Millisecond))
		s.randomAction(s.gateways[rng.IntN(gateways)])
	}
	return s
}

func (s *schedule) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

func (s *schedule) log(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf("%v ", s.now-time.Hour)+fmt.Sprintf(format, args...))
}

// step does one thing at random, mostly to a gateway.
func (s *schedule) randomAction(g *gateway) {
	switch s.rng.IntN(9) {
	case 0, 1, 2:
		s.proposeChange(g)
	case 3:
		s.kill(g)
	case 4:
		s.stop(g)
	case 5:
		s.cutOff(g)
	case 6:
		s.log("another leader")
		s.elect(s.rng.IntN(s.voters))
	}
}

// proposeChange proposes a change of the committed version at a gateway.
func (s *schedule) proposeChange(g *gateway) {
	node := &Node{state: NewState()}
	for i, entry := range s.committed {
		node.Apply(uint64(i)+1, entry)
	}
	s.changes++
	change := &Change{
		ID:     fmt.Sprint("c", s.changes),
		Base:   node.state.Current.Number,
		Hash:   Hash{byte(s.changes), byte(s.changes >> 8), 9},
		Mode:   node.state.Mode,
		Source: uint16(g.index),
	}
	if s.rng.IntN(3) == 0 {
		change.Mode = Wait
	}
	s.log("change %d", s.changes)
	g.runOrDefer(func() { g.query(Query{ChangeID: change.ID, Change: change}) })
}

// kill ends a gateway's process and starts another one later.
func (s *schedule) kill(g *gateway) {
	s.log("kill %d", g.index)
	g.alive = false
	g.processEpoch++
	if s.leader == g.index {
		s.elect((g.index + 1) % s.voters)
	}
	s.after(s.randomDuration(2*time.Second), func() {
		if !g.alive {
			g.start(s.voters)
		}
	})
}

// stop makes a process stand still for a while.
func (s *schedule) stop(g *gateway) {
	if !g.alive || g.stopped {
		return
	}
	s.log("stop %d", g.index)
	g.stopped = true
	epoch := g.processEpoch
	s.after(s.randomDuration(4*time.Second), func() {
		if g.processEpoch == epoch {
			g.resume()
		}
	})
	if s.leader == g.index && s.rng.IntN(2) == 0 {
		s.elect((g.index + 1) % s.voters)
	}
}

// cutOff loses all that a gateway sends, receives or both for a while.
func (s *schedule) cutOff(g *gateway) {
	index, direction := g.index, s.rng.IntN(3)
	s.log("cut %d (%d)", index, direction)
	s.isCut = func(from, to int) bool {
		return direction != 1 && from == index || direction != 0 && to == index
	}
	if s.leader == index && len(s.gateways) > 1 {
		s.elect((index + 1) % s.voters)
	}
	s.after(s.randomDuration(5*time.Second), func() { s.isCut = func(int, int) bool { return false } })
}

// scheduleSeeds are the seeds to play: that of GAPGAP_SEED, or as many as the run has time for.
func scheduleSeeds(t *testing.T) (seeds []uint64) {
	t.Helper()
	if text := os.Getenv("GAPGAP_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return []uint64{seed}
	}
	count := uint64(120)
	if os.Getenv("GAPGAP_LONG") != "" {
		count = 1000
	} else if race.On {
		count = 24
	}
	for seed := range count {
		seeds = append(seeds, seed)
	}
	return seeds
}

// TestPolicySchedules plays 1 to 12 gateways through random schedules.
func TestPolicySchedules(t *testing.T) {
	seeds := scheduleSeeds(t)
	versions, worst := uint64(0), time.Duration(0)
	for _, seed := range seeds {
		gateways := 1 + int(seed%12)
		s := runSchedule(seed, gateways, 15*time.Second)
		if s.worstWindow > maxWindow {
			t.Fatalf("GAPGAP_SEED=%d, %d gateways: decided by an earlier version %v after the first by a later one\n%v",
				seed, gateways, s.worstWindow, s.events)
		}
		worst = max(worst, s.worstWindow)
		for version := range s.firstDecidedAt {
			versions = max(versions, version)
		}
	}
	t.Logf("%d schedules; up to version %d; window %v at worst", len(seeds), versions, worst)
	if versions < 3 {
		t.Error("hardly any change was committed")
	}
}

// TestPolicyTimes measures how long a change takes, and its window, with more gateways than a machine can run.
func TestPolicyTimes(t *testing.T) {
	sizes := []int{3, 20, 80, 300}
	if race.On {
		sizes = sizes[:2]
	}
	for _, gateways := range sizes {
		sim := newSimulation(uint64(gateways), gateways, Wait)
		sim.decideEvery(5 * time.Millisecond)
		sim.run(sim.now + 5*time.Second)
		for version := uint64(2); version < 5; version++ {
			change := &Change{ID: fmt.Sprint(version), Base: version - 1, Hash: Hash{byte(version)}}
			proposedAt := sim.now
			sim.gateways[gateways-1].query(Query{ChangeID: change.ID, Change: change})
			sim.run(sim.now + 4*time.Second)
			first, ok := sim.firstDecidedAt[version]
			if !ok {
				t.Fatalf("%d gateways: change %d was not committed", gateways, version)
			}
			window := sim.lastDecidedAt[version-1] - first
			t.Logf("%d gateways: committed %v after it was proposed, window %v",
				gateways, (first - proposedAt).Round(time.Millisecond), window.Round(time.Millisecond))
			if first-proposedAt > 2*time.Second || window > maxWindow {
				t.Error("too late")
			}
		}
	}
}
