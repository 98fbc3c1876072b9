package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gapgap/internal/fake/race"
	"gapgap/internal/membership"
	"gapgap/internal/quotalease"
)

// chaos plays a random schedule: doors die, come back, stop and go on, lose their disks; lines drop, delay and double, fleets are cut in
// two, in stars, one way; pools lag. It returns the world and what was done.
func chaos(seed uint64, lasts time.Duration, broken flaws) (*world, []string) {
	rng := rand.New(rand.NewPCG(seed, 1))
	n := 2 + rng.IntN(8)
	if seed%10 == 0 {
		n = 2 + rng.IntN(40)
	}
	w := newWorld(seed, n)
	w.flaws, w.lag = broken, time.Duration(1+rng.IntN(400))*time.Millisecond
	if broken.clocks {
		for i, d := range w.doors {
			if i%2 == 0 {
				d.drift = 0.5
			}
		}
	}
	var story []string
	tell := func(format string, args ...any) {
		story = append(story, fmt.Sprintf("%7.2f ", (w.now-time.Hour).Seconds())+fmt.Sprintf(format, args...))
	}
	tell("%d doors, pools lag by %v", n, w.lag)
	side := make([]int, n)
	loss, late, oneWay, star := 0.0, time.Millisecond, false, -1
	w.line = func(from, to int) (bool, time.Duration) {
		cut := side[from] != side[to] && (!oneWay || side[from] > side[to]) || star >= 0 && from != star && to != star
		return cut || w.rng.Float64() < loss, time.Duration(w.rng.Int64N(int64(late)))
	}
	w.startAll()
	for end := w.now + lasts; w.now < end; {
		w.run(w.now+time.Duration(rng.IntN(3000))*time.Millisecond, 20*time.Millisecond)
		d := w.doors[rng.IntN(n)]
		switch rng.IntN(11) {
		case 0, 1:
			if d.alive {
				tell("%d dies", d.rank)
				d.kill()
			} else {
				tell("%d starts", d.rank)
				d.start()
			}
		case 2:
			if d.alive && !d.stopped {
				tell("%d stops", d.rank)
				d.stop()
			} else if d.alive {
				tell("%d goes on", d.rank)
				d.resume()
			}
		case 3:
			if d.alive && !d.stopped {
				tell("%d starts anew with an empty disk", d.rank)
				d.inc = 0
				d.start()
			}
		case 4:
			for i := range side {
				side[i] = rng.IntN(2)
			}
			oneWay, star = rng.IntN(2) == 0, -1
			tell("cut %v, one way %v", side, oneWay)
		case 5:
			star = rng.IntN(n)
			tell("star about %d", star)
		case 6:
			loss, late = rng.Float64()*0.6, time.Duration(1+rng.IntN(1500))*time.Millisecond
			tell("loss %.2f, late by up to %v", loss, late)
		case 7:
			d.slow = time.Duration(rng.IntN(600)) * time.Millisecond
			tell("%d is slow by %v", d.rank, d.slow)
		default:
			clear(side)
			loss, late, star, d.slow = 0, time.Millisecond, -1, 0
			tell("healed")
		}
	}
	return w, story
}

// No seat is used by two doors at once, under any schedule. GAPGAP_SEED plays one again and prints it.
func TestMembersNoSeatIsUsedTwice(t *testing.T) {
	skipRace(t)
	if s := os.Getenv("GAPGAP_SEED"); s != "" {
		seed, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		w, story := chaos(seed, 2*time.Minute, flaws{})
		for _, l := range story {
			t.Log(l)
		}
		t.Log(w.clash)
		return
	}
	for seed := uint64(1); seed <= 60; seed++ {
		if w, _ := chaos(seed, time.Minute, flaws{}); w.clash != "" {
			t.Errorf("GAPGAP_SEED=%d: %s", seed, w.clash)
		}
	}
}

// The check finds each way of breaking the rule.
func TestMembersCheckFindsFlaws(t *testing.T) {
	skipRace(t)
	for name, f := range map[string]flaws{"forgets": {forgets: true}, "clocks": {clocks: true}, "keeps old": {keepsOld: true}, "old claims": {oldClaims: true},
		"gives at once": {givesAtOnce: true}, "no expiry": {noExpiry: true}, "any is enough": {anyIsEnough: true}} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 150; seed++ {
				if w, _ := chaos(seed, 2*time.Minute, f); w.clash != "" {
					return
				}
			}
			t.Error("not found in 150 schedules")
		})
	}
}

func skipRace(t *testing.T) {
	if race.On {
		t.Skip("one goroutine")
	}
}

func (w *world) knows(rank int, want ...membership.State) func() error {
	return func() error {
		for _, d := range w.doors {
			if d.rank == rank || !d.alive || d.stopped {
				continue
			}
			ok := false
			for _, s := range want {
				ok = ok || d.node.detector.State(rank) == s
			}
			if !ok {
				return fmt.Errorf("%d is %v at %d", rank, d.node.detector.State(rank), d.rank)
			}
		}
		return nil
	}
}

// A killed door is known dead by all within 2 s, one that leaves within 0.5 s, one that joins within 1 s; what a dead door had is used
// again within 5 s.
func TestMembersTimesToKnow(t *testing.T) {
	skipRace(t)
	for _, n := range []int{3, 20, 300} {
		t.Run(fmt.Sprint(n, " doors"), func(t *testing.T) {
			w := newWorld(uint64(n), n).startAll()
			full := func() error {
				if p := w.part(); p < 0.999 {
					return fmt.Errorf("%.3f of all is used", p)
				}
				return nil
			}
			w.within(t, 5*time.Second, "all parts", full)
			w.within(t, 3*time.Second, "all alike", w.alike)
			kills := 3
			if n == 3 {
				kills = 200
			}
			var dead, left, joined, again time.Duration
			var deaths []time.Duration
			for i := range kills {
				w.run(w.now+time.Duration(w.rng.IntN(1500))*time.Millisecond, 50*time.Millisecond)
				d := w.doors[(i*7+1)%n]
				d.kill()
				begun := w.now
				deaths = append(deaths, w.within(t, 2*time.Second, "death", w.knows(d.rank, membership.Dead)))
				dead = max(dead, deaths[i])
				w.within(t, 5*time.Second, "takeover", full)
				again = max(again, w.now-begun)
				d.start()
				joined = max(joined, w.within(t, time.Second, "join", w.knows(d.rank, membership.Joining, membership.Alive, membership.Returned)))
				w.within(t, 5*time.Second, "seats back", func() error {
					if held, _ := d.node.Slots(d.clock()); held != quotalease.SlotsPerGateway(n) {
						return fmt.Errorf("%d seats held", held)
					}
					return full()
				})
				d.node.Leave()
				d.stand()
				left = max(left, w.within(t, 500*time.Millisecond, "leave", w.knows(d.rank, membership.Left)))
				w.within(t, 5*time.Second, "takeover after a leave", full)
				d.kill()
				d.start()
				w.within(t, 5*time.Second, "back", w.alike)
				w.within(t, 5*time.Second, "all parts", full)
			}
			slices.Sort(deaths)
			t.Logf("%d times, median dead %v; worst: dead %v, left %v, joined %v, used again %v", kills, deaths[kills/2], dead, left, joined, again)
			if w.clash != "" {
				t.Error(w.clash)
			}
			if w.false > 0 {
				t.Errorf("%d false deaths", w.false)
			}
		})
	}
}

// Loss and delay, and doors that are short of processor, bring no false death; loss of a hundredth none in some hours.
func TestMembersNoFalseDeaths(t *testing.T) {
	skipRace(t)
	t.Run("30% loss, 200 ms late", func(t *testing.T) {
		for _, n := range []int{5, 60} {
			w := newWorld(7, n).startAll()
			w.run(w.now+5*time.Second, time.Second)
			w.line = func(int, int) (bool, time.Duration) {
				return w.rng.Float64() < 0.3, 200*time.Millisecond + time.Duration(w.rng.IntN(20))*time.Millisecond
			}
			w.run(w.now+60*time.Second, 100*time.Millisecond)
			if w.false > 0 || w.clash != "" {
				t.Errorf("%d doors: %d false deaths in a minute; %s", n, w.false, w.clash)
			}
		}
	})
	t.Run("1% loss for hours", func(t *testing.T) {
		w := newWorld(8, 12).startAll()
		w.line = func(int, int) (bool, time.Duration) { return w.rng.Float64() < 0.01, time.Millisecond }
		lasts := 20 * time.Minute // 4 hours of a door
		if os.Getenv("GAPGAP_LONG") != "" {
			lasts = 20 * time.Hour // ten days
		}
		w.run(w.now+lasts, time.Minute)
		if w.false > 0 {
			t.Errorf("%d false deaths in %v of a door", w.false, 12*lasts)
		}
	})
	t.Run("a tenth of a core", func(t *testing.T) { // it runs for 20 ms of each 200, and later now and then
		w := newWorld(9, 5).startAll()
		w.doors[0].slow = 180 * time.Millisecond
		w.run(w.now+5*time.Second, time.Second)
		for range 100 {
			w.doors[0].slow = time.Duration(180+w.rng.IntN(400)) * time.Millisecond
			w.run(w.now+time.Second, 100*time.Millisecond)
		}
		if w.false > 0 || w.clash != "" {
			t.Errorf("%d false deaths; %s", w.false, w.clash)
		}
	})
	t.Run("stopped for 10 s", func(t *testing.T) { // it finds nobody dead that is not
		w := newWorld(10, 5).startAll()
		w.run(w.now+5*time.Second, time.Second)
		w.doors[0].stop()
		w.run(w.now+10*time.Second, time.Second)
		w.doors[0].resume()
		if w.part() < 0.999 {
			t.Errorf("%.3f is used after a stop of 10 s", w.part())
		}
		w.within(t, 3*time.Second, "alike", w.alike)
		if w.false > 0 || w.clash != "" {
			t.Errorf("%d false deaths; %s", w.false, w.clash)
		}
	})
}

// After each kind of cut all see the same within 3 s of the heal, and all is used again.
func TestMembersHeal(t *testing.T) {
	cuts := map[string]func(from, to int) bool{
		"2 from 3":   func(from, to int) bool { return (from < 2) != (to < 2) },
		"one way":    func(from, to int) bool { return from == 0 },
		"in a star":  func(from, to int) bool { return from != 2 && to != 2 },
		"all":        func(from, to int) bool { return true },
		"single one": func(from, to int) bool { return (from == 4) != (to == 4) },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			w := newWorld(3, 5).startAll()
			w.run(w.now+5*time.Second, 20*time.Millisecond)
			on := true
			w.line = func(from, to int) (bool, time.Duration) { return on && cut(from, to), time.Millisecond }
			w.run(w.now+10*time.Second, 20*time.Millisecond)
			t.Logf("used while cut: %.2f", w.part())
			on = false
			w.within(t, 3*time.Second, "alike", w.alike)
			w.within(t, 3*time.Second, "parts", func() error {
				if w.part() < 0.999 {
					return fmt.Errorf("%.2f", w.part())
				}
				return nil
			})
			if w.clash != "" {
				t.Error(w.clash)
			}
		})
	}
}

// Two processes of one name: one of them takes part, the other says so and takes nothing; and when the first has gone it goes on.
func TestMembersTwoOfOneName(t *testing.T) {
	w := newWorld(4, 5).startAll()
	w.run(w.now+5*time.Second, 20*time.Millisecond)
	// The other one is a further process whose rank is that of door 1; door 1 has the lower number.
	twin := &door{w: w, rank: 1, drift: 1}
	twin.startAs(membership.ID{Incarnation: 1, Nonce: ^uint32(0)})
	begun := w.now
	for _, d := range w.doors { // what goes to door 1 comes to both
		if d.rank == 1 {
			continue
		}
		line := w.line
		w.line = func(from, to int) (bool, time.Duration) { return line(from, to) }
	}
	both := w.doors[1]
	var copyTo func()
	copyTo = func() { // the twin hears what any other door says
		o := w.doors[0]
		twin.heard(0, Message{Heartbeat: ptr(o.node.detector.Heartbeat(o.clock()))})
		both.heard(0, Message{Heartbeat: ptr(o.node.detector.Heartbeat(o.clock()))})
		w.after(200*time.Millisecond, copyTo)
	}
	copyTo()
	w.within(t, 2*time.Second, "the first one yields", func() error {
		if _, rival := both.node.Duplicate(both.clock()); !rival || !both.node.ShareLease(both.clock()).Excluded {
			return errors.New("it does not")
		}
		return nil
	})
	t.Logf("after %v", w.now-begun)
	if _, rival := twin.node.Duplicate(twin.clock()); rival {
		t.Error("both yield")
	}
	w.run(w.now+3*time.Second, 20*time.Millisecond)
	if held, _ := both.node.Slots(both.clock()); held != 0 || both.node.ID().Nonce == ^uint32(0) {
		t.Errorf("the one that yields holds %d seats", held)
	}
	twin.kill()
	w.within(t, 5*time.Second, "the first one goes on", func() error {
		if both.node.ShareLease(both.clock()).Excluded {
			return errors.New("it does not")
		}
		return nil
	})
}

func ptr[T any](v T) *T { return &v }

// What a door sends is bounded whatever the fleet's size.
func TestMembersTraffic(t *testing.T) {
	skipRace(t)
	sizes := []int{3, 20, 80, 300}
	if os.Getenv("GAPGAP_LONG") != "" {
		sizes = append(sizes, 1000)
	}
	for _, n := range sizes {
		w := newWorld(5, n).startAll()
		w.run(w.now+4*time.Second, time.Second)
		clear(w.sent)
		w.weigh = true
		const lasts = 2
		w.run(w.now+lasts*time.Second, time.Second)
		each := float64(n * lasts)
		t.Logf("%d doors: a second and door %.0f bytes in %.1f messages, %.1f beats of %.1f entries, %.1f claims, %.1f grants", n,
			float64(w.sent["bytes"])/each, float64(w.sent["messages"])/each, float64(w.sent["beat"])/each,
			float64(w.sent["entries"])/float64(w.sent["beat"]), float64(w.sent["claim"])/each, float64(w.sent["grant"])/each)
		if beats := float64(w.sent["beat"]) / each; beats > 70 {
			t.Errorf("%d doors: %.1f beats a second and door", n, beats)
		}
		if claims := float64(w.sent["claim"]) / each; claims > quotalease.MaxVoters*5.1 {
			t.Errorf("%d doors: %.1f claims a second and door", n, claims)
		}
	}
}
