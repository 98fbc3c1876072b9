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
	rng            *rand.Rand
	now            time.Duration
	queue          eventQueue
	eventNumber    int
	gateways       []*gateway
	committed      [][]byte
	uncommitted    []*[]byte // proposed and not yet agreed on
	leader         int
	term           uint64
	loss           float64
	maxDelay       time.Duration
	duplication    float64
	cut            func(a, b int) bool
	worstWindow    time.Duration // the worst seen
	firstDecidedAt map[uint64]time.Duration
	committedAt    map[string]time.Duration
	lastDecidedAt  map[uint64]time.Duration

	trace *worldTrace // nil: nothing is recorded, and what a node does in the order of a map comes in that order
}

type worldEvent struct {
	at     time.Duration
	number int
	run    func()
}

type eventQueue []worldEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(worldEvent)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type gateway struct {
	world       *world
	index       int
	node        *Node
	life        int
	incarnation uint32
	alive       bool
	stopped     bool
	deferred    []func()
	offset      time.Duration
	drift       float64
	leadsTo     time.Duration // it takes itself for the leader until then, by the world's time
	applied     int
	term        uint64
	disk        map[Hash]bool
	prepareTime time.Duration // to prepare

	proposed [][]byte // by the node's present call, where a trace is recorded
}

func newWorld(seed uint64, doors int, mode Mode) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Hour, maxDelay: time.Millisecond, cut: func(int, int) bool { return false },
		firstDecidedAt: map[uint64]time.Duration{}, committedAt: map[string]time.Duration{}, lastDecidedAt: map[uint64]time.Duration{}}
	voters := min(3, doors)
	for i := range doors {
		d := &gateway{world: w, index: i, offset: time.Duration(w.rng.Int64N(int64(time.Hour))), drift: 1 + 0.01*(2*w.rng.Float64()-1), disk: map[Hash]bool{{1}: true},
			prepareTime: time.Duration(w.rng.Int64N(int64(50 * time.Millisecond)))}
		w.gateways = append(w.gateways, d)
	}
	for _, d := range w.gateways {
		d.start(voters)
	}
	w.gateways[0].leadsTo = 1 << 62
	w.commitEntry(Entry{Propose: &Change{ID: "begin", Hash: Hash{1}, Initial: true, Mode: mode}})
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.eventNumber++
	heap.Push(&w.queue, worldEvent{w.now + max(0, d), w.eventNumber, do})
}

func (w *world) run(to time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= to {
		e := heap.Pop(&w.queue).(worldEvent)
		w.now = max(w.now, e.at)
		e.run()
	}
	w.now = to
}

func (w *world) commitEntry(e Entry) {
	n := &Node{cfg: Config{Log: proposalSink(func(b []byte) { w.committed = append(w.committed, b) })}}
	n.propose(e)
}

type proposalSink func([]byte)

func (proposalSink) Leading() (uint64, bool) { return 0, true }
func (c proposalSink) Propose(b []byte)      { c(b) }
func (proposalSink) ConfirmRead(uint64)      {}
func (proposalSink) ReplaceVoter(int) error  { return nil }

func (d *gateway) clock() time.Duration {
	return d.offset + time.Duration(float64(d.world.now)*d.drift)
}

func (d *gateway) start(voters int) {
	d.life++
	d.incarnation++
	d.alive, d.stopped, d.deferred, d.applied, d.leadsTo = true, false, nil, 0, 0
	cfg := Config{Process: Process{Gateway: uint16(d.index), ID: membership.ID{Incarnation: d.incarnation}}, Gateways: len(d.world.gateways), AbortAfter: 3 * time.Second}
	for v := range voters {
		cfg.Voters = append(cfg.Voters, v)
	}
	if d.index < voters {
		cfg.Log = (*worldLog)(d)
	}
	d.node = NewNode(cfg)
	life := d.life
	var tick func()
	tick = func() {
		if d.life != life {
			return
		}
		d.world.after(10*time.Millisecond, tick)
		d.runOrDefer(func() { d.deliver(d.node.Tick(d.clock(), d.world.wall())); d.afterCall() })
	}
	d.world.after(time.Duration(d.world.rng.Int64N(int64(10*time.Millisecond))), tick)
}

// runOrDefer does something now, or when the process goes on, if it is still this one.
func (d *gateway) runOrDefer(do func()) {
	if d.stopped {
		if len(d.deferred) < 200 {
			d.deferred = append(d.deferred, do)
		}
		return
	}
	if d.alive {
		do()
	}
}

// resume has a process that was stopped go on: it decides before it hears anything.
func (d *gateway) resume() {
	d.stopped = false
	d.checkDecision()
	held := d.deferred
	d.deferred = nil
	for _, do := range held {
		d.runOrDefer(do)
	}
}

func (d *gateway) deliver(outs []Outgoing) {
	w := d.world
	if w.trace != nil {
		outs = d.record(outs)
	}
	for _, o := range outs {
		if o.To >= len(w.gateways) {
			continue
		}
		to := w.gateways[o.To]
		times := 1
		if o.To != d.index && (w.cut(d.index, o.To) || w.rng.Float64() < w.loss) {
			continue
		} else if w.rng.Float64() < w.duplication {
			times = 2
		}
		for range times {
			life := to.life
			w.after(time.Duration(w.rng.Int64N(int64(w.maxDelay))+1), func() {
				if to.life == life {
					to.runOrDefer(func() { to.deliver(to.node.Receive(to.clock(), d.index, o.Message, w.wall())); to.afterCall() })
				}
			})
		}
	}
}

// afterCall prepares what is wanted and looks at the promise.
func (d *gateway) afterCall() {
	if d.leadsTo > 0 && d.world.leader == d.index {
		d.catchUp()
	}
	if h, _, ok := d.node.Participant().MissingDocument(); ok {
		if d.disk[h] {
			d.node.Participant().DocumentPrepared(h)
			d.node.PollNow()
		} else {
			life := d.life
			d.world.after(d.prepareTime, func() {
				if d.life == life {
					d.disk[h] = true
					d.runOrDefer(func() { d.node.Participant().DocumentPrepared(h); d.node.PollNow() })
				}
			})
		}
	}
}

// checkDecision is a request that comes: the check of the promise.
func (d *gateway) checkDecision() {
	if !d.alive || d.stopped || d.clock() >= d.node.Participant().DecidesUntil() {
		return
	}
	v, w := d.node.Participant().Version().Number, d.world
	if _, ok := w.firstDecidedAt[v]; !ok {
		w.firstDecidedAt[v] = w.now
	}
	w.lastDecidedAt[v] = w.now
	for later, at := range w.firstDecidedAt {
		if later > v {
			w.worstWindow = max(w.worstWindow, w.now-at)
		}
	}
}

func (d *gateway) catchUp() {
	for ; d.applied < len(d.world.committed); d.applied++ {
		d.node.Apply(uint64(d.applied)+1, d.world.committed[d.applied])
	}
}

// worldLog is the log as a voter sees it.
type worldLog gateway

func (l *worldLog) Leading() (uint64, bool) {
	return l.term, l.world.leader == l.index || l.world.now < l.leadsTo && l.leadsTo < 1<<61
}

// Propose agrees on an entry after a while, if its leader still leads then.
func (l *worldLog) Propose(b []byte) {
	if l.world.trace != nil {
		l.proposed = append(l.proposed, b)
		return
	}
	(*gateway)(l).propose(b)
}

func (d *gateway) propose(b []byte) {
	w := d.world
	if w.leader != d.index {
		return
	}
	p := &b
	w.uncommitted = append(w.uncommitted, p)
	w.after(time.Duration(w.rng.Int64N(int64(4*w.maxDelay))+1), func() {
		if i := slices.Index(w.uncommitted, p); i >= 0 {
			w.uncommitted = slices.Delete(w.uncommitted, i, i+1)
			w.committed = append(w.committed, b)
			d.runOrDefer(func() {
				if w.leader == d.index {
					d.catchUp()
				}
			})
		}
	})
}

// Read is confirmed only by who leads both when it is asked and when it is answered.
func (*worldLog) ReplaceVoter(int) error { return nil }

func (l *worldLog) ConfirmRead(token uint64) {
	w, d := l.world, (*gateway)(l)
	if w.leader != d.index {
		return
	}
	life, term := d.life, d.term
	w.after(time.Duration(w.rng.Int64N(int64(2*w.maxDelay))+1), func() {
		if w.leader == d.index && d.term == term && d.life == life {
			d.runOrDefer(func() { d.catchUp(); d.deliver(d.node.ReadConfirmed(d.clock(), token)); d.afterCall() })
		}
	})
}

// elect has another voter lead. The one before does not know for a while; the new one has all that was agreed.
func (w *world) elect(to int) {
	for _, p := range w.uncommitted { // what the successor's log has of the one before is agreed on before it answers anybody; the rest is lost
		if w.rng.IntN(2) == 0 {
			w.committed = append(w.committed, *p)
		}
	}
	w.uncommitted = nil
	was := w.gateways[w.leader]
	was.leadsTo = w.now + time.Duration(w.rng.Int64N(int64(time.Second)))
	w.leader = to
	d := w.gateways[to]
	w.term++
	d.leadsTo, d.term = 1<<62, w.term
	d.runOrDefer(d.catchUp)
}

// playSchedule is a random schedule. It returns how far the promise was missed, and what was done.
func playSchedule(seed uint64, doors int, lasts time.Duration) (w *world, story []string) {
	return playWith(seed, doors, lasts, nil)
}

func playWith(seed uint64, doors int, lasts time.Duration, trace *worldTrace) (w *world, story []string) {
	rng := rand.New(rand.NewPCG(seed, 8))
	w = newWorld(seed, doors, Mode(rng.IntN(2)))
	w.trace = trace
	w.maxDelay = time.Duration(1+rng.IntN(30)) * time.Millisecond
	w.loss, w.duplication = 0.3*rng.Float64(), 0.3*rng.Float64()
	w.decideEvery(7 * time.Millisecond)
	end, voters := w.now+lasts, min(3, doors)
	tell := func(format string, args ...any) {
		story = append(story, fmt.Sprintf("%v ", w.now-time.Hour)+fmt.Sprintf(format, args...))
	}
	change := 0
	for w.now < end {
		w.run(w.now + time.Duration(rng.Int64N(int64(400*time.Millisecond))))
		d := w.gateways[rng.IntN(doors)]
		switch rng.IntN(9) {
		case 0, 1, 2:
			s := NewState()
			for i, b := range w.committed {
				n := &Node{state: s}
				n.Apply(uint64(i)+1, b)
			}
			change++
			c := &Change{ID: fmt.Sprint("c", change), Base: s.Current.Number, Hash: Hash{byte(change), byte(change >> 8), 9}, Mode: s.Mode, Source: uint16(d.index)}
			if rng.IntN(3) == 0 {
				c.Mode = Wait
			}
			tell("change %d", change)
			d.runOrDefer(func() { d.node.StartQuery(Query{ChangeID: c.ID, Change: c}) })
		case 3:
			tell("kill %d", d.index)
			d.alive, d.life = false, d.life+1
			if w.leader == d.index {
				w.elect((d.index + 1) % voters)
			}
			w.after(time.Duration(rng.Int64N(int64(2*time.Second))), func() {
				if !d.alive {
					d.start(voters)
				}
			})
		case 4:
			if d.alive && !d.stopped {
				tell("stop %d", d.index)
				d.stopped = true
				life := d.life
				w.after(time.Duration(rng.Int64N(int64(4*time.Second))), func() {
					if d.life == life {
						d.resume()
					}
				})
				if w.leader == d.index && rng.IntN(2) == 0 {
					w.elect((d.index + 1) % voters)
				}
			}
		case 5:
			x, out := d.index, rng.IntN(3)
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

// decideEvery has requests come to all doors each some milliseconds.
func (w *world) decideEvery(each time.Duration) {
	var ask func()
	ask = func() {
		for _, d := range w.gateways {
			d.checkDecision()
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
		w, story := playSchedule(seed, doors, 15*time.Second)
		if w.worstWindow > 250*time.Millisecond {
			t.Fatalf("GAPGAP_SEED=%d, %d doors: decided by an earlier version %v after the first by a later one\n%v", seed, doors, w.worstWindow, story)
		}
		worst = max(worst, w.worstWindow)
		for v := range w.firstDecidedAt {
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
		w.decideEvery(5 * time.Millisecond)
		w.run(w.now + 5*time.Second)
		for n := uint64(2); n < 5; n++ {
			c := &Change{ID: fmt.Sprint(n), Base: n - 1, Hash: Hash{byte(n)}}
			at := w.now
			w.gateways[doors-1].node.StartQuery(Query{ChangeID: c.ID, Change: c})
			w.run(w.now + 4*time.Second)
			first, ok := w.firstDecidedAt[n]
			if !ok {
				t.Fatalf("%d doors: change %d was not taken", doors, n)
			}
			t.Logf("%d doors: taken %v after it was proposed, window %v", doors, (first - at).Round(time.Millisecond), (w.lastDecidedAt[n-1] - first).Round(time.Millisecond))
			if first-at > 2*time.Second || w.lastDecidedAt[n-1]-first > 250*time.Millisecond {
				t.Error("too late")
			}
		}
	}
}
