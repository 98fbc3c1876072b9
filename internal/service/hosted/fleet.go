package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/cluster"
	"gapgap/internal/peer"
	"gapgap/internal/proxy"
)

// fleetSide is this process's part in a fleet of front doors. Pools go by its standing; each takes the newest when its loop comes to it.
type fleetSide struct {
	peers   *peer.Transport
	disk    *peer.IdentityStore
	control net.Listener // of operators; nil: none
	srv     *http.Server

	policy   atomic.Pointer[policyHost] // nil: none, or not yet
	recovery *comingBack

	wrongClock atomic.Bool // this door asks the counter for nothing: it would name other numbers than the others

	mu    sync.Mutex
	last  cluster.ShareLease
	pools map[*proxy.Proxy]*posted
}

// posted is what one pool is to go by.
type posted struct {
	core    *proxy.Proxy
	name    string // by which other doors know it
	next    atomic.Pointer[cluster.ShareLease]
	waits   atomic.Bool // a task that takes it is on its way
	applied atomic.Uint64
}

// newFleet takes the state directory and the addresses.
func (s *Service) newFleet(cfg *peer.Settings, name string) (*fleetSide, error) {
	f := &fleetSide{pools: map[*proxy.Proxy]*posted{}, last: cluster.ShareLease{Excluded: true}}
	var err error
	if f.disk, err = peer.OpenIdentity(s.disk, cfg.StateDir, name); err != nil {
		return nil, fmt.Errorf("fleet.state_dir: %w", err)
	}
	f.peers, err = peer.New(peer.Config{Name: name, Listen: cfg.Listen, Gateways: cfg.Gateways, Key: cfg.Key, Identity: f.disk, Now: s.clock.Now, Log: s.log,
		ApplyLease: f.apply, AppliedEpoch: f.applied, HandleLoanRequest: f.wanted, HandleLoan: f.loaned, SetClockWrong: f.wrongClock.Store, HandlePolicy: f.ofPolicy, RecoveryStep: func() string { return f.recovery.step() }, HandleKeys: func(from int, b []byte) {
			if k := s.keys; k != nil {
				k.HandleMessage(from, b)
			}
		}})
	if err != nil {
		f.disk.Close()
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	if cfg.Control == "" {
		return f, nil
	}
	os.Remove(cfg.Control) // of an earlier process: the state directory's lock says that there is no other now
	if f.control, err = net.Listen("unix", cfg.Control); err == nil {
		err = os.Chmod(cfg.Control, 0o600)
	}
	if err != nil {
		f.peers.Close()
		f.disk.Close()
		return nil, fmt.Errorf("fleet.control: %w", err)
	}
	return f, nil
}

// join has a pool go by the standing.
func (f *fleetSide) join(c *proxy.Proxy, name string) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &posted{core: c, name: name}
	f.pools[c] = p
	p.put(f.last)
}

// part forgets a pool whose loop has ended, or never began.
func (f *fleetSide) part(c *proxy.Proxy) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pools, c)
}

// apply implements [peer.Config].Apply.
func (f *fleetSide) apply(s cluster.ShareLease) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = s
	for _, p := range f.pools {
		p.put(s)
	}
}

func (p *posted) put(s cluster.ShareLease) {
	p.next.Store(&s)
	if p.waits.CompareAndSwap(false, true) {
		go p.core.Post(p.take) // it may wait for a place in the queue; the fleet's loop must not
	}
}

// take is the pool's loop goroutine's.
func (p *posted) take() {
	p.waits.Store(false)
	s := p.next.Load()
	lent := p.core.UpdateShare(balancer.ShareUpdate{Fraction: s.Fraction, Until: s.Until, Excluded: s.Excluded, DeadGateways: s.DeadGateways})
	if s.Epoch == p.applied.Load() {
		return
	}
	if now := p.core.Now(); now < lent { // what others were lent of a part that is taken away they use until then
		p.core.At(lent, func() { p.applied.Store(max(p.applied.Load(), s.Epoch)) })
		return
	}
	p.applied.Store(max(p.applied.Load(), s.Epoch))
}

// others carries what a pool tells the other doors.
func (f *fleetSide) others(name string) func(balancer.Action) {
	return func(a balancer.Action) {
		switch a := a.(type) {
		case balancer.RequestLoan:
			f.peers.RequestLoan(peer.LoanRequest{Pool: name, Customer: a.Customer, Plan: uint16(a.Plan), At: int64(a.At)})
		case balancer.GrantLoan:
			f.peers.GrantLoan(a.To, peer.Loan{Request: peer.LoanRequest{Pool: name, Customer: a.Customer, Plan: uint16(a.Plan), At: int64(a.At)}, Rate: a.Rate, Depth: a.Depth})
		}
	}
}

// wanted and loaned carry what other doors tell a pool. They return at once; what the pool has no room for is said again.
func (f *fleetSide) wanted(from int, w peer.LoanRequest) {
	f.tell(w.Pool, balancer.LoanRequest{From: from, Customer: w.Customer, Plan: int(w.Plan), At: time.Duration(w.At)})
}

func (f *fleetSide) loaned(from int, l peer.Loan) {
	f.tell(l.Request.Pool, balancer.LoanGranted{From: from, Customer: l.Request.Customer, Plan: int(l.Request.Plan), At: time.Duration(l.Request.At), Rate: l.Rate, Depth: l.Depth})
}

func (f *fleetSide) tell(pool string, ev balancer.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, p := range f.pools { // few; of two of one name one is being removed
		if p.name == pool {
			c.PostUntil(func() { c.Enqueue(ev) }, noWait)
		}
	}
}

// noWait has nobody wait for a place in a queue.
var noWait = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// applied is the generation that all pools go by.
func (f *fleetSide) applied() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	least := uint64(math.MaxUint64)
	for _, p := range f.pools {
		least = min(least, p.applied.Load())
	}
	return least
}

// ofPolicy carries what other doors say of policy.
func (f *fleetSide) ofPolicy(from int, b []byte) {
	if p := f.policy.Load(); p != nil {
		p.replica.HandleMessage(from, b)
	}
}

// begin begins to tell and hear, and to answer operators.
func (f *fleetSide) begin(p *policyHost) {
	if f == nil {
		return
	}
	f.policy.Store(p)
	f.peers.Start()
	if f.control == nil {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fleet/status", func(w http.ResponseWriter, r *http.Request) {
		v, err := f.peers.Status(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(v)
	})
	act := func(do func(context.Context, string) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			switch err := do(r.Context(), r.URL.Query().Get("name")); {
			case errors.Is(err, peer.ErrUnknownGateway):
				http.Error(w, err.Error(), http.StatusNotFound)
			case err != nil:
				http.Error(w, err.Error(), http.StatusConflict)
			default:
				w.WriteHeader(http.StatusNoContent)
			}
		}
	}
	mux.HandleFunc("GET /fleet/recovery", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(f.recovery.view())
	})
	mux.HandleFunc("POST /fleet/leave", act(func(ctx context.Context, _ string) error { return f.peers.Leave(ctx) }))
	mux.HandleFunc("POST /fleet/forget", act(f.peers.Forget))
	p.routes(mux)
	if p == nil {
		mux.HandleFunc("/policy/", func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "this door goes by the policy in its file: there is no [fleet.policy]", http.StatusNotFound)
		})
	}
	f.srv = &http.Server{Handler: mux, ReadTimeout: controlWithin, WriteTimeout: controlWithin, MaxHeaderBytes: 8 << 10}
	go f.srv.Serve(f.control)
}

const controlWithin = 5 * time.Second

// end leaves: the pools have ended.
func (f *fleetSide) end() {
	if f == nil {
		return
	}
	f.peers.Leave(context.Background()) // those that it does not reach find out
	f.drop()
}

// drop ends all without a word.
func (f *fleetSide) drop() {
	if f == nil {
		return
	}
	if f.srv != nil {
		f.srv.Close()
	} else if f.control != nil {
		f.control.Close()
	}
	f.peers.Close()
	f.disk.Close()
}
