package proxy

import (
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/cpuscheduler"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/stats"
	"gapgap/internal/trace"
)

// Env holds what the frontends of a process share, independent of its pools. It is safe for concurrent use.
type Env struct {
	// Memory bounds the memory that clients of all frontends can make the process allocate.
	Memory *resourcelimit.Bytes
	// Conns bounds the client connections of all frontends.
	Conns *resourcelimit.ClientLimit
	// Now returns the time of the event loop clock.
	Now func() time.Duration
	// Coarse returns the time of the same clock. It is cheaper but lags by up to one turn of the loop.
	Coarse func() time.Duration
	// Router selects the proxy for a request.
	Router Router
	// Scheduler schedules work whose pool is not known yet. It is nil if there is only one pool.
	Scheduler *cpuscheduler.Flow
}

// Config holds the settings and callbacks of a Proxy. The clients of external systems are set by Connect.
type Config struct {
	// Name is the name of the pool.
	Name string
	// Start holds the initial rules.
	Start Rules
	// Scheduler gives the pool its share of the CPU. It is nil if the pool does not share the CPU with others.
	Scheduler *cpuscheduler.Flow
	// Stats receives the request counters. If it is nil, the proxy creates counters of its own.
	Stats *stats.Counters
	// Memory bounds the memory of requests to the pool. If it is nil, only the limit of the process applies.
	Memory *resourcelimit.Bytes
	// Clients groups the client connections whose last request went to this pool. If it is nil, connections are not
	// grouped by pool.
	Clients *resourcelimit.Group
	// OnHealthReport receives what this gateway has learned about the health of an endpoint, for other pools with the
	// same endpoint. The event loop calls it. It may be nil.
	OnHealthReport func(balancer.HealthReport)
	// OnPeerAction receives balancer.RequestLoan and balancer.GrantLoan actions for other gateways of the cluster. The
	// event loop calls it. It may be nil.
	OnPeerAction func(balancer.Action)
	// OnAnswer receives the outcome of each request and the time it took. The event loop calls it. It may be nil.
	OnAnswer func(class int, outcome Outcome, took time.Duration)
	// DecisionLease limits how long requests may be decided. nil means no limit.
	DecisionLease *DecisionLease
	// StartupBarrier rejects requests while the gateway recovers. nil means that it never does.
	StartupBarrier *StartupBarrier
	// KeyReserver reserves idempotency keys, for classes that require it. nil means that no keys are reserved.
	KeyReserver KeyReserver
	// SentIDs remembers the IDs of requests that must not run twice. Pools of one process share it. If it is nil, the
	// proxy has its own.
	SentIDs *SentIDs
	// Trace receives a line for each event. nil disables tracing.
	Trace *trace.Log
	// Seed seeds the random numbers of the Balancer.
	Seed uint64
}
