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

// maxWindow is the maximum time between the first decision by a version and a decision by an earlier version.
const maxWindow = 250 * time.Millisecond

// schedule is a simulation with random faults and changes, and a log of them for failure messages.
type schedule struct {
	*simulation
	rng     *rand.Rand
	voters  int
	changes int
	events  []string
}

// runSchedule runs a random schedule.
func runSchedule(seed uint64, gateways int, length time.Duration) *schedule {
	return runTracedSchedule(seed, gateways, length, nil)
}

// runTracedSchedule runs a random schedule and records a trace unless trace is nil.
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

// randomAction performs a random action, most of them on the given gateway, or none.
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
		s.log("elect another leader")
		s.elect(s.rng.IntN(s.voters))
	}
}

// proposeChange proposes a change of the last committed version at a gateway.
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

// kill kills a gateway's process and starts another one after a random time.
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

// stop suspends a process for a random time.
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

// cutOff drops all messages that a gateway sends, receives or both for a random time.
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

// scheduleSeeds returns the seeds to run: only that of GAPGAP_SEED if it is set, else a number that depends on
// GAPGAP_LONG and the race detector.
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

// TestPolicySchedules verifies that no gateway decides by an earlier version more than maxWindow after the first
// decision by a later one. It runs 1 to 12 gateways through random schedules of changes, crashes, pauses, partitions
// and elections.
func TestPolicySchedules(t *testing.T) {
	seeds := scheduleSeeds(t)
	versions, worst := uint64(0), time.Duration(0)
	for _, seed := range seeds {
		gateways := 1 + int(seed%12)
		s := runSchedule(seed, gateways, 15*time.Second)
		if s.worstWindow > maxWindow {
			t.Fatalf("GAPGAP_SEED=%d, %d gateways: decision by an old version %v after the first by a newer one\n%v",
				seed, gateways, s.worstWindow, s.events)
		}
		worst = max(worst, s.worstWindow)
		for version := range s.firstDecidedAt {
			versions = max(versions, version)
		}
	}
	t.Logf("%d schedules; up to version %d; window %v at worst", len(seeds), versions, worst)
	if versions < 3 {
		t.Error("no schedule committed version 3")
	}
}

// TestPolicyTimes verifies the time until a change takes effect, and its window, with up to 300 simulated gateways,
// more than one machine can run as processes.
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
				t.Error("the commit took more than 2s or the window is too long")
			}
		}
	}
}
