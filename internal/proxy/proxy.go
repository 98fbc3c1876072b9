// Package proxy carries events from fronts and sides to one snowhall.Door and the Door's actions back. It decides
// nothing itself. One loop goroutine alone owns the Door, the requests, the attempts and the timers; fronts and
// sides read, write and dial on goroutines of their own and post tasks.
//
// Fronts hand requests in by [Proxy.Submit] and get one final answer each; they know no backend and no quota. The
// sides are behind the interfaces [Upstream], [Counter] and [Membership].
package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/cpuscheduler"
	"gapgap/internal/endpoint"
	"gapgap/internal/eventloop"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/route"
	"gapgap/internal/stats"
	"gapgap/internal/trace"
	"gapgap/internal/upstream"
)

// Times of a shutdown.
const (
	AcceptAfterTerm = 500 * time.Millisecond // new connections are still taken this long after SIGTERM
	AnswerMargin    = 100 * time.Millisecond // beyond the longest deadline, for the last answers on their way
)

const (
	sweepEvery   = time.Second
	dropMargin   = 2 * time.Second        // beyond the longest wait, until the number of a dropped class stands for another
	publishEvery = 100 * time.Millisecond // for figures that only the module knows
)

// Upstream carries attempts and probes to backends.
type Upstream interface {
	Send(*upstream.Attempt)   // ends as one outcome at the attempt's owner
	Cancel(*upstream.Attempt) // one that has ended is passed over
	Probe(backend string)
	Listed(b balancer.Endpoint, addr string)
	Yield(n int64, addr string) // closes idle connections that others want
	KeepOnly([]endpoint.Entry)
	Most(n int)                   // connections at once from now on
	Hold(backend string, on bool) // keeps what is not yet written from it, whatever the list says, or no longer
	Sweep()                       // called about once a second
	Close()
}

// Counter adds to numbers that all front doors share. Each Add is answered once.
type Counter interface {
	Add(balancer.CounterAdd)
	Move(addr string)
	Addr() string
	Sweep()
	Close()
}

// KeyReserver claims idempotency keys over all doors of a fleet. Any goroutine may call it.
type KeyReserver interface {
	// Claim claims a key. done is called once, by another goroutine. It returns the claim's number, for End; 0: there is no place for it now.
	Claim(class, customer, key string, done func(Reservation)) uint64
	// End ends a claim, whatever came of it. ran says that an attempt of the request may have run.
	End(n uint64, ran bool)
}

// EndpointSource tells of the list of backends.
type EndpointSource interface {
	Known() // the list as last had
	Follow(addr string)
	Addr() string
	Fetch()
	Stop()
}

// Frontend takes requests from clients by one protocol.
type Frontend interface {
	Serve()          // begins to take connections; returns at once
	CloseListeners() // no further connection is taken; may be called again
	Drain() bool     // closes what stands between two requests; says whether nothing is left
}

// Router finds the pool of a request: the core that is to decide it, acquired. nil: there is none. Any goroutine calls it.
type Router interface {
	Route(*route.Query) *Proxy
}

// Env is what the fronts of a process share, whatever pools stand behind them. Any goroutine may use it.
type Env struct {
	Memory      *resourcelimit.Bytes       // what clients of all fronts may make the process hold
	Conns       *resourcelimit.ClientLimit // the clients' connections of all fronts
	Now, Coarse func() time.Duration
	Router      Router
	Scheduler   *cpuscheduler.Flow // for work whose pool is not known yet; nil: there is one pool
}

// Config is what a Proxy is made of beside its sides.
type Config struct {
	Name      string             // of the pool
	Start     Rules              // what holds at the start
	Scheduler *cpuscheduler.Flow // the pool's way to the processor; nil: it has it alone

	// Stats counts what becomes of requests; nil: figures of its own, which nobody reads.
	Stats *stats.Counters

	Memory  *resourcelimit.Bytes // what requests for the pool may hold; nil: the process's whole
	Clients *resourcelimit.Group // the clients' connections that asked it last; nil: not told apart

	// OnHealthReport takes what this door has found out about a backend, for other pools that have the same server; nil: there are
	// none. The loop goroutine calls it.
	OnHealthReport func(balancer.HealthReport)

	// OnPeerAction takes what the Door tells the other doors of its fleet, as a [balancer.Borrow] or [balancer.Lend]; nil: there are none. The
	// loop goroutine calls it.
	OnPeerAction func(balancer.Action)

	// OnAnswer takes each final answer and the time that it took; nil: nobody asks. The loop goroutine calls it.
	OnAnswer       func(class int, v Outcome, took time.Duration)
	DecisionLease  *DecisionLease  // whether requests may be decided; nil: always
	StartupBarrier *StartupBarrier // while the door comes back; nil: it never is
	KeyReserver    KeyReserver     // claims keys of classes that are remembered; nil: there are none
	Trace          *trace.Log      // what becomes of each request; nil: not written
	Seed           uint64
}

// Proxy is one front door.
type Proxy struct {
	Config
	*eventloop.Loop
	log      *slog.Logger
	balancer *balancer.Balancer
	events   []balancer.Event // for the next Step
	ready    atomic.Bool      // a backend in service has been known, so requests can be served
	rules    atomic.Pointer[Rules]

	requests      map[uint64]*Request
	open          map[string]bool       // the clients' ids of requests without a final answer
	admitOnly     []*Request            // taken since the last Step
	dropped       map[int]time.Duration // numbers of classes that clients can't name any more, since when
	leaving       []*Request            // the Door is to hear with the next Step that their clients have left
	names         names
	handoverState balancer.HandoverState  // what the Door has just handed on
	inherited     *balancer.HandoverState // what it is to begin with; nil: nothing
	handedOver    bool                    // another process has taken over
	lastID        uint64
	upstream      Upstream
	counter       Counter
	membership    EndpointSource

	version atomic.Uint64 // of the policy
	held    []*Request    // that wait until requests may be decided
	lapsed  bool

	refs    atomic.Int64 // requests that fronts have for it or it has itself
	retired atomic.Bool  // no further request is taken
}

// Acquire takes the pool for one request, which keeps it from ending. false: it is being removed. Any goroutine may call
// it. Submit, or else Release, gives it back.
func (c *Proxy) Acquire() bool {
	c.refs.Add(1)
	if c.retired.Load() {
		c.refs.Add(-1)
		return false
	}
	return true
}

// Release gives back what Acquire took, for a request that Submit never got.
func (c *Proxy) Release() { c.refs.Add(-1) }

// Busy is how many requests hold the pool.
func (c *Proxy) Busy() int { return int(c.refs.Load()) }

// Retire says that no further request is taken; those that are open go on.
func (c *Proxy) Retire() { c.retired.Store(true) }

// Route implements [Router] for a process with one pool.
func (c *Proxy) Route(*route.Query) *Proxy {
	if c.Acquire() {
		return c
	}
	return nil
}

// New makes a core on a loop. It needs Connect before Run.
func New(l *eventloop.Loop, cfg Config, log *slog.Logger) (*Proxy, error) {
	door, err := balancer.New(cfg.Start.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.Stats == nil {
		cfg.Stats = stats.New()
	}
	c := &Proxy{Config: cfg, Loop: l, log: log, balancer: door, requests: map[uint64]*Request{}, open: map[string]bool{},
		dropped: map[int]time.Duration{}, names: newNames()}
	c.rules.Store(cfg.Start.counted(cfg.Stats, nil))
	return c, nil
}

// Connect gives the core its sides, which tell it what happens by Tell and Listed.
func (c *Proxy) Connect(u Upstream, n Counter, m EndpointSource) {
	c.upstream, c.counter, c.membership = u, n, m
}

// Enqueue keeps an event for the next Step. Only the loop goroutine may call it.
func (c *Proxy) Enqueue(ev balancer.Event) { c.events = append(c.events, ev) }

// HandleHealthCheckResult takes the result of a probe.
func (c *Proxy) HandleHealthCheckResult(ev balancer.HealthCheckResult) { c.Enqueue(ev) }

// HandleCounterResult takes the answer of the counter.
func (c *Proxy) HandleCounterResult(ev balancer.CounterResult) { c.Enqueue(ev) }

// HandleEndpointUpdate takes news of the backends to the upstream and to the Door.
func (c *Proxy) HandleEndpointUpdate(u endpoint.Update) {
	list := balancer.EndpointUpdate{Kind: u.Kind}
	for _, e := range u.Entries {
		if e.State == balancer.Serving {
			c.ready.Store(true)
		}
		list.Entries = append(list.Entries, e.Endpoint)
	}
	c.Enqueue(list) // first: attempts that end with it must not lead to others at backends that it takes out
	for _, e := range u.Entries {
		c.upstream.Listed(e.Endpoint, e.Address)
	}
	if u.Kind == balancer.Snapshot || u.Kind == balancer.CachedSnapshot {
		c.upstream.KeepOnly(u.Entries)
	}
	c.names.listed(u)
	c.Trace.Line("list", "scope=%d entries=%d", u.Kind, len(u.Entries))
}

// Ready says whether a backend in service has been known. Any goroutine may call it.
func (c *Proxy) Ready() bool { return c.ready.Load() }

// publish tells what only the module knows.
func (c *Proxy) publish() {
	listed, avoided := c.balancer.EndpointCounts()
	c.Stats.Listed.Store(int64(listed))
	c.Stats.Avoided.Store(int64(avoided))
}

// Run serves by the fronts until the context ends, then answers what was taken and returns.
func (c *Proxy) Run(ctx context.Context, fronts ...Frontend) {
	defer c.begin()()
	for _, f := range fronts {
		f.Serve()
		defer f.CloseListeners()
	}
	c.loop(ctx, fronts)
}

// Serve runs the core as one pool of several, until the signal; its fronts are somebody else's.
func (c *Proxy) Serve(stop <-chan struct{}) {
	defer c.begin()()
	for stopped := false; !stopped; {
		var first func()
		first, stopped = c.Sleep(time.Hour, stop)
		began := c.Scheduler.Enter()
		c.Turn(first, tasksEach)
		c.Step()
		c.Scheduler.Leave(began)
	}
}

// tasksEach is how many tasks a pool's loop runs in one turn beside the first: its turns are to be short.
const tasksEach = 8

// begin starts the sides and makes the core able to serve. What it returns ends them.
func (c *Proxy) begin() (end func()) {
	c.Trace.Line("settings", "%s", strings.ReplaceAll(fmt.Sprintf("%+v", c.Rules().Settings), " ", ","))
	c.membership.Known()
	c.importHandover()
	c.Step() // from here on it is able to serve
	c.membership.Follow(c.membership.Addr())
	c.Every(sweepEvery, func() {
		c.upstream.Sweep()
		c.counter.Sweep()
	})
	c.publish()
	c.Every(publishEvery, c.publish)
	return func() {
		c.membership.Stop()
		c.counter.Close()
		c.upstream.Close()
		c.Close()
	}
}

// UpdateSettings takes other rules, from any goroutine. It returns an error and changes nothing if the module can't go by them.
func (c *Proxy) UpdateSettings(rules Rules) error {
	if err := rules.Settings.Validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Post(func() { c.updateSettings(rules) })
	return nil
}

// SetAddresses goes to other addresses of discovery and the counter, from any goroutine.
func (c *Proxy) SetAddresses(discovery, counter string) {
	c.Post(func() {
		if discovery != c.membership.Addr() {
			c.membership.Follow(discovery)
		}
		if counter != c.counter.Addr() {
			c.counter.Move(counter)
		}
		c.log.Info("configuration read again", "discovery", discovery, "counter", counter)
	})
}

// updateSettings takes other rules: requests that are read from here on go by them.
func (c *Proxy) updateSettings(rules Rules) {
	before, now := c.Rules(), c.Now()
	next, from := before.Next(rules, func(n int) bool {
		since, ok := c.dropped[n]
		return ok && now-since > c.LongestTimeout()+dropMargin && !slices.ContainsFunc(slices.Collect(maps.Values(c.requests)),
			func(r *Request) bool { return r.Class == n })
	})
	for i, name := range next.Classes {
		if _, ok := c.dropped[i]; name != "" {
			delete(c.dropped, i)
		} else if !ok {
			c.dropped[i] = now
		}
	}
	c.Enqueue(balancer.SettingsUpdate{Settings: next.Settings, EvidenceFrom: from})
	c.rules.Store(next.counted(c.Stats, before))
}

// loop runs tasks, due timers and Steps until a shutdown is complete.
func (c *Proxy) loop(ctx context.Context, fronts []Frontend) {
	term := ctx.Done()
	var finish, give time.Duration // on the loop's clock; 0: not shutting down
	for {
		limit := time.Hour
		if finish > 0 {
			limit = 10 * time.Millisecond
		}
		if c.Wait(limit, term) {
			term = nil
			c.log.Info("ending")
			finish = c.Now() + AcceptAfterTerm
			give = finish + c.LongestTimeout() + AnswerMargin
		}
		c.Step() // all that was there goes into one
		// Once another process has taken over nobody comes here any more; if it gives that back, somebody may.
		if now := c.Now(); finish > 0 && (now >= finish || c.handedOver) {
			drained := true
			for _, f := range fronts {
				f.CloseListeners()
			}
			for _, f := range fronts {
				drained = f.Drain() && drained
			}
			if drained || now >= give {
				c.log.Info("ended", "unanswered", c.Unanswered())
				return
			}
		}
	}
}

// Unanswered is how many requests have no answer. Only the loop goroutine may call it, or who knows that it has ended.
func (c *Proxy) Unanswered() (n int) {
	for _, r := range c.requests {
		if !r.ended {
			n++
		}
	}
	return n
}

// LongestTimeout is the longest time that a client waits.
func (c *Proxy) LongestTimeout() time.Duration {
	most := time.Duration(0)
	for _, cl := range c.Rules().Settings.Classes {
		most = max(most, cl.ClientTimeout)
	}
	return most
}

// Step gives the Door what has happened and carries out what it wants, in order. An action may end at once and
// so bring the next event.
func (c *Proxy) Step() {
	c.lapse()
	for len(c.events) > 0 {
		events := c.events
		c.events = nil
		for _, a := range c.balancer.Step(c.Now(), events) {
			c.apply(a)
		}
	}
	for i, r := range c.admitOnly {
		if c.admitOnly[i] = nil; !r.ended {
			c.watch(r)
		}
	}
	c.admitOnly = c.admitOnly[:0]
	for i, r := range c.leaving {
		c.leaving[i] = nil
		r.leaving = false
		c.forget(r)
	}
	c.leaving = c.leaving[:0]
}

func (c *Proxy) apply(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Dispatch:
		if r := c.requests[a.ID]; r != nil {
			c.dispatch(r, a)
		}
	case balancer.CancelAttempt:
		if r := c.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			c.upstream.Cancel(&r.attempts[a.Attempt].Attempt)
		}
	case balancer.Reject:
		c.answer(c.requests[a.ID], Answer{Outcome: Rejected, RetryAfter: a.RetryAfter, why: a.Reason})
	case balancer.Fail:
		c.answer(c.requests[a.ID], Answer{Outcome: Failed, why: a.Reason})
	case balancer.Admit:
		c.grant(c.requests[a.ID])
	case balancer.HealthCheck:
		c.Trace.Line("probe", "to=%s", a.Endpoint)
		c.upstream.Probe(a.Endpoint)
	case balancer.CounterAdd:
		c.counter.Add(a)
	case balancer.SetTimer:
		c.At(a.At, func() { c.Enqueue(balancer.TimerFired{Cookie: a.Cookie}) })
	case balancer.WatchEndpoints, balancer.FetchEndpoints:
		c.membership.Fetch()
	case balancer.HandoverReady:
		c.handoverState = a.State
	case balancer.RequestLoan, balancer.GrantLoan:
		if c.OnPeerAction != nil {
			c.OnPeerAction(a)
		}
	case balancer.HealthReport:
		if c.OnHealthReport != nil {
			c.OnHealthReport(a)
		}
	case balancer.LogLine:
		c.log.Info(a.Text)
	}
}

// HandleHealthReport takes what another pool has found out about a server of this one. Only the loop goroutine may call it.
func (c *Proxy) HandleHealthReport(f balancer.HealthReport) { c.Enqueue(f) }

// CloseIdle gives back idle connections to servers that other pools want, from any goroutine; to one address only, if it is
// given.
func (c *Proxy) CloseIdle(n int64, addr string) { c.Post(func() { c.upstream.Yield(n, addr) }) }
