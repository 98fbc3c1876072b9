package hosted

import (
	"sync/atomic"

	"snowhall/internal/core"
	"snowhall/internal/loop"
	"snowhall/internal/route"
	"snowhall/internal/service"
)

// pool is one service behind the fronts: a core with a loop of its own. It owns that loop's goroutine.
type pool struct {
	cfg     *Pool
	core    *core.Core
	started bool
	stop    chan struct{}
	ended   chan struct{}
}

// newPool makes one of so many pools, which share the sockets for backends. It does nothing before start.
func (s *Service) newPool(cfg *Pool, of int) (*pool, error) {
	c, err := service.NewCore(loop.NewAt(s.clock.Begun()), cfg.Node, 1/float64(of), cfg.Space, s.log.With("pool", cfg.Node.Name))
	if err != nil {
		return nil, err
	}
	s.Shared.Add(c, cfg.Accounts)
	return &pool{cfg: cfg, core: c, stop: make(chan struct{}), ended: make(chan struct{})}, nil
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
