package hosted

import (
	"fmt"
	"sync"
	"sync/atomic"

	"snowhall/internal/core"
	"snowhall/internal/fleet"
	"snowhall/internal/gate"
	"snowhall/internal/loop"
	"snowhall/internal/membership"
	"snowhall/internal/route"
	"snowhall/internal/service"
)

// pool is one service behind the fronts: a core with a loop of its own. It owns that loop's goroutine.
type pool struct {
	cfg     *Pool
	core    *core.Core
	box     *box
	started bool
	stop    chan struct{}
	ended   chan struct{}
}

// newPool makes one of so many pools, which share the sockets for backends. It does nothing before start.
func (s *Service) newPool(cfg *Pool, of int) (*pool, error) {
	p := &pool{cfg: cfg, stop: make(chan struct{}), ended: make(chan struct{})}
	c, err := service.NewCore(loop.NewAt(s.clock.Begun()), cfg.Node, 1/float64(of), cfg.Space, func(c *core.Core) func(membership.Update) {
		p.box = s.members.add(c)
		return p.box.tell
	}, s.flow(cfg), s.log.With("pool", cfg.Node.Name))
	if err != nil {
		return nil, err
	}
	p.core = c
	s.Shared.Add(c, cfg.Accounts)
	return p, nil
}

// members brings what each pool's source tells of servers to all pools that have them.
type members struct {
	mu    sync.Mutex
	fleet *fleet.Fleet
	boxes map[string]*box
	last  int
}

// box holds what a pool is still to be told. Its loop takes it out, so that updates keep their order and no loop ever
// waits for another.
type box struct {
	m       *members
	key     string // one pool may be replaced by another of its name: each has its own
	core    *core.Core
	pending []membership.Update
}

func (m *members) add(c *core.Core) *box {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last++
	b := &box{m: m, key: fmt.Sprint(c.Name, "#", m.last), core: c}
	m.boxes[b.key] = b
	return b
}

// tell takes what the pool's source says. Only the pool's loop goroutine may call it.
func (b *box) tell(u membership.Update) {
	b.m.mu.Lock()
	b.m.deliver(b.m.fleet.Tell(b.key, u), b)
	b.m.mu.Unlock()
	b.drain()
}

// drop forgets the pool, whose loop has ended.
func (b *box) drop() {
	b.m.mu.Lock()
	defer b.m.mu.Unlock()
	delete(b.m.boxes, b.key)
	b.m.deliver(b.m.fleet.Drop(b.key), nil)
}

// deliver puts what is to be told into the boxes, and wakes the loops but for one. The caller holds mu.
func (m *members) deliver(outs []fleet.Out, but *box) {
	for _, o := range outs {
		b := m.boxes[o.Pool]
		if b == nil {
			continue
		}
		if b.pending = append(b.pending, o.Update); b != but {
			go b.core.Post(b.drain) // it may wait for a place in the queue; a loop must not
		}
	}
}

// drain tells the core what is there. Only the pool's loop goroutine may call it.
func (b *box) drain() {
	b.m.mu.Lock()
	all := b.pending
	b.pending = nil
	b.m.mu.Unlock()
	for _, u := range all {
		b.core.Listed(u)
	}
}

// flow is a pool's way to the processor; nil where nothing is shared.
func (s *Service) flow(cfg *Pool) *gate.Flow {
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
type router struct{ view atomic.Pointer[view] }

type view struct {
	table *route.Table
	pools map[string]*core.Core
}

func (r *router) swap(t *route.Table, pools map[string]*pool) {
	v := &view{t, map[string]*core.Core{}}
	for name, p := range pools {
		v.pools[name] = p.core
	}
	r.view.Store(v)
}

// Route implements [core.Router].
func (r *router) Route(q *route.Query) *core.Core {
	for {
		v := r.view.Load()
		c := v.pools[v.table.Match(q).Pool]
		if c == nil || c.Acquire() {
			return c
		}
		if r.view.Load() == v { // it is being removed, and nothing has come in its place
			return nil
		}
	}
}
