package proxy

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/endpoint"
	"gapgap/internal/eventloop"
	"gapgap/internal/route"
	"gapgap/internal/stats"
)

// Proxy is one gateway, or one pool of a gateway. Unless a method says otherwise only the event loop may call it.
type Proxy struct {
	Config
	*eventloop.Loop
	log      *slog.Logger
	balancer *balancer.Balancer

	upstream       Upstream
	counter        Counter
	endpointSource EndpointSource

	// events are those for the next Step.
	events []balancer.Event
	// ready says that a serving endpoint has been known.
	ready atomic.Bool
	rules atomic.Pointer[Rules]
	// removedClasses are the numbers of classes that clients can't name any more, and since when.
	removedClasses map[int]time.Duration

	requests map[uint64]*Request
	lastID   uint64
	// openIDs are the clients' ids of requests without a final answer.
	openIDs map[string]bool
	// newAdmitOnly are requests for admission only that were taken since the last Step.
	newAdmitOnly []*Request
	// overdue are requests whose deadline was over before the next Step, which may still answer them.
	overdue []*Request
	// donePending are ended requests of which the Balancer hears with the next Step.
	donePending []*Request
	names       endpointNames

	// handoverState is what the Balancer has just handed over.
	handoverState balancer.HandoverState
	// importedState is what the Balancer begins with; nil: nothing.
	importedState *balancer.HandoverState
	// handedOver says that another process has taken over.
	handedOver bool

	policyVersion atomic.Uint64
	// held are requests that wait for the decision lease.
	held []*Request
	// leaseExpired says that requests were rejected for the lapse of the decision lease that is still going on.
	leaseExpired bool

	// references counts the requests that frontends are about to submit and those that are open here.
	references atomic.Int64
	// retired says that no further request is taken.
	retired atomic.Bool
}

// New makes a proxy on an event loop. It needs Connect before Run or Serve. Its error is that of settings that the
// decision module can't go by.
func New(l *eventloop.Loop, cfg Config, log *slog.Logger) (*Proxy, error) {
	module, err := balancer.New(cfg.Start.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.Stats == nil {
		cfg.Stats = stats.New()
	}
	p := &Proxy{
		Config:         cfg,
		Loop:           l,
		log:            log,
		balancer:       module,
		requests:       map[uint64]*Request{},
		openIDs:        map[string]bool{},
		removedClasses: map[int]time.Duration{},
		names:          newEndpointNames(),
	}
	p.rules.Store(cfg.Start.withCounters(cfg.Stats, nil))
	return p, nil
}

// Connect gives the proxy the clients of outside systems.
func (p *Proxy) Connect(u Upstream, c Counter, source EndpointSource) {
	p.upstream = u
	p.counter = c
	p.endpointSource = source
}

// Enqueue keeps an event for the next Step.
func (p *Proxy) Enqueue(event balancer.Event) { p.events = append(p.events, event) }

// HandleHealthCheckResult takes the result of a health check.
func (p *Proxy) HandleHealthCheckResult(result balancer.HealthCheckResult) { p.Enqueue(result) }

// HandleCounterResult takes the result of a counter call.
func (p *Proxy) HandleCounterResult(result balancer.CounterResult) { p.Enqueue(result) }

// HandleHealthReport takes what another pool has found out about an endpoint.
func (p *Proxy) HandleHealthReport(report balancer.HealthReport) { p.Enqueue(report) }

// HandleEndpointUpdate takes the endpoint list or a change of it. The Balancer hears first: attempts that end with the
// update must not lead to retries at endpoints that it removes.
func (p *Proxy) HandleEndpointUpdate(update endpoint.Update) {
	list := balancer.EndpointUpdate{Kind: update.Kind}
	for _, entry := range update.Entries {
		if entry.State == balancer.Serving {
			p.ready.Store(true)
		}
		list.Entries = append(list.Entries, entry.Endpoint)
	}
	p.Enqueue(list)
	for _, entry := range update.Entries {
		p.upstream.UpdateEndpoint(entry.Endpoint, entry.Address)
	}
	if update.Kind == balancer.Snapshot || update.Kind == balancer.CachedSnapshot {
		p.upstream.KeepOnly(update.Entries)
	}
	p.names.update(update)
	p.Trace.Line("list", "scope=%d entries=%d", update.Kind, len(update.Entries))
}

// Ready tells whether a serving endpoint has been known. Any goroutine may call it.
func (p *Proxy) Ready() bool { return p.ready.Load() }

// Acquire keeps the proxy from ending while a frontend prepares a request for it; Submit or else Release gives it back.
// It returns false if the proxy is being removed. Any goroutine may call it.
func (p *Proxy) Acquire() bool {
	p.references.Add(1)
	if p.retired.Load() {
		p.references.Add(-1)
		return false
	}
	return true
}

// Release gives back what Acquire took, for a request that was never submitted. Any goroutine may call it.
func (p *Proxy) Release() { p.references.Add(-1) }

// Busy returns how many requests hold the proxy. Any goroutine may call it.
func (p *Proxy) Busy() int { return int(p.references.Load()) }

// Retire makes Acquire fail from now on; open requests go on. Any goroutine may call it.
func (p *Proxy) Retire() { p.retired.Store(true) }

// Route implements Router for a process with one pool. Any goroutine may call it.
func (p *Proxy) Route(*route.Query) *Proxy {
	if p.Acquire() {
		return p
	}
	return nil
}

// CloseIdle closes up to n idle connections to endpoints that other pools want; to one address only, unless that is
// empty. Any goroutine may call it.
func (p *Proxy) CloseIdle(n int64, address string) {
	p.Post(func() { p.upstream.CloseIdle(n, address) })
}

// SetMaxConnections bounds the connections to endpoints. Any goroutine may call it.
func (p *Proxy) SetMaxConnections(n int) { p.Post(func() { p.upstream.SetMaxConnections(n) }) }

// UpdateShare sets this gateway's share of what the cluster has in common; when it returns the Balancer goes by it. It
// returns when the last loan ends that the Balancer has granted: what it has lent of a share is in use until then.
func (p *Proxy) UpdateShare(update balancer.ShareUpdate) (loansEndAt time.Duration) {
	p.Enqueue(update)
	p.Step()
	return p.balancer.LoansEndAt()
}

// LongestTimeout returns the longest time that a client of any class waits. Any goroutine may call it.
func (p *Proxy) LongestTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range p.Rules().Settings.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return longest
}

// Unanswered returns how many requests have no answer. It may also be called when the loop has ended.
func (p *Proxy) Unanswered() (n int) {
	for _, request := range p.requests {
		if !request.ended {
			n++
		}
	}
	return n
}

// Step gives the Balancer what has happened and carries out what it wants, in order. An action may end at once and so
// bring the next event.
func (p *Proxy) Step() {
	p.rejectOnLeaseExpiry()
	for len(p.events) > 0 {
		events := p.events
		p.events = nil
		now := p.Now()
		p.correctTimeLeft(events, now)
		for _, action := range p.balancer.Step(now, events) {
			p.apply(action)
		}
		p.answerOverdue()
	}
	for i, request := range p.newAdmitOnly {
		p.newAdmitOnly[i] = nil
		if !request.ended {
			p.startDeadline(request)
		}
	}
	p.newAdmitOnly = p.newAdmitOnly[:0]
	for i, request := range p.donePending {
		p.donePending[i] = nil
		request.donePending = false
		p.forgetIfDone(request)
	}
	p.donePending = p.donePending[:0]
}

// apply carries out one action.
func (p *Proxy) apply(action balancer.Action) {
	switch action := action.(type) {
	case balancer.Dispatch:
		if request := p.requests[action.ID]; request != nil {
			p.dispatch(request, action)
		}
	case balancer.CancelAttempt:
		if request := p.requests[action.ID]; request != nil && action.Attempt < len(request.attempts) {
			p.upstream.Cancel(&request.attempts[action.Attempt].Attempt)
		}
	case balancer.Reject:
		p.answer(p.requests[action.ID], Answer{Outcome: Rejected, RetryAfter: action.RetryAfter, reason: action.Reason})
	case balancer.Fail:
		p.answer(p.requests[action.ID], Answer{Outcome: Failed, reason: action.Reason})
	case balancer.Admit:
		p.answer(p.requests[action.ID], Answer{Outcome: Admitted})
	case balancer.HealthCheck:
		p.Trace.Line("probe", "to=%s", action.Endpoint)
		p.upstream.HealthCheck(action.Endpoint)
	case balancer.CounterAdd:
		p.counter.Add(action)
	case balancer.SetTimer:
		p.At(action.At, func() { p.Enqueue(balancer.TimerFired{Cookie: action.Cookie}) })
	case balancer.WatchEndpoints, balancer.FetchEndpoints:
		p.endpointSource.Fetch()
	case balancer.HandoverReady:
		p.handoverState = action.State
	case balancer.RequestLoan, balancer.GrantLoan:
		if p.OnPeerAction != nil {
			p.OnPeerAction(action)
		}
	case balancer.HealthReport:
		if p.OnHealthReport != nil {
			p.OnHealthReport(action)
		}
	case balancer.LogLine:
		p.log.Info(action.Text)
	}
}

// publishStats copies what only the Balancer knows to the counters that operators read.
func (p *Proxy) publishStats() {
	listed, avoided := p.balancer.EndpointCounts()
	p.Stats.Listed.Store(int64(listed))
	p.Stats.Avoided.Store(int64(avoided))
}
