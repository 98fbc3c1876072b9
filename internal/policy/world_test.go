package policy

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"gapgap/internal/membership"
)

// world is a set of gateways in virtual time: clocks that differ, links that lose, delay and duplicate, processes that
// are killed and stopped, and a log to which whichever voter leads commits. A leader that has been replaced goes on for
// a while as if it led.
type world struct {
	rng            *rand.Rand
	now            time.Duration
	queue          eventQueue
	eventNumber    int
	gateways       []*gateway
	committed      [][]byte
	uncommitted    []*[]byte // proposed
	leader         int
	term           uint64
	loss           float64
	maxDelay       time.Duration
	duplication    float64
	cut            func(a, b int) bool
	worstWindow    time.Duration // longest time that an old version was decided by after a newer one
	firstDecidedAt map[uint64]time.Duration
	lastDecidedAt  map[uint64]time.Duration

	trace *worldTrace // nil: nothing is recorded, and what a node does in the order of a map stays in that order
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
	leadsTo     time.Duration // it believes that it leads until then, by the world's time
	applied     int
	term        uint64
	disk        map[Hash]bool
	prepareTime time.Duration // of a document

	proposed [][]byte // by the call of the node that goes on, where a trace is recorded
}

// newWorld returns a world in which the first version is committed and no gateway knows it yet.
func newWorld(seed uint64, gateways int, mode Mode) *world {
	w := &world{
		rng:            rand.New(rand.NewPCG(seed, 7)),
		now:            time.Hour,
		maxDelay:       time.Millisecond,
		cut:            func(int, int) bool { return false },
		firstDecidedAt: map[uint64]time.Duration{},
		lastDecidedAt:  map[uint64]time.Duration{},
	}
	voters := min(3, gateways)
	for i := range gateways {
		w.gateways = append(w.gateways, &gateway{
			world:       w,
			index:       i,
			offset:      time.Duration(w.rng.Int64N(int64(time.Hour))),
			drift:       1 + 0.01*(2*w.rng.Float64()-1),
			disk:        map[Hash]bool{{1}: true},
			prepareTime: time.Duration(w.rng.Int64N(int64(50 * time.Millisecond))),
		})
	}
	for _, g := range w.gateways {
		g.start(voters)
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

// query starts a query; one more than the node allows is dropped.
func (g *gateway) query(q Query) (number uint64) {
	number, _ = g.node.StartQuery(q)
	return number
}

func (g *gateway) clock() time.Duration {
	return g.offset + time.Duration(float64(g.world.now)*g.drift)
}

func (g *gateway) start(voters int) {
	g.life++
	g.incarnation++
	g.alive, g.stopped, g.deferred, g.applied, g.leadsTo = true, false, nil, 0, 0
	cfg := Config{
		Process:    Process{Gateway: uint16(g.index), ID: membership.ID{Incarnation: g.incarnation}},
		Gateways:   len(g.world.gateways),
		AbortAfter: 3 * time.Second,
	}
	for v := range voters {
		cfg.Voters = append(cfg.Voters, v)
	}
	if g.index < voters {
		cfg.Log = (*worldLog)(g)
	}
	g.node = NewNode(cfg)
	life := g.life
	var tick func()
	tick = func() {
		if g.life != life {
			return
		}
		g.world.after(10*time.Millisecond, tick)
		g.runOrDefer(func() {
			g.deliver(g.node.Tick(g.clock(), g.world.wallMillis()))
			g.afterCall()
		})
	}
	g.world.after(time.Duration(g.world.rng.Int64N(int64(10*time.Millisecond))), tick)
}

// runOrDefer runs a function now, or when a stopped process is resumed.
func (g *gateway) runOrDefer(do func()) {
	if g.stopped {
		if len(g.deferred) < 200 {
			g.deferred = append(g.deferred, do)
		}
		return
	}
	if g.alive {
		do()
	}
}

// resume lets a stopped process go on: it decides before it receives anything.
func (g *gateway) resume() {
	g.stopped = false
	g.checkDecision()
	deferred := g.deferred
	g.deferred = nil
	for _, do := range deferred {
		g.runOrDefer(do)
	}
}

// deliver sends messages over the links.
func (g *gateway) deliver(outs []Outgoing) {
	w := g.world
	if w.trace != nil {
		outs = g.record(outs)
	}
	for _, o := range outs {
		if o.To >= len(w.gateways) {
			continue
		}
		to := w.gateways[o.To]
		times := 1
		if o.To != g.index && (w.cut(g.index, o.To) || w.rng.Float64() < w.loss) {
			continue
		} else if w.rng.Float64() < w.duplication {
			times = 2
		}
		for range times {
			life := to.life
			w.after(time.Duration(w.rng.Int64N(int64(w.maxDelay))+1), func() {
				if to.life == life {
					to.runOrDefer(func() {
						to.deliver(to.node.Receive(to.clock(), g.index, o.Message, w.wallMillis()))
						to.afterCall()
					})
				}
			})
		}
	}
}

// afterCall prepares a missing document, and on the leader applies what is committed.
func (g *gateway) afterCall() {
	if g.leadsTo > 0 && g.world.leader == g.index {
		g.catchUp()
	}
	if h, _, ok := g.node.Participant().MissingDocument(); ok {
		if g.disk[h] {
			g.node.Participant().DocumentPrepared(h)
			g.node.PollNow()
		} else {
			life := g.life
			g.world.after(g.prepareTime, func() {
				if g.life == life {
					g.disk[h] = true
					g.runOrDefer(func() {
						g.node.Participant().DocumentPrepared(h)
						g.node.PollNow()
					})
				}
			})
		}
	}
}

// checkDecision decides on a request, if this gateway may, and notes by which version and when.
func (g *gateway) checkDecision() {
	if !g.alive || g.stopped || g.clock() >= g.node.Participant().DecidesUntil() {
		return
	}
	version, w := g.node.Participant().Version().Number, g.world
	if _, ok := w.firstDecidedAt[version]; !ok {
		w.firstDecidedAt[version] = w.now
	}
	w.lastDecidedAt[version] = w.now
	for later, at := range w.firstDecidedAt {
		if later > version {
			w.worstWindow = max(w.worstWindow, w.now-at)
		}
	}
}

func (g *gateway) catchUp() {
	for ; g.applied < len(g.world.committed); g.applied++ {
		g.node.Apply(uint64(g.applied)+1, g.world.committed[g.applied])
	}
}

// worldLog is the log as a voter sees it.
type worldLog gateway

func (l *worldLog) Leading() (uint64, bool) {
	return l.term, l.world.leader == l.index || l.world.now < l.leadsTo && l.leadsTo < 1<<61
}

// Propose commits an entry after a while, if its leader still leads then.
func (l *worldLog) Propose(b []byte) {
	if l.world.trace != nil {
		l.proposed = append(l.proposed, b)
		return
	}
	(*gateway)(l).propose(b)
}

func (g *gateway) propose(b []byte) {
	w := g.world
	if w.leader != g.index {
		return
	}
	p := &b
	w.uncommitted = append(w.uncommitted, p)
	w.after(time.Duration(w.rng.Int64N(int64(4*w.maxDelay))+1), func() {
		if i := slices.Index(w.uncommitted, p); i >= 0 {
			w.uncommitted = slices.Delete(w.uncommitted, i, i+1)
			w.committed = append(w.committed, b)
			g.runOrDefer(func() {
				if w.leader == g.index {
					g.catchUp()
				}
			})
		}
	})
}

func (*worldLog) ReplaceVoter(int) error { return nil }

// ConfirmRead confirms a read only if this voter leads both when it is started and when it is confirmed.
func (l *worldLog) ConfirmRead(token uint64) {
	w, g := l.world, (*gateway)(l)
	if w.leader != g.index {
		return
	}
	life, term := g.life, g.term
	w.after(time.Duration(w.rng.Int64N(int64(2*w.maxDelay))+1), func() {
		if w.leader == g.index && g.term == term && g.life == life {
			g.runOrDefer(func() {
				g.catchUp()
				g.deliver(g.node.ReadConfirmed(g.clock(), token))
				g.afterCall()
			})
		}
	})
}

// elect makes another voter the leader. The one before does not know for a while; the new one has all that is
// committed.
func (w *world) elect(to int) {
	// What the new leader's log has of the one before is committed before it answers anybody; the rest is lost.
	for _, p := range w.uncommitted {
		if w.rng.IntN(2) == 0 {
			w.committed = append(w.committed, *p)
		}
	}
	w.uncommitted = nil
	was := w.gateways[w.leader]
	was.leadsTo = w.now + time.Duration(w.rng.Int64N(int64(time.Second)))
	w.leader = to
	g := w.gateways[to]
	w.term++
	g.leadsTo, g.term = 1<<62, w.term
	g.runOrDefer(g.catchUp)
}

// decideEvery has a request come to each gateway in an interval.
func (w *world) decideEvery(interval time.Duration) {
	var ask func()
	ask = func() {
		for _, g := range w.gateways {
			g.checkDecision()
		}
		w.after(interval, ask)
	}
	ask()
}
