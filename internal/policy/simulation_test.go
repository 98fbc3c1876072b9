package policy

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"gapgap/internal/membership"
)

// simulation simulates gateways in virtual time, with clock offset and drift, links that lose, delay and duplicate
// messages, and processes that are killed and stopped. The replicated log is a shared list to which the current leader
// commits. A deposed leader believes for a while that it still leads.
type simulation struct {
	rng            *rand.Rand
	now            time.Duration
	queue          eventQueue
	eventNumber    int
	gateways       []*gateway
	committed      [][]byte
	uncommitted    []*[]byte // proposed entries
	leader         int
	term           uint64
	loss           float64
	maxDelay       time.Duration
	duplication    float64
	isCut          func(a, b int) bool
	worstWindow    time.Duration // longest delay of a decision by an old version after the first by a newer one
	firstDecidedAt map[uint64]time.Duration
	lastDecidedAt  map[uint64]time.Duration

	trace *simulationTrace // nil if no trace is recorded; then map order is not normalized
}

type simulationEvent struct {
	at     time.Duration
	number int
	run    func()
}

type eventQueue []simulationEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simulationEvent)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type gateway struct {
	sim          *simulation
	index        int
	node         *Node
	processEpoch int
	incarnation  uint32
	alive        bool
	stopped      bool
	deferred     []func()
	offset       time.Duration
	drift        float64
	leadsUntil   time.Duration // until then, in simulation time, it believes that it leads
	applied      int
	term         uint64
	disk         map[Hash]bool
	prepareTime  time.Duration // time that preparing a document takes

	proposed [][]byte // entries proposed in the current call of the node, if a trace is recorded
}

// newSimulation returns a simulation in which the first version is committed, but no gateway knows about it yet.
func newSimulation(seed uint64, gateways int, mode Mode) *simulation {
	sim := &simulation{
		rng:            rand.New(rand.NewPCG(seed, 7)),
		now:            time.Hour,
		maxDelay:       time.Millisecond,
		isCut:          func(int, int) bool { return false },
		firstDecidedAt: map[uint64]time.Duration{},
		lastDecidedAt:  map[uint64]time.Duration{},
	}
	voters := min(3, gateways)
	for i := range gateways {
		sim.gateways = append(sim.gateways, &gateway{
			sim:         sim,
			index:       i,
			offset:      time.Duration(sim.rng.Int64N(int64(time.Hour))),
			drift:       1 + 0.01*(2*sim.rng.Float64()-1),
			disk:        map[Hash]bool{{1}: true},
			prepareTime: time.Duration(sim.rng.Int64N(int64(50 * time.Millisecond))),
		})
	}
	for _, g := range sim.gateways {
		g.start(voters)
	}
	sim.gateways[0].leadsUntil = 1 << 62
	sim.commitEntry(Entry{Propose: &Change{ID: "begin", Hash: Hash{1}, Initial: true, Mode: mode}})
	return sim
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.eventNumber++
	heap.Push(&sim.queue, simulationEvent{sim.now + max(0, d), sim.eventNumber, do})
}

func (sim *simulation) run(to time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= to {
		e := heap.Pop(&sim.queue).(simulationEvent)
		sim.now = max(sim.now, e.at)
		e.run()
	}
	sim.now = to
}

func (sim *simulation) commitEntry(e Entry) {
	n := &Node{cfg: Config{Log: proposalSink(func(b []byte) { sim.committed = append(sim.committed, b) })}}
	n.propose(e)
}

type proposalSink func([]byte)

func (proposalSink) Leading() (uint64, bool) { return 0, true }
func (c proposalSink) Propose(b []byte)      { c(b) }
func (proposalSink) ConfirmRead(uint64)      {}
func (proposalSink) ReplaceVoter(int) error  { return nil }

// query starts a query. It is dropped if the node has too many open queries.
func (g *gateway) query(q Query) (number uint64) {
	number, _ = g.node.StartQuery(q)
	return number
}

func (g *gateway) clock() time.Duration {
	return g.offset + time.Duration(float64(g.sim.now)*g.drift)
}

func (g *gateway) start(voters int) {
	g.processEpoch++
	g.incarnation++
	g.alive, g.stopped, g.deferred, g.applied, g.leadsUntil = true, false, nil, 0, 0
	cfg := Config{
		Process:    Process{Gateway: uint16(g.index), ID: membership.ID{Incarnation: g.incarnation}},
		Gateways:   len(g.sim.gateways),
		AbortAfter: 3 * time.Second,
	}
	for v := range voters {
		cfg.Voters = append(cfg.Voters, v)
	}
	if g.index < voters {
		cfg.Log = (*simulationLog)(g)
	}
	g.node = NewNode(cfg)
	epoch := g.processEpoch
	var tick func()
	tick = func() {
		if g.processEpoch != epoch {
			return
		}
		g.sim.after(10*time.Millisecond, tick)
		g.runOrDefer(func() {
			g.deliver(g.node.Tick(g.clock(), g.sim.wallMillis()))
			g.afterCall()
		})
	}
	g.sim.after(time.Duration(g.sim.rng.Int64N(int64(10*time.Millisecond))), tick)
}

// runOrDefer calls a function now or, if the process is stopped, when it is resumed. It drops the call if the process
// is dead, or if too many calls are deferred.
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

// resume resumes a stopped process. The process decides before it handles any message.
func (g *gateway) resume() {
	g.stopped = false
	g.checkDecision()
	deferred := g.deferred
	g.deferred = nil
	for _, do := range deferred {
		g.runOrDefer(do)
	}
}

// deliver sends messages over the simulated links.
func (g *gateway) deliver(outs []Outgoing) {
	sim := g.sim
	if sim.trace != nil {
		outs = g.record(outs)
	}
	for _, o := range outs {
		if o.To >= len(sim.gateways) {
			continue
		}
		to := sim.gateways[o.To]
		copies := 1
		if o.To != g.index && (sim.isCut(g.index, o.To) || sim.rng.Float64() < sim.loss) {
			continue
		} else if sim.rng.Float64() < sim.duplication {
			copies = 2
		}
		for range copies {
			epoch := to.processEpoch
			sim.after(time.Duration(sim.rng.Int64N(int64(sim.maxDelay))+1), func() {
				if to.processEpoch == epoch {
					to.runOrDefer(func() {
						to.deliver(to.node.Receive(to.clock(), g.index, o.Message, sim.wallMillis()))
						to.afterCall()
					})
				}
			})
		}
	}
}

// afterCall applies committed entries on the leader and prepares a missing document.
func (g *gateway) afterCall() {
	if g.leadsUntil > 0 && g.sim.leader == g.index {
		g.catchUp()
	}
	if h, _, ok := g.node.Participant().MissingDocument(); ok {
		if g.disk[h] {
			g.node.Participant().DocumentPrepared(h)
			g.node.PollNow()
		} else {
			epoch := g.processEpoch
			g.sim.after(g.prepareTime, func() {
				if g.processEpoch == epoch {
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

// checkDecision decides on a client request, if this gateway may decide, and records by which version and when.
func (g *gateway) checkDecision() {
	if !g.alive || g.stopped || g.clock() >= g.node.Participant().DecidesUntil() {
		return
	}
	version, sim := g.node.Participant().Version().Number, g.sim
	if _, ok := sim.firstDecidedAt[version]; !ok {
		sim.firstDecidedAt[version] = sim.now
	}
	sim.lastDecidedAt[version] = sim.now
	for later, at := range sim.firstDecidedAt {
		if later > version {
			sim.worstWindow = max(sim.worstWindow, sim.now-at)
		}
	}
}

func (g *gateway) catchUp() {
	for ; g.applied < len(g.sim.committed); g.applied++ {
		g.node.Apply(uint64(g.applied)+1, g.sim.committed[g.applied])
	}
}

// simulationLog is a voter's access to the log. It implements [Log].
type simulationLog gateway

func (l *simulationLog) Leading() (uint64, bool) {
	return l.term, l.sim.leader == l.index || l.sim.now < l.leadsUntil && l.leadsUntil < 1<<61
}

// Propose commits an entry after a random delay, if its leader still leads then.
func (l *simulationLog) Propose(b []byte) {
	if l.sim.trace != nil {
		l.proposed = append(l.proposed, b)
		return
	}
	(*gateway)(l).propose(b)
}

func (g *gateway) propose(b []byte) {
	sim := g.sim
	if sim.leader != g.index {
		return
	}
	p := &b
	sim.uncommitted = append(sim.uncommitted, p)
	sim.after(time.Duration(sim.rng.Int64N(int64(4*sim.maxDelay))+1), func() {
		if i := slices.Index(sim.uncommitted, p); i >= 0 {
			sim.uncommitted = slices.Delete(sim.uncommitted, i, i+1)
			sim.committed = append(sim.committed, b)
			g.runOrDefer(func() {
				if sim.leader == g.index {
					g.catchUp()
				}
			})
		}
	})
}

func (*simulationLog) ReplaceVoter(int) error { return nil }

// ConfirmRead confirms a read only if this voter is the leader of one term both at the start and at the confirmation.
func (l *simulationLog) ConfirmRead(token uint64) {
	sim, g := l.sim, (*gateway)(l)
	if sim.leader != g.index {
		return
	}
	epoch, term := g.processEpoch, g.term
	sim.after(time.Duration(sim.rng.Int64N(int64(2*sim.maxDelay))+1), func() {
		if sim.leader == g.index && g.term == term && g.processEpoch == epoch {
			g.runOrDefer(func() {
				g.catchUp()
				g.deliver(g.node.ReadConfirmed(g.clock(), token))
				g.afterCall()
			})
		}
	})
}

// elect makes another voter the leader, which has all committed entries. The previous leader does not notice for a
// while.
func (sim *simulation) elect(to int) {
	// Uncommitted entries that have reached the new leader's log are committed before it answers any request. The
	// others are lost.
	for _, p := range sim.uncommitted {
		if sim.rng.IntN(2) == 0 {
			sim.committed = append(sim.committed, *p)
		}
	}
	sim.uncommitted = nil
	previous := sim.gateways[sim.leader]
	previous.leadsUntil = sim.now + time.Duration(sim.rng.Int64N(int64(time.Second)))
	sim.leader = to
	g := sim.gateways[to]
	sim.term++
	g.leadsUntil, g.term = 1<<62, sim.term
	g.runOrDefer(g.catchUp)
}

// decideEvery lets each gateway decide on a client request at a fixed interval.
func (sim *simulation) decideEvery(interval time.Duration) {
	var decide func()
	decide = func() {
		for _, g := range sim.gateways {
			g.checkDecision()
		}
		sim.after(interval, decide)
	}
	decide()
}
