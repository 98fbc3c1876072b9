package cpuscheduler

import (
	"math"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// player plays flows that always want more, in virtual time: it holds what waits and ends turns in their order.
type player struct {
	flows []*Flow
	waits [][]chan struct{} // by flow, those that wait
	in    []int             // flows whose turns run
	got   []time.Duration
}

// ask asks for a turn of a flow.
func (p *player) ask(i int) {
	if turn := p.flows[i].enter(); turn != nil {
		p.waits[i] = append(p.waits[i], turn)
	} else {
		p.in = append(p.in, i)
	}
}

// end ends the oldest turn, which took so long, and finds who was let in.
func (p *player) end(took time.Duration) {
	i := p.in[0]
	p.in = p.in[1:]
	p.got[i] += took
	p.flows[i].leave(took)
	for j, list := range p.waits {
		if len(list) > 0 {
			select {
			case <-list[0]:
				p.waits[j] = list[1:]
				p.in = append(p.in, j)
			default:
			}
		}
	}
}

func play(slots int, weights ...float64) *player {
	g := New(slots)
	p := &player{waits: make([][]chan struct{}, len(weights)), got: make([]time.Duration, len(weights))}
	for _, w := range weights {
		p.flows = append(p.flows, g.Flow(w))
	}
	return p
}

// Flows that always want more get time by their weights, however long their turns are and however many wait in each.
func TestPoolsGateSharesByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.2, 5), 2, 4).Draw(t, "weights")
		p := play(rapid.IntRange(1, 3).Draw(t, "slots"), weights...)
		long := make([]time.Duration, len(weights))
		sum := 0.0
		for i := range weights {
			long[i] = time.Duration(rapid.IntRange(1, 50).Draw(t, "turn")) * time.Microsecond
			for range rapid.IntRange(4, 40).Draw(t, "waiting") {
				p.ask(i)
			}
			sum += weights[i]
		}
		for range 20_000 {
			i := p.in[0]
			p.end(long[i])
			p.ask(i)
		}
		total := time.Duration(0)
		for _, d := range p.got {
			total += d
		}
		for i, d := range p.got {
			if want := weights[i] / sum; math.Abs(float64(d)/float64(total)-want) > 0.02 {
				t.Fatalf("flow %d of %v has %.3f of the time, want %.3f", i, weights, float64(d)/float64(total), want)
			}
		}
	})
}

// A flow that wants little is let in next, however many wait in another, and gets no credit for the time before.
func TestPoolsGateQuietGoesNext(t *testing.T) {
	p := play(1, 1, 1)
	for range 1000 {
		p.ask(0)
	}
	for range 500 {
		p.end(10 * time.Microsecond)
		p.ask(0)
	}
	for range 100 {
		p.ask(1) // the quiet one
		p.end(10 * time.Microsecond)
		p.ask(0)
		if p.in[0] != 1 {
			t.Fatal("the quiet flow was not next")
		}
		p.end(10 * time.Microsecond)
	}
	before := p.got[0]
	for range 200 { // now it wants as much as the other: each gets half from here on
		p.ask(1)
	}
	start := p.got[1]
	for range 200 {
		i := p.in[0]
		p.end(10 * time.Microsecond)
		p.ask(i)
	}
	if a, b := p.got[0]-before, p.got[1]-start; a < b*8/10 || b < a*8/10 {
		t.Errorf("%v and %v", a, b)
	}
}

// With room nobody waits; a nil flow never does; and turns from many goroutines all come to their end.
func TestPoolsGateUnderRace(t *testing.T) {
	var none *Flow
	none.Leave(none.Enter())
	if none.Stats() != (Stats{}) {
		t.Error("a nil flow has figures")
	}
	g := New(2)
	a, b := g.Flow(1), g.Flow(2)
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
	if f, h := a.Stats(), b.Stats(); f.Turns != 8001 || h.Turns != 8000 || g.busy != 0 || g.queue.Len() != 0 {
		t.Errorf("%+v %+v, %d busy", f, h, g.busy)
	}
}

// A flow that works without a pause stops for breath after each quantum; one that works now and then does not.
func TestPoolsGateBreathes(t *testing.T) {
	g := New(1)
	now := time.Now()
	count := func(gap time.Duration) (n int) {
		for range 100 {
			now = now.Add(quantum/10 + gap)
			if g.breathes(now, quantum/10) {
				n++
			}
		}
		return n
	}
	count(0)
	if n := count(0); n != 10 {
		t.Errorf("%d breaths in ten quanta of work without a pause", n)
	}
	count(quantum)
	if n := count(quantum); n != 0 {
		t.Errorf("%d breaths with room between turns", n)
	}
}
