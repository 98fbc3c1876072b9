package idempotency

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gapgap/internal/fake/race"
)

// The model: three voters, two requests by one key at doors of their own. Words between them are a set: each may come at any time, any number of times,
// or never. Voters lose their power and come back with what was synced, some of what was not, an older disk or an empty one. All orders are looked at.
//
// No mistake of the rule: two requests of which both may run.

// mistakes that are put in on purpose.
type mistakes struct {
	unsynced   bool // yes is said before it outlives a power loss
	single     bool // one voter's yes is enough
	givesRan   bool // a claim is given back though its request may have run
	trustsLost bool // a voter with an empty disk speaks at once
	trustsOld  bool // ... or with an older one
	overwrites bool // a voter gives a key to whoever asks last
	anyRelease bool // a voter takes a release from whoever says it
}

const (
	notAsked = iota
	asking
	out
	ended // with nothing having run, or lost
	ran
)

type modelVoter struct {
	v   *Voter
	log []Record // that was synced
	inc uint32
}

type world struct {
	mis    mistakes
	voters [3]modelVoter
	doors  []*Door
	state  []int
	words  map[string]word
	cuts   int
	starts int
}

type word struct {
	door, voter int
	ask         *Ask
	answer      *Answer
}

func (w word) String() string {
	if w.ask != nil {
		return fmt.Sprintf("%d>%d %v%v", w.door, w.voter, w.ask.N, w.ask.Release)
	}
	return fmt.Sprintf("%d<%d %v %d", w.door, w.voter, w.answer.N, w.answer.Said)
}

var modelVoters = []int{0, 1, 2}

func cloneVoter(v *Voter) *Voter {
	c := *v
	c.known, c.agreed, c.fresh, c.now, c.before = maps.Clone(v.known), maps.Clone(v.agreed), maps.Clone(v.fresh), maps.Clone(v.now), maps.Clone(v.before)
	return &c
}

func cloneDoor(d *Door) *Door {
	c := *d
	c.open = map[uint64]*claim{}
	for n, k := range d.open {
		o := *k
		c.open[n] = &o
	}
	return &c
}

func (w *world) clone() *world {
	c := *w
	for i := range c.voters {
		v := &c.voters[i]
		v.log, v.v = slices.Clone(v.log), cloneVoter(v.v)
	}
	c.doors, c.state = slices.Clone(w.doors), slices.Clone(w.state)
	for i := range c.doors {
		c.doors[i] = cloneDoor(c.doors[i])
	}
	c.words = maps.Clone(w.words)
	return &c
}

func (w *world) id() string {
	var b strings.Builder
	for i := range w.voters {
		v := &w.voters[i]
		first := slices.IndexFunc(v.log, isClaim)
		ready, _ := v.v.Ready(0)
		fmt.Fprint(&b, v.inc, v.v.now, first >= 0, ready, " ")
	}
	for i, d := range w.doors {
		fmt.Fprint(&b, w.state[i])
		for n, c := range d.open {
			fmt.Fprint(&b, n, c.said, c.over, c.giving)
		}
	}
	fmt.Fprint(&b, slices.Sorted(maps.Keys(w.words)), w.cuts)
	return b.String()
}

func newWorld(mis mistakes, requests int) *world {
	w := &world{mis: mis, words: map[string]word{}, state: make([]int, requests)}
	for i := range w.voters {
		w.start(i, 1, nil)
	}
	for range 2 { // they hear of each other with empty disks
		w.hellos()
	}
	for i := range requests {
		w.doors = append(w.doors, NewDoor(uint64(100+i), modelVoters))
	}
	return w
}

// start starts a voter's process with what its disk has.
func (w *world) start(i int, inc uint32, log []Record) {
	v := &w.voters[i]
	w.starts++
	cfg := VoterConfig{Rank: i, Voters: modelVoters, Process: uint64(1000 + w.starts), Keep: time.Hour, Most: 100, Number: uint64(2000 + w.starts), Inc: inc}
	var more []Record
	v.v, more = NewVoter(cfg, 0, slices.Values(log))
	v.inc, v.log = inc, append(slices.Clone(log), more...)
	v.v.Kept()
}

func isClaim(r Record) bool { return r.Kind == Claimed || r.Kind == Freed }

// hellos have all voters hear each other, kept at once.
func (w *world) hellos() {
	for i := range w.voters {
		for j := range w.voters {
			a, b := &w.voters[i], &w.voters[j]
			if i == j {
				continue
			}
			more, answer := b.v.Heard(0, i, a.v.Hello(j))
			b.log = append(b.log, more...)
			more, _ = a.v.Heard(0, j, answer)
			a.log = append(a.log, more...)
			a.v.Kept()
			b.v.Kept()
		}
	}
}

func (w *world) tell(k word) { w.words[k.String()] = k }

// next is all that may happen.
func (w *world) next() (all []func(*world)) {
	add := func(do func(*world)) { all = append(all, do) }
	for i := range w.doors {
		switch w.state[i] {
		case notAsked:
			add(func(c *world) {
				c.state[i] = asking
				c.doors[i].Begin(0, Key{1})
				c.ask(i)
			})
		case asking: // its client goes, or its time is up
			add(func(c *world) { c.doors[i].End(0, 1, false); c.state[i] = ended; c.ask(i) })
		case out:
			add(func(c *world) { c.doors[i].End(0, 1, !c.mis.givesRan); c.state[i] = ran; c.ask(i) })
			add(func(c *world) { c.doors[i].End(0, 1, false); c.state[i] = ended; c.ask(i) })
		}
	}
	for i := range w.voters {
		if w.cuts > 0 {
			for _, what := range []string{"", "older", "empty"} {
				add(func(c *world) { c.cut(i, what) })
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(w.words)) {
		m := w.words[key]
		if m.ask != nil && w.cuts > 0 {
			add(func(c *world) { c.hear(m, "lost") })
			add(func(c *world) { c.hear(m, "kept") })
		}
	}
	for _, key := range slices.Sorted(maps.Keys(w.words)) {
		add(func(c *world) { c.hear(c.words[key], "") })
	}
	return all
}

// ask has a door's words be there.
func (w *world) ask(i int) {
	for _, o := range w.doors[i].Tick(releaseFor - 1) {
		k := word{door: i, voter: o.To, ask: &o.Ask}
		w.words[k.String()] = k
	}
}

// hear has a word come. Its voter may lose its power before it has said anything, with what it wrote lost or kept.
func (w *world) hear(m word, cut string) {
	if m.ask == nil {
		r, ok := w.doors[m.door].Heard(0, m.voter, *m.answer)
		if w.mis.single && m.answer.Said == Yes {
			r, ok = Result{1, Won}, true
		}
		if ok && w.state[m.door] == asking {
			if w.state[m.door] = ended; r.Verdict == Won {
				w.state[m.door] = out
			}
		}
		w.ask(m.door)
		return
	}
	v := &w.voters[m.voter]
	if w.mis.trustsLost && !v.v.begun {
		v.v.begun, v.v.lost = true, false
		v.v.agreed = map[int]bool{0: true, 1: true, 2: true}
	}
	if w.mis.trustsOld {
		v.v.old = false
		v.v.agreed = map[int]bool{0: true, 1: true, 2: true}
	}
	if w.mis.overwrites && !m.ask.Release {
		delete(v.v.now, m.ask.Key)
	}
	if h, ok := v.v.now[m.ask.Key]; ok && w.mis.anyRelease && m.ask.Release {
		v.v.now[m.ask.Key] = holder{h.t, true}
	}
	a, out, ok := v.v.Ask(0, w.doors[m.door].process, *m.ask)
	said := word{door: m.door, voter: m.voter, answer: &a}
	if ok && a.Said != Gone && (cut == "" || w.mis.unsynced) {
		w.tell(said)
	}
	if cut != "lost" {
		v.log = append(v.log, out...)
		v.v.Kept()
	}
	if cut != "" {
		w.cut(m.voter, "")
	}
}

// cut takes a voter's power; it comes back at once.
func (w *world) cut(i int, what string) {
	v := &w.voters[i]
	w.cuts--
	if what == "older" {
		w.hellos() // it is older by more than the time between two of them
	}
	log, inc := v.log, v.inc+1
	switch what {
	case "older": // from before the claims
		if n := slices.IndexFunc(log, isClaim); n >= 0 {
			log = log[:n]
		}
	case "empty":
		log, inc = nil, 1
	}
	w.start(i, inc, log)
	w.hellos()
}

// broken says whether two requests may both run.
func (w *world) broken() bool {
	n := 0
	for _, s := range w.state {
		if s == out || s == ran {
			n++
		}
	}
	return n > 1
}

// explore looks at every order, up to so many states.
func explore(mis mistakes, cuts, most int) (states int, found bool, wins int) {
	first := newWorld(mis, 2)
	first.cuts = cuts
	seen := map[string]bool{first.id(): true}
	queue := []*world{first}
	for ; len(queue) > 0 && len(seen) < most; queue = queue[1:] {
		for _, do := range queue[0].next() {
			n := queue[0].clone()
			if do(n); n.broken() {
				return len(seen), true, wins
			}
			if id := n.id(); !seen[id] {
				seen[id] = true
				queue = append(queue, n)
				if slices.Contains(n.state, out) {
					wins++
				}
			}
		}
	}
	return len(seen), false, wins
}

// walk goes on by chance, many times, and says after how many walks both may run; 0: never.
func walk(mis mistakes, cuts, walks int) int {
	for n := range walks {
		rng := rand.New(rand.NewPCG(uint64(n), 6))
		w := newWorld(mis, 3)
		for w.cuts = cuts; !w.broken(); {
			all := w.next()
			if len(all) == 0 || rng.IntN(60) == 0 {
				break
			}
			first := 0
			if rng.IntN(4) > 0 && len(w.words) > 0 { // mostly words come
				first = len(all) - min(len(all), len(w.words))
			}
			all[first+rng.IntN(len(all)-first)](w)
		}
		if w.broken() {
			return n + 1
		}
	}
	return 0
}

// With the rule no order lets both requests run; each mistake is found.
func TestPowerModelOfClaims(t *testing.T) {
	most, walks := 15_000, 1_500
	if os.Getenv("GAPGAP_LONG") != "" {
		most, walks = 3_000_000, 50_000
	}
	if race.On {
		most, walks = 4_000, 300
	}
	for _, cuts := range []int{0, 1, 2} {
		states, found, wins := explore(mistakes{}, cuts, most)
		t.Logf("%d losses of power: %d states, in %d of them a request is out", cuts, states, wins)
		if found || wins == 0 {
			t.Errorf("both may run: %v; a request is out in %d states", found, wins)
		}
		if n := walk(mistakes{}, cuts, walks); n > 0 {
			t.Errorf("both may run in walk %d with %d losses of power", n, cuts)
		}
	}
	for name, mis := range map[string]mistakes{
		"yes before it is synced":             {unsynced: true},
		"one yes is enough":                   {single: true},
		"a claim is given back though it ran": {givesRan: true},
		"an empty disk is trusted":            {trustsLost: true},
		"an older disk is trusted":            {trustsOld: true},
		"whoever asks last gets the key":      {overwrites: true},
		"anybody's release is taken":          {anyRelease: true},
	} {
		n := walk(mis, 2, 20_000)
		t.Logf("%s: found in walk %d", name, n)
		if n == 0 {
			t.Errorf("%s: not found", name)
		}
	}
}
