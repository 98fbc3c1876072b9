package simulator

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func backend(t *testing.T, w *World, cfg BackendConfig) *Backend {
	t.Helper()
	b, err := NewBackend("s", cfg, w, w.Rand)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Waiting times are those of theory: M/M/c (Erlang C), for some numbers of cores and loads.
func TestRehearsalQueueAgainstTheory(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		cores int
		load  float64
		most  int
	}{{1, 0.5, 400_000}, {3, 0.7, 600_000}, {8, 0.85, 1_200_000}} {
		w := New(7, 0)
		mean := 100 * time.Millisecond
		b := backend(t, w, BackendConfig{Cores: float64(c.cores), Slots: c.cores, Room: 1 << 20, Work: []Dist{{Kind: "exponential", Mean: mean}}})
		rate := c.load * float64(c.cores) / mean.Seconds()
		gaps := w.Rand("arrivals")
		waited, n := 0.0, 0
		var next func()
		next = func() {
			j := &Job{ID: fmt.Sprint(n)}
			n++
			b.Arrive(j, func(Reply) { waited += j.Waited().Seconds() })
			if n < c.most {
				w.After(time.Duration(gaps.ExpFloat64()/rate*float64(time.Second)), next)
			}
		}
		w.After(0, next)
		w.Run(Start + 1000*time.Hour)
		a := c.load * float64(c.cores)
		sum, term := 0.0, 1.0
		for k := range c.cores {
			sum += term
			term *= a / float64(k+1)
		}
		erlang := term / (1 - c.load) / (sum + term/(1-c.load)) // the probability of waiting
		want := erlang * mean.Seconds() / (float64(c.cores) * (1 - c.load))
		if got := waited / float64(n); math.Abs(got/want-1) > 0.03 || b.Figures.Answered != uint64(n) {
			t.Errorf("%d cores at %.2f: mean wait %.5f s, by theory %.5f; %d of %d answered", c.cores, c.load, got, want, b.Figures.Answered, n)
		}
	}
}

var steady = BackendConfig{Cores: 2, Slots: 2, Room: 2, Work: []Dist{{Kind: "fixed", Mean: 100 * time.Millisecond}}}

// times brings some requests at once and tells when each was answered, in ms.
func times(w *World, b *Backend, n int) (at []int, replies []Reply) {
	from := w.Now
	for i := range n {
		b.Arrive(&Job{ID: fmt.Sprint(w.Now, i)}, func(r Reply) {
			at = append(at, int((w.Now-from).Round(time.Millisecond)/time.Millisecond))
			replies = append(replies, r)
		})
	}
	w.Run(w.Now + 5*time.Second)
	return at, replies
}

func TestRehearsalBackend(t *testing.T) {
	t.Parallel()
	check := func(name string, got []int, want ...int) {
		t.Helper()
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: answered at %v ms, want %v", name, got, want)
		}
	}
	w := New(1, 0)
	b := backend(t, w, steady)
	at, replies := times(w, b, 5)
	check("two cores, two waiting, one turned away", at, 0, 100, 100, 200, 200)
	if replies[0] != TurnedAway {
		t.Error("what there is no room for is not turned away")
	}
	shared := steady
	shared.Slots = 4
	at, _ = times(w, backend(t, w, shared), 4)
	check("four in work share two cores", at, 200, 200, 200, 200)
	b.Slow(2)
	at, _ = times(w, b, 1)
	check("slow by two", at, 200)
	b.Slow(1)
	b.Pause(300 * time.Millisecond)
	at, _ = times(w, b, 1)
	check("a pause", at, 400)
	w.After(50*time.Millisecond, func() { b.Pause(300 * time.Millisecond) })
	at, _ = times(w, b, 1)
	check("a pause in the middle of the work", at, 400)
	b.Silence(true)
	at, _ = times(w, b, 2)
	check("silent", at)
	b.Silence(false)
	w.After(50*time.Millisecond, b.Die)
	at, replies = times(w, b, 3)
	check("death", at, 50, 50, 50)
	if replies[2] != Broken || !b.Down() {
		t.Error("a death does not break what is held")
	}
	heavy := steady
	heavy.HeldFrom, heavy.HeldEach, heavy.LeastSpeed = 2, 0.25, 0.4
	at, _ = times(w, backend(t, w, heavy), 4)
	check("less efficient with four held", at, 200, 200, 300, 300)
	drop := backend(t, w, steady)
	j := &Job{ID: "x"}
	gone := 0
	for i := range 3 {
		drop.Arrive(&Job{ID: fmt.Sprint("y", i)}, func(Reply) {})
	}
	drop.Arrive(j, func(Reply) { gone++ })
	drop.Cancel(j)
	if w.Run(w.Now + time.Second); gone != 0 || drop.Figures.Answered != 3 {
		t.Errorf("a waiting job that was given up is answered: %+v", drop.Figures)
	}
}

// A server that was started anew does the cold share of its work, warms evenly, and falls over when it is pushed.
func TestRehearsalColdStart(t *testing.T) {
	t.Parallel()
	w := New(1, 0)
	cfg := steady
	cfg.Room, cfg.ColdFrom, cfg.WarmWithin, cfg.FallAt, cfg.FallWindow = 1000, 0.25, 10*time.Second, 3, 2*time.Second
	b := backend(t, w, cfg)
	b.Start()
	if got := b.Warmth(); got != 0.25 {
		t.Errorf("warmth %v at the start", got)
	}
	at, _ := times(w, b, 1)
	if len(at) != 1 || at[0] < 360 || at[0] > 400 {
		t.Errorf("answered at %v ms, want a little under 400", at)
	}
	if got := b.Warmth(); math.Abs(got-0.625) > 1e-9 { // 5 s later
		t.Errorf("warmth %v after half the time", got)
	}
	b.Start()
	fell := 0
	for i := range 31 { // it bears 3 x 0.25 x 2 cores x 2 s: 30 of 100 ms
		b.Arrive(&Job{ID: fmt.Sprint(i)}, func(r Reply) {
			if r == Broken {
				fell++
			}
		})
		if i == 29 && b.Down() {
			t.Fatal("it fell too early")
		}
	}
	if !b.Figures.Fallen || fell != 31 {
		t.Errorf("pushed over: %+v, %d broke", b.Figures, fell)
	}
}

// A repeat of a key is dropped within the window, and counted as done twice after it.
func TestRehearsalEffects(t *testing.T) {
	t.Parallel()
	w := New(1, 0)
	cfg := steady
	cfg.Window = []time.Duration{time.Second}
	b := backend(t, w, cfg)
	ask := func() (got Reply) {
		b.Arrive(&Job{ID: fmt.Sprint(w.Now), Key: "k"}, func(r Reply) { got = r })
		w.Run(w.Now + 200*time.Millisecond)
		return got
	}
	if ask() != Answered || ask() != Repeated || b.Figures.Effects != 1 || b.Figures.Twice != 0 {
		t.Errorf("%+v", b.Figures)
	}
	w.Run(w.Now + 2*time.Second)
	if ask() != Answered || b.Figures.Effects != 2 || b.Figures.Twice != 1 {
		t.Errorf("after the window: %+v", b.Figures)
	}
}

func TestRehearsalBadBackend(t *testing.T) {
	t.Parallel()
	for field, spoil := range map[string]func(*BackendConfig){"cores": func(c *BackendConfig) { c.Cores = 0 }, "slots": func(c *BackendConfig) { c.Slots = 0 },
		"room": func(c *BackendConfig) { c.Room = -1 }, "work": func(c *BackendConfig) { c.Work = nil }, "work[0]": func(c *BackendConfig) { c.Work = []Dist{{Kind: "odd", Mean: 1}} },
		"cold_from": func(c *BackendConfig) { c.ColdFrom = 0.5 }, "fall_at": func(c *BackendConfig) { c.FallAt = 1 }, "held": func(c *BackendConfig) { c.HeldEach = -1 }} {
		c := steady
		spoil(&c)
		if err := c.Check(); err == nil || len(err.Error()) < len(field) || err.Error()[:len(field)] != field {
			t.Errorf("%s: %v", field, err)
		}
	}
}
