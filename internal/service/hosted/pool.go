package hosted

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"

	"gapgap/internal/balancer"

	"gapgap/internal/cpuscheduler"
	"gapgap/internal/endpoint"
	"gapgap/internal/proxy"
	"gapgap/internal/route"
	"gapgap/internal/service"
	"gapgap/internal/sharedhealth"
)

// pool is one service behind the fronts: a core with a loop of its own. It owns that loop's goroutine.
type pool struct {
	cfg     *Pool
	core    *proxy.Proxy
	share   *share // nil: there is one pool
	box     *box
	started bool
	stop    chan struct{}
	ended   chan struct{}
}

// newPool makes one. It does nothing before start.
func (s *Service) newPool(cfg *Pool) (*pool, error) {
	p := &pool{cfg: cfg, share: s.shares.join(cfg.Node.Name), stop: make(chan struct{}), ended: make(chan struct{})}
	parts := service.Parts{Space: cfg.CounterSpace, Gate: s.flow(cfg), Guard: s.policy.decisionLease(),
		Tell: func(c *proxy.Proxy) func(endpoint.Update) {
			p.box = s.members.add(c)
			return p.box.tell
		},
		Found: func(*proxy.Proxy) func(balancer.HealthReport) { return p.box.found }}
	if s.recovery != nil {
		parts.Closed = s.recovery.closed
	}
	if s.keys != nil {
		parts.Keys = poolKeys{s.keys, s.abroad(cfg)}
	}
	if s.fleet != nil {
		parts.NoCounter = s.fleet.wrongClock.Load
		others := s.fleet.others(s.abroad(cfg))
		parts.Others = func(*proxy.Proxy) func(balancer.Action) { return others }
	}
	if s.metrics != nil {
		parts.Observe = s.metrics.observer(cfg.Node.Name, cfg.Node.Transport.Classes)
	}
	p.share.parts(&parts, cfg.MaxServerConnections)
	c, err := service.NewCore(s.clock.NewWithSameClock(), cfg.Node, parts, s.log.With("pool", cfg.Node.Name))
	if err != nil {
		p.share.leave()
		return nil, err
	}
	p.share.set(cfg.Guarantee)
	p.core = c
	s.fleet.join(c, s.abroad(cfg))
	s.Shared.Add(c, cfg.Accounts)
	return p, nil
}

// members brings what each pool's source tells of servers to all pools that have them.
type members struct {
	mu    sync.Mutex
	fleet *sharedhealth.Registry
	boxes map[string]*box
	last  int
}

// box holds what a pool is still to be told. Its loop takes it out, so that updates keep their order and no loop ever
// waits for another.
type box struct {
	m       *members
	key     string // one pool may be replaced by another of its name: each has its own
	core    *proxy.Proxy
	pending []news
}

// news is what a pool is to be told.
type news struct {
	update  endpoint.Update
	finding balancer.HealthReport
	found   bool // it is a finding
}

func (m *members) add(c *proxy.Proxy) *box {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last++
	b := &box{m: m, key: fmt.Sprint(c.Name, "#", m.last), core: c}
	m.boxes[b.key] = b
	return b
}

// tell takes what the pool's source says. Only the pool's loop goroutine may call it.
func (b *box) tell(u endpoint.Update) {
	b.m.mu.Lock()
	b.m.deliver(b.m.fleet.Apply(b.key, u), b)
	b.m.mu.Unlock()
	b.drain()
}

// drop forgets the pool, whose loop has ended.
func (b *box) drop() {
	b.m.mu.Lock()
	defer b.m.mu.Unlock()
	delete(b.m.boxes, b.key)
	b.m.deliver(b.m.fleet.Remove(b.key), nil)
}

// deliver puts what is to be told into the boxes, and wakes the loops but for one. The caller holds mu.
func (m *members) deliver(outs []sharedhealth.Update, but *box) {
	for _, o := range outs {
		m.put(o.Pool, news{update: o.Update}, but)
	}
}

// put puts one thing into a box. The caller holds mu.
func (m *members) put(key string, n news, but *box) {
	b := m.boxes[key]
	if b == nil {
		return
	}
	if b.pending = append(b.pending, n); b != but && len(b.pending) == 1 {
		go b.core.Post(b.drain) // it may wait for a place in the queue; a loop must not
	}
}

// drain tells the core what is there. Only the pool's loop goroutine may call it.
func (b *box) drain() {
	b.m.mu.Lock()
	all := b.pending
	b.pending = nil
	b.m.mu.Unlock()
	for _, n := range all {
		if n.found {
			b.core.HandleHealthReport(n.finding)
		} else {
			b.core.HandleEndpointUpdate(n.update)
		}
	}
}

// abroad is the name by which other doors know a pool. Where there is one, its own name is that of its door.
func (s *Service) abroad(cfg *Pool) string {
	if s.cfg.HasPools {
		return cfg.Node.Name
	}
	return ""
}

// flow is a pool's way to the processor; nil where nothing is shared.
func (s *Service) flow(cfg *Pool) *cpuscheduler.Flow {
	if s.gate == nil {
		return nil
	}
	return s.gate.Flow(cfg.Weight)
}

func (p *pool) start() {
	p.started = true
	go func() {
		defer close(p.ended)
		p.core.Serve(p.stop)
	}()
}

// end ends the loop and waits for it.
func (p *pool) end() {
	if p.started {
		close(p.stop)
		<-p.ended
	}
}

// router sends requests by the routing table as it is now. Table and pools change together, in one step.
type router struct {
	view atomic.Pointer[view]
	log  *slog.Logger
}

type view struct {
	table *route.Table
	pools map[string]*proxy.Proxy
}

func (r *router) swap(t *route.Table, pools map[string]*pool) {
	v := &view{t, map[string]*proxy.Proxy{}}
	for name, p := range pools {
		v.pools[name] = p.core
	}
	r.view.Store(v)
}

// Route implements [proxy.Router].
func (r *router) Route(q *route.Query) *proxy.Proxy {
	for {
		v := r.view.Load()
		m := v.table.Match(q)
		c := v.pools[m.Pool]
		if r.log != nil && r.log.Enabled(context.Background(), slog.LevelDebug) {
			r.explain(v.table, q, m)
		}
		if c == nil || c.Acquire() {
			return c
		}
		if r.view.Load() == v { // it is being removed, and nothing has come in its place
			return nil
		}
	}
}

// explain logs why a request goes where it goes.
func (r *router) explain(t *route.Table, q *route.Query, m route.Match) {
	steps, _ := t.Explain(q)
	passed := ""
	for _, s := range steps {
		if s.Fails == "" {
			break // it decides
		}
		if len(passed) > explainMost {
			passed += " ..."
			break
		}
		passed += " " + s.Rule + ":" + s.Fails
	}
	r.log.Debug("routed", "listener", q.Listener, "host", q.Host, "path", q.Path, "method", q.Method, "class", q.Class,
		"account", q.Account, "rule", m.Rule, "pool", m.Pool, "passed", passed)
}

// explainMost bounds the rules that a line of the debug log names.
const explainMost = 512
