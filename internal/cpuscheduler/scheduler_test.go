package cpuscheduler

import (
	"math"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation runs the turns of several flows on one goroutine, without real time: it keeps the waiting turns and ends
// the running ones in the order in which they started.
type simulation struct {
	flows   []*Flow
	waiting [][]chan struct{} // channels of the waiting turns, by flow
	running []int             // flows of the running turns, oldest first
	used    []time.Duration   // processor time, by flow
}

// request requests a turn of a flow.
func (sim *simulation) request(i int) {
	if turn := sim.flows[i].enter(); turn != nil {
		sim.waiting[i] = append(sim.waiting[i], turn)
	} else {
		sim.running = append(sim.running, i)
	}
}

// end ends the oldest running turn, which took a time, and finds the turns that have started.
func (sim *simulation) end(took time.Duration) {
	i := sim.running[0]
	sim.running = sim.running[1:]
	sim.used[i] += took
	sim.flows[i].leave(took)
	for j, turns := range sim.waiting {
		if len(turns) > 0 {
			select {
			case <-turns[0]:
				sim.waiting[j] = turns[1:]
				sim.running = append(sim.running, j)
			default:
			}
		}
	}
}

// newSimulation returns a simulation with one flow for each weight.
func newSimulation(cores int, weights ...float64) *simulation {
	s := New(cores)
	sim := &simulation{waiting: make([][]chan struct{}, len(weights)), used: make([]time.Duration, len(weights))}
	for _, weight := range weights {
		sim.flows = append(sim.flows, s.Flow(weight))
	}
	return sim
}

// TestPoolsGateSharesByWeight verifies that flows with a constant backlog get processor time in proportion to their
// weights, however long their turns are and however many wait.
func TestPoolsGateSharesByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.2, 5), 2, 4).Draw(t, "weights")
		sim := newSimulation(rapid.IntRange(1, 3).Draw(t, "slots"), weights...)
		turnTime := make([]time.Duration, len(weights))
		sum := 0.0
		for i := range weights {
			turnTime[i] = time.Duration(rapid.IntRange(1, 50).Draw(t, "turn")) * time.Microsecond
			for range rapid.IntRange(4, 40).Draw(t, "waiting") {
				sim.request(i)
			}
			sum += weights[i]
		}
		for range 20_000 {
			i := sim.running[0]
			sim.end(turnTime[i])
			sim.request(i)
		}
		total := time.Duration(0)
		for _, used := range sim.used {
			total += used
		}
		for i, used := range sim.used {
			if want := weights[i] / sum; math.Abs(float64(used)/float64(total)-want) > 0.02 {
				t.Fatalf("flow %d of weights %v got %.3f of the time, want %.3f",
					i, weights, float64(used)/float64(total), want)
			}
		}
	})
}

// TestPoolsGateQuietGoesNext verifies that the turn of a flow with little work goes next, however many turns of another
// flow wait, and that a flow earns no credit while it is idle.
func TestPoolsGateQuietGoesNext(t *testing.T) {
	sim := newSimulation(1, 1, 1)
	for range 1000 {
		sim.request(0)
	}
	for range 500 {
		sim.end(10 * time.Microsecond)
		sim.request(0)
	}
	for range 100 {
		sim.request(1) // the quiet flow
		sim.end(10 * time.Microsecond)
		sim.request(0)
		if sim.running[0] != 1 {
			t.Fatal("the turn of the quiet flow was not next")
		}
		sim.end(10 * time.Microsecond)
	}
	before := sim.used[0]
	for range 200 { // now with as much work as the other flow: each gets half from here on
		sim.request(1)
	}
	start := sim.used[1]
	for range 200 {
		i := sim.running[0]
		sim.end(10 * time.Microsecond)
		sim.request(i)
	}
	if a, b := sim.used[0]-before, sim.used[1]-start; a < b*8/10 || b < a*8/10 {
		t.Errorf("the flows used %v and %v, want about the same", a, b)
	}
}

// TestPoolsGateUnderRace verifies that no turn waits while a core is free, that turns of a nil flow never wait, and
// that the turns of many concurrent goroutines all end.
func TestPoolsGateUnderRace(t *testing.T) {
	var none *Flow
	none.Leave(none.Enter())
	if none.Stats() != (Stats{}) {
		t.Error("a nil flow has statistics")
	}
	s := New(2)
	a, b := s.Flow(1), s.Flow(2)
	a.Leave(a.Enter())
	if f := a.Stats(); f.Turns != 1 || f.Waited != 0 {
		t.Errorf("%+v", f)
	}
	var wg sync.WaitGroup
	for i := range 32 {
		wg.Go(func() {
			f := []*Flow{a, b}[i%2]
			for range 500 {
				f.Leave(f.Enter())
			}
		})
	}
	wg.Wait()
	if f, h := a.Stats(), b.Stats(); f.Turns != 8001 || h.Turns != 8000 || s.running != 0 || s.queue.Len() != 0 {
		t.Errorf("%+v %+v, %d running", f, h, s.running)
	}
}

// TestPoolsGateBreathes verifies that there is a poll pause after each quantum of continuous work, and none if there is
// idle time between the turns.
func TestPoolsGateBreathes(t *testing.T) {
	s := New(1)
	now := time.Now()
	count := func(gap time.Duration) (n int) {
		for range 100 {
			now = now.Add(quantum/10 + gap)
			if s.needsPollPause(now, quantum/10) {
				n++
			}
		}
		return n
	}
	count(0)
	if n := count(0); n != 10 {
		t.Errorf("%d poll pauses in ten quanta of continuous work", n)
	}
	count(quantum)
	if n := count(quantum); n != 0 {
		t.Errorf("%d poll pauses with idle time between turns", n)
	}
}
