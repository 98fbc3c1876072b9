package proxy

import (
	"time"

	"gapgap/internal/balancer"
	"gapgap/internal/cpuscheduler"
	"gapgap/internal/resourcelimit"
	"gapgap/internal/stats"
	"gapgap/internal/trace"
)

// Env is what the frontends of a process share, whatever pools stand behind them. Any goroutine may use it.
type Env struct {
	// Memory bounds the bytes that clients of all frontends make the process hold.
	Memory *resourcelimit.Bytes
	// Conns bounds the clients' connections of all frontends.
	Conns *resourcelimit.ClientLimit
	// Now is the event loop's clock.
	Now func() time.Duration
	// Coarse is the same clock, cheaper and late by up to a turn of the loop.
	Coarse func() time.Duration
	// Router finds the proxy of a request.
	Router Router
	// Scheduler is for work whose pool is not known yet; nil: there is one pool.
	Scheduler *cpuscheduler.Flow
}

// Config is what a Proxy is made of beside the clients of outside systems.
type Config struct {
	// Name is that of the pool.
	Name string
	// Start are the rules at the start.
	Start Rules
	// Scheduler gives the pool its share of the processor; nil: it has it alone.
	Scheduler *cpuscheduler.Flow
	// Stats counts what becomes of requests; nil: counters of its own, which nobody reads.
	Stats *stats.Counters
	// Memory bounds what requests for the pool may hold; nil: the whole of the process.
	Memory *resourcelimit.Bytes
	// Clients groups the connections that sent their last request here; nil: they are not told apart.
	Clients *resourcelimit.Group
	// OnHealthReport takes what this gateway has found out about an endpoint, for other pools that have it; nil:
	// there are none. The event loop calls it.
	OnHealthReport func(balancer.HealthReport)
	// OnPeerAction takes a balancer.RequestLoan or balancer.GrantLoan for other gateways of the cluster; nil: there are
	// none. The event loop calls it.
	OnPeerAction func(balancer.Action)
	// OnAnswer takes each final answer and the time that it took; nil: nobody asks. The event loop calls it.
	OnAnswer func(class int, outcome Outcome, took time.Duration)
	// DecisionLease says whether requests may be decided; nil: always.
	DecisionLease *DecisionLease
	// StartupBarrier rejects requests while the gateway recovers; nil: it never does.
	StartupBarrier *StartupBarrier
	// KeyReserver reserves keys of classes that want that; nil: there are none.
	KeyReserver KeyReserver
	// Trace takes a line for each event; nil: none is written.
	Trace *trace.Log
	// Seed is for the decision module's random numbers.
	Seed uint64
}
