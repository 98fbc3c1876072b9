package ceilinglease

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Doors with random demands, late and lost answers, and deaths: what goes out stays within a store of rate X and depth
// Dx at
// every instant, and a counter that loses its numbers once adds a window's worth at most.
func TestCeilingsLeasesStayWithinTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 50).Draw(t, "rate")
		burst := rate * rapid.Float64Range(0.5, 3).Draw(t, "burst")
		factor := rapid.Float64Range(1.5, 4).Draw(t, "factor")
		terms, ok := TermsOf(rate, burst, rate*factor, burst*factor, 1)
		if !ok {
			t.Skip("nothing to lend")
		}
		losses := rapid.IntRange(0, 1).Draw(t, "losses")
		doors := make([]Lease, rapid.IntRange(1, 8).Draw(t, "doors"))
		totals := map[int64]float64{}
		type answer struct {
			door   int
			at     time.Duration
			window int64
			block  float64
			total  float64
			lost   bool
		}
		var flying []answer
		depth := 2 * terms.Each
		level, low := depth, 0.0
		lossAt := rapid.IntRange(1, 400).Draw(t, "loss at")
		now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "now"))
		for step := range 500 {
			gap := time.Duration(rapid.Int64Range(0, int64(terms.Window/7)).Draw(t, "gap"))
			now += gap
			level = min(depth, level+terms.Rate*gap.Seconds())
			if losses == 1 && step == lossAt {
				clear(totals)
			}
			rest := flying[:0]
			for _, a := range flying {
				if now < a.at {
					rest = append(rest, a)
				} else if a.lost {
					doors[a.door].Failed(now, time.Millisecond)
				} else {
					doors[a.door].Answered(terms, now, a.window, a.block, a.total)
				}
			}
			flying = rest
			i := rapid.IntRange(0, len(doors)-1).Draw(t, "door")
			l := &doors[i]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				*l = Lease{} // it died; its answers are lost with it
				kept := flying[:0]
				for _, a := range flying {
					if a.door != i {
						kept = append(kept, a)
					}
				}
				flying = kept
			case 1, 2, 3:
				if b := l.Ask(terms, now, 1, rapid.Float64Range(0, 1000).Draw(t, "demand")); b > 0 {
					k := terms.Index(now)
					totals[k] += b
					flying = append(
						flying,
						answer{
							i,
							now + time.Duration(rapid.Int64Range(0, int64(terms.Window)).Draw(t, "late")),
							k,
							b,
							totals[k],
							rapid.IntRange(0, 9).Draw(t, "lost") == 0,
						},
					)
				}
			default:
				line := rapid.Bool().Draw(t, "line")
				for l.Has(terms, now, line, 0.3) >= 1 {
					w := l.Take(terms, now, 1, line)
					if rapid.IntRange(0, 5).Draw(t, "back") == 0 {
						l.Give(terms, now, w, 1, line)
						break
					}
					level--
					low = min(low, level)
				}
			}
		}
		if low < -float64(losses)*terms.Each-1e-6 {
			t.Fatalf("%.3f under the store's bottom with %d losses; %+v", -low, losses, terms)
		}
	})
}

// The check above finds a lender that forgets: a door that goes on with what a past window gave.
func TestCeilingsForgetfulLenderIsFound(t *testing.T) {
	terms, _ := TermsOf(5, 10, 10, 20, 1)
	level, low := 2*terms.Each, 0.0
	var l Lease
	total := 0.0
	for now := time.Duration(0); now < 20*terms.Window; now += terms.Window / 10 {
		if b := l.Ask(terms, now, 1, 1000); b > 0 {
			l.Answered(terms, now, terms.Index(now), b, b) // the counter's number is not heeded
			total += b
		}
		for l.Has(terms, now, false, 0) >= 1 {
			l.Take(terms, now, 1, false)
			level--
		}
		low = min(low, level)
		level = min(2*terms.Each, level+terms.Rate*(terms.Window/10).Seconds())
	}
	if low > -1 {
		t.Errorf("the store only falls to %.2f with a lender that forgets", low)
	}
}

func TestCeilingsTerms(t *testing.T) {
	terms, ok := TermsOf(5, 10, 10, 20, 1)
	if !ok || terms.Rate != 5 || terms.Each != 3 || terms.Window != 600*time.Millisecond {
		t.Errorf("%+v %v", terms, ok)
	}
	for _, c := range [][5]float64{{5, 10, 5, 20, 1}, {5, 10, 10, 10, 1}, {5, 10, 4, 8, 1}, {5, 10, 10, 11, 1}, {5, 10, 10, 20, 4}, {1, 1, 1000, 3, 0.5},
		{0, 0, math.Inf(1), 1, 1}, {0, 0, math.NaN(), 1, 1}} {
		if got, ok := TermsOf(c[0], c[1], c[2], c[3], c[4]); ok || got != (Terms{}) {
			t.Errorf("%v lends %+v", c, got)
		}
	}
	var l Lease
	b := l.Ask(terms, 0, 1, 1000)
	if b <= 0 || l.Ask(terms, 0, 1, 1000) != 0 || !l.Asking() {
		t.Error("asks twice at once, or not at all")
	}
	if got := l.Answered(
		terms,
		0,
		0,
		b,
		terms.Each+b,
	); got != 0 || l.Opens(terms, 0) != terms.Window ||
		l.Ask(terms, 0, 1, 1) != 0 {
		t.Errorf("an empty window gives %v", got)
	}
	if l.Opens(terms, terms.Window) != 0 || l.Ask(terms, terms.Window, 1, 0.1) != 1 {
		t.Error("the next window is shut too")
	}
	l.Failed(terms.Window, time.Millisecond)
	if l.Ask(terms, terms.Window, 1, 1) != 0 || l.Ask(terms, terms.Window+time.Millisecond, 1, 1) == 0 {
		t.Error("a failed call is not put off")
	}
}

// Doors that use each turn they have take no more than the store gives, in any stretch of time, and nearly all of it.
func TestTurnsStayWithinTheStore(t *testing.T) {
	for _, c := range []struct{ rate, depth, doors float64 }{{8, 19, 23}, {18, 1, 80}, {0.5, 3, 40}, {30, 29, 31}} {
		turns, ok := TurnsOf(c.rate, c.depth, c.doors)
		if !ok {
			t.Fatalf("%+v: none", c)
		}
		used := make([]int64, int(c.doors))
		for i := range used {
			used[i] = -1
		}
		store, last, n := c.depth, time.Duration(0), 0
		idle := 20 * time.Second // all that lies open when a flood begins goes at once
		end := idle + 200*time.Second
		for now := idle; now < end; now += 10 * time.Millisecond {
			for i := range used {
				if turn, open := turns.Now(now, i); open && used[i] != turn {
					used[i] = turn
					n++
					store = min(c.depth, store+c.rate*(now-last).Seconds()) - 1
					last = now
					if store < -1.5 {
						t.Fatalf("%+v: the store fell to %.2f at %v", c, store, now)
					}
				}
			}
		}
		if want := c.rate * (end - idle).Seconds(); float64(n) < 0.95*want {
			t.Errorf("%+v: %d units in 200 s, want %.0f", c, n, want)
		}
	}
}

func TestTurnsWhereThereAreNone(t *testing.T) {
	for _, c := range [][3]float64{{0, 1, 5}, {1, 0, 5}, {1, 5, 5}, {1, 6, 5}, {1, 1, 0}, {-1, 1, 3}, {math.NaN(), 1, 3}, {1, 1, math.Inf(1)}, {1e-12, 1, 1e9}} {
		if _, ok := TurnsOf(c[0], c[1], c[2]); ok {
			t.Errorf("%v: turns", c)
		}
	}
}
