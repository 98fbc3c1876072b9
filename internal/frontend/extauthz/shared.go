package extauthz

import (
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"maps"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gapgap/internal/account"
	"gapgap/internal/decisioncache"
	"gapgap/internal/priorityqueue"
	"gapgap/internal/proxy"
	"gapgap/internal/route"
)

// refusedKeep is for how long a refusal is told to repeats at least: a proxy's second try comes at once, and a client
// that heeds the pause comes after it with a check that is decided anew.
const refusedKeep = 250 * time.Millisecond

// SharedConfig bounds what all listeners of a process share.
type SharedConfig struct {
	Memory    decisioncache.Config
	MostHolds int // granted requests whose end is awaited
}

// Shared is what all listeners of a process have together. Any goroutine may use it.
type Shared struct {
	cfg     SharedConfig
	env     *proxy.Env
	pools   atomic.Pointer[map[*proxy.Proxy]*pool]
	table   atomic.Pointer[account.Table] // whose credentials are known
	mu      sync.Mutex                    // held to change pools
	fronts  []*Front
	prefix  string // of request ids
	lastID  atomic.Uint64
	stop    chan struct{}
	started sync.Once
	ended   sync.WaitGroup
	Figures Figures
	pulse   atomic.Pointer[chan struct{}] // closed at the next beat
}

// beatEvery is how often a handler that waits looks at its time. Handlers share one clock for it, as each check would
// else set a timer that almost never runs.
const beatEvery = 50 * time.Millisecond

// lateEach is how many beats lie between two looks at connections whose time may be over.
const lateEach = 5

// pool is what a pool's checks have together: the memory of verdicts, so that a check asked again by another way is known,
// and the grants whose end is awaited. The pool's loop goroutine owns all but the table.
type pool struct {
	core   *proxy.Proxy
	s      *Shared
	table  atomic.Pointer[account.Table]
	memory *decisioncache.Cache[outcome, *check]
	holds  holds
}

// Begin starts what serves all listeners; Close ends it and waits for it.
func (s *Shared) Begin(fronts ...*Front) {
	s.started.Do(func() {
		s.fronts = fronts
		s.ended.Add(1)
		go s.beat()
	})
}

// Close ends what Begin started.
func (s *Shared) Close() {
	close(s.stop)
	s.ended.Wait()
}

// beat closes the pulse again and again, and ends connections whose time is over. It stands apart from the loops, whose
// failure to answer it is for.
func (s *Shared) beat() {
	defer s.ended.Done()
	t := time.NewTicker(beatEvery)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
		case <-s.stop:
			return
		}
		next := make(chan struct{})
		close(*s.pulse.Swap(&next))
		for _, fr := range s.fronts {
			if n%lateEach == 0 {
				fr.endLate()
			}
		}
	}
}

// Figures count what the listeners did. Any goroutine may read them.
type Figures struct {
	Allowed, Refused, Unauthenticated, Forbidden atomic.Uint64
	UndecidedAllowed, UndecidedDenied            atomic.Uint64
	Untrusted, Bad, TooLarge, NoRoom             atomic.Uint64
	Repeated, Worn, Unwatched, Ended, HoldsLost  atomic.Uint64
}

// Each names each figure.
func (f *Figures) Each(one func(name string, n uint64)) {
	n := func(name string, v *atomic.Uint64) { one(name, v.Load()) }
	n("allowed", &f.Allowed)
	n("refused", &f.Refused)
	n("unauthenticated", &f.Unauthenticated)
	n("forbidden", &f.Forbidden)
	n("undecided_allowed", &f.UndecidedAllowed)
	n("undecided_denied", &f.UndecidedDenied)
	n("untrusted", &f.Untrusted)
	n("bad", &f.Bad)
	n("too_large", &f.TooLarge)
	n("no_room", &f.NoRoom)
	n("repeated", &f.Repeated)
	n("worn", &f.Worn)
	n("unwatched", &f.Unwatched)
	n("ended", &f.Ended)
	n("holds_lost", &f.HoldsLost)
}

// LogValue implements [slog.LogValuer].
func (f *Figures) LogValue() slog.Value {
	var all []slog.Attr
	f.Each(func(name string, n uint64) { all = append(all, slog.Uint64(name, n)) })
	return slog.GroupValue(all...)
}

// NewShared makes what the listeners of a process share. It knows no pool yet.
func NewShared(env *proxy.Env, cfg SharedConfig) (*Shared, error) {
	if err := cfg.Memory.Validate(); err != nil {
		return nil, err
	}
	var b [8]byte
	rand.Read(b[:])
	s := &Shared{cfg: cfg, env: env, prefix: hex.EncodeToString(b[:]) + "-", stop: make(chan struct{})}
	s.pools.Store(&map[*proxy.Proxy]*pool{})
	first := make(chan struct{})
	s.pulse.Store(&first)
	return s, nil
}

// Add makes a pool known, with its accounts; for one that is known the accounts are swapped. Checks that were read before
// go by the old ones.
func (s *Shared) Add(c *proxy.Proxy, t *account.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.pools.Load()
	if p := old[c]; p != nil {
		p.table.Store(t)
		return
	}
	m, err := decisioncache.NewCache[outcome, *check](s.cfg.Memory)
	if err != nil {
		panic(err) // the bounds were checked
	}
	p := &pool{core: c, s: s, memory: m, holds: newHolds(s.cfg.MostHolds)}
	p.table.Store(t)
	next := maps.Clone(old)
	next[c] = p
	s.pools.Store(&next)
}

// Remove forgets a pool that no request holds any more.
func (s *Shared) Remove(c *proxy.Proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(*s.pools.Load())
	delete(next, c)
	s.pools.Store(&next)
}

// Len is how many pools are known.
func (s *Shared) Len() int { return len(*s.pools.Load()) }

// of finds what is kept of a pool.
func (s *Shared) of(c *proxy.Proxy) *pool { return (*s.pools.Load())[c] }

// identities is a table by which credentials are known: those of all pools are the same.
func (s *Shared) identities() *account.Table { return s.table.Load() }

// SetIdentities swaps the table by which credentials are known.
func (s *Shared) SetIdentities(t *account.Table) { s.table.Store(t) }

// Account finds what is configured for a customer in a pool; nil: nothing.
func (s *Shared) Account(c *proxy.Proxy, customer string) *account.Account {
	if p := s.of(c); p != nil {
		return p.table.Load().ByCustomer(customer)
	}
	return nil
}

// check is one check from when its account is known.
type check struct {
	proxy.Request
	p     *pool
	acct  *account.Account
	query route.Query // by which its pool was found
	watch bool        // a repeat of it can be told
	key   decisioncache.Key
	entry decisioncache.Entry // where remembered
	kept  bool                // it is remembered
	done  chan outcome
}

// outcome is what was decided. It has no pointers, as the memory holds many.
type outcome struct {
	verdict proxy.Outcome
	pause   time.Duration
	at      time.Duration // when it was decided, on the loop's clock
	quota   proxy.Quota
	id      uint64 // of the granted request, for its end
	repeat  bool   // told before
	shut    bool   // nothing could be decided
	version uint64 // of the policy by which it was; 0: not told
}

// requestID is the id of a granted request as clients see it.
func (s *Shared) requestID(id uint64) string { return s.prefix + strconv.FormatUint(id, 36) }

// arrive is a task of the loop.
func (c *check) arrive() { c.p.arrived(c) }

// arrived takes a check to the loop: one that is known is told or joined, and counts no more.
func (p *pool) arrived(c *check) {
	s := p.s
	if c.watch {
		now := p.core.Coarse()
		e, state := p.memory.Lookup(now, c.Customer, c.key, c)
		switch state {
		case decisioncache.Pending:
			s.Figures.Repeated.Add(1)
			p.core.Release()
			return
		case decisioncache.Hit:
			s.Figures.Repeated.Add(1)
			p.core.Release()
			o := p.memory.Decision(e)
			o.pause = max(0, o.pause-(now-o.at))
			o.repeat = true
			c.done <- o
			return
		case decisioncache.Exhausted:
			s.Figures.Worn.Add(1)
			p.core.Release()
			c.done <- outcome{verdict: proxy.Rejected, pause: max(refusedKeep, p.memory.TTL(now, e)), at: now, repeat: true}
			return
		case decisioncache.Untracked:
			s.Figures.Unwatched.Add(1)
		case decisioncache.Miss:
			c.entry, c.kept = e, true
		}
	}
	p.core.Submit(&c.Request)
}

// Forward implements [proxy.Caller]. A grant has no backend.
func (c *check) Forward(time.Duration) []byte { return nil }

// Answer implements [proxy.Caller].
func (c *check) Answer(a proxy.Answer) {
	p, s := c.p, c.p.s
	o := outcome{verdict: a.Outcome, pause: a.RetryAfter, at: p.core.Coarse(), quota: a.Quota, shut: a.Unavailable, version: a.Version}
	keep := time.Duration(0) // what was not decided is decided anew when it is asked again
	switch a.Outcome {
	case proxy.Admitted:
		o.id = s.lastID.Add(1)
		keep = time.Duration(1<<63 - 1)
		if c.HoldFor > 0 && !p.holds.add(o.id, &c.Request, o.at+c.HoldFor, o.at) {
			s.Figures.HoldsLost.Add(1)
		}
	case proxy.Rejected:
		if !a.Unavailable {
			keep = max(refusedKeep, a.RetryAfter)
		}
	}
	c.done <- o
	if c.kept {
		o.repeat = true
		for _, w := range p.memory.Complete(o.at, c.entry, o, keep) {
			w.done <- o
		}
	}
}

// number reads a request id back; false: it is none of ours.
func (s *Shared) number(id string) (uint64, bool) {
	text, ok := strings.CutPrefix(id, s.prefix)
	n, err := strconv.ParseUint(text, 36, 64)
	return n, ok && err == nil
}

// end takes word that the work of a granted request is over, and says whether its grant was still held here.
func (p *pool) end(n uint64) bool {
	r := p.holds.take(n, p.core.Now())
	if r == nil {
		return false
	}
	p.s.Figures.Ended.Add(1)
	p.core.FinishAdmitted(r)
	return true
}

// holds keeps the grants whose end is awaited until the module lets go of them by itself.
type holds struct {
	most int
	byID map[uint64]*held
	due  *priorityqueue.Queue[*held] // by when the module lets go
}

type held struct {
	id    uint64
	r     *proxy.Request
	until time.Duration
	place priorityqueue.Item[*held]
}

func newHolds(most int) holds {
	return holds{most, map[uint64]*held{}, priorityqueue.New(func(a, b *held) bool { return a.until < b.until })}
}

// add keeps a grant; false: there is no room, and only its hold will end it.
func (h *holds) add(id uint64, r *proxy.Request, until, now time.Duration) bool {
	h.expire(now)
	if len(h.byID) >= h.most {
		return false
	}
	e := &held{id: id, r: r, until: until}
	h.byID[id] = e
	e.place.Value = e
	h.due.Put(&e.place)
	return true
}

func (h *holds) take(id uint64, now time.Duration) *proxy.Request {
	h.expire(now)
	e := h.byID[id]
	if e == nil {
		return nil
	}
	delete(h.byID, id)
	h.due.Remove(&e.place)
	return e.r
}

func (h *holds) expire(now time.Duration) {
	for h.due.Len() > 0 && h.due.First().Value.until <= now {
		delete(h.byID, h.due.Pop().Value.id)
	}
}
