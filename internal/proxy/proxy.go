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

// Proxy is one gateway, or one pool of a gateway. Unless stated otherwise, its methods may be called only on the event
// loop.
type Proxy struct {
	Config
	*eventloop.Loop
	log      *slog.Logger
	balancer *balancer.Balancer

	upstream       Upstream
	counter        Counter
	endpointSource EndpointSource

	// events are queued for the next Step.
	events []balancer.Event
	// ready reports that the endpoint list has contained a serving endpoint.
	ready atomic.Bool
	rules atomic.Pointer[Rules]
	// removedClasses maps the numbers of classes that clients can no longer name to the time of their removal.
	removedClasses map[int]time.Duration

	requests map[uint64]*Request
	lastID   uint64
	// openIDs holds the client-chosen IDs of requests without a final answer.
	openIDs map[string]bool
	// newAdmitOnly holds requests for admission only that arrived since the last Step.
	newAdmitOnly []*Request
	// overdue holds requests whose deadline passed while events were queued. The next Step may still answer them.
	overdue []*Request
	// donePending holds ended requests whose end the Balancer learns in the next Step.
	donePending []*Request
	names       endpointNames

	// handoverState is the state that the Balancer has just handed over.
	handoverState balancer.HandoverState
	// importedState is the initial state of the Balancer. nil means none.
	importedState *balancer.HandoverState
	// handedOver reports that another process has taken over.
	handedOver bool

	policyVersion atomic.Uint64
	// held are the requests that wait for the decision lease.
	held []*Request
	// leaseExpired reports that the open requests were already rejected for the current expiry of the decision lease.
	leaseExpired bool

	// references counts the requests that frontends are about to submit and those that are open.
	references atomic.Int64
	// retired reports that no further request is accepted.
	retired atomic.Bool
	// transfers counts the requests whose long value is on its way to the client.
	transfers atomic.Int64
	// stopped reports that the loop is ending: nothing more is decided.
	stopped bool
	// leftUnanswered is the number of requests that had no answer when the loop ended.
	leftUnanswered int
}

// New returns a proxy on an event loop. Connect must be called before Run or Serve. The error reports settings that the
// Balancer does not accept.
func New(l *eventloop.Loop, cfg Config, log *slog.Logger) (*Proxy, error) {
	module, err := balancer.New(cfg.Start.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.Stats == nil {
		cfg.Stats = stats.New()
	}
	if cfg.SentIDs == nil {
		cfg.SentIDs = NewSentIDs()
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

// Connect sets the clients of external systems.
func (p *Proxy) Connect(u Upstream, c Counter, source EndpointSource) {
	p.upstream = u
	p.counter = c
	p.endpointSource = source
}

// Enqueue queues an event for the next Step.
func (p *Proxy) Enqueue(event balancer.Event) { p.events = append(p.events, event) }

// HandleHealthCheckResult queues the result of a health check.
func (p *Proxy) HandleHealthCheckResult(result balancer.HealthCheckResult) { p.Enqueue(result) }

// HandleCounterResult queues the result of a counter call.
func (p *Proxy) HandleCounterResult(result balancer.CounterResult) { p.Enqueue(result) }

// HandleHealthReport queues what another pool has learned about the health of an endpoint.
func (p *Proxy) HandleHealthReport(report balancer.HealthReport) { p.Enqueue(report) }

// HandleEndpointUpdate applies the endpoint list or a change to it. The Balancer receives it first: attempts that end
// because of the update must not be retried at endpoints that it removes.
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

// Ready reports whether the endpoint list has contained a serving endpoint. It is safe for concurrent use.
func (p *Proxy) Ready() bool { return p.ready.Load() }

// Acquire keeps the proxy from being removed while a frontend prepares a request for it. Each successful call must be
// followed by Submit or Release. It returns false if the proxy is being removed. It is safe for concurrent use.
func (p *Proxy) Acquire() bool {
	p.references.Add(1)
	if p.retired.Load() {
		p.references.Add(-1)
		return false
	}
	return true
}

// Release undoes Acquire for a request that was not submitted. It is safe for concurrent use.
func (p *Proxy) Release() { p.references.Add(-1) }

// Busy returns the number of requests that keep the proxy from being removed. It is safe for concurrent use.
func (p *Proxy) Busy() int { return int(p.references.Load()) }

// Transfers returns the number of requests whose long value is on its way to the client. They have no deadline: each
// ends when its value is whole or makes no progress. It is safe for concurrent use.
func (p *Proxy) Transfers() int { return int(p.transfers.Load()) }

// Retire makes Acquire fail from now on. Open requests continue. It is safe for concurrent use.
func (p *Proxy) Retire() { p.retired.Store(true) }

// Route implements Router for a process with one pool. It is safe for concurrent use.
func (p *Proxy) Route(*route.Query) *Proxy {
	if p.Acquire() {
		return p
	}
	return nil
}

// CloseIdle closes up to n idle connections to endpoints because other pools need them. If address is not empty, only
// connections to that address are closed. It is safe for concurrent use.
func (p *Proxy) CloseIdle(n int64, address string) {
	p.Post(func() { p.upstream.CloseIdle(n, address) })
}

// SetMaxConnections sets the limit on connections to endpoints. It is safe for concurrent use.
func (p *Proxy) SetMaxConnections(n int) { p.Post(func() { p.upstream.SetMaxConnections(n) }) }

// UpdateShare sets the share of this gateway in the resources of the cluster. The Balancer applies it before the call
// returns. It returns the time at which the last loan granted by the Balancer ends: until then, the lent part of the
// share is in use.
func (p *Proxy) UpdateShare(update balancer.ShareUpdate) (loansEndAt time.Duration) {
	p.Enqueue(update)
	p.Step()
	return p.balancer.LoansEndAt()
}

// LongestTimeout returns the longest client timeout of any class. It is safe for concurrent use.
func (p *Proxy) LongestTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range p.Rules().Settings.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return longest
}

// Unanswered returns the number of requests without an answer. After the loop has ended, it returns their number at
// that time; any goroutine may call it then.
func (p *Proxy) Unanswered() (n int) {
	if p.stopped {
		return p.leftUnanswered
	}
	return p.countOpen()
}

// countOpen returns the number of requests without an answer.
func (p *Proxy) countOpen() (n int) {
	for _, request := range p.requests {
		if !request.ended {
			n++
		}
	}
	return n
}

// Step passes the queued events to the Balancer and executes the actions that it returns, in order. An action may
// complete at once and thereby queue the next event.
func (p *Proxy) Step() {
	if p.stopped {
		return
	}
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

// apply executes one action.
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

// publishStats copies figures that only the Balancer knows to the counters for operators.
func (p *Proxy) publishStats() {
	listed, avoided := p.balancer.EndpointCounts()
	p.Stats.Listed.Store(int64(listed))
	p.Stats.Avoided.Store(int64(avoided))
}
