package clockskew

import (
	"math/rand/v2"
	"testing"
	"time"
)

const start = 1_000_000 * time.Hour

// fleet is doors whose clocks are off by something, and that tell each other the time ten times a second over lines with a delay.
type fleet struct {
	off    []time.Duration
	drift  []float64
	judges []*Detector
	rng    *rand.Rand
	loss   float64
	delay  time.Duration
	down   map[int]bool
}

func newFleet(seed uint64, off ...time.Duration) *fleet {
	f := &fleet{off: off, rng: rand.New(rand.NewPCG(seed, 1)), delay: 20 * time.Millisecond, down: map[int]bool{}}
	for range off {
		f.judges = append(f.judges, New(len(off)))
		f.drift = append(f.drift, 0)
	}
	return f
}

func (f *fleet) clock(i int, at time.Duration) time.Duration {
	return start + at + f.off[i] + time.Duration(f.drift[i]*float64(at))
}

func (f *fleet) play(from, lasts time.Duration) {
	for at := from; at < from+lasts; at += 100 * time.Millisecond {
		for i := range f.judges {
			for j := range f.judges {
				f.judges[j].Skew(f.clock(j, at))
				if i != j && !f.down[i] && !f.down[j] && f.rng.Float64() >= f.loss {
					f.judges[j].Observe(f.clock(j, at+time.Duration(f.rng.Int64N(int64(f.delay)))), i, f.clock(i, at))
				}
			}
		}
	}
}

func (f *fleet) want(t *testing.T, at time.Duration, wrong ...int) {
	t.Helper()
	bad := map[int]bool{}
	for _, w := range wrong {
		bad[w] = true
	}
	for i, j := range f.judges {
		if f.down[i] {
			continue
		}
		if off, is := j.Skew(f.clock(i, at)); is != bad[i] {
			t.Errorf("after %v door %d of %d, off by %v: wrong %v, behind by %v", at, i, len(f.judges), f.off[i], is, off)
		}
	}
}

// Whose clock is off by more than two seconds finds out, the others don't take themselves for wrong, at lines that lose three of ten and take up to 400 ms;
// a clock that is right within a third of a second is never taken for wrong. An hour back and a day ahead are among them.
func TestPowerClocksOfAMinorityAreFound(t *testing.T) {
	offs := []time.Duration{2500 * time.Millisecond, -2500 * time.Millisecond, -time.Hour, 24 * time.Hour, 300 * time.Millisecond, -300 * time.Millisecond}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		doors := 3 + rng.IntN(10)
		off := make([]time.Duration, doors)
		var wrong []int
		for _, i := range rng.Perm(doors)[:(doors-1)/2] {
			off[i] = offs[rng.IntN(len(offs))]
			if off[i] > time.Second || off[i] < -time.Second {
				wrong = append(wrong, i)
			}
		}
		f := newFleet(seed, off...)
		f.loss, f.delay = 0.3, 400*time.Millisecond
		for i := range f.drift { // none moves by a tenth of a second in the play
			f.drift[i] = 0.01 * (2*rng.Float64() - 1)
		}
		f.play(0, 3*time.Second)
		f.want(t, 3*time.Second, wrong...)
		f.play(3*time.Second, 7*time.Second)
		f.want(t, 10*time.Second, wrong...)
	}
}

// Too few, or such as do not agree, prove nothing; what was found stays until a majority says otherwise, and a door that has come back with another
// clock is judged by that.
func TestPowerClocksWithoutAMajority(t *testing.T) {
	f := newFleet(1, 0, time.Hour)
	f.play(0, 5*time.Second)
	f.want(t, 5*time.Second)
	f = newFleet(2, 0, time.Hour, 2*time.Hour)
	f.play(0, 5*time.Second)
	f.want(t, 5*time.Second)
	f = newFleet(3, 0, 0, time.Hour)
	f.down[1] = true
	f.play(0, 5*time.Second)
	f.want(t, 5*time.Second)
	f.down[1] = false
	f.play(5*time.Second, 2*time.Second)
	f.want(t, 7*time.Second, 2)
	f.down[0] = true
	f.play(7*time.Second, 20*time.Second)
	f.want(t, 27*time.Second, 2) // it was found, and one door alone says nothing new
	f.down[0] = false
	f.off[2] = 0 // started anew, its clock set
	f.judges[2] = New(3)
	f.play(27*time.Second, 3*time.Second)
	f.want(t, 30*time.Second)
	f.off[0], f.judges[0] = -time.Hour, New(3)
	f.play(30*time.Second, 3*time.Second)
	f.want(t, 33*time.Second, 0)
	f.judges[1].Observe(start, 99, 0) // no door of the list
	f.judges[1].Observe(start, -1, 0)
}

// A process that goes on after ten seconds hears first what was said meanwhile: that says nothing of its clock.
func TestPowerClocksAfterAStop(t *testing.T) {
	f := newFleet(4, 0, 0, 0)
	f.play(0, 5*time.Second)
	for at := 5 * time.Second; at < 15*time.Second; at += 100 * time.Millisecond { // all of it read at once
		for from := 1; from < 3; from++ {
			f.judges[0].Observe(f.clock(0, 15*time.Second), from, f.clock(from, at))
			f.want(t, 15*time.Second)
		}
	}
	f.play(15*time.Second, 5*time.Second)
	f.want(t, 20*time.Second)
}
