package callpacer

import (
	"math/rand/v2"
	"testing"
	"time"
)

var terms = Terms{
	Start:    4,
	Least:    0.5,
	Most:     1000,
	Depth:    4,
	Wait:     20 * time.Millisecond,
	CutEvery: 100 * time.Millisecond,
}

// server takes calls in turn, each for a time, and turns away what would wait for too long.
type server struct{ free, takes, line time.Duration }

func (s *server) call(now time.Duration) (took time.Duration, ok bool) {
	if s.free-now > s.line {
		return 0, false
	}
	s.free = max(s.free, now) + s.takes
	return s.free - now, true
}

// fleet has callers want so many calls a second each for 30 s, and tells what became of those of the last 20.
func fleet(t *testing.T, callers int, wants float64, s *server) (made, failed, wanted float64, waits time.Duration) {
	t.Helper()
	r := rand.New(rand.NewPCG(3, 4))
	all := make([]*Pace, callers)
	for i := range all {
		all[i] = New(terms, 0)
	}
	const step = time.Millisecond
	for now := step; now < 30*time.Second; now += step {
		for _, p := range all {
			if r.Float64() >= wants*step.Seconds() {
				continue
			}
			late := now > 10*time.Second
			if late {
				wanted++
			}
			if !p.May(now, 0) {
				continue
			}
			p.Take(now)
			took, ok := s.call(now)
			if ok = ok && took <= 50*time.Millisecond; ok {
				p.Answered(now, took) // a little early: it only makes all callers quicker alike
			} else {
				p.Failed(now, now)
			}
			if late {
				made++
				waits += took
				if !ok {
					failed++
				}
			}
		}
	}
	return made / 20, failed / 20, wanted / 20, waits / time.Duration(max(1, 20*made/20))
}

func TestCallersShareACounterThatCantServeAll(t *testing.T) {
	made, failed, _, _ := fleet(
		t,
		80,
		12,
		&server{takes: 3300 * time.Microsecond, line: 100 * time.Millisecond},
	) // 300 a second
	if made < 200 || failed > 0.15*made {
		t.Errorf("%.0f calls a second, %.0f of them failed; 300 could be served, 960 were wanted", made, failed)
	}
}

func TestCallersWithRoomAreNotHeldBack(t *testing.T) {
	for _, callers := range []int{1, 3, 80} {
		made, failed, wanted, _ := fleet(
			t,
			callers,
			3,
			&server{takes: 500 * time.Microsecond, line: 100 * time.Millisecond},
		)
		if made < 0.95*wanted || failed > 0 {
			t.Errorf("%d callers: %.1f of %.1f calls a second made, %.1f failed", callers, made, wanted, failed)
		}
	}
}

func TestSilenceLeavesTheLeastAndEndsAtOnce(t *testing.T) {
	p := New(terms, 0)
	now := time.Duration(0)
	for range 400 {
		now += 100 * time.Millisecond
		if p.May(now, 0) {
			p.Take(now)
		}
		p.Failed(now, now)
	}
	if p.Rate() != terms.Least {
		t.Errorf("%.2f calls a second to a service that is gone, want %v", p.Rate(), terms.Least)
	}
	for n := 0; p.Rate() < 4; n++ {
		if n > 40 {
			t.Fatalf("still %.2f a second after %d answers", p.Rate(), n)
		}
		now += p.Wait(now, 0)
		p.May(now, terms.Depth)
		p.Take(now)
		p.Answered(now, 2*time.Millisecond)
	}
}

// What leaves calls to others finds none sooner, and is told how long to wait.
func TestCallsOfLessWorthLeaveSome(t *testing.T) {
	p := New(terms, 0)
	for range 2 {
		p.Take(0)
	}
	if !p.May(0, 1) || p.May(0, 2) || !p.May(0, 0) {
		t.Error("with two calls left one may leave one and none two")
	}
	if w := p.Wait(0, 2); w != 250*time.Millisecond || !p.May(w, 2) {
		t.Errorf("told to wait %v for the third", w)
	}
}

// Failures that come together cut once, and those of calls from before a cut say nothing new.
func TestFailuresTogetherCutOnce(t *testing.T) {
	p := New(terms, 0)
	for range 10 {
		p.Failed(time.Second, time.Second-50*time.Millisecond)
	}
	if want := terms.Start * cut; p.Rate() != want {
		t.Errorf("%.3f a second, want %.3f", p.Rate(), want)
	}
}

// A service that is slow but has no queue holds nobody back.
func TestSlowServiceIsNoQueue(t *testing.T) {
	p := New(terms, 0)
	now := time.Duration(0)
	for range 40 {
		now += p.Wait(now, 0)
		p.Take(now)
		p.Answered(now, 45*time.Millisecond)
	}
	if p.Rate() < 2*terms.Start {
		t.Errorf("%.1f calls a second after 40 calls of 45 ms each, from %v", p.Rate(), terms.Start)
	}
}

func FuzzPace(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 200})
	f.Fuzz(func(t *testing.T, ops []byte) {
		p := New(terms, 0)
		now := time.Duration(0)
		for _, op := range ops {
			now += time.Duration(op>>3) * 7 * time.Millisecond
			switch op % 5 {
			case 0:
				p.Take(now)
			case 1:
				p.Answered(now, time.Duration(op)*time.Millisecond)
			case 2:
				p.Failed(now, now-time.Duration(op)*time.Millisecond)
			case 3:
				p.May(now, float64(op)/50)
			case 4:
				if w := p.Wait(now, float64(op)/50); w < 0 || !p.May(now+w, float64(op)/50) {
					t.Fatalf("after waiting %v as told there is no call", w)
				}
			}
			if p.Rate() < terms.Least || p.Rate() > terms.Most {
				t.Fatalf("rate %v", p.Rate())
			}
		}
	})
}
