package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

var least = Terms{First: 100 * time.Millisecond, Most: 500 * time.Millisecond, Grow: 1.5}

// Askers that are all turned away at the same instant by a service that answers 20 a second, and turns away who would wait for
// over 2 s, are all answered in a few times what it takes to answer all, and seldom turned away.
func TestAllAreAnsweredAfterAMassRestart(t *testing.T) {
	for _, askers := range []int{2, 20, 80, 200} {
		const perSecond = 20.0
		terms := For(askers, perSecond, least)
		due := make([]time.Duration, askers)
		offs := make([]Backoff, askers)
		rngs := make([]*rand.Rand, askers)
		for i := range offs {
			offs[i].Terms = terms
			rngs[i] = rand.New(rand.NewPCG(uint64(i), 1))
		}
		answered, turned, busy, last := 0, 0, time.Duration(0), time.Duration(0)
		for now := time.Duration(0); answered < askers; now += 10 * time.Millisecond {
			if now > 10*time.Minute {
				t.Fatalf("%d askers: %d answered after ten minutes", askers, answered)
			}
			for i := range due {
				if due[i] < 0 || due[i] > now {
					continue
				}
				if busy-now > 2*time.Second {
					turned++
					due[i] = now + offs[i].Next(rngs[i])
					continue
				}
				busy = max(busy, now) + time.Second/perSecond
				answered, due[i], last = answered+1, -1, busy
			}
		}
		need := time.Duration(float64(askers) / perSecond * float64(time.Second))
		if last > 3*need+time.Second {
			t.Errorf("%d askers: the last was answered after %v; %v would do", askers, last, need)
		}
		if turned > 2*askers {
			t.Errorf("%d askers were turned away %d times", askers, turned)
		}
	}
}

func TestPausesGrowToTheMostAndStartAnew(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	b := Backoff{Terms: least}
	first := b.Next(rng)
	if first < 50*time.Millisecond || first > 150*time.Millisecond {
		t.Errorf("first pause %v", first)
	}
	for range 100 {
		if p := b.Next(rng); p > 750*time.Millisecond {
			t.Fatalf("pause %v", p)
		}
	}
	if p := b.Next(rng); p < 250*time.Millisecond {
		t.Errorf("pause %v after many failures", p)
	}
	b.Reset()
	if p := b.Next(rng); p > 150*time.Millisecond {
		t.Errorf("pause %v after a success", p)
	}
}

func TestOddNumbersOfAskers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{-3, 0, 1} {
		b := Backoff{Terms: For(n, 0, Terms{})}
		if p := b.Next(rng); p < 0 {
			t.Errorf("%d askers: pause %v", n, p)
		}
	}
	var b Backoff
	if p := b.Next(rng); p != 0 {
		t.Errorf("no terms: pause %v", p)
	}
}
