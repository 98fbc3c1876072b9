package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gapgap/internal/fake/race"
	"gapgap/internal/membership"
)

// world is a fleet in virtual time: doors with clocks of their own, lines that lose, delay and double, processes that are killed and stopped,
// and a log that is agreed on by whichever voter leads. One that has been replaced goes on for a while as if it led.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	queue   eventQueue
	no      int
	doors   []*worldDoor
	agreed  [][]byte
	open    []*[]byte // proposed and not yet agreed on
	leader  int
	term    uint64
	loss    float64
	late    time.Duration
	double  float64
	cut     func(a, b int) bool
	window  time.Duration // the worst seen
	firstAt map[uint64]time.Duration
	took    map[string]time.Duration
	lastBy  map[uint64]time.Duration

	trace *worldTrace // nil: nothing is recorded, and what a node does in the order of a map comes in that order
}

type worldEvent struct {
	at time.Duration
	no int
	do func()
}

type eventQueue []worldEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].no < q[j].no
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(worldEvent)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type worldDoor struct {
	w       *world
	rank    int
	node    *Node
	life    int
	inc     uint32
	alive   bool
	stopped bool
	held    []func()
	offset  time.Duration
	drift   float64
	leadsTo time.Duration // it takes itself for the leader until then, by the world's time
	applied int
	term    uint64
	disk    map[Hash]bool
	slow    time.Duration // to prepare

	proposed [][]byte // by the node's present call, where a trace is recorded
}

func newWorld(seed uint64, doors int, mode Mode) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Hour, late: time.Millisecond, cut: func(int, int) bool { return false },
		firstAt: map[uint64]time.Duration{}, took: map[string]time.Duration{}, lastBy: map[uint64]time.Duration{}}
	voters := min(3, doors)
	for i := range doors {
		d := &worldDoor{w: w, rank: i, offset: time.Duration(w.rng.Int64N(int64(time.Hour))), drift: 1 + 0.01*(2*w.rng.Float64()-1), disk: map[Hash]bool{{1}: true},
			slow: time.Duration(w.rng.Int64N(int64(50 * time.Millisecond)))}
		w.doors = append(w.doors, d)
	}
	for _, d := range w.doors {
		d.start(voters)
	}
	w.doors[0].leadsTo = 1 << 62
	w.agree(Entry{Propose: &Change{ID: "begin", Hash: Hash{1}, Begin: true, Mode: mode}})
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.no++
	heap.Push(&w.queue, worldEvent{w.now + max(0, d), w.no, do})
}

func (w *world) run(to time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= to {
		e := heap.Pop(&w.queue).(worldEvent)
		w.now = max(w.now, e.at)
		e.do()
	}
	w.now = to
}

func (w *world) agree(e Entry) {
	n := &Node{cfg: Config{Log: collect(func(b []byte) { w.agreed = append(w.agreed, b) })}}
	n.propose(e)
}

type collect func([]byte)

func (collect) Leading() (uint64, bool) { return 0, true }
func (c collect) Propose(b []byte)      { c(b) }
func (collect) Read(uint64)             {}
func (collect) Replace(int) string      { return "" }

func (d *worldDoor) clock() time.Duration { return d.offset + time.Duration(float64(d.w.now)*d.drift) }

func (d *worldDoor) start(voters int) {
	d.life++
	d.inc++
	d.alive, d.stopped, d.held, d.applied, d.leadsTo = true, false, nil, 0, 0
	cfg := Config{Ref: Ref{Rank: uint16(d.rank), ID: membership.ID{Incarnation: d.inc}}, Doors: len(d.w.doors), GiveUp: 3 * time.Second}
	for v := range voters {
		cfg.Voters = append(cfg.Voters, v)
	}
	if d.rank < voters {
		cfg.Log = (*worldLog)(d)
	}
	d.node = NewNode(cfg)
	life := d.life
	var tick func()
	tick = func() {
		if d.life != life {
			return
		}
		d.w.after(10*time.Millisecond, tick)
		d.here(func() { d.sends(d.node.Tick(d.clock(), d.w.wall())); d.after() })
	}
	d.w.after(time.Duration(d.w.rng.Int64N(int64(10*time.Millisecond))), tick)
}

// here does something now, or when the process goes on, if it is still this one.
func (d *worldDoor) here(do func()) {
	if d.stopped {
		if len(d.held) < 200 {
			d.held = append(d.held, do)
		}
		return
	}
	if d.alive {
		do()
	}
}

// resume has a process that was stopped go on: it decides before it hears anything.
func (d *worldDoor) resume() {
	d.stopped = false
	d.decide()
	held := d.held
	d.held = nil
	for _, do := range held {
		d.here(do)
	}
}

func (d *worldDoor) sends(outs []Out) {
	w := d.w
	if w.trace != nil {
		outs = d.record(outs)
	}
	for _, o := range outs {
		if o.To >= len(w.doors) {
			continue
		}
		to := w.doors[o.To]
		times := 1
		if o.To != d.rank && (w.cut(d.rank, o.To) || w.rng.Float64() < w.loss) {
			continue
		} else if w.rng.Float64() < w.double {
			times = 2
		}
		for range times {
			life := to.life
			w.after(time.Duration(w.rng.Int64N(int64(w.late))+1), func() {
				if to.life == life {
					to.here(func() { to.sends(to.node.Heard(to.clock(), d.rank, o.Msg, w.wall())); to.after() })
				}
			})
		}
	}
}

// after prepares what is wanted and looks at the promise.
func (d *worldDoor) after() {
	if d.leadsTo > 0 && d.w.leader == d.rank {
		d.catchUp()
	}
	if h, _, ok := d.node.Door().Wants(); ok {
		if d.disk[h] {
			d.node.Door().Prepared(h)
			d.node.Soon()
		} else {
			life := d.life
			d.w.after(d.slow, func() {
				if d.life == life {
					d.disk[h] = true
					d.here(func() { d.node.Door().Prepared(h); d.node.Soon() })
				}
			})
		}
	}
}

// decide is a request that comes: the check of the promise.
func (d *worldDoor) decide() {
	if !d.alive || d.stopped || d.clock() >= d.node.Door().Until() {
		return
	}
	v, w := d.node.Door().Has().N, d.w
	if _, ok := w.firstAt[v]; !ok {
		w.firstAt[v] = w.now
	}
	w.lastBy[v] = w.now
	for later, at := range w.firstAt {
		if later > v {
			w.window = max(w.window, w.now-at)
		}
	}
}

func (d *worldDoor) catchUp() {
	for ; d.applied < len(d.w.agreed); d.applied++ {
		d.node.Applied(uint64(d.applied)+1, d.w.agreed[d.applied])
	}
}

// worldLog is the log as a voter sees it.
type worldLog worldDoor

func (l *worldLog) Leading() (uint64, bool) {
	return l.term, l.w.leader == l.rank || l.w.now < l.leadsTo && l.leadsTo < 1<<61
}

// Propose agrees on an entry after a while, if its leader still leads then.
func (l *worldLog) Propose(b []byte) {
	if l.w.trace != nil {
		l.proposed = append(l.proposed, b)
		return
	}
	(*worldDoor)(l).propose(b)
}

func (d *worldDoor) propose(b []byte) {
	w := d.w
	if w.leader != d.rank {
		return
	}
	p := &b
	w.open = append(w.open, p)
	w.after(time.Duration(w.rng.Int64N(int64(4*w.late))+1), func() {
		if i := slices.Index(w.open, p); i >= 0 {
			w.open = slices.Delete(w.open, i, i+1)
			w.agreed = append(w.agreed, b)
			d.here(func() {
				if w.leader == d.rank {
					d.catchUp()
				}
			})
		}
	})
}

// Read is confirmed only by who leads both when it is asked and when it is answered.
func (*worldLog) Replace(int) string { return "" }

func (l *worldLog) Read(token uint64) {
	w, d := l.w, (*worldDoor)(l)
	if w.leader != d.rank {
		return
	}
	life, term := d.life, d.term
	w.after(time.Duration(w.rng.Int64N(int64(2*w.late))+1), func() {
		if w.leader == d.rank && d.term == term && d.life == life {
			d.here(func() { d.catchUp(); d.sends(d.node.Read(d.clock(), token)); d.after() })
		}
	})
}

// elect has another voter lead. The one before does not know for a while; the new one has all that was agreed.
func (w *world) elect(to int) {
	for _, p := range w.open { // what the successor's log has of the one before is agreed on before it answers anybody; the rest is lost
		if w.rng.IntN(2) == 0 {
			w.agreed = append(w.agreed, *p)
		}
	}
	w.open = nil
	was := w.doors[w.leader]
	was.leadsTo = w.now + time.Duration(w.rng.Int64N(int64(time.Second)))
	w.leader = to
	d := w.doors[to]
	w.term++
	d.leadsTo, d.term = 1<<62, w.term
	d.here(d.catchUp)
}

// play is a random schedule. It returns how far the promise was missed, and what was done.
func play(seed uint64, doors int, lasts time.Duration) (w *world, story []string) {
	return playWith(seed, doors, lasts, nil)
}

func playWith(seed uint64, doors int, lasts time.Duration, trace *worldTrace) (w *world, story []string) {
	rng := rand.New(rand.NewPCG(seed, 8))
	w = newWorld(seed, doors, Mode(rng.IntN(2)))
	w.trace = trace
	w.late = time.Duration(1+rng.IntN(30)) * time.Millisecond
	w.loss, w.double = 0.3*rng.Float64(), 0.3*rng.Float64()
	w.asksAll(7 * time.Millisecond)
	end, voters := w.now+lasts, min(3, doors)
	tell := func(format string, args ...any) {
		story = append(story, fmt.Sprintf("%v ", w.now-time.Hour)+fmt.Sprintf(format, args...))
	}
	change := 0
	for w.now < end {
		w.run(w.now + time.Duration(rng.Int64N(int64(400*time.Millisecond))))
		d := w.doors[rng.IntN(doors)]
		switch rng.IntN(9) {
		case 0, 1, 2:
			s := NewState()
			for i, b := range w.agreed {
				n := &Node{state: s}
				n.Applied(uint64(i)+1, b)
			}
			change++
			c := &Change{ID: fmt.Sprint("c", change), Base: s.Present.N, Hash: Hash{byte(change), byte(change >> 8), 9}, Mode: s.Mode, From: uint16(d.rank)}
			if rng.IntN(3) == 0 {
				c.Mode = Wait
			}
			tell("change %d", change)
			d.here(func() { d.node.Ask(Say{ID: c.ID, Change: c}) })
		case 3:
			tell("kill %d", d.rank)
			d.alive, d.life = false, d.life+1
			if w.leader == d.rank {
				w.elect((d.rank + 1) % voters)
			}
			w.after(time.Duration(rng.Int64N(int64(2*time.Second))), func() {
				if !d.alive {
					d.start(voters)
				}
			})
		case 4:
			if d.alive && !d.stopped {
				tell("stop %d", d.rank)
				d.stopped = true
				life := d.life
				w.after(time.Duration(rng.Int64N(int64(4*time.Second))), func() {
					if d.life == life {
						d.resume()
					}
				})
				if w.leader == d.rank && rng.IntN(2) == 0 {
					w.elect((d.rank + 1) % voters)
				}
			}
		case 5:
			x, out := d.rank, rng.IntN(3)
			tell("cut %d (%d)", x, out)
			w.cut = func(a, b int) bool { return out != 1 && a == x || out != 0 && b == x }
			if w.leader == x && doors > 1 {
				w.elect((x + 1) % voters)
			}
			w.after(time.Duration(rng.Int64N(int64(5*time.Second))), func() { w.cut = func(int, int) bool { return false } })
		case 6:
			tell("another leader")
			w.elect(rng.IntN(voters))
		}
	}
	return w, story
}

// asksAll has requests come to all doors each some milliseconds.
func (w *world) asksAll(each time.Duration) {
	var ask func()
	ask = func() {
		for _, d := range w.doors {
			d.decide()
		}
		w.after(each, ask)
	}
	ask()
}

// Fleets of 1 to 12 doors through random schedules. GAPGAP_SEED plays one of them.
func TestPolicySchedules(t *testing.T) {
	seeds := []uint64{}
	if s := os.Getenv("GAPGAP_SEED"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, n)
	} else {
		n := 120
		if os.Getenv("GAPGAP_LONG") != "" {
			n = 1000
		} else if race.On {
			n = 24
		}
		for s := range n {
			seeds = append(seeds, uint64(s))
		}
	}
	versions, worst := uint64(0), time.Duration(0)
	for _, seed := range seeds {
		doors := 1 + int(seed%12)
		w, story := play(seed, doors, 15*time.Second)
		if w.window > 250*time.Millisecond {
			t.Fatalf("GAPGAP_SEED=%d, %d doors: decided by an earlier version %v after the first by a later one\n%v", seed, doors, w.window, story)
		}
		worst = max(worst, w.window)
		for v := range w.firstAt {
			versions = max(versions, v)
		}
	}
	t.Logf("%d schedules; up to version %d; window %v at worst", len(seeds), versions, worst)
	if versions < 3 {
		t.Error("hardly any change was taken")
	}
}

// How long a change takes, and its window, at sizes that no machine here holds.
func TestPolicyTimes(t *testing.T) {
	sizes := []int{3, 20, 80, 300}
	if race.On {
		sizes = sizes[:2]
	}
	for _, doors := range sizes {
		w := newWorld(uint64(doors), doors, Wait)
		w.asksAll(5 * time.Millisecond)
		w.run(w.now + 5*time.Second)
		for n := uint64(2); n < 5; n++ {
			c := &Change{ID: fmt.Sprint(n), Base: n - 1, Hash: Hash{byte(n)}}
			at := w.now
			w.doors[doors-1].node.Ask(Say{ID: c.ID, Change: c})
			w.run(w.now + 4*time.Second)
			first, ok := w.firstAt[n]
			if !ok {
				t.Fatalf("%d doors: change %d was not taken", doors, n)
			}
			t.Logf("%d doors: taken %v after it was proposed, window %v", doors, (first - at).Round(time.Millisecond), (w.lastBy[n-1] - first).Round(time.Millisecond))
			if first-at > 2*time.Second || w.lastBy[n-1]-first > 250*time.Millisecond {
				t.Error("too late")
			}
		}
	}
}
