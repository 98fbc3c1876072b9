package proxy

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Shutdown.
const (
	// AcceptAfterTerm is how long new connections are still accepted after the signal.
	AcceptAfterTerm = 500 * time.Millisecond
	// AnswerMargin is added to the longest client timeout, for the last answers on their way.
	AnswerMargin = 100 * time.Millisecond
	// drainInterval is how often a shutdown looks whether all is done.
	drainInterval = 10 * time.Millisecond
)

// Periodic work.
const (
	sweepInterval   = time.Second
	publishInterval = 100 * time.Millisecond
	// idleWait is the longest wait of a loop with nothing to do.
	idleWait = time.Hour
)

// maxTasksPerTurn is how many tasks a pool's loop runs in one turn beside the first. Its turns are short, as pools
// share the processor.
const maxTasksPerTurn = 8

// Run serves by the frontends until the context ends, then answers what was taken and returns. The goroutine that calls
// it becomes the event loop.
func (p *Proxy) Run(ctx context.Context, frontends ...Frontend) {
	defer p.start()()
	for _, f := range frontends {
		f.Serve()
		defer f.CloseListeners()
	}
	p.serveUntil(ctx, frontends)
}

// Serve runs the proxy as one pool of several until stop is closed; its frontends belong to the service. The goroutine
// that calls it becomes the event loop.
func (p *Proxy) Serve(stop <-chan struct{}) {
	defer p.start()()
	for stopped := false; !stopped; {
		var first func()
		first, stopped = p.Sleep(idleWait, stop)
		began := p.Scheduler.Enter()
		p.RunPending(first, maxTasksPerTurn)
		p.Step()
		p.Scheduler.Leave(began)
	}
}

// start makes the proxy able to serve and starts its periodic work. What it returns ends the clients of outside
// systems.
func (p *Proxy) start() (end func()) {
	p.Trace.Line("settings", "%s", strings.ReplaceAll(fmt.Sprintf("%+v", p.Rules().Settings), " ", ","))
	p.endpointSource.Known()
	p.importHandover()
	p.Step()
	p.endpointSource.Follow(p.endpointSource.Addr())
	p.Every(sweepInterval, func() {
		p.upstream.Sweep()
		p.counter.Sweep()
	})
	p.publishStats()
	p.Every(publishInterval, p.publishStats)
	return func() {
		p.endpointSource.Stop()
		p.counter.Close()
		p.upstream.Close()
		p.Close()
	}
}

// serveUntil runs tasks, due timers and steps until a shutdown is complete.
func (p *Proxy) serveUntil(ctx context.Context, frontends []Frontend) {
	signal := ctx.Done()
	var closeListenersAt, giveUpAt time.Duration // on the loop's clock; 0: not shutting down
	for {
		limit := idleWait
		if closeListenersAt > 0 {
			limit = drainInterval
		}
		if p.Wait(limit, signal) {
			signal = nil
			p.log.Info("ending")
			closeListenersAt = p.Now() + AcceptAfterTerm
			giveUpAt = closeListenersAt + p.LongestTimeout() + AnswerMargin
		}
		p.Step()
		// Once another process has taken over nobody connects here any more.
		now := p.Now()
		if closeListenersAt == 0 || now < closeListenersAt && !p.handedOver {
			continue
		}
		if drain(frontends) || now >= giveUpAt {
			p.log.Info("ended", "unanswered", p.Unanswered())
			return
		}
	}
}

// drain closes all listeners and idle connections and tells whether no connection is left.
func drain(frontends []Frontend) bool {
	drained := true
	for _, f := range frontends {
		f.CloseListeners()
	}
	for _, f := range frontends {
		drained = f.Drain() && drained
	}
	return drained
}
